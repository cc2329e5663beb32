//! The schedule of a graceful shutdown: which requests are still admitted, and by when all have their response.

use std::time::Duration;

/// From the signal on every request is admitted for so long: until the platform has noticed that the proxy is not ready.
const FULL_SERVICE: Duration = Duration::from_millis(2500);
/// All requests have their response so long before the platform kills the process.
pub(crate) const KILL_MARGIN: Duration = Duration::from_millis(700);
/// In the last moments before that a request has to fit into the time that is left, as a host may need as long.
const LAST_REQUESTS: Duration = Duration::from_millis(300);

/// A shutdown under way. All times are durations since the start of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Shutdown {
    /// When the process was asked to end.
    pub(crate) signalled_at: Duration,
    /// Until then every request is admitted.
    pub(crate) full_service_until: Duration,
    /// Until then requests are admitted that the client may repeat if the process ends before their response.
    repeatable_until: Duration,
    /// By then every admitted request has its response.
    pub(crate) responses_until: Duration,
}

impl Shutdown {
    /// The schedule of a shutdown that begins now; the platform kills the process after `grace`.
    pub(crate) fn begin(now: Duration, grace: Duration) -> Self {
        let responses_until = now + grace.saturating_sub(KILL_MARGIN);
        let repeatable_until = responses_until.saturating_sub(LAST_REQUESTS);
        let full_service_until = repeatable_until.min(now + FULL_SERVICE);
        Self {
            signalled_at: now,
            full_service_until,
            repeatable_until,
            responses_until,
        }
    }

    /// Whether a request that comes now may be given to a host. After full service it has to be over before the process
    /// is: a stream would be truncated, and a call that may run once would end without a clear result. A `repeatable`
    /// request, answered in one piece, gets a retryable rejection at the end instead, so it is admitted for longer.
    pub(crate) fn admits(&self, now: Duration, deadline: Duration, repeatable: bool) -> bool {
        let until = if repeatable {
            self.repeatable_until
        } else {
            self.full_service_until
        };
        now < until || deadline <= self.responses_until
    }
}
