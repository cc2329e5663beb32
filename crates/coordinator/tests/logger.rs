//! Log lines as text and as JSON.

use coordinator::logger::Format;
use log::kv::Value;
use log::Record;
use serde_json::Value as Json;
use std::time::Duration;

fn lines(format: Format) -> String {
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
fn line_when_text_then_its_pairs_can_be_told_apart() {
    assert_eq!(
        lines(Format::Text),
        "1.500 INFO host end=host_closed detail=\"a \\\"b\\\"\" parts=3"
    );
}

#[test]
fn line_when_json_then_numbers_stay_numbers() {
    let json: Json = serde_json::from_str(&lines(Format::Json)).unwrap();
    let want = serde_json::json!({"ts": 1.5, "level": "INFO", "target": "coordinator::net", "msg": "host",
        "end": "host_closed", "detail": "a \"b\"", "parts": 3});
    assert_eq!(json, want);
}
