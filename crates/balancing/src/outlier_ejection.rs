//! Outlier ejection: a host that fails gets no requests for a time, then one request probes it.

use std::time::Duration;

/// Errors closer together than this count as one: a crash breaks all attempts in flight at once.
const SAME_INCIDENT: Duration = Duration::from_millis(200);
/// First ejection after an error. It is short, so that a host that recovers is soon back.
const BASE_EJECTION: Duration = Duration::from_millis(300);
/// First ejection after a time-out, which costs more time to find out once more.
const BASE_EJECTION_AFTER_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_millis(2400);
/// How much longer than an idempotent request another one waits before it may probe.
const NON_IDEMPOTENT_PROBE_DELAY: Duration = Duration::from_millis(300);
/// Failed answers in a row that eject a host.
const FAILURES_TO_EJECT: u32 = 2;
/// After this time without an error the ejections start with the shortest one again.
const BACKOFF_RESET: Duration = Duration::from_secs(5);

/// An error of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostError {
    /// It answered that it failed.
    ErrorResponse,
    /// No connection came up, or it broke.
    Connection,
    /// It sent nothing in time.
    Timeout,
}

/// A change of a host's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// It was healthy and is ejected.
    Ejected {
        /// What ejected it.
        error: HostError,
        /// Time until it is probed first.
        duration: Duration,
    },
    /// It was ejected and is healthy again.
    Reinstated,
}

/// Ejection order among ejected hosts: the one that looks best comes first.
pub(crate) type EjectionSeverity = (Duration, Option<Duration>);

/// Health of one host, by the outcomes of this proxy's attempts.
#[derive(Clone, Debug, Default)]
pub(crate) struct HostHealth {
    /// When the host may be probed; `None` while it isn't ejected.
    ejected_until: Option<Duration>,
    /// Length of the latest ejection.
    ejection: Duration,
    last_error_at: Option<Duration>,
    consecutive_failures: u32,
    probe_in_flight: bool,
    timed_out: bool,
}

impl HostHealth {
    /// Records an error, which ejects the host unless it is a single failed answer.
    pub(crate) fn on_error(&mut self, now: Duration, error: HostError) -> Option<HealthChange> {
        let was_ejected = self.is_ejected();
        self.record_error(now, error);
        let is_new = !was_ejected && self.is_ejected();
        is_new.then_some(HealthChange::Ejected {
            error,
            duration: self.ejection,
        })
    }

    fn record_error(&mut self, now: Duration, error: HostError) {
        let was_probe = std::mem::take(&mut self.probe_in_flight);
        if error == HostError::ErrorResponse && !was_probe && !self.failures_suffice(now) {
            return;
        }
        // An attempt that was sent before the ejection and ends during it tells nothing new.
        if self.ejected_until.is_none() || was_probe {
            self.ejection = self.next_ejection(now, error);
            self.ejected_until = Some(now + self.ejection);
        }
        self.last_error_at = Some(now);
        self.timed_out = error == HostError::Timeout;
    }

    /// Counts a failed answer. Whether there were enough of them to eject the host.
    fn failures_suffice(&mut self, now: Duration) -> bool {
        let same_incident = self
            .last_error_at
            .is_some_and(|last| now.saturating_sub(last) < SAME_INCIDENT);
        if same_incident && self.consecutive_failures > 0 {
            return false;
        }
        self.consecutive_failures += 1;
        if self.consecutive_failures < FAILURES_TO_EJECT {
            self.last_error_at = Some(now);
            return false;
        }
        true
    }

    /// Length of an ejection that begins now: twice the one before, unless that was long ago.
    fn next_ejection(&self, now: Duration, error: HostError) -> Duration {
        let base = match error {
            HostError::Timeout => BASE_EJECTION_AFTER_TIMEOUT,
            HostError::ErrorResponse | HostError::Connection => BASE_EJECTION,
        };
        let was_healthy = self
            .last_error_at
            .is_none_or(|last| now.saturating_sub(last) > BACKOFF_RESET);
        if was_healthy {
            base
        } else {
            (self.ejection * 2).clamp(base, MAX_EJECTION)
        }
    }

    /// Records a good answer: the host is healthy again.
    pub(crate) fn on_success(&mut self) -> Option<HealthChange> {
        let ejected_until = self.ejected_until.take();
        self.consecutive_failures = 0;
        self.probe_in_flight = false;
        self.timed_out = false;
        ejected_until.map(|_| HealthChange::Reinstated)
    }

    /// Records that a probe is sent.
    pub(crate) fn on_probe_sent(&mut self) {
        self.probe_in_flight = true;
    }

    /// Records that a probe ended without a verdict: another one may be sent.
    pub(crate) fn on_probe_inconclusive(&mut self) {
        self.probe_in_flight = false;
    }

    /// Records that the host's heartbeats are back: it may be probed at once.
    pub(crate) fn on_heartbeat_resumed(&mut self, now: Duration) {
        if let Some(until) = &mut self.ejected_until {
            *until = (*until).min(now);
        }
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether the latest error was a time-out.
    pub(crate) fn is_unresponsive(&self) -> bool {
        self.timed_out
    }

    /// Whether a probe may be sent: the ejection is over and no other probe is in flight. A host that timed out and
    /// whose heartbeats have stopped is left alone for the longest ejection.
    pub(crate) fn is_probe_due(&self, now: Duration, heartbeat_expired: bool) -> bool {
        let extra = if heartbeat_expired && self.timed_out {
            MAX_EJECTION.saturating_sub(self.ejection)
        } else {
            Duration::ZERO
        };
        !self.probe_in_flight && self.ejected_until.is_some_and(|until| now >= until + extra)
    }

    /// When the ejection ends.
    pub(crate) fn ejected_until(&self) -> Option<Duration> {
        self.ejected_until
    }

    /// Whether the probe is so late that even a request that isn't idempotent may be used for it.
    pub(crate) fn is_probe_overdue(&self, now: Duration) -> bool {
        let wait = if self.timed_out {
            MAX_EJECTION + NON_IDEMPOTENT_PROBE_DELAY
        } else {
            self.ejection + 2 * NON_IDEMPOTENT_PROBE_DELAY
        };
        self.ejected_until
            .is_some_and(|until| now + self.ejection >= until + wait)
    }

    /// How bad the host looks among ejected ones. The least value is the best: the shortest ejection, then the oldest
    /// error.
    pub(crate) fn severity(&self) -> EjectionSeverity {
        (self.ejection, self.last_error_at)
    }
}
