//! Attempt timeout: how long to wait for a host's first byte before the request is sent to another host.

use crate::state::{BalancerState, STALL_THRESHOLD};
use crate::time::{as_ms, from_ms};
use std::time::Duration;

/// Shortest attempt timeout, in ms.
const MIN_TIMEOUT_MS: f64 = 600.0;
/// Longest attempt timeout, in ms.
const MAX_TIMEOUT_MS: f64 = 2500.0;
/// Timeout as a multiple of a high quantile of the service's latency.
const TIMEOUT_LATENCY_FACTOR: f64 = 1.5;
/// Largest share of the time to the deadline that an attempt may wait, so that another host still has time to respond.
const MAX_SHARE_OF_TIME_REMAINING: f64 = 0.4;

impl BalancerState {
    /// Returns the time after sending at which to try another host. `None` if the request isn't idempotent, its
    /// response has begun, or the attempt has ended.
    pub(crate) fn attempt_timeout(&self, now: Duration, attempt: usize) -> Option<Duration> {
        let attempt = self.attempts.get(attempt)?;
        if !attempt.idempotent || attempt.has_response {
            return None;
        }
        let host = self.hosts.get(attempt.host.0)?;
        let service = self.services.get(host.service.0)?;
        let known_unresponsive = host.health.is_ejected() && host.health.is_unresponsive();
        if known_unresponsive && !attempt.probe {
            return Some(from_ms(MIN_TIMEOUT_MS));
        }
        let remaining_ms = as_ms(attempt.time_remaining);
        let max_ms = MAX_TIMEOUT_MS
            .min(MAX_SHARE_OF_TIME_REMAINING * remaining_ms)
            .max(MIN_TIMEOUT_MS);
        let responded_recently = host.last_response_at.is_some_and(|last| {
            last > attempt.sent_at && now.saturating_sub(last) < STALL_THRESHOLD
        });
        if responded_recently {
            // The host is processing its requests. Another host would have to prefill the whole prompt again.
            return Some(from_ms(max_ms));
        }
        let latency_ratio_quantile = service.latency_ratio.value().max(1.0);
        let timeout_ms =
            TIMEOUT_LATENCY_FACTOR * latency_ratio_quantile * attempt.estimated_latency_ms;
        Some(from_ms(timeout_ms.clamp(MIN_TIMEOUT_MS, max_ms)))
    }
}
