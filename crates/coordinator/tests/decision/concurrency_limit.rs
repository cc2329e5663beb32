//! Servers that reject parts: concurrency limit and backoff.

use crate::harness::*;
use coordinator::*;

/// Parts that a server rejects wait until it has capacity. Guards against sending them back at once until their
/// attempts are exhausted; the only holder of some shards rejected 265 parts in a second that way.
#[test]
fn a_server_that_rejects_gets_no_more_than_it_holds() {
    let mut harness = Harness::new(RouterSettings {
        hedging: false,
        ..settings()
    });
    let only = ServerId(0);
    harness.run_turn(vec![entry_changed(1, ServerState::Gone, None)]);
    (0..8).for_each(|_| drop(harness.submit_query(0, &[(0, 1.0)])));
    let parts: Vec<RequestId> = sends(&harness.actions).iter().map(|s| s.0).collect();
    assert!(parts.len() > 3 && harness.sends_to(only) == parts.len());
    harness.now += 5;
    let actions: Vec<Action> = parts[3..]
        .iter()
        .flat_map(|p| harness.end_attempt(*p, 0, Outcome::Rejected, 0.0))
        .collect();
    assert!(
        sends(&actions).is_empty(),
        "sent back at once to a server that rejects"
    );
    let actions = parts[..3]
        .iter()
        .flat_map(|p| harness.end_attempt(*p, 0, Outcome::Ok, 3.0))
        .collect::<Vec<_>>();
    assert!(
        !sends(&actions).is_empty(),
        "parts wait for the capacity that answers free"
    );
}

/// Each of a hundred coordinators has at most one part at a host, so a concurrency limit does not slow them down.
/// Guards against immediate retries, with which 13,000 parts were rejected in 5 s, three times each within 10 ms.
#[test]
fn a_server_that_rejects_the_only_part_gets_nothing_for_a_backoff() {
    let mut harness = Harness::new(RouterSettings {
        routers: 100,
        hedging: false,
        ..settings()
    });
    harness.run_turn(vec![entry_changed(1, ServerState::Gone, None)]);
    let (_, parts, _) = harness.submit_query(0, &[(0, 1.0)]);
    let mut backoffs = Vec::new();
    for attempt in 0..2 {
        harness.now += 2;
        let (rejected_at, actions) = (
            harness.now,
            harness.end_attempt(parts[0], attempt, Outcome::Rejected, 0.0),
        );
        assert!(sends(&actions).is_empty(), "sent back at once");
        while sends(&harness.run_until(harness.now + 10)).is_empty()
            && harness.now < rejected_at + 900
        {}
        backoffs.push(harness.now - rejected_at);
    }
    assert!(
        (50..170).contains(&backoffs[0]) && (100..320).contains(&backoffs[1]),
        "{backoffs:?}"
    );
}

/// Guards against parts that, while the only running host is full, use up all their attempts within 10 ms on hosts that
/// refuse connections.
#[test]
fn parts_wait_for_a_rejecting_server_and_use_no_attempt_on_one_that_refuses_connections() {
    let mut harness = Harness::new(RouterSettings {
        routers: 100,
        hedging: false,
        ..settings()
    });
    let (full, refusing) = (ServerId(0), ServerId(1));
    harness.end_parts_at(refusing, Outcome::ConnectFailed, 1);
    let (id, parts, _) = harness.submit_query(0, &[(0, 1.0)]);
    harness.now += 2;
    assert!(sends(&harness.end_attempt(parts[0], 0, Outcome::Rejected, 0.0)).is_empty());
    assert_eq!(
        sends(&harness.run_until(harness.now + 200))
            .iter()
            .map(|s| s.1)
            .collect::<Vec<_>>(),
        [full]
    );
    assert_eq!(final_actions(&harness.actions, id), 0);
}

/// Guards against sending one part for each answer of the only server left. Each of them would be a call of its own,
/// with an overhead that the parts of one call share.
#[test]
fn a_rejecting_server_gets_parts_again_once_several_can_share_a_call() {
    for (call_overhead_time, shares_call) in [(ms(10), true), (ms(0), false)] {
        let mut harness = Harness::new(RouterSettings {
            max_parts_per_call: 8,
            call_overhead: call_overhead_time,
            hedging: false,
            ..settings()
        });
        harness.run_turn(vec![entry_changed(1, ServerState::Gone, None)]);
        (0..12).for_each(|_| drop(harness.submit_query(0, &[(0, 1.0)])));
        let parts: Vec<RequestId> = sends(&harness.actions).iter().map(|s| s.0).collect();
        assert!(parts.len() > 4);
        harness.now += 5;
        // It rejects some parts, which wait for the capacity that the others free.
        parts[3..].iter().for_each(|p| {
            assert!(sends(&harness.end_attempt(*p, 0, Outcome::Rejected, 0.0)).is_empty());
        });
        let calls = parts[..3]
            .iter()
            .map(|p| sends(&harness.end_attempt(*p, 0, Outcome::Ok, 3.0)).len());
        let calls: Vec<usize> = calls.collect();
        assert_eq!(
            calls[0] == 0,
            shares_call,
            "{call_overhead_time:?}: {calls:?}"
        );
        assert!(
            calls.iter().any(|n| *n > 1),
            "waiting parts are sent as capacity becomes free: {calls:?}"
        );
    }
}
