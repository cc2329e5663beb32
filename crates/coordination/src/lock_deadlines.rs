//! When the locks end, as the primary counts it.
//!
//! A holder counts from the moment at which it sent its last good call, the primary from the moment at which it decided
//! that call, which is later. So a lock never ends at the primary before it has ended for its holder. A primary that has
//! just begun to act doesn't know when its predecessor decided: no later than it began to act itself, as leases exclude
//! each other, so it counts the whole time of each lock from then. The rates of two clocks may differ a little: the primary
//! counts a hundredth more.

use crate::limits::SHORT_OF_MEMORY_BYTES;
use crate::state::{CoordinationState, Lock};
use protocol::CoordinationChange;
use std::collections::BTreeMap;
use std::time::Duration;

/// How much longer than the holder the primary counts, as a divisor of the time.
const CLOCK_RATE_DIVISOR: u32 = 100;

#[derive(Clone, Copy, Debug)]
struct Deadline {
    fence: u64,
    at: Duration,
}

/// Locks that ended this long ago are released if memory is short.
const ENDED_LOCK_RETENTION: Duration = Duration::from_secs(60);
/// Locks that are released together at most.
const MAX_RELEASED_LOCKS: usize = 64;

/// When the locks end, by the clock of the primary that this belongs to.
#[derive(Clone, Debug, Default)]
pub struct LockDeadlines {
    /// Since when the primary acts.
    acting_since: Option<Duration>,
    deadlines: BTreeMap<String, Deadline>,
}

impl LockDeadlines {
    /// The primary acts now. Only the first call counts.
    pub fn start_acting(&mut self, now: Duration) {
        self.acting_since.get_or_insert(now);
    }

    /// When a lock ends; none while that isn't known, as the primary doesn't act yet.
    pub fn deadline(&self, name: &str, lock: &Lock) -> Option<Duration> {
        let by_takeover = self.acting_since? + hold(lock.hold_ms);
        let known = self.deadlines.get(name).filter(|d| d.fence == lock.fence);
        Some(known.map_or(by_takeover, |known| known.at))
    }

    /// Whether the time of a lock is over.
    pub fn has_ended(&self, name: &str, lock: &Lock, now: Duration) -> bool {
        self.deadline(name, lock).is_some_and(|at| now >= at)
    }

    /// A holder's call was good: its lock lasts for `hold_ms` from now on, and no shorter than it did. `before` is the
    /// lock as it was before the call, if it had the same holder; `fence` is its fencing token from now on.
    pub fn extend(
        &mut self,
        name: &str,
        before: Option<&Lock>,
        fence: u64,
        hold_ms: u32,
        now: Duration,
    ) {
        let counted_on = before.and_then(|lock| self.deadline(name, lock));
        let at = (now + hold(hold_ms)).max(counted_on.unwrap_or_default());
        self.deadlines.insert(name.into(), Deadline { fence, at });
    }

    /// The changes that release locks whose time was over long ago, if memory is short.
    pub fn due_releases(
        &self,
        state: &CoordinationState,
        now: Duration,
    ) -> Vec<CoordinationChange> {
        if state.bytes() <= SHORT_OF_MEMORY_BYTES {
            return Vec::new();
        }
        let has_ended_long_ago = |(name, lock): &(&str, &Lock)| {
            let deadline = self.deadline(name, lock);
            deadline.is_some_and(|at| now >= at + ENDED_LOCK_RETENTION)
        };
        let ended = state.locks().filter(has_ended_long_ago);
        ended
            .take(MAX_RELEASED_LOCKS)
            .map(|(name, _)| CoordinationChange::LockReleased { name: name.into() })
            .collect()
    }

    /// Drops what is known of locks that have another holder or none.
    pub fn retain_held(&mut self, state: &CoordinationState) {
        self.deadlines.retain(|name, deadline| {
            let lock = state.lock(name);
            lock.is_some_and(|lock| lock.fence == deadline.fence)
        });
    }
}

fn hold(hold_ms: u32) -> Duration {
    let counted_by_holder = Duration::from_millis(u64::from(hold_ms));
    counted_by_holder + counted_by_holder / CLOCK_RATE_DIVISOR
}
