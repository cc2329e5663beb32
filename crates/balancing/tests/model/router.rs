//! The routers that choose hosts: the load balancer, or one of two baselines.

use super::Time;
use balancing::{
    AttemptId, HostChoice, HostInfo, HostLoad, LoadBalancer, LoadBalancerSettings, Outcome,
    RequestContext, ServiceInfo,
};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::Random;

fn to_duration(time: Time) -> Duration {
    Duration::from_micros(time)
}

/// The strategy of host choice. The table of results prints the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// The load balancer of this crate.
    Policy,
    /// A random host.
    Random,
    /// The host with the fewest requests in flight from this proxy.
    LeastLoaded,
}

/// The router of one proxy.
pub enum Router {
    LoadBalancer(Box<LoadBalancer>),
    Baseline(Baseline),
}

/// A router that chooses a random or the least loaded host, without prefix caches, health or a retry budget.
#[derive(Default)]
pub struct Baseline {
    is_least_loaded: bool,
    hosts: Vec<HostInfo>,
    /// Number of this proxy's requests in flight, by host.
    in_flight: HashMap<Arc<str>, u32>,
    /// Host of each attempt.
    attempt_hosts: Vec<Arc<str>>,
    random_state: u64,
}

/// The host that a router selected for a request.
pub struct SelectedHost {
    /// Number of the attempt at this router.
    pub attempt: usize,
    /// Identity of the host.
    pub id: Arc<str>,
    pub priority: u8,
}

/// Name of the only service.
pub const SERVICE: &str = "model";

impl Router {
    pub fn new(
        strategy: Strategy,
        index: usize,
        proxies: usize,
        cache_capacity_tokens: u64,
        now: Time,
    ) -> Self {
        let seed = 1000 + index as u64 + now;
        if strategy != Strategy::Policy {
            return Self::Baseline(Baseline {
                is_least_loaded: strategy == Strategy::LeastLoaded,
                random_state: seed,
                ..Baseline::default()
            });
        }
        let mut balancer = LoadBalancer::new(LoadBalancerSettings {
            zone: format!("z{}", index % 3).into(),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_slack: 54.0,
            random_seed: seed,
        });
        let info = ServiceInfo {
            name: SERVICE.into(),
            connection_limit: 620,
            cache_capacity_tokens: Some(cache_capacity_tokens as f64),
        };
        balancer.set_services(to_duration(now), &[info]);
        balancer.set_proxy_count(to_duration(now), proxies);
        Self::LoadBalancer(Box::new(balancer))
    }

    pub fn set_hosts(&mut self, now: Time, hosts: &[HostInfo]) {
        match self {
            Self::LoadBalancer(balancer) => balancer.set_hosts(to_duration(now), hosts),
            Self::Baseline(baseline) => baseline.hosts = hosts.to_vec(),
        }
    }

    pub fn on_request(&mut self, now: Time) {
        if let Self::LoadBalancer(balancer) = self {
            balancer.on_request(to_duration(now), SERVICE);
        }
    }

    pub fn withdraw_retry(&mut self, now: Time) -> bool {
        match self {
            Self::LoadBalancer(balancer) => balancer.withdraw_retry(to_duration(now), SERVICE),
            Self::Baseline(_) => true,
        }
    }

    /// Chooses a host for a request.
    ///
    /// # Errors
    /// Returns the time after which to retry if no host can accept the request.
    pub fn choose_host(
        &mut self,
        now: Time,
        request: &RequestContext,
    ) -> Result<SelectedHost, Duration> {
        match self {
            Self::LoadBalancer(balancer) => match balancer.choose_host(to_duration(now), request) {
                HostChoice::Selected {
                    attempt,
                    id,
                    priority,
                    ..
                } => Ok(SelectedHost {
                    attempt: attempt.0,
                    id,
                    priority: priority.unwrap_or(5),
                }),
                HostChoice::Unavailable { retry_after } | HostChoice::Throttled { retry_after } => {
                    Err(retry_after)
                }
            },
            Self::Baseline(baseline) => baseline
                .choose_host(request)
                .ok_or(Duration::from_millis(500)),
        }
    }

    pub fn on_first_byte(&mut self, now: Time, attempt: usize, load: Option<HostLoad>) {
        if let Self::LoadBalancer(balancer) = self {
            balancer.on_first_byte(to_duration(now), AttemptId(attempt));
            if let Some(load) = load {
                balancer.on_load_report(to_duration(now), AttemptId(attempt), load);
            }
        }
    }

    pub fn on_progress(&mut self, now: Time, attempt: usize) {
        if let Self::LoadBalancer(balancer) = self {
            balancer.on_progress(to_duration(now), AttemptId(attempt));
        }
    }

    pub fn on_attempt_ended(&mut self, now: Time, attempt: usize, outcome: Outcome) {
        match self {
            Self::LoadBalancer(balancer) => {
                balancer.on_attempt_ended(to_duration(now), AttemptId(attempt), outcome, None);
            }
            Self::Baseline(baseline) => {
                let id = baseline.attempt_hosts[attempt].clone();
                baseline
                    .in_flight
                    .entry(id)
                    .and_modify(|count| *count = count.saturating_sub(1));
            }
        }
    }

    /// Returns the time after which to try another host; one second with the baselines.
    pub fn attempt_timeout(&self, now: Time, attempt: usize) -> Option<Duration> {
        match self {
            Self::LoadBalancer(balancer) => {
                balancer.attempt_timeout(to_duration(now), AttemptId(attempt))
            }
            Self::Baseline(_) => Some(Duration::from_secs(1)),
        }
    }

    pub fn tick(&mut self, now: Time) {
        if let Self::LoadBalancer(balancer) = self {
            balancer.tick(to_duration(now));
        }
    }
}

impl Baseline {
    fn choose_host(&mut self, request: &RequestContext) -> Option<SelectedHost> {
        let mut eligible: Vec<&HostInfo> =
            self.hosts.iter().filter(|host| !host.draining).collect();
        eligible.retain(|host| !request.attempted_hosts.contains(&host.id));
        if eligible.iter().any(|host| !host.heartbeat_expired) {
            eligible.retain(|host| !host.heartbeat_expired);
        }
        if self.is_least_loaded {
            let in_flight = |host: &HostInfo| self.in_flight.get(&host.id).copied().unwrap_or(0);
            let fewest = eligible.iter().map(|host| in_flight(host)).min()?;
            eligible.retain(|host| in_flight(host) == fewest);
        }
        let mut random = Random(self.random_state);
        let index = random.below(eligible.len());
        let id = eligible.get(index)?.id.clone();
        self.random_state = random.next();
        *self.in_flight.entry(id.clone()).or_default() += 1;
        self.attempt_hosts.push(id.clone());
        Some(SelectedHost {
            attempt: self.attempt_hosts.len() - 1,
            id,
            priority: 2 + 2 * request.rank as u8,
        })
    }
}
