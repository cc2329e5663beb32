//! Slow start: a host that was started lately gets one request at a time.

use crate::host::Host;
use std::time::Duration;

/// A host that joins while others of its service are there is warming up for this time.
const JOINING_WARM_UP: Duration = Duration::from_secs(2);

impl Host {
    /// Whether the host has just joined, or reports that it is slow from its start.
    pub(crate) fn is_warming_up(&self, now: Duration) -> bool {
        let joined_lately =
            self.joined_running_service && now.saturating_sub(self.known_since) < JOINING_WARM_UP;
        joined_lately || now < self.slow_start_until
    }
}
