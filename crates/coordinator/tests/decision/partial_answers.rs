//! Selection of the parts to send where partial answers are accepted.

use crate::harness::*;
use coordinator::*;

/// Parts that weigh little compared with others may be left out, but not equal ones. Guards against sending half of a
/// query's equal parts for less than half of its value.
#[test]
fn in_congestion_only_light_parts_are_left_out() {
    let mut router_settings = settings();
    router_settings.classes = vec![
        QueryClass {
            min_share: 0.4,
            partial_value: 0.8,
            ..class()
        },
        class(),
    ];
    for (weights, expected_sends) in [([0.25; 4], 4), ([0.85, 0.05, 0.05, 0.05], 1)] {
        let mut harness = Harness::new(router_settings.clone());
        // Part times of 400 ms with a latency target of one second mean congestion.
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
        let (_, _, actions) = harness.submit_query(0, &parts);
        assert_eq!(sends(&actions).len(), expected_sends);
    }
}

/// With value by work a query earns the value of its class times its number of parts. Guards against comparing the
/// price of all its parts with the value of one, which leaves servers idle. Without value by work the price is
/// compared with the class's value.
#[test]
fn with_value_by_work_a_part_is_priced_against_the_whole_query() {
    for (value_by_work, expected_sends) in [(true, 4), (false, 1)] {
        let classes = vec![QueryClass {
            min_share: 0.4,
            partial_value: 0.95,
            ..class()
        }];
        // Half of the part time that counts as congestion.
        let mut harness = with_part_times(
            RouterSettings {
                classes,
                value_by_work,
                ..settings()
            },
            150,
        );
        let (_, _, actions) = harness.submit_query(0, &[(0, 0.55), (1, 0.2), (2, 0.15), (3, 0.1)]);
        assert_eq!(
            sends(&actions).len(),
            expected_sends,
            "by work: {value_by_work}"
        );
    }
}
