//! What is wrong with the configuration.

use crate::core::settings::SettingsError;
use std::path::PathBuf;

/// What is wrong with the configuration. Each message names the key or the file.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A key is missing that has no default.
    #[error("'{0}' is missing")]
    Missing(&'static str),
    /// A file can't be read.
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    /// A file is not of the form that it should have.
    #[error("{0}: {1}")]
    Syntax(PathBuf, SyntaxError),
    /// A key has a value that it can't have.
    #[error("'{0}' can't be '{1}'")]
    Value(&'static str, String),
    /// The settings contradict each other.
    #[error("'settings': {0}")]
    Settings(#[from] SettingsError),
}

/// Why a file is not of the form that it should have.
#[derive(Debug, thiserror::Error)]
pub enum SyntaxError {
    /// It is not JSON, or has a key of another type.
    #[error("{0}")]
    Json(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// Something follows the JSON document.
    #[error("{0}")]
    TrailingJson(#[from] serde_json::Error),
    /// It is not TOML, or has a key that is not known or of another type.
    #[error("{0}")]
    Toml(#[from] toml::de::Error),
}
