//! The clock of the decision module.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time between the clock's origin and the start of the process, so that hosts that started earlier than the process
/// still have a representable start time.
const ORIGIN_BEFORE_START: Duration = Duration::from_secs(3600);

/// The decision module's clock. It counts from an origin one hour before the process started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_start: Duration,
}

impl Clock {
    /// Creates the clock of a process that starts now.
    pub fn new() -> Self {
        let unix_start = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(ORIGIN_BEFORE_START);
        Self {
            start: Instant::now(),
            unix_start,
        }
    }

    /// Returns the decision module's time at an instant.
    pub fn at(&self, instant: Instant) -> Duration {
        ORIGIN_BEFORE_START + instant.saturating_duration_since(self.start)
    }

    /// Returns the decision module's time at a Unix time in milliseconds; `None` for 0 and for times before the
    /// origin.
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
