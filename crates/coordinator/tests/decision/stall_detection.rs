//! Silent servers, and pauses of the router itself.

use crate::harness::*;
use coordinator::*;

#[test]
fn a_silent_server_is_ejected_and_its_parts_go_elsewhere() {
    let mut harness = Harness::new(settings());
    for _ in 0..12 {
        let (_, parts, _) = harness.submit_query(0, &[(2, 1.0)]);
        // With wake-ups, as the router would otherwise count as paused.
        harness.run_until(harness.now + 100);
        harness.end_attempt(parts[0], 0, Outcome::Ok, 0.0);
    }
    let (_, parts, actions) = harness.submit_query(0, &[(0, 1.0)]);
    let silent = sends(&actions)[0].1;
    let later_actions = harness.run_until(harness.now + 500);
    assert!(sends(&later_actions)
        .iter()
        .any(|s| s.0 == parts[0] && s.1 != silent));
    let actions_before = harness.actions.len();
    harness.submit_query(0, &[(0, 1.0)]);
    assert_ne!(sends(&harness.actions[actions_before..])[0].1, silent);
}

/// After a pause a router finds old parts in flight, which does not mean that their servers are silent.
#[test]
fn a_pause_of_the_router_is_no_evidence_against_servers() {
    for paused in [true, false] {
        let mut harness = Harness::new(settings());
        answer_queries(&mut harness, 20, 2, (ServerId(9), 0));
        let (_, _, actions) = harness.submit_query(0, &[(0, 1.0)]);
        let server = sends(&actions)[0].1;
        if paused {
            harness.now += 900;
            harness.run_turn(vec![Event::Wake]);
        } else {
            harness.run_until(harness.now + 900);
        }
        harness.run_turn(vec![entry_changed(
            1 - server.0,
            ServerState::Draining,
            None,
        )]);
        for _ in 0..4 {
            harness.submit_query(0, &[(0, 1.0)]);
        }
        let all = harness.sends_to(server);
        assert_eq!(all > 3, paused, "{all} sends, paused: {paused}");
    }
}

/// Guards against taking only the first event after a pause for one that was delayed by it. The latency of each answer
/// read shortly afterwards would then count against its server.
#[test]
fn answers_read_one_after_the_other_after_a_pause_are_no_evidence_against_servers() {
    let mut harness = Harness::new(settings());
    harness.run_turn(vec![entry_changed(1, ServerState::Gone, None)]);
    for _ in 0..4 {
        let (_, parts, _) = harness.submit_query(0, &[(0, 1.0)]);
        harness.run_until(harness.now + 10);
        harness.answer_part(parts[0], 0, 10);
    }
    let burst: Vec<RequestId> = (0..4)
        .map(|_| harness.submit_query(0, &[(0, 1.0)]).1[0])
        .collect();
    let pause = 2000;
    harness.now += pause;
    for (part, later) in burst.into_iter().zip(0..) {
        harness.now += 1;
        harness.answer_part(part, 0, pause + later);
    }
    for _ in 0..8 {
        let (id, _, actions) = harness.submit_query(0, &[(0, 1.0)]);
        assert_eq!(final_actions(&actions, id), 0, "{actions:?}");
    }
}

/// Repeated pauses of the router must not hide that a server answers nothing.
#[test]
fn a_silent_server_is_ejected_by_a_router_that_is_paused_every_100_ms() {
    let mut harness = Harness::new(settings());
    answer_queries(&mut harness, 20, 0, (ServerId(9), 0));
    let (_, _, actions) = harness.submit_query(0, &[(0, 1.0)]);
    let silent = sends(&actions)[0].1;
    for _ in 0..16 {
        harness.run_until(harness.now + 20);
        harness.now += 80;
        harness.run_turn(vec![Event::Wake]);
    }
    for _ in 0..6 {
        let (_, _, actions) = harness.submit_query(0, &[(0, 1.0)]);
        assert_ne!(sends(&actions)[0].1, silent);
    }
}
