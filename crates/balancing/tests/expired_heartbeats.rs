//! Hosts whose heartbeats have stopped: those that answer stay in use, and the few others don't get all requests.

mod common;
use balancing::{HostInfo, LoadBalancer, Outcome};
use common::*;
use std::collections::HashMap;
use std::sync::Arc;

/// Sends a request every 20 ms, each answered after 10 ms. Returns the number of requests by host.
fn serve_requests(balancer: &mut LoadBalancer, from: u64, to: u64) -> HashMap<Arc<str>, usize> {
    let mut requests_by_host = HashMap::new();
    for t in (from..to).step_by(20) {
        let (attempt, id) = selected(balancer.choose_host(ms(t), &PLAIN_REQUEST));
        balancer.on_attempt_ended(ms(t + 10), attempt, Outcome::Succeeded, None);
        *requests_by_host.entry(id).or_default() += 1;
    }
    requests_by_host
}

/// A load balancer with hosts that are all in its own zone.
fn same_zone_balancer(count: usize) -> (LoadBalancer, Vec<HostInfo>) {
    let (mut balancer, mut hosts) = balancer_with(0, count);
    hosts.iter_mut().for_each(|h| h.zone = "a".into());
    balancer.set_hosts(ms(0), &hosts);
    (balancer, hosts)
}

fn expire_heartbeats(
    balancer: &mut LoadBalancer,
    t: u64,
    hosts: &mut [HostInfo],
    silent: impl Fn(usize) -> bool,
) {
    for (n, host) in hosts.iter_mut().enumerate() {
        host.heartbeat_expired = silent(n);
    }
    balancer.set_hosts(ms(t), hosts);
}

#[test]
fn host_when_it_answers_then_used_despite_late_heartbeats() {
    let (mut balancer, mut hosts) = same_zone_balancer(3);
    assert_eq!(serve_requests(&mut balancer, 0, 2000).len(), 3);
    expire_heartbeats(&mut balancer, 2000, &mut hosts, |n| n == 0);
    let requests_by_host = serve_requests(&mut balancer, 2000, 4000);
    assert!(
        requests_by_host.get("plain-0").is_some_and(|n| *n >= 10),
        "{requests_by_host:?}"
    );
}

#[test]
fn host_when_silent_for_a_second_and_heartbeats_stop_then_left_out() {
    let (mut balancer, mut hosts) = same_zone_balancer(3);
    serve_requests(&mut balancer, 0, 2000);
    tick_until(&mut balancer, 2000, 3500);
    expire_heartbeats(&mut balancer, 3500, &mut hosts, |n| n == 0);
    let requests_by_host = serve_requests(&mut balancer, 3500, 5500);
    assert_eq!(
        requests_by_host.get("plain-0"),
        None,
        "{requests_by_host:?}"
    );
}

#[test]
fn hosts_when_most_heartbeats_are_late_then_all_share_the_load() {
    let (mut balancer, mut hosts) = same_zone_balancer(9);
    expire_heartbeats(&mut balancer, 100, &mut hosts, |n| n > 0);
    let mut requests_by_host: HashMap<Arc<str>, usize> = HashMap::new();
    for n in 0..36 {
        *requests_by_host
            .entry(selected(balancer.choose_host(ms(200 + n), &PLAIN_REQUEST)).1)
            .or_default() += 1;
    }
    assert!(
        requests_by_host.get("plain-0").is_some_and(|n| *n <= 18),
        "{requests_by_host:?}"
    );
    assert!(requests_by_host.len() >= 6, "{requests_by_host:?}");
}
