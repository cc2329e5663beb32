//! Process clock: times as durations since the start of the process.

use std::time::Duration;
use tokio::time::Instant;

/// Converts between instants and durations since the start of the process, which the modules without I/O use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock whose start is now.
    pub(crate) fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the time since the start.
    pub(crate) fn now(self) -> Duration {
        self.origin.elapsed()
    }

    /// Converts an instant to a time since the start; zero for instants before it.
    pub(crate) fn since_start(self, at: Instant) -> Duration {
        at.saturating_duration_since(self.origin)
    }

    /// Converts a time since the start to an instant.
    pub(crate) fn at(self, time: Duration) -> Instant {
        self.origin + time
    }
}
