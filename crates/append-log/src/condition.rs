//! The condition of a log file: complete, torn in its last batch, damaged, or of an unsupported format.

use std::fmt;

use crate::format::FORMAT_VERSION;
use crate::scanner::ScannedSegment;

/// The condition of a log file, which decides what the next [`AppendLog::open`](crate::AppendLog::open) does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileCondition {
    /// All records of the file are complete.
    Complete,
    /// The last batch is incomplete: opening truncates the file to `offset`.
    Torn {
        /// End of the last complete record before the torn one, in bytes from the start of the file.
        offset: u64,
    },
    /// A synced record is damaged: opening fails.
    Damaged {
        /// Number of complete records before the damaged one.
        record: u64,
        /// Start of the damaged record, in bytes from the start of the file.
        offset: u64,
        /// Start of the next complete record of a later batch, in bytes from the start of the file.
        next_record_at: u64,
    },
    /// A later release wrote the file: opening fails.
    NewerFormat {
        /// Format version of the file.
        found: u32,
    },
    /// The file has no complete header of a known format: opening fails.
    InvalidHeader,
}

impl fmt::Display for FileCondition {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FileCondition::Complete => write!(formatter, "whole"),
            FileCondition::Torn { offset } => write!(formatter, "torn: the next start cuts it off at byte {offset}"),
            FileCondition::Damaged { record, offset, next_record_at } => write!(
                formatter,
                "damaged: record {record} at byte {offset}; byte {next_record_at} begins a whole record of a later batch"
            ),
            FileCondition::NewerFormat { found } => {
                write!(formatter, "format {found} of a later release; known are formats up to {FORMAT_VERSION}")
            }
            FileCondition::InvalidHeader => write!(formatter, "no whole header of this kind of file"),
        }
    }
}

/// Distinguishes a torn file from a damaged one, from the segments of its scan in order.
#[derive(Default)]
pub(crate) struct SegmentClassifier {
    /// Number of complete records before the first gap.
    pub(crate) records_before_gap: u64,
    /// Start of the batch of the last complete record before the first gap, in bytes from the start of the file.
    last_batch_before_gap: Option<u64>,
    /// Start of the first gap, in bytes from the start of the file.
    first_gap: Option<u64>,
    /// Start of the first complete record whose batch was written after the bytes of the gap.
    next_record_at: Option<u64>,
}

impl SegmentClassifier {
    /// Adds the next segment. Returns whether it is a record before any gap, which opening returns.
    pub(crate) fn accept(&mut self, segment: &ScannedSegment) -> bool {
        match (segment, self.first_gap) {
            (ScannedSegment::Record { batch_offset, .. }, None) => {
                self.records_before_gap += 1;
                self.last_batch_before_gap = Some(*batch_offset);
                return true;
            }
            (
                ScannedSegment::Record {
                    offset,
                    batch_offset,
                    ..
                },
                Some(gap),
            ) if *batch_offset > gap => {
                self.next_record_at.get_or_insert(*offset);
            }
            (ScannedSegment::Record { .. } | ScannedSegment::Gap { .. }, Some(_)) => {}
            (ScannedSegment::Gap { offset, .. }, None) => self.first_gap = Some(*offset),
        }
        false
    }

    /// Start of the last batch that has a complete record before any gap; `None` if there is no such record.
    pub(crate) fn last_batch_before_gap(&self) -> Option<u64> {
        self.last_batch_before_gap
    }

    /// The condition that follows from the segments so far.
    pub(crate) fn condition(&self) -> FileCondition {
        match (self.first_gap, self.next_record_at) {
            (None, _) => FileCondition::Complete,
            (Some(offset), None) => FileCondition::Torn { offset },
            (Some(offset), Some(next_record_at)) => FileCondition::Damaged {
                record: self.records_before_gap,
                offset,
                next_record_at,
            },
        }
    }
}
