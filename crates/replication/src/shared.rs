//! A mirror shared by the tasks of one process.

use crate::mirror::{Mirror, Snapshot};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Bytes that the pulls for a mirror have cost since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes of the pulls.
    pub sent: u64,
    /// Bytes of the answers.
    pub received: u64,
}

struct State {
    mirror: Mirror,
    /// Generation that the latest snapshot shows.
    shown: u64,
}

/// A [`Mirror`] whose changes are published.
pub struct SharedMirror {
    state: Mutex<State>,
    origin: Instant,
    changes: watch::Sender<u64>,
    snapshots: watch::Sender<Arc<Snapshot>>,
    sent: AtomicU64,
    received: AtomicU64,
}

impl SharedMirror {
    /// Shares a mirror; its times are counted from now on.
    pub fn new(mirror: Mirror) -> Arc<Self> {
        Self::since(mirror, Instant::now())
    }

    /// Shares a mirror whose times are counted from `origin`.
    pub fn since(mirror: Mirror, origin: Instant) -> Arc<Self> {
        let shown = mirror.generation();
        let (changes, snapshots) = (
            watch::Sender::new(shown),
            watch::Sender::new(Arc::new(mirror.snapshot())),
        );
        let state = Mutex::new(State { mirror, shown });
        let (sent, received) = Default::default();
        Arc::new(Self {
            state,
            origin,
            changes,
            snapshots,
            sent,
            received,
        })
    }

    /// The time since the origin.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// The instant that a time since the origin stands for.
    pub fn at(&self, time: Duration) -> Instant {
        self.origin + time
    }

    /// Reads or changes the mirror; a change is published.
    pub fn update<R>(&self, change: impl FnOnce(&mut Mirror, Duration) -> R) -> R {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let before = state.mirror.generation();
        let result = change(&mut state.mirror, self.now());
        let after = state.mirror.generation();
        if after != before {
            // The merged truth costs as much as all hosts together: only where somebody looks at each.
            if self.snapshots.receiver_count() > 0 {
                self.show(&mut state);
            }
            self.changes.send_replace(after);
        }
        result
    }

    fn show(&self, state: &mut State) {
        if state.shown != state.mirror.generation() {
            state.shown = state.mirror.generation();
            self.snapshots
                .send_replace(Arc::new(state.mirror.snapshot()));
        }
    }

    fn up_to_date(&self) {
        self.show(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// The mirror's generation, as it rises.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Bytes that the pulls for this mirror have cost since its start.
    pub fn traffic(&self) -> Traffic {
        let of = |count: &AtomicU64| count.load(Ordering::Relaxed);
        Traffic {
            sent: of(&self.sent),
            received: of(&self.received),
        }
    }

    pub(crate) fn count(&self, sent: u64, received: u64) {
        self.sent.fetch_add(sent, Ordering::Relaxed);
        self.received.fetch_add(received, Ordering::Relaxed);
    }

    /// Each view as it comes; the one of now at once.
    pub fn subscribe(&self) -> watch::Receiver<Arc<Snapshot>> {
        let views = self.snapshots.subscribe();
        self.up_to_date();
        views
    }

    /// The view of now.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.up_to_date();
        self.snapshots.borrow().clone()
    }
}
