//! Shared by the tests: a policy with hosts, asks, and choices.
#![allow(dead_code)]

use balancing::{Ask, Attempt, Choice, HostInfo, Policy, ServiceInfo, Settings};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn settings() -> Settings {
    Settings {
        zone: "a".into(),
        retry_ratio: 0.2,
        retry_window: ms(10_000),
        retry_slack: 50.0,
        drain: ms(2000),
        beat: ms(1200),
        seed: 1,
    }
}

pub fn host(service: &str, n: usize, zones: usize) -> HostInfo {
    HostInfo {
        id: format!("{service}-{n}").into(),
        service: service.into(),
        addr: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, n as u8 + 1), 8000),
        zone: ["a", "b", "c"][n % zones].into(),
        capacity: if service == "model" { 64 } else { 6 },
        draining: false,
        silent: false,
        cold_left: Duration::ZERO,
    }
}

pub fn services() -> Vec<ServiceInfo> {
    vec![
        ServiceInfo {
            name: "model".into(),
            conn_limit: 300,
            cache_tokens: Some(500_000.0),
        },
        ServiceInfo {
            name: "plain".into(),
            conn_limit: 100,
            cache_tokens: None,
        },
    ]
}

/// A policy with `models` model hosts and `plains` plain ones, in three zones.
pub fn policy(models: usize, plains: usize) -> (Policy, Vec<HostInfo>) {
    let mut p = Policy::new(settings());
    p.set_services(ms(0), &services());
    p.set_coordinators(ms(0), 6);
    let mut hosts: Vec<_> = (0..models).map(|n| host("model", n, 3)).collect();
    hosts.extend((0..plains).map(|n| HostInfo {
        addr: SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, n as u8 + 1), 8000),
        ..host("plain", n, 3)
    }));
    p.set_hosts(ms(0), &hosts);
    (p, hosts)
}

pub const PLAIN: Ask = Ask {
    service: "plain",
    rank: 0,
    idempotent: true,
    parts: &[],
    tokens: (0, 0),
    target: Duration::from_millis(100),
    left: Duration::from_millis(1500),
    tried: &[],
};

pub fn prompt(parts: &[(u64, u32)]) -> Ask<'_> {
    Ask {
        service: "model",
        parts,
        tokens: (parts.iter().map(|p| p.1).sum(), 100),
        target: ms(600),
        left: ms(8000),
        ..PLAIN
    }
}

pub fn sent(choice: Choice) -> (Attempt, Arc<str>) {
    match choice {
        Choice::Host { attempt, id, .. } => (attempt, id),
        Choice::None { .. } => panic!("no host"),
    }
}

/// Calls the policy every 100 ms, as its shell does.
pub fn pass(p: &mut Policy, from: u64, to: u64) {
    for t in (from..to).step_by(100) {
        p.tick(ms(t));
    }
    p.tick(ms(to));
}
