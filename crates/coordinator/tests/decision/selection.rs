//! Selection of a server: the idle queue first, random otherwise.

use crate::harness::*;
use coordinator::*;

#[test]
fn parts_go_to_holders_of_their_shard_and_a_complete_answer_follows() {
    let mut harness = Harness::new(settings());
    let (id, parts, actions) = harness.submit_query(0, &[(1, 0.5), (2, 0.5)]);
    for (part, server) in sends(&actions) {
        let shard = if part == parts[0] { 1 } else { 2 };
        assert!(
            (server.0 + 4 - shard) % 4 < 2,
            "server {server:?} does not hold shard {shard}"
        );
    }
    assert_eq!(sends(&actions).len(), 2);
    harness.now += 100;
    assert!(harness
        .end_attempt(parts[0], 0, Outcome::Ok, 0.0)
        .is_empty());
    let actions = harness.end_attempt(parts[1], 0, Outcome::Ok, 0.0);
    assert_eq!(
        actions,
        vec![Action::Answer {
            query: id,
            complete: true
        }]
    );
}

#[test]
fn a_server_in_the_idle_queue_is_selected_first() {
    let mut harness = Harness::new(settings());
    // The first answer reports that its server is idle; nothing is known about the other holder of the shard.
    let (_, parts, actions) = harness.submit_query(0, &[(0, 1.0)]);
    let idle = sends(&actions)[0].1;
    harness.now += 10;
    harness.end_attempt(parts[0], 0, Outcome::Ok, 0.0);
    let (_, _, actions) = harness.submit_query(0, &[(0, 1.0)]);
    assert_eq!(
        sends(&actions)[0].1,
        idle,
        "the server in the idle queue is preferred to one that never reported"
    );
}

#[test]
fn a_busy_report_removes_a_server_from_the_idle_queue() {
    let mut harness = Harness::new(settings());
    let (_, parts, actions) = harness.submit_query(0, &[(0, 1.0)]);
    let busy = sends(&actions)[0].1;
    harness.now += 10;
    harness.end_attempt(parts[0], 0, Outcome::Ok, 9.0);
    for _ in 0..5 {
        let (_, _, actions) = harness.submit_query(0, &[(0, 1.0)]);
        assert_ne!(sends(&actions)[0].1, busy);
    }
}

/// Guards against part times of zero, which made scores the result of zero divided by zero and left no candidate.
#[test]
fn with_part_times_of_zero_a_server_is_still_selected() {
    let mut harness = Harness::new(settings());
    for n in 0..40 {
        let (id, parts, _) = harness.submit_query(0, &[(n % 4, 1.0)]);
        let (part, outcome, latency) = (parts[0], Outcome::Ok, ms(0));
        harness.run_turn(vec![Event::AttemptEnded {
            part,
            attempt: 0,
            outcome,
            latency,
            closed: true,
            report: None,
        }]);
        assert_eq!(final_actions(&harness.actions, id), 1);
        harness.submit_query(0, &[(0, 0.25), (1, 0.25), (2, 0.25), (3, 0.25)]);
    }
}
