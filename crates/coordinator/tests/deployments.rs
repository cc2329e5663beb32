//! The module under settings of both deployments, drawn from the ranges in which they run, in one table: a
//! constant that fits one of them alone fails here. Three routers, modelled servers, simulated time.
#![allow(
    clippy::too_many_lines,
    reason = "long scenarios, to be split: docs/ROADMAP.md"
)]

use coordinator::*;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Ranges of one deployment; times in milliseconds.
struct Deployment {
    name: &'static str,
    /// Servers, and of these how many hold the same shards; 1 where they stand in a ring of two holders.
    servers: (u64, u64),
    a_cell: u64,
    /// Parts of a query, and the work of one.
    parts: (u64, u64),
    work: (u64, u64),
    goal: u64,
    limit: u64,
    late_worth: f64,
    call_cost: u64,
    bundle: u32,
    copies: bool,
    attempts: u32,
    grace: u64,
    cold_share: (u64, u64),
    cold_ramp: (u64, u64),
    fall: (f64, u64),
    /// How late a server's report is.
    report: (u64, u64),
    /// Whether a part that may have run may be sent again; within a window where it has a key.
    repeat: Idempotency,
    may_cancel: bool,
    probes: bool,
    /// Where the list has to be asked for.
    must_ask_in: Option<u64>,
}

/// The two deployments, and of each variant in `deploy/sites` a class that neither of them has.
const DEPLOYMENTS: [Deployment; 5] = [
    Deployment {
        name: "sets of three, calls that cost work, late answers worth nothing",
        servers: (12, 18),
        a_cell: 3,
        parts: (4, 8),
        work: (60, 110),
        goal: 2000,
        limit: 5000,
        late_worth: 0.0,
        call_cost: 25,
        bundle: 8,
        copies: false,
        attempts: 3,
        grace: 2000,
        cold_share: (20, 40),
        cold_ramp: (6000, 14_000),
        fall: (2.0, 1000),
        report: (30, 300),
        repeat: Idempotency::Idempotent,
        may_cancel: true,
        probes: true,
        must_ask_in: None,
    },
    Deployment {
        name: "a ring of two, calls of one long part, late answers worth something",
        servers: (12, 18),
        a_cell: 1,
        parts: (4, 7),
        work: (150, 280),
        goal: 2500,
        limit: 6000,
        late_worth: 0.3,
        call_cost: 0,
        bundle: 1,
        copies: true,
        attempts: 4,
        grace: 1000,
        cold_share: (29, 47),
        cold_ramp: (5900, 15_000),
        fall: (3.0, 1500),
        report: (180, 920),
        repeat: Idempotency::Idempotent,
        may_cancel: true,
        probes: true,
        must_ask_in: None,
    },
    Deployment {
        name: "port-slots, find-berth: a short window, no cancel, no probes",
        ..PORT_SLOTS
    },
    Deployment {
        name: "port-slots, take-berth: nothing that may have run is repeated",
        parts: (1, 2),
        work: (26, 34),
        goal: 700,
        limit: 1400,
        late_worth: 0.1,
        repeat: Idempotency::NotIdempotent,
        ..PORT_SLOTS
    },
    Deployment {
        name: "survey-maps, print-sheet: a minute's deadline, lists that are asked for",
        servers: (12, 18),
        a_cell: 1,
        parts: (6, 6),
        work: (240, 300),
        goal: 12_000,
        limit: 60_000,
        late_worth: 0.5,
        call_cost: 20,
        bundle: 2,
        copies: true,
        attempts: 5,
        grace: 4000,
        cold_share: (25, 47),
        cold_ramp: (6000, 15_000),
        fall: (2.0, 2000),
        report: (23, 260),
        repeat: Idempotency::Idempotent,
        may_cancel: true,
        probes: true,
        must_ask_in: Some(12_000),
    },
];

const PORT_SLOTS: Deployment = Deployment {
    name: "",
    servers: (12, 18),
    a_cell: 1,
    parts: (2, 4),
    work: (22, 30),
    goal: 500,
    limit: 1000,
    late_worth: 0.2,
    call_cost: 6,
    bundle: 4,
    copies: false,
    attempts: 2,
    grace: 1000,
    cold_share: (25, 44),
    cold_ramp: (5000, 10_000),
    fall: (3.0, 1000),
    report: (75, 280),
    repeat: Idempotency::Keyed(Duration::from_millis(900)),
    may_cancel: false,
    probes: false,
    must_ask_in: None,
};

const ROUTERS: usize = 3;
const SLOTS: usize = 2;
/// One turn of the model.
const STEP: u64 = 5;

/// Draws (splitmix64).
struct Draw(u64);

impl Draw {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn within(&mut self, range: (u64, u64)) -> u64 {
        range.0 + self.next() % (range.1 - range.0 + 1)
    }
}

/// A part as a server holds it.
struct Job {
    who: usize,
    part: RequestId,
    attempt: u32,
    sent: u64,
    give_up: u64,
    left: f64,
}

#[derive(Default)]
struct Server {
    down: bool,
    cold_since: Option<u64>,
    jobs: VecDeque<Job>,
    /// What it held, by time, as reports trail.
    held: VecDeque<(u64, usize)>,
    served: f64,
}

#[derive(Default)]
struct Query {
    deadline: u64,
    goal_at: u64,
    finals: u32,
    answered: Option<u64>,
    attempts: BTreeMap<RequestId, (u32, u32)>,
    /// When the first attempt of each part was sent that may have run.
    risky: BTreeMap<RequestId, u64>,
}

struct World {
    d: &'static Deployment,
    draw: Draw,
    cold: (f64, u64),
    report: u64,
    now: u64,
    routers: Vec<Router>,
    servers: Vec<Server>,
    queries: BTreeMap<RequestId, Query>,
    owner: BTreeMap<RequestId, RequestId>,
    events: Vec<Vec<Event>>,
    next: u64,
    due: f64,
    /// Servers that drain, with the time from which nothing new may come.
    shut: BTreeMap<u32, u64>,
}

impl World {
    fn new(d: &'static Deployment, seed: u64) -> Self {
        let mut draw = Draw(seed);
        let servers = draw.within(d.servers) / d.a_cell * d.a_cell;
        let cells = (servers / d.a_cell) as u32;
        let cold = (
            draw.within(d.cold_share) as f64 / 100.0,
            draw.within(d.cold_ramp),
        );
        let report = draw.within(d.report);
        let class = QueryClass {
            latency_target: ms(d.goal),
            client_timeout: ms(d.limit),
            late_value: d.late_worth,
            value: 1.0,
            idempotency: d.repeat,
            complete_share: 1.0,
            min_share: 1.0,
            partial_value: 1.0,
            second_step_parts: 0,
        };
        let (share, ramp) = (cold.0, ms(cold.1));
        let settings = RouterSettings {
            classes: vec![class],
            value_by_work: false,
            tenants: vec![],
            routers: ROUTERS as u32,
            zone: None,
            cross_zone_cost: false,
            shard_layout: ShardLayout {
                cells,
                cells_per_shard: if d.a_cell == 1 { 2 } else { 1 },
            },
            max_parts_per_call: d.bundle,
            call_overhead: ms(d.call_cost),
            max_attempts: d.attempts,
            hedging: d.copies,
            cancellation: d.may_cancel,
            probes: d.probes,
            max_retry_after: Some(ms(500)),
            retry_budget: None,
            slow_start: Some(SlowStart {
                initial_share: share,
                ramp,
                overload_factor: d.fall.0,
                overload_time: ms(d.fall.1),
            }),
            subscribe_within: d.must_ask_in.map(ms),
            drain_grace: ms(d.grace),
            min_turn_interval: ms(STEP),
        };
        let router = |n: usize| Router::new(settings.clone(), seed * 8 + n as u64);
        let mut world = Self {
            d,
            draw,
            cold,
            report,
            now: 0,
            routers: (0..ROUTERS).map(router).collect(),
            servers: (0..servers).map(|_| Server::default()).collect(),
            queries: BTreeMap::new(),
            owner: BTreeMap::new(),
            events: vec![vec![]; ROUTERS],
            next: 0,
            due: 0.0,
            shut: BTreeMap::new(),
        };
        let all = (0..servers as u32)
            .map(|n| world.entry(n, ServerState::Ready, None))
            .collect();
        world.list(ListKind::Full, all);
        world
    }

    fn entry(&self, n: u32, state: ServerState, boot: Option<u64>) -> ServerEntry {
        let cell = n % (self.servers.len() as u64 / self.d.a_cell) as u32;
        ServerEntry {
            server: ServerId(n),
            zone: ZoneId(0),
            cell,
            state,
            started_at: boot.map(ms),
        }
    }

    fn list(&mut self, kind: ListKind, entries: Vec<ServerEntry>) {
        self.events.iter_mut().for_each(|e| {
            e.push(Event::ServerList {
                kind,
                entries: entries.clone(),
            });
        });
    }

    /// Work a second that a server does now, in server-seconds.
    fn rate(&self, n: usize) -> f64 {
        let age = self.servers[n]
            .cold_since
            .map_or(f64::MAX, |t| (self.now - t) as f64);
        SLOTS as f64 * (self.cold.0 + (1.0 - self.cold.0) * age / self.cold.1 as f64).min(1.0)
    }

    /// Plays so long at a load, as a share of what all servers can do warm.
    fn play(&mut self, span: u64, load: f64) {
        let end = self.now + span;
        let parts = (self.d.parts.0 + self.d.parts.1) as f64 / 2.0;
        let work = (self.d.work.0 + self.d.work.1) as f64 / 2.0 + self.d.call_cost as f64;
        let a_second = load * (self.servers.len() * SLOTS) as f64 * 1000.0 / (parts * work);
        while self.now < end {
            self.now += STEP;
            self.serve();
            self.due += a_second * STEP as f64 / 1000.0;
            while self.due >= 1.0 {
                self.due -= 1.0;
                self.ask();
            }
            for who in 0..ROUTERS {
                let mut out = vec![];
                let events = std::mem::take(&mut self.events[who]);
                for event in events.into_iter().chain([Event::Wake, Event::TurnEnded]) {
                    self.routers[who].handle(ms(self.now), event, &mut out);
                }
                out.into_iter().for_each(|a| self.act(who, a));
            }
        }
    }

    fn ask(&mut self) {
        let who = self.draw.next() as usize % ROUTERS;
        let id = RequestId(self.next);
        let parts = self.draw.within(self.d.parts);
        let deadline = self.now + self.d.limit;
        let event = Event::Query {
            id,
            class: ClassId(0),
            tenant: None,
            arrived_at: None,
            deadline: ms(deadline),
            is_retry: None,
        };
        self.events[who].push(event);
        for n in 0..parts {
            let (part, shard) = (RequestId(self.next + 1 + n), self.draw.next() as u32 % 1000);
            self.owner.insert(part, id);
            self.events[who].push(Event::Part {
                id: part,
                query: id,
                shard,
                weight: 1.0 / parts as f64,
            });
        }
        self.next += 1 + parts;
        let goal_at = self.now + self.d.goal;
        self.queries.insert(
            id,
            Query {
                deadline,
                goal_at,
                ..Query::default()
            },
        );
    }

    fn end(&mut self, job: &Job, server: usize, outcome: Outcome) {
        let query = self.owner[&job.part];
        let q = self.queries.get_mut(&query).unwrap();
        q.attempts.get_mut(&job.part).unwrap().1 -= 1;
        if !outcome.never_ran() {
            let first = q.risky.entry(job.part).or_insert(job.sent);
            *first = job.sent.min(*first);
        }
        let s = &self.servers[server];
        let seen = s
            .held
            .iter()
            .rev()
            .find(|h| h.0 + self.report <= self.now)
            .map_or(0, |h| h.1);
        let report = LoadReport {
            in_flight: Some(seen as f64),
            ..LoadReport::default()
        };
        self.events[job.who].push(Event::AttemptEnded {
            part: job.part,
            attempt: job.attempt,
            outcome,
            latency: ms(self.now - job.sent),
            closed: outcome == Outcome::Ok,
            report: (outcome == Outcome::Ok).then_some(report),
        });
    }

    fn serve(&mut self) {
        for n in 0..self.servers.len() {
            let each = self.rate(n) / SLOTS as f64 * STEP as f64;
            let now = self.now;
            let s = &mut self.servers[n];
            if !s.down {
                s.jobs.iter_mut().take(SLOTS).for_each(|j| j.left -= each);
                s.served += each * s.jobs.len().min(SLOTS) as f64;
            }
            let down = s.down;
            let over = |j: &Job| j.left <= 0.0 || now >= j.give_up || down;
            let (done, jobs): (Vec<Job>, Vec<Job>) =
                std::mem::take(&mut s.jobs).into_iter().partition(over);
            s.jobs = jobs.into();
            s.held.push_back((now, s.jobs.len()));
            if s.held.len() > 400 {
                s.held.pop_front();
            }
            for j in done {
                let ended = if j.left <= 0.0 {
                    Outcome::Ok
                } else {
                    Outcome::Timeout
                };
                self.end(&j, n, if down { Outcome::Reset } else { ended });
            }
        }
    }

    fn act(&mut self, who: usize, action: Action) {
        match action {
            Action::Send {
                part,
                server,
                timeout,
            } => {
                assert!(
                    self.shut.get(&server.0).is_none_or(|t| self.now <= *t),
                    "sent to one that is shut"
                );
                let work = self.draw.within(self.d.work) + self.d.call_cost;
                let query = self.queries.get_mut(&self.owner[&part]).unwrap();
                assert_eq!(query.finals, 0, "sent after its end");
                let tries = query.attempts.entry(part).or_default();
                assert!(tries.0 < self.d.attempts, "attempts of a part");
                assert!(self.d.copies || tries.1 == 0, "attempts that overlap");
                let risky = query.risky.get(&part).copied();
                assert!(
                    match self.d.repeat {
                        Idempotency::Idempotent => true,
                        Idempotency::Keyed(window) =>
                            risky.is_none_or(|t| ms(self.now - t) < window),
                        Idempotency::NotIdempotent => risky.is_none(),
                    },
                    "a part that may have run is repeated"
                );
                let attempt = tries.0;
                *tries = (tries.0 + 1, tries.1 + 1);
                let give_up = self.now + timeout.as_millis() as u64;
                let job = Job {
                    who,
                    part,
                    attempt,
                    sent: self.now,
                    give_up,
                    left: work as f64,
                };
                if self.servers[server.0 as usize].down {
                    self.end(&job, server.0 as usize, Outcome::ConnectFailed);
                } else {
                    self.servers[server.0 as usize].jobs.push_back(job);
                }
            }
            Action::Cancel { part, attempt } => {
                assert!(self.d.may_cancel, "a withdrawal where none is allowed");
                for n in 0..self.servers.len() {
                    let jobs = &mut self.servers[n].jobs;
                    let found = jobs
                        .iter()
                        .position(|j| (j.part, j.attempt) == (part, attempt));
                    if let Some(job) = found.and_then(|at| jobs.remove(at)) {
                        self.end(&job, n, Outcome::Cancelled);
                    }
                }
            }
            Action::Subscribe => {
                assert!(
                    self.d.must_ask_in.is_some(),
                    "a list is asked for that is pushed"
                );
                self.events[who].push(Event::ServerList {
                    kind: ListKind::Changes,
                    entries: vec![],
                });
            }
            Action::Probe { server } => {
                assert!(self.d.probes, "a probe where none is allowed");
                let outcome = if self.servers[server.0 as usize].down {
                    Outcome::ConnectFailed
                } else {
                    Outcome::Ok
                };
                self.events[who].push(Event::ProbeEnded {
                    server,
                    outcome,
                    report: None,
                });
            }
            Action::Answer { query, .. } => self.over(query, true),
            Action::Reject { query, .. } | Action::Fail { query, .. } => self.over(query, false),
            _ => {}
        }
    }

    fn over(&mut self, query: RequestId, answered: bool) {
        let q = self.queries.get_mut(&query).unwrap();
        q.finals += 1;
        assert!(
            self.now < q.deadline + STEP,
            "an end past the client's time"
        );
        q.answered = answered.then_some(self.now);
    }

    /// Share of the queries asked so far that were answered by their goal; forgets them.
    fn in_time(&mut self) -> f64 {
        self.play(self.d.limit + 4 * STEP, 0.0);
        let all = std::mem::take(&mut self.queries);
        assert!(
            !all.is_empty() && all.values().all(|q| q.finals == 1),
            "one final answer each"
        );
        let good = all
            .values()
            .filter(|q| q.answered.is_some_and(|t| t <= q.goal_at))
            .count();
        good as f64 / all.len() as f64
    }
}

fn each(test: impl Fn(&mut World, &str)) {
    for d in &DEPLOYMENTS {
        for seed in 1..=6 {
            test(
                &mut World::new(d, seed),
                &format!("{}, seed {seed}", d.name),
            );
        }
    }
}

#[test]
fn without_faults_nothing_is_rejected_or_late() {
    each(|w, case| {
        w.play(10_000, 0.55);
        let good = w.in_time();
        assert!(good > 0.99, "{good} in time: {case}");
    });
}

/// Twice what the servers can do: most of what they do has to be of use.
#[test]
fn in_overload_most_work_of_the_servers_is_of_use() {
    each(|w, case| {
        w.play(10_000, 2.0);
        let good = w.in_time();
        assert!(good > 0.35, "{good} in time: {case}");
    });
}

/// A server dies, is gone from the list late, comes back cold: hardly a query is lost by it, it is not sent more than
/// the rule allows, and it does its share again soon after it is warm.
#[test]
fn a_server_that_crashes_is_ejected_warmed_up_and_used_again() {
    each(|w, case| {
        w.play(4000, 0.55);
        w.servers[0].down = true;
        w.play(3000, 0.55);
        w.list(ListKind::Changes, vec![w.entry(0, ServerState::Gone, None)]);
        w.play(2000, 0.55);
        (w.servers[0].down, w.servers[0].cold_since) = (false, Some(w.now));
        w.list(
            ListKind::Changes,
            vec![w.entry(0, ServerState::Ready, Some(w.now))],
        );
        let (window, mut most) = (w.d.fall.1, 0.0f64);
        let start = w.now;
        while w.now < start + w.cold.1 {
            let can = w.rate(0) * window as f64;
            let before =
                w.servers[0].served + w.servers[0].jobs.iter().map(|j| j.left).sum::<f64>();
            w.play(window, 0.55);
            let after = w.servers[0].served + w.servers[0].jobs.iter().map(|j| j.left).sum::<f64>();
            most = most.max((after - before) / can);
        }
        assert!(most < w.d.fall.0, "{most} times what it can: {case}");
        let before: Vec<f64> = w.servers.iter().map(|s| s.served).collect();
        w.play(5000, 0.55);
        let did: Vec<f64> = w
            .servers
            .iter()
            .zip(before)
            .map(|(s, b)| s.served - b)
            .collect();
        let mean = did.iter().sum::<f64>() / did.len() as f64;
        assert!(
            did[0] > mean / 2.0,
            "{} of {mean} once warm: {case}",
            did[0]
        );
        let good = w.in_time();
        assert!(good > 0.97, "{good} in time: {case}");
    });
}

/// A server drains: what is sent to it after the grace fails the test where it is sent; the rest do its work.
#[test]
fn a_draining_server_gets_nothing_after_its_grace() {
    each(|w, case| {
        w.play(4000, 0.55);
        w.list(
            ListKind::Changes,
            vec![w.entry(0, ServerState::Draining, None)],
        );
        w.shut.insert(0, w.now + w.d.grace);
        w.play(6000, 0.55);
        let good = w.in_time();
        assert!(good > 0.97, "{good} in time: {case}");
    });
}
