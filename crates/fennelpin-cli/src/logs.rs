//! Logs on standard error: a line for each change of state, counters now and then.

use crate::operator::{Format, Level};
use log::LevelFilter;
use logforth::append::Stderr;
use logforth::kv::{KeyView, ValueView, Visitor};
use logforth::record::Record;
use logforth::{Diagnostic, Error, Layout};
use serde_json::{Map, Value};
use std::fmt::Write;
use std::time::SystemTime;

/// Seconds of the time of day, level, place, text and values.
#[derive(Debug)]
struct Text;

struct Pairs(String);

impl Visitor for Pairs {
    fn visit(&mut self, key: KeyView, value: ValueView) -> Result<(), Error> {
        // Writing to a string can't fail.
        let _ = write!(self.0, " {key}={value}");
        Ok(())
    }
}

fn time(record: &Record) -> String {
    let time = record
        .time()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    format!("{}.{:03}", time.as_secs(), time.subsec_millis())
}

impl Layout for Text {
    fn format(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<Vec<u8>, Error> {
        let (level, target) = (record.level().name(), record.target());
        let mut pairs = Pairs(format!(
            "{} {level} {target}: {}",
            time(record),
            record.payload()
        ));
        record.key_values().visit(&mut pairs)?;
        Ok(pairs.0.into_bytes())
    }
}

/// The same as one JSON object.
#[derive(Debug)]
struct Json;

struct Fields(Map<String, Value>);

impl Visitor for Fields {
    fn visit(&mut self, key: KeyView, value: ValueView) -> Result<(), Error> {
        let text = value.to_string();
        // Numbers and truth values stay what they are.
        let value = match serde_json::from_str(&text) {
            Ok(plain @ (Value::Number(_) | Value::Bool(_))) => plain,
            _ => Value::String(text),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

impl Layout for Json {
    fn format(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<Vec<u8>, Error> {
        let mut fields = Fields(Map::new());
        record.key_values().visit(&mut fields)?;
        let own = [
            ("time", time(record)),
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

/// Starts logging of lines of `level` and above.
pub fn start(level: Level, format: Format) {
    let stderr = match format {
        Format::Text => Stderr::default().with_layout(Text),
        Format::Json => Stderr::default().with_layout(Json),
    };
    let logger = logforth::core::builder()
        .dispatch(|d| d.append(stderr))
        .build();
    let bridge = logforth::bridge::log::LogBridge::new(logger);
    if log::set_boxed_logger(Box::new(bridge)).is_ok() {
        log::set_max_level(match level {
            Level::Off => LevelFilter::Off,
            Level::Error => LevelFilter::Error,
            Level::Warn => LevelFilter::Warn,
            Level::Info => LevelFilter::Info,
            Level::Debug => LevelFilter::Debug,
            Level::Trace => LevelFilter::Trace,
        });
    }
}
