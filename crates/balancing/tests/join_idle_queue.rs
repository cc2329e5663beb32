//! What adds a host to the idle list, what removes it, and which idle host is chosen.

mod common;
use balancing::{HostInfo, HostLoad, LoadBalancer, Outcome, RequestContext};
use common::*;
use rstest::rstest;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

/// Creates the load report of a host with six slots.
fn load_report(running: u32, waiting: u32) -> Option<HostLoad> {
    Some(HostLoad {
        running,
        waiting,
        slots: 6,
    })
}

/// Sends a request to the plain host with this index, by listing the other two as attempted before.
fn send_to_host(
    balancer: &mut LoadBalancer,
    now_ms: u64,
    host_index: usize,
) -> balancing::AttemptId {
    let attempted: Vec<Arc<str>> = (0..3)
        .filter(|other| *other != host_index)
        .map(|other| format!("plain-{other}").into())
        .collect();
    selected(balancer.choose_host(
        ms(now_ms),
        &RequestContext {
            attempted_hosts: &attempted,
            ..PLAIN_REQUEST
        },
    ))
    .0
}

/// Sends a request to the plain host with this index, which responds with a load report after 15 ms.
fn serve_request(
    balancer: &mut LoadBalancer,
    now_ms: u64,
    host_index: usize,
    load_report: Option<HostLoad>,
) {
    let attempt = send_to_host(balancer, now_ms, host_index);
    balancer.on_first_byte(ms(now_ms + 15), attempt);
    balancer.on_attempt_ended(ms(now_ms + 15), attempt, Outcome::Succeeded, load_report);
}

#[test]
fn choice_when_hosts_are_equal_then_same_zone_wins() {
    let (mut balancer, _) = balancer_with_hosts(0, 3);
    for round in 0..20 {
        let (attempt, id) = selected(balancer.choose_host(ms(round * 100), &PLAIN_REQUEST));
        assert_eq!(&*id, "plain-0");
        balancer.on_attempt_ended(ms(round * 100 + 15), attempt, Outcome::Succeeded, None);
    }
}

#[test]
fn choice_when_no_entries_are_left_then_random() {
    let (mut balancer, _) = balancer_with_hosts(0, 3);
    // Each host has three entries, so nine requests consume all of them, three at each host.
    let mut requests_by_host: BTreeMap<Arc<str>, u32> = BTreeMap::new();
    for _ in 0..9 {
        *requests_by_host
            .entry(selected(balancer.choose_host(ms(1), &PLAIN_REQUEST)).1)
            .or_default() += 1;
    }
    assert_eq!(
        requests_by_host.values().copied().collect::<Vec<_>>(),
        [3, 3, 3]
    );
    let chosen: HashSet<_> = (0..30)
        .map(|_| selected(balancer.choose_host(ms(2), &PLAIN_REQUEST)).1)
        .collect();
    assert_eq!(chosen.len(), 3, "each host is chosen at random");
}

#[test]
fn host_when_it_reports_busy_then_avoided_until_the_report_expires() {
    let (mut balancer, _) = balancer_with_hosts(0, 3);
    serve_request(&mut balancer, 0, 0, load_report(5, 2));
    for now_ms in (100..2000).step_by(100) {
        let (attempt, id) = selected(balancer.choose_host(ms(now_ms), &PLAIN_REQUEST));
        assert_ne!(&*id, "plain-0", "at {now_ms} ms");
        balancer.on_attempt_ended(
            ms(now_ms + 15),
            attempt,
            Outcome::Succeeded,
            load_report(0, 0),
        );
    }
    tick_until(&mut balancer, 2000, 2100);
    assert_eq!(
        &*selected(balancer.choose_host(ms(2100), &PLAIN_REQUEST)).1,
        "plain-0",
        "the report has expired"
    );
}

#[test]
fn host_when_it_reports_idle_then_listed_again() {
    let (mut balancer, _) = balancer_with_hosts(0, 3);
    serve_request(&mut balancer, 0, 0, load_report(5, 2));
    assert_ne!(
        &*selected(balancer.choose_host(ms(20), &PLAIN_REQUEST)).1,
        "plain-0"
    );
    serve_request(&mut balancer, 30, 0, load_report(0, 0));
    assert_eq!(
        &*selected(balancer.choose_host(ms(50), &PLAIN_REQUEST)).1,
        "plain-0"
    );
}

#[test]
fn load_report_when_in_a_response_head_then_counts_at_once() {
    let (mut balancer, _) = balancer_with_hosts(0, 3);
    let attempt = send_to_host(&mut balancer, 0, 0);
    balancer.on_load_report(
        ms(5),
        attempt,
        HostLoad {
            running: 6,
            waiting: 3,
            slots: 6,
        },
    );
    assert_ne!(
        &*selected(balancer.choose_host(ms(6), &PLAIN_REQUEST)).1,
        "plain-0"
    );
}

#[test]
fn host_when_it_reports_no_load_then_own_attempts_decide_whether_it_is_idle() {
    let (mut balancer, _) = balancer_with_hosts(0, 3);
    let attempts: Vec<_> = (0..3).map(|_| send_to_host(&mut balancer, 0, 0)).collect();
    assert_ne!(
        &*selected(balancer.choose_host(ms(1), &PLAIN_REQUEST)).1,
        "plain-0",
        "half of its slots are used by this proxy"
    );
    for attempt in attempts {
        balancer.on_attempt_ended(ms(15), attempt, Outcome::Succeeded, None);
    }
    assert_eq!(
        &*selected(balancer.choose_host(ms(16), &PLAIN_REQUEST)).1,
        "plain-0"
    );
}

#[rstest]
#[case(Outcome::Failed)]
#[case(Outcome::Overloaded)]
#[case(Outcome::Refused)]
#[case(Outcome::ConnectFailed)]
#[case(Outcome::ConnectionLost)]
#[case(Outcome::TimedOut)]
#[case(Outcome::Misdirected)]
fn host_when_an_attempt_fails_then_not_idle(#[case] outcome: Outcome) {
    let (mut balancer, _) = balancer_with_hosts(0, 3);
    let attempt = send_to_host(&mut balancer, 0, 0);
    balancer.on_attempt_ended(ms(10), attempt, outcome, None);
    for _ in 0..5 {
        assert_ne!(
            &*selected(balancer.choose_host(ms(11), &PLAIN_REQUEST)).1,
            "plain-0"
        );
    }
}

/// Creates a load balancer with three plain hosts and applies a change to the first one, which is in the proxy's zone.
fn balancer_after_change(change: impl Fn(&mut HostInfo)) -> (LoadBalancer, Vec<HostInfo>) {
    let (mut balancer, mut hosts) = balancer_with_hosts(0, 3);
    selected(balancer.choose_host(ms(0), &PLAIN_REQUEST));
    change(&mut hosts[0]);
    balancer.set_hosts(ms(10), &hosts);
    (balancer, hosts)
}

#[test]
fn host_when_draining_then_gets_no_requests() {
    let (mut balancer, _) = balancer_after_change(|host| host.draining = true);
    assert!(
        (0..50).all(|_| &*selected(balancer.choose_host(ms(20), &PLAIN_REQUEST)).1 != "plain-0")
    );
}

#[test]
fn host_when_heartbeats_expire_then_avoided_while_there_are_others() {
    let (mut balancer, mut hosts) = balancer_after_change(|host| host.heartbeat_expired = true);
    assert!(
        (0..50).all(|_| &*selected(balancer.choose_host(ms(20), &PLAIN_REQUEST)).1 != "plain-0")
    );
    hosts
        .iter_mut()
        .for_each(|host| host.heartbeat_expired = true);
    balancer.set_hosts(ms(30), &hosts);
    selected(balancer.choose_host(ms(40), &PLAIN_REQUEST));
}

#[test]
fn host_when_another_host_has_its_address_then_not_used() {
    let (mut balancer, mut hosts) = balancer_with_hosts(0, 3);
    selected(balancer.choose_host(ms(0), &PLAIN_REQUEST));
    let addr = hosts[0].addr;
    hosts.push(HostInfo {
        addr,
        ..host("other", 9, 3)
    });
    balancer.set_hosts(ms(10), &hosts);
    assert!(
        (0..50).all(|_| &*selected(balancer.choose_host(ms(20), &PLAIN_REQUEST)).1 != "plain-0")
    );
}

#[test]
fn host_when_it_responded_with_421_then_not_used_until_its_record_changes() {
    let (mut balancer, mut hosts) = balancer_with_hosts(0, 3);
    let attempt = send_to_host(&mut balancer, 0, 0);
    balancer.on_attempt_ended(ms(5), attempt, Outcome::Misdirected, None);
    balancer.set_hosts(ms(3000), &hosts);
    assert!(
        (0..50).all(|_| &*selected(balancer.choose_host(ms(3000), &PLAIN_REQUEST)).1 != "plain-0"),
        "an unchanged record doesn't make the host usable again"
    );
    hosts[0].addr.set_port(9000);
    balancer.set_hosts(ms(3010), &hosts);
    tick_until(&mut balancer, 3010, 6010);
    let chosen: HashSet<_> = (0..30)
        .map(|_| selected(balancer.choose_host(ms(6010), &PLAIN_REQUEST)).1)
        .collect();
    assert!(chosen.iter().any(|id| &**id == "plain-0"));
}

#[test]
fn entries_and_load_reports_when_process_stalled_then_dropped() {
    // Records a busy report and the entries of the other hosts, all before the stall.
    let balancer_with_reports = || {
        let (mut balancer, _) = balancer_with_hosts(0, 3);
        serve_request(&mut balancer, 0, 0, load_report(6, 3));
        serve_request(&mut balancer, 0, 1, load_report(0, 0));
        balancer
    };
    let mut balancer = balancer_with_reports();
    tick_until(&mut balancer, 15, 415);
    assert_ne!(
        &*selected(balancer.choose_host(ms(416), &PLAIN_REQUEST)).1,
        "plain-0",
        "without a stall, the report counts"
    );
    let mut balancer = balancer_with_reports();
    balancer.tick(ms(415));
    assert_eq!(
        &*selected(balancer.choose_host(ms(416), &PLAIN_REQUEST)).1,
        "plain-0",
        "after a stall, only this proxy's own attempts count"
    );
}

#[test]
fn hosts_when_they_join_then_get_one_request_at_a_time() {
    let (mut balancer, mut hosts) = balancer_with_hosts(0, 3);
    selected(balancer.choose_host(ms(0), &PLAIN_REQUEST));
    hosts.iter_mut().for_each(|host| host.draining = true);
    hosts.push(host("plain", 3, 3));
    hosts.push(host("plain", 6, 3));
    balancer.set_hosts(ms(10), &hosts);
    let chosen: HashSet<_> = (0..2)
        .map(|_| selected(balancer.choose_host(ms(11), &PLAIN_REQUEST)).1)
        .collect();
    assert_eq!(chosen.len(), 2);
}

#[test]
fn choice_when_service_has_no_hosts_then_unavailable_with_retry_after() {
    let (mut balancer, _) = balancer_with_hosts(1, 0);
    let balancing::HostChoice::Unavailable { retry_after } =
        balancer.choose_host(ms(0), &PLAIN_REQUEST)
    else {
        panic!("a host was selected although the service has none")
    };
    assert!(retry_after >= ms(100) && retry_after <= ms(1000));
}

#[test]
fn choice_when_all_hosts_are_full_then_unavailable_with_short_retry_after() {
    let (mut balancer, _) = balancer_with_hosts(0, 3);
    for n in 0..3 {
        let attempt = send_to_host(&mut balancer, 0, n);
        balancer.on_attempt_ended(ms(2), attempt, Outcome::Overloaded, None);
    }
    let balancing::HostChoice::Unavailable { retry_after } =
        balancer.choose_host(ms(3), &PLAIN_REQUEST)
    else {
        panic!("a host was selected although all are full")
    };
    assert!(
        retry_after >= ms(100) && retry_after <= ms(300),
        "{retry_after:?}"
    );
}
