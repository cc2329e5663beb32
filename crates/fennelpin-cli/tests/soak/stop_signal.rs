//! Ends threads, also while they wait.

use std::sync::{Condvar, Mutex};
use std::time::Duration;

/// Raised once. Threads look at it, or wait on it for some time.
#[derive(Default)]
pub struct StopSignal {
    raised: Mutex<bool>,
    changed: Condvar,
}

impl StopSignal {
    /// Ends all waits.
    pub fn raise(&self) {
        *self.raised.lock().unwrap() = true;
        self.changed.notify_all();
    }

    /// Whether it was raised.
    pub fn is_raised(&self) -> bool {
        *self.raised.lock().unwrap()
    }

    /// Waits for this time, or until it is raised. Whether it was.
    pub fn wait(&self, time: Duration) -> bool {
        let raised = self.raised.lock().unwrap();
        let (raised, _) = self
            .changed
            .wait_timeout_while(raised, time, |raised| !*raised)
            .unwrap();
        *raised
    }
}
