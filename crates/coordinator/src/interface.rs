//! The interface of the decision module: the events that a router takes and the actions that it
//! returns.
//!
//! Nothing here decides anything. All times are [`Duration`]s. Points in time count from an origin
//! that the caller chooses once; they never go back. Shares are fractions from 0 to 1.

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
    /// A repeat is allowed only if no earlier attempt can have run.
    NotIdempotent,
}

/// A class of queries: its latency target, its value and what counts as an answer.
#[derive(Clone, Debug)]
pub struct QueryClass {
    /// An answer within this time earns its full value (latency SLO).
    pub latency_target: Duration,
    /// How long the client waits in all, over its own retries.
    pub client_timeout: Duration,
    /// Share of the value that an answer past the latency target still earns.
    pub late_value: f64,
    /// What a complete answer within the latency target earns.
    pub value: f64,
    /// Whether parts may be run more than once.
    pub idempotency: Idempotency,
    /// Share of the parts' weight that makes an answer complete.
    pub complete_share: f64,
    /// Smallest share of the parts' weight that a partial answer may rest on.
    pub min_share: f64,
    /// What a partial answer earns: this share of the value, times its weight over
    /// `complete_share`.
    pub partial_value: f64,
    /// Number of parts in the second step; 0 for a class with one step.
    pub second_step_parts: u32,
}

/// A tenant of the service.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// The share of the traffic that it is entitled to.
    pub share: f64,
    /// Queries a second that it may send, over all routers.
    pub quota_per_s: f64,
}

/// A budget on retries and hedged requests: attempts beyond each part's first.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries allowed in a window however light the traffic is.
    pub min_retries: f64,
    /// Retries allowed on top, as a share of the queries and parts that arrived in the window.
    pub retry_share: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// How much load a server takes while it warms up after its start.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Share of its full capacity right after the start.
    pub initial_share: f64,
    /// Time from the start until it has its full capacity.
    pub ramp: Duration,
    /// A server fails when it gets more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this long, from all routers together.
    pub overload_time: Duration,
}

/// Placement of the shards: shard `s` is on the cells `s` to `s + cells_per_shard - 1`, modulo
/// `cells`.
#[derive(Clone, Copy, Debug)]
pub struct ShardLayout {
    /// Number of cells.
    pub cells: u32,
    /// Number of consecutive cells that hold a shard.
    pub cells_per_shard: u32,
}

/// Settings of a router, fixed at its start. An absent option turns its feature off.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// The classes of queries.
    pub classes: Vec<QueryClass>,
    /// Whether a query's value is that of its class times its number of parts. Otherwise each query
    /// of a class has the same value.
    pub value_by_work: bool,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Number of routers that use the same servers, this one included.
    pub routers: u32,
    /// The zone of this router.
    pub zone: Option<ZoneId>,
    /// Whether traffic to another zone has a cost.
    pub cross_zone_cost: bool,
    /// Placement of the shards.
    pub shard_layout: ShardLayout,
    /// Largest number of parts in one call to a server.
    pub max_parts_per_call: u32,
    /// Work that a call costs the server besides its parts; zero for none.
    pub call_overhead: Duration,
    /// Largest number of attempts for one part.
    pub max_attempts: u32,
    /// Whether a part may have two attempts in flight at once.
    pub hedging: bool,
    /// Whether attempts can be cancelled.
    pub cancellation: bool,
    /// Whether unreachable servers may be probed (active health checks).
    pub probes: bool,
    /// Longest retry-after hint that clients follow; `None` if they get no hints.
    pub max_retry_after: Option<Duration>,
    /// The budget on retries and hedged requests.
    pub retry_budget: Option<RetryBudget>,
    /// Limits for servers that warm up.
    pub slow_start: Option<SlowStart>,
    /// Set if the router has to subscribe to the server list itself: the time within which it does
    /// so.
    pub subscribe_within: Option<Duration>,
    /// Time after the notice of a drain by which sends to that server must have stopped.
    pub drain_grace: Duration,
    /// Shortest time between two turns.
    pub min_turn_interval: Duration,
}

/// The load that a server reports with an answer. A value that it doesn't report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that it works on or has queued.
    pub in_flight: Option<f64>,
    /// Requests that wait in its queue.
    pub queued: Option<f64>,
    /// Busy share of its processors.
    pub utilization: Option<f64>,
}

/// State of a listed server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ServerState {
    /// Takes requests.
    Ready,
    /// Finishes its requests and takes no new ones.
    Draining,
    /// Not in the list any more.
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
    /// Its latest start; `None` if that was long ago.
    pub started_at: Option<Duration>,
}

/// Kind of an update of the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Changes,
    /// The complete list: a server that isn't in it is gone.
    Full,
    /// The list that this router had before a restart; may be stale.
    Cached,
    /// Subscribing failed, or the subscription ended; there are no entries.
    Failed,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server answered with an error; the part may have run.
    Error,
    /// The server rejected it unprocessed.
    Rejected,
    /// No answer in time; the part may have run or may still run.
    Timeout,
    /// No connection came about; the part never ran.
    ConnectFailed,
    /// The connection broke; the part may have run.
    Reset,
    /// Cancelled by the router; the part may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
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
    /// A query arrived; its parts follow in the same turn.
    Query {
        /// Its id.
        id: RequestId,
        /// Its class.
        class: ClassId,
        /// Its tenant.
        tenant: Option<TenantId>,
        /// When it arrived, which is earlier than now if it had to wait for this router, as while
        /// the process stood still; `None` if that isn't known.
        arrived_at: Option<Duration>,
        /// When its client stops waiting.
        deadline: Duration,
        /// Whether it is a client's retry; `None` if clients don't mark retries.
        is_retry: Option<bool>,
    },
    /// A part of a query, of its first or second step.
    Part {
        /// Its id.
        id: RequestId,
        /// The query.
        query: RequestId,
        /// The shard that it reads.
        shard: u32,
        /// Its share of the step's weight.
        weight: f64,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The part.
        part: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: Duration,
        /// Whether the part is over: no attempt of it may follow.
        closed: bool,
        /// The load report that came with it.
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
        /// The load report that came with it.
        report: Option<LoadReport>,
    },
    /// Another router on the same machine could not connect to this server.
    Unreachable {
        /// The server.
        server: ServerId,
    },
    /// The load that the other routers have on a server, as they publish it.
    PeerLoad {
        /// The server.
        server: ServerId,
        /// Their parts in flight there, over all of them.
        in_flight: f64,
        /// Age of the oldest update in that sum.
        age: Duration,
    },
    /// A wake-up that the router asked for is due.
    Wake,
    /// All events of this turn have been handed over: the router decides now.
    TurnEnded,
}

/// Why a query was rejected or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// There is more load than can be served in time.
    Overloaded,
    /// No server in service holds one of its shards.
    NoHost,
    /// An answer would no longer be of use.
    TooLate,
    /// Parts that it needs failed and may not be sent again.
    PartsLost,
}

/// An output of a router.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a part to a server. The attempts of a part are numbered from 0 in the order of these
    /// actions.
    Send {
        /// The part.
        part: RequestId,
        /// The server.
        server: ServerId,
        /// The attempt times out after this.
        timeout: Duration,
    },
    /// Cancel an attempt.
    Cancel {
        /// The part.
        part: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Answer a query from the parts that have been answered.
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
        /// When the client should retry.
        retry_after: Option<Duration>,
        /// Why.
        cause: Cause,
    },
    /// Fail a query: it may have taken effect.
    Fail {
        /// The query.
        query: RequestId,
        /// When the client should retry.
        retry_after: Option<Duration>,
        /// Why.
        cause: Cause,
    },
    /// Probe a server (health check).
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Close the unused connections to a server, so that the next send opens a new one.
    CloseIdleConnections {
        /// The server.
        server: ServerId,
    },
    /// Subscribe to updates of the server list.
    Subscribe,
    /// Wake the router after this time.
    Wake {
        /// How long from now.
        after: Duration,
    },
}
