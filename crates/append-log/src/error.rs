//! Errors of an [`AppendLog`](crate::AppendLog).

use std::io::{self, ErrorKind};

use snafu::Snafu;

/// Why a log could not be opened, read or changed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The disk is full. The log is unchanged, and accepts records again once there is space.
    #[snafu(display("can't {operation} '{name}': no space left on the disk"))]
    DiskFull {
        /// Operation that failed, as a verb phrase that continues with the file's name.
        operation: &'static str,
        /// Name of the file.
        name: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The disk failed for another reason. Whether the call's records were stored is unknown. A later call may succeed.
    #[snafu(display("can't {operation} '{name}'"))]
    Io {
        /// Operation that failed, as a verb phrase that continues with the file's name.
        operation: &'static str,
        /// Name of the file.
        name: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A record is damaged although records of a later batch are complete, so that it can't be a torn write.
    #[snafu(display(
        "'{name}': record {record} at byte {offset} is damaged; the next complete record begins at byte {next_record_at}"
    ))]
    Damaged {
        /// Name of the file.
        name: String,
        /// Number of complete records before the damaged one.
        record: u64,
        /// Start of the damaged record, in bytes from the start of the file.
        offset: u64,
        /// Start of the next complete record of a later batch, in bytes from the start of the file.
        next_record_at: u64,
    },
    /// The file does not begin with a complete header of a known format.
    #[snafu(display("'{name}' has no valid log header"))]
    InvalidHeader {
        /// Name of the file.
        name: String,
    },
    /// A later release wrote the file.
    #[snafu(display(
        "'{name}' has format version {found}; the newest supported version is {newest_supported}"
    ))]
    NewerFormat {
        /// Name of the file.
        name: String,
        /// Format version of the file.
        found: u32,
        /// Newest format version that this release reads.
        newest_supported: u32,
    },
    /// A record or a batch is longer than the format allows; nothing was written.
    #[snafu(display("record or batch of {bytes} bytes exceeds the limit of {limit} bytes"))]
    TooLarge {
        /// Length of the record or batch in bytes.
        bytes: u64,
        /// Largest allowed length in bytes.
        limit: u64,
    },
}

impl Error {
    /// Classifies an I/O error of `operation`: [`Error::DiskFull`] or [`Error::Io`].
    pub(crate) fn from_io(operation: &'static str, name: &str, source: io::Error) -> Error {
        let name = name.to_owned();
        match source.kind() {
            ErrorKind::StorageFull | ErrorKind::QuotaExceeded | ErrorKind::FileTooLarge => {
                Error::DiskFull {
                    operation,
                    name,
                    source,
                }
            }
            _ => Error::Io {
                operation,
                name,
                source,
            },
        }
    }

    /// Whether the disk is full, so that the same call can succeed once there is space.
    pub fn is_full(&self) -> bool {
        matches!(self, Error::DiskFull { .. })
    }
}
