//! Response heads byte by byte: which status codes, field names and values are valid, for both readers of heads.

use bytes::BytesMut;
use http1::{HeadLimits, ParseError, ResponseHead};
use rstest::rstest;

const LIMITS: HeadLimits = HeadLimits::with_max_bytes(1024);

/// Reads a head with the proxy's reader and with the coordinator's, which have to agree.
fn read_head(text: &[u8]) -> Result<Option<ResponseHead>, ParseError> {
    let decoded = ResponseHead::decode(&mut BytesMut::from(text), LIMITS, false);
    let parsed = ResponseHead::parse(text, LIMITS, false).map(|found| found.map(|(head, _)| head));
    assert_eq!(
        decoded.is_ok(),
        parsed.is_ok(),
        "the readers differ on {:?}",
        String::from_utf8_lossy(text)
    );
    decoded
}

fn is_valid(text: &[u8]) -> bool {
    match read_head(text) {
        Ok(head) => {
            assert!(head.is_some(), "{:?}", String::from_utf8_lossy(text));
            true
        }
        Err(ParseError::Syntax { .. }) => false,
        Err(error) => panic!("{error} in {:?}", String::from_utf8_lossy(text)),
    }
}

/// Whether a field name may contain this byte: `tchar` of RFC 9110, section 5.6.2.
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Whether a field value or a reason phrase may contain this byte (RFC 9110, section 5.5; RFC 9112, section 4).
fn is_text_byte(byte: u8) -> bool {
    byte == b'\t' || (byte >= b' ' && byte != 0x7f)
}

/// Guards against MIXED: a response with the status 000 reached a client as an answer. Status codes outside 100 to 599
/// are invalid (RFC 9110, section 15).
#[test]
fn status_code_is_valid_only_from_100_to_599() {
    for status in 0..1000 {
        let text = format!("HTTP/1.1 {status:03} X\r\nContent-Length: 2\r\n\r\n");
        let is_valid = is_valid(text.as_bytes());
        assert_eq!(is_valid, (100..600).contains(&status), "{status:03}");
    }
}

#[rstest]
fn status_code_that_is_not_three_digits_is_malformed(
    #[values(
        "", " ", "0", "20", "2", "2000", "0200", "+20", "-20", "2 0", "2x0", "0x2", "20\u{0}",
        "20\t", " 200", "\t200", "200\u{b}", "\u{0}00"
    )]
    status: &str,
) {
    let text = format!("HTTP/1.1 {status} OK\r\nContent-Length: 2\r\n\r\n");
    assert!(!is_valid(text.as_bytes()));
}

#[rstest]
fn version_other_than_1_0_and_1_1_is_malformed(
    #[values(
        "HTTP/0.9",
        "HTTP/1.2",
        "HTTP/2.0",
        "HTTP/2",
        "HTTP/1",
        "HTTP/1.",
        "HTTP/01.1",
        "http/1.1",
        "HTTP 1.1",
        " HTTP/1.1",
        "HTTP/1.1 ",
        "HTTP/1.1\t",
        "HTTP/1.1\u{0}",
        "ICY"
    )]
    version: &str,
) {
    let text = format!("{version} 200 OK\r\nContent-Length: 2\r\n\r\n");
    assert!(!is_valid(text.as_bytes()));
}

/// Guards against MIXED: a name with a blank or a control byte is no field, and what it was meant to say about the body
/// is unknown.
#[rstest]
fn field_name_with_a_byte_that_is_no_token_is_malformed(
    #[values("", "X-", "Content-Length", "Transfer-Encoding")] before: &str,
    #[values("", "Field", "Length")] after: &str,
    #[values(true, false)] first_field: bool,
) {
    for byte in 0..=u8::MAX {
        // A colon ends the name, and a line ending the line.
        if matches!(byte, b':' | b'\n') {
            continue;
        }
        let name = [before.as_bytes(), &[byte], after.as_bytes()].concat();
        let (first, second): (&[u8], &[u8]) = if first_field {
            (b"", b"Other: 1\r\n")
        } else {
            (b"Other: 1\r\n", b"")
        };
        let text = [
            b"HTTP/1.1 200 OK\r\n",
            first,
            &name,
            b": 2\r\n",
            second,
            b"\r\n",
        ]
        .concat();
        assert_eq!(
            is_valid(&text),
            is_token_byte(byte),
            "byte {byte:#04x} in {name:?}"
        );
    }
}

#[rstest]
#[case::empty_name(": 2\r\n")]
#[case::no_colon("Content-Length 2\r\n")]
#[case::no_colon_at_all("garbage\r\n")]
#[case::blank_line(" \r\n")]
#[case::tab_line("\t\r\n")]
#[case::folded("X: 1\r\n Content-Length: 2\r\n")]
#[case::folded_by_tab("X: 1\r\n\tContent-Length: 2\r\n")]
#[case::blank_before_the_first(" X: 1\r\n")]
#[case::lone_cr("X: 1\rY: 2\r\n")]
#[case::two_cr("X: 1\r\r\n")]
#[case::nul("X: 1\u{0}\r\n")]
fn field_line_that_is_none_is_malformed(#[case] lines: &str) {
    let text = format!("HTTP/1.1 200 OK\r\n{lines}Content-Length: 2\r\n\r\n");
    assert!(!is_valid(text.as_bytes()));
}

#[rstest]
fn field_value_and_reason_phrase_hold_no_control_bytes(
    #[values(true, false)] in_reason: bool,
    #[values(("", ""), ("a", "b"), ("a", ""), ("", "b"))] (before, after): (&str, &str),
) {
    for byte in 0..=u8::MAX {
        if matches!(byte, b'\r' | b'\n') {
            continue;
        }
        let part = [before.as_bytes(), &[byte], after.as_bytes()].concat();
        let (reason, value): (&[u8], &[u8]) = if in_reason {
            (&part, b"v")
        } else {
            (b"OK", &part)
        };
        let text = [
            b"HTTP/1.1 200 ",
            reason,
            b"\r\nContent-Length: 2\r\nX: ",
            value,
            b"\r\n\r\n",
        ]
        .concat();
        assert_eq!(
            is_valid(&text),
            is_text_byte(byte),
            "byte {byte:#04x} in {part:?}"
        );
    }
}

/// The coordinator's reader takes a lone LF for a line ending, as RFC 9112, section 2.2 allows; the proxy, which forwards
/// the fields, does not.
#[test]
fn lone_lf_is_malformed_where_fields_are_forwarded() {
    let text = "HTTP/1.1 200 OK\r\nX: 1\nY: 2\r\nContent-Length: 2\r\n\r\n";
    let decoded = ResponseHead::decode(&mut BytesMut::from(text), LIMITS, false);
    assert!(matches!(decoded, Err(ParseError::Syntax { .. })));
    let parsed = ResponseHead::parse(text.as_bytes(), LIMITS, false).unwrap();
    let (head, _) = parsed.expect("a complete head");
    assert_eq!(head.fields.get_str("y"), Some("2"));
}
