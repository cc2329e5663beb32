//! The errors of a configuration.

use crate::core::settings::SettingsError;
use std::path::PathBuf;

/// An error of the configuration. Each message names the key or the file.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A key without a default is missing.
    #[error("'{0}' is missing")]
    Missing(&'static str),
    /// A file can't be read.
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    /// A file can't be parsed.
    #[error("{0}: {1}")]
    Syntax(PathBuf, SyntaxError),
    /// The value of a key is invalid.
    #[error("'{0}' can't be '{1}'")]
    Value(&'static str, String),
    /// The settings are invalid or contradict each other.
    #[error("'settings': {0}")]
    Settings(#[from] SettingsError),
}

/// The reason why a file can't be parsed.
#[derive(Debug, thiserror::Error)]
pub enum SyntaxError {
    /// It is not JSON, or a value is of the wrong type.
    #[error("{0}")]
    Json(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// Something follows the JSON document.
    #[error("{0}")]
    TrailingJson(#[from] serde_json::Error),
    /// It is not TOML, has an unknown key, or a value is of the wrong type.
    #[error("{0}")]
    Toml(#[from] toml::de::Error),
}
