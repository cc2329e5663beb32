//! Logs on standard error: a line for each change of state, counters now and then.

use log::LevelFilter;
use logforth::append::Stderr;
use logforth::kv::{KeyView, ValueView, Visitor};
use logforth::record::Record;
use logforth::{Diagnostic, Error, Layout};
use std::fmt::Write;
use std::time::SystemTime;

/// Seconds of the time of day, level, place, text and values.
#[derive(Debug)]
struct Line;

struct Values(String);

impl Visitor for Values {
    fn visit(&mut self, key: KeyView, value: ValueView) -> Result<(), Error> {
        // Writing to a string can't fail.
        let _ = write!(self.0, " {key}={value}");
        Ok(())
    }
}

impl Layout for Line {
    fn format(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<Vec<u8>, Error> {
        let time = record.time().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let mut line = String::new();
        // Writing to a string can't fail.
        let _ = write!(
            line,
            "{}.{:03} {} {}: {}",
            time.as_secs(),
            time.subsec_millis(),
            record.level().name(),
            record.target(),
            record.payload()
        );
        let mut values = Values(line);
        record.key_values().visit(&mut values)?;
        Ok(values.0.into_bytes())
    }
}

/// Starts logging of lines of `level` and above.
pub fn start(level: LevelFilter) {
    let stderr = Stderr::default().with_layout(Line);
    let logger = logforth::core::builder().dispatch(|d| d.append(stderr)).build();
    let bridge = logforth::bridge::log::LogBridge::new(logger);
    if log::set_boxed_logger(Box::new(bridge)).is_ok() {
        log::set_max_level(level);
    }
}
