//! Parsing of HTTP/1.1 heads, framing and bodies, including malformed ones.

use bytes::BytesMut;
use http1::{BodyDecoder, Decoded, Framing, HeadLimits, ParseError, RequestHead, ResponseHead};
use rstest::rstest;

const LIMITS: HeadLimits = HeadLimits::with_max_bytes(1024);

fn decode_request(text: &str) -> Result<Option<RequestHead>, ParseError> {
    RequestHead::decode(&mut BytesMut::from(text), LIMITS)
}

fn valid_request(text: &str) -> RequestHead {
    decode_request(text).unwrap().unwrap()
}

#[rstest]
#[case("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n")]
#[case("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n")]
#[case("Content-Length: 3\r\nContent-Length: 4\r\n")]
#[case("Content-Length: +3\r\n")]
#[case("Content-Length: -3\r\n")]
#[case("Content-Length: 3, 3\r\n")]
#[case("Content-Length: 0x3\r\n")]
#[case("Content-Length:\r\n")]
#[case("Transfer-Encoding: gzip, chunked\r\n")]
#[case("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n")]
#[case("Transfer-Encoding: identity\r\n")]
#[case("Host: b\r\n")]
fn request_with_ambiguous_framing_is_rejected(#[case] fields: &str) {
    let text = format!("POST / HTTP/1.1\r\nHost: a\r\n{fields}\r\n");
    assert!(matches!(
        decode_request(&text),
        Err(ParseError::Syntax { .. })
    ));
}

#[rstest]
#[case("GET / HTTP/1.1\nHost: a b\x00\r\n\r\n")]
#[case("GET  / HTTP/1.1\r\n\r\n")]
#[case("GET / HTTP/2.0\r\n\r\n")]
#[case("GET a/b HTTP/1.1\r\n\r\n")]
#[case("GET / HTTP/1.1\r\nHost : a\r\n\r\n")]
#[case("GET / HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n")]
#[case("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n")]
#[case("GET / HTTP/1.1\nHost: a\r\n\r\n")]
#[case("GET / HTTP/1.1\r\nHost: a\n\r\n")]
#[case("GET / HTTP/1.1\r\nHost: a\r\n\n")]
#[case("GET / HTTP/1.1\r\nHost: a\rX: b\r\n\r\n")]
fn malformed_request_is_rejected(#[case] text: &str) {
    assert!(
        matches!(decode_request(text), Err(ParseError::Syntax { .. })),
        "{:?}",
        decode_request(text)
    );
}

#[test]
fn head_in_parts_is_decoded_once_complete_and_within_limits() {
    let text = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
    for n in 0..text.len() {
        assert!(decode_request(&text[..n]).unwrap().is_none());
    }
    let mut buf = BytesMut::from(format!("{text}GET").as_str());
    assert!(RequestHead::decode(&mut buf, LIMITS).unwrap().is_some());
    assert_eq!(&buf[..], b"GET", "bytes after the head stay in the buffer");
    assert_eq!(
        decode_request(&format!("GET /{} ", "a".repeat(1024))).unwrap_err(),
        ParseError::HeadTooLarge
    );
    let many = "X: 1\r\n".repeat(120);
    assert_eq!(
        decode_request(&format!("GET / HTTP/1.1\r\n{many}\r\n")).unwrap_err(),
        ParseError::HeadTooLarge
    );
    let huge = "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n";
    assert_eq!(
        decode_request(huge).unwrap_err(),
        ParseError::LengthOverflow
    );
}

#[rstest]
#[case(
    "GET /a/b?c=/d HTTP/1.1\r\nHost: x:80\r\n\r\n",
    "/a/b?c=/d",
    "/a/b",
    Some("x")
)]
#[case(
    "GET http://y:1/a?b HTTP/1.1\r\nHost: x\r\n\r\n",
    "/a?b",
    "/a",
    Some("y")
)]
#[case("GET http://y HTTP/1.1\r\nHost: x\r\n\r\n", "/", "/", Some("y"))]
#[case("GET / HTTP/1.1\r\n\r\n", "/", "/", None)]
fn target_path_and_host_are_parsed_in_each_form(
    #[case] text: &str,
    #[case] target: &str,
    #[case] path: &str,
    #[case] host: Option<&str>,
) {
    let decoded = decode_request(text);

    let head = decoded.unwrap().unwrap();
    assert_eq!(
        (head.target(), head.path(), head.host()),
        (target.as_bytes(), path.as_bytes(), host)
    );
}

#[rstest]
#[case("1.1", "", true)]
#[case("1.1", "Connection: x, Close\r\n", false)]
#[case("1.0", "", false)]
#[case("1.0", "Connection: keep-alive\r\n", true)]
fn keep_alive_follows_version_and_connection_field(
    #[case] version: &str,
    #[case] fields: &str,
    #[case] keeps_alive: bool,
) {
    assert_eq!(
        valid_request(&format!("GET / HTTP/{version}\r\n{fields}\r\n")).is_keep_alive(),
        keeps_alive
    );
    let response = format!("HTTP/{version} 200 OK\r\nContent-Length: 0\r\n{fields}\r\n");
    let response = ResponseHead::decode(&mut BytesMut::from(response.as_str()), LIMITS, false)
        .unwrap()
        .unwrap();
    assert_eq!(response.is_keep_alive(), keeps_alive);
}

#[test]
fn hop_by_hop_fields_are_recognized() {
    let head = valid_request(
        "GET / HTTP/1.1\r\nConnection: keep-alive, X-Own\r\nx-own: 1\r\nOther: 2\r\n\r\n",
    );
    let is_hop_by_hop = |name: &str| head.fields.is_hop_by_hop(name.as_bytes());
    assert!(
        is_hop_by_hop("connection")
            && is_hop_by_hop("X-OWN")
            && is_hop_by_hop("TE")
            && is_hop_by_hop("Transfer-Encoding")
    );
    assert!(!is_hop_by_hop("Other") && !is_hop_by_hop("Host"));
    assert_eq!(head.fields.get_str("OTHER"), Some("2"));
}

#[rstest]
#[case("200 OK\r\nContent-Length: 4\r\n", false, Framing::Length(4))]
#[case("200 OK\r\nTransfer-Encoding: Chunked\r\n", false, Framing::Chunked)]
#[case("200 OK\r\n", false, Framing::CloseDelimited)]
#[case("200 OK\r\nContent-Length: 4\r\n", true, Framing::Length(0))]
#[case("204 No Content\r\n", false, Framing::Length(0))]
#[case("304 Not Modified\r\nContent-Length: 4\r\n", false, Framing::Length(0))]
#[case("100 Continue\r\n", false, Framing::Length(0))]
fn response_framing_follows_status_and_fields(
    #[case] text: &str,
    #[case] to_head_request: bool,
    #[case] framing: Framing,
) {
    let mut buf = BytesMut::from(format!("HTTP/1.1 {text}\r\n").as_str());
    assert_eq!(
        ResponseHead::decode(&mut buf, LIMITS, to_head_request)
            .unwrap()
            .unwrap()
            .framing,
        framing
    );
}

#[rstest]
#[case("\u{1}\u{2}garbage\r\n\r\n")]
#[case("HTTP/1.1 2000 OK\r\n\r\n")]
#[case("HTTP/1.1 200 OK\nContent-Length: 1\r\n\r\n")]
#[case("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n")]
fn malformed_response_is_rejected(#[case] text: &str) {
    assert!(ResponseHead::decode(&mut BytesMut::from(text), LIMITS, false).is_err());
}

/// A decoded body and the bytes after it.
type BodyAndRest = (Vec<u8>, Vec<u8>);

/// Decodes a body that is received in these parts; `None` if it is incomplete.
fn decode_body(framing: Framing, parts: &[&[u8]]) -> Result<Option<BodyAndRest>, ParseError> {
    let (mut decoder, mut buf, mut content) =
        (BodyDecoder::new(framing), BytesMut::new(), Vec::new());
    let mut parts = parts.iter();
    loop {
        match decoder.decode(&mut buf)? {
            Decoded::Data(data) => content.extend_from_slice(&data),
            Decoded::End => {
                buf.extend_from_slice(&parts.copied().collect::<Vec<_>>().concat());
                return Ok(Some((content, buf.to_vec())));
            }
            Decoded::Incomplete => match parts.next() {
                Some(part) => buf.extend_from_slice(part),
                None => return Ok(None),
            },
        }
    }
}

#[rstest]
#[case(Framing::Length(5), "helloNEXT", "hello", "NEXT")]
#[case(Framing::Length(0), "NEXT", "", "NEXT")]
#[case(Framing::Chunked, "5\r\nhello\r\n0\r\n\r\nNEXT", "hello", "NEXT")]
#[case(
    Framing::Chunked,
    "2;x=y\r\nhe\r\nA\r\nllo, world\r\n0\r\nT: 1\r\nU: 2\r\n\r\nNEXT",
    "hello, world",
    "NEXT"
)]
#[case(Framing::Chunked, "0\r\n\r\n", "", "")]
fn body_decodes_the_same_at_any_split(
    #[case] framing: Framing,
    #[case] text: &str,
    #[case] body: &str,
    #[case] rest: &str,
) {
    for cut in 0..=text.len() {
        let (first, second) = text.as_bytes().split_at(cut);
        let decoded = decode_body(framing, &[first, second]).unwrap().unwrap();
        assert_eq!(
            decoded,
            (body.as_bytes().to_vec(), rest.as_bytes().to_vec()),
            "cut at {cut}"
        );
    }
    let body_length = text.len() - rest.len();
    for length in 0..body_length {
        assert_eq!(
            decode_body(framing, &[&text.as_bytes()[..length]]).unwrap(),
            None,
            "truncated at {length}"
        );
    }
}

#[rstest]
#[case("x\r\n")]
#[case("\r\n\r\n")]
#[case(";last\r\n\r\n")]
#[case(" \r\n\r\n")]
#[case(" 5\r\nhello")]
#[case("5 5\r\nhello")]
#[case("0x5\r\nhello")]
#[case("+5\r\nhello")]
#[case("5\nhello")]
#[case("5;a\nb\r\nhello")]
#[case("5;a\rb\r\nhello")]
#[case("5\r\nhello\r\n\r\n\r\n")]
#[case("5\r\nhello\n0\r\n\r\n")]
#[case("5\r\nhelloXX")]
#[case("0\r\n\n")]
#[case("0\r\n \r\n")]
#[case("0\r\nno field\r\n\r\n")]
#[case("0\r\nT: 1\n\r\n")]
#[case("0\r\nT : 1\r\n\r\n")]
#[case("0\r\nT\t: 1\r\n\r\n")]
#[case("0\r\n T: 1\r\n\r\n")]
#[case("0\r\nT U: 1\r\n\r\n")]
#[case("0\r\n: 1\r\n\r\n")]
#[case("0\r\nT\u{0}: 1\r\n\r\n")]
#[case("0\r\n\u{7f}T: 1\r\n\r\n")]
#[case("0\r\nT: a\rb\r\n\r\n")]
#[case("0\r\nT: \u{0}\r\n\r\n")]
#[case("0\r\nT: 1\r\nU V: 2\r\n\r\n")]
#[case("0\r\nHTTP/1.1 500 Failed: x\r\n\r\n")]
#[case("-1\r\n")]
#[case("fffffffffffffffff\r\n")]
fn malformed_chunks_are_rejected(#[case] text: &str) {
    assert!(matches!(
        decode_body(Framing::Chunked, &[text.as_bytes()]),
        Err(ParseError::Syntax { .. })
    ));
}

#[rstest]
#[case("T:\r\n")]
#[case("T:1\r\n")]
#[case("Server-Timing: a;dur=1, b;desc=\"x y\"\r\n")]
#[case("!#$%&'*+-.^_`|~09azAZ: \t\u{e9} x\t\r\nU: 2\r\n")]
fn valid_trailers_are_skipped(#[case] trailer: &str) {
    let text = format!("2\r\nhi\r\n0\r\n{trailer}\r\nNEXT");
    let decoded = decode_body(Framing::Chunked, &[text.as_bytes()]).unwrap();
    assert_eq!(decoded, Some((b"hi".to_vec(), b"NEXT".to_vec())));
}

#[test]
fn chunk_lines_and_trailers_over_the_limit_are_rejected() {
    let long = "x".repeat(5000);
    for text in [
        format!("1;{long}"),
        format!("0\r\nT: {long}"),
        "0\r\n".to_owned() + &"T: 1\r\n".repeat(900),
    ] {
        assert!(decode_body(Framing::Chunked, &[text.as_bytes()]).is_err());
    }
}

#[test]
fn close_delimited_body_never_reports_its_end() {
    let mut decoder = BodyDecoder::new(Framing::CloseDelimited);
    assert!(decoder.is_close_delimited());
    assert_eq!(
        decoder.decode(&mut BytesMut::from("abc")).unwrap(),
        Decoded::Data("abc".into())
    );
    assert_eq!(
        decoder.decode(&mut BytesMut::new()).unwrap(),
        Decoded::Incomplete
    );
}
