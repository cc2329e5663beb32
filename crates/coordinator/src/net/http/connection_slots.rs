//! Slots of the served connections, and the choice of the one to close when a new one needs room.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Idle time after which a connection may be closed for a new one.
const MIN_IDLE_TO_MAKE_ROOM: Duration = Duration::from_millis(100);

/// The phase of a connection.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
pub(super) enum Phase {
    /// The client has not sent its complete request.
    Asking,
    /// The connection is between two requests.
    Idle,
    /// A request is being answered.
    Busy,
}

struct Slot {
    phase: Phase,
    since: Instant,
    /// Whether the connection was asked to leave. It stays if its client turns out to have sent a request meanwhile.
    leaving: bool,
    leave: Arc<Notify>,
}

/// How a new connection was admitted.
#[derive(Clone, Copy)]
pub(super) enum Admission {
    /// A slot was free.
    Free,
    /// All slots were taken, and the connection in this slot was asked to leave.
    InPlaceOf(u64),
    /// All slots were taken, and no connection could be asked to leave.
    Extra,
}

/// The slots of the served connections, by number.
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

    /// Frees a slot whose connection has ended.
    pub(super) fn release(&mut self, slot: u64) {
        self.taken.remove(&slot);
    }

    /// Returns the number of slots taken, without connections that were asked to leave.
    pub(super) fn staying_count(&self) -> usize {
        self.taken.values().filter(|s| !s.leaving).count()
    }

    /// Returns the number of idle connections, without those that were asked to leave.
    pub(super) fn idle_count(&self) -> usize {
        self.taken
            .values()
            .filter(|s| s.phase == Phase::Idle && !s.leaving)
            .count()
    }

    /// Returns whether this connection was asked to leave and has sent no request since.
    pub(super) fn is_leaving(&self, slot: u64) -> bool {
        self.taken.get(&slot).is_some_and(|s| s.leaving)
    }

    /// Returns whether this connection is open and was not asked to leave.
    pub(super) fn is_staying(&self, slot: u64) -> bool {
        self.taken.get(&slot).is_some_and(|s| !s.leaving)
    }

    pub(super) fn enter(&mut self, slot: u64, phase: Phase, now: Instant) {
        if let Some(s) = self.taken.get_mut(&slot) {
            (s.phase, s.since, s.leaving) = (phase, now, false);
        }
    }

    /// Asks the connection that has been useless for longest to leave, and returns its slot: clients that send nothing,
    /// or stay connected after one request, must not keep others out. Unless `full`, only an idle connection may be
    /// chosen. The chosen connection leaves only after its socket was checked: an unread request there, as after a
    /// stall of this process, lets it keep its slot.
    pub(super) fn make_room(
        &mut self,
        now: Instant,
        full: bool,
        request_timeout: Duration,
    ) -> Option<u64> {
        let may_leave = |s: &Slot| match s.phase {
            Phase::Asking => full && now - s.since >= request_timeout,
            Phase::Idle => now - s.since >= MIN_IDLE_TO_MAKE_ROOM,
            Phase::Busy => false,
        };
        let candidates = self
            .taken
            .iter_mut()
            .filter(|(_, s)| !s.leaving && may_leave(s));
        let order = |a: &Slot, b: &Slot| (a.phase, a.since).partial_cmp(&(b.phase, b.since));
        let first = candidates.min_by(|a, b| order(a.1, b.1).unwrap_or(std::cmp::Ordering::Equal));
        let (number, slot) = first?;
        slot.leaving = true;
        slot.leave.notify_one();
        Some(*number)
    }
}
