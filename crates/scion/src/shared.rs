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

/// A [`Mirror`] whose changes are published.
pub struct SharedMirror {
    mirror: Mutex<Mirror>,
    origin: Instant,
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
        let snapshots = watch::Sender::new(Arc::new(mirror.view()));
        let (sent, received) = Default::default();
        Arc::new(Self { mirror: Mutex::new(mirror), origin, snapshots, sent, received })
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
        let mut mirror = self.mirror.lock().unwrap_or_else(PoisonError::into_inner);
        let before = mirror.generation();
        let result = change(&mut mirror, self.now());
        if mirror.generation() != before {
            self.snapshots.send_replace(Arc::new(mirror.view()));
        }
        result
    }

    /// Bytes that the pulls for this mirror have cost since its start.
    pub fn traffic(&self) -> Traffic {
        let of = |count: &AtomicU64| count.load(Ordering::Relaxed);
        Traffic { sent: of(&self.sent), received: of(&self.received) }
    }

    pub(crate) fn count(&self, sent: u64, received: u64) {
        self.sent.fetch_add(sent, Ordering::Relaxed);
        self.received.fetch_add(received, Ordering::Relaxed);
    }

    /// Each view as it comes; the one of now at once.
    pub fn subscribe(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.snapshots.subscribe()
    }

    /// The view of now.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshots.borrow().clone()
    }
}
