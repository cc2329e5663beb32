//! Prefix hints between proxies: prompts that other proxies sent count like own prompts, and own prompts produce hints.

mod common;
use balancing::{HostInfo, LoadBalancer, Outcome, PrefixHint, PromptPart};
use common::*;
use rstest::rstest;
use std::sync::Arc;

/// A time in ms after the period in which affinity hosts are assumed to have their prefixes cached.
const SETTLED_MS: u64 = 40_000;

/// Creates a load balancer with nine model hosts and complete hints from the start.
fn balancer_with_hints() -> LoadBalancer {
    let (mut balancer, _) = balancer_with_hosts(9, 0);
    balancer.set_hints_complete(ms(0), true);
    balancer
}

/// Returns the affinity host of a subject's prompts.
fn affinity_host(subject: u64) -> Arc<str> {
    selected(balancer_with_hosts(9, 0).0.choose_host(
        ms(1),
        &model_request(&[part(subject, 13_000), part(1, 500)]),
    ))
    .1
}

/// Returns a host that isn't the subject's affinity host.
fn other_host(subject: u64) -> Arc<str> {
    let affinity_host = affinity_host(subject);
    (0..9)
        .map(|n| Arc::from(format!("model-{n}")))
        .find(|host| *host != affinity_host)
        .unwrap()
}

/// Returns the ids of the shared parts that are known to be cached, host by host.
fn shared_part_ids(balancer: &LoadBalancer) -> Vec<u64> {
    balancer
        .cached_prefixes()
        .iter()
        .flat_map(|cached| cached.prefix.iter().map(|part| part.id))
        .collect()
}

#[rstest]
fn prompt_when_hinted_at_a_host_then_goes_there(#[values(3, 7, 11)] subject: u64) {
    let mut balancer = balancer_with_hints();
    let hinted_host = other_host(subject);
    balancer.on_prefix_hint(ms(SETTLED_MS), &hinted_host, &[part(subject, 13_000)], 0);
    let (_, id) = selected(balancer.choose_host(
        ms(SETTLED_MS),
        &model_request(&[part(subject, 13_000), part(2, 500)]),
    ));
    assert_eq!(id, hinted_host);
    assert_eq!(
        balancer.take_prefix_hint().map(|hint| hint.uncached_tokens),
        Some(500),
        "only the request's own part is uncached"
    );
}

#[rstest]
#[case(&[40_000], 0, false)]
#[case(&[40_000], 450, false)]
#[case(&[40_000], 520, true)]
#[case(&[20_000], 260, true)]
#[case(&[20_000, 20_000], 260, false)]
#[case(&[20_000, 20_000], 520, true)]
fn host_when_hints_report_prefill_then_counts_as_busy(
    #[case] hinted_tokens: &[u32],
    #[case] after_ms: u64,
    #[case] chosen: bool,
) {
    let mut balancer = balancer_with_hints();
    let hinted_host = affinity_host(7);
    hinted_tokens
        .iter()
        .for_each(|tokens| balancer.on_prefix_hint(ms(SETTLED_MS), &hinted_host, &[], *tokens));
    let (_, id) = selected(balancer.choose_host(
        ms(SETTLED_MS + after_ms),
        &model_request(&[part(7, 300), part(2, 200)]),
    ));
    assert_eq!(id == hinted_host, chosen);
}

/// A datagram may contain any number of tokens. The prefill of the cache's 500,000 tokens takes 6.25 s at the speed
/// that is assumed at first.
#[rstest]
#[case(6_200, false)]
#[case(6_300, true)]
fn hint_when_of_too_many_tokens_then_limited_to_the_cache_capacity(
    #[case] after_ms: u64,
    #[case] chosen: bool,
) {
    let mut balancer = balancer_with_hints();
    balancer.on_prefix_hint(ms(SETTLED_MS), &affinity_host(7), &[], u32::MAX);
    let (_, id) = selected(balancer.choose_host(
        ms(SETTLED_MS + after_ms),
        &model_request(&[part(7, 300), part(2, 200)]),
    ));
    assert_eq!(id == affinity_host(7), chosen);
}

/// The prefill of the shared parts takes 162 ms at the speed that is assumed at first; half of that is the affinity
/// host's discount.
#[rstest]
#[case(0, true)]
#[case(6_000, true)]
#[case(8_000, false)]
fn new_prompt_when_no_host_is_much_cheaper_then_goes_to_its_affinity_host(
    #[case] queued_tokens: u32,
    #[case] chosen: bool,
) {
    let mut balancer = balancer_with_hints();
    balancer.on_prefix_hint(ms(SETTLED_MS), &affinity_host(7), &[], queued_tokens);
    let (_, id) = selected(balancer.choose_host(
        ms(SETTLED_MS),
        &model_request(&[part(7, 13_000), part(2, 500)]),
    ));
    assert_eq!(id == affinity_host(7), chosen);
}

/// Checks the number of tokens that a new prompt's affinity host has to prefill. They exclude the shared parts if those
/// are assumed to be cached.
#[rstest]
#[case::after_restart(false, true, 1_500, 500)]
#[case::end_of_assumed_period(false, true, 29_900, 500)]
#[case::after_assumed_period(false, true, 30_100, 13_500)]
#[case::first_start(true, true, 1_500, 13_500)]
#[case::hints_not_settled_yet(true, true, 900, 500)]
#[case::hints_incomplete(true, false, SETTLED_MS, 500)]
fn affinity_host_when_caches_are_not_all_known_then_assumed_to_have_the_prefix(
    #[case] first_start: bool,
    #[case] hints_complete: bool,
    #[case] now_ms: u64,
    #[case] uncached_tokens: u32,
) {
    let (mut balancer, _) = balancer_with_hosts(9, 0);
    if first_start {
        balancer.set_first_start();
    }
    balancer.set_hints_complete(ms(0), hints_complete);
    let (_, id) = selected(
        balancer.choose_host(ms(now_ms), &model_request(&[part(7, 13_000), part(2, 500)])),
    );
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
fn prompt_when_hinted_after_a_restart_then_hint_takes_precedence_over_affinity() {
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
    let uncached_tokens = |balancer: &mut LoadBalancer, now_ms: u64, subject: u64| {
        selected(balancer.choose_host(
            ms(now_ms),
            &model_request(&[part(subject, 13_000), part(1000 + now_ms, 500)]),
        ));
        balancer.take_prefix_hint().map(|hint| hint.uncached_tokens)
    };
    assert_eq!(uncached_tokens(&mut balancer, SETTLED_MS, 1), Some(13_500));
    balancer.set_hints_complete(ms(SETTLED_MS), false);
    assert_eq!(
        uncached_tokens(&mut balancer, SETTLED_MS + 5000, 2),
        Some(500)
    );
    balancer.set_hints_complete(ms(SETTLED_MS + 5000), true);
    balancer.set_hints_complete(ms(SETTLED_MS + 5900), true);
    assert_eq!(
        uncached_tokens(&mut balancer, SETTLED_MS + 5900, 3),
        Some(500),
        "hints count as complete only after one second"
    );
    assert_eq!(
        uncached_tokens(&mut balancer, SETTLED_MS + 6000, 4),
        Some(13_500)
    );
}

#[test]
fn hint_when_prefix_is_new_or_many_tokens_are_uncached_then_produced() {
    let (mut balancer, _) = balancer_with_hosts(1, 0);
    let mut hints_for_prompt = |now_ms: u64, own: PromptPart| {
        let (attempt, _) =
            selected(balancer.choose_host(ms(now_ms), &model_request(&[part(7, 13_000), own])));
        balancer.on_attempt_ended(ms(now_ms), attempt, Outcome::Succeeded, None);
        (balancer.take_prefix_hint(), balancer.take_prefix_hint())
    };
    let (first, second) = hints_for_prompt(SETTLED_MS, part(100, 50));
    assert!(
        first.is_some_and(|hint| hint.prefix == [part(7, 13_000)]),
        "the shared part is new in the host's cache"
    );
    assert_eq!(second, None, "a hint is taken only once");
    assert_eq!(
        hints_for_prompt(SETTLED_MS + 1, part(101, 499)),
        (None, None),
        "the prefix is known, and few tokens are uncached"
    );
    assert_eq!(
        hints_for_prompt(SETTLED_MS + 2, part(102, 500))
            .0
            .map(|hint| hint.uncached_tokens),
        Some(500),
        "the prefix is known, but many tokens are uncached"
    );
}

#[test]
fn hinted_parts_when_beyond_the_cache_then_oldest_are_evicted() {
    let (mut balancer, _) = balancer_with_hosts(1, 0);
    (0..40).for_each(|n| balancer.on_prefix_hint(ms(1), "model-0", &[part(n, 13_000)], 0));
    assert_eq!(
        shared_part_ids(&balancer),
        (2..40).rev().collect::<Vec<_>>()
    );
    // A part that is used again is not evicted.
    balancer.on_prefix_hint(ms(2), "model-0", &[part(2, 13_000)], 0);
    balancer.on_prefix_hint(ms(2), "model-0", &[part(99, 13_000)], 0);
    assert_eq!(
        shared_part_ids(&balancer),
        [99, 2].into_iter().chain((4..40).rev()).collect::<Vec<_>>()
    );
}

/// Own prompts fill the whole cache if the other proxies' prompts are known too, otherwise only this proxy's share: a
/// sixth of 500,000 tokens, as there are six proxies.
#[rstest]
#[case(true, 38)]
#[case(false, 6)]
fn own_parts_when_hints_are_incomplete_then_fill_only_this_proxys_share(
    #[case] hints_complete: bool,
    #[case] cached_parts: u64,
) {
    let (mut balancer, _) = balancer_with_hosts(1, 0);
    balancer.set_hints_complete(ms(0), hints_complete);
    for n in 0..40 {
        let (attempt, _) = selected(balancer.choose_host(
            ms(SETTLED_MS),
            &model_request(&[part(n, 13_000), part(1000 + n, 1)]),
        ));
        balancer.on_attempt_ended(ms(SETTLED_MS), attempt, Outcome::Succeeded, None);
    }
    assert_eq!(
        shared_part_ids(&balancer),
        (40 - cached_parts..40).rev().collect::<Vec<_>>()
    );
}

#[test]
fn hint_when_longer_than_the_cache_then_ignored() {
    let (mut balancer, _) = balancer_with_hosts(1, 0);
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
    let (mut balancer, _) = balancer_with_hosts(3, 3);
    for host in ["nobody", "", "plain-0"] {
        balancer.on_prefix_hint(ms(1), host, &[part(7, 13_000)], 100_000);
    }
    assert_eq!(balancer.cached_prefixes(), []);
    // The plain host in the proxy's own zone is as idle as before.
    assert_eq!(
        &*selected(balancer.choose_host(ms(1), &PLAIN_REQUEST)).1,
        "plain-0"
    );
}

#[test]
fn cached_prefixes_when_host_is_draining_or_gone_then_omitted() {
    let (mut balancer, hosts) = balancer_with_hosts(3, 0);
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
    // A host that is listed again has an empty cache.
    balancer.on_prefix_hint(ms(3), "model-2", &[part(2, 100)], 0);
    balancer.set_hosts(ms(4), &hosts);
    assert_eq!(shared_part_ids(&balancer), [0, 1]);
}

#[test]
fn cached_prefixes_when_listed_then_most_recently_used_parts_first() {
    let (mut balancer, _) = balancer_with_hosts(1, 0);
    balancer.set_hints_complete(ms(0), true);
    [1, 2, 3, 1]
        .iter()
        .for_each(|n| balancer.on_prefix_hint(ms(SETTLED_MS), "model-0", &[part(*n, 100)], 0));
    assert_eq!(shared_part_ids(&balancer), [1, 3, 2]);
    selected(balancer.choose_host(
        ms(SETTLED_MS),
        &model_request(&[part(2, 100), part(8, 100), part(9, 50)]),
    ));
    assert_eq!(shared_part_ids(&balancer), [8, 2, 1, 3]);
}
