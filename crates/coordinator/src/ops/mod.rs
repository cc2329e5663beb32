//! What the operators' staff use day by day: the operator's address with its figures, and district hosts
//! taken out by hand. `docs/design/operations.md` says why it is built this way.

pub mod admin_server;
pub mod hot_restart;
pub mod list_overlay;
pub mod manual_ejection;

use crate::counters::Counters;
use hot_restart::RestartRole;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tokio::sync::watch;

/// Whether this process can serve, as it is told to whoever asks.
#[derive(Clone)]
pub struct Readiness {
    /// Whether connections of clients are accepted.
    accepting: Arc<AtomicBool>,
    beside: watch::Receiver<RestartRole>,
    stop: watch::Receiver<bool>,
    counters: Counters,
}

impl Readiness {
    /// Not ready as yet.
    pub fn new(
        stop: watch::Receiver<bool>,
        beside: watch::Receiver<RestartRole>,
        counters: Counters,
    ) -> Self {
        Self {
            accepting: Arc::default(),
            beside,
            stop,
            counters,
        }
    }

    /// Connections of clients are accepted from now on.
    pub fn accepts(&self) {
        self.accepting.store(true, Ordering::Relaxed);
    }

    /// Why it can't serve; `None` if it can.
    pub fn obstacle(&self) -> Option<&'static str> {
        if *self.stop.borrow() {
            return Some("stopping");
        }
        if *self.beside.borrow() == RestartRole::Replaced {
            return Some("replaced by another process");
        }
        if !self.accepting.load(Ordering::Relaxed) {
            return Some("not accepting connections");
        }
        (self.counters.pool().in_service == 0).then_some("no district host in service")
    }
}
