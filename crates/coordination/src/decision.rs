//! What a request comes to in a state: a change that has to be made, or an answer.

use crate::cells::{group_of, Cell, EarlierPut};
use crate::limits::MAX_STATE_BYTES;
use crate::lock_deadlines::LockDeadlines;
use crate::state::CoordinationState;
use protocol::{CoordinationChange, CoordinationRequest};
use std::sync::Arc;
use std::time::Duration;

/// The most puts that one answer to a watch tells.
const MAX_EVENTS: usize = 1000;
/// The most bytes of names and values in one answer to a watch. One put is told whatever its length.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// What a request comes to.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// This change has to be made; its answer follows from the state after it.
    Change(CoordinationChange),
    /// Nothing changes.
    Answer(Answer),
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The caller holds the lock.
    Acquired {
        /// Its fencing token.
        fence: u64,
    },
    /// Another holder has the lock.
    LockHeld,
    /// The lock is held for longer.
    Renewed,
    /// The lock isn't the caller's any more.
    LockLost,
    /// The caller doesn't hold the lock.
    Released,
    /// The counter's next number.
    Number {
        /// The number.
        value: u64,
    },
    /// The value is in the cell, or was.
    Put {
        /// The revision that it got first.
        revision: u64,
    },
    /// The cell has another revision than the expected one. The value isn't put, and never will be.
    Conflict {
        /// The cell's revision; 0 if it doesn't exist.
        revision: u64,
    },
    /// The cell's value.
    Value(Cell),
    /// The cell doesn't exist.
    NoCell,
    /// The puts of a group.
    Events {
        /// Puts above the revision that was asked for, oldest first.
        events: Vec<Cell>,
        /// All puts up to this revision are told.
        revision: u64,
    },
    /// The puts that were asked for aren't kept any more.
    HistoryGone,
    /// Whether the value was ever put isn't known any more.
    Forgotten,
    /// There is no room for more.
    Full,
}

impl CoordinationState {
    /// Decides what a request that may change something comes to. Requests that only read are answered by
    /// [`read`](Self::read).
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
            Some(lock) if &*lock.holder != holder && !deadlines.has_ended(name, lock, now) => {
                Decision::Answer(Answer::LockHeld)
            }
            // A copy of the call that took the lock. Any other call gets a higher token: a delayed release of the
            // holder's earlier hold must not end this one.
            Some(lock) if &*lock.holder == holder && lock.attempt == attempt => {
                Decision::Answer(Answer::Acquired { fence: lock.fence })
            }
            _ => Decision::Change(change),
        }
    }

    /// A holder whose time is over may go on as long as nobody else has taken the lock. It may have an older token of
    /// its own, if a copy of its call was answered late.
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
        // A revision that the group hasn't reached may come: that the value is never put would be false.
        if expected > group.map_or(0, crate::CellGroup::revision) {
            return Decision::Answer(Answer::Forgotten);
        }
        let earlier = group.map_or(EarlierPut::Other, |group| {
            group.earlier_put(name, expected, value)
        });
        Decision::Answer(match earlier {
            EarlierPut::Same(revision) => Answer::Put { revision },
            EarlierPut::Other => Answer::Conflict { revision },
            EarlierPut::Forgotten => Answer::Forgotten,
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

    /// The answer to the request that led to a change; `self` is the state directly after it.
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

    /// Reads a cell.
    pub fn read(&self, name: &str) -> Answer {
        match self.cell(name) {
            Some(cell) => Answer::Value(cell.clone()),
            None => Answer::NoCell,
        }
    }

    /// What a watch of a group is told now; none if there is nothing to tell yet.
    pub fn watch(&self, group: &Arc<str>, after: u64) -> Option<Answer> {
        let present = self.group_revision(group);
        if after == 0 {
            return Some(Answer::Events {
                events: Vec::new(),
                revision: present,
            });
        }
        let Ok(puts) = self.group(group)?.puts_above(after) else {
            return Some(Answer::HistoryGone);
        };
        let mut bytes = 0;
        let events: Vec<Cell> = puts
            .take(MAX_EVENTS)
            .take_while(|put| {
                let is_first = bytes == 0;
                bytes += put.name.len() + put.value.len();
                is_first || bytes <= MAX_EVENT_BYTES
            })
            .cloned()
            .collect();
        let revision = events.last()?.revision;
        Some(Answer::Events { events, revision })
    }
}
