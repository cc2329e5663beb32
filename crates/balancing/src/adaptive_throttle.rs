//! Adaptive throttling: a proxy rejects requests while too few of the requests that it forwards are answered in time.
//!
//! The rejection probability is `(offered - 1 - HEADROOM * in_time) / (offered + 1)` over a sliding window, and never
//! below 0 (Beyer et al., *Site Reliability Engineering*, chapter 21, with responses in time in place of accepted
//! requests). When an overload ends, the admitted share grows by the factor [`HEADROOM`] in each window.
//!
//! Only requests on routes with a latency target are throttled, and only requests that were not sent to a host before
//! count as offered. While a service is throttled, its retries are rejected with the same probability.

use crate::service::Service;
use crate::state::{AttemptRecord, BalancerState};
use crate::statistics::SlidingCount;
use crate::time::from_ms;
use crate::types::RequestContext;
use std::time::Duration;

/// Length of the sliding window.
const THROTTLE_WINDOW: Duration = Duration::from_secs(1);
/// Number of requests admitted for each request that was answered in time. Nothing is rejected while fewer than a
/// quarter of the requests are late.
const HEADROOM: f64 = 1.3;
/// Upper bound of the rejection probability. The requests that are still admitted show when the overload has ended.
const MAX_REJECTION_PROBABILITY: f64 = 0.9;
/// A response is late only if it takes more than this multiple of the time that it would take on an idle host: a long
/// prompt may miss its latency target because of its own prefill.
const UNLOADED_LATENCY_FACTOR: f64 = 1.5;
/// Number of steps in which a probability is compared with a random number.
const RANDOM_DRAW_STEPS: usize = 1 << 20;

/// Counts of a service's recent requests and of those answered in time.
#[derive(Debug)]
pub(crate) struct AdaptiveThrottle {
    /// Requests that this proxy rejected, that were answered in time, that were late, or that a full host refused.
    offered: SlidingCount,
    in_time: SlidingCount,
}

impl AdaptiveThrottle {
    pub(crate) fn new() -> Self {
        Self {
            offered: SlidingCount::new(THROTTLE_WINDOW),
            in_time: SlidingCount::new(THROTTLE_WINDOW),
        }
    }

    /// Counts a request whose first event has arrived; it is in time up to `due_at`.
    pub(crate) fn record_first_event(&mut self, now: Duration, due_at: Duration) {
        self.offered.add(now);
        if now <= due_at {
            self.in_time.add(now);
        }
    }

    /// Counts a request that was late, refused by a full host, or rejected by this proxy.
    pub(crate) fn record_not_in_time(&mut self, now: Duration) {
        self.offered.add(now);
    }

    /// Returns the probability, from 0 to [`MAX_REJECTION_PROBABILITY`], with which a request is rejected.
    pub(crate) fn rejection_probability(&self, now: Duration) -> f64 {
        let offered = f64::from(self.offered.upper_bound(now));
        let in_time = f64::from(self.in_time.upper_bound(now));
        // A single late request in an otherwise empty window is no sign of overload.
        let excess = offered - 1.0 - HEADROOM * in_time;
        (excess / (offered + 1.0)).clamp(0.0, MAX_REJECTION_PROBABILITY)
    }
}

impl AttemptRecord {
    /// Counts the attempt as not in time, unless it has been counted already.
    pub(crate) fn count_not_in_time(&mut self, now: Duration, throttle: &mut AdaptiveThrottle) {
        if self.late_at.take().is_some() {
            throttle.record_not_in_time(now);
        }
    }
}

impl BalancerState {
    /// Decides at random whether to reject a request so that others can be answered in time.
    pub(crate) fn rejects_by_throttle(&mut self, now: Duration, request: &RequestContext) -> bool {
        if request.target_remaining.is_none() {
            return false;
        }
        let Some(service) = self.service_mut(request.service) else {
            return false;
        };
        let probability = service.throttle.rejection_probability(now);
        if probability <= 0.0 {
            return false;
        }
        let threshold = (probability * RANDOM_DRAW_STEPS as f64) as usize;
        self.random.below(RANDOM_DRAW_STEPS) < threshold
    }

    /// Counts a request that this proxy rejects, unless it was sent to a host before.
    pub(crate) fn record_throttled(&mut self, now: Duration, request: &RequestContext) {
        if !request.attempted_hosts.is_empty() {
            return;
        }
        if let Some(service) = self.service_mut(request.service) {
            service.throttle.record_not_in_time(now);
        }
    }

    /// Counts the attempts in flight whose first event has become late. Attempts sent before a stall of this process
    /// are not counted: it is unknown whether they were answered in time.
    pub(crate) fn count_late_attempts(&mut self, now: Duration) {
        for (_, attempt) in &mut self.attempts {
            if attempt.sent_at < self.resumed_at {
                attempt.late_at = None;
            }
            if attempt.late_at.is_none_or(|late_at| now <= late_at) {
                continue;
            }
            let host = self.hosts.get(attempt.host.0);
            if let Some(service) = host.and_then(|host| self.services.get_mut(host.service.0)) {
                attempt.count_not_in_time(now, &mut service.throttle);
            }
        }
    }
}

/// Returns the time after sending within which a request's first event must arrive so as not to be late. `None` if the
/// route has no latency target.
pub(crate) fn first_event_time_limit(
    service: &Service,
    request: &RequestContext,
    uncached_tokens: u32,
) -> Option<Duration> {
    let unloaded_ms = service.base_latency_ms() + service.prefill_ms(uncached_tokens);
    let longest_unloaded = from_ms(UNLOADED_LATENCY_FACTOR * unloaded_ms);
    Some(request.target_remaining?.max(longest_unloaded))
}
