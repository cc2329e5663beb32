//! Reads a file when it is opened, and makes sure that its last batch is on the disk.

use std::io;

use crate::condition::{FileCondition, SegmentClassifier};
use crate::disk::{read_fully, write_fully};
use crate::format::FORMAT_VERSION;
use crate::scanner::{ScannedSegment, SegmentScanner};
use crate::{DiskFile, Error};

/// How much is copied at once, in bytes.
const CHUNK_BYTES: usize = 256 << 10;

/// What [`AppendLog::open`](crate::AppendLog::open) cut off because the last batch was incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TruncatedTail {
    /// Where the file was truncated, in bytes from its start.
    pub offset: u64,
    /// How many bytes were cut off.
    pub bytes: u64,
}

/// What was found in a file.
pub(crate) struct Found {
    /// Where the good bytes end.
    pub(crate) length: u64,
    /// Length of the file in bytes.
    pub(crate) end: u64,
    /// Where the last good batch begins.
    pub(crate) batch: u64,
}

impl Found {
    /// What has to be cut off, if the last batch is incomplete.
    pub(crate) fn torn_tail(&self) -> Option<TruncatedTail> {
        (self.length < self.end).then(|| TruncatedTail {
            offset: self.length,
            bytes: self.end - self.length,
        })
    }
}

/// Reads the records of a file, up to a torn batch.
///
/// # Errors
/// [`Error::Header`], [`Error::Newer`] and [`Error::Damaged`] for the file's condition, else what the disk says.
pub(crate) fn read_records<F: DiskFile>(
    file: &mut F,
    name: &str,
    records: &mut Vec<Vec<u8>>,
) -> Result<Found, Error> {
    let failed = |error| Error::from_io("read", name, error);
    let mut scanner = SegmentScanner::new(file).map_err(failed)?;
    match scanner.version().map_err(failed)? {
        Some(FORMAT_VERSION) => {}
        Some(found) if found > FORMAT_VERSION => {
            return Err(Error::Newer {
                name: name.to_owned(),
                found,
                known: FORMAT_VERSION,
            });
        }
        _ => {
            return Err(Error::Header {
                name: name.to_owned(),
            })
        }
    }
    let mut classifier = SegmentClassifier::default();
    while let Some(segment) = scanner.next_segment().map_err(failed)? {
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
    let end = scanner.end();
    let length = if let FileCondition::Torn { offset } = classifier.condition() {
        offset
    } else {
        end
    };
    Ok(Found {
        length,
        end,
        batch: classifier.last_good_batch().unwrap_or(length),
    })
}

/// Writes the bytes between `from` and `to` over themselves, so that the next sync covers them.
pub(crate) fn rewrite_in_place<F: DiskFile>(
    file: &mut F,
    mut from: u64,
    to: u64,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES.min(to.saturating_sub(from) as usize)];
    while from < to {
        let part = (to - from).min(CHUNK_BYTES as u64) as usize;
        let read = read_fully(file, from, &mut chunk[..part])?;
        write_fully(file, from, &chunk[..read])?;
        if read < part {
            break;
        }
        from += part as u64;
    }
    Ok(())
}
