//! The readiness of this process, as reported to health checks and operators.

use super::hot_restart::RestartRole;
use crate::counters::Counters;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tokio::sync::watch;

/// The readiness of this process. Clones share the state.
#[derive(Clone)]
pub struct Readiness {
    /// Whether client connections are accepted.
    accepting: Arc<AtomicBool>,
    restart_role: watch::Receiver<RestartRole>,
    stop: watch::Receiver<bool>,
    counters: Counters,
}

impl Readiness {
    /// Creates the state of a process that is not ready yet.
    pub fn new(
        stop: watch::Receiver<bool>,
        restart_role: watch::Receiver<RestartRole>,
        counters: Counters,
    ) -> Self {
        Self {
            accepting: Arc::default(),
            restart_role,
            stop,
            counters,
        }
    }

    /// Records that client connections are accepted from now on.
    pub fn set_accepting(&self) {
        self.accepting.store(true, Ordering::Relaxed);
    }

    /// The reason why the process can't serve, as callers receive it; `None` if it is ready.
    pub fn not_ready_reason(&self) -> Option<&'static str> {
        if *self.stop.borrow() {
            return Some("stopping");
        }
        if *self.restart_role.borrow() == RestartRole::Replaced {
            return Some("replaced by another process");
        }
        if !self.accepting.load(Ordering::Relaxed) {
            return Some("not accepting connections");
        }
        (self.counters.pool().in_service == 0).then_some("no district host in service")
    }
}
