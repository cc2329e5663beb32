//! Drawn bytes: nothing panics, and how bytes are cut changes nothing.

use bytes::BytesMut;
use http1::{BodyDecoder, Decoded, Framing, HeadLimits, ParseError, RequestHead, ResponseHead};
use proptest::prelude::*;

const LIMITS: HeadLimits = HeadLimits::with_max_bytes(2048);

/// How the reading of some bytes ends.
#[derive(Clone, Debug, PartialEq)]
enum Ends {
    /// A whole body, and what follows it.
    Whole(Vec<u8>, Vec<u8>),
    Unfinished,
    Wrong,
}

fn decode(framing: Framing, parts: &[&[u8]]) -> Ends {
    let (mut body, mut buf, mut out) = (BodyDecoder::new(framing), BytesMut::new(), Vec::new());
    let mut parts = parts.iter();
    loop {
        match body.decode(&mut buf) {
            Ok(Decoded::Data(data)) => out.extend_from_slice(&data),
            Ok(Decoded::End) => {
                parts.for_each(|p| buf.extend_from_slice(p));
                return Ends::Whole(out, buf.to_vec());
            }
            Ok(Decoded::Incomplete) => match parts.next() {
                Some(part) => buf.extend_from_slice(part),
                None => return Ends::Unfinished,
            },
            Err(_) => return Ends::Wrong,
        }
    }
}

fn chunks(body: &[u8], sizes: &[usize]) -> Vec<u8> {
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

/// Bytes that heads and chunks are made of, and others.
fn likely() -> impl Strategy<Value = Vec<u8>> {
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
    fn no_bytes_make_a_reader_fail_in_another_way_than_by_its_error(bytes in likely()) {
        let _ = RequestHead::decode(&mut BytesMut::from(&bytes[..]), LIMITS);
        let _ = ResponseHead::decode(&mut BytesMut::from(&bytes[..]), LIMITS, false);
        for framing in [Framing::Chunked, Framing::Length(7)] {
            let _ = decode(framing, &[&bytes]);
        }
    }

    #[test]
    fn chunks_come_out_as_they_went_in(
        body in prop::collection::vec(any::<u8>(), 0..80),
        sizes in prop::collection::vec(1usize..30, 1..4),
        rest in prop::collection::vec(any::<u8>(), 0..9),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut text = chunks(&body, &sizes);
        text.extend(&rest);
        let (a, b) = text.split_at(cut.index(text.len() + 1));
        prop_assert_eq!(decode(Framing::Chunked, &[a, b]), Ends::Whole(body, rest));
    }

    /// However the bytes come, the same is read: also from those that are wrong somewhere.
    #[test]
    fn where_bytes_are_cut_changes_nothing(
        body in prop::collection::vec(any::<u8>(), 0..40),
        sizes in prop::collection::vec(1usize..20, 1..4),
        spoilt in prop::option::of((any::<prop::sample::Index>(), any::<u8>())),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..4),
    ) {
        let mut text = chunks(&body, &sizes);
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

    /// A chunked body that is cut before its end, or has lost bytes of its frame, is never whole with less.
    #[test]
    fn a_cut_body_is_not_whole(
        body in prop::collection::vec(any::<u8>(), 0..40),
        sizes in prop::collection::vec(1usize..20, 1..4),
        cut in any::<prop::sample::Index>(),
    ) {
        let text = chunks(&body, &sizes);
        let cut = cut.index(text.len());
        prop_assert_eq!(decode(Framing::Chunked, &[&text[..cut]]), Ends::Unfinished);
    }

    #[test]
    fn a_head_says_the_same_however_it_comes(bytes in likely()) {
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
