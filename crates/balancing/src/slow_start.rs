//! Slow start: a host that was started recently gets one request at a time.

use crate::host::Host;
use std::time::Duration;

/// Warm-up time of a host that joins while its service has other hosts.
const JOINING_WARM_UP: Duration = Duration::from_secs(2);

impl Host {
    /// Returns whether the host has just joined, or reports that it is still slow after its start.
    pub(crate) fn is_warming_up(&self, now: Duration) -> bool {
        let joined_recently =
            self.joined_running_service && now.saturating_sub(self.known_since) < JOINING_WARM_UP;
        joined_recently || now < self.slow_start_until
    }
}
