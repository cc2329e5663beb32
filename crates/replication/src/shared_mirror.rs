//! A mirror that the tasks of one process share.

use crate::mirror::{Mirror, Snapshot};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// How many bytes the pulls for a mirror have cost since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes of the pulls that were sent.
    pub sent: u64,
    /// Bytes of the answers that were received.
    pub received: u64,
}

struct State {
    mirror: Mirror,
    /// Generation of the latest published snapshot.
    published: u64,
}

/// A [`Mirror`] that publishes its changes.
pub struct SharedMirror {
    state: Mutex<State>,
    clock_start: Instant,
    changes: watch::Sender<u64>,
    snapshots: watch::Sender<Arc<Snapshot>>,
    sent: AtomicU64,
    received: AtomicU64,
}

impl SharedMirror {
    /// Shares a mirror whose clock starts now.
    pub fn new(mirror: Mirror) -> Arc<Self> {
        Self::since(mirror, Instant::now())
    }

    /// Shares a mirror whose clock started at `clock_start`.
    pub fn since(mirror: Mirror, clock_start: Instant) -> Arc<Self> {
        let published = mirror.generation();
        let (changes, snapshots) = (
            watch::Sender::new(published),
            watch::Sender::new(Arc::new(mirror.snapshot())),
        );
        let state = Mutex::new(State { mirror, published });
        let (sent, received) = Default::default();
        Arc::new(Self {
            state,
            clock_start,
            changes,
            snapshots,
            sent,
            received,
        })
    }

    /// The time on the mirror's clock.
    pub fn now(&self) -> Duration {
        self.clock_start.elapsed()
    }

    /// The instant that a time on the mirror's clock stands for.
    pub fn at(&self, time: Duration) -> Instant {
        self.clock_start + time
    }

    /// Reads or changes the mirror, and publishes a change.
    pub fn update<R>(&self, change: impl FnOnce(&mut Mirror, Duration) -> R) -> R {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let before = state.mirror.generation();
        let result = change(&mut state.mirror, self.now());
        let after = state.mirror.generation();
        if after != before {
            // A snapshot costs as much as there are records, so it is made only for those who look at each.
            if self.snapshots.receiver_count() > 0 {
                self.publish(&mut state);
            }
            self.changes.send_replace(after);
        }
        result
    }

    fn publish(&self, state: &mut State) {
        if state.published != state.mirror.generation() {
            state.published = state.mirror.generation();
            self.snapshots
                .send_replace(Arc::new(state.mirror.snapshot()));
        }
    }

    fn publish_latest(&self) {
        self.publish(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// The mirror's generation. It changes with each change of the mirror.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// How many bytes the pulls for this mirror have cost since its start.
    pub fn traffic(&self) -> Traffic {
        Traffic {
            sent: self.sent.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
        }
    }

    /// Counts bytes of pulls.
    pub(crate) fn count_traffic(&self, sent: u64, received: u64) {
        self.sent.fetch_add(sent, Ordering::Relaxed);
        self.received.fetch_add(received, Ordering::Relaxed);
    }

    /// The snapshots as they are made, beginning with the present one.
    pub fn subscribe(&self) -> watch::Receiver<Arc<Snapshot>> {
        let snapshots = self.snapshots.subscribe();
        self.publish_latest();
        snapshots
    }

    /// The present snapshot.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.publish_latest();
        self.snapshots.borrow().clone()
    }
}
