//! Outlier ejection: a host that fails gets no requests for a period, after which a single request probes it.

use std::time::Duration;

/// Errors closer together than this count as one, because a crash breaks all attempts in flight at once.
const SAME_INCIDENT_WINDOW: Duration = Duration::from_millis(200);
/// Duration of the first ejection after an error. It is short so that a host that recovers is soon used again.
const BASE_EJECTION: Duration = Duration::from_millis(300);
/// Duration of the first ejection after a timeout. It is longer because another timeout takes longer to detect.
const BASE_EJECTION_AFTER_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_millis(2400);
/// Additional delay after which a non-idempotent request may probe a host.
const NON_IDEMPOTENT_PROBE_DELAY: Duration = Duration::from_millis(300);
/// Number of consecutive error responses that eject a host.
const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 2;
/// Time without an error after which ejections start with the shortest duration again.
const BACKOFF_RESET_DELAY: Duration = Duration::from_secs(5);

/// An error of a host that counts against its health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostError {
    /// The host responded with an error.
    ErrorResponse,
    /// The connection couldn't be established, or it broke.
    Connection,
    /// The host sent nothing in time.
    Timeout,
}

/// A change of a host's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// The host was healthy and has been ejected.
    Ejected {
        /// The error that caused the ejection.
        error: HostError,
        /// Time until the first probe.
        duration: Duration,
    },
    /// The host was ejected and is healthy again.
    Reinstated,
}

/// Sort key of ejected hosts: ejection duration, then time of the latest error. The least severe host comes first.
pub(crate) type EjectionSeverity = (Duration, Option<Duration>);

/// Health of one host, derived from the outcomes of this proxy's attempts.
#[derive(Clone, Debug, Default)]
pub(crate) struct HostHealth {
    /// Time from which the host may be probed; `None` while it isn't ejected.
    ejected_until: Option<Duration>,
    /// Duration of the latest ejection.
    ejection_duration: Duration,
    last_error_at: Option<Duration>,
    consecutive_failures: u32,
    probe_in_flight: bool,
    timed_out: bool,
}

impl HostHealth {
    /// Records an error, which ejects the host unless it is a single error response. Returns the change if the host was
    /// healthy before.
    pub(crate) fn on_error(&mut self, now: Duration, error: HostError) -> Option<HealthChange> {
        let was_ejected = self.is_ejected();
        self.record_error(now, error);
        let is_new = !was_ejected && self.is_ejected();
        is_new.then_some(HealthChange::Ejected {
            error,
            duration: self.ejection_duration,
        })
    }

    fn record_error(&mut self, now: Duration, error: HostError) {
        let was_probe = std::mem::take(&mut self.probe_in_flight);
        if error == HostError::ErrorResponse && !was_probe && !self.count_failure(now) {
            return;
        }
        // An attempt that was sent before the ejection and ends during it must not extend the ejection.
        if self.ejected_until.is_none() || was_probe {
            self.ejection_duration = self.next_ejection_duration(now, error);
            self.ejected_until = Some(now + self.ejection_duration);
        }
        self.last_error_at = Some(now);
        self.timed_out = error == HostError::Timeout;
    }

    /// Counts an error response. Returns whether there were enough of them to eject the host.
    fn count_failure(&mut self, now: Duration) -> bool {
        let same_incident = self
            .last_error_at
            .is_some_and(|last| now.saturating_sub(last) < SAME_INCIDENT_WINDOW);
        if same_incident && self.consecutive_failures > 0 {
            return false;
        }
        self.consecutive_failures += 1;
        if self.consecutive_failures < CONSECUTIVE_FAILURES_TO_EJECT {
            self.last_error_at = Some(now);
            return false;
        }
        true
    }

    /// Returns the duration of an ejection that begins now: twice the previous one, unless the latest error was more
    /// than [`BACKOFF_RESET_DELAY`] ago.
    fn next_ejection_duration(&self, now: Duration, error: HostError) -> Duration {
        let base = match error {
            HostError::Timeout => BASE_EJECTION_AFTER_TIMEOUT,
            HostError::ErrorResponse | HostError::Connection => BASE_EJECTION,
        };
        let is_backoff_reset = self
            .last_error_at
            .is_none_or(|last| now.saturating_sub(last) > BACKOFF_RESET_DELAY);
        if is_backoff_reset {
            base
        } else {
            (self.ejection_duration * 2).clamp(base, MAX_EJECTION)
        }
    }

    /// Records a successful response: the host is healthy again. Returns the change if it was ejected.
    pub(crate) fn on_success(&mut self) -> Option<HealthChange> {
        let ejected_until = self.ejected_until.take();
        self.consecutive_failures = 0;
        self.probe_in_flight = false;
        self.timed_out = false;
        ejected_until.map(|_| HealthChange::Reinstated)
    }

    /// Records that a probe was sent.
    pub(crate) fn on_probe_sent(&mut self) {
        self.probe_in_flight = true;
    }

    /// Records that a probe ended without a result: another one may be sent.
    pub(crate) fn on_probe_inconclusive(&mut self) {
        self.probe_in_flight = false;
    }

    /// Records that the host's heartbeats have resumed: it may be probed immediately.
    pub(crate) fn on_heartbeat_resumed(&mut self, now: Duration) {
        if let Some(until) = &mut self.ejected_until {
            *until = (*until).min(now);
        }
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns whether the latest error was a timeout.
    pub(crate) fn is_unresponsive(&self) -> bool {
        self.timed_out
    }

    /// Returns whether a probe may be sent: the ejection is over and no other probe is in flight. A host that timed out
    /// and whose heartbeats have stopped isn't probed before the longest ejection duration has passed.
    pub(crate) fn is_probe_due(&self, now: Duration, heartbeat_expired: bool) -> bool {
        let extra_delay = if heartbeat_expired && self.timed_out {
            MAX_EJECTION.saturating_sub(self.ejection_duration)
        } else {
            Duration::ZERO
        };
        !self.probe_in_flight
            && self
                .ejected_until
                .is_some_and(|until| now >= until + extra_delay)
    }

    /// Returns the time at which the ejection ends; `None` while the host isn't ejected.
    pub(crate) fn ejected_until(&self) -> Option<Duration> {
        self.ejected_until
    }

    /// Returns whether the probe is so overdue that even a non-idempotent request may be used for it.
    pub(crate) fn is_probe_overdue(&self, now: Duration) -> bool {
        let overdue_after = if self.timed_out {
            MAX_EJECTION + NON_IDEMPOTENT_PROBE_DELAY
        } else {
            self.ejection_duration + 2 * NON_IDEMPOTENT_PROBE_DELAY
        };
        self.ejected_until
            .is_some_and(|until| now + self.ejection_duration >= until + overdue_after)
    }

    /// Returns how severe the host's ejection is. The lowest value is the least severe: the shortest ejection, then the
    /// oldest error.
    pub(crate) fn severity(&self) -> EjectionSeverity {
        (self.ejection_duration, self.last_error_at)
    }
}
