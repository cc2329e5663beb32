//! Load estimates from reports, from other routers and from latencies.

use crate::harness::*;
use coordinator::*;

/// Guards against taking an answer without a readable report for a sign of an idle server.
#[test]
fn an_answer_without_a_report_does_not_change_the_load() {
    let mut harness = Harness::new(settings());
    harness.end_parts_at(ServerId(0), Outcome::Ok, 1);
    let (_, parts, actions) = harness.submit_query(0, &[(0, 1.0)]);
    let busy = sends(&actions)[0].1;
    harness.end_attempt(parts[0], 0, Outcome::Ok, 30.0);
    let (_, parts, actions) = harness.submit_query(0, &[(0, 1.0)]);
    let other = sends(&actions)[0].1;
    assert_ne!(other, busy);
    harness.end_attempt(parts[0], 0, Outcome::Ok, 20.0);
    let (_, parts, actions) = harness.submit_query(0, &[(0, 1.0)]);
    assert_eq!(sends(&actions)[0].1, other);
    let (part, attempt, outcome, latency) = (parts[0], 0, Outcome::Ok, ms(1));
    harness.run_turn(vec![Event::AttemptEnded {
        part,
        attempt,
        outcome,
        latency,
        closed: true,
        report: None,
    }]);
    assert_eq!(sends(&harness.submit_query(0, &[(0, 1.0)]).2)[0].1, other);
}

/// The latencies of a server outweigh its reports. Guards against giving an equal share of the parts to servers that
/// take six times the usual time but report that they are idle.
#[test]
fn a_slow_server_that_reports_idle_gets_few_parts() {
    let mut harness = Harness::new(RouterSettings {
        hedging: false,
        ..settings()
    });
    answer_queries(&mut harness, 20, 2, (ServerId(9), 0));
    for n in 0..2 {
        let slow = (ServerId(n), 400);
        answer_queries(&mut harness, 10, 0, slow);
        assert!(answer_queries(&mut harness, 20, 0, slow) <= 2, "server {n}");
    }
}

/// The load that other routers publish takes precedence, while recent, over reports that lag behind.
#[test]
fn a_server_that_other_routers_load_gets_few_parts() {
    for (age, heavy) in [(0, 0), (5000, 20)] {
        let mut harness = with_part_times(settings(), 100);
        let peer_load = |server, in_flight_parts| Event::PeerLoad {
            server: ServerId(server),
            in_flight: in_flight_parts,
            age: ms(age),
        };
        let mut to_heavy = 0;
        for _ in 0..20 {
            harness.run_turn(vec![peer_load(0, 20.0), peer_load(1, 0.0)]);
            let (_, parts, actions) = harness.submit_query(0, &[(0, 1.0)]);
            let server = sends(&actions)[0].1;
            to_heavy += usize::from(server == ServerId(0));
            harness.now += 10;
            // The reports say the opposite: the loaded server reports idle, the other one busy.
            harness.end_attempt(
                parts[0],
                0,
                Outcome::Ok,
                if server == ServerId(0) { 0.0 } else { 30.0 },
            );
            let (_, parts, actions) = harness.submit_query(0, &[(0, 1.0)]);
            to_heavy += usize::from(sends(&actions)[0].1 == ServerId(0));
            harness.now += 10;
            harness.end_attempt(
                parts[0],
                0,
                Outcome::Ok,
                if sends(&actions)[0].1 == ServerId(0) {
                    0.0
                } else {
                    30.0
                },
            );
        }
        assert!(
            if heavy == 0 {
                to_heavy == 0
            } else {
                to_heavy >= heavy / 2
            },
            "age {age}: {to_heavy}"
        );
    }
}

/// A coordinator that is cut off from servers accumulates parts in flight, and so publishes a high load for them.
#[test]
fn load_that_other_routers_publish_ejects_no_server() {
    let mut harness = with_part_times(settings(), 50);
    let peer_load = |n| Event::PeerLoad {
        server: ServerId(n),
        in_flight: 8.0,
        age: ms(30),
    };
    harness.run_turn((0..4).map(peer_load).collect());
    for shard in 0..4 {
        let (id, _, actions) = harness.submit_query(0, &[(shard, 1.0)]);
        assert_eq!(
            (sends(&actions).len(), final_actions(&harness.actions, id)),
            (1, 0),
            "shard {shard}"
        );
    }
}
