//! Slow start of servers that warm up.

use crate::harness::*;
use coordinator::*;

#[test]
fn routers_together_do_not_overload_a_warming_server() {
    let slow_start = SlowStart {
        initial_share: 0.16,
        ramp: ms(16000),
        overload_factor: 2.5,
        overload_time: ms(1000),
    };
    let router_settings = RouterSettings {
        routers: 4,
        slow_start: Some(slow_start),
        ..settings()
    };
    let (mut total, mut later) = (0, 0);
    for _ in 0..4 {
        let mut harness = Harness::new(router_settings.clone());
        harness.now = 5000;
        harness.run_turn(vec![entry_changed(0, ServerState::Ready, Some(ms(4900)))]);
        let mut in_flight: Vec<(u64, RequestId, u32)> = Vec::new();
        let mut attempts_by_part = std::collections::BTreeMap::new();
        while harness.now < 14_000 {
            harness.now += 10;
            let (_, _, actions) = harness.submit_query(0, &[(0, 1.0)]);
            for (part, server) in sends(&actions) {
                *if harness.now < 6000 {
                    &mut total
                } else {
                    &mut later
                } += u32::from(server == ServerId(0));
                let n = attempts_by_part.entry(part).or_insert(0);
                in_flight.push((harness.now, part, *n));
                *n += 1;
            }
            // A warm server answers after 20 ms and reports that it is idle.
            let due: Vec<_> = in_flight
                .iter()
                .filter(|o| o.0 + 20 <= harness.now)
                .copied()
                .collect();
            in_flight.retain(|o| o.0 + 20 > harness.now);
            for (_, part, n) in due {
                let actions_after_answer = harness.end_attempt(part, n, Outcome::Ok, 0.0);
                let hits = sends(&actions_after_answer)
                    .iter()
                    .filter(|send| send.1 == ServerId(0))
                    .count() as u32;
                *if harness.now < 6000 {
                    &mut total
                } else {
                    &mut later
                } += hits;
            }
        }
    }
    // One processor at 16% serves 8 parts of 20 ms per second; 2.5 times that is 20 in the window.
    assert!(total + later > 0, "it must get some work");
    assert!(total <= 20, "{total} parts in a second");
}

/// Sixty routers learn of a start at about the same time. Guards against all of them sending a part immediately.
#[test]
fn many_routers_do_not_all_send_at_once_to_a_warming_server() {
    let slow_start = SlowStart {
        initial_share: 0.16,
        ramp: ms(18000),
        overload_factor: 2.5,
        overload_time: ms(1000),
    };
    let mut total = 0;
    for seed in 0..60 {
        let mut harness = Harness::new(RouterSettings {
            slow_start: Some(slow_start),
            routers: 60,
            ..settings()
        });
        harness.router = Router::new(
            RouterSettings {
                slow_start: Some(slow_start),
                routers: 60,
                ..settings()
            },
            seed,
        );
        harness.run_turn(vec![Event::ServerList {
            kind: ListKind::Full,
            entries: (0..4).map(server_entry).collect(),
        }]);
        answer_queries(&mut harness, 12, 0, (ServerId(9), 0));
        harness.run_until(harness.now + 9000);
        harness.run_turn(vec![entry_changed(0, ServerState::Gone, None)]);
        harness.run_turn(vec![entry_changed(
            0,
            ServerState::Ready,
            Some(ms(harness.now)),
        )]);
        let actions_before = harness.actions.len();
        answer_queries(&mut harness, 2, 0, (ServerId(9), 0));
        total += sends(&harness.actions[actions_before..])
            .iter()
            .filter(|send| send.1 == ServerId(0))
            .count();
    }
    // One processor at 16% serves 3.2 parts of 50 ms per second, and withstands 2.5 times that.
    assert!(total <= 8, "{total} parts at once");
}

/// Only a start that the list reports begins a slow start. Guards against a short silence of all servers after which
/// most of them count as warming up, and are hardly used for the whole ramp.
#[test]
fn neither_silence_nor_broken_connections_begin_a_slow_start() {
    let slow_start = SlowStart {
        initial_share: 0.16,
        ramp: ms(16000),
        overload_factor: 2.5,
        overload_time: ms(1000),
    };
    for (outcome, start_reported) in [
        (Outcome::Timeout, false),
        (Outcome::Reset, false),
        (Outcome::Reset, true),
    ] {
        let mut harness = Harness::new(RouterSettings {
            slow_start: Some(slow_start),
            ..settings()
        });
        let (_, parts, actions) = harness.submit_query(0, &[(0, 1.0)]);
        let server = sends(&actions)[0].1;
        let other = if server.0 == 0 { 1 } else { 0 };
        harness.run_turn(vec![entry_changed(other, ServerState::Draining, None)]);
        harness.run_until(harness.now + 2000);
        harness.end_attempt(parts[0], 0, outcome, 0.0);
        harness.end_attempt(parts[0], 1, outcome, 0.0);
        harness.end_attempt(parts[0], 2, outcome, 0.0);
        harness.run_until(harness.now + 9000);
        if start_reported {
            harness.run_turn(vec![entry_changed(
                server.0,
                ServerState::Ready,
                Some(ms(harness.now)),
            )]);
        }
        for _ in 0..ANSWERS_TO_CLEAR {
            let (_, parts, actions) = harness.submit_query(0, &[(0, 1.0)]);
            if !sends(&actions).is_empty() {
                harness.run_until(harness.now + 20);
                harness.end_attempt(parts[0], 0, Outcome::Ok, 0.0);
            }
            harness.run_until(harness.now + 400);
        }
        let actions_before = harness.actions.len();
        for _ in 0..12 {
            harness.submit_query(0, &[(0, 1.0)]);
        }
        assert_eq!(
            sends(&harness.actions[actions_before..]).len() > 6,
            !start_reported,
            "{outcome:?}, start reported: {start_reported}"
        );
    }
}
