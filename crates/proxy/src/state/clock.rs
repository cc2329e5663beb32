//! Times as durations since the start of the process.

use std::time::Duration;
use tokio::time::Instant;

/// Converts between instants and durations since the start of the process, which the parts without I/O use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub(crate) fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Time since the start.
    pub(crate) fn now(self) -> Duration {
        self.origin.elapsed()
    }

    /// An instant as a time since the start; zero for earlier ones.
    pub(crate) fn since_start(self, at: Instant) -> Duration {
        at.saturating_duration_since(self.origin)
    }

    /// The instant of a time since the start.
    pub(crate) fn at(self, time: Duration) -> Instant {
        self.origin + time
    }
}
