//! Latency targets of clients' first attempts and retries.

use crate::harness::*;
use coordinator::*;

/// The last attempt of a client has a longer timeout than its first ones. Guards against counting the first ones of
/// other clients as retries after their latency target, which are rejected at once.
#[test]
fn a_longer_last_attempt_does_not_make_first_attempts_retries() {
    let mut harness = Harness::new(RouterSettings {
        classes: vec![QueryClass {
            late_value: 0.0,
            ..class()
        }],
        ..settings()
    });
    for wait in [1900, 1900, 2700, 1900, 1900] {
        harness.client_wait = wait;
        let (id, parts, actions) = harness.submit_query(0, &[(0, 1.0)]);
        assert_eq!(
            (final_actions(&actions, id), sends(&actions).len()),
            (0, 1),
            "an attempt that waits {wait} ms"
        );
        harness.now += 50;
        harness.end_attempt(parts[0], 0, Outcome::Ok, 0.0);
    }
    // An attempt whose client began 1.5 s ago is past its latency target of one second.
    harness.client_wait = 1500;
    let (id, _, actions) = harness.submit_query(0, &[(0, 1.0)]);
    assert_eq!((final_actions(&actions, id), sends(&actions).len()), (1, 0));
}

/// A short timeout does not make an attempt a retry.
#[test]
fn a_client_that_waits_less_than_the_latency_target_is_served() {
    let mut harness = Harness::new(RouterSettings {
        classes: vec![QueryClass {
            late_value: 0.0,
            ..class()
        }],
        ..settings()
    });
    for wait in [3000, 3000, 400] {
        harness.client_wait = wait;
        let (id, parts, actions) = harness.submit_query(0, &[(0, 1.0)]);
        assert_eq!(sends(&actions).len(), 1, "a client that waits {wait} ms");
        harness.now += 60;
        harness.end_attempt(parts[0], 0, Outcome::Ok, 0.0);
        assert_eq!(final_actions(&harness.actions, id), 1);
    }
}

/// Where clients mark retries the mark decides, whatever the timeout of the attempt.
#[test]
fn a_marked_retry_keeps_its_first_latency_target_and_an_unmarked_attempt_gets_a_new_one() {
    for (marked_retry, expected_final_actions) in [(Some(false), 0), (Some(true), 1)] {
        let mut harness = Harness::new(RouterSettings {
            classes: vec![QueryClass {
                late_value: 0.0,
                ..class()
            }],
            ..settings()
        });
        for _ in 0..3 {
            let (_, parts, _) = harness.submit_query(0, &[(0, 1.0)]);
            harness.run_until(harness.now + 100);
            harness.answer_part(parts[0], 0, 100);
        }
        // An attempt with 1.5 s left of the client's 3 s: as a retry it began 1.5 s ago and missed its target.
        let (id, part) = (RequestId(900), RequestId(901));
        let deadline = ms(harness.now + 1500);
        let query = Event::Query {
            id,
            class: ClassId(0),
            tenant: None,
            arrived_at: None,
            deadline,
            is_retry: marked_retry,
        };
        harness.run_turn(vec![
            query,
            Event::Part {
                id: part,
                query: id,
                shard: 0,
                weight: 1.0,
            },
        ]);
        assert_eq!(
            final_actions(&harness.actions, id),
            expected_final_actions,
            "{marked_retry:?}"
        );
    }
}
