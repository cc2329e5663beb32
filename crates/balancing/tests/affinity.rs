//! Affinity of prompts to hosts: all proxies agree, a busy or failed host is left, prompts return to it.

mod common;
use balancing::{HostChoice, LoadBalancer, LoadBalancerSettings, Outcome};
use common::*;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

fn affinity_hosts(balancer: &mut LoadBalancer, t: u64, subjects: u64) -> BTreeMap<u64, Arc<str>> {
    (0..subjects)
        .map(|s| {
            let (a, id) = selected(balancer.choose_host(
                ms(t),
                &model_request(&[part(s, 13_000), part(1_000_000 + t * 1000 + s, 500)]),
            ));
            balancer.on_attempt_ended(ms(t), a, Outcome::Cancelled, None);
            (s, id)
        })
        .collect()
}

#[test]
fn affinity_hosts_when_several_proxies_choose_then_equal_and_spread() {
    let (mut one, hosts) = balancer_with(9, 0);
    let mut other = LoadBalancer::new(LoadBalancerSettings {
        random_seed: 99,
        zone: "c".into(),
        ..settings()
    });
    other.set_services(ms(0), &services());
    let mut reversed = hosts.clone();
    reversed.reverse();
    other.set_hosts(ms(0), &reversed);
    let (a, b) = (
        affinity_hosts(&mut one, 1, 121),
        affinity_hosts(&mut other, 1, 121),
    );
    assert_eq!(a, b);
    let mut count: BTreeMap<_, u32> = BTreeMap::new();
    a.values()
        .for_each(|h| *count.entry(h.clone()).or_default() += 1);
    assert_eq!(count.len(), 9);
    assert!(count.values().all(|n| *n < 30), "{count:?}");
}

#[test]
fn prompts_when_their_affinity_host_fails_then_spread_and_return() {
    let (mut balancer, _) = balancer_with(9, 0);
    let before = affinity_hosts(&mut balancer, 1, 121);
    let dead = before[&0].clone();
    let (a, id) =
        selected(balancer.choose_host(ms(10), &model_request(&[part(0, 13_000), part(77, 500)])));
    assert_eq!(id, dead);
    balancer.on_attempt_ended(ms(11), a, Outcome::ConnectFailed, None);
    let during = affinity_hosts(&mut balancer, 20, 121);
    let moved: BTreeSet<_> = before
        .iter()
        .filter(|(s, h)| during[s] != **h)
        .map(|(s, _)| *s)
        .collect();
    assert!(
        moved.iter().all(|s| before[s] == dead),
        "only its own prompts move"
    );
    assert!(during.values().all(|h| *h != dead));
    let heirs: BTreeSet<_> = moved.iter().map(|s| during[s].clone()).collect();
    assert!(heirs.len() >= 4, "to several others: {heirs:?}");
    // The probe finds it healthy.
    tick_until(&mut balancer, 20, 700);
    let (a, id) =
        selected(balancer.choose_host(ms(700), &model_request(&[part(5, 100), part(78, 100)])));
    assert_eq!(id, dead);
    balancer.on_first_byte(ms(750), a);
    balancer.on_attempt_ended(ms(800), a, Outcome::Succeeded, None);
    tick_until(&mut balancer, 800, 5000);
    assert_eq!(affinity_hosts(&mut balancer, 5000, 121), before);
}

#[test]
fn prompts_when_their_affinity_host_has_a_backlog_then_go_elsewhere() {
    let (mut balancer, _) = balancer_with(9, 0);
    let mut at: BTreeMap<Arc<str>, u32> = BTreeMap::new();
    for n in 0..24 {
        // Little is shared and much is own: the affinity host has no great advantage.
        let (_, id) = selected(
            balancer.choose_host(ms(1), &model_request(&[part(7, 300), part(100 + n, 4_000)])),
        );
        *at.entry(id).or_default() += 1;
    }
    assert!(at.len() >= 4, "{at:?}");
    assert!(at.values().all(|n| *n <= 8), "{at:?}");
}

#[test]
fn prompts_when_their_affinity_host_is_idle_then_stay_there() {
    let (mut balancer, _) = balancer_with(9, 0);
    let mut at = BTreeSet::new();
    for n in 0..50 {
        let t = 1 + n * 100;
        let (a, id) = selected(balancer.choose_host(
            ms(t),
            &model_request(&[part(7, 13_000), part(100 + n, 500)]),
        ));
        balancer.on_first_byte(ms(t + 40), a);
        balancer.on_attempt_ended(ms(t + 80), a, Outcome::Succeeded, None);
        at.insert(id);
    }
    assert_eq!(at.len(), 1);
}

#[test]
fn short_prompt_when_its_host_prefills_a_long_one_then_goes_elsewhere() {
    let (mut balancer, _) = balancer_with(3, 0);
    let short = [part(3, 300), part(4, 500)];
    let (a, affinity_host) = selected(balancer.choose_host(ms(1), &model_request(&short)));
    balancer.on_first_byte(ms(30), a);
    balancer.on_attempt_ended(ms(40), a, Outcome::Succeeded, None);
    // A long prompt with the same affinity host.
    let (s, _) = affinity_hosts(&mut balancer, 41, 50)
        .into_iter()
        .find(|(_, h)| *h == affinity_host)
        .expect("homes are spread");
    selected(balancer.choose_host(
        ms(50),
        &model_request(&[part(s, 13_000), part(9000, 20_000)]),
    ));
    assert_ne!(
        selected(balancer.choose_host(ms(51), &model_request(&short))).1,
        affinity_host
    );
}

#[test]
fn host_when_an_answer_is_overdue_then_avoided_before_ejection() {
    let (mut balancer, _) = balancer_with(9, 0);
    let parts = |n| [part(7, 2_000), part(n, 500)];
    let (_, affinity_host) = selected(balancer.choose_host(ms(1), &model_request(&parts(100))));
    tick_until(&mut balancer, 1, 450);
    assert_ne!(
        selected(balancer.choose_host(ms(450), &model_request(&parts(101)))).1,
        affinity_host
    );
}

#[test]
fn host_when_a_stream_pauses_then_avoided() {
    let (mut balancer, _) = balancer_with(9, 0);
    let parts = |n| [part(7, 2_000), part(n, 500)];
    let (a, affinity_host) = selected(balancer.choose_host(ms(1), &model_request(&parts(100))));
    balancer.on_first_byte(ms(40), a);
    balancer.on_progress(ms(60), a);
    tick_until(&mut balancer, 60, 200);
    assert_eq!(
        selected(balancer.choose_host(ms(200), &model_request(&parts(101)))).1,
        affinity_host
    );
    balancer.on_progress(ms(210), a);
    balancer.on_first_byte(ms(230), a);
    tick_until(&mut balancer, 230, 900);
    assert_ne!(
        selected(balancer.choose_host(ms(900), &model_request(&parts(102)))).1,
        affinity_host
    );
}

#[rstest]
#[case(0, 2)]
#[case(1, 4)]
#[case(2, 6)]
#[case(9, 9)]
fn priority_when_rank_is_more_urgent_then_lower(#[case] rank: u32, #[case] expected: u8) {
    let (mut balancer, _) = balancer_with(3, 0);
    let parts = [part(1, 10), part(2, 10)];
    let request = balancing::RequestContext {
        rank,
        ..model_request(&parts)
    };
    let HostChoice::Selected { priority, .. } = balancer.choose_host(ms(1), &request) else {
        panic!("no host")
    };
    assert_eq!(priority, Some(expected));
}
