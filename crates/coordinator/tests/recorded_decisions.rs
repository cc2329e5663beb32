//! Regression test for the decisions of the module: seeded event streams, and a digest over all actions of the router.
//! The expected digests were recorded with the code of commit bb16a52.
//!
//! The simulated hosts react to the actions of the router, so a single different decision changes everything after it.
//! A change that is meant to alter decisions records new digests, which the failing test prints, and says so in its
//! commit. The module uses `exp`, `exp2` and `sqrt` of the platform's mathematics library; the digests are valid where
//! these round like those of glibc.

use coordinator::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn us(n: u64) -> Duration {
    Duration::from_micros(n)
}

/// A 64-bit FNV-1a hash over little-endian words.
struct Digest(u64);

impl Digest {
    fn new() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }

    fn word(&mut self, word: u64) {
        for byte in word.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    fn time(&mut self, time: Duration) {
        self.word(time.as_nanos() as u64);
    }

    fn retry_hint(&mut self, retry_hint: Option<Duration>) {
        self.word(retry_hint.map_or(u64::MAX, |d| d.as_nanos() as u64));
    }

    fn cause(&mut self, cause: Cause) {
        self.word(match cause {
            Cause::Overloaded => 0,
            Cause::NoHost => 1,
            Cause::TooLate => 2,
            Cause::PartsLost => 3,
        });
    }

    /// Adds an action as numbers that don't depend on names in the source.
    fn action(&mut self, action: &Action) {
        self.word(action_kind_index(action) as u64);
        match action {
            Action::Send {
                part,
                server,
                timeout,
            } => {
                self.word(part.0);
                self.word(server.0.into());
                self.time(*timeout);
            }
            Action::Cancel { part, attempt } => {
                self.word(part.0);
                self.word((*attempt).into());
            }
            Action::Answer {
                query,
                complete: complete_answer,
            } => {
                self.word(query.0);
                self.word((*complete_answer).into());
            }
            Action::Reject {
                query,
                retry_after,
                cause,
            }
            | Action::Fail {
                query,
                retry_after,
                cause,
            } => {
                self.word(query.0);
                self.retry_hint(*retry_after);
                self.cause(*cause);
            }
            Action::Probe { server } | Action::CloseIdleConnections { server } => {
                self.word(server.0.into());
            }
            Action::Subscribe => {}
            Action::Wake { after } => self.time(*after),
        }
    }
}

const ACTION_KIND_COUNT: usize = 9;

fn action_kind_index(action: &Action) -> usize {
    match action {
        Action::Send { .. } => 0,
        Action::Cancel { .. } => 1,
        Action::Answer { .. } => 2,
        Action::Reject { .. } => 3,
        Action::Fail { .. } => 4,
        Action::Probe { .. } => 5,
        Action::CloseIdleConnections { .. } => 6,
        Action::Subscribe => 7,
        Action::Wake { .. } => 8,
    }
}

/// Linear congruential generator with Knuth's MMIX constants; only the upper bits are used.
struct Lcg(u64);

impl Lcg {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// Behaviour of a host for a while.
#[derive(Clone, Copy, PartialEq)]
enum Condition {
    Healthy,
    Slow,
    Failing,
    Silent,
    AtCapacity,
    /// Connections break at first and are then refused: the process died and starts again later.
    Crashing,
    Resetting,
    /// Does not answer class 0 and serves the others.
    IgnoresClassZero,
    /// Resets connections that were idle for a second.
    DropsIdleConnections,
}

/// Time in microseconds for which connections to a crashing host are still accepted, and break.
const CRASH_RESET_TIME_US: u64 = 400_000;

struct Host {
    condition: Condition,
    condition_until: u64,
    condition_since: u64,
    in_flight: u64,
    last_used_at: u64,
    state: ServerState,
    latest_start: Option<Duration>,
}

/// Parameters of an event stream.
struct Stream {
    settings: RouterSettings,
    seed: u64,
    hosts: u64,
    /// Mean time between queries in microseconds.
    query_interval: u64,
    /// Typical time of a part in microseconds.
    part_time_us: u64,
    /// Share of the answers that carry a load report, in percent.
    report_percent: u64,
    /// Share of the condition changes that are faults, in percent.
    fault_percent: u64,
    /// Queries per thousand whose parts crash hosts.
    crashing_queries_per_thousand: u64,
    turn_count: u64,
}

enum DueEvent {
    AttemptEnd {
        part: RequestId,
        attempt: u32,
        outcome: Outcome,
    },
    ProbeEnd(ServerId),
    SubscriptionEnd(bool),
    Wake,
    SecondStep(RequestId, u32),
    ClientLeft(RequestId),
}

struct SentPart {
    query: RequestId,
    class: u32,
    attempts: Vec<SentAttempt>,
}

struct SentAttempt {
    server: ServerId,
    sent_at: u64,
    ended: bool,
}

struct Simulation {
    stream: Stream,
    router: Router,
    random: Lcg,
    now: u64,
    next_id: u64,
    scheduled: BTreeMap<(u64, u64), DueEvent>,
    sequence: u64,
    hosts: Vec<Host>,
    parts: BTreeMap<RequestId, SentPart>,
    /// Classes of the open queries, and whether their second step has begun.
    queries: BTreeMap<RequestId, (u32, bool)>,
    recent_queries: VecDeque<RequestId>,
    /// Queries whose parts crash every host that receives one.
    crashing_queries: BTreeSet<RequestId>,
    digest: Digest,
    action_counts: [u64; ACTION_KIND_COUNT],
    events: u64,
    actions: Vec<Action>,
}

impl Simulation {
    fn new(stream: Stream) -> Self {
        let hosts = (0..stream.hosts)
            .map(|_| Host {
                condition: Condition::Healthy,
                condition_until: 0,
                condition_since: 0,
                in_flight: 0,
                last_used_at: 0,
                state: ServerState::Ready,
                latest_start: None,
            })
            .collect();
        Self {
            router: Router::new(stream.settings.clone(), stream.seed),
            random: Lcg(stream.seed ^ 0x9e37_79b9_7f4a_7c15),
            now: 3_600_000_000,
            next_id: 0,
            scheduled: BTreeMap::new(),
            sequence: 0,
            hosts,
            parts: BTreeMap::new(),
            queries: BTreeMap::new(),
            recent_queries: VecDeque::new(),
            crashing_queries: BTreeSet::new(),
            digest: Digest::new(),
            action_counts: [0; ACTION_KIND_COUNT],
            events: 0,
            actions: Vec::new(),
            stream,
        }
    }

    fn send_event(&mut self, event: Event) {
        self.events += 1;
        self.router.handle(us(self.now), event, &mut self.actions);
    }

    fn schedule(&mut self, after: u64, event: DueEvent) {
        self.sequence += 1;
        self.scheduled
            .insert((self.now + after, self.sequence), event);
    }

    fn entry(&self, n: usize) -> ServerEntry {
        let cells = self.stream.settings.shard_layout.cells;
        ServerEntry {
            server: ServerId(n as u32),
            zone: ZoneId(n as u32 / cells % 3),
            cell: n as u32 % cells,
            state: self.hosts[n].state,
            started_at: self.hosts[n].latest_start,
        }
    }

    fn run(mut self) -> StreamResult {
        if self.stream.settings.subscribe_within.is_none() {
            self.send_full_list(ListKind::Cached);
            self.send_full_list(ListKind::Full);
        }
        for turn in 0..self.stream.turn_count {
            self.advance_clock();
            self.change_conditions();
            self.deliver_due_events();
            self.generate_arrivals();
            if turn % 37 == 0 {
                self.send_peer_events();
            }
            if turn % 211 == 0 {
                self.change_server_list();
            }
            self.send_event(Event::TurnEnded);
            self.apply_actions();
            if turn % 50 == 0 {
                for (server, parts) in self.router.in_flight() {
                    self.digest.word(server.0.into());
                    self.digest.word(parts.into());
                }
            }
        }
        StreamResult {
            digest: self.digest.0,
            events: self.events,
            action_counts: self.action_counts,
        }
    }

    /// Advances the clock by up to 12.5 ms, or occasionally by a pause of the router.
    fn advance_clock(&mut self) {
        self.now += match self.random.below(700) {
            0 => 200_000 + self.random.below(1_500_000),
            1..=20 => 0,
            _ => 500 + self.random.below(12_000),
        };
    }

    fn change_conditions(&mut self) {
        for n in 0..self.hosts.len() {
            if self.hosts[n].condition_until > self.now {
                continue;
            }
            let crashed = self.hosts[n].condition == Condition::Crashing;
            let condition = if crashed || !self.random.chance(self.stream.fault_percent) {
                Condition::Healthy
            } else {
                match self.random.below(8) {
                    0 => Condition::Slow,
                    1 => Condition::Failing,
                    2 => Condition::Silent,
                    3 => Condition::AtCapacity,
                    4 => Condition::Crashing,
                    5 => Condition::Resetting,
                    6 => Condition::IgnoresClassZero,
                    _ => Condition::DropsIdleConnections,
                }
            };
            let length = 500_000 + self.random.below(5_000_000);
            let host = &mut self.hosts[n];
            host.condition = condition;
            host.condition_since = self.now;
            host.condition_until = self.now + length;
            if crashed {
                host.latest_start = Some(us(self.now - 50_000));
                let entries = vec![self.entry(n)];
                self.send_event(Event::ServerList {
                    kind: ListKind::Changes,
                    entries,
                });
            }
        }
    }

    fn deliver_due_events(&mut self) {
        while let Some((&at, _)) = self
            .scheduled
            .first_key_value()
            .filter(|(at, _)| at.0 <= self.now)
        {
            let Some(event) = self.scheduled.remove(&at) else {
                return;
            };
            match event {
                DueEvent::AttemptEnd {
                    part,
                    attempt,
                    outcome,
                } => self.end_attempt(part, attempt, outcome),
                DueEvent::ProbeEnd(server) => self.end_probe(server),
                DueEvent::SubscriptionEnd(subscription_fails) => {
                    if subscription_fails {
                        self.send_event(Event::ServerList {
                            kind: ListKind::Failed,
                            entries: vec![],
                        });
                    } else {
                        self.send_full_list(ListKind::Full);
                    }
                }
                DueEvent::Wake => self.send_event(Event::Wake),
                DueEvent::SecondStep(query, parts) => {
                    let class = self.queries.get(&query).map_or(0, |q| q.0);
                    self.send_parts(query, class, parts.into());
                }
                DueEvent::ClientLeft(query) => {
                    self.send_event(Event::ClientLeft { query });
                    self.queries.remove(&query);
                }
            }
        }
    }

    fn end_attempt(&mut self, part: RequestId, attempt: u32, outcome: Outcome) {
        let Some(sent_part) = self.parts.get_mut(&part) else {
            return;
        };
        let sent_attempt = &mut sent_part.attempts[attempt as usize];
        if std::mem::replace(&mut sent_attempt.ended, true) {
            return;
        }
        let (server, sent_at) = (sent_attempt.server, sent_attempt.sent_at);
        let closed = outcome == Outcome::Ok || self.random.chance(2);
        let host = &mut self.hosts[server.0 as usize];
        host.in_flight = host.in_flight.saturating_sub(1);
        host.last_used_at = self.now;
        let in_flight = host.in_flight;
        let report = self
            .random
            .chance(self.stream.report_percent)
            .then(|| LoadReport {
                in_flight: (in_flight % 3 != 1).then_some(in_flight as f64),
                queued: Some(in_flight.saturating_sub(2) as f64),
                utilization: Some((in_flight as f64 / 8.0).min(1.0)),
            });
        let latency = us(self.now - sent_at);
        self.send_event(Event::AttemptEnded {
            part,
            attempt,
            outcome,
            latency,
            closed,
            report,
        });
    }

    fn end_probe(&mut self, server: ServerId) {
        let host = &self.hosts[server.0 as usize];
        let outcome = match host.condition {
            Condition::Silent => Outcome::Timeout,
            Condition::Crashing => Outcome::ConnectFailed,
            Condition::Failing => Outcome::Error,
            _ => Outcome::Ok,
        };
        let in_flight = host.in_flight as f64;
        let report = self.random.chance(60).then(|| LoadReport {
            in_flight: Some(in_flight),
            ..LoadReport::default()
        });
        self.send_event(Event::ProbeEnded {
            server,
            outcome,
            report,
        });
    }

    fn send_full_list(&mut self, kind: ListKind) {
        let here = (0..self.hosts.len()).filter(|n| self.hosts[*n].state != ServerState::Gone);
        let entries = here.map(|n| self.entry(n)).collect();
        self.send_event(Event::ServerList { kind, entries });
    }

    fn generate_arrivals(&mut self) {
        let chances = 4;
        for _ in 0..chances {
            if self.random.below(self.stream.query_interval * chances) < 6_000 {
                self.send_query();
            }
        }
        if self.random.below(150) == 0 {
            if let Some(query) = self.recent_queries.back().copied() {
                self.send_event(Event::ClientLeft { query });
                self.queries.remove(&query);
            }
        }
    }

    fn send_query(&mut self) {
        let class = self.random.below(self.stream.settings.classes.len() as u64) as u32;
        let limit = self.stream.settings.classes[class as usize].client_timeout;
        let tenants = self.stream.settings.tenants.len() as u64;
        let tenant = (tenants > 0).then(|| TenantId(self.random.below(tenants + 1) as u32));
        let wait = match self.random.below(12) {
            0 => limit / 2,
            1 => limit / 4,
            2 => limit / 9,
            3 => limit * 2,
            _ => limit,
        };
        let marked_retry = match self.random.below(6) {
            0 => Some(true),
            1 => Some(false),
            _ => None,
        };
        let query = self.next_request_id();
        self.send_event(Event::Query {
            id: query,
            class: ClassId(class),
            tenant,
            arrived_at: None,
            deadline: us(self.now) + wait,
            is_retry: marked_retry,
        });
        self.queries.insert(query, (class, false));
        if self.random.below(1_000) < self.stream.crashing_queries_per_thousand {
            self.crashing_queries.insert(query);
        }
        self.recent_queries.push_back(query);
        if self.recent_queries.len() > 8 {
            self.recent_queries.pop_front();
        }
        let parts = 1 + self.random.below(6);
        self.send_parts(query, class, parts);
        self.schedule(wait.as_micros() as u64, DueEvent::ClientLeft(query));
    }

    fn send_parts(&mut self, query: RequestId, class: u32, parts: u64) {
        let cells = u64::from(self.stream.settings.shard_layout.cells);
        let first = self.random.below(cells);
        let weights: Vec<u64> = (0..parts).map(|_| 1 + self.random.below(4)).collect();
        let total: u64 = weights.iter().sum();
        for (n, weight) in weights.iter().enumerate() {
            let id = self.next_request_id();
            let sent_part = SentPart {
                query,
                class,
                attempts: vec![],
            };
            self.parts.insert(id, sent_part);
            self.send_event(Event::Part {
                id,
                query,
                shard: ((first + n as u64) % cells) as u32,
                weight: *weight as f64 / total as f64,
            });
        }
    }

    fn next_request_id(&mut self) -> RequestId {
        self.next_id += 1;
        RequestId(self.next_id)
    }

    fn send_peer_events(&mut self) {
        let server = ServerId(self.random.below(self.stream.hosts + 1) as u32);
        match self.random.below(8) {
            0 => self.send_event(Event::Unreachable { server }),
            1..=4 => {
                let in_flight_parts = self.random.below(9) as f64 / 2.0;
                let age = ms(self.random.below(700));
                self.send_event(Event::PeerLoad {
                    server,
                    in_flight: in_flight_parts,
                    age,
                });
            }
            _ => {}
        }
    }

    fn change_server_list(&mut self) {
        let n = self.random.below(self.stream.hosts) as usize;
        self.hosts[n].state = match (self.hosts[n].state, self.random.below(3)) {
            (ServerState::Ready, 0) => ServerState::Draining,
            (ServerState::Ready, 1) => ServerState::Gone,
            (ServerState::Draining, 0) => ServerState::Gone,
            _ => ServerState::Ready,
        };
        if self.random.chance(30) {
            self.hosts[n].latest_start = Some(us(self.now - self.random.below(200_000)));
        }
        let entries = vec![self.entry(n)];
        match self.random.below(6) {
            0 => self.send_full_list(ListKind::Full),
            1 => self.send_event(Event::ServerList {
                kind: ListKind::Failed,
                entries: vec![],
            }),
            _ => self.send_event(Event::ServerList {
                kind: ListKind::Changes,
                entries,
            }),
        }
    }

    fn apply_actions(&mut self) {
        self.digest.word(self.now);
        for action in std::mem::take(&mut self.actions) {
            self.digest.action(&action);
            self.action_counts[action_kind_index(&action)] += 1;
            match action {
                Action::Send {
                    part,
                    server,
                    timeout,
                } => self.receive_part(part, server, timeout),
                Action::Cancel { part, attempt } => {
                    let delay = 300 + self.random.below(900);
                    self.schedule(
                        delay,
                        DueEvent::AttemptEnd {
                            part,
                            attempt,
                            outcome: Outcome::Cancelled,
                        },
                    );
                }
                Action::Answer { query, .. } => self.finish_query_step(query),
                Action::Reject { query, .. } | Action::Fail { query, .. } => {
                    self.queries.remove(&query);
                }
                Action::Probe { server } => {
                    let delay = 1_000 + self.random.below(60_000);
                    self.schedule(delay, DueEvent::ProbeEnd(server));
                }
                Action::CloseIdleConnections { .. } => {}
                Action::Subscribe => {
                    let subscription_fails = self.random.chance(40);
                    let delay = 2_000 + self.random.below(30_000);
                    if self.random.chance(85) {
                        self.schedule(delay, DueEvent::SubscriptionEnd(subscription_fails));
                    }
                }
                Action::Wake { after } => self.schedule(after.as_micros() as u64, DueEvent::Wake),
            }
        }
    }

    fn finish_query_step(&mut self, query: RequestId) {
        let Some((class, second)) = self.queries.get(&query).copied() else {
            return;
        };
        let parts = self.stream.settings.classes[class as usize].second_step_parts;
        if parts == 0 || second {
            self.queries.remove(&query);
            return;
        }
        self.queries.insert(query, (class, true));
        let delay = 100 + self.random.below(4_000);
        self.schedule(delay, DueEvent::SecondStep(query, parts));
    }

    fn receive_part(&mut self, part: RequestId, server: ServerId, timeout: Duration) {
        let Some(sent_part) = self.parts.get_mut(&part) else {
            return;
        };
        let attempt = sent_part.attempts.len() as u32;
        let (class, query_is_open) = (sent_part.class, self.queries.contains_key(&sent_part.query));
        sent_part.attempts.push(SentAttempt {
            server,
            sent_at: self.now,
            ended: false,
        });
        let crashes_host = self.crashing_queries.contains(&sent_part.query);
        let (outcome, time) = if crashes_host {
            self.crash_host(server)
        } else {
            self.attempt_outcome(server, class)
        };
        let timeout = timeout.as_micros() as u64;
        let (outcome, after) = match outcome {
            Some(outcome) if time < timeout => (outcome, time),
            _ => (Outcome::Timeout, timeout),
        };
        let outcome = if query_is_open {
            outcome
        } else {
            Outcome::NotSent
        };
        self.schedule(
            after,
            DueEvent::AttemptEnd {
                part,
                attempt,
                outcome,
            },
        );
        let host = &mut self.hosts[server.0 as usize];
        host.in_flight += 1;
        host.last_used_at = self.now;
    }

    /// Crashes a host, which refuses connections until it is started again. Returns the outcome of the part that it
    /// served, and the time in microseconds until then.
    fn crash_host(&mut self, server: ServerId) -> (Option<Outcome>, u64) {
        let host = &mut self.hosts[server.0 as usize];
        host.condition = Condition::Crashing;
        host.condition_since = self.now - CRASH_RESET_TIME_US;
        host.condition_until = self.now + 2_000_000;
        (Some(Outcome::Reset), 400 + self.random.below(6_000))
    }

    /// Returns the outcome of an attempt, `None` for no answer at all, and the time in microseconds until then.
    fn attempt_outcome(&mut self, server: ServerId, class: u32) -> (Option<Outcome>, u64) {
        let spread = 600 + self.random.below(1_000);
        let host = &self.hosts[server.0 as usize];
        let idle_time = self.now - host.last_used_at;
        let usual_time = self.stream.part_time_us * spread / 1_000 * (2 + host.in_flight) / 2;
        let quick_time = 200 + self.random.below(1_500);
        match host.condition {
            Condition::Healthy if self.random.below(400) == 0 => (Some(Outcome::Error), usual_time),
            Condition::Healthy => (Some(Outcome::Ok), usual_time),
            Condition::Slow => (Some(Outcome::Ok), 6 * usual_time),
            Condition::Failing => (Some(Outcome::Error), quick_time),
            Condition::Silent => (None, 0),
            Condition::AtCapacity if host.in_flight >= 2 || self.random.chance(20) => {
                (Some(Outcome::Rejected), quick_time)
            }
            Condition::AtCapacity => (Some(Outcome::Ok), 2 * usual_time),
            Condition::Crashing if self.now < host.condition_since + CRASH_RESET_TIME_US => {
                (Some(Outcome::Reset), quick_time)
            }
            Condition::Crashing => (Some(Outcome::ConnectFailed), quick_time),
            Condition::Resetting if self.random.chance(50) => {
                (Some(Outcome::Reset), usual_time / 2)
            }
            Condition::Resetting => (Some(Outcome::Ok), usual_time),
            Condition::IgnoresClassZero if class == 0 => (None, 0),
            Condition::IgnoresClassZero => (Some(Outcome::Ok), usual_time),
            Condition::DropsIdleConnections if idle_time > 1_000_000 => {
                (Some(Outcome::Reset), quick_time)
            }
            Condition::DropsIdleConnections => (Some(Outcome::Ok), usual_time),
        }
    }
}

fn default_class() -> QueryClass {
    QueryClass {
        latency_target: ms(250),
        client_timeout: ms(900),
        late_value: 0.2,
        value: 1.0,
        idempotency: Idempotency::Idempotent,
        complete_share: 1.0,
        min_share: 1.0,
        partial_value: 1.0,
        second_step_parts: 0,
    }
}

fn classes() -> Vec<QueryClass> {
    let partial = QueryClass {
        latency_target: ms(180),
        client_timeout: ms(600),
        late_value: 0.1,
        value: 2.5,
        complete_share: 0.9,
        min_share: 0.5,
        partial_value: 0.8,
        ..default_class()
    };
    let two_steps = QueryClass {
        latency_target: ms(500),
        client_timeout: ms(1500),
        idempotency: Idempotency::Keyed(ms(400)),
        second_step_parts: 3,
        ..default_class()
    };
    let not_idempotent = QueryClass {
        late_value: 0.0,
        idempotency: Idempotency::NotIdempotent,
        value: 0.5,
        ..default_class()
    };
    vec![default_class(), partial, two_steps, not_idempotent]
}

fn default_settings() -> RouterSettings {
    RouterSettings {
        classes: classes(),
        value_by_work: false,
        tenants: vec![],
        routers: 2,
        zone: None,
        cross_zone_cost: false,
        shard_layout: ShardLayout {
            cells: 6,
            cells_per_shard: 2,
        },
        max_parts_per_call: 1,
        call_overhead: ms(0),
        max_attempts: 3,
        hedging: true,
        cancellation: true,
        probes: false,
        max_retry_after: Some(ms(500)),
        retry_budget: None,
        slow_start: None,
        subscribe_within: None,
        drain_grace: ms(300),
        min_turn_interval: ms(5),
    }
}

fn default_stream() -> Stream {
    Stream {
        settings: default_settings(),
        seed: 1,
        hosts: 12,
        query_interval: 9_000,
        part_time_us: 15_000,
        report_percent: 90,
        fault_percent: 25,
        crashing_queries_per_thousand: 0,
        turn_count: 9_000,
    }
}

fn tenants() -> Vec<Tenant> {
    [(0.5, 60.0), (0.3, 20.0), (0.2, 4.0)]
        .map(|(traffic_share, quota_per_s)| Tenant {
            share: traffic_share,
            quota_per_s,
        })
        .to_vec()
}

/// Results of an event stream.
#[derive(Debug, PartialEq)]
struct StreamResult {
    digest: u64,
    events: u64,
    /// Number of actions by kind: sends, cancels, answers, rejections, failures, probes, closings of idle connections,
    /// subscriptions, wake-ups.
    action_counts: [u64; ACTION_KIND_COUNT],
}

fn check_stream(stream: Stream, expected: StreamResult) {
    assert_eq!(Simulation::new(stream).run(), expected);
}

#[test]
fn few_routers_with_default_settings_decide_as_recorded() {
    check_stream(
        default_stream(),
        StreamResult {
            digest: 0x5388_0a29_5bc8_c2ef,
            events: 72_191,
            action_counts: [21_686, 1_825, 5_939, 1_066, 233, 0, 0, 0, 4_122],
        },
    );
}

#[test]
fn retry_budget_slow_start_probes_and_zones_decide_as_recorded() {
    let settings = RouterSettings {
        retry_budget: Some(RetryBudget {
            min_retries: 5.0,
            retry_share: 0.15,
            window: ms(2000),
        }),
        slow_start: Some(SlowStart {
            initial_share: 0.2,
            ramp: ms(8000),
            overload_factor: 2.0,
            overload_time: ms(1000),
        }),
        probes: true,
        zone: Some(ZoneId(1)),
        cross_zone_cost: true,
        ..default_settings()
    };
    let stream = Stream {
        settings,
        seed: 2,
        ..default_stream()
    };
    check_stream(
        stream,
        StreamResult {
            digest: 0x3955_04a3_f61e_b237,
            events: 70_961,
            action_counts: [20_793, 1087, 5845, 1118, 198, 29, 0, 0, 4087],
        },
    );
}

#[test]
fn an_overloaded_fleet_with_tenants_decides_as_recorded() {
    let settings = RouterSettings {
        tenants: tenants(),
        value_by_work: true,
        probes: true,
        ..default_settings()
    };
    let stream = Stream {
        settings,
        seed: 3,
        query_interval: 5_000,
        part_time_us: 40_000,
        fault_percent: 12,
        ..default_stream()
    };
    check_stream(
        stream,
        StreamResult {
            digest: 0x35c0_960a_4094_15a2,
            events: 84_610,
            action_counts: [10_925, 1_002, 3_564, 7_409, 124, 36, 0, 0, 4_117],
        },
    );
}

#[test]
fn many_routers_with_calls_of_several_parts_decide_as_recorded() {
    let settings = RouterSettings {
        routers: 24,
        max_parts_per_call: 4,
        call_overhead: ms(4),
        tenants: tenants(),
        subscribe_within: Some(ms(1500)),
        slow_start: Some(SlowStart {
            initial_share: 0.1,
            ramp: ms(6000),
            overload_factor: 1.5,
            overload_time: ms(500),
        }),
        ..default_settings()
    };
    let stream = Stream {
        settings,
        seed: 4,
        ..default_stream()
    };
    check_stream(
        stream,
        StreamResult {
            digest: 0x2f24_b7ff_5c15_753a,
            events: 63_637,
            action_counts: [14_489, 724, 4107, 2433, 230, 0, 0, 8, 4090],
        },
    );
}

#[test]
fn without_hedging_cancellation_and_reports_they_decide_as_recorded() {
    let settings = RouterSettings {
        hedging: false,
        cancellation: false,
        max_retry_after: None,
        max_attempts: 2,
        max_parts_per_call: 3,
        call_overhead: ms(2),
        probes: true,
        ..default_settings()
    };
    let stream = Stream {
        settings,
        seed: 5,
        crashing_queries_per_thousand: 3,
        report_percent: 0,
        ..default_stream()
    };
    check_stream(
        stream,
        StreamResult {
            digest: 0xae9f_52cb_69e8_4ece,
            events: 57_973,
            action_counts: [9597, 0, 2791, 3539, 134, 55, 0, 0, 4039],
        },
    );
}

#[test]
fn rarely_used_connections_decide_as_recorded() {
    let settings = RouterSettings {
        subscribe_within: Some(ms(2000)),
        probes: true,
        ..default_settings()
    };
    let stream = Stream {
        settings,
        seed: 6,
        query_interval: 45_000,
        fault_percent: 60,
        turn_count: 20_000,
        ..default_stream()
    };
    check_stream(
        stream,
        StreamResult {
            digest: 0x48b1_c709_b839_b897,
            events: 51_211,
            action_counts: [6_628, 1_035, 1_406, 1_188, 234, 124, 29, 30, 8_208],
        },
    );
}

#[test]
fn a_large_faulty_fleet_of_many_routers_decides_as_recorded() {
    let settings = RouterSettings {
        routers: 40,
        shard_layout: ShardLayout {
            cells: 8,
            cells_per_shard: 3,
        },
        probes: true,
        value_by_work: true,
        retry_budget: Some(RetryBudget {
            min_retries: 20.0,
            retry_share: 0.3,
            window: ms(1000),
        }),
        ..default_settings()
    };
    let stream = Stream {
        settings,
        seed: 7,
        hosts: 32,
        crashing_queries_per_thousand: 3,
        query_interval: 4_000,
        fault_percent: 45,
        ..default_stream()
    };
    check_stream(
        stream,
        StreamResult {
            digest: 0x8110_d5d5_162f_73c6,
            events: 129_310,
            action_counts: [35_816, 3_497, 9_435, 5_117, 562, 37, 0, 0, 4_166],
        },
    );
}
