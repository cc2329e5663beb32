//! Queries, parts and attempts, and what the module's actions do to them.

use super::names::Names;
use super::settings::Site;
use super::*;
use crate::counters::Counters;
use crate::peers::{Datagram, Voice};
use crate::shard::Seat;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use tokio::sync::{mpsc, oneshot};

/// Longest sleep of the core.
const LONGEST_REST: Duration = Duration::from_secs(1);
/// Sends to a draining host stop this long before the rule says, as the frame still has to be written.
const DRAIN_MARGIN: Duration = Duration::from_millis(50);

/// So many connections in a row that did not come up are news for the other cores.
const UNREACHED: u32 = 2;

/// How often the operators' figures of the list are brought up to date.
const SHOW: Duration = Duration::from_millis(100);

/// A host that has been gone for so long, with nothing out on it, is forgotten with all that goes by its
/// name: hosts are replaced under new names all the time.
const FORGET: Duration = Duration::from_secs(15);

struct Query {
    ticket: u64,
    reply: oneshot::Sender<Answer>,
    name: Arc<str>,
    key: Option<Arc<str>>,
    payload: Bytes,
    deadline: Instant,
    parts: Vec<RequestId>,
}

struct Part {
    query: RequestId,
    shard: u32,
    attempts: u32,
    out: bool,
    value: Option<Bytes>,
    last: Option<Outcome>,
}

struct Attempt {
    server: ServerId,
    name: Arc<str>,
    sent: Instant,
    give_up: Instant,
    /// Whether it was given up: its outcome is then on the way.
    given_up: bool,
}

/// The core's state. Sans-I/O but for the transport it is given.
pub struct Table<T> {
    router: crate::Router,
    clock: Clock,
    transport: T,
    counters: Counters,
    open_cap: usize,
    bundle: usize,
    drain_grace: Duration,
    longest_hint: Option<Duration>,
    keyed: Vec<bool>,
    /// Whether hosts may be told of what is given up: the module then withdraws what nobody waits for.
    may_cancel: bool,
    servers: Names,
    zones: Names,
    listed: BTreeMap<ServerId, Listed>,
    /// Hosts that are gone, and when they are to be forgotten.
    gone: BTreeMap<ServerId, Instant>,
    queries: HashMap<RequestId, Query>,
    tickets: HashMap<u64, RequestId>,
    parts: HashMap<RequestId, Part>,
    attempts: HashMap<(RequestId, u32), Attempt>,
    /// Attempts out on each host.
    out: HashMap<ServerId, usize>,
    /// Names in use, with the number of open queries and attempts under each.
    names: HashMap<Arc<str>, u32>,
    /// Attempts by the time of their time-out.
    timeouts: BTreeSet<(Instant, RequestId, u32)>,
    deadlines: BTreeSet<(Instant, RequestId)>,
    wakes: BTreeSet<Instant>,
    next_id: u64,
    /// Bytes of the values held, and how many may be. Hosts' answers must not take the memory: a value
    /// beyond that counts as an error of its host.
    held: usize,
    most_held: usize,
    actions: Vec<Action>,
    /// What it shares with other cores of the process; `None` where it is the only one.
    seat: Option<Seat>,
    /// Connections in a row that did not come up, by host.
    unreached: HashMap<ServerId, u32>,
    /// When the list's figures are shown next.
    show_at: Instant,
    /// The talk with other coordinators, and where its words go.
    voice: Option<(Voice, mpsc::Sender<Datagram>)>,
}

impl<T: Transport> Table<T> {
    /// A core with nothing in it, for values of so many bytes at once.
    pub fn new(
        site: Site,
        seed: u64,
        clock: Clock,
        transport: T,
        most_held: usize,
        counters: Counters,
    ) -> Self {
        let keyed = site.settings.classes.iter().map(|c| c.repeat != Repeat::Safe).collect();
        Self {
            open_cap: site.caps.open,
            bundle: site.settings.bundle_max.max(1) as usize,
            drain_grace: site.caps.drain_grace,
            longest_hint: site.settings.retry_after_max,
            may_cancel: site.settings.may_cancel,
            router: crate::Router::new(site.settings, seed),
            clock,
            transport,
            counters,
            keyed,
            servers: Names::default(),
            zones: site.zones,
            listed: BTreeMap::new(),
            gone: BTreeMap::new(),
            queries: HashMap::new(),
            tickets: HashMap::new(),
            parts: HashMap::new(),
            attempts: HashMap::new(),
            out: HashMap::new(),
            names: HashMap::new(),
            timeouts: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            wakes: BTreeSet::new(),
            next_id: 0,
            held: 0,
            most_held,
            actions: Vec::new(),
            seat: None,
            unreached: HashMap::new(),
            show_at: Instant::now(),
            voice: None,
        }
    }

    /// The same in talk with other coordinators; its words go to the channel.
    pub fn talking(mut self, voice: Voice, words: mpsc::Sender<Datagram>) -> Self {
        self.voice = Some((voice, words));
        self
    }

    /// The same as one of several cores.
    pub fn among(mut self, seat: Seat) -> Self {
        self.seat = Some(seat);
        self
    }

    /// Tells the other cores of a host that could not be reached twice in a row: each would otherwise
    /// find out at the cost of its own parts.
    fn hear(&mut self, server: ServerId, outcome: Outcome) {
        let Some(seat) = &self.seat else { return };
        if outcome != Outcome::ConnectFailed {
            self.unreached.remove(&server);
            return;
        }
        let n = self.unreached.entry(server).or_default();
        *n += 1;
        if *n == UNREACHED {
            let id: Arc<str> = self.servers.name(server.0).into();
            for other in &seat.others {
                // One that has ended hears nothing more.
                let _ = other.send(Mail::Unreached(id.clone()));
            }
            self.counters.inc("cores.told_unreached");
        }
    }

    /// When the core has something to do of its own accord.
    pub fn next_wake(&self) -> Instant {
        let timeout = self.timeouts.first().map(|t| t.0);
        let deadline = self.deadlines.first().map(|t| t.0);
        let first = [timeout, deadline, self.wakes.first().copied()].into_iter().flatten().min();
        let latest = Instant::now() + LONGEST_REST;
        first.map_or(latest, |t| t.min(latest))
    }

    fn tell(&mut self, now: Instant, event: Event) {
        self.router.handle(self.clock.at(now), event, &mut self.actions);
    }

    fn fresh(&mut self) -> RequestId {
        self.next_id += 1;
        RequestId(self.next_id)
    }

    /// Takes one message. What the module makes of it comes with the turn's end.
    pub fn take(&mut self, mail: Mail, now: Instant) {
        match mail {
            Mail::Query(query, ticket, reply) => self.on_query(*query, ticket, reply, now),
            Mail::Withdraw(ticket) => {
                if let Some(id) = self.tickets.get(&ticket).copied() {
                    self.counters.inc("answered.none.client_gone");
                    self.close(id);
                    self.tell(now, Event::Withdrawn { query: id });
                }
            }
            Mail::Ended(ended) => self.on_ended(ended, now),
            Mail::Probed(server, outcome, report) => {
                self.hear(server, outcome);
                self.tell(now, Event::Probed { server, outcome, report });
            }
            Mail::List(kind, entries) => self.on_list(kind, entries, now),
            Mail::Unreached(id) => {
                if let Some(server) = self.servers.find(&id).map(ServerId) {
                    self.tell(now, Event::Unreached { server });
                }
            }
            Mail::Heard(from, bytes) => {
                let at = self.clock.at(now);
                if let Some((voice, _)) = &mut self.voice {
                    self.counters.inc(voice.hear(at, from, &bytes).counter());
                }
            }
            Mail::Version(version) => {
                if let Some(seat) = &self.seat {
                    seat.gates.acknowledge(seat.core, version);
                }
            }
            // Who asked may have given up waiting.
            Mail::Taken(word) => drop(word.send(())),
        }
    }

    fn on_query(&mut self, new: NewQuery, ticket: u64, reply: oneshot::Sender<Answer>, now: Instant) {
        // Two queries by one name would share their parts' names: the hosts would take one's for a copy of
        // the other's.
        let elsewhere = |s: &Seat| !s.names.open(&new.name, s.core);
        if self.names.contains_key(&new.name) || self.seat.as_ref().is_some_and(elsewhere) {
            self.counters.inc("answered.name_taken");
            let _ = reply.send(Answer::NameTaken);
            return;
        }
        self.counters.inc("taken.queries");
        self.counters.add("taken.parts", new.parts.len() as u64);
        let deadline = new.arrived + new.wait;
        // Over the cap on what may be open a query never reaches the module: it would cost memory for
        // work that can't be done in time.
        let wanted = 1 + new.parts.len();
        let room = match &self.seat {
            Some(seat) => seat.lease.take(wanted),
            None => self.queries.len() + self.parts.len() + wanted <= self.open_cap,
        };
        if !room {
            if let Some(seat) = &self.seat {
                seat.names.close(&new.name, seat.core);
            }
            self.counters.inc("answered.refused.open_cap");
            let retry_after = Some(self.longest_hint.unwrap_or(Duration::from_secs(1)));
            let _ = reply.send(Answer::Refused { retry_after, cause: Cause::Busy, missing: vec![] });
            return;
        }
        log::trace!("query {} class {} parts {}", new.name, new.class.0, new.parts.len());
        let id = self.fresh();
        let at = self.clock.at(deadline);
        let (class, tenant, repeat) = (new.class, new.tenant, new.repeat);
        self.tell(now, Event::Query { id, class, tenant, deadline: at, repeat });
        let mut parts = Vec::with_capacity(new.parts.len());
        for p in &new.parts {
            let part = self.fresh();
            parts.push(part);
            let fresh = Part { query: id, shard: p.shard, attempts: 0, out: false, value: None, last: None };
            self.parts.insert(part, fresh);
            self.tell(now, Event::Part { id: part, query: id, shard: p.shard, weight: p.weight });
        }
        self.tickets.insert(ticket, id);
        self.deadlines.insert((deadline, id));
        let NewQuery { name, key, payload, .. } = new;
        self.names.insert(name.clone(), 1);
        let key = key.filter(|_| self.keyed.get(class.0 as usize).copied().unwrap_or(false));
        self.queries.insert(id, Query { ticket, reply, name, key, payload, deadline, parts });
    }

    fn on_ended(&mut self, mut e: Ended, now: Instant) {
        let Some(attempt) = self.attempts.remove(&(e.part, e.attempt)) else { return };
        self.release_name(&attempt.name);
        if let Some(n) = self.out.get_mut(&attempt.server) {
            *n -= 1;
            if *n == 0 {
                self.out.remove(&attempt.server);
            }
        }
        self.hear(attempt.server, e.outcome);
        let size = e.value.as_ref().map_or(0, Bytes::len);
        if size > self.most_held - self.held {
            self.counters.inc("ended.no_room");
            (e.outcome, e.value) = (Outcome::Error, None);
        }
        self.timeouts.remove(&(attempt.give_up, e.part, e.attempt));
        self.counters.inc(match e.outcome {
            Outcome::Ok => "ended.served",
            Outcome::Error => "ended.error",
            Outcome::Full => "ended.full",
            Outcome::Timeout => "ended.timeout",
            Outcome::ConnectFailed => "ended.connect_failed",
            Outcome::Reset => "ended.reset",
            Outcome::Cancelled => "ended.cancelled",
            Outcome::Moot => "ended.moot",
        });
        let part = self.parts.get_mut(&e.part);
        let closed = e.outcome == Outcome::Ok || part.is_none();
        if let Some(part) = part {
            part.last = Some(e.outcome);
            part.out = false;
            if e.outcome == Outcome::Ok && part.value.is_none() {
                self.held += size;
                part.value = e.value;
            }
        }
        let latency = now.saturating_duration_since(attempt.sent);
        log::trace!("ended {} {:?} {latency:?} {} {:?}", attempt.server.0, e.outcome, attempt.name, e.report);
        let (part, attempt, outcome, report) = (e.part, e.attempt, e.outcome, e.report);
        self.tell(now, Event::AttemptEnd { part, attempt, outcome, latency, closed, report });
    }

    fn on_list(&mut self, kind: ListKind, entries: Vec<Listed>, now: Instant) {
        let stop = Some(now + self.drain_grace.saturating_sub(DRAIN_MARGIN));
        let mut told = Vec::with_capacity(entries.len());
        let mut seen = BTreeSet::new();
        for e in entries {
            let server = ServerId(self.servers.number(&e.id));
            seen.insert(server);
            let zone = ZoneId(self.zones.number(&e.zone));
            let boot = self.clock.boot(e.up_since_ms);
            log::trace!("list {kind:?} {} = {} cell {} {:?}", server.0, e.id, e.cell, e.state);
            // A core that stood still reads of a drain late: where the host's gate has shut meanwhile, the
            // module must not count on a grace that is over.
            let shut =
                e.state == ServerState::Draining && self.seat.as_ref().is_some_and(|s| s.shut(&e.id, now));
            let state = if shut { ServerState::Gone } else { e.state };
            told.push(ServerEntry { server, zone, cell: e.cell, state, boot });
            // The grace counts from the first news of a drain, not from its repetition.
            let same = self.listed.get(&server).is_some_and(|old| *old == e);
            if !same {
                let was_ready = self.listed.get(&server).is_none_or(|old| old.state == ServerState::Ready);
                let ready = e.state == ServerState::Ready;
                if ready || was_ready {
                    self.transport.listed(server, &e, stop.filter(|_| !ready));
                }
                self.listed.insert(server, e);
            }
        }
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            for (server, host) in self.listed.iter_mut().filter(|(s, _)| !seen.contains(s)) {
                if host.state == ServerState::Ready {
                    self.transport.listed(*server, host, stop);
                }
                host.state = ServerState::Gone;
            }
        }
        let is_gone = |host: &Listed| host.state == ServerState::Gone;
        self.gone.retain(|s, _| self.listed.get(s).is_some_and(is_gone));
        for (server, _) in self.listed.iter().filter(|(_, host)| is_gone(host)) {
            self.gone.entry(*server).or_insert(now + FORGET);
        }
        self.counters.inc("list.news");
        self.tell(now, Event::List { kind, entries: told });
    }

    fn forget_gone(&mut self, now: Instant) {
        let due: Vec<ServerId> = self.gone.iter().filter(|g| *g.1 <= now).map(|g| *g.0).collect();
        for server in due {
            // What is out there still ends by its actor.
            if !self.out.contains_key(&server) {
                self.gone.remove(&server);
                self.listed.remove(&server);
                self.servers.forget(server.0);
                self.transport.forget(server);
                self.counters.inc("list.forgotten");
            }
        }
    }

    /// Time-outs, deadlines and wake-ups that are due.
    pub fn run_timers(&mut self, now: Instant) {
        self.forget_gone(now);
        while self.wakes.first().is_some_and(|t| *t <= now) {
            self.wakes.pop_first();
            self.tell(now, Event::Wake);
        }
        while let Some((_, part, n)) = self.timeouts.first().copied().filter(|t| t.0 <= now) {
            self.timeouts.pop_first();
            self.give_up(part, n, Outcome::Timeout);
        }
        while let Some((_, id)) = self.deadlines.first().copied().filter(|t| t.0 <= now) {
            // The module ends its queries before their time; this holds whatever it does.
            if let Some(q) = self.close(id) {
                self.counters.inc("answered.failed.deadline");
                let missing = self.missing(&q.parts);
                self.drop_parts(&q.parts);
                let _ = q.reply.send(Answer::Failed { retry_after: None, cause: Cause::Late, missing });
            }
            self.tell(now, Event::Withdrawn { query: id });
        }
    }

    /// The attempt's outcome comes back once the host was told: a resend can't overlap with it.
    fn give_up(&mut self, part: RequestId, n: u32, outcome: Outcome) {
        if let Some(a) = self.attempts.get_mut(&(part, n)).filter(|a| !a.given_up) {
            a.given_up = true;
            self.counters.inc("sent.cancels");
            self.transport.cancel(a.server, part, n, outcome);
        }
    }

    fn release_name(&mut self, name: &Arc<str>) {
        if let Some(n) = self.names.get_mut(name) {
            *n -= 1;
            if *n == 0 {
                self.names.remove(name);
                if let Some(seat) = &self.seat {
                    seat.names.close(name, seat.core);
                }
            }
        }
    }

    fn missing(&self, parts: &[RequestId]) -> Vec<Missing> {
        let parts = parts.iter().filter_map(|p| self.parts.get(p));
        let last = |p: &Part| if p.out { Some(Outcome::Timeout) } else { p.last };
        parts.filter(|p| p.value.is_none()).map(|p| Missing { shard: p.shard, last: last(p) }).collect()
    }

    fn drop_parts(&mut self, parts: &[RequestId]) {
        for part in parts.iter().filter_map(|p| self.parts.remove(p)) {
            self.held -= part.value.map_or(0, |v| v.len());
            if let Some(seat) = &self.seat {
                seat.lease.give(1);
            }
        }
    }

    /// What of these parts has not begun yet never does: their query is over, or its client has left.
    fn retract(&mut self, parts: &[RequestId]) {
        for (id, part) in parts.iter().filter_map(|id| Some((*id, self.parts.get(id)?))) {
            for n in 0..part.attempts {
                if let Some(a) = self.attempts.get(&(id, n)).filter(|a| !a.given_up) {
                    self.transport.retract(a.server, id, n);
                }
            }
        }
    }

    /// Takes a query out; its parts stay until the caller has read them.
    fn close(&mut self, id: RequestId) -> Option<Query> {
        let q = self.queries.remove(&id)?;
        if let Some(seat) = &self.seat {
            seat.lease.give(1);
        }
        self.tickets.remove(&q.ticket);
        self.deadlines.remove(&(q.deadline, id));
        self.release_name(&q.name);
        if !self.may_cancel {
            self.retract(&q.parts);
        }
        if q.reply.is_closed() {
            self.drop_parts(&q.parts);
        }
        Some(q)
    }

    /// Lets the module decide and carries out what it asks for.
    pub fn turn_end(&mut self, now: Instant) {
        let at = self.clock.at(now);
        if let Some((voice, _)) = &mut self.voice {
            voice.tell(at, &mut self.router, &mut self.actions);
        }
        self.tell(now, Event::TurnEnd);
        if let Some((voice, words)) = &mut self.voice {
            let word = voice.speak(at, &self.router, &self.actions, |id| self.servers.name(id.0));
            // One that finds the socket busy is dropped: the next says the same anew.
            word.into_iter().for_each(|w| drop(words.try_send(w)));
        }
        if now >= self.show_at {
            self.show_at = now + SHOW;
            self.counters.show_pool(self.router.pool());
        }
        let mut calls: BTreeMap<ServerId, Vec<CallPart>> = BTreeMap::new();
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Send { part, server, timeout } => {
                    if let Some(call) = self.new_attempt(part, server, timeout, now) {
                        calls.entry(server).or_default().push(call);
                    }
                }
                Action::Cancel { part, attempt } => self.give_up(part, attempt, Outcome::Cancelled),
                Action::Answer { query, whole } => self.answer(query, whole),
                Action::Refuse { query, retry_after, cause } => {
                    self.counters.inc(match cause {
                        Cause::Busy => "answered.refused.busy",
                        Cause::NoHost => "answered.refused.no_host",
                        Cause::Late => "answered.refused.late",
                        Cause::Lost => "answered.refused.lost",
                    });
                    self.end(query, |missing| Answer::Refused { retry_after, cause, missing });
                }
                Action::Fail { query, retry_after, cause } => {
                    self.counters.inc(match cause {
                        Cause::Busy | Cause::NoHost => "answered.failed.no_host",
                        Cause::Late => "answered.failed.late",
                        Cause::Lost => "answered.failed.lost",
                    });
                    self.end(query, |missing| Answer::Failed { retry_after, cause, missing });
                }
                Action::Probe { server } => {
                    self.counters.inc("sent.probes");
                    self.transport.probe(server);
                }
                Action::Release { server } => self.transport.release(server),
                // Discovery pushes here: the list actor watches it from the start.
                Action::Subscribe => {}
                Action::Wake { after } => {
                    self.wakes.insert(now + after);
                }
            }
        }
        // One turn's parts to one host are one call, up to the batch limit.
        for (server, parts) in calls {
            let mut parts = parts.into_iter().peekable();
            while parts.peek().is_some() {
                self.counters.inc("sent.calls");
                self.transport.call(server, parts.by_ref().take(self.bundle).collect());
            }
        }
    }

    fn new_attempt(
        &mut self,
        id: RequestId,
        server: ServerId,
        timeout: Duration,
        now: Instant,
    ) -> Option<CallPart> {
        let part = self.parts.get_mut(&id)?;
        let q = self.queries.get(&part.query)?;
        let attempt = part.attempts;
        part.attempts += 1;
        part.out = true;
        self.counters.inc(if attempt == 0 { "sent.first" } else { "sent.resends" });
        let give_up = (now + timeout).min(q.deadline);
        log::trace!("send {} {}.{} n={attempt} for {timeout:?}", server.0, q.name, part.shard);
        let (name, key, payload) = (q.name.clone(), q.key.clone(), q.payload.clone());
        self.names.entry(name.clone()).and_modify(|n| *n += 1).or_insert(1);
        let open = Attempt { server, name: name.clone(), sent: now, give_up, given_up: false };
        self.attempts.insert((id, attempt), open);
        *self.out.entry(server).or_default() += 1;
        self.timeouts.insert((give_up, id, attempt));
        Some(CallPart { part: id, attempt, name, shard: part.shard, give_up, key, payload })
    }

    fn answer(&mut self, id: RequestId, whole: bool) {
        let Some(q) = self.close(id) else { return };
        let missing = self.missing(&q.parts);
        let piece = |p: &RequestId| {
            let part = self.parts.get(p)?;
            part.value.clone().map(|value| Piece { shard: part.shard, value })
        };
        let pieces: Vec<Piece> = q.parts.iter().filter_map(piece).collect();
        // Never marked whole before all that makes it whole is in.
        let full = whole && !pieces.is_empty();
        self.counters.inc(if full { "answered.served.full" } else { "answered.served.partial" });
        self.drop_parts(&q.parts);
        let _ = q.reply.send(Answer::Served { full, pieces, missing });
    }

    fn end(&mut self, id: RequestId, answer: impl FnOnce(Vec<Missing>) -> Answer) {
        let Some(q) = self.close(id) else { return };
        let missing = self.missing(&q.parts);
        self.drop_parts(&q.parts);
        let answer = answer(missing);
        log::trace!("end {} {answer:?}", q.name);
        let _ = q.reply.send(answer);
    }
}
