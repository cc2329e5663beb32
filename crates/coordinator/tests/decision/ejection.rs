//! Outlier ejection, probes, and the return of ejected servers.

use crate::harness::*;
use coordinator::*;

#[test]
fn a_server_that_fails_quickly_and_reports_idle_gets_no_more_parts() {
    let mut harness = Harness::new(settings());
    let failing_server = ServerId(0);
    harness.end_parts_at(failing_server, Outcome::Error, 2);
    let actions_before = harness.actions.len();
    for _ in 0..20 {
        harness.submit_query(0, &[(0, 1.0)]);
        harness.now += 20;
    }
    assert!(sends(&harness.actions[actions_before..])
        .iter()
        .all(|s| s.1 != failing_server));
}

/// A single failure may be chance, and so may several at the same time, as on one broken connection. Guards against
/// ejecting a healthy server for a second after each error, which left some of twelve servers always ejected.
#[test]
fn a_single_failure_ejects_no_server() {
    for outcome in [Outcome::Error, Outcome::Reset] {
        let mut harness = Harness::new(settings());
        harness.end_parts_at(ServerId(0), outcome, 1);
        harness.end_parts_at(ServerId(0), Outcome::Ok, 2);
        let (_, parts, actions) = harness.submit_query(0, &[(0, 0.5), (3, 0.5)]);
        assert!(sends(&actions).iter().any(|s| s.1 == ServerId(0)));
        harness.now += 10;
        parts
            .iter()
            .for_each(|p| drop(harness.end_attempt(*p, 0, outcome, 0.0)));
        harness.end_parts_at(ServerId(0), Outcome::Ok, 1);
    }
}

/// Four of twelve hosts reset every fourth connection and served the rest in 10 ms; ejecting them overloaded the
/// others. A server that resets all connections is ejected.
#[test]
fn a_server_that_answers_between_resets_is_not_ejected() {
    for (answers, is_probed) in [(1, false), (0, true)] {
        let mut harness = Harness::new(RouterSettings {
            probes: true,
            ..settings()
        });
        let server = ServerId(0);
        for _ in 0..4 {
            // Its entries in the idle queue expire, so that it counts as idle whatever the others reported.
            harness.now += 2100;
            harness.end_parts_at(server, Outcome::Reset, 1);
            (0..answers).for_each(|_| drop(harness.end_parts_at(server, Outcome::Ok, 1)));
        }
        harness.run_until(harness.now + 1100);
        // An ejected server is probed before its next part.
        assert_eq!(
            harness.actions.contains(&Action::Probe { server }),
            is_probed,
            "{answers} answers between resets"
        );
    }
}

/// Half of the hosts never answered one class and served the others. The failure share over all classes does not show
/// that.
#[test]
fn a_server_that_never_answers_one_class_is_ejected_for_that_class() {
    let two_classes = vec![class(), class()];
    let mut harness = Harness::new(RouterSettings {
        classes: two_classes,
        hedging: false,
        ..settings()
    });
    let (_, parts, actions) = harness.submit_query(0, &[(0, 1.0)]);
    let failing = sends(&actions)[0].1;
    harness.end_attempt(parts[0], 0, Outcome::Ok, 0.0);
    let (mut unanswered, mut served) = (0, 0);
    for n in 0..200 {
        let (_, parts, actions) = harness.submit_query(n % 2, &[(0, 1.0)]);
        for (part, server) in sends(&actions) {
            let hangs = server == failing && n % 2 == 0;
            harness.now += 10;
            let load = if server == failing { 0.0 } else { 5.0 };
            harness.end_attempt(
                part,
                0,
                if hangs { Outcome::Timeout } else { Outcome::Ok },
                load,
            );
            harness.end_attempt(parts[0], 1, Outcome::Ok, 5.0);
            unanswered += usize::from(hangs);
            served += usize::from(server == failing && !hangs);
        }
    }
    assert!(
        unanswered <= 12 && served >= 20,
        "{unanswered} unanswered, {served} served"
    );
}

/// The query is rejected without an attempt. Queries are admitted again once the servers are due for a probe.
#[test]
fn a_query_whose_servers_all_refuse_connections_is_rejected_at_once() {
    let mut harness = Harness::new(settings());
    for dead in [0, 1] {
        // A server that has just answered is running, and the failure would be attributed to the connection.
        harness.run_until(harness.now + 420);
        harness.end_parts_at(ServerId(dead), Outcome::ConnectFailed, 1);
    }
    let (id, _, actions) = harness.submit_query(0, &[(0, 1.0)]);
    assert!(sends(&actions).is_empty() && final_actions(&actions, id) == 1);
    harness.run_until(harness.now + 600);
    assert_eq!(sends(&harness.submit_query(0, &[(0, 1.0)]).2).len(), 1);
}

/// The probes of all routers add up at a server, so each probes less often.
#[test]
fn a_failing_server_is_probed_less_often_in_a_large_fleet() {
    let count_probes = |routers| {
        let mut harness = Harness::new(RouterSettings {
            routers,
            hedging: false,
            ..settings()
        });
        harness.end_parts_at(ServerId(0), Outcome::Error, 2);
        let sends_before = harness.sends_to(ServerId(0));
        for _ in 0..200 {
            let (_, parts, actions) = harness.submit_query(0, &[(0, 1.0)]);
            let failing = sends(&actions)[0].1 == ServerId(0);
            harness.end_attempt(
                parts[0],
                0,
                if failing { Outcome::Error } else { Outcome::Ok },
                0.0,
            );
            harness.end_attempt(parts[0], 1, Outcome::Ok, 0.0);
            harness.run_until(harness.now + 100);
        }
        harness.sends_to(ServerId(0)) - sends_before
    };
    let (few, many) = (count_probes(2), count_probes(100));
    assert!(
        many >= 1 && 2 * many <= few,
        "{few} probes among two routers, {many} among a hundred"
    );
}

#[test]
fn servers_in_panic_mode_get_few_parts() {
    let mut harness = Harness::new(settings());
    for n in 0..2 {
        let (_, parts, _) = harness.submit_query(0, &[(0, 1.0)]);
        harness.now += 5;
        harness.end_attempt(parts[0], 0, Outcome::Error, 0.0);
        harness.end_attempt(parts[0], 1, Outcome::Error, 0.0);
        assert!(n < 2);
    }
    let actions_before = harness.actions.len();
    for _ in 0..30 {
        harness.submit_query(0, &[(0, 1.0)]);
    }
    let sent = sends(&harness.actions[actions_before..]).len();
    assert!(
        (1..=4).contains(&sent),
        "{sent} sends to two ejected servers"
    );
}

/// The server is still tried again after each ejection.
#[test]
fn each_relapse_makes_the_ejection_longer() {
    let mut harness = Harness::new(settings());
    let failing_server = ServerId(0);
    harness.end_parts_at(failing_server, Outcome::Error, 2);
    let (mut send_intervals, mut last_sent_at) = (Vec::new(), harness.now);
    while send_intervals.len() < 4 && harness.now < 60_000 {
        let (_, parts, actions) = harness.submit_query(0, &[(0, 1.0)]);
        let failing = sends(&actions)[0].1 == failing_server;
        harness.end_attempt(
            parts[0],
            0,
            if failing { Outcome::Error } else { Outcome::Ok },
            0.0,
        );
        if failing {
            send_intervals.push(harness.now - std::mem::replace(&mut last_sent_at, harness.now));
            harness.end_attempt(parts[0], 1, Outcome::Ok, 0.0);
        }
        harness.run_until(harness.now + 100);
    }
    assert_eq!(send_intervals.len(), 4, "it is still tried again");
    assert!(
        send_intervals[2] > 2 * send_intervals[0],
        "{send_intervals:?}"
    );
}

/// A part counts as lost once its server is ejected, and one good answer clears a first ejection. Guards against a part
/// that stays in flight until its client leaves and so keeps its server from being probed.
#[test]
fn a_lost_part_does_not_keep_its_server_from_being_probed() {
    let mut harness = Harness::new(settings());
    answer_queries(&mut harness, 20, 2, (ServerId(9), 0));
    let (_, _, actions) = harness.submit_query(0, &[(0, 1.0)]);
    let silent = sends(&actions)[0].1;
    harness.run_until(harness.now + 2200);
    assert!(
        answer_queries(&mut harness, 4, 0, (silent, 50)) >= 1,
        "it is tried while its first part is still in flight"
    );
    harness.run_turn(vec![entry_changed(
        1 - silent.0,
        ServerState::Draining,
        None,
    )]);
    assert_eq!(
        answer_queries(&mut harness, 6, 0, (silent, 50)),
        6,
        "it is cleared"
    );
}

/// Answers may be lost while probes succeed, so only answered parts clear a server.
#[test]
fn a_good_probe_alone_clears_no_server() {
    let mut harness = Harness::new(RouterSettings {
        probes: true,
        ..settings()
    });
    let server = ServerId(0);
    for _ in 0..4 {
        harness.now += 2100;
        harness.end_parts_at(server, Outcome::Reset, 1);
    }
    let later_actions = harness.run_until(harness.now + 1100);
    assert!(later_actions.contains(&Action::Probe { server }));
    harness.run_turn(vec![Event::ProbeEnded {
        server,
        outcome: Outcome::Ok,
        report: None,
    }]);
    let actions_before = harness.actions.len();
    for _ in 0..6 {
        harness.submit_query(0, &[(0, 1.0)]);
    }
    let sends_to_server = sends(&harness.actions[actions_before..])
        .iter()
        .filter(|s| s.1 == server)
        .count();
    assert_eq!(sends_to_server, 1, "one part at a time until it answers");
}

/// Guards against counting each failed probe as a relapse: after a partition hosts were then probed every 4 s and needed
/// five good answers. Parts lost in the partition must not keep the first part from being sent either.
#[test]
fn a_server_after_a_long_partition_is_cleared_by_its_first_answer() {
    let mut harness = Harness::new(RouterSettings {
        probes: true,
        ..settings()
    });
    let (server, mut probe_times) = (ServerId(0), Vec::new());
    harness.end_parts_at(server, Outcome::ConnectFailed, 1);
    while probe_times.len() < 8 {
        let later_actions = harness.run_until(harness.now + 10);
        if later_actions.contains(&Action::Probe { server }) {
            probe_times.push(harness.now);
            harness.run_turn(vec![Event::ProbeEnded {
                server,
                outcome: Outcome::Timeout,
                report: None,
            }]);
        }
    }
    assert!(
        probe_times.windows(2).all(|w| w[1] - w[0] <= 750),
        "probed at {probe_times:?}"
    );
    // Meanwhile, in panic mode, it is sent a part that is never answered.
    (1..4)
        .for_each(|n| drop(harness.run_turn(vec![entry_changed(n, ServerState::Draining, None)])));
    harness.now += 2100;
    let (_, _, panic_actions) = harness.submit_query(0, &[(0, 1.0)]);
    assert!(sends(&panic_actions).iter().any(|s| s.1 == server));
    assert!(panic_actions.contains(&Action::Probe { server }));
    harness.run_turn(vec![Event::ProbeEnded {
        server,
        outcome: Outcome::Ok,
        report: None,
    }]);
    (1..4).for_each(|n| drop(harness.run_turn(vec![entry_changed(n, ServerState::Ready, None)])));
    harness.now += 600;
    let (_, parts, actions) = harness.submit_query(0, &[(0, 1.0)]);
    assert!(
        sends(&actions).iter().any(|s| s.1 == server),
        "a part as probe"
    );
    harness.now += 50;
    harness.answer_part(parts[0], 0, 50);
    harness.now += 10;
    assert!(!harness
        .run_until(harness.now + 1000)
        .contains(&Action::Probe { server }));
    let sends_to_server = (0..6)
        .map(|_| harness.submit_query(0, &[(0, 1.0)]).2)
        .filter(|o| sends(o).iter().any(|s| s.1 == server));
    assert!(sends_to_server.count() > 1, "cleared by the first answer");
}
