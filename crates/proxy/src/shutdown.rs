//! The end of the process, as requests see it: which are still taken, and until when all have to be answered.

use std::time::Duration;

/// Told to stop, every new request is taken for so long: until the platform has noticed.
const FULL_SERVICE: Duration = Duration::from_millis(2500);
/// All is answered by so long before the platform's kill.
pub(crate) const BEFORE_KILL: Duration = Duration::from_millis(700);
/// For so long before that a request has to fit into the time that is left: a host may need as long to answer.
const LAST_REQUESTS: Duration = Duration::from_millis(300);

/// A shutdown under way. All times count from the process's start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Shutdown {
    /// Until then every request is taken.
    pub(crate) full_service_until: Duration,
    /// Until then those are taken that may be asked again if the end comes before their answer.
    repeatable_until: Duration,
    /// By then every request that was taken has its answer.
    pub(crate) answers_until: Duration,
}

impl Shutdown {
    /// A shutdown that begins now; the platform kills the process after `grace`.
    pub(crate) fn begin(now: Duration, grace: Duration) -> Self {
        let answers_until = now + grace.saturating_sub(BEFORE_KILL);
        let repeatable_until = answers_until.saturating_sub(LAST_REQUESTS);
        let full_service_until = repeatable_until.min(now + FULL_SERVICE);
        Self {
            full_service_until,
            repeatable_until,
            answers_until,
        }
    }

    /// Whether a request that comes now may be given to a host. Late ones only where they are over before the process
    /// is: a stream would be cut, and a call that may run once left without a clear answer. What is `repeatable` and
    /// answered whole is told to come again instead, so it is taken for longer.
    pub(crate) fn takes(&self, now: Duration, deadline: Duration, repeatable: bool) -> bool {
        let until = if repeatable {
            self.repeatable_until
        } else {
            self.full_service_until
        };
        now < until || deadline <= self.answers_until
    }
}
