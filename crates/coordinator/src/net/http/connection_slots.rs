//! The connections served, and who goes when a new one needs room.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// A connection that has been standing idle for so long can go for a new one.
const MIN_IDLE_TO_MAKE_ROOM: Duration = Duration::from_millis(100);

/// What a connection is at.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
pub(super) enum Phase {
    /// It has not sent its request whole.
    Asking,
    /// It stands between two requests.
    Idle,
    /// A request of it is being answered.
    Busy,
}

struct Slot {
    phase: Phase,
    since: Instant,
    /// Asked to leave. It is left standing if its client turns out to have sent a request meanwhile.
    leaving: bool,
    leave: Arc<Notify>,
}

/// How a new connection came to its slot.
#[derive(Clone, Copy)]
pub(super) enum Admission {
    /// There was a free slot.
    Free,
    /// All were taken; this one was asked to leave for it.
    InPlaceOf(u64),
    /// All were taken and none could be asked to leave.
    Extra,
}

/// The connections served, and who goes when a new one needs room.
#[derive(Default)]
pub(super) struct ConnectionSlots {
    next: u64,
    taken: BTreeMap<u64, Slot>,
}

impl ConnectionSlots {
    pub(super) fn take(&mut self, now: Instant) -> (u64, Arc<Notify>) {
        self.next += 1;
        let leave = Arc::new(Notify::new());
        let slot = Slot {
            phase: Phase::Asking,
            since: now,
            leaving: false,
            leave: leave.clone(),
        };
        self.taken.insert(self.next, slot);
        (self.next, leave)
    }

    /// Its connection has ended.
    pub(super) fn release(&mut self, slot: u64) {
        self.taken.remove(&slot);
    }

    /// How many are taken, without those that were asked to leave.
    pub(super) fn staying_count(&self) -> usize {
        self.taken.values().filter(|s| !s.leaving).count()
    }

    /// How many stand idle, without those that were asked to leave.
    pub(super) fn idle_count(&self) -> usize {
        self.taken
            .values()
            .filter(|s| s.phase == Phase::Idle && !s.leaving)
            .count()
    }

    /// Whether this one was asked to leave and still has nothing to say.
    pub(super) fn is_leaving(&self, slot: u64) -> bool {
        self.taken.get(&slot).is_some_and(|s| s.leaving)
    }

    /// Whether this one is there to stay.
    pub(super) fn is_staying(&self, slot: u64) -> bool {
        self.taken.get(&slot).is_some_and(|s| !s.leaving)
    }

    pub(super) fn enter(&mut self, slot: u64, phase: Phase, now: Instant) {
        if let Some(s) = self.taken.get_mut(&slot) {
            (s.phase, s.since, s.leaving) = (phase, now, false);
        }
    }

    /// Asks the one that has been of no use for longest to leave: a crowd that says nothing, or is_staying
    /// after its one request, must not keep others out. Unless `full`, only one that stands idle goes.
    /// Whether it goes is seen once its client's connection has been looked at: a request that waits there
    /// unread, as after a standstill of this process, keeps it its slot.
    pub(super) fn make_room(
        &mut self,
        now: Instant,
        full: bool,
        request_timeout: Duration,
    ) -> Option<u64> {
        let goes = |s: &Slot| match s.phase {
            Phase::Asking => full && now - s.since >= request_timeout,
            Phase::Idle => now - s.since >= MIN_IDLE_TO_MAKE_ROOM,
            Phase::Busy => false,
        };
        let useless = self.taken.iter_mut().filter(|(_, s)| !s.leaving && goes(s));
        let order = |a: &Slot, b: &Slot| (a.phase, a.since).partial_cmp(&(b.phase, b.since));
        let first = useless.min_by(|a, b| order(a.1, b.1).unwrap_or(std::cmp::Ordering::Equal));
        let (number, slot) = first?;
        slot.leaving = true;
        slot.leave.notify_one();
        Some(*number)
    }
}
