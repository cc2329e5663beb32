//! Recovery when a log is opened: reads the records, and rewrites the last batch so that it is surely on the disk.

use std::io;

use crate::condition::{FileCondition, SegmentClassifier};
use crate::disk::{read_fully, write_fully};
use crate::format::FORMAT_VERSION;
use crate::scanner::{ScannedSegment, SegmentScanner};
use crate::{DiskFile, Error};

/// Bytes that are copied at once.
const COPY_CHUNK_BYTES: usize = 256 << 10;

/// The bytes that [`AppendLog::open`](crate::AppendLog::open) truncated because the last batch was incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TruncatedTail {
    /// Length in bytes to which the file was truncated.
    pub offset: u64,
    /// Number of bytes removed.
    pub bytes: u64,
}

/// The extent of the valid records in a file.
pub(crate) struct RecoveredFile {
    /// Length of the file's header and complete records before a torn batch's gap, in bytes.
    pub(crate) valid_length: u64,
    /// Length of the file in bytes.
    pub(crate) file_length: u64,
    /// Start of the last batch with a complete record, in bytes from the start of the file.
    pub(crate) last_batch_offset: u64,
}

impl RecoveredFile {
    /// The bytes to truncate if the last batch is incomplete.
    pub(crate) fn torn_tail(&self) -> Option<TruncatedTail> {
        (self.valid_length < self.file_length).then(|| TruncatedTail {
            offset: self.valid_length,
            bytes: self.file_length - self.valid_length,
        })
    }
}

/// Reads the complete records of a file, up to the first torn one.
///
/// # Errors
/// [`Error::InvalidHeader`], [`Error::NewerFormat`] or [`Error::Damaged`] for the file's condition; [`Error::DiskFull`]
/// or [`Error::Io`] if it can't be read.
pub(crate) fn read_records<F: DiskFile>(
    file: &mut F,
    name: &str,
    records: &mut Vec<Vec<u8>>,
) -> Result<RecoveredFile, Error> {
    let read_error = |error| Error::from_io("read", name, error);
    let mut scanner = SegmentScanner::new(file).map_err(read_error)?;
    match scanner.format_version().map_err(read_error)? {
        Some(FORMAT_VERSION) => {}
        Some(found) if found > FORMAT_VERSION => {
            return Err(Error::NewerFormat {
                name: name.to_owned(),
                found,
                newest_supported: FORMAT_VERSION,
            });
        }
        _ => {
            return Err(Error::InvalidHeader {
                name: name.to_owned(),
            })
        }
    }
    let mut classifier = SegmentClassifier::default();
    while let Some(segment) = scanner.next_segment().map_err(read_error)? {
        match (classifier.accept(&segment), segment) {
            (true, ScannedSegment::Record { body, .. }) => records.push(body),
            _ => {
                if let FileCondition::Damaged {
                    record,
                    offset,
                    next_record_at,
                } = classifier.condition()
                {
                    return Err(Error::Damaged {
                        name: name.to_owned(),
                        record,
                        offset,
                        next_record_at,
                    });
                }
            }
        }
    }
    let file_length = scanner.file_length();
    let valid_length = if let FileCondition::Torn { offset } = classifier.condition() {
        offset
    } else {
        file_length
    };
    Ok(RecoveredFile {
        valid_length,
        file_length,
        last_batch_offset: classifier.last_batch_before_gap().unwrap_or(valid_length),
    })
}

/// Reads the bytes from offset `from` up to `to` and writes them back unchanged, so that the next sync covers them.
pub(crate) fn rewrite_in_place<F: DiskFile>(
    file: &mut F,
    mut from: u64,
    to: u64,
) -> io::Result<()> {
    let mut chunk = vec![0; COPY_CHUNK_BYTES.min(to.saturating_sub(from) as usize)];
    while from < to {
        let chunk_length = (to - from).min(COPY_CHUNK_BYTES as u64) as usize;
        let count = read_fully(file, from, &mut chunk[..chunk_length])?;
        write_fully(file, from, &chunk[..count])?;
        if count < chunk_length {
            break;
        }
        from += chunk_length as u64;
    }
    Ok(())
}
