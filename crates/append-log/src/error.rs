//! The errors of an [`AppendLog`](crate::AppendLog).

use std::io::{self, ErrorKind};

use snafu::Snafu;

/// Why a log could not be opened, read or changed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The disk is full. The log is as before the call and takes records again once there is space.
    #[snafu(display("no room on the disk to {doing} '{name}'"))]
    Full {
        /// What was being done.
        doing: &'static str,
        /// The file.
        name: String,
        /// What the system said.
        source: io::Error,
    },
    /// The disk failed for another reason. Whether the call's records are on it is unknown. A later call may work.
    #[snafu(display("can't {doing} '{name}'"))]
    Io {
        /// What was being done.
        doing: &'static str,
        /// The file.
        name: String,
        /// What the system said.
        source: io::Error,
    },
    /// A record is damaged though later records are complete, which no torn write does.
    #[snafu(display(
        "'{name}': record {record} at byte {offset} is damaged; the next whole record begins at byte {next_record_at}"
    ))]
    Damaged {
        /// The file.
        name: String,
        /// How many complete records come before it.
        record: u64,
        /// Where it begins, in bytes from the start.
        offset: u64,
        /// Where the next complete record begins, in bytes from the start.
        next_record_at: u64,
    },
    /// The file does not begin with a complete header.
    #[snafu(display("'{name}' has no whole header of this kind of file"))]
    Header {
        /// The file.
        name: String,
    },
    /// A later release wrote the file.
    #[snafu(display("'{name}' has format {found}; known are formats up to {known}"))]
    Newer {
        /// The file.
        name: String,
        /// Its format version.
        found: u32,
        /// The newest version that this program reads.
        known: u32,
    },
    /// A record or a batch is longer than the format allows; nothing was written.
    #[snafu(display("{bytes} bytes are more than the {limit} that fit"))]
    TooLarge {
        /// Its length in bytes.
        bytes: u64,
        /// The limit in bytes.
        limit: u64,
    },
}

impl Error {
    /// Classifies an error of the system: the disk is full, or something else.
    pub(crate) fn from_io(doing: &'static str, name: &str, source: io::Error) -> Error {
        let name = name.to_owned();
        match source.kind() {
            ErrorKind::StorageFull | ErrorKind::QuotaExceeded | ErrorKind::FileTooLarge => {
                Error::Full {
                    doing,
                    name,
                    source,
                }
            }
            _ => Error::Io {
                doing,
                name,
                source,
            },
        }
    }

    /// Whether the disk is full, so that the same call works once there is space.
    pub fn is_full(&self) -> bool {
        matches!(self, Error::Full { .. })
    }
}
