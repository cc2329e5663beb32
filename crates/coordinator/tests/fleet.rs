//! Simulation of many routers that share modelled servers: rules that each router follows alone must hold for the sum.
#![allow(
    clippy::too_many_lines,
    reason = "long scenarios, to be split: docs/ROADMAP.md"
)]

use coordinator::*;
use std::collections::BTreeMap;
use std::time::Duration;

const ROUTERS: u32 = 100;
/// Service time of one part at a server that is not overloaded, in milliseconds.
const PART_MS: u64 = 20;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn settings() -> RouterSettings {
    let class = QueryClass {
        latency_target: ms(600),
        client_timeout: ms(1700),
        late_value: 0.0,
        value: 1.0,
        idempotency: Idempotency::Idempotent,
        complete_share: 1.0,
        min_share: 1.0,
        partial_value: 0.9,
        second_step_parts: 0,
    };
    RouterSettings {
        classes: vec![class],
        value_by_work: false,
        tenants: vec![],
        routers: ROUTERS,
        zone: None,
        cross_zone_cost: false,
        shard_layout: ShardLayout {
            cells: 4,
            cells_per_shard: 1,
        },
        max_parts_per_call: 8,
        call_overhead: ms(7),
        max_attempts: 3,
        hedging: false,
        cancellation: true,
        probes: true,
        max_retry_after: Some(ms(1000)),
        retry_budget: None,
        slow_start: Some(SlowStart {
            initial_share: 0.2,
            ramp: ms(14_000),
            overload_factor: 2.0,
            overload_time: ms(1000),
        }),
        subscribe_within: None,
        drain_grace: ms(2000),
        min_turn_interval: ms(1),
    }
}

fn entry(server: u32, state: ServerState, boot: Option<u64>) -> ServerEntry {
    ServerEntry {
        server: ServerId(server),
        zone: ZoneId(0),
        cell: server % 4,
        state,
        started_at: boot.map(ms),
    }
}

/// The scheduled end of an attempt.
#[derive(Clone, Copy)]
struct End {
    who: usize,
    part: RequestId,
    attempt: u32,
    server: u32,
    outcome: Outcome,
    latency: u64,
}

/// A fleet of routers with 12 servers, three for each cell. Each test decides how servers answer.
struct Fleet {
    routers: Vec<Router>,
    now: u64,
    next: u64,
    /// Scheduled ends of attempts, by time in milliseconds.
    scheduled_ends: BTreeMap<u64, Vec<End>>,
    /// Number of parts in flight at each server.
    parts_at_server: [u32; 12],
    attempts: BTreeMap<(usize, RequestId), u32>,
    /// Time in milliseconds and server of each send.
    sent: Vec<(u64, u32)>,
    answers: BTreeMap<&'static str, usize>,
}

impl Fleet {
    fn new() -> Self {
        let routers = (0..ROUTERS)
            .map(|n| Router::new(settings(), u64::from(n) + 1))
            .collect();
        let mut fleet = Self {
            routers,
            now: 0,
            next: 0,
            scheduled_ends: BTreeMap::new(),
            parts_at_server: [0; 12],
            attempts: BTreeMap::new(),
            sent: vec![],
            answers: BTreeMap::new(),
        };
        fleet.list(
            ListKind::Full,
            (0..12)
                .map(|s| entry(s, ServerState::Ready, None))
                .collect(),
        );
        fleet
    }

    fn list(&mut self, kind: ListKind, entries: Vec<ServerEntry>) {
        for router in &mut self.routers {
            router.handle(
                ms(self.now),
                Event::ServerList {
                    kind,
                    entries: entries.clone(),
                },
                &mut vec![],
            );
        }
    }

    /// Simulates `span` milliseconds, in which each router gets a query of one part about every `gap` ms, with the
    /// shards in turn. `answer` returns the outcome of a part at a server, and its latency in milliseconds.
    fn simulate(
        &mut self,
        span: u64,
        gap: u64,
        mut answer: impl FnMut(u64, u32) -> (Outcome, u64),
    ) {
        for _ in 0..span {
            self.now += 1;
            let ended = self.scheduled_ends.remove(&self.now).unwrap_or_default();
            for end in &ended {
                self.parts_at_server[end.server as usize] -= 1;
            }
            for who in 0..self.routers.len() {
                let told = |e: &End| LoadReport {
                    in_flight: Some(f64::from(self.parts_at_server[e.server as usize])),
                    ..LoadReport::default()
                };
                let event = |e: &End| Event::AttemptEnded {
                    part: e.part,
                    attempt: e.attempt,
                    outcome: e.outcome,
                    latency: ms(e.latency),
                    closed: e.outcome == Outcome::Ok,
                    report: (e.outcome == Outcome::Ok).then(|| told(e)),
                };
                let mut events: Vec<Event> =
                    ended.iter().filter(|e| e.who == who).map(event).collect();
                if (self.now + 37 * who as u64).is_multiple_of(gap) {
                    let (id, part) = (RequestId(self.next), RequestId(self.next + 1));
                    let shard = (self.next.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) as u32 % 4;
                    self.next += 2;
                    let deadline = ms(self.now + 1700);
                    let (class, tenant, repeat) = (ClassId(0), None, None);
                    events.push(Event::Query {
                        id,
                        class,
                        tenant,
                        arrived_at: None,
                        deadline,
                        is_retry: repeat,
                    });
                    events.push(Event::Part {
                        id: part,
                        query: id,
                        shard,
                        weight: 1.0,
                    });
                }
                if events.is_empty() && !self.now.is_multiple_of(10) {
                    continue;
                }
                let mut out = vec![];
                for event in events.into_iter().chain([Event::Wake, Event::TurnEnded]) {
                    self.routers[who].handle(ms(self.now), event, &mut out);
                }
                for action in out {
                    match action {
                        Action::Send { part, server, .. } => {
                            self.sent.push((self.now, server.0));
                            let n = self.attempts.entry((who, part)).or_insert(0);
                            let (outcome, mut latency) = answer(self.now, server.0);
                            let parts_at_server = &mut self.parts_at_server[server.0 as usize];
                            latency += if outcome == Outcome::Ok {
                                5 * u64::from(*parts_at_server)
                            } else {
                                0
                            };
                            *parts_at_server += 1;
                            let (attempt, server) = (*n, server.0);
                            *n += 1;
                            let end = End {
                                who,
                                part,
                                attempt,
                                server,
                                outcome,
                                latency,
                            };
                            self.scheduled_ends
                                .entry(self.now + latency)
                                .or_default()
                                .push(end);
                        }
                        Action::Answer { .. } => *self.answers.entry("answered").or_default() += 1,
                        Action::Reject { .. } => *self.answers.entry("refused").or_default() += 1,
                        Action::Fail { .. } => *self.answers.entry("failed").or_default() += 1,
                        _ => {}
                    }
                }
            }
        }
    }

    fn sent_to(&self, server: u32, from: u64, until: u64) -> usize {
        self.sent
            .iter()
            .filter(|(t, s)| *s == server && (from..until).contains(t))
            .count()
    }
}

/// A hundred routers use a host that has just restarted: their sum stays below the slow-start limit in every window,
/// and the host is still used. Guards against routers that lose their share whenever no part arrives in a step: warming
/// hosts then ran at a third of their capacity while warm ones were full.
#[test]
fn a_warming_host_is_neither_overloaded_nor_left_idle() {
    let mut fleet = Fleet::new();
    let quick = |_, _| (Outcome::Ok, PART_MS);
    // 600 parts per second on 12 servers: 50 for each, half of a server's capacity.
    fleet.simulate(4000, 166, quick);
    fleet.list(ListKind::Changes, vec![entry(1, ServerState::Gone, None)]);
    fleet.simulate(2000, 166, quick);
    let boot = fleet.now;
    fleet.list(
        ListKind::Changes,
        vec![entry(1, ServerState::Ready, Some(boot))],
    );
    fleet.simulate(10_000, 166, quick);
    let warmth = |age: f64| 0.2 + 0.8 * age / 14.0;
    for from in (boot..boot + 9000).step_by(50) {
        let can = 100.0 * warmth((from - boot) as f64 / 1000.0);
        let n = fleet.sent_to(1, from, from + 1000);
        assert!(
            (n as f64) < 1.7 * can,
            "{n} in the second from {from}, where {can:.0} can be done"
        );
    }
    let late = fleet.sent_to(1, boot + 6000, boot + 10_000) as f64 / 4.0;
    assert!(
        late > 50.0 * warmth(8.0),
        "{late} parts a second at a host that is three fifths warm"
    );
}

/// One host among healthy ones fails every part at once. Each router rarely uses it, and a hundred of them must detect
/// the failures independently, but no query fails and the host's share shrinks.
#[test]
fn a_host_that_fails_quickly_loses_its_share() {
    let mut fleet = Fleet::new();
    fleet.simulate(3000, 166, |_, _| (Outcome::Ok, PART_MS));
    let from = fleet.now;
    let bad = |_, server| {
        if server == 1 {
            (Outcome::Error, 3)
        } else {
            (Outcome::Ok, PART_MS)
        }
    };
    fleet.simulate(10_000, 166, bad);
    let share = fleet.sent_to(1, from + 5000, fleet.now) as f64 / 5.0;
    assert!(
        share < 30.0,
        "{share} parts a second to a failing host, of 50 to a sound one"
    );
    assert_eq!(fleet.answers.get("failed"), None);
    let refused = fleet.answers.get("refused").copied().unwrap_or(0);
    assert!(
        refused * 100 < fleet.answers["answered"],
        "{:?}",
        fleet.answers
    );
}

/// Six of ten hosts are replaced within seconds: no draining host gets a part after its grace, and each query gets
/// exactly one final answer.
#[test]
fn a_drained_host_gets_nothing_while_six_in_ten_are_replaced() {
    let mut fleet = Fleet::new();
    fleet.simulate(3000, 166, |_, _| (Outcome::Ok, PART_MS));
    for wave in [[0, 1, 2, 3], [4, 5, 6, 7]] {
        let told = fleet.now;
        fleet.list(
            ListKind::Changes,
            wave.map(|s| entry(s, ServerState::Draining, None)).to_vec(),
        );
        let drains = |_, s| {
            if wave.contains(&s) {
                (Outcome::Rejected, 2)
            } else {
                (Outcome::Ok, PART_MS)
            }
        };
        fleet.simulate(4000, 166, drains);
        assert!(wave
            .iter()
            .all(|s| fleet.sent_to(*s, told + 2000, fleet.now) == 0));
        let boot = fleet.now;
        fleet.list(
            ListKind::Changes,
            wave.map(|s| entry(s, ServerState::Ready, Some(boot)))
                .to_vec(),
        );
        fleet.simulate(3000, 166, |_, _| (Outcome::Ok, PART_MS));
    }
    fleet.simulate(2000, u64::MAX, |_, _| (Outcome::Ok, PART_MS));
    let ended: usize = fleet.answers.values().sum();
    assert_eq!(ended as u64, fleet.next / 2, "{:?}", fleet.answers);
    assert!(
        fleet.answers["answered"] * 20 > ended * 19,
        "{:?}",
        fleet.answers
    );
}
