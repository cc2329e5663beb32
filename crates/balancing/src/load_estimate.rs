//! Estimate of how long a request would wait at a host, from the prefill queued there, the lateness of the host's
//! latest responses, and the time by which a response is overdue.

use crate::host::Host;
use crate::state::{AttemptRecord, BalancerState};
use crate::time::{as_ms, from_ms};
use std::time::Duration;

/// Time constant of the exponential decay of lateness, in ms.
const LATENESS_DECAY_MS: f64 = 800.0;
/// Weight of the latest response in the lateness.
const LATENESS_GAIN: f64 = 0.5;
/// A response is overdue beyond this multiple of its estimated latency.
const OVERDUE_FACTOR: f64 = 1.5;
/// Longest pause between the events of a stream that does not count as a stall of the host.
const STREAM_PAUSE_TOLERANCE: Duration = Duration::from_millis(400);

/// How much later than estimated a host's responses are. It decays exponentially with time.
#[derive(Debug)]
pub(crate) struct Lateness {
    ms: f64,
    measured_at: Duration,
}

impl Lateness {
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            ms: 0.0,
            measured_at: now,
        }
    }

    /// Returns the lateness in ms, never below 0.
    pub(crate) fn ms(&self, now: Duration) -> f64 {
        let age_ms = as_ms(now.saturating_sub(self.measured_at));
        self.ms * (-age_ms / LATENESS_DECAY_MS).exp()
    }

    /// Records that a response arrived `late_ms` later than estimated; negative if it was early.
    pub(crate) fn add(&mut self, now: Duration, late_ms: f64) {
        let before = self.ms(now);
        self.ms = (LATENESS_GAIN * before + LATENESS_GAIN * late_ms).max(0.0);
        self.measured_at = now;
    }
}

/// The prefill queued at a host, stored as the time at which it will be finished.
#[derive(Debug)]
pub(crate) struct PrefillBacklog {
    /// When the prefill of this proxy's requests will be finished.
    own_until: Duration,
    /// When the prefill of the other proxies' requests will be finished, according to their hints.
    peers_until: Duration,
}

impl PrefillBacklog {
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            own_until: now,
            peers_until: now,
        }
    }

    pub(crate) fn add_own(&mut self, now: Duration, prefill_ms: f64) {
        self.own_until = self.own_until.max(now) + from_ms(prefill_ms);
    }

    pub(crate) fn add_peers(&mut self, now: Duration, prefill_ms: f64) {
        self.peers_until = self.peers_until.max(now) + from_ms(prefill_ms);
    }

    /// Clears this proxy's backlog, once none of its requests waits for prefill any more.
    pub(crate) fn clear_own(&mut self, now: Duration) {
        self.own_until = now;
    }

    fn ms(&self, now: Duration) -> f64 {
        as_ms(self.own_until.saturating_sub(now)) + as_ms(self.peers_until.saturating_sub(now))
    }
}

impl BalancerState {
    /// Returns the time that a request would wait at a host before its prefill begins, in ms.
    pub(crate) fn expected_wait_ms(&self, now: Duration, host: &Host) -> f64 {
        let mut overdue_ms: f64 = 0.0;
        for attempt in self.attempts_at(host) {
            if let Some(overdue) = self.overdue_ms(now, host, attempt) {
                overdue_ms = overdue_ms.max(overdue);
            }
        }
        host.prefill_backlog.ms(now) + host.lateness.ms(now) + overdue_ms.max(0.0)
    }

    /// Returns how long the next bytes of an attempt are overdue, in ms; negative if they aren't. `None` if no further
    /// bytes are expected: the response has begun and isn't a stream.
    fn overdue_ms(&self, now: Duration, host: &Host, attempt: &AttemptRecord) -> Option<f64> {
        let since = attempt.sent_at.max(self.resumed_at);
        if !attempt.has_response {
            let elapsed_ms = as_ms(now.saturating_sub(since));
            return Some(elapsed_ms - OVERDUE_FACTOR * attempt.estimated_latency_ms);
        }
        attempt.last_progress_at?;
        let last_response = host.last_response_at?.max(since);
        let pause_ms = as_ms(now.saturating_sub(last_response));
        Some(pause_ms - as_ms(STREAM_PAUSE_TOLERANCE))
    }
}
