//! A logger for the `log` crate that writes each record as one line of text or JSON to standard error.

use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use serde_json::{Map, Value as Json};
use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How a record is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, clap::ValueEnum)]
pub enum Format {
    /// `SECONDS.MILLIS LEVEL MESSAGE key=value …`
    #[default]
    Text,
    /// One JSON object a line: `ts` (Unix seconds), `level`, `target`, `msg`, then the record's own keys.
    Json,
}

/// The crates whose records are written: those of this project. Records of libraries are dropped.
const LOGGED_CRATES: [&str; 5] = [
    "coordinator",
    "fake_hosts",
    "fennelpin",
    "load_test",
    "multi_core",
];

struct Logger(Format);

/// Whether a record's target, a module path, belongs to a crate of this project.
fn is_own_target(target: &str) -> bool {
    let crate_name = target.split("::").next().unwrap_or_default();
    LOGGED_CRATES.contains(&crate_name)
}

/// Appends `key=value` pairs to a line. A value that is empty or has white space or quotes is quoted.
struct TextPairs<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for TextPairs<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let text = value.to_string();
        let needs_no_quotes =
            !text.is_empty() && !text.contains(|c: char| c.is_whitespace() || c == '"');
        let _ = if needs_no_quotes {
            write!(self.0, " {key}={text}")
        } else {
            write!(self.0, " {key}={text:?}")
        };
        Ok(())
    }
}

/// Inserts pairs into a JSON object; numbers and booleans keep their type.
struct JsonPairs<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for JsonPairs<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let json = value
            .to_u64()
            .map(Json::from)
            .or_else(|| value.to_i64().map(Json::from));
        let json = json
            .or_else(|| value.to_f64().map(Json::from))
            .or_else(|| value.to_bool().map(Json::from));
        self.0.insert(
            key.to_string(),
            json.unwrap_or_else(|| value.to_string().into()),
        );
        Ok(())
    }
}

impl Format {
    /// Formats one record as a line, without a line feed. `since_epoch` is the record's Unix time.
    pub fn line(self, since_epoch: Duration, record: &Record) -> String {
        let (s, ms) = (since_epoch.as_secs(), since_epoch.subsec_millis());
        match self {
            Self::Text => {
                let mut line = format!("{s}.{ms:03} {} {}", record.level(), record.args());
                let _ = record.key_values().visit(&mut TextPairs(&mut line));
                if let Some(core) = crate::cores::current_core_of_several() {
                    let _ = write!(line, " core={core}");
                }
                line
            }
            Self::Json => {
                let mut fields = Map::new();
                let _ = record.key_values().visit(&mut JsonPairs(&mut fields));
                if let Some(core) = crate::cores::current_core_of_several() {
                    fields.insert("core".into(), core.into());
                }
                // The fields of every line take precedence over a record's key of the same name.
                fields.insert("ts".into(), since_epoch.as_secs_f64().into());
                fields.insert("level".into(), record.level().as_str().into());
                fields.insert("target".into(), record.target().into());
                fields.insert("msg".into(), record.args().to_string().into());
                Json::Object(fields).to_string()
            }
        }
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level() && is_own_target(metadata.target())
    }

    fn log(&self, record: &Record) {
        if self.enabled(record.metadata()) {
            let now = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            // A failed write to the log must not stop the service.
            let _ = writeln!(std::io::stderr().lock(), "{}", self.0.line(now, record));
        }
    }

    fn flush(&self) {}
}

static LOGGER: OnceLock<Logger> = OnceLock::new();

/// Installs the logger at this level and format. A second call changes only the level.
pub fn start(level: LevelFilter, format: Format) {
    let _ = log::set_logger(LOGGER.get_or_init(|| Logger(format)));
    log::set_max_level(level);
}
