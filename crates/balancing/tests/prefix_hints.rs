//! Hints between proxies: what others sent counts as if sent from here, and is passed on.

mod common;
use balancing::{HostInfo, LoadBalancer, Outcome, PrefixHint, PromptPart};
use common::*;
use rstest::rstest;
use std::sync::Arc;

/// Past the time for which affinity hosts are assumed to have their prefixes cached.
const LATER: u64 = 40_000;

/// Nine model hosts and complete hints from the start on.
fn balancer_with_hints() -> LoadBalancer {
    let (mut balancer, _) = balancer_with(9, 0);
    balancer.set_hints_complete(ms(0), true);
    balancer
}

/// The affinity host of a subject's prompts.
fn affinity_host(subject: u64) -> Arc<str> {
    selected(balancer_with(9, 0).0.choose_host(
        ms(1),
        &model_request(&[part(subject, 13_000), part(1, 500)]),
    ))
    .1
}

/// A host that isn't the subject's affinity host.
fn other_host(subject: u64) -> Arc<str> {
    let affinity_host = affinity_host(subject);
    (0..9)
        .map(|n| Arc::from(format!("model-{n}")))
        .find(|h| *h != affinity_host)
        .unwrap()
}

fn shared_part_ids(balancer: &LoadBalancer) -> Vec<u64> {
    balancer
        .cached_prefixes()
        .iter()
        .flat_map(|k| k.prefix.iter().map(|p| p.id))
        .collect()
}

#[rstest]
fn prompt_when_hinted_at_a_host_then_goes_there(#[values(3, 7, 11)] subject: u64) {
    let mut balancer = balancer_with_hints();
    let at = other_host(subject);
    balancer.on_prefix_hint(ms(LATER), &at, &[part(subject, 13_000)], 0);
    let (_, id) = selected(balancer.choose_host(
        ms(LATER),
        &model_request(&[part(subject, 13_000), part(2, 500)]),
    ));
    assert_eq!(id, at);
    assert_eq!(
        balancer.take_prefix_hint().map(|p| p.uncached_tokens),
        Some(500),
        "it reads the request's own part alone"
    );
}

#[rstest]
#[case(&[40_000], 0, false)]
#[case(&[40_000], 450, false)]
#[case(&[40_000], 520, true)]
#[case(&[20_000], 260, true)]
#[case(&[20_000, 20_000], 260, false)]
#[case(&[20_000, 20_000], 520, true)]
fn host_when_hints_tell_of_prefill_then_counts_as_busy(
    #[case] hints: &[u32],
    #[case] after: u64,
    #[case] free: bool,
) {
    let mut balancer = balancer_with_hints();
    let at = affinity_host(7);
    hints
        .iter()
        .for_each(|unread| balancer.on_prefix_hint(ms(LATER), &at, &[], *unread));
    let (_, id) = selected(balancer.choose_host(
        ms(LATER + after),
        &model_request(&[part(7, 300), part(2, 200)]),
    ));
    assert_eq!(id == at, free);
}

/// A datagram may say anything. The prefill of 500,000 tokens takes 6.25 s, as assumed at first.
#[rstest]
#[case(6_200, false)]
#[case(6_300, true)]
fn hint_when_of_too_many_tokens_then_capped_at_the_cache(#[case] after: u64, #[case] free: bool) {
    let mut balancer = balancer_with_hints();
    balancer.on_prefix_hint(ms(LATER), &affinity_host(7), &[], u32::MAX);
    let (_, id) = selected(balancer.choose_host(
        ms(LATER + after),
        &model_request(&[part(7, 300), part(2, 200)]),
    ));
    assert_eq!(id == affinity_host(7), free);
}

/// The prefill of the shared parts takes 162 ms, as assumed at first; half of that is the affinity host's discount.
#[rstest]
#[case(0, true)]
#[case(6_000, true)]
#[case(8_000, false)]
fn new_prompt_when_no_host_is_far_better_then_goes_to_its_affinity_host(
    #[case] waiting: u32,
    #[case] goes: bool,
) {
    let mut balancer = balancer_with_hints();
    balancer.on_prefix_hint(ms(LATER), &affinity_host(7), &[], waiting);
    let (_, id) =
        selected(balancer.choose_host(ms(LATER), &model_request(&[part(7, 13_000), part(2, 500)])));
    assert_eq!(id == affinity_host(7), goes);
}

/// Tokens that a new prompt's affinity host has to prefill: without the shared parts where these are assumed to be cached.
#[rstest]
#[case::restarted(false, true, 1_500, 500)]
#[case::still(false, true, 29_900, 500)]
#[case::no_longer(false, true, 30_100, 13_500)]
#[case::first_start(true, true, 1_500, 13_500)]
#[case::not_heard_yet(true, true, 900, 500)]
#[case::not_all_tell(true, false, LATER, 500)]
fn affinity_host_when_caches_are_not_all_known_then_assumed_to_have_the_prefix(
    #[case] first_start: bool,
    #[case] all_tell: bool,
    #[case] at: u64,
    #[case] uncached_tokens: u32,
) {
    let (mut balancer, _) = balancer_with(9, 0);
    if first_start {
        balancer.set_first_start();
    }
    balancer.set_hints_complete(ms(0), all_tell);
    let (_, id) =
        selected(balancer.choose_host(ms(at), &model_request(&[part(7, 13_000), part(2, 500)])));
    let expected = PrefixHint {
        host_id: id.clone(),
        prefix: vec![part(7, 13_000)],
        uncached_tokens,
    };
    assert_eq!(
        (id, balancer.take_prefix_hint()),
        (affinity_host(7), Some(expected))
    );
}

#[test]
fn prompt_when_hinted_after_a_restart_then_hint_wins_over_affinity() {
    let mut balancer = balancer_with_hints();
    balancer.on_prefix_hint(ms(1500), &other_host(7), &[part(7, 13_000)], 0);
    assert_eq!(
        selected(balancer.choose_host(ms(1500), &model_request(&[part(7, 13_000), part(2, 500)])))
            .1,
        other_host(7)
    );
}

#[test]
fn affinity_host_when_hints_become_incomplete_then_assumed_to_have_the_prefix() {
    let mut balancer = balancer_with_hints();
    let unread = |balancer: &mut LoadBalancer, t: u64, subject: u64| {
        selected(balancer.choose_host(
            ms(t),
            &model_request(&[part(subject, 13_000), part(1000 + t, 500)]),
        ));
        balancer.take_prefix_hint().map(|p| p.uncached_tokens)
    };
    assert_eq!(unread(&mut balancer, LATER, 1), Some(13_500));
    balancer.set_hints_complete(ms(LATER), false);
    assert_eq!(unread(&mut balancer, LATER + 5000, 2), Some(500));
    balancer.set_hints_complete(ms(LATER + 5000), true);
    balancer.set_hints_complete(ms(LATER + 5900), true);
    assert_eq!(
        unread(&mut balancer, LATER + 5900, 3),
        Some(500),
        "not before a second of hearing all"
    );
    assert_eq!(unread(&mut balancer, LATER + 6000, 4), Some(13_500));
}

#[test]
fn hint_when_prefix_is_new_or_much_is_uncached_then_given() {
    let (mut balancer, _) = balancer_with(1, 0);
    let mut balancer_with_hints = |t: u64, own: PromptPart| {
        let (a, _) = selected(balancer.choose_host(ms(t), &model_request(&[part(7, 13_000), own])));
        balancer.on_attempt_ended(ms(t), a, Outcome::Succeeded, None);
        (balancer.take_prefix_hint(), balancer.take_prefix_hint())
    };
    let (first, again) = balancer_with_hints(LATER, part(100, 50));
    assert!(
        first.is_some_and(|p| p.prefix == [part(7, 13_000)]),
        "a shared part that is new there"
    );
    assert_eq!(again, None, "once");
    assert_eq!(
        balancer_with_hints(LATER + 1, part(101, 499)),
        (None, None),
        "known, and little to read"
    );
    assert_eq!(
        balancer_with_hints(LATER + 2, part(102, 500))
            .0
            .map(|p| p.uncached_tokens),
        Some(500),
        "known, but much to read"
    );
}

#[test]
fn hinted_parts_when_beyond_the_cache_then_oldest_are_evicted() {
    let (mut balancer, _) = balancer_with(1, 0);
    (0..40).for_each(|n| balancer.on_prefix_hint(ms(1), "model-0", &[part(n, 13_000)], 0));
    assert_eq!(
        shared_part_ids(&balancer),
        (2..40).rev().collect::<Vec<_>>()
    );
    // A part that is used again stays.
    balancer.on_prefix_hint(ms(2), "model-0", &[part(2, 13_000)], 0);
    balancer.on_prefix_hint(ms(2), "model-0", &[part(99, 13_000)], 0);
    assert_eq!(
        shared_part_ids(&balancer),
        [99, 2].into_iter().chain((4..40).rev()).collect::<Vec<_>>()
    );
}

/// Own prompts fill the whole cache where the other proxies' prompts are known too, and else this proxy's share: six
/// proxies, 500,000 tokens.
#[rstest]
#[case(true, 38)]
#[case(false, 6)]
fn own_parts_when_hints_are_incomplete_then_fill_only_this_proxys_share(
    #[case] all_tell: bool,
    #[case] stay: u64,
) {
    let (mut balancer, _) = balancer_with(1, 0);
    balancer.set_hints_complete(ms(0), all_tell);
    for n in 0..40 {
        let (a, _) = selected(balancer.choose_host(
            ms(LATER),
            &model_request(&[part(n, 13_000), part(1000 + n, 1)]),
        ));
        balancer.on_attempt_ended(ms(LATER), a, Outcome::Succeeded, None);
    }
    assert_eq!(
        shared_part_ids(&balancer),
        (40 - stay..40).rev().collect::<Vec<_>>()
    );
}

#[test]
fn hint_when_longer_than_the_cache_then_ignored() {
    let (mut balancer, _) = balancer_with(1, 0);
    balancer.on_prefix_hint(ms(1), "model-0", &[part(1, 13_000)], 0);
    balancer.on_prefix_hint(
        ms(1),
        "model-0",
        &[part(2, 13_000), part(3, u32::MAX), part(4, u32::MAX)],
        0,
    );
    balancer.on_prefix_hint(ms(1), "model-0", &[part(5, 400_000), part(6, 100_001)], 0);
    assert_eq!(shared_part_ids(&balancer), [1]);
}

#[test]
fn hint_when_host_is_unknown_or_runs_no_model_then_ignored() {
    let (mut balancer, _) = balancer_with(3, 3);
    for host in ["nobody", "", "plain-0"] {
        balancer.on_prefix_hint(ms(1), host, &[part(7, 13_000)], 100_000);
    }
    assert_eq!(balancer.cached_prefixes(), []);
    // The plain host of the own zone is as idle as before.
    assert_eq!(
        &*selected(balancer.choose_host(ms(1), &PLAIN_REQUEST)).1,
        "plain-0"
    );
}

#[test]
fn cached_prefixes_when_host_is_draining_or_gone_then_left_out() {
    let (mut balancer, hosts) = balancer_with(3, 0);
    (0..3).for_each(|n| balancer.on_prefix_hint(ms(1), &format!("model-{n}"), &[part(n, 100)], 0));
    let draining = HostInfo {
        draining: true,
        ..hosts[1].clone()
    };
    balancer.set_hosts(ms(2), &[hosts[0].clone(), draining]);
    let expected = PrefixHint {
        host_id: "model-0".into(),
        prefix: vec![part(0, 100)],
        uncached_tokens: 0,
    };
    assert_eq!(balancer.cached_prefixes(), [expected]);
    // A host that comes back has an empty cache.
    balancer.on_prefix_hint(ms(3), "model-2", &[part(2, 100)], 0);
    balancer.set_hosts(ms(4), &hosts);
    assert_eq!(shared_part_ids(&balancer), [0, 1]);
}

#[test]
fn cached_prefixes_when_listed_then_shared_parts_latest_first() {
    let (mut balancer, _) = balancer_with(1, 0);
    balancer.set_hints_complete(ms(0), true);
    [1, 2, 3, 1]
        .iter()
        .for_each(|n| balancer.on_prefix_hint(ms(LATER), "model-0", &[part(*n, 100)], 0));
    assert_eq!(shared_part_ids(&balancer), [1, 3, 2]);
    selected(balancer.choose_host(
        ms(LATER),
        &model_request(&[part(2, 100), part(8, 100), part(9, 50)]),
    ));
    assert_eq!(shared_part_ids(&balancer), [8, 2, 1, 3]);
}
