//! The interface of the decision module: what a router is told and what it asks for.
//!
//! Nothing here decides anything. All times are [`Duration`]s; points in time count from an
//! origin that the caller chooses and that never moves back.

use std::time::Duration;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $number:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $number);
    };
}

id!(
    /// A query or a part. The caller numbers them and never uses a number twice in one router: 64 bits
    /// last for longer than any process.
    RequestId,
    u64
);
id!(
    /// A server, numbered by the caller; the same server keeps its number across restarts.
    ServerId,
    u32
);
id!(
    /// A class of query: its position in [`Settings::classes`].
    ClassId,
    u32
);
id!(
    /// A tenant: its position in [`Settings::tenants`].
    TenantId,
    u32
);
id!(
    /// A zone: its position in the list of zones known to the caller.
    ZoneId,
    u32
);

/// How often a part may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Repeats do no harm.
    Safe,
    /// Holders drop repeats for this long after the first attempt that may have run.
    Keyed(Duration),
    /// A repeat is allowed only when no earlier attempt can have run.
    Unsafe,
}

/// One class of query.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub goal: Duration,
    /// The client's whole wait, over all its tries.
    pub limit: Duration,
    /// Share of the worth that an answer past the goal still earns.
    pub late_worth: f64,
    /// Worth of a whole answer.
    pub worth: f64,
    /// Whether parts may be repeated.
    pub repeat: Repeat,
    /// Share of the parts' weight that makes a whole answer.
    pub need: f64,
    /// Least share of the parts' weight that any answer may rest on.
    pub floor: f64,
    /// What a partial answer earns, times its share over `need`.
    pub partial_earns: f64,
    /// Parts of the second step; 0 where there is none.
    pub second_step: u32,
}

/// One tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its share of the service.
    pub portion: f64,
    /// Queries a second within its share, over all routers.
    pub quota_per_s: f64,
}

/// A budget on attempts beyond each part's first.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Allowed however light the traffic is.
    pub free: f64,
    /// Allowed on top, as a share of queries and parts taken.
    pub share: f64,
    /// The window over which both are counted.
    pub span: Duration,
}

/// What a freshly started server can bear.
#[derive(Clone, Copy, Debug)]
pub struct ColdRule {
    /// Least share of its capacity at the start.
    pub share: f64,
    /// Warm no later than this after its start.
    pub ramp: Duration,
    /// It falls over when sent more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long, by all routers together.
    pub tip_after: Duration,
}

/// How shards lie on the servers: shard s is held by the cells s to s + width - 1, modulo cells.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// Number of cells.
    pub cells: u32,
    /// Consecutive cells that hold a shard.
    pub width: u32,
}

/// Everything a router is told at its start. An absent option means that the feature is off.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The classes of query.
    pub classes: Vec<Class>,
    /// Whether worth counts by the work of a query's parts, so that each part is worth its class's; else a
    /// query is worth the same however many parts it has.
    pub worth_by_work: bool,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Number of routers, this one included.
    pub routers: u32,
    /// The zone of this router.
    pub zone: Option<ZoneId>,
    /// Whether a send to another zone costs something.
    pub zone_cost: bool,
    /// Placement of the shards.
    pub layout: Layout,
    /// Parts that one call to a server can carry.
    pub bundle_max: u32,
    /// Work of a call besides that of its parts, where it has any.
    pub call_cost: Duration,
    /// Attempts allowed for one part.
    pub max_attempts: u32,
    /// Whether a part may have two attempts out.
    pub second_copies: bool,
    /// Whether attempts can be withdrawn.
    pub may_cancel: bool,
    /// Whether servers may be probed.
    pub probes: bool,
    /// Longest retry-after hint that a client heeds; `None` where clients get none.
    pub retry_after_max: Option<Duration>,
    /// The budget on further attempts.
    pub budget: Option<Budget>,
    /// What a cold server can bear.
    pub cold: Option<ColdRule>,
    /// Set where the server list has to be asked: an unsubscribed router asks within this time.
    pub must_ask_in: Option<Duration>,
    /// Time after the news of a drain within which sends must have stopped.
    pub drain_grace: Duration,
    /// Shortest time between two turns.
    pub step: Duration,
}

/// A load report. Each value is there only where servers tell it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests held.
    pub inflight: Option<f64>,
    /// Requests waiting.
    pub queue: Option<f64>,
    /// Busy share of the processors.
    pub busy: Option<f64>,
}

/// State of a listed server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ServerState {
    /// Takes work.
    Ready,
    /// Finishes its work and is to get no more.
    Draining,
    /// No longer there.
    Gone,
}

/// One line of the server list.
#[derive(Clone, Copy, Debug)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell, which says what shards it holds.
    pub cell: u32,
    /// Its state.
    pub state: ServerState,
    /// Its latest start, where recent enough to be told.
    pub boot: Option<Duration>,
}

/// What a message about the server list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only what changed.
    Changes,
    /// The whole list: a server not in it is gone.
    Full,
    /// The list this router held before a restart; may be stale.
    Cached,
    /// A call for the list failed, or a subscription ended; there are no entries.
    Failed,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server answered with an error; the part may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; the part may have run or may still run.
    Timeout,
    /// No connection came about; the part never ran.
    ConnectFailed,
    /// The connection broke; the part may have run.
    Reset,
    /// Withdrawn; the part may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::Moot)
    }
}

/// What happens to a router.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the server list.
    List {
        /// What the message is.
        kind: ListKind,
        /// Its lines.
        entries: Vec<ServerEntry>,
    },
    /// A query came in; its parts follow in the same turn.
    Query {
        /// Its number.
        id: RequestId,
        /// Its class.
        class: ClassId,
        /// Whose it is.
        tenant: Option<TenantId>,
        /// When its client leaves.
        deadline: Duration,
        /// Whether it is a client's repeat; `None` where clients don't tell.
        repeat: Option<bool>,
    },
    /// A part of a query, of its first or second step.
    Part {
        /// Its number.
        id: RequestId,
        /// The query.
        query: RequestId,
        /// The shard it asks.
        shard: u32,
        /// Its share of the step's weight.
        weight: f64,
    },
    /// An attempt ended. `closed` says that its part is over.
    AttemptEnd {
        /// The part.
        part: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: Duration,
        /// Whether the part is over.
        closed: bool,
        /// The load report that came with it.
        report: Option<LoadReport>,
    },
    /// The client of a query has left.
    Withdrawn {
        /// The query.
        query: RequestId,
    },
    /// A probe ended.
    Probed {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// The load report that came with it.
        report: Option<LoadReport>,
    },
    /// A neighbour router on the same machine could not reach this server.
    Unreached {
        /// The server.
        server: ServerId,
    },
    /// What the other routers have out at a server, by their own word.
    Told {
        /// The server.
        server: ServerId,
        /// Their parts out there, over all of them.
        out: f64,
        /// Age of the oldest word in that.
        age: Duration,
    },
    /// A wake-up that was asked for is due.
    Wake,
    /// All events of this turn are in: the router decides now.
    TurnEnd,
}

/// Why a query was refused or given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// More work than can be done in time.
    Busy,
    /// No host in service holds one of its shards.
    NoHost,
    /// Its useful time is over.
    Late,
    /// Parts that it needs were lost and may not be sent again.
    Lost,
}

/// What a router asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a part to a server. Attempts of a part count from 0 in the order of their sends.
    Send {
        /// The part.
        part: RequestId,
        /// The server.
        server: ServerId,
        /// Time after which the attempt is given up.
        timeout: Duration,
    },
    /// Withdraw an attempt.
    Cancel {
        /// The part.
        part: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Answer a query from the parts that are in.
    Answer {
        /// The query.
        query: RequestId,
        /// Whether the answer is complete.
        whole: bool,
    },
    /// Turn a query away: a new try does no harm, best after the hint.
    Refuse {
        /// The query.
        query: RequestId,
        /// When a new try makes sense.
        retry_after: Option<Duration>,
        /// Why.
        cause: Cause,
    },
    /// Give a query up, with no promise about its effect.
    Fail {
        /// The query.
        query: RequestId,
        /// When a new try makes sense.
        retry_after: Option<Duration>,
        /// Why.
        cause: Cause,
    },
    /// Probe a server.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Close the connections to a server that are not in use: the next send opens a new one.
    Release {
        /// The server.
        server: ServerId,
    },
    /// Ask for changes of the server list from now on.
    Subscribe,
    /// Wake the router after this time.
    Wake {
        /// How long from now.
        after: Duration,
    },
}
