//! Mirror shared by the tasks of one process.

use crate::mirror::{Mirror, Snapshot};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Network traffic of the pulls for a mirror since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Size of the sent pulls, in bytes.
    pub sent: u64,
    /// Size of the received answers, in bytes.
    pub received: u64,
}

struct State {
    mirror: Mirror,
    /// Generation of the latest published snapshot.
    published_generation: u64,
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
        let published_generation = mirror.generation();
        let (changes, snapshots) = (
            watch::Sender::new(published_generation),
            watch::Sender::new(Arc::new(mirror.snapshot())),
        );
        let state = Mutex::new(State {
            mirror,
            published_generation,
        });
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

    /// Returns the time on the mirror's clock.
    pub fn now(&self) -> Duration {
        self.clock_start.elapsed()
    }

    /// Returns the instant of a time on the mirror's clock.
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
            // The cost of a snapshot grows with the number of records, so one is made only if there are subscribers.
            if self.snapshots.receiver_count() > 0 {
                self.publish(&mut state);
            }
            self.changes.send_replace(after);
        }
        result
    }

    fn publish(&self, state: &mut State) {
        if state.published_generation != state.mirror.generation() {
            state.published_generation = state.mirror.generation();
            self.snapshots
                .send_replace(Arc::new(state.mirror.snapshot()));
        }
    }

    fn publish_latest(&self) {
        self.publish(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Returns a receiver of the mirror's generation, which changes with each change of the mirror.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the network traffic of the pulls for this mirror since its start.
    pub fn traffic(&self) -> Traffic {
        Traffic {
            sent: self.sent.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
        }
    }

    /// Adds bytes sent and received by pulls to the traffic.
    pub(crate) fn count_traffic(&self, sent: u64, received: u64) {
        self.sent.fetch_add(sent, Ordering::Relaxed);
        self.received.fetch_add(received, Ordering::Relaxed);
    }

    /// Returns a receiver of the snapshots, starting with the current one.
    pub fn subscribe(&self) -> watch::Receiver<Arc<Snapshot>> {
        let snapshots = self.snapshots.subscribe();
        self.publish_latest();
        snapshots
    }

    /// Returns the current snapshot.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.publish_latest();
        self.snapshots.borrow().clone()
    }
}
