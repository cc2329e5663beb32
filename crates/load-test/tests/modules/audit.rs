//! Each rule is broken once on purpose, in an otherwise clean ledger.

use fake_hosts::event_log::NO_COORDINATOR;
use fake_hosts::event_log::{AttemptEnd, AttemptRef, Event, EventKind, Phase};
use fake_hosts::model::Micros;
use load_test::audit::{audit, Evidence, Rule};
use load_test::clients::AttemptOutcome;
use load_test::plan::Plan;
use load_test::plan::{Planned, PlannedPart};
use load_test::query_timeline::query_timeline;
use load_test::record::CoordinatorEvent;
use load_test::record::{AttemptRecord, ProcessEvent, ProcessHistory, QueryRecord};
use load_test::scenario::{DialectName, RepeatName, Scenario};
use std::path::Path;

const S: Micros = 1_000_000;

/// A run in which one report of shards 0 and 1 (hosts 0 and 1) is served by coordinator 0.
struct World {
    scenario: Scenario,
    plan: Plan,
    queries: Vec<QueryRecord>,
    events: Vec<Event>,
    processes: ProcessHistory,
}

fn arrived(at: Micros, host: u16, attempt: u64, shard: u32) -> Event {
    let reference = Some(AttemptRef {
        query: 0,
        attempt: 0,
    });
    let kind = EventKind::Arrived {
        name: "q0".into(),
        shard,
        key: Some("k0".into()),
        reference,
    };
    Event {
        at,
        host,
        coordinator: 0,
        attempt,
        kind,
    }
}

fn ended(at: Micros, host: u16, attempt: u64, end: AttemptEnd) -> Event {
    Event {
        at,
        host,
        coordinator: 0,
        attempt,
        kind: EventKind::Ended(end),
    }
}

fn about(at: Micros, host: u16, coordinator: u16, kind: EventKind) -> Event {
    Event {
        at,
        host,
        coordinator,
        attempt: 0,
        kind,
    }
}

fn planned_part(shard: u32, weight: f64) -> PlannedPart {
    PlannedPart {
        shard,
        weight,
        work_us: 1000,
    }
}

impl World {
    fn new() -> Self {
        let text =
            "name = 'x'\nlength_s = 50\n[traffic]\n[[traffic.shape]]\nkind = 'steady'\nrate = 1\n";
        let scenario = Scenario::parse(text, Path::new("x.toml")).unwrap();
        let planned = Planned {
            at_us: 0,
            class: 1,
            tenant: 0,
            front: 0,
            zone: 0,
            key: 0,
            wait_us: 3 * S,
            retries: 0,
            backoff_us: 0,
            honours: false,
            parts: vec![planned_part(0, 0.75), planned_part(1, 0.25)],
        };
        let tried = AttemptRecord {
            query: 0,
            attempt: 0,
            coordinator: 0,
            sent: 10 * S,
            ended: 11 * S,
            wait_us: 3 * S,
            end: AttemptOutcome::Served(true),
            retry_after_us: None,
            shards: vec![0, 1],
            values: vec![1, 2],
            extra: false,
        };
        let record = QueryRecord {
            query: 0,
            due: 10 * S,
            started: 10 * S,
            first_sent: 10 * S,
            ended: 11 * S,
            tries: vec![tried],
        };
        let ms = S / 1000;
        let events = vec![
            arrived(10 * S + ms, 0, 1, 0),
            arrived(10 * S + ms, 1, 2, 1),
            ended(10 * S + 500 * ms, 0, 1, AttemptEnd::Served(1)),
            ended(10 * S + 600 * ms, 1, 2, AttemptEnd::Served(2)),
        ];
        let processes = ProcessHistory(vec![CoordinatorEvent {
            at: 0,
            coordinator: 0,
            event: ProcessEvent::Started,
        }]);
        Self {
            scenario,
            plan: Plan(vec![planned]),
            queries: vec![record],
            events,
            processes,
        }
    }

    fn tried(&mut self) -> &mut AttemptRecord {
        &mut self.queries[0].tries[0]
    }

    fn class(&mut self, class: u8) {
        self.plan.0[0].class = class;
    }

    fn evidence(&self) -> Evidence<'_> {
        let Self {
            scenario,
            plan,
            queries,
            events,
            processes,
        } = self;
        Evidence {
            scenario,
            plan,
            queries,
            events,
            processes,
        }
    }

    fn broken(&mut self) -> Vec<Rule> {
        self.events.sort_by_key(|e| e.at);
        audit(&self.evidence())
            .into_iter()
            .map(|v| v.rule)
            .collect()
    }
}

fn broken(spoil: impl FnOnce(&mut World)) -> Vec<Rule> {
    let mut w = World::new();
    spoil(&mut w);
    w.broken()
}

#[test]
fn no_violation_when_the_event_log_is_clean() {
    assert_eq!(broken(|_| {}), []);
}

#[test]
fn unanswered_query_is_lost_unless_its_coordinator_was_killed_or_stopped() {
    for end in [
        AttemptOutcome::Closed,
        AttemptOutcome::Cut,
        AttemptOutcome::GaveUp,
        AttemptOutcome::Unreadable,
    ] {
        assert_eq!(broken(|w| w.tried().end = end), [Rule::Lost], "{end:?}");
        for event in [ProcessEvent::Killed, ProcessEvent::Stopped] {
            let excused = broken(|w| {
                w.tried().end = end;
                w.processes.0.push(CoordinatorEvent {
                    at: 10 * S + 1,
                    coordinator: 0,
                    event,
                });
            });
            assert_eq!(excused, [], "{end:?} {event:?}");
        }
        // Another coordinator's death is no excuse.
        let other = broken(|w| {
            w.tried().end = end;
            w.processes.0.push(CoordinatorEvent {
                at: 10 * S + 1,
                coordinator: 1,
                event: ProcessEvent::Killed,
            });
        });
        assert_eq!(other, [Rule::Lost], "{end:?}");
    }
    assert_eq!(
        broken(|w| (w.tried().end, w.tried().sent) = (AttemptOutcome::Closed, 0)),
        [],
        "never sent"
    );
    assert_eq!(
        broken(|w| w.tried().end = AttemptOutcome::NoConnection),
        [],
        "nobody took it"
    );
}

#[test]
fn query_is_lost_when_its_answer_is_late() {
    assert_eq!(broken(|w| w.tried().ended = 13 * S + 60_000), []);
    assert_eq!(broken(|w| w.tried().ended = 13 * S + 80_000), [Rule::Lost]);
    let refused = broken(|w| (w.tried().end, w.tried().ended) = (AttemptOutcome::Refused, 14 * S));
    assert_eq!(refused, [Rule::Lost]);
}

#[test]
fn violation_when_a_second_answer_arrives() {
    assert_eq!(broken(|w| w.tried().extra = true), [Rule::Twice]);
}

/// A second attempt of shard 0 at host 4, which holds it as well.
fn again(w: &mut World, first: (Micros, AttemptEnd), second: Micros) {
    w.events[2] = ended(first.0, 0, 1, first.1);
    w.events.push(arrived(second, 4, 9, 0));
    w.events
        .push(ended(second + 1, 4, 9, AttemptEnd::Served(9)));
    w.tried().values = vec![9, 2];
    w.tried().ended = (second + S / 10).max(11 * S);
    w.tried().wait_us = 30 * S;
}

#[test]
fn overlap_is_found_only_when_attempts_are_open_at_once() {
    let out_until = 10 * S + 500_000;
    for end in [AttemptEnd::Withdrawn, AttemptEnd::Cut, AttemptEnd::Skipped] {
        assert_eq!(
            broken(|w| again(w, (out_until, end), out_until + 1)),
            [],
            "{end:?}"
        );
        assert_eq!(
            broken(|w| again(w, (out_until, end), out_until - 100_000)),
            [Rule::Overlap],
            "{end:?}"
        );
    }
    // One that never ends overlaps with all that follow.
    let never = broken(|w| {
        again(w, (out_until, AttemptEnd::Cut), out_until + 1);
        w.events.remove(2);
    });
    assert_eq!(never, [Rule::Overlap]);
    // A silent host can't hear a withdrawal.
    let silent = broken(|w| {
        again(w, (out_until, AttemptEnd::Cut), out_until + 1);
        w.events[2] = about(out_until - 1, 0, NO_COORDINATOR, EventKind::ProcessEnded);
    });
    assert_eq!(silent, []);
}

#[test]
fn violation_when_attempts_exceed_the_cap_or_the_key_window() {
    let four = broken(|w| {
        for n in 0..3u64 {
            let at = 10 * S + 700_000 + n * 1000;
            w.events.push(arrived(at, 4, 20 + n, 0));
            w.events.push(ended(at + 1, 4, 20 + n, AttemptEnd::Skipped));
        }
    });
    assert_eq!(four, [Rule::Attempts]);
    let cut = (10 * S + 100_000, AttemptEnd::Cut);
    let keyed = |second| {
        broken(|w| {
            w.class(2);
            again(w, cut, second);
        })
    };
    assert_eq!(keyed(11 * S), []);
    assert_eq!(keyed(12 * S + 100_000), [Rule::Attempts]);
    // One that never ran starts no window.
    let skipped = broken(|w| {
        w.class(2);
        again(w, (10 * S + 100_000, AttemptEnd::Skipped), 13 * S);
    });
    assert_eq!(skipped, []);
    let risky = |end| {
        broken(|w| {
            w.scenario.classes[2].repeat = RepeatName::Unsafe;
            w.class(2);
            again(w, (10 * S + 100_000, end), 10 * S + 200_000);
        })
    };
    assert_eq!(risky(AttemptEnd::Cut), [Rule::Attempts]);
    assert_eq!(risky(AttemptEnd::Skipped), []);
}

#[test]
fn violation_when_a_part_arrives_two_seconds_after_a_drain_was_announced() {
    for phase in [Phase::Terminating, Phase::Gone] {
        let told = |at| {
            broken(|w| {
                w.events
                    .push(about(at, 0, 0, EventKind::ListUpdateSent(phase)));
            })
        };
        assert_eq!(told(9 * S), [], "within the grace");
        assert_eq!(told(7 * S), [Rule::Drain]);
        assert_eq!(
            broken(|w| w
                .events
                .push(about(7 * S, 0, 1, EventKind::ListUpdateSent(phase)))),
            [],
            "another was told"
        );
        let back = broken(|w| {
            w.events
                .push(about(6 * S, 0, 0, EventKind::ListUpdateSent(phase)));
            w.events
                .push(about(8 * S, 0, 0, EventKind::ListUpdateSent(Phase::Ready)));
        });
        assert_eq!(back, [], "it is back");
        let anew = broken(|w| {
            w.events
                .push(about(6 * S, 0, 0, EventKind::ListUpdateSent(phase)));
            w.processes.0.push(CoordinatorEvent {
                at: 8 * S,
                coordinator: 0,
                event: ProcessEvent::Started,
            });
        });
        assert_eq!(anew, [], "this process was never told");
        let still = broken(|w| {
            w.events
                .push(about(7 * S, 0, 0, EventKind::ListUpdateSent(phase)));
            w.processes.0.push(CoordinatorEvent {
                at: 6 * S,
                coordinator: 0,
                event: ProcessEvent::Stopped,
            });
            w.processes.0.push(CoordinatorEvent {
                at: 9 * S,
                coordinator: 0,
                event: ProcessEvent::Continued,
            });
        });
        assert_eq!(still, [], "it stood still when it was told");
    }
    // Draining, then gone: the first word counts.
    let both = broken(|w| {
        w.events.push(about(
            7 * S,
            0,
            0,
            EventKind::ListUpdateSent(Phase::Terminating),
        ));
        w.events
            .push(about(9 * S, 0, 0, EventKind::ListUpdateSent(Phase::Gone)));
    });
    assert_eq!(both, [Rule::Drain]);
}

#[test]
fn violation_when_a_cold_host_falls_over_by_coordinators_that_knew() {
    let fell = |up, told: Option<Micros>| {
        broken(|w| {
            w.events
                .push(about(up, 0, NO_COORDINATOR, EventKind::ProcessStarted));
            told.into_iter().for_each(|at| {
                w.events
                    .push(about(at, 0, 0, EventKind::ListUpdateSent(Phase::Ready)));
            });
            w.events
                .push(about(10 * S + 2000, 0, NO_COORDINATOR, EventKind::FellOver));
        })
    };
    assert_eq!(fell(8 * S, Some(9 * S)), [Rule::Cold]);
    assert_eq!(fell(8 * S, None), [], "nobody had been told");
    assert_eq!(fell(3 * S, None), [Rule::Cold], "by now it counts as told");
}

#[test]
fn violation_when_an_answer_claims_too_much() {
    let say = |shards: &[u32], values: &[u64], full| {
        broken(|w| {
            w.tried().shards = shards.to_vec();
            w.tried().values = values.to_vec();
            w.tried().end = AttemptOutcome::Served(full);
        })
    };
    assert_eq!(say(&[0], &[1], false), [], "0.75 is above the floor of 0.7");
    assert_eq!(say(&[1], &[2], false), [Rule::Honest], "0.25 is not");
    assert_eq!(
        say(&[0], &[1], true),
        [Rule::Honest],
        "marked whole and is not"
    );
    assert_eq!(
        say(&[0, 0, 1], &[1, 2], true),
        [Rule::Honest],
        "a part twice"
    );
    assert_eq!(
        say(&[0, 1, 2], &[1, 2], true),
        [Rule::Honest],
        "a part nobody wanted"
    );
    assert_eq!(
        say(&[0, 1], &[1, 77], true),
        [Rule::Honest],
        "a value of no host"
    );
    let late = broken(|w| w.events[3] = ended(12 * S, 1, 2, AttemptEnd::Served(2)));
    assert_eq!(
        late,
        [Rule::Honest],
        "said to be in before its host had given it"
    );
    let other = broken(|w| {
        w.scenario.classes[1].repeat = RepeatName::Unsafe;
        w.tried().end = AttemptOutcome::Refused;
    });
    assert_eq!(other, [Rule::Honest], "refused though it ran");
}

#[test]
fn violation_when_a_part_is_unplanned_or_at_the_wrong_host() {
    assert_eq!(
        broken(|w| w.events.push(arrived(10 * S, 2, 30, 2))),
        [Rule::Stray]
    );
    let wrong = broken(|w| {
        w.events[1].host = 2;
        w.events[3].host = 2;
    });
    assert_eq!(wrong, [Rule::Stray]);
    let unmarked = broken(|w| {
        let kind = EventKind::Arrived {
            name: "x".into(),
            shard: 0,
            key: None,
            reference: None,
        };
        w.events.push(Event {
            at: S,
            host: 0,
            coordinator: 0,
            attempt: 31,
            kind,
        });
    });
    assert_eq!(unmarked, [Rule::Stray]);
}

#[test]
fn parts_are_told_apart_by_the_mark_when_the_dialect_is_http() {
    // Two queries in one call: the second one's part bears the first one's name.
    let two = |dialect| {
        broken(|w| {
            w.scenario.fleet.dialect = dialect;
            let q = w.plan.0[0].clone();
            w.plan.0.push(q);
            let mut other = arrived(10 * S + 2000, 4, 9, 0);
            if let EventKind::Arrived { reference, .. } = &mut other.kind {
                *reference = Some(AttemptRef {
                    query: 1,
                    attempt: 0,
                });
            }
            w.events.push(other);
            w.events
                .push(ended(10 * S + 9000, 4, 9, AttemptEnd::Served(9)));
        })
    };
    assert_eq!(two(DialectName::OpenSearch), []);
    assert_eq!(two(DialectName::Frames), [Rule::Overlap]);
}

#[test]
fn timeline_is_in_order_when_a_query_has_several_events() {
    let mut w = World::new();
    w.events.push(about(
        10 * S + 2,
        0,
        0,
        EventKind::ListUpdateSent(Phase::Terminating),
    ));
    w.events.sort_by_key(|e| e.at);
    let timeline = query_timeline(&w.evidence(), 0);
    let at = |words: &str| {
        timeline
            .find(words)
            .unwrap_or_else(|| panic!("no '{words}' in\n{timeline}"))
    };
    let order = [
        at("due: fleet-report"),
        at("was told: host 0 Terminating"),
        at("host 0: part q0.0 came from coordinator 0"),
        at("host 0: part q0.0 Served"),
        at("try 0 ended: served"),
    ];
    assert!(order.is_sorted(), "{timeline}");
}
