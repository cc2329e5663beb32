//! Affinity of prompts to hosts: all proxies choose the same host, prompts move away from a busy or failed host, and
//! they return once it has recovered.

mod common;
use balancing::{HostChoice, LoadBalancer, LoadBalancerSettings, Outcome};
use common::*;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Returns the host that is chosen for a prompt of each subject. The attempts are cancelled at once.
fn affinity_hosts(
    balancer: &mut LoadBalancer,
    now_ms: u64,
    subjects: u64,
) -> BTreeMap<u64, Arc<str>> {
    (0..subjects)
        .map(|subject| {
            let (attempt, id) = selected(balancer.choose_host(
                ms(now_ms),
                &model_request(&[
                    part(subject, 13_000),
                    part(1_000_000 + now_ms * 1000 + subject, 500),
                ]),
            ));
            balancer.on_attempt_ended(ms(now_ms), attempt, Outcome::Cancelled, None);
            (subject, id)
        })
        .collect()
}

#[test]
fn affinity_hosts_when_two_proxies_choose_then_equal_and_spread() {
    let (mut first, hosts) = balancer_with_hosts(9, 0);
    let mut other = LoadBalancer::new(LoadBalancerSettings {
        random_seed: 99,
        zone: "c".into(),
        ..settings()
    });
    other.set_services(ms(0), &services());
    let mut reversed = hosts.clone();
    reversed.reverse();
    other.set_hosts(ms(0), &reversed);
    let (first_hosts, other_hosts) = (
        affinity_hosts(&mut first, 1, 121),
        affinity_hosts(&mut other, 1, 121),
    );
    assert_eq!(first_hosts, other_hosts);
    let mut subjects_by_host: BTreeMap<_, u32> = BTreeMap::new();
    first_hosts
        .values()
        .for_each(|host| *subjects_by_host.entry(host.clone()).or_default() += 1);
    assert_eq!(subjects_by_host.len(), 9);
    assert!(
        subjects_by_host.values().all(|count| *count < 30),
        "{subjects_by_host:?}"
    );
}

#[test]
fn prompts_when_their_affinity_host_fails_then_spread_and_return_after_recovery() {
    let (mut balancer, _) = balancer_with_hosts(9, 0);
    let before = affinity_hosts(&mut balancer, 1, 121);
    let failed_host = before[&0].clone();
    let (attempt, id) =
        selected(balancer.choose_host(ms(10), &model_request(&[part(0, 13_000), part(77, 500)])));
    assert_eq!(id, failed_host);
    balancer.on_attempt_ended(ms(11), attempt, Outcome::ConnectFailed, None);
    let during = affinity_hosts(&mut balancer, 20, 121);
    let moved: BTreeSet<_> = before
        .iter()
        .filter(|(subject, host)| during[subject] != **host)
        .map(|(subject, _)| *subject)
        .collect();
    assert!(
        moved.iter().all(|subject| before[subject] == failed_host),
        "only the prompts of the failed host move"
    );
    assert!(during.values().all(|host| *host != failed_host));
    let replacements: BTreeSet<_> = moved
        .iter()
        .map(|subject| during[subject].clone())
        .collect();
    assert!(
        replacements.len() >= 4,
        "the prompts spread over several hosts: {replacements:?}"
    );
    // The probe succeeds, and the host is healthy again.
    tick_until(&mut balancer, 20, 700);
    let (attempt, id) =
        selected(balancer.choose_host(ms(700), &model_request(&[part(5, 100), part(78, 100)])));
    assert_eq!(id, failed_host);
    balancer.on_first_byte(ms(750), attempt);
    balancer.on_attempt_ended(ms(800), attempt, Outcome::Succeeded, None);
    tick_until(&mut balancer, 800, 5000);
    assert_eq!(affinity_hosts(&mut balancer, 5000, 121), before);
}

#[test]
fn prompts_when_their_affinity_host_has_a_backlog_then_go_elsewhere() {
    let (mut balancer, _) = balancer_with_hosts(9, 0);
    let mut requests_by_host: BTreeMap<Arc<str>, u32> = BTreeMap::new();
    for n in 0..24 {
        // Most of the prompt isn't shared, so the affinity host has only a small advantage.
        let (_, id) = selected(
            balancer.choose_host(ms(1), &model_request(&[part(7, 300), part(100 + n, 4_000)])),
        );
        *requests_by_host.entry(id).or_default() += 1;
    }
    assert!(requests_by_host.len() >= 4, "{requests_by_host:?}");
    assert!(
        requests_by_host.values().all(|count| *count <= 8),
        "{requests_by_host:?}"
    );
}

#[test]
fn prompts_when_their_affinity_host_is_idle_then_stay_there() {
    let (mut balancer, _) = balancer_with_hosts(9, 0);
    let mut chosen_hosts = BTreeSet::new();
    for n in 0..50 {
        let now_ms = 1 + n * 100;
        let (attempt, id) = selected(balancer.choose_host(
            ms(now_ms),
            &model_request(&[part(7, 13_000), part(100 + n, 500)]),
        ));
        balancer.on_first_byte(ms(now_ms + 40), attempt);
        balancer.on_attempt_ended(ms(now_ms + 80), attempt, Outcome::Succeeded, None);
        chosen_hosts.insert(id);
    }
    assert_eq!(chosen_hosts.len(), 1);
}

#[test]
fn short_prompt_when_its_affinity_host_prefills_a_long_one_then_goes_elsewhere() {
    let (mut balancer, _) = balancer_with_hosts(3, 0);
    let short = [part(3, 300), part(4, 500)];
    let (attempt, affinity_host) = selected(balancer.choose_host(ms(1), &model_request(&short)));
    balancer.on_first_byte(ms(30), attempt);
    balancer.on_attempt_ended(ms(40), attempt, Outcome::Succeeded, None);
    // A long prompt with the same affinity host.
    let (subject, _) = affinity_hosts(&mut balancer, 41, 50)
        .into_iter()
        .find(|(_, host)| *host == affinity_host)
        .expect("affinity hosts are spread over all hosts");
    selected(balancer.choose_host(
        ms(50),
        &model_request(&[part(subject, 13_000), part(9000, 20_000)]),
    ));
    assert_ne!(
        selected(balancer.choose_host(ms(51), &model_request(&short))).1,
        affinity_host
    );
}

#[test]
fn host_when_a_response_is_overdue_then_avoided_before_ejection() {
    let (mut balancer, _) = balancer_with_hosts(9, 0);
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
    let (mut balancer, _) = balancer_with_hosts(9, 0);
    let parts = |n| [part(7, 2_000), part(n, 500)];
    let (attempt, affinity_host) =
        selected(balancer.choose_host(ms(1), &model_request(&parts(100))));
    balancer.on_first_byte(ms(40), attempt);
    balancer.on_progress(ms(60), attempt);
    tick_until(&mut balancer, 60, 200);
    assert_eq!(
        selected(balancer.choose_host(ms(200), &model_request(&parts(101)))).1,
        affinity_host
    );
    balancer.on_progress(ms(210), attempt);
    balancer.on_first_byte(ms(230), attempt);
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
    let (mut balancer, _) = balancer_with_hosts(3, 0);
    let parts = [part(1, 10), part(2, 10)];
    let request = balancing::RequestContext {
        rank,
        ..model_request(&parts)
    };
    let HostChoice::Selected { priority, .. } = balancer.choose_host(ms(1), &request) else {
        panic!("no host was selected")
    };
    assert_eq!(priority, Some(expected));
}
