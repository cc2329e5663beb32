//! Pins the decisions of the module bit for bit: long event streams from a seeded generator, and a digest over every
//! action that the router answered with. The expected digests were recorded with the code of commit bb16a52.
//!
//! The hosts of a stream react to what the router asks for, so one decision that differs changes all that follows it.
//! A change that is meant to alter decisions records new digests and says so in its commit: run the test and take the
//! values from its message. The module uses `exp`, `exp2` and `sqrt` of the platform's mathematics library; the digests
//! hold where these round as glibc's do.

use coordinator::*;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn us(n: u64) -> Duration {
    Duration::from_micros(n)
}

/// FNV-1a with 64 bits over little-endian words.
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

    fn hint(&mut self, hint: Option<Duration>) {
        self.word(hint.map_or(u64::MAX, |d| d.as_nanos() as u64));
    }

    fn cause(&mut self, cause: Cause) {
        self.word(match cause {
            Cause::Busy => 0,
            Cause::NoHost => 1,
            Cause::Late => 2,
            Cause::Lost => 3,
        });
    }

    /// An action as numbers that don't depend on any name.
    fn action(&mut self, action: &Action) {
        self.word(kind_number(action) as u64);
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
            Action::Answer { query, whole } => {
                self.word(query.0);
                self.word((*whole).into());
            }
            Action::Refuse {
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
                self.hint(*retry_after);
                self.cause(*cause);
            }
            Action::Probe { server } | Action::Release { server } => self.word(server.0.into()),
            Action::Subscribe => {}
            Action::Wake { after } => self.time(*after),
        }
    }
}

const ACTION_KINDS: usize = 9;

fn kind_number(action: &Action) -> usize {
    match action {
        Action::Send { .. } => 0,
        Action::Cancel { .. } => 1,
        Action::Answer { .. } => 2,
        Action::Refuse { .. } => 3,
        Action::Fail { .. } => 4,
        Action::Probe { .. } => 5,
        Action::Release { .. } => 6,
        Action::Subscribe => 7,
        Action::Wake { .. } => 8,
    }
}

/// The generator of the streams: Knuth's MMIX constants, upper bits used.
struct Lcg(u64);

impl Lcg {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }

    fn percent(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// How a host behaves for a while.
#[derive(Clone, Copy, PartialEq)]
enum Condition {
    Healthy,
    Slow,
    Failing,
    Silent,
    Full,
    /// Connections break for a moment, then none comes about: the process died and starts again later.
    Crashing,
    Resetting,
    /// Fails one class and serves the others.
    SwallowsClassZero,
    /// Loses what is sent on connections that were not used for a second.
    DropsIdleConnections,
}

struct Host {
    condition: Condition,
    condition_until: u64,
    condition_since: u64,
    held: u64,
    last_use: u64,
    state: ServerState,
    boot: Option<Duration>,
}

/// What varies between the streams.
struct Stream {
    settings: Settings,
    seed: u64,
    hosts: u64,
    /// Mean time between queries in microseconds.
    query_every: u64,
    /// Usual time of a part in microseconds.
    part_time: u64,
    /// Share of the load reports that answers carry, in percent.
    reports: u64,
    /// Share of the changes of condition that are faults, in percent.
    faults: u64,
    turns: u64,
}

enum Reply {
    Attempt {
        part: RequestId,
        attempt: u32,
        outcome: Outcome,
    },
    Probed(ServerId),
    List(bool),
    Wake,
    SecondStep(RequestId, u32),
    Left(RequestId),
}

struct PartInfo {
    query: RequestId,
    class: u32,
    attempts: Vec<AttemptInfo>,
}

struct AttemptInfo {
    server: ServerId,
    sent: u64,
    ended: bool,
}

struct World {
    stream: Stream,
    router: Router,
    lcg: Lcg,
    now: u64,
    next_id: u64,
    replies: BTreeMap<(u64, u64), Reply>,
    sequence: u64,
    hosts: Vec<Host>,
    parts: BTreeMap<RequestId, PartInfo>,
    /// Classes of the open queries and whether the second step has begun.
    queries: BTreeMap<RequestId, (u32, bool)>,
    recent: VecDeque<RequestId>,
    digest: Digest,
    counts: [u64; ACTION_KINDS],
    events: u64,
    out: Vec<Action>,
}

impl World {
    fn new(stream: Stream) -> Self {
        let hosts = (0..stream.hosts)
            .map(|_| Host {
                condition: Condition::Healthy,
                condition_until: 0,
                condition_since: 0,
                held: 0,
                last_use: 0,
                state: ServerState::Ready,
                boot: None,
            })
            .collect();
        Self {
            router: Router::new(stream.settings.clone(), stream.seed),
            lcg: Lcg(stream.seed ^ 0x9e37_79b9_7f4a_7c15),
            now: 3_600_000_000,
            next_id: 0,
            replies: BTreeMap::new(),
            sequence: 0,
            hosts,
            parts: BTreeMap::new(),
            queries: BTreeMap::new(),
            recent: VecDeque::new(),
            digest: Digest::new(),
            counts: [0; ACTION_KINDS],
            events: 0,
            out: Vec::new(),
            stream,
        }
    }

    fn tell(&mut self, event: Event) {
        self.events += 1;
        self.router.handle(us(self.now), event, &mut self.out);
    }

    fn reply_in(&mut self, after: u64, reply: Reply) {
        self.sequence += 1;
        self.replies
            .insert((self.now + after, self.sequence), reply);
    }

    fn entry(&self, n: usize) -> ServerEntry {
        let cells = self.stream.settings.layout.cells;
        ServerEntry {
            server: ServerId(n as u32),
            zone: ZoneId(n as u32 / cells % 3),
            cell: n as u32 % cells,
            state: self.hosts[n].state,
            boot: self.hosts[n].boot,
        }
    }

    fn run(mut self) -> Recorded {
        if self.stream.settings.must_ask_in.is_none() {
            self.tell_full_list(ListKind::Cached);
            self.tell_full_list(ListKind::Full);
        }
        for turn in 0..self.stream.turns {
            self.advance_clock();
            self.change_conditions();
            self.deliver_due_replies();
            self.arrivals();
            if turn % 37 == 0 {
                self.other_routers_speak();
            }
            if turn % 211 == 0 {
                self.change_list();
            }
            self.tell(Event::TurnEnd);
            self.carry_out();
            if turn % 50 == 0 {
                for (server, parts) in self.router.outs() {
                    self.digest.word(server.0.into());
                    self.digest.word(parts.into());
                }
            }
        }
        Recorded {
            digest: self.digest.0,
            events: self.events,
            counts: self.counts,
        }
    }

    /// Steps of 0 to 12 ms; now and then the router stands still.
    fn advance_clock(&mut self) {
        self.now += match self.lcg.below(700) {
            0 => 200_000 + self.lcg.below(1_500_000),
            1..=20 => 0,
            _ => 500 + self.lcg.below(12_000),
        };
    }

    fn change_conditions(&mut self) {
        for n in 0..self.hosts.len() {
            if self.hosts[n].condition_until > self.now {
                continue;
            }
            let crashed = self.hosts[n].condition == Condition::Crashing;
            let condition = if crashed || !self.lcg.percent(self.stream.faults) {
                Condition::Healthy
            } else {
                match self.lcg.below(8) {
                    0 => Condition::Slow,
                    1 => Condition::Failing,
                    2 => Condition::Silent,
                    3 => Condition::Full,
                    4 => Condition::Crashing,
                    5 => Condition::Resetting,
                    6 => Condition::SwallowsClassZero,
                    _ => Condition::DropsIdleConnections,
                }
            };
            let length = 500_000 + self.lcg.below(5_000_000);
            let host = &mut self.hosts[n];
            host.condition = condition;
            host.condition_since = self.now;
            host.condition_until = self.now + length;
            if crashed {
                host.boot = Some(us(self.now - 50_000));
                let entries = vec![self.entry(n)];
                self.tell(Event::List {
                    kind: ListKind::Changes,
                    entries,
                });
            }
        }
    }

    fn deliver_due_replies(&mut self) {
        while let Some((&at, _)) = self
            .replies
            .first_key_value()
            .filter(|(at, _)| at.0 <= self.now)
        {
            let Some(reply) = self.replies.remove(&at) else {
                return;
            };
            match reply {
                Reply::Attempt {
                    part,
                    attempt,
                    outcome,
                } => self.attempt_ends(part, attempt, outcome),
                Reply::Probed(server) => self.probe_ends(server),
                Reply::List(fails) => {
                    if fails {
                        self.tell(Event::List {
                            kind: ListKind::Failed,
                            entries: vec![],
                        });
                    } else {
                        self.tell_full_list(ListKind::Full);
                    }
                }
                Reply::Wake => self.tell(Event::Wake),
                Reply::SecondStep(query, parts) => {
                    let class = self.queries.get(&query).map_or(0, |q| q.0);
                    self.tell_parts(query, class, parts.into());
                }
                Reply::Left(query) => {
                    self.tell(Event::Withdrawn { query });
                    self.queries.remove(&query);
                }
            }
        }
    }

    fn attempt_ends(&mut self, part: RequestId, attempt: u32, outcome: Outcome) {
        let Some(info) = self.parts.get_mut(&part) else {
            return;
        };
        let info = &mut info.attempts[attempt as usize];
        if std::mem::replace(&mut info.ended, true) {
            return;
        }
        let (server, sent) = (info.server, info.sent);
        let closed = outcome == Outcome::Ok || self.lcg.percent(2);
        let host = &mut self.hosts[server.0 as usize];
        host.held = host.held.saturating_sub(1);
        host.last_use = self.now;
        let held = host.held;
        let report = self.lcg.percent(self.stream.reports).then(|| LoadReport {
            inflight: (held % 3 != 1).then_some(held as f64),
            queue: Some(held.saturating_sub(2) as f64),
            busy: Some((held as f64 / 8.0).min(1.0)),
        });
        let latency = us(self.now - sent);
        self.tell(Event::AttemptEnd {
            part,
            attempt,
            outcome,
            latency,
            closed,
            report,
        });
    }

    fn probe_ends(&mut self, server: ServerId) {
        let host = &self.hosts[server.0 as usize];
        let outcome = match host.condition {
            Condition::Silent => Outcome::Timeout,
            Condition::Crashing => Outcome::ConnectFailed,
            Condition::Failing => Outcome::Error,
            _ => Outcome::Ok,
        };
        let held = host.held as f64;
        let report = self.lcg.percent(60).then(|| LoadReport {
            inflight: Some(held),
            ..LoadReport::default()
        });
        self.tell(Event::Probed {
            server,
            outcome,
            report,
        });
    }

    fn tell_full_list(&mut self, kind: ListKind) {
        let here = (0..self.hosts.len()).filter(|n| self.hosts[*n].state != ServerState::Gone);
        let entries = here.map(|n| self.entry(n)).collect();
        self.tell(Event::List { kind, entries });
    }

    fn arrivals(&mut self) {
        let chances = 4;
        for _ in 0..chances {
            if self.lcg.below(self.stream.query_every * chances) < 6_000 {
                self.new_query();
            }
        }
        if self.lcg.below(150) == 0 {
            if let Some(query) = self.recent.back().copied() {
                self.tell(Event::Withdrawn { query });
                self.queries.remove(&query);
            }
        }
    }

    fn new_query(&mut self) {
        let class = self.lcg.below(self.stream.settings.classes.len() as u64) as u32;
        let limit = self.stream.settings.classes[class as usize].limit;
        let tenants = self.stream.settings.tenants.len() as u64;
        let tenant = (tenants > 0).then(|| TenantId(self.lcg.below(tenants + 1) as u32));
        let wait = match self.lcg.below(12) {
            0 => limit / 2,
            1 => limit / 4,
            2 => limit / 9,
            3 => limit * 2,
            _ => limit,
        };
        let repeat = match self.lcg.below(6) {
            0 => Some(true),
            1 => Some(false),
            _ => None,
        };
        let query = self.fresh_id();
        self.tell(Event::Query {
            id: query,
            class: ClassId(class),
            tenant,
            deadline: us(self.now) + wait,
            repeat,
        });
        self.queries.insert(query, (class, false));
        self.recent.push_back(query);
        if self.recent.len() > 8 {
            self.recent.pop_front();
        }
        let parts = 1 + self.lcg.below(6);
        self.tell_parts(query, class, parts);
        self.reply_in(wait.as_micros() as u64, Reply::Left(query));
    }

    fn tell_parts(&mut self, query: RequestId, class: u32, parts: u64) {
        let cells = u64::from(self.stream.settings.layout.cells);
        let first = self.lcg.below(cells);
        let weights: Vec<u64> = (0..parts).map(|_| 1 + self.lcg.below(4)).collect();
        let total: u64 = weights.iter().sum();
        for (n, weight) in weights.iter().enumerate() {
            let id = self.fresh_id();
            let info = PartInfo {
                query,
                class,
                attempts: vec![],
            };
            self.parts.insert(id, info);
            self.tell(Event::Part {
                id,
                query,
                shard: ((first + n as u64) % cells) as u32,
                weight: *weight as f64 / total as f64,
            });
        }
    }

    fn fresh_id(&mut self) -> RequestId {
        self.next_id += 1;
        RequestId(self.next_id)
    }

    fn other_routers_speak(&mut self) {
        let server = ServerId(self.lcg.below(self.stream.hosts + 1) as u32);
        match self.lcg.below(8) {
            0 => self.tell(Event::Unreached { server }),
            1..=4 => {
                let out = self.lcg.below(9) as f64 / 2.0;
                let age = ms(self.lcg.below(700));
                self.tell(Event::Told { server, out, age });
            }
            _ => {}
        }
    }

    fn change_list(&mut self) {
        let n = self.lcg.below(self.stream.hosts) as usize;
        self.hosts[n].state = match (self.hosts[n].state, self.lcg.below(3)) {
            (ServerState::Ready, 0) => ServerState::Draining,
            (ServerState::Ready, 1) => ServerState::Gone,
            (ServerState::Draining, 0) => ServerState::Gone,
            _ => ServerState::Ready,
        };
        if self.lcg.percent(30) {
            self.hosts[n].boot = Some(us(self.now - self.lcg.below(200_000)));
        }
        let entries = vec![self.entry(n)];
        match self.lcg.below(6) {
            0 => self.tell_full_list(ListKind::Full),
            1 => self.tell(Event::List {
                kind: ListKind::Failed,
                entries: vec![],
            }),
            _ => self.tell(Event::List {
                kind: ListKind::Changes,
                entries,
            }),
        }
    }

    fn carry_out(&mut self) {
        self.digest.word(self.now);
        for action in std::mem::take(&mut self.out) {
            self.digest.action(&action);
            self.counts[kind_number(&action)] += 1;
            match action {
                Action::Send {
                    part,
                    server,
                    timeout,
                } => self.host_takes(part, server, timeout),
                Action::Cancel { part, attempt } => {
                    let delay = 300 + self.lcg.below(900);
                    self.reply_in(
                        delay,
                        Reply::Attempt {
                            part,
                            attempt,
                            outcome: Outcome::Cancelled,
                        },
                    );
                }
                Action::Answer { query, .. } => self.query_answered(query),
                Action::Refuse { query, .. } | Action::Fail { query, .. } => {
                    self.queries.remove(&query);
                }
                Action::Probe { server } => {
                    let delay = 1_000 + self.lcg.below(60_000);
                    self.reply_in(delay, Reply::Probed(server));
                }
                Action::Release { .. } => {}
                Action::Subscribe => {
                    let fails = self.lcg.percent(40);
                    let delay = 2_000 + self.lcg.below(30_000);
                    if self.lcg.percent(85) {
                        self.reply_in(delay, Reply::List(fails));
                    }
                }
                Action::Wake { after } => self.reply_in(after.as_micros() as u64, Reply::Wake),
            }
        }
    }

    fn query_answered(&mut self, query: RequestId) {
        let Some((class, second)) = self.queries.get(&query).copied() else {
            return;
        };
        let parts = self.stream.settings.classes[class as usize].second_step;
        if parts == 0 || second {
            self.queries.remove(&query);
            return;
        }
        self.queries.insert(query, (class, true));
        let delay = 100 + self.lcg.below(4_000);
        self.reply_in(delay, Reply::SecondStep(query, parts));
    }

    fn host_takes(&mut self, part: RequestId, server: ServerId, timeout: Duration) {
        let Some(info) = self.parts.get_mut(&part) else {
            return;
        };
        let attempt = info.attempts.len() as u32;
        let (class, known) = (info.class, self.queries.contains_key(&info.query));
        info.attempts.push(AttemptInfo {
            server,
            sent: self.now,
            ended: false,
        });
        let (outcome, time) = self.host_outcome(server, class);
        let timeout = timeout.as_micros() as u64;
        let (outcome, after) = match outcome {
            Some(outcome) if time < timeout => (outcome, time),
            _ => (Outcome::Timeout, timeout),
        };
        let outcome = if known { outcome } else { Outcome::Moot };
        self.reply_in(
            after,
            Reply::Attempt {
                part,
                attempt,
                outcome,
            },
        );
        let host = &mut self.hosts[server.0 as usize];
        host.held += 1;
        host.last_use = self.now;
    }

    /// How a host ends an attempt, `None` for no answer at all, and after how many microseconds.
    fn host_outcome(&mut self, server: ServerId, class: u32) -> (Option<Outcome>, u64) {
        let spread = 600 + self.lcg.below(1_000);
        let host = &self.hosts[server.0 as usize];
        let unused_for = self.now - host.last_use;
        let usual = self.stream.part_time * spread / 1_000 * (2 + host.held) / 2;
        let quick = 200 + self.lcg.below(1_500);
        match host.condition {
            Condition::Healthy if self.lcg.below(400) == 0 => (Some(Outcome::Error), usual),
            Condition::Healthy => (Some(Outcome::Ok), usual),
            Condition::Slow => (Some(Outcome::Ok), 6 * usual),
            Condition::Failing => (Some(Outcome::Error), quick),
            Condition::Silent => (None, 0),
            Condition::Full if host.held >= 2 => (Some(Outcome::Full), quick),
            Condition::Full => (Some(Outcome::Ok), 2 * usual),
            Condition::Crashing if self.now < host.condition_since + 400_000 => {
                (Some(Outcome::Reset), quick)
            }
            Condition::Crashing => (Some(Outcome::ConnectFailed), quick),
            Condition::Resetting if self.lcg.percent(50) => (Some(Outcome::Reset), usual / 2),
            Condition::Resetting => (Some(Outcome::Ok), usual),
            Condition::SwallowsClassZero if class == 0 => (None, 0),
            Condition::SwallowsClassZero => (Some(Outcome::Ok), usual),
            Condition::DropsIdleConnections if unused_for > 1_000_000 => {
                (Some(Outcome::Reset), quick)
            }
            Condition::DropsIdleConnections => (Some(Outcome::Ok), usual),
        }
    }
}

fn plain_class() -> Class {
    Class {
        goal: ms(250),
        limit: ms(900),
        late_worth: 0.2,
        worth: 1.0,
        repeat: Repeat::Safe,
        need: 1.0,
        floor: 1.0,
        partial_earns: 1.0,
        second_step: 0,
    }
}

fn classes() -> Vec<Class> {
    let partial = Class {
        goal: ms(180),
        limit: ms(600),
        late_worth: 0.1,
        worth: 2.5,
        need: 0.9,
        floor: 0.5,
        partial_earns: 0.8,
        ..plain_class()
    };
    let two_steps = Class {
        goal: ms(500),
        limit: ms(1500),
        repeat: Repeat::Keyed(ms(400)),
        second_step: 3,
        ..plain_class()
    };
    let no_repeat = Class {
        late_worth: 0.0,
        repeat: Repeat::Unsafe,
        worth: 0.5,
        ..plain_class()
    };
    vec![plain_class(), partial, two_steps, no_repeat]
}

fn plain_settings() -> Settings {
    Settings {
        classes: classes(),
        worth_by_work: false,
        tenants: vec![],
        routers: 2,
        zone: None,
        zone_cost: false,
        layout: Layout { cells: 6, width: 2 },
        bundle_max: 1,
        call_cost: ms(0),
        max_attempts: 3,
        second_copies: true,
        may_cancel: true,
        probes: false,
        retry_after_max: Some(ms(500)),
        budget: None,
        cold: None,
        must_ask_in: None,
        drain_grace: ms(300),
        step: ms(5),
    }
}

fn plain_stream() -> Stream {
    Stream {
        settings: plain_settings(),
        seed: 1,
        hosts: 12,
        query_every: 9_000,
        part_time: 15_000,
        reports: 90,
        faults: 25,
        turns: 9_000,
    }
}

fn tenants() -> Vec<Tenant> {
    [(0.5, 60.0), (0.3, 20.0), (0.2, 4.0)]
        .map(|(portion, quota_per_s)| Tenant {
            portion,
            quota_per_s,
        })
        .to_vec()
}

/// What a stream gave with the code of the commit named above.
#[derive(Debug, PartialEq)]
struct Recorded {
    digest: u64,
    events: u64,
    /// Sends, cancels, answers, refusals, failures, probes, releases, subscriptions, wake-ups.
    counts: [u64; ACTION_KINDS],
}

fn check(stream: Stream, recorded: Recorded) {
    assert_eq!(World::new(stream).run(), recorded);
}

#[test]
fn few_routers_without_options_decide_as_recorded() {
    check(
        plain_stream(),
        Recorded {
            digest: 0x065b_c9a9_7884_64e2,
            events: 64_053,
            counts: [14_514, 743, 4114, 2422, 291, 0, 0, 0, 4109],
        },
    );
}

#[test]
fn budget_cold_rule_probes_and_zones_decide_as_recorded() {
    let settings = Settings {
        budget: Some(Budget {
            free: 5.0,
            share: 0.15,
            span: ms(2000),
        }),
        cold: Some(ColdRule {
            share: 0.2,
            ramp: ms(8000),
            fall_multiple: 2.0,
            tip_after: ms(1000),
        }),
        probes: true,
        zone: Some(ZoneId(1)),
        zone_cost: true,
        ..plain_settings()
    };
    let stream = Stream {
        settings,
        seed: 2,
        ..plain_stream()
    };
    check(
        stream,
        Recorded {
            digest: 0xb36e_a0d8_7172_1cb7,
            events: 73_246,
            counts: [22_232, 1006, 6389, 851, 122, 31, 0, 0, 4122],
        },
    );
}

#[test]
fn an_overloaded_fleet_with_tenants_decides_as_recorded() {
    let settings = Settings {
        tenants: tenants(),
        worth_by_work: true,
        probes: true,
        ..plain_settings()
    };
    let stream = Stream {
        settings,
        seed: 3,
        query_every: 5_000,
        part_time: 40_000,
        faults: 12,
        ..plain_stream()
    };
    check(
        stream,
        Recorded {
            digest: 0x646c_8cc9_de8d_bafd,
            events: 84_785,
            counts: [10_619, 942, 3507, 7576, 136, 20, 0, 0, 4124],
        },
    );
}

#[test]
fn many_routers_with_calls_of_several_parts_decide_as_recorded() {
    let settings = Settings {
        routers: 24,
        bundle_max: 4,
        call_cost: ms(4),
        tenants: tenants(),
        must_ask_in: Some(ms(1500)),
        cold: Some(ColdRule {
            share: 0.1,
            ramp: ms(6000),
            fall_multiple: 1.5,
            tip_after: ms(500),
        }),
        ..plain_settings()
    };
    let stream = Stream {
        settings,
        seed: 4,
        ..plain_stream()
    };
    check(
        stream,
        Recorded {
            digest: 0xe675_e1df_530e_7927,
            events: 68_650,
            counts: [18_786, 877, 5427, 1586, 81, 0, 0, 29, 4072],
        },
    );
}

#[test]
fn without_copies_cancels_and_reports_they_decide_as_recorded() {
    let settings = Settings {
        second_copies: false,
        may_cancel: false,
        retry_after_max: None,
        max_attempts: 2,
        bundle_max: 3,
        call_cost: ms(2),
        probes: true,
        ..plain_settings()
    };
    let stream = Stream {
        settings,
        seed: 5,
        reports: 0,
        ..plain_stream()
    };
    check(
        stream,
        Recorded {
            digest: 0xc94c_56c1_8f33_d9c3,
            events: 66_689,
            counts: [17_030, 0, 4899, 1960, 134, 23, 0, 0, 4127],
        },
    );
}

#[test]
fn seldom_used_connections_decide_as_recorded() {
    let settings = Settings {
        must_ask_in: Some(ms(2000)),
        probes: true,
        ..plain_settings()
    };
    let stream = Stream {
        settings,
        seed: 6,
        query_every: 45_000,
        faults: 60,
        turns: 20_000,
        ..plain_stream()
    };
    check(
        stream,
        Recorded {
            digest: 0x59e5_4b4a_781e_3f5b,
            events: 52_279,
            counts: [6488, 919, 1419, 1266, 270, 143, 29, 29, 8651],
        },
    );
}

#[test]
fn a_large_faulty_fleet_of_many_routers_decides_as_recorded() {
    let settings = Settings {
        routers: 40,
        layout: Layout { cells: 8, width: 3 },
        probes: true,
        worth_by_work: true,
        budget: Some(Budget {
            free: 20.0,
            share: 0.3,
            span: ms(1000),
        }),
        ..plain_settings()
    };
    let stream = Stream {
        settings,
        seed: 7,
        hosts: 32,
        query_every: 4_000,
        faults: 45,
        ..plain_stream()
    };
    check(
        stream,
        Recorded {
            digest: 0xcb28_7c51_357d_7d41,
            events: 145_542,
            counts: [49_772, 2940, 13_935, 1907, 371, 42, 23, 0, 4123],
        },
    );
}
