//! JSON objects found in a stream, however it is cut.

use bytes::Bytes;
use coordinator::net::json_objects::{Found, ObjectError, ObjectReader, MAX_DEPTH};

/// Feeds the text in pieces of this size; gives what was found and how it ended.
fn read(text: &str, piece: usize) -> (Vec<Found>, Result<(), ObjectError>) {
    let (mut reader, mut found) = (ObjectReader::new(400), Vec::new());
    for bytes in text.as_bytes().chunks(piece) {
        reader.input().extend_from_slice(bytes);
        loop {
            match reader.next_object() {
                Ok(Some(one)) => found.push(one),
                Ok(None) => break,
                Err(e) => return (found, Err(e)),
            }
        }
    }
    (found, Ok(()))
}

const LINE: &str = r#"{"a":[{"b":"}\"{"},1.5e-3,true,[]],"c":{}}"#;
const INDENTED: &str = "{\n  \"a\": [\n    {\n      \"b\": \"x\"\n    }\n  ],\r\n  \"c\": null\n}";

#[test]
fn objects_when_on_one_line_or_indented_then_they_are_found_however_they_are_cut() {
    let text = format!("{LINE}\n\n{INDENTED}\n\n \n{LINE}{LINE}\n");
    for piece in 1..text.len() {
        let (found, end) = read(&text, piece);
        let object = |s: &'static str| Found::Object(Bytes::from_static(s.as_bytes()));
        let all = [
            object(LINE),
            Found::Empty,
            object(INDENTED),
            Found::Empty,
            Found::Empty,
            object(LINE),
            object(LINE),
        ];
        assert_eq!(
            (found.as_slice(), end),
            (all.as_slice(), Ok(())),
            "in pieces of {piece}"
        );
    }
    for object in [LINE, INDENTED] {
        serde_json::from_str::<serde_json::Value>(object).unwrap();
    }
}

#[test]
fn bytes_when_they_are_no_object_then_it_is_an_error_at_once() {
    for bad in [
        "nonsense",
        "{nonsense",
        "[",
        "\"text\"",
        "5",
        "}",
        "{\"a\"}",
        "{\"a\":}",
        "{\"a\":1,}",
        "{\"a\":[1,]",
        "{\"a\":[}",
        "{\"a\":1 2",
        "{\"a\":1\n{",
        "{\"a\":\n\n",
        "{\"a\": \"b\n",
        "{,",
        "{:",
        "{\"a\":1]",
    ] {
        for piece in [1, 100] {
            assert_eq!(
                read(bad, piece),
                (vec![], Err(ObjectError::Malformed)),
                "{bad:?}"
            );
        }
    }
    let deep = format!("{{\"a\":{}", "[".repeat(MAX_DEPTH));
    assert_eq!(read(&deep, 100).1, Err(ObjectError::Malformed));
    let long = format!("{{\"a\":\"{}", "x".repeat(400));
    assert_eq!(read(&long, 100).1, Err(ObjectError::TooLarge));
    assert_eq!(read("{\"a\":[1", 3), (vec![], Ok(())), "it may still go on");
}
