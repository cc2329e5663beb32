//! What the policy costs a proxy for a request and for a change of the roster, by the number of hosts.

use crate::gauge;
use crate::report::Row;
use balancing::{
    HostChoice, HostInfo, HostLoad, LoadBalancer, LoadBalancerSettings, Outcome, PromptPart,
    RequestContext, ServiceInfo,
};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

/// Time between requests of one proxy.
const GAP: Duration = Duration::from_millis(130);

fn host(n: usize) -> HostInfo {
    let ip = Ipv4Addr::new(
        10,
        (n / 62_500) as u8,
        (n / 250 % 250) as u8,
        (n % 250) as u8,
    );
    HostInfo {
        id: format!("i-{n:08x}").into(),
        service: "model".into(),
        addr: SocketAddrV4::new(ip, 8080),
        zone: format!("z{}", n % 10).into(),
        capacity: 128,
        draining: false,
        heartbeat_expired: false,
        slow_start_remaining: Duration::ZERO,
    }
}

/// Processor time for a request (choice, first event, end) and for taking the roster, and memory, of a policy
/// with so many hosts, whose requests share so many prefixes.
pub fn policy(hosts: usize, prefixes: u64, requests: u64, coordinators: usize) -> Row {
    let used = || gauge::process(std::process::id()).unwrap_or_default();
    let start = used();
    let mut policy = LoadBalancer::new(LoadBalancerSettings {
        zone: "z0".into(),
        retry_ratio: 0.2,
        retry_window: Duration::from_secs(10),
        retry_slack: 54.0,
        random_seed: 1,
    });
    let mut now = Duration::from_secs(1);
    policy.set_services(
        now,
        &[ServiceInfo {
            name: "model".into(),
            connection_limit: 620,
            cache_capacity_tokens: Some(754_363.0),
        }],
    );
    policy.set_proxy_count(now, coordinators);
    let all: Vec<HostInfo> = (0..hosts).map(host).collect();
    let rosters = 20;
    for _ in 0..rosters {
        policy.set_hosts(now, &all);
    }
    let told = used();
    let mut draw = 1u64;
    let none: [Arc<str>; 0] = [];
    for request in 0..requests {
        now += GAP;
        draw = draw
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let prefix = (draw >> 33) % prefixes.max(1);
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
        policy.on_request(now, "model");
        let ask = RequestContext {
            service: "model",
            rank: 0,
            idempotent: true,
            prompt_parts: &parts,
            prompt_tokens: 7500,
            time_remaining: Duration::from_secs(8),
            attempted_hosts: &none,
        };
        if let HostChoice::Selected { attempt, .. } = policy.choose_host(now, &ask) {
            policy.on_first_byte(now + Duration::from_millis(50), attempt);
            let load = HostLoad {
                running: 40,
                waiting: 0,
                slots: 128,
            };
            policy.on_attempt_ended(
                now + Duration::from_millis(120),
                attempt,
                Outcome::Succeeded,
                Some(load),
            );
        }
    }
    let end = used();
    let us = |from: Duration, to: Duration, n: u64| {
        to.saturating_sub(from).as_secs_f64() * 1e6 / n.max(1) as f64
    };
    let figures = vec![
        ("hosts", hosts as f64),
        ("prefixes", prefixes as f64),
        ("requests", requests as f64),
        ("roster_us", us(start.cpu, told.cpu, rosters)),
        ("request_us", us(told.cpu, end.cpu, requests)),
        (
            "memory_mb",
            end.rss_kb.saturating_sub(start.rss_kb) as f64 / 1024.0,
        ),
    ];
    Row {
        phase: "policy".into(),
        figures,
    }
}
