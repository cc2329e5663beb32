//! Expiry of the locks, as tracked by the primary.
//!
//! A holder counts its hold time from the moment at which it sent its last successful call. The primary counts from the
//! moment at which it decided that call, which is later. A lock thus never expires at the primary before it has expired
//! for its holder. A primary that has just started to act doesn't know when its predecessor decided the call. As their
//! leases exclude each other, that was no later than its own start, so it counts the full hold time of each lock from
//! then. The rates of two clocks may differ slightly, so the primary adds 1 % to each hold time.

use crate::limits::MEMORY_PRESSURE_BYTES;
use crate::state::{CoordinationState, Lock};
use protocol::CoordinationChange;
use std::collections::BTreeMap;
use std::time::Duration;

/// Divisor of the hold time that gives the primary's allowance for different clock rates.
const CLOCK_DRIFT_DIVISOR: u32 = 100;

#[derive(Clone, Copy, Debug)]
struct Deadline {
    fence: u64,
    at: Duration,
}

/// Time after which an expired lock is released if memory is short.
const EXPIRED_LOCK_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of locks to release at once.
const MAX_RELEASED_LOCKS: usize = 64;

/// Deadlines of the locks, by the clock of the primary to which this value belongs.
#[derive(Clone, Debug, Default)]
pub struct LockDeadlines {
    /// Time at which the primary started to act.
    acting_since: Option<Duration>,
    deadlines: BTreeMap<String, Deadline>,
}

impl LockDeadlines {
    /// Records that the primary starts to act. Calls after the first have no effect.
    pub fn start_acting(&mut self, now: Duration) {
        self.acting_since.get_or_insert(now);
    }

    /// Returns the time at which a lock expires; `None` while the primary doesn't act, as the deadline is unknown then.
    pub fn deadline(&self, name: &str, lock: &Lock) -> Option<Duration> {
        let counted_from_start = self.acting_since? + hold_time_at_primary(lock.hold_ms);
        let recorded = self
            .deadlines
            .get(name)
            .filter(|deadline| deadline.fence == lock.fence);
        Some(recorded.map_or(counted_from_start, |deadline| deadline.at))
    }

    /// Whether the hold time of a lock is over.
    pub fn has_expired(&self, name: &str, lock: &Lock, now: Duration) -> bool {
        self.deadline(name, lock).is_some_and(|at| now >= at)
    }

    /// Extends the deadline after a successful call of the holder: the lock lasts for `hold_ms` from now on, and at
    /// least until its previous deadline. `before` is the lock as it was before the call, if it had the same holder;
    /// `fence` is its fencing token from now on.
    pub fn extend(
        &mut self,
        name: &str,
        before: Option<&Lock>,
        fence: u64,
        hold_ms: u32,
        now: Duration,
    ) {
        let previous_deadline = before.and_then(|lock| self.deadline(name, lock));
        let at = (now + hold_time_at_primary(hold_ms)).max(previous_deadline.unwrap_or_default());
        self.deadlines.insert(name.into(), Deadline { fence, at });
    }

    /// Returns the changes that release locks which expired long ago. Empty unless memory is short.
    pub fn due_releases(
        &self,
        state: &CoordinationState,
        now: Duration,
    ) -> Vec<CoordinationChange> {
        if state.bytes() <= MEMORY_PRESSURE_BYTES {
            return Vec::new();
        }
        let expired_long_ago = |(name, lock): &(&str, &Lock)| {
            let deadline = self.deadline(name, lock);
            deadline.is_some_and(|at| now >= at + EXPIRED_LOCK_RETENTION)
        };
        let expired = state.locks().filter(expired_long_ago);
        expired
            .take(MAX_RELEASED_LOCKS)
            .map(|(name, _)| CoordinationChange::LockReleased { name: name.into() })
            .collect()
    }

    /// Drops the deadlines of locks that have been released or acquired anew.
    pub fn retain_held(&mut self, state: &CoordinationState) {
        self.deadlines.retain(|name, deadline| {
            let lock = state.lock(name);
            lock.is_some_and(|lock| lock.fence == deadline.fence)
        });
    }
}

fn hold_time_at_primary(hold_ms: u32) -> Duration {
    let hold_time = Duration::from_millis(u64::from(hold_ms));
    hold_time + hold_time / CLOCK_DRIFT_DIVISOR
}
