//! The server list: draining servers and the subscription.

use crate::harness::*;
use coordinator::*;

#[test]
fn a_draining_server_gets_nothing_not_even_a_retry() {
    let mut harness = Harness::new(settings());
    let (_, parts, out) = harness.submit_query(0, &[(0, 1.0)]);
    let first = sends(&out)[0].1;
    let other = if first.0 == 0 { 1 } else { 0 };
    harness.now += 10;
    harness.run_turn(vec![entry_changed(other, ServerState::Draining, None)]);
    harness.end_attempt(parts[0], 0, Outcome::Error, 0.0);
    for _ in 0..20 {
        harness.submit_query(0, &[(0, 1.0)]);
        harness.run_until(harness.now + 40);
    }
    assert!(sends(&harness.log).iter().all(|s| s.1 .0 != other));
}

/// With the others light, or once the grace is nearly over, it gets nothing.
#[test]
fn a_draining_server_helps_out_within_its_grace_when_others_are_crowded() {
    for (load, wait, helps) in [(0.0, 100, false), (30.0, 100, true), (30.0, 1700, false)] {
        let mut harness = Harness::new(RouterSettings {
            drain_grace: ms(2000),
            ..settings()
        });
        harness.end_parts_at(ServerId(1), Outcome::Ok, 1);
        harness.run_turn(vec![entry_changed(0, ServerState::Draining, None)]);
        harness.run_until(harness.now + wait);
        let (_, parts, _) = harness.submit_query(0, &[(0, 1.0)]);
        harness.end_attempt(parts[0], 0, Outcome::Ok, load);
        let before = harness.log.len();
        harness.submit_query(0, &[(0, 1.0)]);
        assert_eq!(
            sends(&harness.log[before..])[0].1 == ServerId(0),
            helps,
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
    let asks = |log: &[Action]| log.iter().filter(|a| **a == Action::Subscribe).count();
    harness.run_until(300);
    let before = asks(&harness.log);
    harness.run_turn(vec![Event::ServerList {
        kind: ListKind::Failed,
        entries: vec![],
    }]);
    harness.run_until(3000);
    assert_eq!(asks(&harness.log), before + 1);
    // Answered: no more calls.
    harness.run_turn(vec![Event::ServerList {
        kind: ListKind::Changes,
        entries: vec![],
    }]);
    harness.run_until(20_000);
    assert_eq!(asks(&harness.log), before + 1);
}
