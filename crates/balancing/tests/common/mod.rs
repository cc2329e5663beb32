//! Shared test helpers: load balancers with hosts, requests, and the results of choices.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use balancing::{
    AttemptId, HostChoice, HostInfo, LoadBalancer, LoadBalancerSettings, PromptPart,
    RequestContext, ServiceInfo,
};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn settings() -> LoadBalancerSettings {
    LoadBalancerSettings {
        zone: "a".into(),
        retry_ratio: 0.2,
        retry_window: ms(10_000),
        retry_slack: 50.0,
        random_seed: 1,
    }
}

/// Creates the record of the host with this index, in one of the first `zones` of three zones.
pub fn host(service: &str, index: usize, zones: usize) -> HostInfo {
    HostInfo {
        id: format!("{service}-{index}").into(),
        service: service.into(),
        addr: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, index as u8 + 1), 8000),
        zone: ["a", "b", "c"][index % zones].into(),
        capacity: if service == "model" { 64 } else { 6 },
        draining: false,
        heartbeat_expired: false,
        slow_start_remaining: Duration::ZERO,
    }
}

pub fn services() -> Vec<ServiceInfo> {
    vec![
        ServiceInfo {
            name: "model".into(),
            connection_limit: 300,
            cache_capacity_tokens: Some(500_000.0),
        },
        ServiceInfo {
            name: "plain".into(),
            connection_limit: 100,
            cache_capacity_tokens: None,
        },
    ]
}

/// Creates a load balancer with model hosts and plain hosts in three zones, in a system of six proxies.
pub fn balancer_with_hosts(
    model_hosts: usize,
    plain_hosts: usize,
) -> (LoadBalancer, Vec<HostInfo>) {
    let mut balancer = LoadBalancer::new(settings());
    balancer.set_services(ms(0), &services());
    balancer.set_proxy_count(ms(0), 6);
    let mut hosts: Vec<_> = (0..model_hosts)
        .map(|index| host("model", index, 3))
        .collect();
    hosts.extend((0..plain_hosts).map(|index| HostInfo {
        addr: SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, index as u8 + 1), 8000),
        ..host("plain", index, 3)
    }));
    balancer.set_hosts(ms(0), &hosts);
    (balancer, hosts)
}

/// An idempotent request to a host without a model.
pub const PLAIN_REQUEST: RequestContext = RequestContext {
    service: "plain",
    tenant_rank: None,
    rank: 0,
    idempotent: true,
    prompt_parts: &[],
    prompt_tokens: 0,
    time_remaining: Duration::from_millis(1500),
    target_remaining: None,
    attempted_hosts: &[],
};

pub const fn part(id: u64, tokens: u32) -> PromptPart {
    PromptPart { id, tokens }
}

/// Creates a request to a model host with these prompt parts.
pub fn model_request(parts: &[PromptPart]) -> RequestContext<'_> {
    RequestContext {
        service: "model",
        prompt_parts: parts,
        prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
        time_remaining: ms(8000),
        target_remaining: None,
        ..PLAIN_REQUEST
    }
}

/// Returns the attempt and the host's identity of a choice; panics if no host was selected.
pub fn selected(choice: HostChoice) -> (AttemptId, Arc<str>) {
    match choice {
        HostChoice::Selected { attempt, id, .. } => (attempt, id),
        HostChoice::Unavailable { .. } | HostChoice::Throttled { .. } => {
            panic!("no host was selected")
        }
    }
}

/// Ticks every 100 ms, as the proxy does, and at the end.
pub fn tick_until(balancer: &mut LoadBalancer, from_ms: u64, to_ms: u64) {
    for now_ms in (from_ms..to_ms).step_by(100) {
        balancer.tick(ms(now_ms));
    }
    balancer.tick(ms(to_ms));
}
