//! Admission control and its forecasts.

use crate::harness::*;
use coordinator::*;
use std::time::Duration;

#[test]
fn a_query_without_server_for_its_shard_is_rejected_at_once() {
    let mut harness = Harness::new(settings());
    harness.run_turn(vec![
        entry_changed(0, ServerState::Gone, None),
        entry_changed(1, ServerState::Gone, None),
    ]);
    let (id, _, actions) = harness.submit_query(0, &[(0, 1.0)]);
    assert!(
        matches!(actions[..], [Action::Reject { query, retry_after: Some(_), .. }] if query == id)
    );
}

/// Guards against forecasts that ignore the parts waiting in the router for a server that rejects. More and more
/// queries would be admitted, and all of them would be late.
#[test]
fn parts_that_wait_for_capacity_count_in_the_forecast() {
    let mut harness = Harness::new(RouterSettings {
        hedging: false,
        ..settings()
    });
    answer_queries(&mut harness, 20, 0, (ServerId(9), 0));
    harness.run_turn(vec![entry_changed(1, ServerState::Gone, None)]);
    let (_, parts, _) = harness.submit_query(0, &[(0, 1.0)]);
    harness.end_attempt(parts[0], 0, Outcome::Rejected, 0.0);
    let rejected = (0..80).filter(|_| {
        let (id, _, actions) = harness.submit_query(0, &[(0, 1.0)]);
        final_actions(&actions, id) == 1
    });
    let rejected = rejected.count();
    assert!((20..80).contains(&rejected), "{rejected} of 80 rejected");
}

/// Guards against admitting queries whose slowest part can't be answered in time.
#[test]
fn a_query_is_forecast_by_its_slowest_part() {
    let mut harness = with_part_times(settings(), 320);
    // Both servers of shard 2 get two parts each.
    (0..4).for_each(|_| drop(harness.submit_query(0, &[(2, 1.0)])));
    harness.client_wait = 500;
    let (late_query, _, _) = harness.submit_query(0, &[(0, 0.25), (0, 0.25), (0, 0.25), (2, 0.25)]);
    let (timely_query, _, _) =
        harness.submit_query(0, &[(0, 0.25), (0, 0.25), (0, 0.25), (0, 0.25)]);
    assert_eq!(
        (
            final_actions(&harness.actions, timely_query),
            final_actions(&harness.actions, late_query)
        ),
        (0, 1)
    );
}

/// Guards against taking first attempts that were delayed by a pause of the process for retries, which have little time
/// left. The first burst after a start was rejected that way.
#[test]
fn queries_delayed_by_a_pause_of_the_process_are_still_first_attempts() {
    let mut harness = Harness::new(settings());
    harness.client_wait = 2000;
    harness.waited = Some(0);
    harness.submit_query(0, &[(2, 1.0)]);
    // Too short for the router to detect the pause.
    harness.now += 90;
    harness.waited = Some(90);
    for _ in 0..7 {
        let (id, _, actions) = harness.submit_query(0, &[(2, 1.0)]);
        assert_eq!(final_actions(&actions, id), 0, "{actions:?}");
    }
}

/// The only server of shard 0 answers one burst fast and another one after 100 ms, in which either the router or the
/// server was paused. Returns how many of eight queries are admitted two seconds later.
fn admitted_after_a_pause(of_the_router: bool) -> usize {
    let mut harness = Harness::new(settings());
    harness.run_turn(vec![entry_changed(1, ServerState::Gone, None)]);
    for latency in [Duration::from_micros(300), ms(100)] {
        let burst: Vec<RequestId> = (0..4)
            .map(|_| harness.submit_query(0, &[(0, 1.0)]).1[0])
            .collect();
        let answered_at = harness.now + latency.as_millis() as u64;
        if !of_the_router {
            harness.run_until(answered_at);
        }
        harness.now = answered_at;
        for part in burst {
            harness.answer_part_after(part, 0, latency);
        }
    }
    harness.run_until(harness.now + 2000);
    let admitted = (0..8).filter(|_| {
        let (id, _, actions) = harness.submit_query(0, &[(0, 1.0)]);
        final_actions(&actions, id) == 0
    });
    admitted.count()
}

/// Guards against an unbounded effect of one long latency on a server's latency ratio. After one pause of the process
/// the only server of a shard counted as overloaded for seconds.
#[test]
fn queries_after_a_pause_of_the_process_that_delayed_answers_are_admitted() {
    assert_eq!(admitted_after_a_pause(true), 8);
}

/// The same for a pause of the server, which is evidence against it, but with a bounded effect.
#[test]
fn queries_after_a_single_pause_of_a_server_are_mostly_admitted() {
    assert!(admitted_after_a_pause(false) >= 4);
}

/// Guards against a router that ignores its first answers because it was paused when they came, and then rejects
/// queries by its default estimate.
#[test]
fn queries_are_admitted_when_all_answers_so_far_were_delayed_by_a_pause_of_the_process() {
    let mut harness = Harness::new(settings());
    harness.run_turn(vec![entry_changed(1, ServerState::Gone, None)]);
    let burst: Vec<RequestId> = (0..4)
        .map(|_| harness.submit_query(0, &[(0, 1.0)]).1[0])
        .collect();
    harness.now += 90;
    for part in burst {
        harness.answer_part(part, 0, 90);
    }
    for _ in 0..8 {
        let (id, _, actions) = harness.submit_query(0, &[(0, 1.0)]);
        assert_eq!(final_actions(&actions, id), 0, "{actions:?}");
    }
}

/// A share of the useful time that is suitable for one fleet overloads another, so the share adapts.
#[test]
fn queries_that_miss_their_latency_target_make_admission_stricter() {
    for (last, rejected) in [(550, 0), (1100, 1)] {
        let mut harness = with_part_times(
            RouterSettings {
                classes: vec![QueryClass {
                    late_value: 0.5,
                    ..class()
                }],
                ..settings()
            },
            500,
        );
        for _ in 0..10 {
            let shards: Vec<(u32, f64)> = (0..8).map(|n| (n % 4, 0.125)).collect();
            let (_, parts, _) = harness.submit_query(0, &shards);
            harness.run_until(harness.now + 500);
            parts[..7]
                .iter()
                .for_each(|p| drop(harness.answer_part(*p, 0, 500)));
            harness.run_until(harness.now + last - 500);
            // The answer arrives late but with the usual latency, so that part times stay the same.
            harness.answer_part(parts[7], 0, 500);
        }
        (0..16).for_each(|_| drop(harness.submit_query(0, &[(0, 1.0)])));
        let (id, _, _) = harness.submit_query(0, &[(0, 1.0)]);
        assert_eq!(
            final_actions(&harness.actions, id),
            rejected,
            "last part after {last} ms"
        );
    }
}

/// Guards against rejecting queries that are forecast past the latency target although a late answer still earns
/// something; 8% were rejected that way.
#[test]
fn a_query_whose_late_answer_has_value_is_admitted_though_it_may_be_late() {
    // Among many routers each learns late of the decisions of the others, so there late answers don't count.
    for (late_value, routers, rejected) in [(0.0, 2, 1), (0.8, 2, 0), (0.8, 100, 1)] {
        let classes = vec![QueryClass {
            late_value,
            ..class()
        }];
        let mut harness = with_part_times(
            RouterSettings {
                classes,
                routers,
                ..settings()
            },
            400,
        );
        // Both servers of shard 2 get four parts each: the next one is forecast to end past the latency target.
        (0..8).for_each(|_| drop(harness.submit_query(0, &[(2, 1.0)])));
        let (id, _, _) = harness.submit_query(0, &[(2, 1.0)]);
        assert_eq!(
            final_actions(&harness.actions, id),
            rejected,
            "late value {late_value}, {routers} routers"
        );
    }
}

/// Guards against rejecting a class of value five for four parts as often as one of value one.
#[test]
fn in_congestion_the_query_of_more_value_for_its_work_is_admitted() {
    let cases = [
        (5.0, false, 1, 320, 2, (1, 0)),
        // Without congestion both are admitted.
        (5.0, false, 1, 100, 2, (0, 0)),
        // One part where others had four: more value for its work, unless the value is by work.
        (1.0, false, 4, 320, 2, (0, 0)),
        (1.0, true, 4, 320, 2, (1, 1)),
        // Among many routers, which would all prefer the same query, value does not count.
        (5.0, false, 1, 320, 100, (1, 1)),
    ];
    for (value, value_by_work, parts, latency, routers, expected_final_actions) in cases {
        let classes = vec![class(), QueryClass { value, ..class() }];
        let mut harness = with_part_times(
            RouterSettings {
                classes,
                value_by_work,
                routers,
                ..settings()
            },
            latency,
        );
        let shards: Vec<(u32, f64)> = (0..parts).map(|_| (0, 1.0 / f64::from(parts))).collect();
        for _ in 0..20 {
            let (_, parts, _) = harness.submit_query(1, &shards);
            harness.run_until(harness.now + latency);
            parts
                .iter()
                .for_each(|p| drop(harness.answer_part(*p, 0, latency)));
        }
        // Both servers of shard 2 are busy with seven parts each.
        (0..14).for_each(|_| drop(harness.submit_query(1, &[(2, 1.0)])));
        let (first, _, _) = harness.submit_query(0, &[(2, 1.0)]);
        let (second, _, _) = harness.submit_query(1, &[(2, 1.0)]);
        let ended = (
            final_actions(&harness.actions, first),
            final_actions(&harness.actions, second),
        );
        let case = format!(
            "value {value}, by work {value_by_work}, {parts} parts, {latency} ms, {routers}"
        );
        assert_eq!(ended, expected_final_actions, "{case}");
    }
}

/// Among many routers the admitted queries of all add up, and each router learns of them late.
#[test]
fn among_many_routers_each_admits_less_though_all_queries_end_in_time() {
    let count_admitted = |routers: u32| {
        let mut harness = with_part_times(
            RouterSettings {
                routers,
                ..settings()
            },
            200,
        );
        for n in 0..60 {
            let (_, parts, _) = harness.submit_query(0, &[(n % 4, 1.0)]);
            harness.run_until(harness.now + 200);
            parts
                .iter()
                .for_each(|p| drop(harness.answer_part(*p, 0, 200)));
        }
        (0..40)
            .take_while(|_| sends(&harness.submit_query(0, &[(2, 1.0)]).2).len() == 1)
            .count()
    };
    assert!(
        count_admitted(8) > count_admitted(9),
        "{} {}",
        count_admitted(8),
        count_admitted(9)
    );
    assert_eq!(
        (count_admitted(2), count_admitted(9)),
        (count_admitted(8), count_admitted(100))
    );
}
