//! Retries, hedged requests, their budget, and the rules on repeating parts.

use crate::harness::*;
use coordinator::*;

#[test]
fn a_non_idempotent_part_is_not_sent_again_once_it_may_have_run() {
    let mut router_settings = settings();
    router_settings.classes[0].idempotency = Idempotency::NotIdempotent;
    for (outcome, is_retried) in [
        (Outcome::Error, false),
        (Outcome::Rejected, true),
        (Outcome::ConnectFailed, true),
    ] {
        let mut harness = Harness::new(router_settings.clone());
        let (id, parts, _) = harness.submit_query(0, &[(0, 1.0)]);
        harness.now += 20;
        let actions = harness.end_attempt(parts[0], 0, outcome, 0.0);
        assert_eq!(!sends(&actions).is_empty(), is_retried, "{outcome:?}");
        harness.run_until(2990);
        assert_eq!(final_actions(&harness.actions, id), 1);
        assert!(
            harness
                .actions
                .iter()
                .any(|a| matches!(a, Action::Fail { .. })),
            "may have run, so it is not rejected"
        );
        assert_eq!(
            sends(&harness.actions).len(),
            1 + usize::from(is_retried),
            "never two in flight at once"
        );
    }
}

#[test]
fn a_keyed_part_is_not_sent_again_past_its_window() {
    let mut router_settings = settings();
    router_settings.classes[0].idempotency = Idempotency::Keyed(ms(400));
    router_settings.classes[0].latency_target = ms(2500);
    let mut harness = Harness::new(router_settings.clone());
    let (_, parts, _) = harness.submit_query(0, &[(0, 1.0)]);
    harness.now = 300;
    assert_eq!(
        sends(&harness.end_attempt(parts[0], 0, Outcome::Error, 0.0)).len(),
        1
    );
    let mut harness = Harness::new(RouterSettings {
        hedging: false,
        ..router_settings
    });
    let (_, parts, _) = harness.submit_query(0, &[(0, 1.0)]);
    harness.now = 401;
    assert!(sends(&harness.end_attempt(parts[0], 0, Outcome::Error, 0.0)).is_empty());
    assert!(sends(&harness.run_until(2900)).is_empty());
}

#[test]
fn retries_stop_at_the_limit_of_the_budget() {
    let budget = RetryBudget {
        min_retries: 2.0,
        retry_share: 0.1,
        window: ms(2000),
    };
    let mut harness = Harness::new(RouterSettings {
        retry_budget: Some(budget),
        max_attempts: 9,
        ..settings()
    });
    let mut retries = 0;
    let (_, parts, _) = harness.submit_query(0, &[(0, 0.25), (1, 0.25), (2, 0.25), (3, 0.25)]);
    for round in 0..8u32 {
        harness.now += 5;
        for part in &parts {
            retries += sends(&harness.end_attempt(*part, round, Outcome::Error, 0.0)).len();
        }
    }
    // One query and four parts arrived, so at most 2 + 0.5 retries are allowed.
    assert_eq!(retries, 2);
}

#[test]
fn without_hedging_no_part_is_in_flight_twice() {
    let mut harness = Harness::new(RouterSettings {
        hedging: false,
        ..settings()
    });
    harness.submit_query(0, &[(0, 1.0)]);
    assert!(sends(&harness.run_until(2900)).is_empty());
}

/// Guards against leaving the other copy running until the whole query ends.
#[test]
fn the_slower_of_two_copies_is_cancelled_at_once() {
    let mut harness = Harness::new(settings());
    answer_queries(&mut harness, 20, 2, (ServerId(9), 0));
    let (_, parts, _) = harness.submit_query(0, &[(0, 0.5), (2, 0.5)]);
    let later_actions = harness.run_until(harness.now + 700);
    assert!(
        sends(&later_actions).iter().any(|send| send.0 == parts[0]),
        "a copy is sent"
    );
    let actions = harness.end_attempt(parts[0], 1, Outcome::Ok, 0.0);
    assert!(actions.contains(&Action::Cancel {
        part: parts[0],
        attempt: 0
    }));
}

/// Guards against leaving the last parts of a query on slow servers without a second copy.
#[test]
fn in_congestion_a_part_later_than_its_siblings_is_hedged() {
    let mut harness = with_part_times(settings(), 320);
    let shards: Vec<(u32, f64)> = (0..20).map(|n| (n % 4, 0.05)).collect();
    let (_, parts, _) = harness.submit_query(0, &shards);
    harness.run_until(harness.now + 320);
    parts[..19]
        .iter()
        .for_each(|p| drop(harness.answer_part(*p, 0, 320)));
    harness.run_until(harness.now + 600);
    let copies = sends(&harness.actions)
        .iter()
        .filter(|send| send.0 == parts[19])
        .count()
        - 1;
    assert_eq!(copies, 1);
}
