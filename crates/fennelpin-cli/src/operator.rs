//! What operators may set beside the platform's settings file: defaults, a TOML file over them, and the
//! environment (`FENNELPIN_CLI_LEASE_MS=...`) over both. All defaults are here.

use crate::failure::{Failure, OperatorSnafu, UnreadableSnafu};
use control_plane::runtime::RuntimeSettings;
use figment::providers::{Env, Format as _, Serialized, Toml};
use figment::Figment;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

/// Least level of the lines that are logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[allow(missing_docs)]
pub enum Level {
    Off,
    Error,
    Warn,
    Info,
    Debug,
    Trace,
}

/// How lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Time, level, place, text and `key=value` pairs.
    Text,
    /// One JSON object a line.
    Json,
}

fn of_word<T: serde::de::DeserializeOwned>(word: &str, words: &str) -> Result<T, String> {
    serde_json::from_value(word.into()).map_err(|_| format!("{word:?} is none of {words}"))
}

impl FromStr for Level {
    type Err = String;

    fn from_str(word: &str) -> Result<Self, String> {
        of_word(word, "off, error, warn, info, debug, trace")
    }
}

impl FromStr for Format {
    type Err = String;

    fn from_str(word: &str) -> Result<Self, String> {
        of_word(word, "text, json")
    }
}

/// All that operators may set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Least level of the lines that are logged.
    pub log_level: Level,
    /// How lines are written.
    pub log_format: Format,
    /// Seconds between two lines of counters.
    pub counters_s: u64,
    /// Length of a primary's lease, in ms; the same at all members.
    pub lease_ms: u64,
    /// A write to disk that takes longer, in ms, means that the disk stalls.
    pub stall_ms: u64,
    /// The longest that a configuration call may take, in ms.
    pub patience_ms: u64,
}

impl Default for Operator {
    fn default() -> Self {
        let settings = RuntimeSettings::default();
        let ms = |d: Duration| d.as_millis() as u64;
        Self {
            log_level: Level::Info,
            log_format: Format::Text,
            counters_s: settings.counters_interval.as_secs(),
            lease_ms: ms(settings.lease_duration),
            stall_ms: ms(settings.disk_stall_timeout),
            patience_ms: ms(settings.command_timeout),
        }
    }
}

/// Variables that belong to the command line.
const NOT_OURS: [&str; 2] = ["operator", "control"];

impl Operator {
    /// Reads the defaults, the file and the environment.
    ///
    /// # Errors
    /// Where the file can't be read, and where a key is unknown or has a wrong value: key and place are named.
    pub fn read(file: Option<&Path>) -> Result<Operator, Failure> {
        let mut sources = Figment::from(Serialized::defaults(Operator::default()));
        if let Some(path) = file {
            // A file that was named has to be there.
            std::fs::metadata(path).context(UnreadableSnafu { path })?;
            sources = sources.merge(Toml::file_exact(path));
        }
        Self::of(&sources.merge(Env::prefixed("FENNELPIN_CLI_").ignore(&NOT_OURS)))
    }

    fn of(sources: &Figment) -> Result<Operator, Failure> {
        let operator: Operator = sources.extract().map_err(|e| {
            // The first is enough: the others come up once it is mended.
            let place = e
                .metadata
                .as_ref()
                .map_or_else(|| "the defaults".into(), place);
            let key = e.path.join(".");
            Failure::Operator {
                place,
                key,
                detail: e.kind.to_string(),
            }
        })?;
        let bounds: [(&'static str, u64, u64, u64); 4] = [
            ("counters_s", operator.counters_s, 1, 86_400),
            ("lease_ms", operator.lease_ms, 100, 60_000),
            ("stall_ms", operator.stall_ms, 20, 60_000),
            ("patience_ms", operator.patience_ms, 100, 60_000),
        ];
        for (key, value, least, most) in bounds {
            if !(least..=most).contains(&value) {
                let place = sources.find_metadata(key).map_or_else(String::new, place);
                let detail = format!("{value} is not between {least} and {most}");
                return OperatorSnafu { place, key, detail }.fail();
            }
        }
        Ok(operator)
    }

    /// What of it concerns a member.
    pub fn runtime_settings(&self) -> RuntimeSettings {
        RuntimeSettings {
            lease_duration: Duration::from_millis(self.lease_ms),
            command_timeout: Duration::from_millis(self.patience_ms),
            disk_stall_timeout: Duration::from_millis(self.stall_ms),
            counters_interval: Duration::from_secs(self.counters_s),
        }
    }
}

fn place(metadata: &figment::Metadata) -> String {
    match &metadata.source {
        Some(source) => source.to_string(),
        None => metadata.name.to_string(),
    }
}
