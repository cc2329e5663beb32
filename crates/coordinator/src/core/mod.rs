//! The core round the decision module: queries, parts, attempts, timers and final answers. It knows
//! no wire: fronts hand queries over and get one [`Answer`] each, a [`Transport`] carries calls.

mod actor;
pub mod names;
pub mod settings;
mod table;

pub use actor::{start, Core, Ticket};
pub use table::Table;

use crate::interface::{
    Action, Cause, ClassId, Event, Idempotency, ListKind, LoadReport, Outcome, RequestId,
    ServerEntry, ServerId, ServerState, TenantId, ZoneId,
};
use bytes::Bytes;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The module's clock: time since an origin an hour before the process began, so that starts of
/// hosts shortly before it can be told.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_start: Duration,
}

const BEFORE: Duration = Duration::from_secs(3600);

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        let unix_start = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(BEFORE);
        Self {
            start: Instant::now(),
            unix_start,
        }
    }

    /// An instant on the module's clock.
    pub fn at(&self, instant: Instant) -> Duration {
        BEFORE + instant.saturating_duration_since(self.start)
    }

    /// Unix time in milliseconds on the module's clock; `None` for 0 and for what is long ago.
    pub fn boot(&self, unix_ms: u64) -> Option<Duration> {
        let at =
            Duration::from_millis(unix_ms).checked_sub(self.unix_start.checked_sub(BEFORE)?)?;
        (unix_ms > 0).then_some(at)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// A query as a front hands it over.
#[derive(Clone, Debug)]
pub struct NewQuery {
    /// Its name on the hosts' wire. While another query of that name is open, it is turned down.
    pub name: Arc<str>,
    /// Its class.
    pub class: ClassId,
    /// Whose it is.
    pub tenant: Option<TenantId>,
    /// When its last byte came.
    pub arrived: Instant,
    /// How long its client waits from then.
    pub wait: Duration,
    /// Whether it is a client's repeat, where clients tell.
    pub repeat: Option<bool>,
    /// The key by which hosts drop repeats.
    pub key: Option<Arc<str>>,
    /// Its parts, each of another shard.
    pub parts: Vec<NewPart>,
    /// What the hosts are sent with each part.
    pub payload: Bytes,
}

/// A part as a front hands it over.
#[derive(Clone, Copy, Debug)]
pub struct NewPart {
    /// The shard.
    pub shard: u32,
    /// Its share of the answer.
    pub weight: f64,
}

/// A part that is in.
#[derive(Clone, Debug, PartialEq)]
pub struct Piece {
    /// The shard.
    pub shard: u32,
    /// The value as the host gave it.
    pub value: Bytes,
}

/// A part that is not in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Missing {
    /// The shard.
    pub shard: u32,
    /// How its last attempt ended, a time-out where that is still out; `None` where nothing was sent.
    pub last: Option<Outcome>,
}

/// The one final answer to a query.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Served from these parts.
    Served {
        /// Whether it is whole.
        full: bool,
        /// The parts that are in.
        pieces: Vec<Piece>,
        /// The parts that are not.
        missing: Vec<Missing>,
    },
    /// Turned away: a new try does no harm.
    Refused {
        /// When to come back.
        retry_after: Option<Duration>,
        /// Why.
        cause: Cause,
        /// The parts that are not in.
        missing: Vec<Missing>,
    },
    /// Not taken: its name belongs to a query that is still open, and hosts could not tell the two apart.
    NameTaken,
    /// Given up.
    Failed {
        /// When to come back, where that makes sense.
        retry_after: Option<Duration>,
        /// Why.
        cause: Cause,
        /// The parts that are not in.
        missing: Vec<Missing>,
    },
}

/// One part of a call to a host.
#[derive(Clone, Debug)]
pub struct CallPart {
    /// The part.
    pub part: RequestId,
    /// Number of the attempt.
    pub attempt: u32,
    /// The query's name.
    pub name: Arc<str>,
    /// The shard.
    pub shard: u32,
    /// When the coordinator stops waiting.
    pub give_up: Instant,
    /// The query's key.
    pub key: Option<Arc<str>>,
    /// The query's payload.
    pub payload: Bytes,
}

/// One line of the host list, as discovery has it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Endpoint {
    /// The host's name, the same at every coordinator.
    pub id: String,
    /// Where it listens.
    pub addr: String,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: ServerState,
    /// Its last start in Unix milliseconds; 0 for long ago.
    pub up_since_ms: u64,
}

/// How an attempt ended, told by the transport exactly once for each part of a call.
#[derive(Clone, Debug)]
pub struct Ended {
    /// The part.
    pub part: RequestId,
    /// Number of the attempt.
    pub attempt: u32,
    /// How.
    pub outcome: Outcome,
    /// The value, where it was served.
    pub value: Option<Bytes>,
    /// The load report that came along.
    pub report: Option<LoadReport>,
}

/// What the core is told.
pub enum Mail {
    /// A query, with the place for its answer and the front's number for it.
    Query(Box<NewQuery>, u64, tokio::sync::oneshot::Sender<Answer>),
    /// The client of a query has gone.
    Withdraw(u64),
    /// An attempt ended.
    Ended(Ended),
    /// A probe ended.
    Probed(ServerId, Outcome, Option<LoadReport>),
    /// News of the host list.
    List(ListKind, Vec<Endpoint>),
    /// Another core could not reach the host of this name.
    Unreached(Arc<str>),
    /// A datagram of the coordinator of this rank.
    Heard(u32, Bytes),
    /// All news up to this version of the list has been handed over.
    Version(u64),
    /// Asks for word once all mail before this has been taken.
    Taken(tokio::sync::oneshot::Sender<()>),
}

/// Carries calls to hosts. Everything handed over is reported back as [`Mail`], once.
pub trait Transport: Send {
    /// A host is listed at an address; `stop_at` is when the last send to it may start.
    fn listed(&mut self, server: ServerId, host: &Endpoint, stop_at: Option<Instant>);
    /// Sends parts as one call.
    fn call(&mut self, server: ServerId, parts: Vec<CallPart>);
    /// Gives an attempt up; it ends with this outcome, or another already under way, once the host
    /// has been written to.
    fn cancel(&mut self, server: ServerId, part: RequestId, attempt: u32, outcome: Outcome);
    /// Takes an attempt back that nobody waits for. One that has not begun ends as moot; else nothing happens.
    fn retract(&mut self, server: ServerId, part: RequestId, attempt: u32);
    /// Probes a host.
    fn probe(&mut self, server: ServerId);
    /// Closes unused connections to a host.
    fn release(&mut self, server: ServerId);
    /// Drops a host that is gone for good, with nothing out on it.
    fn forget(&mut self, server: ServerId);
}
