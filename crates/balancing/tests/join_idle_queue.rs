//! What puts a host into the idle list, what takes it off, and which idle host is chosen.

mod common;
use balancing::{HostInfo, HostLoad, LoadBalancer, Outcome, RequestContext};
use common::*;
use rstest::rstest;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

fn load_report(running: u32, waiting: u32) -> Option<HostLoad> {
    Some(HostLoad {
        running,
        waiting,
        slots: 6,
    })
}

/// Sends to a given plain host, by naming all others as attempted.
fn send_to(balancer: &mut LoadBalancer, t: u64, n: usize) -> balancing::AttemptId {
    let tried: Vec<Arc<str>> = (0..3)
        .filter(|m| *m != n)
        .map(|m| format!("plain-{m}").into())
        .collect();
    selected(balancer.choose_host(
        ms(t),
        &RequestContext {
            attempted_hosts: &tried,
            ..PLAIN_REQUEST
        },
    ))
    .0
}

fn serve(balancer: &mut LoadBalancer, t: u64, n: usize, load_report: Option<HostLoad>) {
    let a = send_to(balancer, t, n);
    balancer.on_first_byte(ms(t + 15), a);
    balancer.on_attempt_ended(ms(t + 15), a, Outcome::Succeeded, load_report);
}

#[test]
fn choice_when_hosts_are_equal_then_same_zone_wins() {
    let (mut balancer, _) = balancer_with(0, 3);
    for t in 0..20 {
        let (a, id) = selected(balancer.choose_host(ms(t * 100), &PLAIN_REQUEST));
        assert_eq!(&*id, "plain-0");
        balancer.on_attempt_ended(ms(t * 100 + 15), a, Outcome::Succeeded, None);
    }
}

#[test]
fn choice_when_no_entries_are_left_then_random() {
    let (mut balancer, _) = balancer_with(0, 3);
    // Three entries each: nine requests take them all, three at each host.
    let mut at: BTreeMap<Arc<str>, u32> = BTreeMap::new();
    for _ in 0..9 {
        *at.entry(selected(balancer.choose_host(ms(1), &PLAIN_REQUEST)).1)
            .or_default() += 1;
    }
    assert_eq!(at.values().copied().collect::<Vec<_>>(), [3, 3, 3]);
    let drawn: HashSet<_> = (0..30)
        .map(|_| selected(balancer.choose_host(ms(2), &PLAIN_REQUEST)).1)
        .collect();
    assert_eq!(drawn.len(), 3, "each host is drawn now and then");
}

#[test]
fn host_when_it_reports_busy_then_avoided_until_the_report_expires() {
    let (mut balancer, _) = balancer_with(0, 3);
    serve(&mut balancer, 0, 0, load_report(5, 2));
    for t in (100..2000).step_by(100) {
        let (a, id) = selected(balancer.choose_host(ms(t), &PLAIN_REQUEST));
        assert_ne!(&*id, "plain-0", "at {t}");
        balancer.on_attempt_ended(ms(t + 15), a, Outcome::Succeeded, load_report(0, 0));
    }
    tick_until(&mut balancer, 2000, 2100);
    assert_eq!(
        &*selected(balancer.choose_host(ms(2100), &PLAIN_REQUEST)).1,
        "plain-0",
        "the report is forgotten"
    );
}

#[test]
fn host_when_it_reports_idle_then_listed_again() {
    let (mut balancer, _) = balancer_with(0, 3);
    serve(&mut balancer, 0, 0, load_report(5, 2));
    assert_ne!(
        &*selected(balancer.choose_host(ms(20), &PLAIN_REQUEST)).1,
        "plain-0"
    );
    serve(&mut balancer, 30, 0, load_report(0, 0));
    assert_eq!(
        &*selected(balancer.choose_host(ms(50), &PLAIN_REQUEST)).1,
        "plain-0"
    );
}

#[test]
fn load_report_when_in_a_response_head_then_counts_at_once() {
    let (mut balancer, _) = balancer_with(0, 3);
    let a = send_to(&mut balancer, 0, 0);
    balancer.on_load_report(
        ms(5),
        a,
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
fn host_when_it_reports_no_load_then_judged_by_own_attempts() {
    let (mut balancer, _) = balancer_with(0, 3);
    let out: Vec<_> = (0..3).map(|_| send_to(&mut balancer, 0, 0)).collect();
    assert_ne!(
        &*selected(balancer.choose_host(ms(1), &PLAIN_REQUEST)).1,
        "plain-0",
        "half of its slots are ours"
    );
    for a in out {
        balancer.on_attempt_ended(ms(15), a, Outcome::Succeeded, None);
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
    let (mut balancer, _) = balancer_with(0, 3);
    let a = send_to(&mut balancer, 0, 0);
    balancer.on_attempt_ended(ms(10), a, outcome, None);
    for _ in 0..5 {
        assert_ne!(
            &*selected(balancer.choose_host(ms(11), &PLAIN_REQUEST)).1,
            "plain-0"
        );
    }
}

fn balancer_after_change(change: impl Fn(&mut HostInfo)) -> (LoadBalancer, Vec<HostInfo>) {
    let (mut balancer, mut hosts) = balancer_with(0, 3);
    selected(balancer.choose_host(ms(0), &PLAIN_REQUEST));
    change(&mut hosts[0]);
    balancer.set_hosts(ms(10), &hosts);
    (balancer, hosts)
}

#[test]
fn host_when_draining_then_gets_no_requests() {
    let (mut balancer, _) = balancer_after_change(|h| h.draining = true);
    assert!(
        (0..50).all(|_| &*selected(balancer.choose_host(ms(20), &PLAIN_REQUEST)).1 != "plain-0")
    );
}

#[test]
fn host_when_heartbeats_stop_then_avoided_while_there_are_others() {
    let (mut balancer, mut hosts) = balancer_after_change(|h| h.heartbeat_expired = true);
    assert!(
        (0..50).all(|_| &*selected(balancer.choose_host(ms(20), &PLAIN_REQUEST)).1 != "plain-0")
    );
    hosts.iter_mut().for_each(|h| h.heartbeat_expired = true);
    balancer.set_hosts(ms(30), &hosts);
    selected(balancer.choose_host(ms(40), &PLAIN_REQUEST));
}

#[test]
fn host_when_another_has_its_address_then_not_used() {
    let (mut balancer, mut hosts) = balancer_with(0, 3);
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
fn host_when_it_answered_421_then_not_used_until_its_record_changes() {
    let (mut balancer, mut hosts) = balancer_with(0, 3);
    let a = send_to(&mut balancer, 0, 0);
    balancer.on_attempt_ended(ms(5), a, Outcome::Misdirected, None);
    balancer.set_hosts(ms(3000), &hosts);
    assert!(
        (0..50).all(|_| &*selected(balancer.choose_host(ms(3000), &PLAIN_REQUEST)).1 != "plain-0"),
        "the same record says nothing"
    );
    hosts[0].addr.set_port(9000);
    balancer.set_hosts(ms(3010), &hosts);
    tick_until(&mut balancer, 3010, 6010);
    let drawn: HashSet<_> = (0..30)
        .map(|_| selected(balancer.choose_host(ms(6010), &PLAIN_REQUEST)).1)
        .collect();
    assert!(drawn.iter().any(|id| &**id == "plain-0"));
}

#[test]
fn entries_when_process_stalled_then_dropped() {
    // A busy report and the entries of the others, all from before the stall.
    let before = || {
        let (mut balancer, _) = balancer_with(0, 3);
        serve(&mut balancer, 0, 0, load_report(6, 3));
        serve(&mut balancer, 0, 1, load_report(0, 0));
        balancer
    };
    let mut balancer = before();
    tick_until(&mut balancer, 15, 415);
    assert_ne!(
        &*selected(balancer.choose_host(ms(416), &PLAIN_REQUEST)).1,
        "plain-0",
        "no stall: the report counts"
    );
    let mut balancer = before();
    balancer.tick(ms(415));
    assert_eq!(
        &*selected(balancer.choose_host(ms(416), &PLAIN_REQUEST)).1,
        "plain-0",
        "judged by own sends alone"
    );
}

#[test]
fn host_when_it_joins_then_one_request_at_a_time() {
    let (mut balancer, mut hosts) = balancer_with(0, 3);
    selected(balancer.choose_host(ms(0), &PLAIN_REQUEST));
    hosts.iter_mut().for_each(|h| h.draining = true);
    hosts.push(host("plain", 3, 3));
    hosts.push(host("plain", 6, 3));
    balancer.set_hosts(ms(10), &hosts);
    let two: HashSet<_> = (0..2)
        .map(|_| selected(balancer.choose_host(ms(11), &PLAIN_REQUEST)).1)
        .collect();
    assert_eq!(two.len(), 2);
}

#[test]
fn choice_when_service_has_no_hosts_then_says_when_to_retry() {
    let (mut balancer, _) = balancer_with(1, 0);
    let balancing::HostChoice::Unavailable { retry_after } =
        balancer.choose_host(ms(0), &PLAIN_REQUEST)
    else {
        panic!("a host of nowhere")
    };
    assert!(retry_after >= ms(100) && retry_after <= ms(1000));
}

#[test]
fn choice_when_all_hosts_are_full_then_says_to_retry_soon() {
    let (mut balancer, _) = balancer_with(0, 3);
    for n in 0..3 {
        let a = send_to(&mut balancer, 0, n);
        balancer.on_attempt_ended(ms(2), a, Outcome::Overloaded, None);
    }
    let balancing::HostChoice::Unavailable { retry_after } =
        balancer.choose_host(ms(3), &PLAIN_REQUEST)
    else {
        panic!("all are full")
    };
    assert!(
        retry_after >= ms(100) && retry_after <= ms(300),
        "{retry_after:?}"
    );
}
