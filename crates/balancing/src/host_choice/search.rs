//! Search for the hosts of a service that may accept a request.

use super::candidate::Candidate;
use super::ChosenHost;
use crate::adaptive_throttle::first_event_time_limit;
use crate::affinity::{affinity_key, host_weight};
use crate::host::{Host, HostKey};
use crate::service::Service;
use crate::state::BalancerState;
use crate::time::as_ms;
use crate::types::RequestContext;
use std::time::Duration;

/// Largest number of uncached tokens with which a request may probe a host as soon as the probe is due.
const MAX_PROBE_TOKENS: u32 = 2000;
/// Time by which a probe must be overdue before a request with a longer prompt may probe the host.
const LONG_PROMPT_PROBE_DELAY: Duration = Duration::from_millis(300);
/// If fewer than 1 in this many hosts are healthy, suspicious hosts are used too (panic mode).
const PANIC_DIVISOR: usize = 4;

/// The hosts of a service, evaluated for one request.
pub(super) struct HostSearch<'a> {
    pub(super) state: &'a BalancerState,
    pub(super) now: Duration,
    pub(super) service: &'a Service,
    pub(super) request: &'a RequestContext<'a>,
    /// The host that all proxies prefer for this prompt; `None` if the prompt is unknown or the hosts run no model.
    pub(super) affinity_host: Option<HostKey>,
    /// All hosts of the service.
    hosts: Vec<(HostKey, &'a Host)>,
    /// Hosts that may accept the request: usable, not full, not attempted before.
    eligible_hosts: Vec<(HostKey, &'a Host)>,
}

/// The hosts to choose among.
pub(super) struct Candidates {
    pub(super) hosts: Vec<Candidate>,
    /// Whether the hosts come from the idle list.
    pub(super) from_idle_list: bool,
}

impl<'a> HostSearch<'a> {
    pub(super) fn new(
        state: &'a BalancerState,
        now: Duration,
        service: &'a Service,
        request: &'a RequestContext<'a>,
    ) -> Self {
        let hosts: Vec<(HostKey, &Host)> = service
            .hosts
            .iter()
            .filter_map(|key| Some((*key, state.hosts.get(key.0)?)))
            .collect();
        let is_eligible = |host: &Host| {
            host.is_usable()
                && !request.attempted_hosts.contains(&host.info.id)
                && !is_full(now, service, host)
        };
        let eligible_hosts = hosts
            .iter()
            .filter(|(_, host)| is_eligible(host))
            .copied()
            .collect();
        Self {
            affinity_host: find_affinity_host(now, service, request, &hosts),
            state,
            now,
            service,
            request,
            hosts,
            eligible_hosts,
        }
    }

    /// Returns the number of usable hosts, whether or not they may accept this request.
    pub(super) fn usable_hosts(&self) -> usize {
        let usable = self.hosts.iter().filter(|(_, host)| host.is_usable());
        usable.count()
    }

    /// Returns the ejected host that this request is to probe, if any: the one whose ejection ended first.
    pub(super) fn due_probe(&self) -> Option<ChosenHost> {
        let due = self.eligible_hosts.iter().filter(|(_, host)| {
            host.health
                .is_probe_due(self.now, host.info.heartbeat_expired)
        });
        let (key, host) = due.min_by_key(|(_, host)| host.health.ejected_until())?;
        let uncached_tokens = self.uncached_tokens(host, false);
        self.may_probe(host, uncached_tokens).then_some(ChosenHost {
            host: *key,
            uncached_tokens,
            probe: true,
        })
    }

    /// Returns whether this request may probe the host, at the risk that it fails.
    fn may_probe(&self, host: &Host, uncached_tokens: u32) -> bool {
        if host.health.is_probe_overdue(self.now) {
            return true;
        }
        let delay = host
            .health
            .ejected_until()
            .map_or(Duration::ZERO, |until| self.now.saturating_sub(until));
        let is_short = uncached_tokens <= MAX_PROBE_TOKENS;
        self.request.idempotent && (is_short || delay >= LONG_PROMPT_PROBE_DELAY)
    }

    /// Returns the idle hosts as candidates. If none is idle, returns all healthy hosts that may accept the request, or
    /// the least bad ones if none is healthy.
    pub(super) fn candidates(&self) -> Candidates {
        let healthy = self.healthy_hosts();
        if healthy.is_empty() {
            return Candidates {
                hosts: self.to_candidates(&self.least_bad_hosts()),
                from_idle_list: false,
            };
        }
        let idle: Vec<(HostKey, &Host)> = healthy
            .iter()
            .filter(|(key, _)| self.service.idle_hosts.entries(self.now, *key) > 0)
            .copied()
            .collect();
        let from_idle_list = !idle.is_empty();
        let hosts = if from_idle_list { &idle } else { &healthy };
        Candidates {
            hosts: self.to_candidates(hosts),
            from_idle_list,
        }
    }

    /// Returns whether no model host is idle, and a request that was not sent to a host before would be late on all of
    /// them.
    pub(super) fn is_late_everywhere(&self, candidates: &Candidates) -> bool {
        let may_be_late = candidates.from_idle_list
            || !self.service.runs_model()
            || !self.request.attempted_hosts.is_empty();
        if may_be_late {
            return false;
        }
        candidates.hosts.iter().all(|candidate| {
            first_event_time_limit(self.service, self.request, candidate.uncached_tokens)
                .is_some_and(|limit| candidate.first_event_ms > as_ms(limit))
        })
    }

    fn to_candidates(&self, hosts: &[(HostKey, &Host)]) -> Vec<Candidate> {
        hosts
            .iter()
            .map(|(key, host)| self.candidate(*key, host))
            .collect()
    }

    /// Returns the eligible hosts that are healthy. In panic mode, includes those that are suspicious without being
    /// unresponsive.
    fn healthy_hosts(&self) -> Vec<(HostKey, &'a Host)> {
        let mut healthy: Vec<(HostKey, &Host)> = self
            .eligible_hosts
            .iter()
            .filter(|(_, host)| is_healthy(self.now, host))
            .copied()
            .collect();
        if !healthy.is_empty() && healthy.len() * PANIC_DIVISOR < self.usable_hosts() {
            let suspicious = self
                .eligible_hosts
                .iter()
                .filter(|(_, host)| self.may_serve_in_panic(host));
            healthy.extend(suspicious.copied());
        }
        healthy
    }

    fn may_serve_in_panic(&self, host: &Host) -> bool {
        if host.health.is_ejected() {
            return !host.health.is_unresponsive() && !host.info.heartbeat_expired;
        }
        // If so many hosts have no heartbeats, the fault is more likely in the heartbeats than in the hosts.
        host.is_unreachable(self.now)
    }

    /// Returns the hosts to use if none is healthy: those that aren't ejected, otherwise those with the least severe
    /// ejection.
    fn least_bad_hosts(&self) -> Vec<(HostKey, &'a Host)> {
        let not_ejected: Vec<(HostKey, &Host)> = self
            .eligible_hosts
            .iter()
            .filter(|(_, host)| !host.health.is_ejected())
            .copied()
            .collect();
        if !not_ejected.is_empty() {
            return not_ejected;
        }
        let severities = self
            .eligible_hosts
            .iter()
            .map(|(_, host)| host.health.severity());
        let lowest_severity = severities.min();
        self.eligible_hosts
            .iter()
            .filter(|(_, host)| Some(host.health.severity()) == lowest_severity)
            .copied()
            .collect()
    }

    /// Returns the time until the first of the hosts that refused a request may accept one again.
    pub(super) fn first_overload_end(&self) -> Duration {
        self.hosts
            .iter()
            .filter_map(|(_, host)| host.overloaded_until)
            .map(|until| until.saturating_sub(self.now))
            .min()
            .unwrap_or(Duration::ZERO)
    }
}

/// Returns the healthy host that comes first in the prompt's affinity order. Hosts that this request was sent to before
/// are included, as other requests with such prompts go to the same host.
fn find_affinity_host(
    now: Duration,
    service: &Service,
    request: &RequestContext,
    hosts: &[(HostKey, &Host)],
) -> Option<HostKey> {
    if !service.runs_model() {
        return None;
    }
    let prompt = affinity_key(request.prompt_parts)?;
    hosts
        .iter()
        .filter(|(_, host)| host.is_usable() && is_healthy(now, host))
        .max_by_key(|(_, host)| host_weight(prompt, host.hash))
        .map(|(key, _)| *key)
}

/// Returns whether a host is neither ejected nor unreachable.
fn is_healthy(now: Duration, host: &Host) -> bool {
    !host.health.is_ejected() && !host.is_unreachable(now)
}

/// Returns whether a host accepts no further requests from this proxy now.
fn is_full(now: Duration, service: &Service, host: &Host) -> bool {
    let connection_limit = service
        .info
        .as_ref()
        .map_or(u32::MAX, |info| info.connection_limit);
    host.is_overloaded(now) || host.in_flight.len() as u32 >= connection_limit
}
