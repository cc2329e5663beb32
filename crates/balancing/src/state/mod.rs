//! The load balancer's state, which the modules of the mechanisms extend with their methods.

mod attempts;
mod discovery;
mod prefix_hints;

pub(crate) use attempts::AttemptRecord;

use crate::host::{Host, HostKey};
use crate::random::Random;
use crate::retry_budget::RetryLimits;
use crate::service::{Service, ServiceKey};
use crate::types::{HealthTransition, LoadBalancerSettings, PrefixHint};
use slab::Slab;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Longest time without a call that does not count as a stall of this process. After a stall, the idle lists and load
/// reports are out of date.
pub(crate) const STALL_THRESHOLD: Duration = Duration::from_millis(250);

/// The state of the load balancer.
pub(crate) struct BalancerState {
    /// This proxy's zone.
    pub(crate) zone: Arc<str>,
    pub(crate) random: Random,
    pub(crate) service_keys: HashMap<Arc<str>, ServiceKey>,
    pub(crate) services: Slab<Service>,
    host_keys: HashMap<Arc<str>, HostKey>,
    pub(crate) hosts: Slab<Host>,
    pub(crate) attempts: Slab<AttemptRecord>,
    pub(crate) retry_limits: RetryLimits,
    /// Time since which this proxy exchanges prefix hints with all other proxies; `None` while it doesn't.
    pub(crate) hints_complete_since: Option<Duration>,
    /// The hint for other proxies that the latest host choice produced.
    pub(crate) pending_hint: Option<PrefixHint>,
    /// Health transitions of hosts that the caller hasn't taken yet.
    pub(crate) health_transitions: Vec<HealthTransition>,
    /// Whether this is the first start of the whole system.
    pub(crate) is_first_start: bool,
    last_call_at: Option<Duration>,
    /// When this process last resumed after a stall; zero without a stall.
    pub(crate) resumed_at: Duration,
}

impl BalancerState {
    pub(crate) fn new(settings: LoadBalancerSettings) -> Self {
        Self {
            zone: settings.zone,
            random: Random::new(settings.random_seed),
            service_keys: HashMap::new(),
            services: Slab::new(),
            host_keys: HashMap::new(),
            hosts: Slab::new(),
            attempts: Slab::new(),
            retry_limits: RetryLimits {
                ratio: settings.retry_ratio,
                slack: settings.retry_slack,
                window: settings.retry_window,
                proxies: None,
                started_at: None,
            },
            hints_complete_since: None,
            pending_hint: None,
            health_transitions: Vec::new(),
            is_first_start: false,
            last_call_at: None,
            resumed_at: Duration::ZERO,
        }
    }

    /// Records the time of a call. After a stall, drops the idle lists and load reports from before it.
    pub(crate) fn on_call(&mut self, now: Duration) {
        self.retry_limits.started_at.get_or_insert(now);
        let has_stalled = self
            .last_call_at
            .is_some_and(|last| now.saturating_sub(last) > STALL_THRESHOLD);
        if has_stalled {
            self.resume_after_stall(now);
        }
        self.last_call_at = Some(self.last_call_at.map_or(now, |last| last.max(now)));
    }

    fn resume_after_stall(&mut self, now: Duration) {
        self.resumed_at = now;
        for (_, service) in &mut self.services {
            service.idle_hosts.remove_recorded_before(now);
        }
        for (_, host) in &mut self.hosts {
            host.busy_reported_at = None;
        }
    }

    /// Returns the time of the first call, which counts as the start of this proxy.
    pub(crate) fn started_at(&self) -> Duration {
        self.retry_limits.started_at.unwrap_or_default()
    }

    /// Returns the service named `name`, which is added if it is unknown.
    pub(crate) fn service_mut(&mut self, name: &str) -> Option<&mut Service> {
        let key = self.find_or_add_service(name);
        self.services.get_mut(key.0)
    }

    pub(crate) fn service_of_host_mut(&mut self, key: HostKey) -> Option<&mut Service> {
        let service = self.hosts.get(key.0)?.service;
        self.services.get_mut(service.0)
    }
}
