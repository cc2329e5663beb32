//! Complete and partial answers, the second step, and the end of unanswerable queries.

use crate::harness::*;
use coordinator::*;

#[test]
fn a_query_ends_once_before_its_deadline_when_nothing_answers() {
    let mut harness = Harness::new(settings());
    let (id, _, _) = harness.submit_query(0, &[(0, 0.5), (3, 0.5)]);
    harness.run_until(2995);
    assert_eq!(final_actions(&harness.actions, id), 1);
    let actions_before = harness.actions.len();
    let after = harness.run_until(4000);
    assert!(sends(&after).is_empty() && final_actions(&harness.actions[actions_before..], id) == 0);
}

#[test]
fn a_partial_answer_is_given_at_the_minimum_share_and_not_below() {
    let mut router_settings = settings();
    router_settings.classes[0] = QueryClass {
        min_share: 0.5,
        partial_value: 0.8,
        ..class()
    };
    for (weights, answered) in [([0.5, 0.5], true), ([0.49, 0.51], false)] {
        let mut harness = Harness::new(router_settings.clone());
        let (id, parts, _) = harness.submit_query(0, &[(0, weights[0]), (2, weights[1])]);
        harness.now += 50;
        harness.end_attempt(parts[0], 0, Outcome::Ok, 0.0);
        harness.run_until(1000);
        assert_eq!(
            harness.actions.contains(&Action::Answer {
                query: id,
                complete: false
            }),
            answered
        );
        assert!(!harness.actions.contains(&Action::Answer {
            query: id,
            complete: true
        }));
    }
}

#[test]
fn a_second_step_is_complete_only_after_a_complete_first_step() {
    let mut router_settings = settings();
    router_settings.classes[0] = QueryClass {
        min_share: 0.5,
        partial_value: 0.8,
        second_step_parts: 1,
        ..class()
    };
    for is_complete in [true, false] {
        let mut harness = Harness::new(router_settings.clone());
        let (id, parts, _) = harness.submit_query(0, &[(0, 0.5), (2, 0.5)]);
        harness.now += 50;
        harness.end_attempt(parts[0], 0, Outcome::Ok, 0.0);
        if is_complete {
            harness.end_attempt(parts[1], 0, Outcome::Ok, 0.0);
        } else {
            harness.run_until(960);
        }
        assert!(harness.actions.contains(&Action::Answer {
            query: id,
            complete: is_complete
        }));
        let actions_before = harness.actions.len();
        let second_step_part = RequestId(900);
        harness.now += 5;
        harness.run_turn(vec![Event::Part {
            id: second_step_part,
            query: id,
            shard: 0,
            weight: 1.0,
        }]);
        harness.now += 5;
        harness.end_attempt(second_step_part, 0, Outcome::Ok, 0.0);
        let answers: Vec<_> = harness.actions[actions_before..]
            .iter()
            .filter(|a| matches!(a, Action::Answer { .. }))
            .collect();
        assert_eq!(
            answers,
            [&Action::Answer {
                query: id,
                complete: is_complete
            }]
        );
    }
}

/// Guards against ending queries at the latency target with nearly all parts answered, after which their clients retry.
#[test]
fn in_congestion_a_query_with_little_missing_waits_past_its_latency_target() {
    for (late_value, ended) in [(0.5, 0), (0.1, 1)] {
        let mut harness = with_part_times(
            RouterSettings {
                classes: vec![QueryClass {
                    late_value,
                    ..class()
                }],
                ..settings()
            },
            500,
        );
        let (id, parts, _) = harness.submit_query(0, &FOUR_SHARDS);
        harness.run_until(harness.now + 500);
        parts[..3]
            .iter()
            .for_each(|p| drop(harness.answer_part(*p, 0, 500)));
        harness.run_until(harness.now + 600);
        assert_eq!(
            final_actions(&harness.actions, id),
            ended,
            "late value {late_value}"
        );
        harness.answer_part(parts[3], 0, 1100);
        assert_eq!(final_actions(&harness.actions, id), 1);
    }
}
