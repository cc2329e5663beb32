//! Recovery of a member's state from the records on its disk at the start.
//!
//! The records form segments, each of which begins with an accepted membership configuration. Only the last segment
//! gives the replica's state. An earlier one is replayed only if no later one shows which state was committed. At most
//! two states are in memory at once, however many changes there are.
//!
//! A record that can't be decoded, or a change that doesn't follow the one before, is never skipped: the member would
//! present itself with an older state, or with fewer promises, than it had.

use crate::replicated_state::ReplicatedState;
use protocol::{Change, MembershipConfig, Record, Snapshot};
use snafu::{ResultExt, Snafu};
use std::collections::BTreeSet;

/// The reason why a member can't rely on its records.
#[derive(Debug, Snafu)]
pub enum ReplayError {
    /// This release can't decode the record.
    #[snafu(display("record {record} can't be read"))]
    Unreadable {
        /// Position of the record, from 0.
        record: usize,
        /// The cause.
        source: protocol::DecodeError,
    },
    /// The snapshot that a membership configuration begins with can't be read.
    #[snafu(display("record {record}: the snapshot can't be read"))]
    InvalidSnapshot {
        /// Position of the record, from 0.
        record: usize,
        /// The cause.
        source: crate::replicated_state::SnapshotError,
    },
    /// A change has no snapshot before it.
    #[snafu(display("record {record}: no snapshot precedes the change"))]
    NoState {
        /// Position of the record, from 0.
        record: usize,
    },
    /// A change doesn't follow the one before.
    #[snafu(display(
        "record {record}: change {index} of epoch {epoch} follows change {last_index} of epoch {last_epoch}"
    ))]
    OutOfOrder {
        /// Position of the record, from 0.
        record: usize,
        /// The change's epoch.
        epoch: u64,
        /// The change's index.
        index: u64,
        /// Epoch of the membership configuration before it.
        last_epoch: u64,
        /// Index of the change before it.
        last_index: u64,
    },
    /// A change can't be applied to the state before it.
    #[snafu(display("record {record}: the change can't be applied: {detail}"))]
    Change {
        /// Position of the record, from 0.
        record: usize,
        /// The cause.
        detail: String,
    },
}

/// The recovered state.
#[derive(Debug, Default)]
pub(super) struct Recovered {
    /// The highest epoch that was promised.
    pub(super) promised_epoch: u64,
    /// The latest membership configuration that was accepted.
    pub(super) membership: Option<MembershipConfig>,
    /// The state after all changes on disk; `None` if the member is no replica.
    pub(super) durable: Option<ReplicatedState>,
    /// The newest state that was known to be committed.
    pub(super) committed: Option<ReplicatedState>,
}

/// The records from one accepted membership configuration to the next.
#[derive(Debug)]
struct Segment {
    /// Position of the record with the membership configuration.
    start: usize,
    /// Position after the last record.
    end: usize,
    /// The recorded commit indexes.
    commit_indexes: BTreeSet<u64>,
}

/// The result of replaying a segment.
#[derive(Debug, Default)]
struct ReplayedSegment {
    membership: MembershipConfig,
    /// The state after the last change.
    last: Option<ReplicatedState>,
    /// The state after the last change that was recorded as committed.
    committed: Option<ReplicatedState>,
}

/// Replays all records.
///
/// # Errors
/// If a record can't be relied on.
pub(super) fn replay(records: &[Vec<u8>]) -> Result<Recovered, ReplayError> {
    let mut recovered = Recovered::default();
    let segments = find_segments(records, &mut recovered.promised_epoch)?;
    for (age, segment) in segments.iter().rev().enumerate() {
        let is_latest = age == 0;
        if !is_latest && segment.commit_indexes.is_empty() {
            continue;
        }
        let replayed = replay_segment(records, segment)?;
        if is_latest {
            recovered.membership = Some(replayed.membership);
            recovered.durable = replayed.last;
        }
        if replayed.committed.is_some() {
            recovered.committed = replayed.committed;
            break;
        }
    }
    Ok(recovered)
}

fn decode(records: &[Vec<u8>], record: usize) -> Result<Record, ReplayError> {
    protocol::decode_record(&records[record]).context(UnreadableSnafu { record })
}

/// Decodes all records and finds the segments. Raises `promised_epoch` to the highest epoch recorded.
fn find_segments(
    records: &[Vec<u8>],
    promised_epoch: &mut u64,
) -> Result<Vec<Segment>, ReplayError> {
    let mut segments: Vec<Segment> = Vec::new();
    for record in 0..records.len() {
        match decode(records, record)? {
            Record::Promised { epoch } => *promised_epoch = epoch.max(*promised_epoch),
            Record::Accepted { membership, .. } => {
                *promised_epoch = membership.epoch.max(*promised_epoch);
                segments.push(Segment {
                    start: record,
                    end: record,
                    commit_indexes: BTreeSet::new(),
                });
            }
            Record::Change { .. } if segments.is_empty() => return NoStateSnafu { record }.fail(),
            Record::Change { .. } => {}
            Record::Committed { index } => {
                if let Some(segment) = segments.last_mut() {
                    segment.commit_indexes.insert(index);
                }
            }
        }
        if let Some(segment) = segments.last_mut() {
            segment.end = record + 1;
        }
    }
    Ok(segments)
}

fn replay_segment(records: &[Vec<u8>], segment: &Segment) -> Result<ReplayedSegment, ReplayError> {
    let mut replayed = ReplayedSegment::default();
    for record in segment.start..segment.end {
        match decode(records, record)? {
            Record::Accepted {
                membership,
                snapshot,
            } => {
                let state = snapshot.map(|s| decode_snapshot(record, &s)).transpose()?;
                replayed.membership = membership;
                replayed.last = state;
            }
            Record::Change {
                epoch,
                index,
                change,
            } => replayed.apply(record, epoch, index, &change)?,
            Record::Promised { .. } | Record::Committed { .. } => continue,
        }
        let last = replayed.last.as_ref();
        if let Some(state) = last.filter(|s| segment.commit_indexes.contains(&s.index)) {
            replayed.committed = Some(state.clone());
        }
    }
    Ok(replayed)
}

impl ReplayedSegment {
    /// Applies the change of the given record.
    fn apply(
        &mut self,
        record: usize,
        epoch: u64,
        index: u64,
        change: &Change,
    ) -> Result<(), ReplayError> {
        let Some(last) = &self.last else {
            return NoStateSnafu { record }.fail();
        };
        let (last_epoch, last_index) = (self.membership.epoch, last.index);
        if epoch != last_epoch || index != last_index + 1 {
            return OutOfOrderSnafu {
                record,
                epoch,
                index,
                last_epoch,
                last_index,
            }
            .fail();
        }
        let next = last.apply(change);
        let next = next.map_err(|error| ReplayError::Change {
            record,
            detail: error.to_string(),
        })?;
        self.last = Some(next);
        Ok(())
    }
}

fn decode_snapshot(record: usize, snapshot: &Snapshot) -> Result<ReplicatedState, ReplayError> {
    ReplicatedState::from_snapshot(snapshot).context(InvalidSnapshotSnafu { record })
}
