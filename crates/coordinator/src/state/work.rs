//! Queries, their parts, and the attempts at these.

use crate::interface::{ClassId, RequestId, ServerId, TenantId};

/// What a send is for.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Why {
    /// A first try or a retry, with no other attempt out.
    Try,
    /// A second copy because the first one's server turned unsound.
    Rescue,
    /// A second copy because the first is late.
    Hedge,
}

#[derive(Clone)]
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) class: ClassId,
    pub(crate) sent: f64,
    pub(crate) load: f64,
    /// Whether its connection had been out of use for long.
    pub(crate) idle: bool,
    pub(crate) out: bool,
    /// Whether its connection broke while it was out.
    pub(crate) broken: bool,
    pub(crate) may_have_run: bool,
}

impl Attempt {
    /// An attempt just sent.
    pub(crate) fn new(server: ServerId, class: ClassId, sent: f64, load: f64, idle: bool) -> Self {
        Self {
            server,
            class,
            sent,
            load,
            idle,
            out: true,
            broken: false,
            may_have_run: true,
        }
    }
}

pub(crate) struct Part {
    pub(crate) query: RequestId,
    pub(crate) shard: u32,
    pub(crate) weight: f64,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) done: bool,
    pub(crate) closed: bool,
}

/// Weight of the parts that are in, of all, the number still open, and whether all are in.
pub(crate) struct Progress {
    pub(crate) got: f64,
    pub(crate) total: f64,
    pub(crate) open: usize,
    pub(crate) all: bool,
}

pub(crate) struct Query {
    pub(crate) class: ClassId,
    pub(crate) tenant: Option<TenantId>,
    pub(crate) goal_at: f64,
    pub(crate) deadline: f64,
    pub(crate) parts: Vec<RequestId>,
    pub(crate) admitted: bool,
    /// Whether the first step's answer was whole, once it is given.
    pub(crate) first: Option<bool>,
}
