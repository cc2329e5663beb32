//! All that the load balancer remembers. The mechanisms' modules work on it.

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

/// A longer time without a call shows that this process stalled. What it knew of idle hosts is out of date then.
pub(crate) const STALL_THRESHOLD: Duration = Duration::from_millis(250);

/// The load balancer's memory.
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
    /// Since when all proxies send each other hints.
    pub(crate) hints_complete_since: Option<Duration>,
    /// The hint that the latest choice gives to other proxies.
    pub(crate) pending_hint: Option<PrefixHint>,
    /// Changes of hosts' health that haven't been taken yet.
    pub(crate) health_transitions: Vec<HealthTransition>,
    /// Whether the whole system starts for the first time.
    pub(crate) is_first_start: bool,
    last_call_at: Option<Duration>,
    /// When this process last resumed after a stall.
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

    /// Records a call. After a stall, the idle lists and load reports from before it are dropped.
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

    /// When this proxy started.
    pub(crate) fn started_at(&self) -> Duration {
        self.retry_limits.started_at.unwrap_or_default()
    }

    /// The service of this name, which is added where it isn't known.
    pub(crate) fn service_mut(&mut self, name: &str) -> Option<&mut Service> {
        let key = self.find_or_add_service(name);
        self.services.get_mut(key.0)
    }

    pub(crate) fn service_of_host_mut(&mut self, key: HostKey) -> Option<&mut Service> {
        let service = self.hosts.get(key.0)?.service;
        self.services.get_mut(service.0)
    }
}
