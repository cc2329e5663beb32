//! Attempt time-out: how long to wait for a host's first byte before another host is worth asking.

use crate::state::{BalancerState, STALL_THRESHOLD};
use crate::time::{as_ms, from_ms};
use std::time::Duration;

/// Shortest and longest time-out, in ms.
const MIN_TIMEOUT_MS: f64 = 600.0;
const MAX_TIMEOUT_MS: f64 = 2500.0;
/// Time-out as a multiple of the latency that nearly all answers stay below.
const LATENCY_FACTOR: f64 = 1.5;
/// Share of the time to the deadline that may be waited, so that another host still has time to answer.
const MAX_SHARE_OF_TIME_REMAINING: f64 = 0.4;

impl BalancerState {
    /// Time after the sending at which another host is worth asking. `None` where the request mustn't run twice, has
    /// an answer, or has ended.
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
        let shows_life = host.last_response_at.is_some_and(|last| {
            last > attempt.sent_at && now.saturating_sub(last) < STALL_THRESHOLD
        });
        if shows_life {
            // It works on what it was sent. Another host would have to prefill all of it again.
            return Some(from_ms(max_ms));
        }
        let usual_ratio = service.latency_ratio.value().max(1.0);
        let usual_ms = LATENCY_FACTOR * usual_ratio * attempt.estimated_latency_ms;
        Some(from_ms(usual_ms.clamp(MIN_TIMEOUT_MS, max_ms)))
    }
}
