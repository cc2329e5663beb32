//! The server list: draining servers and the subscription.

use crate::harness::*;
use coordinator::*;

#[test]
fn a_draining_server_gets_nothing_not_even_a_retry() {
    let mut harness = Harness::new(settings());
    let (_, parts, actions) = harness.submit_query(0, &[(0, 1.0)]);
    let first = sends(&actions)[0].1;
    let other = if first.0 == 0 { 1 } else { 0 };
    harness.now += 10;
    harness.run_turn(vec![entry_changed(other, ServerState::Draining, None)]);
    harness.end_attempt(parts[0], 0, Outcome::Error, 0.0);
    for _ in 0..20 {
        harness.submit_query(0, &[(0, 1.0)]);
        harness.run_until(harness.now + 40);
    }
    assert!(sends(&harness.actions).iter().all(|s| s.1 .0 != other));
}

/// While the others have little load, or when the grace is nearly over, it gets nothing.
#[test]
fn a_draining_server_gets_parts_within_its_grace_when_others_are_crowded() {
    for (load, wait, gets_part) in [(0.0, 100, false), (30.0, 100, true), (30.0, 1700, false)] {
        let mut harness = Harness::new(RouterSettings {
            drain_grace: ms(2000),
            ..settings()
        });
        harness.end_parts_at(ServerId(1), Outcome::Ok, 1);
        harness.run_turn(vec![entry_changed(0, ServerState::Draining, None)]);
        harness.run_until(harness.now + wait);
        let (_, parts, _) = harness.submit_query(0, &[(0, 1.0)]);
        harness.end_attempt(parts[0], 0, Outcome::Ok, load);
        let actions_before = harness.actions.len();
        harness.submit_query(0, &[(0, 1.0)]);
        assert_eq!(
            sends(&harness.actions[actions_before..])[0].1 == ServerId(0),
            gets_part,
            "{load} {wait}"
        );
    }
}

#[test]
fn a_failed_subscription_is_repeated_within_the_limit() {
    let mut harness = Harness::new(RouterSettings {
        subscribe_within: Some(ms(10_000)),
        ..settings()
    });
    let count_subscribes =
        |actions: &[Action]| actions.iter().filter(|a| **a == Action::Subscribe).count();
    harness.run_until(300);
    let subscribes_before = count_subscribes(&harness.actions);
    harness.run_turn(vec![Event::ServerList {
        kind: ListKind::Failed,
        entries: vec![],
    }]);
    harness.run_until(3000);
    assert_eq!(count_subscribes(&harness.actions), subscribes_before + 1);
    // The subscription was answered, so it is not repeated.
    harness.run_turn(vec![Event::ServerList {
        kind: ListKind::Changes,
        entries: vec![],
    }]);
    harness.run_until(20_000);
    assert_eq!(count_subscribes(&harness.actions), subscribes_before + 1);
}
