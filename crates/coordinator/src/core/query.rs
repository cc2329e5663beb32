//! A query as a front submits it, and its answer.

use crate::interface::{Cause, ClassId, Outcome, TenantId};
use bytes::Bytes;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A query as a front submits it.
#[derive(Clone, Debug)]
pub struct NewQuery {
    /// Its name on the hosts' wire. While another query of that name is open, it is not taken.
    pub name: Arc<str>,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// When its last byte arrived.
    pub arrived_at: Instant,
    /// How long its client waits from then on.
    pub client_wait: Duration,
    /// Whether it is a client's retry; `None` if clients don't mark retries.
    pub is_retry: Option<bool>,
    /// The key by which hosts recognise repeats.
    pub idempotency_key: Option<Arc<str>>,
    /// Its parts, each of another shard.
    pub parts: Vec<NewPart>,
    /// What the hosts are sent with each part.
    pub payload: Bytes,
}

/// A part of a query as a front submits it.
#[derive(Clone, Copy, Debug)]
pub struct NewPart {
    /// The shard that it reads.
    pub shard: u32,
    /// Its share of the answer.
    pub weight: f64,
}

/// The answer of a part.
#[derive(Clone, Debug, PartialEq)]
pub struct PartAnswer {
    /// The shard.
    pub shard: u32,
    /// The value as the host sent it.
    pub value: Bytes,
}

/// A part without an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MissingPart {
    /// The shard.
    pub shard: u32,
    /// How its last attempt ended; a time-out if that is still in flight, `None` if nothing was
    /// sent.
    pub last_outcome: Option<Outcome>,
}

/// The one final answer to a query.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Served from the parts that were answered.
    Served {
        /// Whether the answer is complete.
        complete: bool,
        /// The parts that were answered.
        parts: Vec<PartAnswer>,
        /// The parts that were not.
        missing: Vec<MissingPart>,
    },
    /// Rejected: the client may retry without harm.
    Rejected {
        /// When the client should retry.
        retry_after: Option<Duration>,
        /// Why.
        cause: Cause,
        /// The parts without an answer.
        missing: Vec<MissingPart>,
    },
    /// Not taken: another open query has this name, and hosts could not tell the two apart.
    NameTaken,
    /// Failed: the query may have taken effect.
    Failed {
        /// When the client should retry, if that makes sense.
        retry_after: Option<Duration>,
        /// Why.
        cause: Cause,
        /// The parts without an answer.
        missing: Vec<MissingPart>,
    },
}
