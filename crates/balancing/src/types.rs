//! What goes in and out of the policy.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// Figures that the settings give.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The proxy's own zone.
    pub zone: Arc<str>,
    /// Repeats allowed as a share of requests, over the fleet.
    pub retry_ratio: f64,
    /// Window over which repeats are counted.
    pub retry_window: Duration,
    /// Repeats allowed on top in a window, over the fleet.
    pub retry_slack: f64,
    /// Time after the acknowledgement of a drain within which sends must have stopped.
    pub drain: Duration,
    /// Time between a host's heartbeats.
    pub beat: Duration,
    /// Seed of the random choices.
    pub seed: u64,
}

/// What is configured of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceInfo {
    /// Its name.
    pub name: Arc<str>,
    /// Connections that each host accepts, over all callers.
    pub conn_limit: u32,
    /// Tokens that a model host keeps; `None` where its hosts run no model.
    pub cache_tokens: Option<f64>,
}

/// What is known of a host from the roster.
#[derive(Clone, Debug, PartialEq)]
pub struct HostInfo {
    /// Its identity, new with every start.
    pub id: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Where it takes requests.
    pub addr: SocketAddrV4,
    /// Its zone.
    pub zone: Arc<str>,
    /// Requests it works on at once.
    pub capacity: u32,
    /// Draining: it gets nothing more. Hosts that are gone are left out.
    pub draining: bool,
    /// Its heartbeats have stopped.
    pub silent: bool,
    /// How much longer it is slow from its start.
    pub cold_left: Duration,
}

/// A request that needs a host.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    /// Its service.
    pub service: &'a str,
    /// 0 is the most urgent.
    pub rank: u32,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// Parts of its prompt in order: identity and tokens; the last is the request's own. Empty where unknown.
    pub parts: &'a [(u64, u32)],
    /// Tokens of its prompt and the most that it makes; 0 where unknown.
    pub tokens: (u32, u32),
    /// The time within which the answer earns its full worth; for streams up to the first event.
    pub target: Duration,
    /// Time that is left for it.
    pub left: Duration,
    /// Hosts that it was sent to before.
    pub tried: &'a [Arc<str>],
}

/// An attempt that is out; a number that is used again once it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Attempt(pub usize);

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// To this host; the attempt counts as sent.
    Host {
        /// Number of the attempt.
        attempt: Attempt,
        /// Identity of the host.
        id: Arc<str>,
        /// Its address.
        addr: SocketAddrV4,
        /// `Priority` to be sent, where it helps.
        priority: Option<u8>,
    },
    /// No host can take it.
    None {
        /// When to come back.
        retry_after: Duration,
    },
}

/// What a host tells of its load: `Fennelpin-Host-Load`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Slots.
    pub slots: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole good answer.
    Done,
    /// The host's own failure (its 500 or 504, a 4xx): it has run.
    Failed,
    /// The host turned it away: full.
    Full,
    /// The host turned it away for another reason.
    TurnedAway,
    /// 421: another host is at the address.
    OtherHost,
    /// No connection came up: it never ran.
    Unreached,
    /// The connection broke, or bytes came that are no answer to it.
    ConnectionLost,
    /// No answer in time.
    Silent,
    /// The client left or the request was given up by the proxy.
    Cancelled,
}

/// What a host was sent, for the other proxies.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The host.
    pub host: Arc<str>,
    /// Parts of prompts that others may ask for too, in order: identity and tokens.
    pub parts: Vec<(u64, u32)>,
    /// Tokens that the host has to read.
    pub unread: u32,
}
