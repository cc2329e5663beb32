//! The interface of the decision module: the events that a router takes and the actions that it
//! returns.
//!
//! This module contains no decisions. All times are [`Duration`]s. Points in time count from an
//! origin that the caller chooses once; they never decrease. Shares are fractions from 0 to 1.

use std::time::Duration;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $number:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $number);
    };
}

id!(
    /// A query or a part of one. The caller assigns the ids and never uses one twice in one router.
    RequestId,
    u64
);
id!(
    /// A server. The caller assigns the ids; a server keeps its id when its process starts again.
    ServerId,
    u32
);
id!(
    /// A class of queries: its position in [`RouterSettings::classes`].
    ClassId,
    u32
);
id!(
    /// A tenant: its position in [`RouterSettings::tenants`].
    TenantId,
    u32
);
id!(
    /// A zone, numbered by the caller.
    ZoneId,
    u32
);

/// Whether a part may be run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats do no harm.
    Idempotent,
    /// Servers recognise repeats by a key, for this long after the first attempt that may have run.
    Keyed(Duration),
    /// A part may be repeated only if no earlier attempt can have run.
    NotIdempotent,
}

/// A class of queries: its latency target, its value, and the requirements on its answers.
#[derive(Clone, Debug)]
pub struct QueryClass {
    /// An answer within this time earns the full value (latency SLO).
    pub latency_target: Duration,
    /// Total time that a client waits, including its own retries.
    pub client_timeout: Duration,
    /// Share of the value that an answer after the latency target still earns.
    pub late_value: f64,
    /// Value of a complete answer within the latency target.
    pub value: f64,
    /// Whether parts may be run more than once.
    pub idempotency: Idempotency,
    /// Share of the parts' weight that makes an answer complete.
    pub complete_share: f64,
    /// Smallest share of the parts' weight that a partial answer may be based on.
    pub min_share: f64,
    /// Value of a partial answer: this share of the class's value, times the answered share of the
    /// weight, divided by `complete_share`.
    pub partial_value: f64,
    /// Number of parts in the second step; 0 for a class with one step.
    pub second_step_parts: u32,
}

/// A tenant of the service.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// The share of the traffic that it is entitled to.
    pub share: f64,
    /// Queries per second that it may send, over all routers.
    pub quota_per_s: f64,
}

/// A budget on retries and hedged requests, that is, on all attempts beyond the first one of a
/// part.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries allowed in a window even without traffic.
    pub min_retries: f64,
    /// Additional retries allowed, as a share of the queries and parts that arrived in the window.
    pub retry_share: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Load that a server can take while it warms up after its start.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Share of its full capacity right after the start.
    pub initial_share: f64,
    /// Time from the start until the server has its full capacity.
    pub ramp: Duration,
    /// A server fails if its load exceeds its current capacity by this factor for `overload_time`.
    pub overload_factor: f64,
    /// Time after which such an overload makes it fail. The load is that of all routers together.
    pub overload_time: Duration,
}

/// Placement of the shards: shard `s` is held by the cells `s` to `s + cells_per_shard - 1`, modulo
/// `cells`.
#[derive(Clone, Copy, Debug)]
pub struct ShardLayout {
    /// Number of cells.
    pub cells: u32,
    /// Number of consecutive cells that hold a shard.
    pub cells_per_shard: u32,
}

/// Settings of a router, fixed at its start. A feature whose option is `None` is off.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// The classes of queries.
    pub classes: Vec<QueryClass>,
    /// Whether the value of a query is that of its class times its number of parts. Otherwise all
    /// queries of a class have the same value.
    pub value_by_work: bool,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Number of routers that use the same servers, this one included.
    pub routers: u32,
    /// The zone of this router.
    pub zone: Option<ZoneId>,
    /// Whether traffic to other zones has a cost.
    pub cross_zone_cost: bool,
    /// Placement of the shards.
    pub shard_layout: ShardLayout,
    /// Largest number of parts in one call to a server.
    pub max_parts_per_call: u32,
    /// Work of a server per call in addition to the work of the parts; may be zero.
    pub call_overhead: Duration,
    /// Largest number of attempts at one part.
    pub max_attempts: u32,
    /// Whether a part may have two attempts in flight.
    pub hedging: bool,
    /// Whether attempts can be cancelled.
    pub cancellation: bool,
    /// Whether unreachable servers may be probed (active health checks).
    pub probes: bool,
    /// Longest retry-after hint that clients follow; `None` if clients get no hints.
    pub max_retry_after: Option<Duration>,
    /// The budget on retries and hedged requests.
    pub retry_budget: Option<RetryBudget>,
    /// Limits for servers that warm up.
    pub slow_start: Option<SlowStart>,
    /// Time within which the router must subscribe to the server list; `None` if it gets the list
    /// without a subscription.
    pub subscribe_within: Option<Duration>,
    /// Time after the notice of a drain within which the server may still be sent parts.
    pub drain_grace: Duration,
    /// Shortest time between two turns.
    pub min_turn_interval: Duration,
}

/// The load that a server reports with an answer. Values that it does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of requests in progress or queued.
    pub in_flight: Option<f64>,
    /// Number of requests waiting in its queue.
    pub queued: Option<f64>,
    /// Share of its processors that is busy.
    pub utilization: Option<f64>,
}

/// State of a listed server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ServerState {
    /// Accepts new requests.
    Ready,
    /// Completes its requests and accepts no new ones.
    Draining,
    /// No longer in the list.
    Gone,
}

/// An entry of the server list.
#[derive(Clone, Copy, Debug)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell, which determines the shards it holds.
    pub cell: u32,
    /// Its state.
    pub state: ServerState,
    /// Time of its latest start; `None` if that was long ago.
    pub started_at: Option<Duration>,
}

/// Kind of a server list update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Changes,
    /// The complete list: servers that it does not contain are gone.
    Full,
    /// The list that this router had before a restart; may be stale.
    Cached,
    /// Subscribing failed, or the subscription ended. The update has no entries.
    Failed,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served successfully.
    Ok,
    /// The server answered with an error; the part may have run.
    Error,
    /// The server rejected the request without processing it.
    Rejected,
    /// No answer in time; the part may have run or may still be running.
    Timeout,
    /// No connection was established; the part did not run.
    ConnectFailed,
    /// The connection broke; the part may have run.
    Reset,
    /// Cancelled by the router; the part may have run.
    Cancelled,
    /// Not sent at all.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt did not run.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }
}

/// An input of a router.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the server list.
    ServerList {
        /// Kind of the update.
        kind: ListKind,
        /// Its entries.
        entries: Vec<ServerEntry>,
    },
    /// A query arrived. Its parts follow in the same turn.
    Query {
        /// Its id.
        id: RequestId,
        /// Its class.
        class: ClassId,
        /// Its tenant.
        tenant: Option<TenantId>,
        /// When it arrived; `None` if that is not known. It is in the past if the query had to wait
        /// for this router, for example while the process was paused.
        arrived_at: Option<Duration>,
        /// When its client stops waiting.
        deadline: Duration,
        /// Whether it is a client's retry; `None` if clients do not mark retries.
        is_retry: Option<bool>,
    },
    /// A part of a query, in its first or second step.
    Part {
        /// Its id.
        id: RequestId,
        /// The query.
        query: RequestId,
        /// The shard that it reads.
        shard: u32,
        /// Its share of the weight of the step.
        weight: f64,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The part.
        part: RequestId,
        /// Attempt number.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: Duration,
        /// Whether no further attempt at the part is allowed.
        closed: bool,
        /// The load report of the answer.
        report: Option<LoadReport>,
    },
    /// The client of a query stopped waiting.
    ClientLeft {
        /// The query.
        query: RequestId,
    },
    /// A probe ended.
    ProbeEnded {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// The load report of the answer.
        report: Option<LoadReport>,
    },
    /// Another router on the same machine failed to connect to this server.
    Unreachable {
        /// The server.
        server: ServerId,
    },
    /// The load of the other routers on a server, as published by them.
    PeerLoad {
        /// The server.
        server: ServerId,
        /// Number of their parts in flight there, in total.
        in_flight: f64,
        /// Age of the oldest published value in that total.
        age: Duration,
    },
    /// A wake-up that the router requested is due.
    Wake,
    /// All events of this turn have been handled; the router makes its decisions now.
    TurnEnded,
}

/// Reason for rejecting or failing a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The load is higher than can be served in time.
    Overloaded,
    /// No usable server holds one of its shards.
    NoHost,
    /// An answer would be too late to be useful.
    TooLate,
    /// Parts that the answer needs have failed and may not be sent again.
    PartsLost,
}

/// An output of a router.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a part to a server. The attempts at a part are numbered from 0 in the order of these
    /// actions.
    Send {
        /// The part.
        part: RequestId,
        /// The server.
        server: ServerId,
        /// Time after which the attempt times out.
        timeout: Duration,
    },
    /// Cancel an attempt.
    Cancel {
        /// The part.
        part: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Answer a query from its answered parts.
    Answer {
        /// The query.
        query: RequestId,
        /// Whether the answer is complete.
        complete: bool,
    },
    /// Reject a query: the client may retry it without harm.
    Reject {
        /// The query.
        query: RequestId,
        /// Time after which the client should retry; `None` for no hint.
        retry_after: Option<Duration>,
        /// The reason.
        cause: Cause,
    },
    /// Fail a query: it may have taken effect, so a retry may do harm.
    Fail {
        /// The query.
        query: RequestId,
        /// Time after which the client should retry; `None` for no hint.
        retry_after: Option<Duration>,
        /// The reason.
        cause: Cause,
    },
    /// Probe a server (health check).
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Close the idle connections to a server, so that the next send opens a new one.
    CloseIdleConnections {
        /// The server.
        server: ServerId,
    },
    /// Subscribe to updates of the server list.
    Subscribe,
    /// Wake the router after this time.
    Wake {
        /// Time from now.
        after: Duration,
    },
}
