//! The condition of a file: complete, torn in its last batch, damaged, or of another format.

use std::fmt;

use crate::format::FORMAT_VERSION;
use crate::scanner::ScannedSegment;

/// The condition of a file, which decides what the next [`AppendLog::open`](crate::AppendLog::open) does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileCondition {
    /// All of it is complete.
    Whole,
    /// The last batch is incomplete: opening truncates the file here.
    Torn {
        /// Where the good bytes end, in bytes from the start of the file.
        offset: u64,
    },
    /// A record that had been synced is damaged: opening fails.
    Damaged {
        /// How many complete records come before it.
        record: u64,
        /// Where it begins, in bytes from the start.
        offset: u64,
        /// Where the next complete record of a later batch begins.
        next_record_at: u64,
    },
    /// A later release wrote it: opening fails.
    Newer {
        /// Its format version.
        found: u32,
    },
    /// It has no complete header: opening fails.
    NoHeader,
}

impl fmt::Display for FileCondition {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FileCondition::Whole => write!(to, "whole"),
            FileCondition::Torn { offset } => write!(to, "torn: the next start cuts it off at byte {offset}"),
            FileCondition::Damaged { record, offset, next_record_at } => write!(
                to,
                "damaged: record {record} at byte {offset}; byte {next_record_at} begins a whole record of a later batch"
            ),
            FileCondition::Newer { found } => {
                write!(to, "format {found} of a later release; known are formats up to {FORMAT_VERSION}")
            }
            FileCondition::NoHeader => write!(to, "no whole header of this kind of file"),
        }
    }
}

/// Tells torn from damaged, of the scanner of a file one after the other.
#[derive(Default)]
pub(crate) struct SegmentClassifier {
    /// How many complete records there are before any gap.
    pub(crate) records: u64,
    /// Where the batch of the last of them begins.
    last_good_batch: Option<u64>,
    /// Where the first gap begins.
    gap: Option<u64>,
    /// Where a complete record begins whose batch was written after what the gap held.
    next_record_at: Option<u64>,
}

impl SegmentClassifier {
    /// Takes the next segment. Returns whether it is a record before any gap, so that opening gives it.
    pub(crate) fn accept(&mut self, segment: &ScannedSegment) -> bool {
        match (segment, self.gap) {
            (ScannedSegment::Record { batch, .. }, None) => {
                self.records += 1;
                self.last_good_batch = Some(*batch);
                return true;
            }
            (ScannedSegment::Record { offset, batch, .. }, Some(gap)) if *batch > gap => {
                self.next_record_at.get_or_insert(*offset);
            }
            (ScannedSegment::Record { .. } | ScannedSegment::Gap { .. }, Some(_)) => {}
            (ScannedSegment::Gap { offset, .. }, None) => self.gap = Some(*offset),
        }
        false
    }

    /// Where the last batch begins that has a record before any gap.
    pub(crate) fn last_good_batch(&self) -> Option<u64> {
        self.last_good_batch
    }

    /// What the scanner seen come to.
    pub(crate) fn condition(&self) -> FileCondition {
        match (self.gap, self.next_record_at) {
            (None, _) => FileCondition::Whole,
            (Some(offset), None) => FileCondition::Torn { offset },
            (Some(offset), Some(next_record_at)) => FileCondition::Damaged {
                record: self.records,
                offset,
                next_record_at,
            },
        }
    }
}
