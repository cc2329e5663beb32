//! The schedule of a graceful shutdown: which requests are still admitted, and by when all have their response.
//!
//! A response that has begun can't be replaced by a rejection any more. So what counts for a stream that comes after
//! the signal is whether its deadline lies before the end of the process, however long the signal is past. A response
//! that is forwarded in one piece can be replaced until its last moment, so such requests are admitted for longer.

use configuration::RouteKind;
use std::time::Duration;

/// From the signal on idle connections are kept, and requests admitted that may run once, for so long: until the
/// platform has noticed that the proxy is not ready.
const FULL_SERVICE_PERIOD: Duration = Duration::from_millis(2500);
/// Requests whose response has not begun get a local reply so long before the platform kills the process.
const LOCAL_REPLY_MARGIN: Duration = Duration::from_millis(700);
/// The longest time for which a quota of processor time pauses the process at once.
const MAX_CPU_THROTTLING_PAUSE: Duration = Duration::from_millis(100);
/// The process waits for its connections to end until so long before the platform kills it. The platform counts from when
/// it sent the signal: one pause may have kept the process from noticing it, and another one may come at the end.
const EXIT_MARGIN: Duration = MAX_CPU_THROTTLING_PAUSE.saturating_mul(2);
/// Responses that have begun are truncated so long before the platform kills the process. Connections end meanwhile.
const TRUNCATION_MARGIN: Duration = EXIT_MARGIN.saturating_add(MAX_CPU_THROTTLING_PAUSE);
/// In the last moments before the local replies a request has to fit into the time that is left, as a host may need as
/// long.
const LAST_REQUESTS_PERIOD: Duration = Duration::from_millis(300);

/// A shutdown under way. All times are durations since the start of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Shutdown {
    /// When the process was asked to end.
    pub(crate) signalled_at: Duration,
    /// Until then idle connections are kept.
    pub(crate) full_service_until: Duration,
    /// Until then requests are admitted that the client may repeat if the process ends before their response.
    pure_requests_until: Duration,
    /// Then all requests whose response has not begun get a local reply.
    pub(crate) responses_until: Duration,
    /// Then all responses that have begun are truncated.
    pub(crate) streams_until: Duration,
    /// Then the process ends, whatever is open.
    pub(crate) exit_at: Duration,
}

impl Shutdown {
    /// The schedule of a shutdown that begins now; the platform kills the process after `grace`.
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

    /// The schedule of a process that has nothing left to wait for: nothing more is admitted.
    pub(crate) fn ended_early(self, now: Duration) -> Self {
        Self {
            full_service_until: self.full_service_until.min(now),
            pure_requests_until: self.pure_requests_until.min(now),
            responses_until: self.responses_until.min(now),
            streams_until: self.streams_until.min(now),
            ..self
        }
    }

    /// Whether a request that comes now may be given to a host.
    ///
    /// - A stream, only if its deadline is over before the process is: the end would truncate it.
    /// - A call that may run once, during full service too: at the end it gets a status that says that it may have run.
    /// - A `pure` request, for longer: at the end it gets a rejection, and another proxy serves the retry.
    pub(crate) fn admits(&self, now: Duration, deadline: Duration, kind: RouteKind) -> bool {
        let fits = deadline <= self.responses_until;
        match kind {
            RouteKind::Streaming => now < self.responses_until && !self.may_truncate(deadline),
            RouteKind::Mutating => fits || now < self.full_service_until,
            RouteKind::Pure => fits || now < self.pure_requests_until,
        }
    }
    /// Whether a response with this deadline, once it has begun, may be truncated by the end of the process.
    pub(crate) fn may_truncate(&self, deadline: Duration) -> bool {
        deadline > self.streams_until
    }
}
