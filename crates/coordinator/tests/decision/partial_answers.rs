//! Which parts to ask for where partial answers are accepted.

use crate::harness::*;
use coordinator::*;

/// Parts that weigh little beside others may be left out, equal ones not. Once, queries of equal parts were cut
/// to half of them for less than half of their value.
#[test]
fn in_congestion_only_light_parts_are_left_out() {
    let mut s = settings();
    s.classes = vec![
        QueryClass {
            min_share: 0.4,
            partial_value: 0.8,
            ..class()
        },
        class(),
    ];
    for (weights, asked) in [([0.25; 4], 4), ([0.85, 0.05, 0.05, 0.05], 1)] {
        let mut harness = Harness::new(s.clone());
        // Part times of 400 ms under a latency target of one second are congestion.
        for n in 0..12 {
            let (_, parts, _) = harness.submit_query(1, &[(n % 4, 1.0)]);
            harness.now += 400;
            let report = Some(LoadReport {
                in_flight: Some(0.0),
                ..LoadReport::default()
            });
            let (outcome, latency) = (Outcome::Ok, ms(400));
            harness.run_turn(vec![Event::AttemptEnded {
                part: parts[0],
                attempt: 0,
                outcome,
                latency,
                closed: true,
                report,
            }]);
            let (_, parts, _) = harness.submit_query(0, &[(n % 4, 1.0)]);
            harness.run_turn(vec![Event::AttemptEnded {
                part: parts[0],
                attempt: 0,
                outcome,
                latency,
                closed: true,
                report,
            }]);
        }
        let parts: Vec<(u32, f64)> = (0..4).zip(weights).collect();
        let (_, _, out) = harness.submit_query(0, &parts);
        assert_eq!(sends(&out).len(), asked);
    }
}

/// With value by work a query of many parts earns that many times its class's value. Once, the price of its parts
/// was held against the value of one, and light servers were left idle. Otherwise the price is as before.
#[test]
fn with_value_by_work_a_part_is_priced_against_the_whole_query() {
    for (value_by_work, asked) in [(true, 4), (false, 1)] {
        let classes = vec![QueryClass {
            min_share: 0.4,
            partial_value: 0.95,
            ..class()
        }];
        // Half of what counts as congestion.
        let mut harness = with_part_times(
            RouterSettings {
                classes,
                value_by_work,
                ..settings()
            },
            150,
        );
        let (_, _, out) = harness.submit_query(0, &[(0, 0.55), (1, 0.2), (2, 0.15), (3, 0.1)]);
        assert_eq!(sends(&out).len(), asked, "by work: {value_by_work}");
    }
}
