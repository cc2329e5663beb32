//! Queries, parts and attempts, and what the module's actions do to them.

mod attempts;
mod list;
mod queries;
mod turn;

use super::names::Names;
use super::settings::Site;
use super::{
    Action, Answer, Arc, Bytes, CallPart, Cause, Clock, Duration, Ended, Endpoint, Event,
    Idempotency, Instant, ListKind, Mail, Missing, NewQuery, Outcome, Piece, RequestId,
    ServerEntry, ServerId, ServerState, Transport, ZoneId,
};
use crate::cores::SharedCoreState;
use crate::counters::Counters;
use crate::peers::{Datagram, LoadPublisher};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use tokio::sync::{mpsc, oneshot};

/// Longest sleep of the core.
const LONGEST_REST: Duration = Duration::from_secs(1);

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
    listed: BTreeMap<ServerId, Endpoint>,
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
    seat: Option<SharedCoreState>,
    /// Connections in a row that did not come up, by host.
    unreached: HashMap<ServerId, u32>,
    /// When the list's figures are shown next.
    show_at: Instant,
    /// The gossip with the other coordinators, and where its updates go.
    load_publisher: Option<(LoadPublisher, mpsc::Sender<Datagram>)>,
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
        let keyed = site
            .settings
            .classes
            .iter()
            .map(|c| c.idempotency != Idempotency::Idempotent)
            .collect();
        Self {
            open_cap: site.caps.open,
            bundle: site.settings.max_parts_per_call.max(1) as usize,
            drain_grace: site.caps.drain_grace,
            longest_hint: site.settings.max_retry_after,
            may_cancel: site.settings.cancellation,
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
            load_publisher: None,
        }
    }

    /// The same in gossip with the other coordinators; its updates go to the channel.
    pub fn with_gossip(
        mut self,
        load_publisher: LoadPublisher,
        updates: mpsc::Sender<Datagram>,
    ) -> Self {
        self.load_publisher = Some((load_publisher, updates));
        self
    }

    /// The same as one of several cores.
    pub fn among(mut self, seat: SharedCoreState) -> Self {
        self.seat = Some(seat);
        self
    }

    /// When the core has something to do of its own accord.
    pub fn next_wake(&self) -> Instant {
        let timeout = self.timeouts.first().map(|t| t.0);
        let deadline = self.deadlines.first().map(|t| t.0);
        let first = [timeout, deadline, self.wakes.first().copied()]
            .into_iter()
            .flatten()
            .min();
        let latest = Instant::now() + LONGEST_REST;
        first.map_or(latest, |t| t.min(latest))
    }

    fn tell(&mut self, now: Instant, event: Event) {
        self.router
            .handle(self.clock.at(now), event, &mut self.actions);
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
                    self.tell(now, Event::ClientLeft { query: id });
                }
            }
            Mail::Ended(ended) => self.on_ended(ended, now),
            Mail::Probed(server, outcome, report) => {
                self.hear(server, outcome);
                self.tell(
                    now,
                    Event::ProbeEnded {
                        server,
                        outcome,
                        report,
                    },
                );
            }
            Mail::List(kind, entries) => self.on_list(kind, entries, now),
            Mail::Unreached(id) => {
                if let Some(server) = self.servers.find(&id).map(ServerId) {
                    self.tell(now, Event::Unreachable { server });
                }
            }
            Mail::Heard(from, bytes) => {
                let at = self.clock.at(now);
                if let Some((load_publisher, _)) = &mut self.load_publisher {
                    self.counters
                        .inc(load_publisher.receive(at, from, &bytes).counter());
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
                let _ = q.reply.send(Answer::Failed {
                    retry_after: None,
                    cause: Cause::TooLate,
                    missing,
                });
            }
            self.tell(now, Event::ClientLeft { query: id });
        }
    }
}
