//! Attempts in flight: their sending, their responses and their end.

use super::BalancerState;
use crate::adaptive_throttle::first_event_time_limit;
use crate::host::{Host, HostKey};
use crate::host_choice::ChosenHost;
use crate::outlier_ejection::{HealthChange, HostError};
use crate::time::as_ms;
use crate::types::{AttemptId, HealthTransition, HostChoice, HostLoad, Outcome, RequestContext};
use std::time::Duration;

/// Time for which a host that refused a request gets no further requests.
const OVERLOAD_BACKOFF: Duration = Duration::from_millis(100);
/// Age from which an attempt that the client cancelled without having received a byte counts as a timeout of the host.
const CANCELLATION_TIMEOUT_THRESHOLD: Duration = Duration::from_millis(800);

/// `Priority` of the most urgent rank without a tenant. Smaller values, down to 0, stay unused.
const BASE_PRIORITY: u32 = 2;
/// Distance between the priorities of two ranks.
const PRIORITY_PER_RANK: u32 = 2;
/// Number of route ranks that are distinguished within a tenant's rank.
const ROUTE_RANKS_PER_TENANT_RANK: u32 = 3;
/// Largest value of `Priority`.
const MAX_PRIORITY: u32 = 9;

/// An attempt in flight.
#[derive(Debug)]
pub(crate) struct AttemptRecord {
    pub(crate) host: HostKey,
    pub(crate) sent_at: Duration,
    /// Time to the first event in ms, as estimated when the attempt was sent.
    pub(crate) estimated_latency_ms: f64,
    /// Part of `estimated_latency_ms` that is waiting.
    estimated_wait_ms: f64,
    uncached_tokens: u32,
    /// Whether the response has begun.
    pub(crate) has_response: bool,
    /// When the response last made progress after its beginning.
    pub(crate) last_progress_at: Option<Duration>,
    pub(crate) idempotent: bool,
    /// Whether the attempt probes an ejected host.
    pub(crate) probe: bool,
    /// Time to the deadline when the attempt was sent.
    pub(crate) time_remaining: Duration,
    /// Time after which the first event is late. `None` if lateness isn't counted or has been counted already.
    pub(crate) late_at: Option<Duration>,
}

/// Facts about an ended attempt that affect the state of its host.
struct EndedAttempt {
    outcome: Outcome,
    probe: bool,
    /// Time in flight, without the time before this process last resumed after a stall.
    age: Duration,
    /// Whether nothing arrived from the host since the attempt was sent.
    host_silent: bool,
}

impl BalancerState {
    /// Returns the attempts in flight at a host.
    pub(crate) fn attempts_at<'a>(
        &'a self,
        host: &'a Host,
    ) -> impl Iterator<Item = &'a AttemptRecord> {
        let attempt_keys = host.in_flight.iter();
        attempt_keys.filter_map(|attempt_key| self.attempts.get(*attempt_key))
    }

    /// Records that a request is sent to a host. Returns `None` if the host is no longer known.
    pub(crate) fn send(
        &mut self,
        now: Duration,
        request: &RequestContext,
        chosen: &ChosenHost,
    ) -> Option<HostChoice> {
        let host = self.hosts.get(chosen.host.0)?;
        let service = self.services.get(host.service.0)?;
        let runs_model = service.runs_model();
        let wait_ms = self.expected_wait_ms(now, host);
        let prefill_ms = service.prefill_ms(chosen.uncached_tokens);
        let attempt = self.attempts.insert(AttemptRecord {
            host: chosen.host,
            sent_at: now,
            estimated_latency_ms: wait_ms + service.base_latency_ms() + prefill_ms,
            estimated_wait_ms: wait_ms,
            uncached_tokens: chosen.uncached_tokens,
            has_response: false,
            last_progress_at: None,
            idempotent: request.idempotent,
            probe: chosen.probe,
            time_remaining: request.time_remaining,
            late_at: first_event_time_limit(service, request, chosen.uncached_tokens)
                .map(|after| now + after),
        });
        self.record_prompt(
            now,
            chosen.host,
            request.prompt_parts,
            chosen.uncached_tokens,
        );
        let host = self.hosts.get_mut(chosen.host.0)?;
        host.in_flight.push(attempt);
        if chosen.probe {
            host.health.on_probe_sent();
        }
        Some(HostChoice::Selected {
            attempt: AttemptId(attempt),
            id: host.info.id.clone(),
            addr: host.info.addr,
            priority: runs_model.then(|| priority(request.tenant_rank, request.rank)),
        })
    }

    /// Records the beginning of an attempt's response.
    pub(crate) fn on_first_byte(&mut self, now: Duration, attempt_key: usize) {
        let Some(attempt) = self.attempts.get_mut(attempt_key) else {
            return;
        };
        if std::mem::replace(&mut attempt.has_response, true) {
            return;
        }
        let key = attempt.host;
        // The arrival time of a response that came during a stall of this process is unknown.
        let is_timed = self.resumed_at <= attempt.sent_at;
        let latency_ms = as_ms(now.saturating_sub(attempt.sent_at));
        let late_ms = latency_ms - attempt.estimated_latency_ms;
        let service_ms = latency_ms - attempt.estimated_wait_ms;
        let latency_ratio = latency_ms / attempt.estimated_latency_ms.max(1.0);
        let uncached_tokens = attempt.uncached_tokens;
        let late_at = attempt.late_at.take();
        self.clear_finished_prefill(now, key);
        let Some(host) = self.hosts.get_mut(key.0) else {
            return;
        };
        host.last_response_at = Some(now);
        let change = host.health.on_success();
        self.health_transitions
            .extend(change.map(|change| host.health_transition(change)));
        if is_timed {
            host.lateness.add(now, late_ms);
            if let Some(service) = self.services.get_mut(host.service.0) {
                if let Some(late_at) = late_at {
                    service.throttle.record_first_event(now, late_at);
                }
                let trend = &mut service.first_event_latency;
                trend.add(f64::from(uncached_tokens), service_ms.max(0.0));
                service.latency_ratio.add(latency_ratio);
            }
        }
        self.refresh_idle_host(now, key);
    }

    /// Records the progress of an attempt's response.
    pub(crate) fn on_progress(&mut self, now: Duration, attempt_key: usize) {
        let Some(attempt) = self.attempts.get_mut(attempt_key) else {
            return;
        };
        attempt.last_progress_at = Some(now);
        if let Some(host) = self.hosts.get_mut(attempt.host.0) {
            host.last_response_at = Some(now);
        }
    }

    /// Clears this proxy's prefill backlog at a host once none of its attempts there waits for a response.
    fn clear_finished_prefill(&mut self, now: Duration, key: HostKey) {
        let Some(host) = self.hosts.get(key.0) else {
            return;
        };
        if self.attempts_at(host).any(|attempt| !attempt.has_response) {
            return;
        }
        if let Some(host) = self.hosts.get_mut(key.0) {
            host.prefill_backlog.clear_own(now);
        }
    }

    /// Records the end of an attempt.
    pub(crate) fn on_attempt_ended(
        &mut self,
        now: Duration,
        attempt_key: usize,
        outcome: Outcome,
        load: Option<HostLoad>,
    ) {
        if outcome == Outcome::Succeeded {
            self.on_first_byte(now, attempt_key);
        }
        let Some(mut attempt) = self.attempts.try_remove(attempt_key) else {
            return;
        };
        let key = attempt.host;
        if let Some(host) = self.hosts.get_mut(key.0) {
            host.in_flight.retain(|other| *other != attempt_key);
        }
        if outcome == Outcome::Overloaded {
            if let Some(service) = self.service_of_host_mut(key) {
                attempt.count_not_in_time(now, &mut service.throttle);
            }
        }
        self.clear_finished_prefill(now, key);
        let Some(host) = self.hosts.get_mut(key.0) else {
            return;
        };
        let silent_since_sent = host
            .last_response_at
            .is_none_or(|last| last <= attempt.sent_at);
        let ended = EndedAttempt {
            outcome,
            probe: attempt.probe,
            age: now.saturating_sub(attempt.sent_at.max(self.resumed_at.min(now))),
            host_silent: !attempt.has_response && silent_since_sent,
        };
        let change = host.health_change_at_end(now, &ended);
        self.health_transitions
            .extend(change.map(|change| host.health_transition(change)));
        let may_be_idle = host.on_attempt_ended(now, &ended);
        match load {
            _ if !may_be_idle => self.mark_busy(now, key),
            Some(load) => self.on_load_report(now, key, load),
            None => self.refresh_idle_host(now, key),
        }
        self.drop_removed_host(key);
    }
}

impl Host {
    /// Updates the host's health after an attempt has ended.
    fn health_change_at_end(
        &mut self,
        now: Duration,
        ended: &EndedAttempt,
    ) -> Option<HealthChange> {
        let is_timeout = ended.host_silent
            && (ended.outcome == Outcome::TimedOut
                || (ended.outcome == Outcome::Cancelled
                    && ended.age >= CANCELLATION_TIMEOUT_THRESHOLD));
        match ended.outcome {
            Outcome::Succeeded | Outcome::Overloaded | Outcome::Refused => self.health.on_success(),
            Outcome::Failed => self.health.on_error(now, HostError::ErrorResponse),
            Outcome::ConnectFailed | Outcome::ConnectionLost => {
                self.health.on_error(now, HostError::Connection)
            }
            Outcome::TimedOut | Outcome::Cancelled if is_timeout => {
                self.health.on_error(now, HostError::Timeout)
            }
            Outcome::TimedOut | Outcome::Cancelled | Outcome::Misdirected => {
                self.end_inconclusive_probe(ended);
                None
            }
        }
    }

    /// Updates the host's other state after an attempt has ended. Returns whether the host may be idle now.
    fn on_attempt_ended(&mut self, now: Duration, ended: &EndedAttempt) -> bool {
        if is_host_response(ended.outcome) {
            self.last_response_at = Some(now);
        }
        match ended.outcome {
            Outcome::Succeeded => true,
            Outcome::Overloaded | Outcome::Refused => {
                self.overloaded_until = Some(now + OVERLOAD_BACKOFF);
                false
            }
            Outcome::Misdirected => {
                self.misdirected = true;
                false
            }
            Outcome::TimedOut if !ended.host_silent => {
                self.lateness.add(now, as_ms(ended.age));
                false
            }
            Outcome::Failed
            | Outcome::ConnectFailed
            | Outcome::ConnectionLost
            | Outcome::TimedOut => false,
            Outcome::Cancelled => {
                !(ended.host_silent && ended.age >= CANCELLATION_TIMEOUT_THRESHOLD)
            }
        }
    }

    fn health_transition(&self, change: HealthChange) -> HealthTransition {
        HealthTransition {
            host_id: self.info.id.clone(),
            service: self.info.service.clone(),
            change,
        }
    }

    fn end_inconclusive_probe(&mut self, ended: &EndedAttempt) {
        if ended.probe {
            self.health.on_probe_inconclusive();
        }
    }
}

/// Returns whether an outcome shows that the host itself responded.
fn is_host_response(outcome: Outcome) -> bool {
    match outcome {
        Outcome::Succeeded | Outcome::Failed | Outcome::Overloaded | Outcome::Refused => true,
        // Another host responded, or none did.
        Outcome::Misdirected
        | Outcome::ConnectFailed
        | Outcome::ConnectionLost
        | Outcome::TimedOut
        | Outcome::Cancelled => false,
    }
}

/// Returns the value of `Priority` for a rank. The order of ranks is kept up to [`MAX_PRIORITY`]. A tenant's rank takes
/// precedence over the route's rank, and route ranks beyond those distinguished count as the last one distinguished.
fn priority(tenant_rank: Option<u32>, rank: u32) -> u8 {
    let priority = match tenant_rank {
        None => rank
            .saturating_mul(PRIORITY_PER_RANK)
            .saturating_add(BASE_PRIORITY),
        Some(tenant_rank) => tenant_rank
            .saturating_mul(ROUTE_RANKS_PER_TENANT_RANK)
            .saturating_add(rank.min(ROUTE_RANKS_PER_TENANT_RANK - 1)),
    };
    let priority = priority.min(MAX_PRIORITY);
    u8::try_from(priority).unwrap_or(u8::MAX)
}
