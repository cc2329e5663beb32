//! The schedule of a graceful shutdown: which requests are still admitted, and by when all of them have a response.
//!
//! A response that has started can no longer be replaced by a rejection. A stream requested after the signal is
//! therefore admitted only if its deadline lies before the end of the process, regardless of the time since the signal.
//! A response that is forwarded in one piece can be replaced until it is complete, so such requests are admitted for
//! longer.

use configuration::RouteKind;
use std::time::Duration;

/// Time after the signal for which idle connections are kept and requests that may run only once are admitted: until
/// the platform has noticed that the proxy is not ready.
const FULL_SERVICE_PERIOD: Duration = Duration::from_millis(2500);
/// Time before the platform kills the process at which requests whose response has not started get a local reply.
const LOCAL_REPLY_MARGIN: Duration = Duration::from_millis(700);
/// Longest uninterrupted pause of the process by the CPU quota that the kernel enforces.
const MAX_CPU_THROTTLING_PAUSE: Duration = Duration::from_millis(100);
/// Time before the platform kills the process at which it stops waiting for its connections and exits. The platform
/// counts the grace period from sending the signal: one pause may have delayed the process in noticing the signal, and
/// another one may occur at the end.
const EXIT_MARGIN: Duration = MAX_CPU_THROTTLING_PAUSE.saturating_mul(2);
/// Time before the platform kills the process at which started responses are truncated. It leaves time to close the
/// connections.
const TRUNCATION_MARGIN: Duration = EXIT_MARGIN.saturating_add(MAX_CPU_THROTTLING_PAUSE);
/// Time before the local replies in which a request is admitted only if its deadline lies before them, as a host may
/// need that long to respond.
const LAST_REQUESTS_PERIOD: Duration = Duration::from_millis(300);

/// A shutdown in progress. All times are durations since the start of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Shutdown {
    /// Time at which the process was signalled to stop.
    pub(crate) signalled_at: Duration,
    /// End of full service: until then idle connections are kept and all requests but long streams are admitted.
    pub(crate) full_service_until: Duration,
    /// Until then all `pure` requests are admitted, as the client may repeat them if the process ends before their
    /// response.
    pure_requests_until: Duration,
    /// Time at which all requests whose response has not started get a local reply.
    pub(crate) responses_until: Duration,
    /// Time at which all responses that have started are truncated.
    pub(crate) streams_until: Duration,
    /// Time at which the process exits, even if connections are still open.
    pub(crate) exit_at: Duration,
}

impl Shutdown {
    /// Creates the schedule of a shutdown that begins now. The platform kills the process after `grace`.
    pub(crate) fn begin(now: Duration, grace: Duration) -> Self {
        let responses_until = now + grace.saturating_sub(LOCAL_REPLY_MARGIN);
        let pure_requests_until = responses_until.saturating_sub(LAST_REQUESTS_PERIOD);
        let full_service_until = pure_requests_until.min(now + FULL_SERVICE_PERIOD);
        Self {
            signalled_at: now,
            full_service_until,
            pure_requests_until,
            responses_until,
            streams_until: now + grace.saturating_sub(TRUNCATION_MARGIN),
            exit_at: now + grace.saturating_sub(EXIT_MARGIN),
        }
    }

    /// Returns the schedule of a process that has nothing left to wait for: no further request is admitted.
    pub(crate) fn ended_early(self, now: Duration) -> Self {
        Self {
            full_service_until: self.full_service_until.min(now),
            pure_requests_until: self.pure_requests_until.min(now),
            responses_until: self.responses_until.min(now),
            streams_until: self.streams_until.min(now),
            ..self
        }
    }

    /// Whether a request that arrives now may be sent to a host.
    ///
    /// - A stream only if its deadline passes before the process ends, which would truncate it.
    /// - A request that may run only once if its deadline lies before the local replies, and any such request during
    ///   full service: at the end it gets a status that says that it may have run.
    /// - A `pure` request for longer: at the end it gets a rejection, and another proxy serves the retry.
    pub(crate) fn admits(&self, now: Duration, deadline: Duration, kind: RouteKind) -> bool {
        let fits = deadline <= self.responses_until;
        match kind {
            RouteKind::Streaming => now < self.responses_until && !self.may_truncate(deadline),
            RouteKind::Mutating => fits || now < self.full_service_until,
            RouteKind::Pure => fits || now < self.pure_requests_until,
        }
    }
    /// Whether the end of the process may truncate a response with this deadline once it has started.
    pub(crate) fn may_truncate(&self, deadline: Duration) -> bool {
        deadline > self.streams_until
    }
}
