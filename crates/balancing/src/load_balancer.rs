//! The crate's interface: callers report events and ask for decisions.

use crate::host_choice::NoHostChosen;
use crate::state::BalancerState;
use crate::types::{
    AttemptId, HealthTransition, HostChoice, HostInfo, HostLoad, LoadBalancerSettings, Outcome,
    PrefixHint, PromptPart, RequestContext, ServiceInfo,
};
use std::time::Duration;

/// Retry-After of a request whose chosen host is no longer known.
const VANISHED_HOST_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The load balancer of one proxy.
///
/// Calls pass the time since an origin that the caller chooses. A gap of more than 250 ms between two calls is taken
/// for a stall of the process, so call [`tick`](Self::tick) every 100 ms while attempts are in flight.
pub struct LoadBalancer {
    state: BalancerState,
}

impl LoadBalancer {
    /// Creates a load balancer without services and hosts.
    pub fn new(settings: LoadBalancerSettings) -> Self {
        Self {
            state: BalancerState::new(settings),
        }
    }

    /// Replaces the configured services.
    pub fn set_services(&mut self, now: Duration, services: &[ServiceInfo]) {
        self.state.on_call(now);
        self.state.set_services(now, services);
    }

    /// Replaces the hosts of all services.
    pub fn set_hosts(&mut self, now: Duration, hosts: &[HostInfo]) {
        self.state.on_call(now);
        self.state.set_hosts(now, hosts);
    }

    /// Whether the host is listed and not draining: it has not announced that it is about to end.
    pub fn is_serving(&self, host_id: &str) -> bool {
        self.state.is_serving(host_id)
    }

    /// Sets the number of proxies that share the retry budget; 0 means that it is unknown.
    pub fn set_proxy_count(&mut self, now: Duration, count: usize) {
        self.state.on_call(now);
        self.state.retry_limits.proxies = (count > 0).then_some(count);
    }

    /// Records that this is the first start of the whole system: all prefix caches are empty.
    pub fn set_first_start(&mut self) {
        self.state.is_first_start = true;
    }

    /// Sets whether this proxy exchanges prefix hints with all other proxies.
    pub fn set_hints_complete(&mut self, now: Duration, complete: bool) {
        let since = self.state.hints_complete_since.unwrap_or(now);
        self.state.hints_complete_since = complete.then_some(since);
    }

    /// Takes the hint that the latest [`choose_host`](Self::choose_host) produced for other proxies, if any.
    pub fn take_prefix_hint(&mut self) -> Option<PrefixHint> {
        self.state.pending_hint.take()
    }

    /// Takes the health transitions of hosts since the last call, oldest first.
    pub fn take_health_transitions(&mut self) -> Vec<HealthTransition> {
        std::mem::take(&mut self.state.health_transitions)
    }

    /// Applies another proxy's hint that it sent a prompt to a host. Ignores hints about unknown hosts and hints with
    /// a prefix of more tokens than a cache holds.
    pub fn on_prefix_hint(
        &mut self,
        now: Duration,
        host_id: &str,
        prefix: &[PromptPart],
        uncached_tokens: u32,
    ) {
        self.state
            .on_prefix_hint(now, host_id, prefix, uncached_tokens);
    }

    /// Returns the shared prompt parts that are known to be in the hosts' caches: one entry for each host that has any.
    pub fn cached_prefixes(&self) -> Vec<PrefixHint> {
        self.state.cached_prefixes()
    }

    /// Records the current time, detects stalls of this process and counts attempts that have become late.
    pub fn tick(&mut self, now: Duration) {
        self.state.on_call(now);
        self.state.count_late_attempts(now);
    }

    /// Records the arrival of a client's request, which adds its share to the retry budget of the service.
    pub fn on_request(&mut self, now: Duration, service: &str) {
        self.state.on_call(now);
        if let Some(service) = self.state.service_mut(service) {
            service.retry_budget.deposit(now);
        }
    }

    /// Chooses a host for a request. The attempt counts as in flight until
    /// [`on_attempt_ended`](Self::on_attempt_ended).
    pub fn choose_host(&mut self, now: Duration, request: &RequestContext) -> HostChoice {
        self.state.on_call(now);
        let chosen = match self.state.choose_host(now, request) {
            Ok(chosen) => chosen,
            Err(reason) => {
                if reason == NoHostChosen::Throttled {
                    self.state.record_throttled(now, request);
                }
                return reason.into();
            }
        };
        self.state
            .send(now, request, &chosen)
            .unwrap_or(HostChoice::Unavailable {
                retry_after: VANISHED_HOST_RETRY_AFTER,
            })
    }

    /// Withdraws one retry from the service's budget; returns `false` if none is left. Call it before
    /// [`choose_host`](Self::choose_host) for each attempt of a request after the first one that reached a host.
    pub fn withdraw_retry(&mut self, now: Duration, service: &str) -> bool {
        self.state.on_call(now);
        self.state.withdraw_retry(now, service)
    }

    /// Records the beginning of a response: the head of a successful response, or the first event of a stream.
    pub fn on_first_byte(&mut self, now: Duration, attempt: AttemptId) {
        self.state.on_call(now);
        self.state.on_first_byte(now, attempt.0);
    }

    /// Records the progress of a response: a further event of a stream, or a chunk of a body.
    pub fn on_progress(&mut self, now: Duration, attempt: AttemptId) {
        self.state.on_call(now);
        self.state.on_progress(now, attempt.0);
    }

    /// Applies the load report in the head of a response that is still in progress. Pass a report that arrives with
    /// the end of a response to [`on_attempt_ended`](Self::on_attempt_ended).
    pub fn on_load_report(&mut self, now: Duration, attempt: AttemptId, load: HostLoad) {
        self.state.on_call(now);
        if let Some(host) = self.state.attempts.get(attempt.0).map(|record| record.host) {
            self.state.on_load_report(now, host, load);
        }
    }

    /// Records the end of an attempt. Its id may be reused afterwards.
    pub fn on_attempt_ended(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        outcome: Outcome,
        load: Option<HostLoad>,
    ) {
        self.state.on_call(now);
        self.state.on_attempt_ended(now, attempt.0, outcome, load);
    }

    /// Returns the time after sending an attempt at which to try another host, if no byte has arrived by then. `None`
    /// if the attempt should not time out: the request isn't idempotent, its response has begun, or it has ended.
    ///
    /// The timeout may change while the attempt is in flight, so query it repeatedly.
    pub fn attempt_timeout(&self, now: Duration, attempt: AttemptId) -> Option<Duration> {
        self.state.attempt_timeout(now, attempt.0)
    }
}
