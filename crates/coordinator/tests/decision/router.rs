//! The router as a whole: unusual events, determinism, wake-ups.

use crate::harness::*;
use coordinator::*;
use std::time::Duration;

#[test]
fn unusual_but_valid_events_are_ignored() {
    let mut harness = Harness::new(RouterSettings {
        shard_layout: ShardLayout {
            cells: 4,
            cells_per_shard: 9,
        },
        ..settings()
    });
    let unknown_query = RequestId(77);
    harness.run_turn(vec![
        Event::ClientLeft {
            query: unknown_query,
        },
        Event::Part {
            id: RequestId(78),
            query: unknown_query,
            shard: 400,
            weight: 1.0,
        },
        Event::AttemptEnded {
            part: unknown_query,
            attempt: 5,
            outcome: Outcome::Ok,
            latency: ms(1),
            closed: true,
            report: None,
        },
        Event::ProbeEnded {
            server: ServerId(99),
            outcome: Outcome::Ok,
            report: None,
        },
        Event::ServerList {
            kind: ListKind::Full,
            entries: vec![server_entry(1), server_entry(1)],
        },
        Event::ServerList {
            kind: ListKind::Changes,
            entries: vec![ServerEntry {
                cell: 50,
                ..server_entry(9)
            }],
        },
    ]);
    let (id, parts, _) = harness.submit_query(0, &[(0, 1.0)]);
    harness.run_turn(vec![Event::ClientLeft { query: id }]);
    assert!(harness
        .end_attempt(parts[0], 0, Outcome::Ok, 0.0)
        .is_empty());
    harness.run_turn(vec![Event::ServerList {
        kind: ListKind::Full,
        entries: vec![],
    }]);
    let (id, _, _) = harness.submit_query(0, &[(0, 1.0)]);
    assert_eq!(final_actions(&harness.actions, id), 1);
}

#[test]
fn the_same_events_give_the_same_actions_alone_or_interleaved() {
    let run_queries = |with_other_router: bool| {
        let mut harness = Harness::new(settings());
        let mut other_router = Harness::new(settings());
        for n in 0..40 {
            let (_, parts, _) = harness.submit_query(0, &[(n % 4, 0.5), ((n + 1) % 4, 0.5)]);
            if with_other_router {
                other_router.submit_query(0, &[(n % 3, 1.0)]);
                other_router.run_until(other_router.now + 30);
            }
            harness.now += 30;
            harness.end_attempt(
                parts[0],
                0,
                if n % 7 == 0 {
                    Outcome::Error
                } else {
                    Outcome::Ok
                },
                f64::from(n % 3),
            );
            harness.run_until(harness.now + 20);
        }
        harness.actions
    };
    assert_eq!(run_queries(false), run_queries(true));
}

/// Guards against a chain of wake-ups that ends when rounding delivers one of them early.
#[test]
fn wake_ups_continue_at_any_clock_value() {
    for origin in [285_148_026_422u64, 410_944_781_445, 1_000_003] {
        let mut harness = Harness::new(settings());
        let mut actions = Vec::new();
        let mut now = origin;
        let id = RequestId(0);
        let at = Duration::from_micros;
        let deadline = at(now + 3_000_000);
        harness.router.handle(
            at(now),
            Event::Query {
                id,
                class: ClassId(0),
                tenant: None,
                arrived_at: None,
                deadline,
                is_retry: None,
            },
            &mut actions,
        );
        harness.router.handle(
            at(now),
            Event::Part {
                id: RequestId(1),
                query: id,
                shard: 0,
                weight: 1.0,
            },
            &mut actions,
        );
        harness
            .router
            .handle(at(now), Event::TurnEnded, &mut actions);
        let mut due = std::collections::BTreeSet::new();
        let mut seen = 0;
        while final_actions(&actions, id) == 0 {
            for a in &actions[seen..] {
                if let Action::Wake { after } = a {
                    due.insert(now + after.as_micros() as u64);
                }
            }
            seen = actions.len();
            now = due
                .pop_first()
                .expect("a wake-up is due while a query is open");
            harness.router.handle(at(now), Event::Wake, &mut actions);
            harness
                .router
                .handle(at(now), Event::TurnEnded, &mut actions);
        }
        assert!(at(now) < deadline);
    }
}
