//! Hosts whose heartbeats have expired: those that respond stay in use. If most heartbeats have expired, the few other
//! hosts don't get all requests.

mod common;
use balancing::{HostInfo, LoadBalancer, Outcome};
use common::*;
use std::collections::HashMap;
use std::sync::Arc;

/// Sends a request every 20 ms, each of which succeeds after 10 ms. Returns the number of requests by host.
fn serve_requests(
    balancer: &mut LoadBalancer,
    from_ms: u64,
    to_ms: u64,
) -> HashMap<Arc<str>, usize> {
    let mut requests_by_host = HashMap::new();
    for now_ms in (from_ms..to_ms).step_by(20) {
        let (attempt, id) = selected(balancer.choose_host(ms(now_ms), &PLAIN_REQUEST));
        balancer.on_attempt_ended(ms(now_ms + 10), attempt, Outcome::Succeeded, None);
        *requests_by_host.entry(id).or_default() += 1;
    }
    requests_by_host
}

/// Creates a load balancer whose hosts are all in its own zone.
fn same_zone_balancer(count: usize) -> (LoadBalancer, Vec<HostInfo>) {
    let (mut balancer, mut hosts) = balancer_with_hosts(0, count);
    hosts.iter_mut().for_each(|host| host.zone = "a".into());
    balancer.set_hosts(ms(0), &hosts);
    (balancer, hosts)
}

/// Publishes a host list in which the heartbeats of the hosts with these indices have expired.
fn expire_heartbeats(
    balancer: &mut LoadBalancer,
    now_ms: u64,
    hosts: &mut [HostInfo],
    is_expired: impl Fn(usize) -> bool,
) {
    for (n, host) in hosts.iter_mut().enumerate() {
        host.heartbeat_expired = is_expired(n);
    }
    balancer.set_hosts(ms(now_ms), hosts);
}

#[test]
fn host_when_it_responds_then_used_despite_expired_heartbeats() {
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
fn host_when_silent_for_a_second_and_heartbeats_expire_then_not_used() {
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
fn hosts_when_most_heartbeats_have_expired_then_most_hosts_share_the_load() {
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
