//! The queries, parts and attempts of one core, and how the decision module's actions change them.

mod attempts;
mod list;
mod queries;
mod turn;

use super::clock::Clock;
use super::message::{CoreMessage, Endpoint};
use super::names::NameTable;
use super::query::Answer;
use super::settings::SiteSettings;
use super::transport::Transport;
use crate::cores::SharedCoreState;
use crate::counters::Counters;
use crate::decision::Router;
use crate::interface::{Action, Cause, Event, Idempotency, Outcome, RequestId, ServerId};
use crate::peers::{Datagram, LoadPublisher};
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};

/// Longest time between two wake-ups of a core.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// A query between its arrival and its answer.
struct Query {
    ticket: u64,
    reply: oneshot::Sender<Answer>,
    name: Arc<str>,
    idempotency_key: Option<Arc<str>>,
    payload: Bytes,
    deadline: Instant,
    /// Time after the first attempt that may have run during which a part may be sent again; `None` if there is no
    /// limit, or if the part must not be sent again at all.
    repeat_window: Option<Duration>,
    parts: Vec<RequestId>,
}

struct Part {
    query: RequestId,
    shard: u32,
    /// Number of attempts started so far.
    attempts: u32,
    /// Whether the latest attempt is in flight.
    in_flight: bool,
    value: Option<Bytes>,
    last_outcome: Option<Outcome>,
    /// The send time of the earliest attempt that has ended and may have run.
    may_have_run_since: Option<Instant>,
}

/// An attempt in flight.
struct Attempt {
    server: ServerId,
    query_name: Arc<str>,
    sent_at: Instant,
    times_out_at: Instant,
    /// Whether the attempt was cancelled or timed out; its outcome is then still to be reported.
    given_up: bool,
}

/// The part of an attempt and the attempt's number within it.
type AttemptKey = (RequestId, u32);

/// The publisher of this coordinator's load to its peers, with the channel to the gossip socket.
struct PeerLink {
    publisher: LoadPublisher,
    datagrams: mpsc::Sender<Datagram>,
}

/// The state of one core. It does no I/O except through its transport.
pub struct QueryTable<T> {
    router: Router,
    clock: Clock,
    transport: T,
    counters: Counters,
    /// Number of queries and parts that may be open at once.
    max_open: usize,
    max_parts_per_call: usize,
    drain_grace: Duration,
    max_retry_after: Option<Duration>,
    /// The idempotency of each class, which decides how a part may be repeated.
    class_idempotency: Vec<Idempotency>,
    /// Whether attempts may be cancelled. If so, the decision module cancels attempts whose result is no longer needed.
    cancellation: bool,
    servers: NameTable,
    zones: NameTable,
    endpoints: BTreeMap<ServerId, Endpoint>,
    /// Hosts that are gone, with the time of their removal.
    forget_at: BTreeMap<ServerId, Instant>,
    queries: HashMap<RequestId, Query>,
    queries_by_ticket: HashMap<u64, RequestId>,
    parts: HashMap<RequestId, Part>,
    attempts: HashMap<AttemptKey, Attempt>,
    /// Number of attempts in flight at each host.
    in_flight: HashMap<ServerId, usize>,
    /// Query names in use, with the number of open queries and attempts of each.
    names_in_use: HashMap<Arc<str>, u32>,
    /// Attempts in flight, ordered by the time at which they time out.
    timeouts: BTreeSet<(Instant, RequestId, u32)>,
    deadlines: BTreeSet<(Instant, RequestId)>,
    wake_ups: BTreeSet<Instant>,
    next_id: u64,
    /// Bytes of the values held. Hosts' answers must not exhaust memory: a value beyond the limit counts as an error of
    /// its host.
    value_bytes: usize,
    max_value_bytes: usize,
    actions: Vec<Action>,
    /// State shared with the other cores of the process; `None` for a single core.
    shared: Option<SharedCoreState>,
    /// Number of consecutive failed connections to each host.
    failed_connects: HashMap<ServerId, u32>,
    /// The time at which the counts of the host list are published next.
    publish_counts_at: Instant,
    peers: Option<PeerLink>,
}

impl<T: Transport> QueryTable<T> {
    /// Creates the table of a core, without queries. It holds at most `max_value_bytes` of values in total.
    pub fn new(
        site: SiteSettings,
        seed: u64,
        clock: Clock,
        transport: T,
        max_value_bytes: usize,
        counters: Counters,
    ) -> Self {
        let settings = site.router;
        let class_idempotency = settings.classes.iter().map(|c| c.idempotency).collect();
        Self {
            max_open: site.limits.max_open,
            max_parts_per_call: settings.max_parts_per_call.max(1) as usize,
            drain_grace: site.limits.drain_grace,
            max_retry_after: settings.max_retry_after,
            cancellation: settings.cancellation,
            router: Router::new(settings, seed),
            clock,
            transport,
            counters,
            class_idempotency,
            servers: NameTable::default(),
            zones: site.zones,
            endpoints: BTreeMap::new(),
            forget_at: BTreeMap::new(),
            queries: HashMap::new(),
            queries_by_ticket: HashMap::new(),
            parts: HashMap::new(),
            attempts: HashMap::new(),
            in_flight: HashMap::new(),
            names_in_use: HashMap::new(),
            timeouts: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            wake_ups: BTreeSet::new(),
            next_id: 0,
            value_bytes: 0,
            max_value_bytes,
            actions: Vec::new(),
            shared: None,
            failed_connects: HashMap::new(),
            publish_counts_at: Instant::now(),
            peers: None,
        }
    }

    /// Makes the core publish its load to other coordinators through `datagrams`.
    #[must_use]
    pub fn with_gossip(
        mut self,
        publisher: LoadPublisher,
        datagrams: mpsc::Sender<Datagram>,
    ) -> Self {
        self.peers = Some(PeerLink {
            publisher,
            datagrams,
        });
        self
    }

    /// Makes the core one of several that share state.
    #[must_use]
    pub fn with_shared_state(mut self, shared: SharedCoreState) -> Self {
        self.shared = Some(shared);
        self
    }

    /// Returns the time at which the core has to run even if no message arrives.
    pub fn next_wake_at(&self) -> Instant {
        let timeout = self.timeouts.first().map(|t| t.0);
        let deadline = self.deadlines.first().map(|d| d.0);
        let first = [timeout, deadline, self.wake_ups.first().copied()]
            .into_iter()
            .flatten()
            .min();
        let latest = Instant::now() + MAX_SLEEP;
        first.map_or(latest, |at| at.min(latest))
    }

    /// Passes an event to the decision module.
    fn notify_router(&mut self, now: Instant, event: Event) {
        self.router
            .handle(self.clock.at(now), event, &mut self.actions);
    }

    fn new_id(&mut self) -> RequestId {
        self.next_id += 1;
        RequestId(self.next_id)
    }

    /// Handles one message. The decision module's actions in response are carried out by
    /// [`end_turn`](Self::end_turn).
    pub fn handle_message(&mut self, message: CoreMessage, now: Instant) {
        match message {
            CoreMessage::Submit(query, ticket, reply) => {
                self.submit_query(*query, ticket, reply, now);
            }
            CoreMessage::Withdraw(ticket) => self.withdraw_query(ticket, now),
            CoreMessage::AttemptEnded(end) => self.attempt_ended(end, now),
            CoreMessage::ProbeEnded(server, outcome, report) => {
                self.count_failed_connect(server, outcome);
                self.notify_router(
                    now,
                    Event::ProbeEnded {
                        server,
                        outcome,
                        report,
                    },
                );
            }
            CoreMessage::HostList(kind, endpoints) => self.update_host_list(kind, endpoints, now),
            CoreMessage::HostUnreachable(id) => {
                if let Some(server) = self.servers.number(&id).map(ServerId) {
                    self.notify_router(now, Event::Unreachable { server });
                }
            }
            CoreMessage::Gossip(from, bytes) => self.gossip_received(from, &bytes, now),
            CoreMessage::ListVersion(version) => {
                if let Some(shared) = &self.shared {
                    shared.gates.acknowledge(shared.core, version);
                }
            }
            // The sender may have given up waiting.
            CoreMessage::Barrier(reply) => drop(reply.send(())),
        }
    }

    fn gossip_received(&mut self, from: u32, bytes: &[u8], now: Instant) {
        let at = self.clock.at(now);
        if let Some(peers) = &mut self.peers {
            let outcome = peers.publisher.receive(at, from, bytes);
            self.counters.inc(outcome.counter());
        }
    }

    /// Handles the wake-ups, timeouts and deadlines that are due.
    pub fn run_timers(&mut self, now: Instant) {
        self.forget_gone_hosts(now);
        while self.wake_ups.first().is_some_and(|at| *at <= now) {
            self.wake_ups.pop_first();
            self.notify_router(now, Event::Wake);
        }
        while let Some((_, part, number)) = self.timeouts.first().copied().filter(|t| t.0 <= now) {
            self.timeouts.pop_first();
            self.give_up_attempt(part, number, Outcome::Timeout);
        }
        while let Some((_, query)) = self.deadlines.first().copied().filter(|d| d.0 <= now) {
            self.fail_at_deadline(query);
            self.notify_router(now, Event::ClientLeft { query });
        }
    }

    /// Fails a query that is still open at its deadline. The decision module normally ends queries before then; this
    /// guarantees it, whatever the module does.
    fn fail_at_deadline(&mut self, id: RequestId) {
        if let Some(query) = self.close_query(id) {
            self.counters.inc("answered.failed.deadline");
            let missing = self.missing_parts(&query.parts);
            self.drop_parts(&query.parts);
            let _ = query.reply.send(Answer::Failed {
                retry_after: None,
                cause: Cause::TooLate,
                missing,
            });
        }
    }
}
