//! What can go wrong.

use std::io::{self, ErrorKind};

use snafu::Snafu;

/// Why the file could not be opened or changed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The disk has no room. The file stands as before the call and takes records again once there is room.
    #[snafu(display("no room on the disk to {doing} '{name}'"))]
    Full {
        /// What was being done.
        doing: &'static str,
        /// The file.
        name: String,
        /// What the system said.
        source: io::Error,
    },
    /// The disk refused for another reason. Whether the call's records are on it is not known; a later call may
    /// work.
    #[snafu(display("can't {doing} '{name}'"))]
    Io {
        /// What was being done.
        doing: &'static str,
        /// The file.
        name: String,
        /// What the system said.
        source: io::Error,
    },
    /// A record is damaged though what was written after it is whole: no torn write does that.
    #[snafu(display(
        "'{name}': record {record} at byte {offset} is damaged; the next whole record begins at byte {next_record_at}"
    ))]
    Damaged {
        /// The file.
        name: String,
        /// How many whole records come before it.
        record: u64,
        /// Where it begins, in bytes from the start.
        offset: u64,
        /// Where the next whole record begins, in bytes from the start.
        next_record_at: u64,
    },
    /// The file does not begin with a whole header.
    #[snafu(display("'{name}' has no whole header of this kind of file"))]
    Header {
        /// The file.
        name: String,
    },
    /// The file was written by a later release.
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
    /// Sorts an error of the system: is there no room, or is it something else?
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

    /// Whether the disk has no room, so that the same call works once there is some.
    pub fn is_full(&self) -> bool {
        matches!(self, Error::Full { .. })
    }
}
