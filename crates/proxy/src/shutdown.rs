//! The end of the process, as requests see it: which are still taken, and until when all have to be answered.

use std::time::Duration;

/// Told to stop, every new request is taken for so long: until the platform has noticed.
const FULL_SERVICE: Duration = Duration::from_millis(2500);
/// All is answered by so long before the platform's kill.
pub(crate) const BEFORE_KILL: Duration = Duration::from_millis(700);

/// For so long before that, the time that is left is looked at whatever the grace: a host may need as long to answer.
const LAST_REQUESTS: Duration = Duration::from_millis(300);

/// A shutdown under way. All times count from the process's start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Shutdown {
    /// Until then every request is taken.
    pub(crate) full_service_until: Duration,
    /// By then every request that was taken has its answer.
    pub(crate) answers_until: Duration,
}

impl Shutdown {
    /// A shutdown that begins now; the platform kills the process after `grace`.
    pub(crate) fn begin(now: Duration, grace: Duration) -> Self {
        let answers_until = now + grace.saturating_sub(BEFORE_KILL);
        let full_service_until = answers_until.saturating_sub(LAST_REQUESTS).min(now + FULL_SERVICE);
        Self { full_service_until, answers_until }
    }

    /// Whether a request that comes now may be given to a host: later ones only where they are over before the process
    /// is, as they would be cut otherwise.
    pub(crate) fn takes(&self, now: Duration, deadline: Duration) -> bool {
        now < self.full_service_until || deadline <= self.answers_until
    }
}
