//! What a member's records come to when it starts again. Pure.
//!
//! The records fall into segments, each begun by a view that was accepted. Only the last one says what the member
//! holds; an earlier one is replayed only where no later one tells which ledger was acknowledged. Two ledgers are in
//! memory at most, whatever the number of changes.
//!
//! A record that can't be read, or a change that doesn't follow what is before it, is never passed over: the member
//! would count as one with an older ledger, or with fewer promises, than it had.

use crate::replicated_state::ReplicatedState;
use protocol::{MembershipConfig, Record, Snapshot};
use snafu::{ResultExt, Snafu};
use std::collections::BTreeSet;

/// Why a member can't rely on its records.
#[derive(Debug, Snafu)]
pub enum ReplayError {
    /// A record is no record of this release.
    #[snafu(display("record {record} can't be read"))]
    Unreadable {
        /// Its place, from 0.
        record: usize,
        /// Why.
        source: protocol::DecodeError,
    },
    /// The ledger at the start of a view can't be read.
    #[snafu(display("record {record}: the ledger can't be read"))]
    InvalidSnapshot {
        /// The record's place, from 0.
        record: usize,
        /// Why.
        source: configuration::InvalidConfiguration,
    },
    /// A change comes where no ledger is held.
    #[snafu(display("record {record}: a change without a ledger"))]
    NoLedger {
        /// The record's place, from 0.
        record: usize,
    },
    /// A change doesn't follow the one before.
    #[snafu(display(
        "record {record}: change {index} of epoch {epoch} after {held_index} of {held_epoch}"
    ))]
    OutOfOrder {
        /// The record's place, from 0.
        record: usize,
        /// The change's epoch.
        epoch: u64,
        /// The change's number.
        index: u64,
        /// Epoch of the view before it.
        held_epoch: u64,
        /// Number of the change before it.
        held_index: u64,
    },
    /// A change can't be made again.
    #[snafu(display("record {record}: the change can't be made again: {detail}"))]
    Change {
        /// The record's place, from 0.
        record: usize,
        /// Why.
        detail: String,
    },
}

/// What the records say.
#[derive(Debug, Default)]
pub(super) struct Recovered {
    /// The highest epoch that was promised.
    pub(super) promised: u64,
    /// The latest view that was accepted.
    pub(super) view: Option<MembershipConfig>,
    /// The ledger, where it is held.
    pub(super) held: Option<ReplicatedState>,
    /// The newest ledger that was known to be acknowledged.
    pub(super) acknowledged: Option<ReplicatedState>,
}

/// The records from a view that was accepted up to the next one.
#[derive(Debug)]
struct Segment {
    /// Place of the record with the view.
    start: usize,
    /// Place behind the last record.
    end: usize,
    /// Changes that are said to be acknowledged.
    acknowledged: BTreeSet<u64>,
}

/// The ledgers of a segment.
#[derive(Debug)]
struct Replayed {
    view: MembershipConfig,
    /// After the last change.
    last: Option<ReplicatedState>,
    /// After the last change that is said to be acknowledged.
    acknowledged: Option<ReplicatedState>,
}

/// Replays all records.
///
/// # Errors
/// Where one can't be relied on.
pub(super) fn replay(records: &[Vec<u8>]) -> Result<Recovered, ReplayError> {
    let mut recovered = Recovered::default();
    let segments = segments(records, &mut recovered.promised)?;
    for (number, segment) in segments.iter().rev().enumerate() {
        if number > 0 && segment.acknowledged.is_empty() {
            continue;
        }
        let replayed = replay_segment(records, segment)?;
        if number == 0 {
            recovered.view = Some(replayed.view);
            recovered.held = replayed.last;
        }
        if replayed.acknowledged.is_some() {
            recovered.acknowledged = replayed.acknowledged;
            break;
        }
    }
    Ok(recovered)
}

fn read(records: &[Vec<u8>], record: usize) -> Result<Record, ReplayError> {
    protocol::decode_record(&records[record]).context(UnreadableSnafu { record })
}

/// Looks at each record, and finds where the segments begin.
fn segments(records: &[Vec<u8>], promised: &mut u64) -> Result<Vec<Segment>, ReplayError> {
    let mut segments: Vec<Segment> = Vec::new();
    for record in 0..records.len() {
        match read(records, record)? {
            Record::Promised { epoch } => *promised = epoch.max(*promised),
            Record::Accepted { membership, .. } => {
                *promised = membership.epoch.max(*promised);
                segments.push(Segment {
                    start: record,
                    end: record,
                    acknowledged: BTreeSet::new(),
                });
            }
            Record::Change { .. } if segments.is_empty() => return NoLedgerSnafu { record }.fail(),
            Record::Change { .. } => {}
            Record::Committed { index } => {
                segments
                    .iter_mut()
                    .next_back()
                    .map(|segment| segment.acknowledged.insert(index));
            }
        }
        if let Some(segment) = segments.last_mut() {
            segment.end = record + 1;
        }
    }
    Ok(segments)
}

fn replay_segment(records: &[Vec<u8>], segment: &Segment) -> Result<Replayed, ReplayError> {
    let mut replayed = Replayed {
        view: MembershipConfig::default(),
        last: None,
        acknowledged: None,
    };
    for record in segment.start..segment.end {
        match read(records, record)? {
            Record::Accepted {
                membership,
                snapshot,
            } => {
                replayed.view = membership;
                replayed.last = snapshot.map(|s| ledger(record, &s)).transpose()?;
            }
            Record::Change {
                epoch,
                index,
                change,
            } => {
                let Some(held) = &replayed.last else {
                    return NoLedgerSnafu { record }.fail();
                };
                let (held_epoch, held_index) = (replayed.view.epoch, held.index);
                if epoch != held_epoch || index != held_index + 1 {
                    return OutOfOrderSnafu {
                        record,
                        epoch,
                        index,
                        held_epoch,
                        held_index,
                    }
                    .fail();
                }
                let next = held.after(&change);
                let next = next.map_err(|(_, detail)| ReplayError::Change { record, detail })?;
                replayed.last = Some(next);
            }
            Record::Promised { .. } | Record::Committed { .. } => continue,
        }
        let said = replayed
            .last
            .as_ref()
            .filter(|l| segment.acknowledged.contains(&l.index));
        if let Some(ledger) = said {
            replayed.acknowledged = Some(ledger.clone());
        }
    }
    Ok(replayed)
}

fn ledger(record: usize, snapshot: &Snapshot) -> Result<ReplicatedState, ReplayError> {
    ReplicatedState::of(snapshot).context(InvalidSnapshotSnafu { record })
}
