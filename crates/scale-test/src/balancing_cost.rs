//! What load balancing costs a proxy for a request and for a change of the hosts, by their number.

use crate::report::PhaseReport;
use crate::resource_usage::{self, ResourceUsage};
use balancing::{
    HostChoice, HostInfo, HostLoad, LoadBalancer, LoadBalancerSettings, Outcome, PromptPart,
    RequestContext, ServiceInfo,
};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// The service of all hosts.
const SERVICE: &str = "model";
/// Time between two requests of one proxy.
const REQUEST_INTERVAL: Duration = Duration::from_millis(130);
/// Times from a request to its first event and to its end.
const FIRST_EVENT: Duration = Duration::from_millis(50);
const END: Duration = Duration::from_millis(120);
/// How often the list of hosts is set.
const HOST_UPDATES: u64 = 20;

/// Sizes of the measurement.
#[derive(Clone, Debug)]
pub struct BalancingCostOptions {
    /// Number of hosts.
    pub hosts: usize,
    /// Number of different prefixes that the requests' prompts have.
    pub prefixes: u64,
    /// Number of requests.
    pub requests: u64,
    /// Number of proxies that share the hosts.
    pub coordinators: usize,
}

/// Measures processor time for a request (choice, first event, end) and for an update of the hosts, and memory.
pub fn measure_balancing(options: &BalancingCostOptions) -> PhaseReport {
    let before = own_usage();
    let mut balancer = LoadBalancer::new(settings());
    let start = Duration::from_secs(1);
    balancer.set_services(start, &[service()]);
    balancer.set_proxy_count(start, options.coordinators);
    let hosts: Vec<HostInfo> = (0..options.hosts).map(host).collect();
    for _ in 0..HOST_UPDATES {
        balancer.set_hosts(start, &hosts);
    }
    let with_hosts = own_usage();
    let mut now = start;
    let mut random = 1u64;
    for request in 0..options.requests {
        now += REQUEST_INTERVAL;
        // Knuth's linear congruential generator (MMIX).
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let prefix = (random >> 33) % options.prefixes.max(1);
        serve(&mut balancer, now, prefix, request);
    }
    let after = own_usage();
    let memory_kb = after.rss_kb.saturating_sub(before.rss_kb);
    PhaseReport {
        phase: "policy".into(),
        figures: vec![
            ("hosts", options.hosts as f64),
            ("prefixes", options.prefixes as f64),
            ("requests", options.requests as f64),
            ("roster_us", cpu_us_each(before, with_hosts, HOST_UPDATES)),
            (
                "request_us",
                cpu_us_each(with_hosts, after, options.requests),
            ),
            ("memory_mb", memory_kb as f64 / 1024.0),
        ],
    }
}

/// Sends one request, which is answered at once.
fn serve(balancer: &mut LoadBalancer, now: Duration, prefix: u64, request: u64) {
    let parts = [
        PromptPart {
            id: prefix,
            tokens: 6000,
        },
        PromptPart {
            id: (1 << 40) | request,
            tokens: 1500,
        },
    ];
    balancer.on_request(now, SERVICE);
    let context = RequestContext {
        service: SERVICE,
        tenant_rank: None,
        rank: 0,
        idempotent: true,
        prompt_parts: &parts,
        prompt_tokens: 7500,
        time_remaining: Duration::from_secs(8),
        target_remaining: None,
        attempted_hosts: &[],
    };
    let HostChoice::Selected { attempt, .. } = balancer.choose_host(now, &context) else {
        return;
    };
    balancer.on_first_byte(now + FIRST_EVENT, attempt);
    let load = HostLoad {
        running: 40,
        waiting: 0,
        slots: 128,
    };
    balancer.on_attempt_ended(now + END, attempt, Outcome::Succeeded, Some(load));
}

fn settings() -> LoadBalancerSettings {
    LoadBalancerSettings {
        zone: "z0".into(),
        retry_ratio: 0.2,
        retry_window: Duration::from_secs(10),
        retry_slack: 54.0,
        random_seed: 1,
    }
}

fn service() -> ServiceInfo {
    ServiceInfo {
        name: SERVICE.into(),
        connection_limit: 620,
        cache_capacity_tokens: Some(754_363.0),
    }
}

fn host(n: usize) -> HostInfo {
    let ip = Ipv4Addr::new(
        10,
        (n / 62_500) as u8,
        (n / 250 % 250) as u8,
        (n % 250) as u8,
    );
    HostInfo {
        id: format!("i-{n:08x}").into(),
        service: SERVICE.into(),
        addr: SocketAddrV4::new(ip, 8080),
        zone: format!("z{}", n % 10).into(),
        capacity: 128,
        draining: false,
        heartbeat_expired: false,
        slow_start_remaining: Duration::ZERO,
    }
}

fn own_usage() -> ResourceUsage {
    resource_usage::process(std::process::id()).unwrap_or_default()
}

/// Processor time between two samples in microseconds, for each of a number of calls.
fn cpu_us_each(before: ResourceUsage, after: ResourceUsage, calls: u64) -> f64 {
    after.cpu.saturating_sub(before.cpu).as_secs_f64() * 1e6 / calls.max(1) as f64
}
