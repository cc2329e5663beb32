//! Errors in the adapter's input, and failures to write its output.

use coordinator::core::settings::SettingsError;
use std::io;

/// An error in a message, or a failure to write the replies.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// A message lacks a value.
    #[error("{message}: '{field}' is missing")]
    Missing {
        /// The message type.
        message: String,
        /// The name of the value.
        field: &'static str,
    },
    /// A value can't be parsed as its type.
    #[error("{message}: '{field}' can't be parsed from '{text}'")]
    Unreadable {
        /// The message type.
        message: String,
        /// The name of the value.
        field: &'static str,
        /// The text that was found.
        text: String,
    },
    /// A number is infinite or not a number.
    #[error("{message}: '{field}' is not a finite number")]
    NotFinite {
        /// The message type.
        message: String,
        /// The name of the value.
        field: &'static str,
    },
    /// A value is not among those that the protocol defines.
    #[error("{message}: '{field}' has the unknown value '{value}'")]
    Unknown {
        /// The message type.
        message: &'static str,
        /// The name of the value.
        field: &'static str,
        /// The value that was found.
        value: String,
    },
    /// A query names a class that the settings don't have.
    #[error("job_in: 'band' names an unknown class: '{0}'")]
    UnknownClass(String),
    /// A message of an unknown type.
    #[error("unknown event '{0}'")]
    UnknownEvent(String),
    /// A server list is followed by another message where an entry is due.
    #[error("snapshot_rows: expected an 'm' line, found '{0}'")]
    EntryExpected(String),
    /// The input ends within the entries of a server list.
    #[error("snapshot_rows: the input ends within the list")]
    TruncatedServerList,
    /// The settings of a `start` message are invalid.
    #[error("start: 'options': {0}")]
    Settings(#[from] SettingsError),
    /// A message outside a batch.
    #[error("'{0}' is outside a batch")]
    OutsideBatch(String),
    /// The input ends within a batch.
    #[error("the input ends within a batch")]
    TruncatedBatch,
    /// The replies can't be written.
    #[error("output: {0}")]
    Output(#[from] io::Error),
}

/// An error with its position in the input.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {error}")]
pub struct InputError {
    /// Line number, counted from 1.
    pub line: u64,
    /// The error.
    pub error: WireError,
}
