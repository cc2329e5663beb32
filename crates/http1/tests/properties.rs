//! Properties that hold for generated input: nothing panics, and the split of the input changes nothing.

use bytes::BytesMut;
use http1::{BodyDecoder, Decoded, Framing, HeadLimits, ParseError, RequestHead, ResponseHead};
use proptest::prelude::*;

const LIMITS: HeadLimits = HeadLimits::with_max_bytes(2048);

/// What decoding a body came to.
#[derive(Clone, Debug, PartialEq)]
enum Outcome {
    /// The body, and the bytes behind it.
    Complete(Vec<u8>, Vec<u8>),
    Incomplete,
    Malformed,
}

fn decode(framing: Framing, parts: &[&[u8]]) -> Outcome {
    let (mut body, mut buf, mut out) = (BodyDecoder::new(framing), BytesMut::new(), Vec::new());
    let mut parts = parts.iter();
    loop {
        match body.decode(&mut buf) {
            Ok(Decoded::Data(data)) => out.extend_from_slice(&data),
            Ok(Decoded::End) => {
                parts.for_each(|p| buf.extend_from_slice(p));
                return Outcome::Complete(out, buf.to_vec());
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
    let (mut out, mut rest) = (Vec::new(), body);
    let mut sizes = sizes.iter().cycle();
    while !rest.is_empty() {
        let (now, later) = rest.split_at((*sizes.next().unwrap()).min(rest.len()));
        out.extend(format!("{:X}\r\n", now.len()).bytes());
        out.extend(now);
        out.extend(b"\r\n");
        rest = later;
    }
    out.extend(b"0\r\n\r\n");
    out
}

/// Words that heads and chunks are made of, mixed with other bytes.
fn http_like_bytes() -> impl Strategy<Value = Vec<u8>> {
    let word = prop_oneof![
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
    prop::collection::vec(word, 0..24).prop_map(|words| words.concat())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_never_panic(bytes in http_like_bytes()) {
        let _ = RequestHead::decode(&mut BytesMut::from(&bytes[..]), LIMITS);
        let _ = ResponseHead::decode(&mut BytesMut::from(&bytes[..]), LIMITS, false);
        for framing in [Framing::Chunked, Framing::Length(7)] {
            let _ = decode(framing, &[&bytes]);
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
        let (a, b) = text.split_at(cut.index(text.len() + 1));
        prop_assert_eq!(decode(Framing::Chunked, &[a, b]), Outcome::Complete(body, rest));
    }

    /// Also for input that is malformed somewhere.
    #[test]
    fn split_of_input_does_not_change_the_result(
        body in prop::collection::vec(any::<u8>(), 0..40),
        sizes in prop::collection::vec(1usize..20, 1..4),
        spoilt in prop::option::of((any::<prop::sample::Index>(), any::<u8>())),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..4),
    ) {
        let mut text = encode_chunks(&body, &sizes);
        if let Some((at, byte)) = spoilt {
            let at = at.index(text.len());
            text[at] = byte;
        }
        let mut places: Vec<usize> = cuts.iter().map(|c| c.index(text.len() + 1)).collect();
        places.extend([0, text.len()]);
        places.sort_unstable();
        let parts: Vec<&[u8]> = places.windows(2).map(|w| &text[w[0]..w[1]]).collect();
        prop_assert_eq!(decode(Framing::Chunked, &parts), decode(Framing::Chunked, &[&text]));
    }

    /// A prefix of a chunked body never passes for a complete one.
    #[test]
    fn truncated_chunked_body_is_incomplete(
        body in prop::collection::vec(any::<u8>(), 0..40),
        sizes in prop::collection::vec(1usize..20, 1..4),
        cut in any::<prop::sample::Index>(),
    ) {
        let text = encode_chunks(&body, &sizes);
        let cut = cut.index(text.len());
        prop_assert_eq!(decode(Framing::Chunked, &[&text[..cut]]), Outcome::Incomplete);
    }

    #[test]
    fn head_prefix_is_always_incomplete(bytes in http_like_bytes()) {
        let whole = RequestHead::decode(&mut BytesMut::from(&bytes[..]), LIMITS);
        if let Ok(Some(head)) = whole {
            let length = RequestHead::parse(&bytes, LIMITS).unwrap().unwrap().1;
            for n in 0..length {
                let part = RequestHead::decode(&mut BytesMut::from(&bytes[..n]), LIMITS);
                prop_assert!(matches!(part, Ok(None)), "{n}: {part:?}");
            }
            prop_assert!(!matches!(head.framing, Some(Framing::CloseDelimited)));
        }
        let _: Result<Option<ResponseHead>, ParseError> =
            ResponseHead::decode(&mut BytesMut::from(&bytes[..]), LIMITS, true);
    }
}
