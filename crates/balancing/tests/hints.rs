//! Hints between proxies: what others sent is known, weighs as if sent from here, and is handed on.

mod common;
use balancing::{HostInfo, LoadBalancer, Outcome, PrefixHint, PromptPart};
use common::*;
use rstest::rstest;
use std::sync::Arc;

/// Past the time for which homes are assumed after a restart.
const LATER: u64 = 40_000;

/// Nine model hosts, of a fleet whose proxies tell each other from the start on.
fn told() -> LoadBalancer {
    let (mut p, _) = policy(9, 0);
    p.set_hints_complete(ms(0), true);
    p
}

/// Where a subject's prompts go as long as nobody knows of any.
fn home(subject: u64) -> Arc<str> {
    sent(
        policy(9, 0)
            .0
            .choose_host(ms(1), &prompt(&[part(subject, 13_000), part(1, 500)])),
    )
    .1
}

/// A host that isn't the subject's home.
fn elsewhere(subject: u64) -> Arc<str> {
    let home = home(subject);
    (0..9)
        .map(|n| Arc::from(format!("model-{n}")))
        .find(|h| *h != home)
        .unwrap()
}

fn shared(p: &LoadBalancer) -> Vec<u64> {
    p.cached_prefixes()
        .iter()
        .flat_map(|k| k.prefix.iter().map(|p| p.id))
        .collect()
}

#[rstest]
fn a_prompt_goes_where_another_proxy_sent_its_like(#[values(3, 7, 11)] subject: u64) {
    let mut p = told();
    let at = elsewhere(subject);
    p.on_prefix_hint(ms(LATER), &at, &[part(subject, 13_000)], 0);
    let (_, id) = sent(p.choose_host(ms(LATER), &prompt(&[part(subject, 13_000), part(2, 500)])));
    assert_eq!(id, at);
    assert_eq!(
        p.take_prefix_hint().map(|p| p.uncached_tokens),
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
fn what_others_sent_has_to_be_read_first(
    #[case] hints: &[u32],
    #[case] after: u64,
    #[case] free: bool,
) {
    let mut p = told();
    let at = home(7);
    hints
        .iter()
        .for_each(|unread| p.on_prefix_hint(ms(LATER), &at, &[], *unread));
    let (_, id) = sent(p.choose_host(ms(LATER + after), &prompt(&[part(7, 300), part(2, 200)])));
    assert_eq!(id == at, free);
}

/// A datagram may say anything: reading 500,000 tokens takes 6.25 s, as assumed at first.
#[rstest]
#[case(6_200, false)]
#[case(6_300, true)]
fn no_hint_takes_a_host_away_for_longer_than_reading_its_whole_memory(
    #[case] after: u64,
    #[case] free: bool,
) {
    let mut p = told();
    p.on_prefix_hint(ms(LATER), &home(7), &[], u32::MAX);
    let (_, id) = sent(p.choose_host(ms(LATER + after), &prompt(&[part(7, 300), part(2, 200)])));
    assert_eq!(id == home(7), free);
}

/// The shared parts take 162 ms to read, as assumed at first: half of that speaks for the home.
#[rstest]
#[case(0, true)]
#[case(6_000, true)]
#[case(8_000, false)]
fn a_new_prompt_goes_home_unless_others_are_far_better(#[case] waiting: u32, #[case] goes: bool) {
    let mut p = told();
    p.on_prefix_hint(ms(LATER), &home(7), &[], waiting);
    let (_, id) = sent(p.choose_host(ms(LATER), &prompt(&[part(7, 13_000), part(2, 500)])));
    assert_eq!(id == home(7), goes);
}

/// What a new prompt's home has to read by our reckoning: where it is assumed to keep the shared parts, the rest.
#[rstest]
#[case::restarted(false, true, 1_500, 500)]
#[case::still(false, true, 29_900, 500)]
#[case::no_longer(false, true, 30_100, 13_500)]
#[case::first_start(true, true, 1_500, 13_500)]
#[case::not_heard_yet(true, true, 900, 500)]
#[case::not_all_tell(true, false, LATER, 500)]
fn homes_are_assumed_to_keep_their_prompts(
    #[case] first_start: bool,
    #[case] all_tell: bool,
    #[case] at: u64,
    #[case] uncached_tokens: u32,
) {
    let (mut p, _) = policy(9, 0);
    if first_start {
        p.set_first_start();
    }
    p.set_hints_complete(ms(0), all_tell);
    let (_, id) = sent(p.choose_host(ms(at), &prompt(&[part(7, 13_000), part(2, 500)])));
    let expected = PrefixHint {
        host_id: id.clone(),
        prefix: vec![part(7, 13_000)],
        uncached_tokens,
    };
    assert_eq!((id, p.take_prefix_hint()), (home(7), Some(expected)));
}

#[test]
fn after_a_restart_what_is_told_goes_before_what_is_assumed() {
    let mut p = told();
    p.on_prefix_hint(ms(1500), &elsewhere(7), &[part(7, 13_000)], 0);
    assert_eq!(
        sent(p.choose_host(ms(1500), &prompt(&[part(7, 13_000), part(2, 500)]))).1,
        elsewhere(7)
    );
}

#[test]
fn once_not_all_tell_any_more_homes_are_assumed_again() {
    let mut p = told();
    let unread = |p: &mut LoadBalancer, t: u64, subject: u64| {
        sent(p.choose_host(
            ms(t),
            &prompt(&[part(subject, 13_000), part(1000 + t, 500)]),
        ));
        p.take_prefix_hint().map(|p| p.uncached_tokens)
    };
    assert_eq!(unread(&mut p, LATER, 1), Some(13_500));
    p.set_hints_complete(ms(LATER), false);
    assert_eq!(unread(&mut p, LATER + 5000, 2), Some(500));
    p.set_hints_complete(ms(LATER + 5000), true);
    p.set_hints_complete(ms(LATER + 5900), true);
    assert_eq!(
        unread(&mut p, LATER + 5900, 3),
        Some(500),
        "not before a second of hearing all"
    );
    assert_eq!(unread(&mut p, LATER + 6000, 4), Some(13_500));
}

#[test]
fn what_is_told_is_worth_telling() {
    let (mut p, _) = policy(1, 0);
    let mut told = |t: u64, own: PromptPart| {
        let (a, _) = sent(p.choose_host(ms(t), &prompt(&[part(7, 13_000), own])));
        p.on_attempt_ended(ms(t), a, Outcome::Succeeded, None);
        (p.take_prefix_hint(), p.take_prefix_hint())
    };
    let (first, again) = told(LATER, part(100, 50));
    assert!(
        first.is_some_and(|p| p.prefix == [part(7, 13_000)]),
        "a shared part that is new there"
    );
    assert_eq!(again, None, "once");
    assert_eq!(
        told(LATER + 1, part(101, 499)),
        (None, None),
        "known, and little to read"
    );
    assert_eq!(
        told(LATER + 2, part(102, 500)).0.map(|p| p.uncached_tokens),
        Some(500),
        "known, but much to read"
    );
}

#[test]
fn what_is_heard_beyond_a_hosts_memory_is_forgotten_oldest_first() {
    let (mut p, _) = policy(1, 0);
    (0..40).for_each(|n| p.on_prefix_hint(ms(1), "model-0", &[part(n, 13_000)], 0));
    assert_eq!(shared(&p), (2..40).rev().collect::<Vec<_>>());
    // One that is used again stays.
    p.on_prefix_hint(ms(2), "model-0", &[part(2, 13_000)], 0);
    p.on_prefix_hint(ms(2), "model-0", &[part(99, 13_000)], 0);
    assert_eq!(
        shared(&p),
        [99, 2].into_iter().chain((4..40).rev()).collect::<Vec<_>>()
    );
}

/// Own sends fill a host's whole memory where the others' are known too, and else a proxy's share of it: six
/// proxies, 500,000 tokens.
#[rstest]
#[case(true, 38)]
#[case(false, 6)]
fn own_sends_fill_the_memory_that_is_theirs(#[case] all_tell: bool, #[case] stay: u64) {
    let (mut p, _) = policy(1, 0);
    p.set_hints_complete(ms(0), all_tell);
    for n in 0..40 {
        let (a, _) = sent(p.choose_host(ms(LATER), &prompt(&[part(n, 13_000), part(1000 + n, 1)])));
        p.on_attempt_ended(ms(LATER), a, Outcome::Succeeded, None);
    }
    assert_eq!(shared(&p), (40 - stay..40).rev().collect::<Vec<_>>());
}

#[test]
fn a_hint_of_more_than_a_host_keeps_is_passed_over() {
    let (mut p, _) = policy(1, 0);
    p.on_prefix_hint(ms(1), "model-0", &[part(1, 13_000)], 0);
    p.on_prefix_hint(
        ms(1),
        "model-0",
        &[part(2, 13_000), part(3, u32::MAX), part(4, u32::MAX)],
        0,
    );
    p.on_prefix_hint(ms(1), "model-0", &[part(5, 400_000), part(6, 100_001)], 0);
    assert_eq!(shared(&p), [1]);
}

#[test]
fn hosts_that_are_unknown_or_run_no_model_are_passed_over() {
    let (mut p, _) = policy(3, 3);
    for host in ["nobody", "", "plain-0"] {
        p.on_prefix_hint(ms(1), host, &[part(7, 13_000)], 100_000);
    }
    assert_eq!(p.cached_prefixes(), []);
    // The plain host of the own zone is as idle as before.
    assert_eq!(&*sent(p.choose_host(ms(1), &PLAIN)).1, "plain-0");
}

#[test]
fn only_hosts_that_take_requests_are_handed_on() {
    let (mut p, hosts) = policy(3, 0);
    (0..3).for_each(|n| p.on_prefix_hint(ms(1), &format!("model-{n}"), &[part(n, 100)], 0));
    let draining = HostInfo {
        draining: true,
        ..hosts[1].clone()
    };
    p.set_hosts(ms(2), &[hosts[0].clone(), draining]);
    let expected = PrefixHint {
        host_id: "model-0".into(),
        prefix: vec![part(0, 100)],
        uncached_tokens: 0,
    };
    assert_eq!(p.cached_prefixes(), [expected]);
    // A host that is gone takes nothing with it into its next life.
    p.on_prefix_hint(ms(3), "model-2", &[part(2, 100)], 0);
    p.set_hosts(ms(4), &hosts);
    assert_eq!(shared(&p), [0, 1]);
}

#[test]
fn shared_parts_are_listed_the_latest_first_and_own_parts_never() {
    let (mut p, _) = policy(1, 0);
    p.set_hints_complete(ms(0), true);
    [1, 2, 3, 1]
        .iter()
        .for_each(|n| p.on_prefix_hint(ms(LATER), "model-0", &[part(*n, 100)], 0));
    assert_eq!(shared(&p), [1, 3, 2]);
    sent(p.choose_host(
        ms(LATER),
        &prompt(&[part(2, 100), part(8, 100), part(9, 50)]),
    ));
    assert_eq!(shared(&p), [8, 2, 1, 3]);
}
