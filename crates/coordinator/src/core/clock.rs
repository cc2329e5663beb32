//! The clock of the decision module.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The origin lies so long before the start of the process, so that starts of hosts before it can
/// be told.
const ORIGIN_BEFORE_START: Duration = Duration::from_secs(3600);

/// The decision module's time: it counts from an origin an hour before the process began.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_start: Duration,
}

impl Clock {
    /// A clock for a process that starts now.
    pub fn new() -> Self {
        let unix_start = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(ORIGIN_BEFORE_START);
        Self {
            start: Instant::now(),
            unix_start,
        }
    }

    /// The decision module's time at an instant.
    pub fn at(&self, instant: Instant) -> Duration {
        ORIGIN_BEFORE_START + instant.saturating_duration_since(self.start)
    }

    /// The decision module's time at a Unix time in milliseconds; `None` for 0 and for times before
    /// the origin.
    pub fn at_unix_ms(&self, unix_ms: u64) -> Option<Duration> {
        let unix_origin = self.unix_start.checked_sub(ORIGIN_BEFORE_START)?;
        let at = Duration::from_millis(unix_ms).checked_sub(unix_origin)?;
        (unix_ms > 0).then_some(at)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
