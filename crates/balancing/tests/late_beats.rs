//! Hosts whose heartbeats are late: those that answer stay in use, and a few in time aren't given all.

mod common;
use balancing::{HostInfo, LoadBalancer, Outcome};
use common::*;
use std::collections::HashMap;
use std::sync::Arc;

/// Requests every 20 ms from a time on, each answered after 10 ms; how many each host got.
fn play(p: &mut LoadBalancer, from: u64, to: u64) -> HashMap<Arc<str>, usize> {
    let mut got = HashMap::new();
    for t in (from..to).step_by(20) {
        let (attempt, id) = sent(p.choose_host(ms(t), &PLAIN));
        p.on_attempt_ended(ms(t + 10), attempt, Outcome::Succeeded, None);
        *got.entry(id).or_default() += 1;
    }
    got
}

/// A policy with hosts that are all in its own zone.
fn near(count: usize) -> (LoadBalancer, Vec<HostInfo>) {
    let (mut p, mut hosts) = policy(0, count);
    hosts.iter_mut().for_each(|h| h.zone = "a".into());
    p.set_hosts(ms(0), &hosts);
    (p, hosts)
}

fn silence(p: &mut LoadBalancer, t: u64, hosts: &mut [HostInfo], silent: impl Fn(usize) -> bool) {
    for (n, host) in hosts.iter_mut().enumerate() {
        host.heartbeat_expired = silent(n);
    }
    p.set_hosts(ms(t), hosts);
}

#[test]
fn a_host_that_answers_is_used_while_its_heartbeats_are_late() {
    let (mut p, mut hosts) = near(3);
    assert_eq!(play(&mut p, 0, 2000).len(), 3);
    silence(&mut p, 2000, &mut hosts, |n| n == 0);
    let got = play(&mut p, 2000, 4000);
    assert!(got.get("plain-0").is_some_and(|n| *n >= 10), "{got:?}");
}

#[test]
fn one_that_has_said_nothing_for_a_second_is_left_out() {
    let (mut p, mut hosts) = near(3);
    play(&mut p, 0, 2000);
    pass(&mut p, 2000, 3500);
    silence(&mut p, 3500, &mut hosts, |n| n == 0);
    let got = play(&mut p, 3500, 5500);
    assert_eq!(got.get("plain-0"), None, "{got:?}");
}

#[test]
fn with_most_heartbeats_late_at_once_the_others_are_not_given_all() {
    let (mut p, mut hosts) = near(9);
    silence(&mut p, 100, &mut hosts, |n| n > 0);
    let mut got: HashMap<Arc<str>, usize> = HashMap::new();
    for n in 0..36 {
        *got.entry(sent(p.choose_host(ms(200 + n), &PLAIN)).1)
            .or_default() += 1;
    }
    assert!(got.get("plain-0").is_some_and(|n| *n <= 18), "{got:?}");
    assert!(got.len() >= 6, "{got:?}");
}
