//! Log lines as text and as JSON.

use coordinator::logger::Format;
use log::kv::Value;
use log::Record;
use serde_json::Value as Json;
use std::time::Duration;

fn formatted_line(format: Format) -> String {
    let pairs = [
        ("end", Value::from("host_closed")),
        ("detail", "a \"b\"".into()),
        ("parts", 3.into()),
    ];
    let record = Record::builder()
        .args(format_args!("host"))
        .level(log::Level::Info)
        .target("coordinator::net")
        .key_values(&pairs)
        .build();
    format.line(Duration::from_millis(1500), &record)
}

#[test]
fn line_when_text_then_values_with_quotes_are_quoted() {
    assert_eq!(
        formatted_line(Format::Text),
        "1.500 INFO host end=host_closed detail=\"a \\\"b\\\"\" parts=3"
    );
}

#[test]
fn line_when_json_then_numbers_stay_numbers() {
    let json: Json = serde_json::from_str(&formatted_line(Format::Json)).unwrap();
    let expected = serde_json::json!({"ts": 1.5, "level": "INFO", "target": "coordinator::net", "msg": "host",
        "end": "host_closed", "detail": "a \"b\"", "parts": 3});
    assert_eq!(json, expected);
}
