//! What can be wrong with the adapter's input.

use coordinator::core::settings::SettingsError;
use std::io;

/// An error in a message of the input.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// A message lacks a value.
    #[error("{message}: '{field}' is missing")]
    Missing {
        /// The message's word.
        message: String,
        /// The value's name.
        field: &'static str,
    },
    /// A value is not of its type.
    #[error("{message}: '{field}' can't be read from '{text}'")]
    Unreadable {
        /// The message's word.
        message: String,
        /// The value's name.
        field: &'static str,
        /// What stands in its place.
        text: String,
    },
    /// A number is infinite or none.
    #[error("{message}: '{field}' is not a finite number")]
    NotFinite {
        /// The message's word.
        message: String,
        /// The value's name.
        field: &'static str,
    },
    /// A value is none of those that the wire knows.
    #[error("{message}: '{field}' can't be '{value}'")]
    Unknown {
        /// The message's word.
        message: &'static str,
        /// The value's name.
        field: &'static str,
        /// The value.
        value: String,
    },
    /// A query of a class that the settings don't have.
    #[error("job_in: 'band' names no class: '{0}'")]
    UnknownClass(String),
    /// A message with an unknown word.
    #[error("unknown event '{0}'")]
    UnknownEvent(String),
    /// Another message stands among the entries of a list.
    #[error("snapshot_rows: an 'm' line is missing before '{0}'")]
    EntryExpected(String),
    /// The input ends among the entries of a list.
    #[error("snapshot_rows: the input ends within the list")]
    ListCutShort,
    /// The settings of a `start` mean nothing.
    #[error("start: 'options': {0}")]
    Settings(#[from] SettingsError),
    /// A message outside a batch.
    #[error("'{0}' stands outside a batch")]
    OutsideBatch(String),
    /// The input ends within a batch.
    #[error("the input ends within a batch")]
    BatchCutShort,
    /// The replies can't be written.
    #[error("output: {0}")]
    Output(#[from] io::Error),
}

/// An error with the number of its line, counted from 1.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {error}")]
pub struct InputError {
    /// The line.
    pub line: u64,
    /// What is wrong with it.
    pub error: WireError,
}
