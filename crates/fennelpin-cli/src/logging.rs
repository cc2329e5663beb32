//! Logs on standard error, as text or JSON.

use crate::operator_settings::{LogFormat, LogLevel};
use log::LevelFilter;
use logforth::append::Stderr;
use logforth::kv::{KeyView, ValueView, Visitor};
use logforth::record::Record;
use logforth::{Diagnostic, Error, Layout};
use serde_json::{Map, Value};
use std::fmt::Write;
use std::time::SystemTime;

/// One line of text: Unix time, level, target, message and `key=value` pairs.
#[derive(Debug)]
struct TextLayout;

/// Appends ` key=value` for each pair of a record.
struct TextPairs(String);

impl Visitor for TextPairs {
    fn visit(&mut self, key: KeyView, value: ValueView) -> Result<(), Error> {
        // Writing to a string can't fail.
        let _ = write!(self.0, " {key}={value}");
        Ok(())
    }
}

/// Unix time of a record in seconds, with milliseconds.
fn unix_time(record: &Record) -> String {
    let time = record
        .time()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    format!("{}.{:03}", time.as_secs(), time.subsec_millis())
}

impl Layout for TextLayout {
    fn format(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<Vec<u8>, Error> {
        let (level, target) = (record.level().name(), record.target());
        let mut pairs = TextPairs(format!(
            "{} {level} {target}: {}",
            unix_time(record),
            record.payload()
        ));
        record.key_values().visit(&mut pairs)?;
        Ok(pairs.0.into_bytes())
    }
}

/// One JSON object: `time`, `level`, `target`, `message` and the pairs.
#[derive(Debug)]
struct JsonLayout;

/// Collects the pairs of a record as JSON values.
struct JsonFields(Map<String, Value>);

impl Visitor for JsonFields {
    fn visit(&mut self, key: KeyView, value: ValueView) -> Result<(), Error> {
        let text = value.to_string();
        // Numbers and booleans keep their types.
        let value = match serde_json::from_str(&text) {
            Ok(plain @ (Value::Number(_) | Value::Bool(_))) => plain,
            _ => Value::String(text),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

impl Layout for JsonLayout {
    fn format(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<Vec<u8>, Error> {
        let mut fields = JsonFields(Map::new());
        record.key_values().visit(&mut fields)?;
        let own = [
            ("time", unix_time(record)),
            ("level", record.level().name().to_owned()),
            ("target", record.target().to_owned()),
            ("message", record.payload().to_string()),
        ];
        fields
            .0
            .extend(own.map(|(key, value)| (key.to_owned(), Value::String(value))));
        Ok(Value::Object(fields.0).to_string().into_bytes())
    }
}

/// Starts the log with lines of this level and above. Does nothing where a log was started before.
pub fn start(level: LogLevel, format: LogFormat) {
    let stderr = match format {
        LogFormat::Text => Stderr::default().with_layout(TextLayout),
        LogFormat::Json => Stderr::default().with_layout(JsonLayout),
    };
    let logger = logforth::core::builder()
        .dispatch(|d| d.append(stderr))
        .build();
    let bridge = logforth::bridge::log::LogBridge::new(logger);
    if log::set_boxed_logger(Box::new(bridge)).is_ok() {
        log::set_max_level(match level {
            LogLevel::Off => LevelFilter::Off,
            LogLevel::Error => LevelFilter::Error,
            LogLevel::Warn => LevelFilter::Warn,
            LogLevel::Info => LevelFilter::Info,
            LogLevel::Debug => LevelFilter::Debug,
            LogLevel::Trace => LevelFilter::Trace,
        });
    }
}
