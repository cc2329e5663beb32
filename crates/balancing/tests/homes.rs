//! The home order of prompts: agreed without talk, left when the home is busy or out, taken up again.

mod common;
use balancing::{HostChoice, LoadBalancer, LoadBalancerSettings, Outcome};
use common::*;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

fn homes(p: &mut LoadBalancer, t: u64, subjects: u64) -> BTreeMap<u64, Arc<str>> {
    (0..subjects)
        .map(|s| {
            let (a, id) = sent(p.choose_host(
                ms(t),
                &prompt(&[part(s, 13_000), part(1_000_000 + t * 1000 + s, 500)]),
            ));
            p.on_attempt_ended(ms(t), a, Outcome::Cancelled, None);
            (s, id)
        })
        .collect()
}

#[test]
fn proxies_agree_on_homes_and_these_are_spread() {
    let (mut one, hosts) = policy(9, 0);
    let mut other = LoadBalancer::new(LoadBalancerSettings {
        random_seed: 99,
        zone: "c".into(),
        ..settings()
    });
    other.set_services(ms(0), &services());
    let mut reversed = hosts.clone();
    reversed.reverse();
    other.set_hosts(ms(0), &reversed);
    let (a, b) = (homes(&mut one, 1, 121), homes(&mut other, 1, 121));
    assert_eq!(a, b);
    let mut count: BTreeMap<_, u32> = BTreeMap::new();
    a.values()
        .for_each(|h| *count.entry(h.clone()).or_default() += 1);
    assert_eq!(count.len(), 9);
    assert!(count.values().all(|n| *n < 30), "{count:?}");
}

#[test]
fn prompts_of_a_dead_home_spread_and_come_back() {
    let (mut p, _) = policy(9, 0);
    let before = homes(&mut p, 1, 121);
    let dead = before[&0].clone();
    let (a, id) = sent(p.choose_host(ms(10), &prompt(&[part(0, 13_000), part(77, 500)])));
    assert_eq!(id, dead);
    p.on_attempt_ended(ms(11), a, Outcome::ConnectFailed, None);
    let during = homes(&mut p, 20, 121);
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
    // The trial finds it well.
    pass(&mut p, 20, 700);
    let (a, id) = sent(p.choose_host(ms(700), &prompt(&[part(5, 100), part(78, 100)])));
    assert_eq!(id, dead);
    p.on_first_byte(ms(750), a);
    p.on_attempt_ended(ms(800), a, Outcome::Succeeded, None);
    pass(&mut p, 800, 5000);
    assert_eq!(homes(&mut p, 5000, 121), before);
}

#[test]
fn a_home_that_has_much_to_read_is_left() {
    let (mut p, _) = policy(9, 0);
    let mut at: BTreeMap<Arc<str>, u32> = BTreeMap::new();
    for n in 0..24 {
        // Little is shared and much is own: the home has no great advantage.
        let (_, id) = sent(p.choose_host(ms(1), &prompt(&[part(7, 300), part(100 + n, 4_000)])));
        *at.entry(id).or_default() += 1;
    }
    assert!(at.len() >= 4, "{at:?}");
    assert!(at.values().all(|n| *n <= 8), "{at:?}");
}

#[test]
fn a_hot_key_stays_home_while_that_is_idle() {
    let (mut p, _) = policy(9, 0);
    let mut at = BTreeSet::new();
    for n in 0..50 {
        let t = 1 + n * 100;
        let (a, id) = sent(p.choose_host(ms(t), &prompt(&[part(7, 13_000), part(100 + n, 500)])));
        p.on_first_byte(ms(t + 40), a);
        p.on_attempt_ended(ms(t + 80), a, Outcome::Succeeded, None);
        at.insert(id);
    }
    assert_eq!(at.len(), 1);
}

#[test]
fn a_short_prompt_avoids_a_host_that_reads_a_long_one() {
    let (mut p, _) = policy(3, 0);
    let short = [part(3, 300), part(4, 500)];
    let (a, home) = sent(p.choose_host(ms(1), &prompt(&short)));
    p.on_first_byte(ms(30), a);
    p.on_attempt_ended(ms(40), a, Outcome::Succeeded, None);
    // A long prompt whose home is the same host.
    let (s, _) = homes(&mut p, 41, 50)
        .into_iter()
        .find(|(_, h)| *h == home)
        .expect("homes are spread");
    sent(p.choose_host(ms(50), &prompt(&[part(s, 13_000), part(9000, 20_000)])));
    assert_ne!(sent(p.choose_host(ms(51), &prompt(&short))).1, home);
}

#[test]
fn a_host_that_is_late_with_an_answer_is_left_before_it_is_out() {
    let (mut p, _) = policy(9, 0);
    let parts = |n| [part(7, 2_000), part(n, 500)];
    let (_, home) = sent(p.choose_host(ms(1), &prompt(&parts(100))));
    pass(&mut p, 1, 450);
    assert_ne!(sent(p.choose_host(ms(450), &prompt(&parts(101)))).1, home);
}

#[test]
fn a_pause_in_a_stream_shows_a_host_dark() {
    let (mut p, _) = policy(9, 0);
    let parts = |n| [part(7, 2_000), part(n, 500)];
    let (a, home) = sent(p.choose_host(ms(1), &prompt(&parts(100))));
    p.on_first_byte(ms(40), a);
    p.on_progress(ms(60), a);
    pass(&mut p, 60, 200);
    assert_eq!(sent(p.choose_host(ms(200), &prompt(&parts(101)))).1, home);
    p.on_progress(ms(210), a);
    p.on_first_byte(ms(230), a);
    pass(&mut p, 230, 900);
    assert_ne!(sent(p.choose_host(ms(900), &prompt(&parts(102)))).1, home);
}

#[rstest]
#[case(0, 2)]
#[case(1, 4)]
#[case(2, 6)]
#[case(9, 9)]
fn more_urgent_ranks_get_the_lower_priority(#[case] rank: u32, #[case] expected: u8) {
    let (mut p, _) = policy(3, 0);
    let parts = [part(1, 10), part(2, 10)];
    let ask = balancing::RequestContext {
        rank,
        ..prompt(&parts)
    };
    let HostChoice::Selected { priority, .. } = p.choose_host(ms(1), &ask) else {
        panic!("no host")
    };
    assert_eq!(priority, Some(expected));
}
