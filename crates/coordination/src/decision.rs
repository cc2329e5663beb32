//! Decides the outcome of a request in a given state: a change to make, or an answer.

use crate::cells::{group_of, Cell, EarlierPut};
use crate::limits::MAX_STATE_BYTES;
use crate::lock_deadlines::LockDeadlines;
use crate::state::CoordinationState;
use protocol::{CoordinationChange, CoordinationRequest};
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of puts in one answer to a watch.
const MAX_EVENTS_PER_ANSWER: usize = 1000;
/// Maximum size of the names and values in one answer to a watch, in bytes. A single larger put is still sent.
const MAX_EVENT_BYTES_PER_ANSWER: usize = 256 << 10;

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The change must be made. The answer follows from the state after it.
    Change(CoordinationChange),
    /// The answer; the state doesn't change.
    Answer(Answer),
}

/// Answer to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The caller holds the lock.
    Acquired {
        /// Fencing token of the hold.
        fence: u64,
    },
    /// Another holder has the lock.
    LockHeld,
    /// The hold was extended.
    Renewed,
    /// The caller no longer holds the lock.
    LockLost,
    /// The caller doesn't hold the lock.
    Released,
    /// Next number of the counter.
    Number {
        /// Number taken from the counter.
        value: u64,
    },
    /// The value was put into the cell, now or by an earlier copy of the request.
    Put {
        /// Revision of the first such put.
        revision: u64,
    },
    /// The cell's revision differs from the expected one. The value is not put and never will be.
    Conflict {
        /// Revision of the cell; 0 if it doesn't exist.
        revision: u64,
    },
    /// Value of the cell.
    Value(Cell),
    /// The cell doesn't exist.
    NoCell,
    /// Puts into the cells of a group.
    Events {
        /// Puts after the requested revision, oldest first.
        events: Vec<Cell>,
        /// Revision up to which all puts have been sent.
        revision: u64,
    },
    /// The history no longer holds the requested puts.
    HistoryGone,
    /// The history no longer shows whether the value was ever put.
    Forgotten,
    /// The memory limit is reached.
    Full,
}

impl CoordinationState {
    /// Decides the outcome of a request that may change the state. Requests that only read are answered by
    /// [`read`](Self::read) and [`watch`](Self::watch).
    pub fn decide(
        &self,
        request: &CoordinationRequest,
        deadlines: &LockDeadlines,
        now: Duration,
    ) -> Decision {
        let decision = match request {
            CoordinationRequest::AcquireLock {
                name,
                holder,
                attempt,
                hold_ms,
            } => {
                let change = CoordinationChange::LockAcquired {
                    name: name.clone(),
                    holder: holder.clone(),
                    hold_ms: *hold_ms,
                    attempt: *attempt,
                };
                self.decide_acquire(name, holder, *attempt, change, deadlines, now)
            }
            CoordinationRequest::RenewLock {
                name,
                holder,
                fence,
                hold_ms,
            } => self.decide_renew(name, holder, *fence, *hold_ms),
            CoordinationRequest::ReleaseLock {
                name,
                holder,
                fence,
            } => self.decide_release(name, holder, *fence),
            CoordinationRequest::NextNumber { name } => {
                Decision::Change(CoordinationChange::NumberTaken { name: name.clone() })
            }
            CoordinationRequest::PutCell {
                name,
                value,
                expected_revision,
            } => self.decide_put(name, value, *expected_revision),
            CoordinationRequest::FreeLock { name } => match self.lock(name) {
                Some(_) => {
                    Decision::Change(CoordinationChange::LockReleased { name: name.clone() })
                }
                None => Decision::Answer(Answer::Released),
            },
            CoordinationRequest::ReadCell { .. }
            | CoordinationRequest::Watch { .. }
            | CoordinationRequest::ListLocks { .. }
            | CoordinationRequest::ListCells { .. } => Decision::Answer(Answer::NoCell),
        };
        match decision {
            Decision::Change(change) if !self.has_room_for(&change) => {
                Decision::Answer(Answer::Full)
            }
            decision => decision,
        }
    }

    fn decide_acquire(
        &self,
        name: &str,
        holder: &str,
        attempt: u64,
        change: CoordinationChange,
        deadlines: &LockDeadlines,
        now: Duration,
    ) -> Decision {
        match self.lock(name) {
            Some(lock) if &*lock.holder != holder && !deadlines.has_expired(name, lock, now) => {
                Decision::Answer(Answer::LockHeld)
            }
            // A repetition of the call that acquired the lock. Any other call gets a higher token: a delayed release of
            // the holder's earlier hold must not end the new one.
            Some(lock) if &*lock.holder == holder && lock.attempt == attempt => {
                Decision::Answer(Answer::Acquired { fence: lock.fence })
            }
            _ => Decision::Change(change),
        }
    }

    /// Decides a renewal. A holder whose time is over may still renew as long as nobody else has acquired the lock. Its
    /// token may be older than the current one if a repetition of its call was answered late.
    fn decide_renew(&self, name: &str, holder: &str, fence: u64, hold_ms: u32) -> Decision {
        match self.lock(name) {
            Some(lock) if &*lock.holder == holder && fence <= lock.fence => {
                if hold_ms <= lock.hold_ms {
                    return Decision::Answer(Answer::Renewed);
                }
                Decision::Change(CoordinationChange::LockExtended {
                    name: name.into(),
                    hold_ms,
                })
            }
            _ => Decision::Answer(Answer::LockLost),
        }
    }

    fn decide_release(&self, name: &str, holder: &str, fence: u64) -> Decision {
        match self.lock(name) {
            Some(lock) if &*lock.holder == holder && lock.fence == fence => {
                Decision::Change(CoordinationChange::LockReleased { name: name.into() })
            }
            _ => Decision::Answer(Answer::Released),
        }
    }

    fn decide_put(&self, name: &str, value: &str, expected_revision: Option<u64>) -> Decision {
        let group = self.group(group_of(name));
        let put = || {
            Decision::Change(CoordinationChange::CellPut {
                name: name.into(),
                value: value.into(),
                expected_revision,
            })
        };
        let Some(expected) = expected_revision else {
            let earlier = group.and_then(|group| group.earlier_unconditional_put(name, value));
            return earlier.map_or_else(put, |revision| Decision::Answer(Answer::Put { revision }));
        };
        let revision = self.cell_revision(name);
        if revision == expected {
            return put();
        }
        // The group may still reach this revision. An answer that the value is never put could turn out false.
        if expected > group.map_or(0, crate::CellGroup::revision) {
            return Decision::Answer(Answer::Forgotten);
        }
        let earlier = group.map_or(EarlierPut::Other, |group| {
            group.earlier_put(name, expected, value)
        });
        Decision::Answer(match earlier {
            EarlierPut::Same(revision) => Answer::Put { revision },
            EarlierPut::Other => Answer::Conflict { revision },
            EarlierPut::NotInHistory => Answer::Forgotten,
        })
    }

    fn has_room_for(&self, change: &CoordinationChange) -> bool {
        let added = match change {
            CoordinationChange::LockAcquired { name, holder, .. } => name.len() + holder.len(),
            CoordinationChange::NumberTaken { name } => name.len(),
            CoordinationChange::CellPut { name, value, .. } => 2 * (name.len() + value.len()),
            CoordinationChange::LockExtended { .. }
            | CoordinationChange::LockReleased { .. }
            | CoordinationChange::HistoryTrimmed { .. } => return true,
        };
        self.bytes + added <= MAX_STATE_BYTES
    }

    /// Returns the answer to the request that led to a change. `self` is the state directly after the change.
    pub fn answer_to(&self, change: &CoordinationChange) -> Answer {
        match change {
            CoordinationChange::LockAcquired { .. } => Answer::Acquired {
                fence: self.last_fence,
            },
            CoordinationChange::LockExtended { .. } => Answer::Renewed,
            CoordinationChange::LockReleased { .. } | CoordinationChange::HistoryTrimmed { .. } => {
                Answer::Released
            }
            CoordinationChange::NumberTaken { name } => Answer::Number {
                value: self.number(name),
            },
            CoordinationChange::CellPut { name, .. } => Answer::Put {
                revision: self.cell_revision(name),
            },
        }
    }

    /// Returns the answer to a request that reads a cell.
    pub fn read(&self, name: &str) -> Answer {
        match self.cell(name) {
            Some(cell) => Answer::Value(cell.clone()),
            None => Answer::NoCell,
        }
    }

    /// Returns the answer to a watch of a group; `None` if there are no puts to report yet.
    pub fn watch(&self, group: &Arc<str>, after: u64) -> Option<Answer> {
        let current_revision = self.group_revision(group);
        if after == 0 {
            return Some(Answer::Events {
                events: Vec::new(),
                revision: current_revision,
            });
        }
        let Ok(puts) = self.group(group)?.puts_above(after) else {
            return Some(Answer::HistoryGone);
        };
        let mut bytes = 0;
        let events: Vec<Cell> = puts
            .take(MAX_EVENTS_PER_ANSWER)
            .take_while(|put| {
                let is_first = bytes == 0;
                bytes += put.name.len() + put.value.len();
                is_first || bytes <= MAX_EVENT_BYTES_PER_ANSWER
            })
            .cloned()
            .collect();
        let revision = events.last()?.revision;
        Some(Answer::Events { events, revision })
    }
}
