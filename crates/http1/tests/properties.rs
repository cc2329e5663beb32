//! Property tests with generated input: parsing never panics, and its result doesn't depend on how the input is split.

use bytes::BytesMut;
use http1::{BodyDecoder, Decoded, Framing, HeadLimits, ParseError, RequestHead, ResponseHead};
use proptest::prelude::*;

const LIMITS: HeadLimits = HeadLimits::with_max_bytes(2048);

/// Result of decoding a whole body.
#[derive(Clone, Debug, PartialEq)]
enum Outcome {
    /// The body and the bytes after it.
    Complete(Vec<u8>, Vec<u8>),
    Incomplete,
    Malformed,
}

fn decode_body(framing: Framing, parts: &[&[u8]]) -> Outcome {
    let (mut decoder, mut buf, mut content) =
        (BodyDecoder::new(framing), BytesMut::new(), Vec::new());
    let mut parts = parts.iter();
    loop {
        match decoder.decode(&mut buf) {
            Ok(Decoded::Data(data)) => content.extend_from_slice(&data),
            Ok(Decoded::End) => {
                parts.for_each(|part| buf.extend_from_slice(part));
                return Outcome::Complete(content, buf.to_vec());
            }
            Ok(Decoded::Incomplete) => match parts.next() {
                Some(part) => buf.extend_from_slice(part),
                None => return Outcome::Incomplete,
            },
            Err(_) => return Outcome::Malformed,
        }
    }
}

fn encode_chunks(body: &[u8], sizes: &[usize]) -> Vec<u8> {
    let (mut encoded, mut rest) = (Vec::new(), body);
    let mut sizes = sizes.iter().cycle();
    while !rest.is_empty() {
        let (chunk, remaining) = rest.split_at((*sizes.next().unwrap()).min(rest.len()));
        encoded.extend(format!("{:X}\r\n", chunk.len()).bytes());
        encoded.extend(chunk);
        encoded.extend(b"\r\n");
        rest = remaining;
    }
    encoded.extend(b"0\r\n\r\n");
    encoded
}

/// Generates sequences of tokens that occur in heads and chunks, mixed with arbitrary bytes.
fn http_like_bytes() -> impl Strategy<Value = Vec<u8>> {
    let token = prop_oneof![
        Just(b"\r\n".to_vec()),
        Just(b"\n".to_vec()),
        Just(b"0".to_vec()),
        Just(b"5".to_vec()),
        Just(b";".to_vec()),
        Just(b" ".to_vec()),
        Just(b": ".to_vec()),
        Just(b"GET / HTTP/1.1\r\n".to_vec()),
        Just(b"HTTP/1.1 200 OK\r\n".to_vec()),
        Just(b"Content-Length".to_vec()),
        Just(b"Transfer-Encoding: chunked\r\n".to_vec()),
        prop::collection::vec(any::<u8>(), 1..4),
    ];
    prop::collection::vec(token, 0..24).prop_map(|tokens| tokens.concat())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_never_panic(bytes in http_like_bytes()) {
        let _ = RequestHead::decode(&mut BytesMut::from(&bytes[..]), LIMITS);
        let _ = ResponseHead::decode(&mut BytesMut::from(&bytes[..]), LIMITS, false);
        for framing in [Framing::Chunked, Framing::Length(7)] {
            let _ = decode_body(framing, &[&bytes]);
        }
    }

    #[test]
    fn chunked_body_round_trips(
        body in prop::collection::vec(any::<u8>(), 0..80),
        sizes in prop::collection::vec(1usize..30, 1..4),
        rest in prop::collection::vec(any::<u8>(), 0..9),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut text = encode_chunks(&body, &sizes);
        text.extend(&rest);
        let (first, second) = text.split_at(cut.index(text.len() + 1));
        prop_assert_eq!(decode_body(Framing::Chunked, &[first, second]), Outcome::Complete(body, rest));
    }

    /// Holds also if one byte of the input is replaced, which may make it malformed.
    #[test]
    fn split_of_input_does_not_change_the_result(
        body in prop::collection::vec(any::<u8>(), 0..40),
        sizes in prop::collection::vec(1usize..20, 1..4),
        replaced_byte in prop::option::of((any::<prop::sample::Index>(), any::<u8>())),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..4),
    ) {
        let mut text = encode_chunks(&body, &sizes);
        if let Some((index, byte)) = replaced_byte {
            let index = index.index(text.len());
            text[index] = byte;
        }
        let mut offsets: Vec<usize> = cuts.iter().map(|cut| cut.index(text.len() + 1)).collect();
        offsets.extend([0, text.len()]);
        offsets.sort_unstable();
        let parts: Vec<&[u8]> = offsets.windows(2).map(|ends| &text[ends[0]..ends[1]]).collect();
        prop_assert_eq!(decode_body(Framing::Chunked, &parts), decode_body(Framing::Chunked, &[&text]));
    }

    /// Guards against a truncated chunked body being accepted as complete.
    #[test]
    fn truncated_chunked_body_is_incomplete(
        body in prop::collection::vec(any::<u8>(), 0..40),
        sizes in prop::collection::vec(1usize..20, 1..4),
        cut in any::<prop::sample::Index>(),
    ) {
        let text = encode_chunks(&body, &sizes);
        let cut = cut.index(text.len());
        prop_assert_eq!(decode_body(Framing::Chunked, &[&text[..cut]]), Outcome::Incomplete);
    }

    #[test]
    fn head_prefix_is_always_incomplete(bytes in http_like_bytes()) {
        let decoded = RequestHead::decode(&mut BytesMut::from(&bytes[..]), LIMITS);
        if let Ok(Some(head)) = decoded {
            let length = RequestHead::parse(&bytes, LIMITS).unwrap().unwrap().1;
            for prefix_length in 0..length {
                let prefix = RequestHead::decode(&mut BytesMut::from(&bytes[..prefix_length]), LIMITS);
                prop_assert!(matches!(prefix, Ok(None)), "{prefix_length}: {prefix:?}");
            }
            prop_assert!(!matches!(head.framing, Some(Framing::CloseDelimited)));
        }
        let _: Result<Option<ResponseHead>, ParseError> =
            ResponseHead::decode(&mut BytesMut::from(&bytes[..]), LIMITS, true);
    }
}
