//! What lists a host, what takes it off, and which entry wins.

mod common;
use balancing::{HostInfo, HostLoad, LoadBalancer, Outcome, RequestContext};
use common::*;
use rstest::rstest;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

fn load(running: u32, waiting: u32) -> Option<HostLoad> {
    Some(HostLoad {
        running,
        waiting,
        slots: 6,
    })
}

/// Sends to a plain host of one's choice by having tried all others.
fn send_to(p: &mut LoadBalancer, t: u64, n: usize) -> balancing::AttemptId {
    let tried: Vec<Arc<str>> = (0..3)
        .filter(|m| *m != n)
        .map(|m| format!("plain-{m}").into())
        .collect();
    sent(p.choose_host(
        ms(t),
        &RequestContext {
            attempted_hosts: &tried,
            ..PLAIN
        },
    ))
    .0
}

fn served(p: &mut LoadBalancer, t: u64, n: usize, load: Option<HostLoad>) {
    let a = send_to(p, t, n);
    p.on_first_byte(ms(t + 15), a);
    p.on_attempt_ended(ms(t + 15), a, Outcome::Succeeded, load);
}

#[test]
fn a_listed_host_of_the_own_zone_wins_among_equals() {
    let (mut p, _) = policy(0, 3);
    for t in 0..20 {
        let (a, id) = sent(p.choose_host(ms(t * 100), &PLAIN));
        assert_eq!(&*id, "plain-0");
        p.on_attempt_ended(ms(t * 100 + 15), a, Outcome::Succeeded, None);
    }
}

#[test]
fn entries_are_struck_off_and_an_empty_list_means_a_random_host() {
    let (mut p, _) = policy(0, 3);
    // Three entries each: nine requests take them all, three at each host.
    let mut at: BTreeMap<Arc<str>, u32> = BTreeMap::new();
    for _ in 0..9 {
        *at.entry(sent(p.choose_host(ms(1), &PLAIN)).1).or_default() += 1;
    }
    assert_eq!(at.values().copied().collect::<Vec<_>>(), [3, 3, 3]);
    let drawn: HashSet<_> = (0..30)
        .map(|_| sent(p.choose_host(ms(2), &PLAIN)).1)
        .collect();
    assert_eq!(drawn.len(), 3, "each host is drawn now and then");
}

#[test]
fn a_busy_report_takes_a_host_off_the_list_until_it_expires() {
    let (mut p, _) = policy(0, 3);
    served(&mut p, 0, 0, load(5, 2));
    for t in (100..2000).step_by(100) {
        let (a, id) = sent(p.choose_host(ms(t), &PLAIN));
        assert_ne!(&*id, "plain-0", "at {t}");
        p.on_attempt_ended(ms(t + 15), a, Outcome::Succeeded, load(0, 0));
    }
    pass(&mut p, 2000, 2100);
    assert_eq!(
        &*sent(p.choose_host(ms(2100), &PLAIN)).1,
        "plain-0",
        "the report is forgotten"
    );
}

#[test]
fn an_idle_report_lists_a_host_again() {
    let (mut p, _) = policy(0, 3);
    served(&mut p, 0, 0, load(5, 2));
    assert_ne!(&*sent(p.choose_host(ms(20), &PLAIN)).1, "plain-0");
    served(&mut p, 30, 0, load(0, 0));
    assert_eq!(&*sent(p.choose_host(ms(50), &PLAIN)).1, "plain-0");
}

#[test]
fn a_report_in_a_head_counts_while_the_answer_goes_on() {
    let (mut p, _) = policy(0, 3);
    let a = send_to(&mut p, 0, 0);
    p.on_load_report(
        ms(5),
        a,
        HostLoad {
            running: 6,
            waiting: 3,
            slots: 6,
        },
    );
    assert_ne!(&*sent(p.choose_host(ms(6), &PLAIN)).1, "plain-0");
}

#[test]
fn a_host_that_tells_nothing_is_judged_by_own_sends() {
    let (mut p, _) = policy(0, 3);
    let out: Vec<_> = (0..3).map(|_| send_to(&mut p, 0, 0)).collect();
    assert_ne!(
        &*sent(p.choose_host(ms(1), &PLAIN)).1,
        "plain-0",
        "half of its slots are ours"
    );
    for a in out {
        p.on_attempt_ended(ms(15), a, Outcome::Succeeded, None);
    }
    assert_eq!(&*sent(p.choose_host(ms(16), &PLAIN)).1, "plain-0");
}

#[rstest]
#[case(Outcome::Failed)]
#[case(Outcome::Overloaded)]
#[case(Outcome::Rejected)]
#[case(Outcome::ConnectFailed)]
#[case(Outcome::ConnectionLost)]
#[case(Outcome::TimedOut)]
#[case(Outcome::Misdirected)]
fn an_error_takes_a_host_off_the_list(#[case] outcome: Outcome) {
    let (mut p, _) = policy(0, 3);
    let a = send_to(&mut p, 0, 0);
    p.on_attempt_ended(ms(10), a, outcome, None);
    for _ in 0..5 {
        assert_ne!(&*sent(p.choose_host(ms(11), &PLAIN)).1, "plain-0");
    }
}

fn changed(change: impl Fn(&mut HostInfo)) -> (LoadBalancer, Vec<HostInfo>) {
    let (mut p, mut hosts) = policy(0, 3);
    sent(p.choose_host(ms(0), &PLAIN));
    change(&mut hosts[0]);
    p.set_hosts(ms(10), &hosts);
    (p, hosts)
}

#[test]
fn a_draining_host_gets_nothing() {
    let (mut p, _) = changed(|h| h.draining = true);
    assert!((0..50).all(|_| &*sent(p.choose_host(ms(20), &PLAIN)).1 != "plain-0"));
}

#[test]
fn a_host_whose_heartbeats_stopped_is_avoided_while_others_are_there() {
    let (mut p, mut hosts) = changed(|h| h.heartbeat_expired = true);
    assert!((0..50).all(|_| &*sent(p.choose_host(ms(20), &PLAIN)).1 != "plain-0"));
    hosts.iter_mut().for_each(|h| h.heartbeat_expired = true);
    p.set_hosts(ms(30), &hosts);
    sent(p.choose_host(ms(40), &PLAIN));
}

#[test]
fn an_address_passed_on_takes_its_former_host_out() {
    let (mut p, mut hosts) = policy(0, 3);
    sent(p.choose_host(ms(0), &PLAIN));
    let addr = hosts[0].addr;
    hosts.push(HostInfo {
        addr,
        ..host("other", 9, 3)
    });
    p.set_hosts(ms(10), &hosts);
    assert!((0..50).all(|_| &*sent(p.choose_host(ms(20), &PLAIN)).1 != "plain-0"));
}

#[test]
fn a_host_that_answered_421_is_dropped_until_the_roster_says_otherwise() {
    let (mut p, mut hosts) = policy(0, 3);
    let a = send_to(&mut p, 0, 0);
    p.on_attempt_ended(ms(5), a, Outcome::Misdirected, None);
    p.set_hosts(ms(3000), &hosts);
    assert!(
        (0..50).all(|_| &*sent(p.choose_host(ms(3000), &PLAIN)).1 != "plain-0"),
        "the same record says nothing"
    );
    hosts[0].addr.set_port(9000);
    p.set_hosts(ms(3010), &hosts);
    pass(&mut p, 3010, 6010);
    let drawn: HashSet<_> = (0..30)
        .map(|_| sent(p.choose_host(ms(6010), &PLAIN)).1)
        .collect();
    assert!(drawn.iter().any(|id| &**id == "plain-0"));
}

#[test]
fn entries_older_than_a_stall_are_dropped() {
    // A busy report and the entries of the others, all from before.
    let before = || {
        let (mut p, _) = policy(0, 3);
        served(&mut p, 0, 0, load(6, 3));
        served(&mut p, 0, 1, load(0, 0));
        p
    };
    let mut p = before();
    pass(&mut p, 15, 415);
    assert_ne!(
        &*sent(p.choose_host(ms(416), &PLAIN)).1,
        "plain-0",
        "no stall: the report counts"
    );
    let mut p = before();
    p.tick(ms(415));
    assert_eq!(
        &*sent(p.choose_host(ms(416), &PLAIN)).1,
        "plain-0",
        "judged by own sends alone"
    );
}

#[test]
fn a_new_host_is_used_at_once_but_one_request_at_a_time() {
    let (mut p, mut hosts) = policy(0, 3);
    sent(p.choose_host(ms(0), &PLAIN));
    hosts.iter_mut().for_each(|h| h.draining = true);
    hosts.push(host("plain", 3, 3));
    hosts.push(host("plain", 6, 3));
    p.set_hosts(ms(10), &hosts);
    let two: HashSet<_> = (0..2)
        .map(|_| sent(p.choose_host(ms(11), &PLAIN)).1)
        .collect();
    assert_eq!(two.len(), 2);
}

#[test]
fn a_service_without_hosts_says_when_to_come_back() {
    let (mut p, _) = policy(1, 0);
    let balancing::HostChoice::Unavailable { retry_after } = p.choose_host(ms(0), &PLAIN) else {
        panic!("a host of nowhere")
    };
    assert!(retry_after >= ms(100) && retry_after <= ms(1000));
}

#[test]
fn when_all_are_full_the_client_comes_back_soon() {
    let (mut p, _) = policy(0, 3);
    for n in 0..3 {
        let a = send_to(&mut p, 0, n);
        p.on_attempt_ended(ms(2), a, Outcome::Overloaded, None);
    }
    let balancing::HostChoice::Unavailable { retry_after } = p.choose_host(ms(3), &PLAIN) else {
        panic!("all are full")
    };
    assert!(
        retry_after >= ms(100) && retry_after <= ms(300),
        "{retry_after:?}"
    );
}
