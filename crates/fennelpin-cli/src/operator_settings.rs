//! What operators may set beside the platform's settings file: defaults, a TOML file over them, and the environment
//! (`FENNELPIN_CLI_LEASE_MS=...`) over both. All defaults are here.

use crate::error::{CliError, InvalidOperatorSettingSnafu, ReadFileSnafu};
use control_plane::runtime::RuntimeSettings;
use figment::providers::{Env, Format as _, Serialized, Toml};
use figment::Figment;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use std::fmt;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

/// Lowest level of the lines that are logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[allow(missing_docs, reason = "the names say it")]
pub enum LogLevel {
    Off,
    Error,
    Warn,
    Info,
    Debug,
    Trace,
}

/// Form of the log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Time, level, target, text and `key=value` pairs.
    Text,
    /// One JSON object for each line.
    Json,
}

/// A word on the command line is none of those that may stand there.
#[derive(Debug, Snafu)]
#[snafu(display("{word:?} is none of {known_words}"))]
pub struct UnknownWord {
    word: String,
    known_words: &'static str,
}

fn parse_word<T: serde::de::DeserializeOwned>(
    word: &str,
    known_words: &'static str,
) -> Result<T, UnknownWord> {
    serde_json::from_value(word.into()).map_err(|_| UnknownWord {
        word: word.to_owned(),
        known_words,
    })
}

impl FromStr for LogLevel {
    type Err = UnknownWord;

    fn from_str(word: &str) -> Result<Self, UnknownWord> {
        parse_word(word, "off, error, warn, info, debug, trace")
    }
}

impl FromStr for LogFormat {
    type Err = UnknownWord;

    fn from_str(word: &str) -> Result<Self, UnknownWord> {
        parse_word(word, "text, json")
    }
}

/// All that operators may set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Lowest level of the lines that are logged.
    pub log_level: LogLevel,
    /// Form of the log lines.
    pub log_format: LogFormat,
    /// Seconds between two lines of counters.
    pub counters_s: u64,
    /// Length of a primary's lease in ms. It has to be the same at all members.
    pub lease_ms: u64,
    /// A write to disk that takes longer than this, in ms, means that the disk stalls.
    pub stall_ms: u64,
    /// Longest time in ms from a configuration request's last byte to its reply.
    pub patience_ms: u64,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        let runtime = RuntimeSettings::default();
        let ms = |duration: Duration| duration.as_millis() as u64;
        Self {
            log_level: LogLevel::Info,
            log_format: LogFormat::Text,
            counters_s: runtime.counters_interval.as_secs(),
            lease_ms: ms(runtime.lease_duration),
            stall_ms: ms(runtime.disk_stall_timeout),
            patience_ms: ms(runtime.command_timeout),
        }
    }
}

impl fmt::Display for OperatorSettings {
    /// All settings on one line, as `config check` prints them.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Operator")
            .field("log_level", &self.log_level)
            .field("log_format", &self.log_format)
            .field("counters_s", &self.counters_s)
            .field("lease_ms", &self.lease_ms)
            .field("stall_ms", &self.stall_ms)
            .field("patience_ms", &self.patience_ms)
            .finish()
    }
}

/// Names of environment variables with our prefix that belong to the command line.
const COMMAND_LINE_VARIABLES: [&str; 2] = ["operator", "control"];

/// Bounds of a setting, both included.
struct Bounds {
    key: &'static str,
    value: u64,
    min: u64,
    max: u64,
}

impl OperatorSettings {
    /// Reads the defaults, the file and the environment.
    ///
    /// # Errors
    /// [`CliError::ReadFile`] where the file can't be read, [`CliError::InvalidOperatorSetting`] where a key is unknown
    /// or has an invalid value.
    pub fn read(file: Option<&Path>) -> Result<OperatorSettings, CliError> {
        let mut sources = Figment::from(Serialized::defaults(OperatorSettings::default()));
        if let Some(path) = file {
            // Figment takes a missing file for an empty one.
            std::fs::metadata(path).context(ReadFileSnafu { path })?;
            sources = sources.merge(Toml::file_exact(path));
        }
        let environment = Env::prefixed("FENNELPIN_CLI_").ignore(&COMMAND_LINE_VARIABLES);
        let sources = sources.merge(environment);
        let settings: OperatorSettings = sources.extract().map_err(invalid_setting)?;
        settings.check_bounds(&sources)?;
        Ok(settings)
    }

    fn check_bounds(&self, sources: &Figment) -> Result<(), CliError> {
        let bounds = |key, value, min, max| Bounds {
            key,
            value,
            min,
            max,
        };
        let all = [
            bounds("counters_s", self.counters_s, 1, 86_400),
            bounds("lease_ms", self.lease_ms, 100, 60_000),
            bounds("stall_ms", self.stall_ms, 20, 60_000),
            bounds("patience_ms", self.patience_ms, 100, 60_000),
        ];
        for Bounds {
            key,
            value,
            min,
            max,
        } in all
        {
            if (min..=max).contains(&value) {
                continue;
            }
            let place = sources
                .find_metadata(key)
                .map_or_else(String::new, source_name);
            let detail = format!("{value} is not between {min} and {max}");
            return InvalidOperatorSettingSnafu { place, key, detail }.fail();
        }
        Ok(())
    }

    /// The settings of a control plane's member.
    pub fn runtime_settings(&self) -> RuntimeSettings {
        RuntimeSettings {
            lease_duration: Duration::from_millis(self.lease_ms),
            command_timeout: Duration::from_millis(self.patience_ms),
            disk_stall_timeout: Duration::from_millis(self.stall_ms),
            counters_interval: Duration::from_secs(self.counters_s),
        }
    }
}

/// The first error that figment found. The others show up once it is corrected.
fn invalid_setting(error: figment::Error) -> CliError {
    let place = error
        .metadata
        .as_ref()
        .map_or_else(|| "the defaults".into(), source_name);
    CliError::InvalidOperatorSetting {
        place,
        key: error.path.join("."),
        detail: error.kind.to_string(),
    }
}

/// Name of the file, or of another source, that a value comes from.
fn source_name(metadata: &figment::Metadata) -> String {
    match &metadata.source {
        Some(source) => source.to_string(),
        None => metadata.name.to_string(),
    }
}
