//! Test harness: a router with a simulated clock and four servers, two of which hold each shard, and helpers that
//! feed it events.

use coordinator::*;
use std::time::Duration;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Returns a class of idempotent queries that need all parts.
pub fn class() -> QueryClass {
    QueryClass {
        latency_target: ms(1000),
        client_timeout: ms(3000),
        late_value: 0.1,
        value: 1.0,
        idempotency: Idempotency::Idempotent,
        complete_share: 1.0,
        min_share: 1.0,
        partial_value: 1.0,
        second_step_parts: 0,
    }
}

/// Returns settings with most features off.
pub fn settings() -> RouterSettings {
    RouterSettings {
        classes: vec![class()],
        value_by_work: false,
        tenants: vec![],
        routers: 2,
        zone: None,
        cross_zone_cost: false,
        shard_layout: ShardLayout {
            cells: 4,
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
        drain_grace: ms(0),
        min_turn_interval: ms(5),
    }
}

/// Number of consecutive answers that is enough to clear any server.
pub const ANSWERS_TO_CLEAR: usize = 6;

/// A router under test.
pub struct Harness {
    pub router: Router,
    /// The current time in ms.
    pub now: u64,
    /// All actions so far except wake-ups.
    pub actions: Vec<Action>,
    /// The next free id.
    next_id: u64,
    /// Timeout of clients in ms.
    pub client_wait: u64,
    /// Time in ms that queries waited for the router; `None` if their arrival time is unknown.
    pub waited: Option<u64>,
}

impl Harness {
    /// Creates a router that knows servers 0 to 3, each in the cell of its number.
    pub fn new(settings: RouterSettings) -> Self {
        let router = Router::new(settings, 11);
        let mut harness = Self {
            router,
            now: 0,
            actions: vec![],
            next_id: 0,
            client_wait: 3000,
            waited: None,
        };
        let servers: Vec<ServerEntry> = (0..4).map(server_entry).collect();
        harness.run_turn(vec![Event::ServerList {
            kind: ListKind::Full,
            entries: servers,
        }]);
        harness
    }

    /// Handles events in one turn. Returns the actions except wake-ups.
    pub fn run_turn(&mut self, events: Vec<Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        for event in events.into_iter().chain([Event::TurnEnded]) {
            self.router.handle(ms(self.now), event, &mut actions);
        }
        actions.retain(|a| !matches!(a, Action::Wake { .. }));
        self.actions.extend(actions.iter().cloned());
        actions
    }

    /// Runs a turn every 10 ms until a time in ms. Returns the actions.
    pub fn run_until(&mut self, end: u64) -> Vec<Action> {
        let mut all_actions = Vec::new();
        while self.now < end {
            self.now = (self.now + 10).min(end);
            all_actions.extend(self.run_turn(vec![Event::Wake]));
        }
        all_actions
    }

    /// Submits a query with one part for each shard and weight. Returns its id, the ids of its parts, and the actions.
    pub fn submit_query(
        &mut self,
        class: u32,
        weights: &[(u32, f64)],
    ) -> (RequestId, Vec<RequestId>, Vec<Action>) {
        let id = RequestId(self.next_id);
        let deadline = ms(self.now + self.client_wait - self.waited.unwrap_or_default());
        let mut events = vec![Event::Query {
            id,
            class: ClassId(class),
            tenant: None,
            arrived_at: self.waited.map(|waited| ms(self.now - waited)),
            deadline,
            is_retry: None,
        }];
        let mut parts = Vec::new();
        for (n, (shard, weight)) in weights.iter().enumerate() {
            let part = RequestId(self.next_id + 1 + n as u64);
            events.push(Event::Part {
                id: part,
                query: id,
                shard: *shard,
                weight: *weight,
            });
            parts.push(part);
        }
        self.next_id += 1 + weights.len() as u64;
        let actions = self.run_turn(events);
        (id, parts, actions)
    }

    /// Returns the number of parts sent to a server so far.
    pub fn sends_to(&self, server: ServerId) -> usize {
        sends(&self.actions)
            .iter()
            .filter(|s| s.1 == server)
            .count()
    }

    /// Ends an attempt with a latency of 100 ms and a report of `reported_load` requests at the server.
    pub fn end_attempt(
        &mut self,
        part: RequestId,
        attempt: u32,
        outcome: Outcome,
        reported_load: f64,
    ) -> Vec<Action> {
        let report = Some(LoadReport {
            in_flight: Some(reported_load),
            ..LoadReport::default()
        });
        let latency = ms(100);
        let closed = outcome == Outcome::Ok;
        self.run_turn(vec![Event::AttemptEnded {
            part,
            attempt,
            outcome,
            latency,
            closed,
            report,
        }])
    }

    /// Submits queries until `times` parts were sent to a server, and ends those with `outcome`. Parts at other servers
    /// are answered. Returns the actions.
    pub fn end_parts_at(
        &mut self,
        server: ServerId,
        outcome: Outcome,
        times: usize,
    ) -> Vec<Action> {
        let (mut all_actions, mut hits) = (Vec::new(), 0);
        for _ in 0..200 {
            let (_, parts, actions) = self.submit_query(0, &[(server.0, 1.0)]);
            let hit = sends(&actions).iter().any(|s| s.1 == server);
            self.now += 10;
            let (part_outcome, load) = if hit {
                (outcome, 0.0)
            } else {
                (Outcome::Ok, 3.0)
            };
            all_actions.extend(self.end_attempt(parts[0], 0, part_outcome, load));
            self.end_attempt(parts[0], 1, Outcome::Ok, 3.0);
            hits += usize::from(hit);
            if hits == times {
                return all_actions;
            }
        }
        panic!("{server:?} gets no parts");
    }

    /// Answers a part with a latency in ms and without a load report.
    pub fn answer_part(&mut self, part: RequestId, attempt: u32, latency: u64) -> Vec<Action> {
        self.answer_part_after(part, attempt, ms(latency))
    }

    /// Like [`Self::answer_part`], with a latency of any precision.
    pub fn answer_part_after(
        &mut self,
        part: RequestId,
        attempt: u32,
        latency: Duration,
    ) -> Vec<Action> {
        let outcome = Outcome::Ok;
        self.run_turn(vec![Event::AttemptEnded {
            part,
            attempt,
            outcome,
            latency,
            closed: true,
            report: None,
        }])
    }
}

/// Returns the list entry of a ready server.
pub fn server_entry(n: u32) -> ServerEntry {
    ServerEntry {
        server: ServerId(n),
        zone: ZoneId(0),
        cell: n,
        state: ServerState::Ready,
        started_at: None,
    }
}

/// Returns an update of one entry of the server list.
pub fn entry_changed(n: u32, state: ServerState, latest_start: Option<Duration>) -> Event {
    Event::ServerList {
        kind: ListKind::Changes,
        entries: vec![ServerEntry {
            state,
            started_at: latest_start,
            ..server_entry(n)
        }],
    }
}

/// Returns the sent parts with their servers.
pub fn sends(actions: &[Action]) -> Vec<(RequestId, ServerId)> {
    let send = |a: &Action| match a {
        Action::Send { part, server, .. } => Some((*part, *server)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// Returns the number of actions that end a query or a step of it.
pub fn final_actions(actions: &[Action], id: RequestId) -> usize {
    let ends = |a: &&Action| match a {
        Action::Answer { query, .. }
        | Action::Reject { query, .. }
        | Action::Fail { query, .. } => *query == id,
        _ => false,
    };
    actions.iter().filter(ends).count()
}

/// Submits and answers `n` queries on a shard, with reports of idle servers. Server `slow.0` answers after `slow.1` ms,
/// the others after 50 ms. Returns the number of parts sent to the slow server.
pub fn answer_queries(harness: &mut Harness, n: u32, shard: u32, slow: (ServerId, u64)) -> usize {
    let mut hits = 0;
    for _ in 0..n {
        let (_, parts, actions) = harness.submit_query(0, &[(shard, 1.0)]);
        let server = sends(&actions)[0].1;
        let part_time = if server == slow.0 { slow.1 } else { 50 };
        hits += usize::from(server == slow.0);
        harness.run_until(harness.now + part_time);
        let report = Some(LoadReport {
            in_flight: Some(0.0),
            ..LoadReport::default()
        });
        let (part, latency) = (parts[0], ms(part_time));
        let (outcome, closed, attempt) = (Outcome::Ok, true, 0);
        harness.run_turn(vec![Event::AttemptEnded {
            part,
            attempt,
            outcome,
            latency,
            closed,
            report,
        }]);
    }
    hits
}

/// Creates a harness whose router has seen part times of `latency` ms on all shards.
pub fn with_part_times(settings: RouterSettings, latency: u64) -> Harness {
    let mut harness = Harness::new(settings);
    for n in 0..24 {
        let (_, parts, _) = harness.submit_query(0, &[(n % 4, 1.0)]);
        harness.run_until(harness.now + latency);
        harness.answer_part(parts[0], 0, latency);
    }
    harness
}

/// Shards and weights of four parts of equal weight, one for each shard.
pub const FOUR_SHARDS: [(u32, f64); 4] = [(0, 0.25), (1, 0.25), (2, 0.25), (3, 0.25)];
