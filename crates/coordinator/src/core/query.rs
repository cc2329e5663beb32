//! Queries as front ends submit them, and their answers.

use crate::interface::{Cause, ClassId, Outcome, TenantId};
use bytes::Bytes;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A query as a front end submits it.
#[derive(Clone, Debug)]
pub struct NewQuery {
    /// The query's name on the hosts' wire. A query is refused while another one with its name is open.
    pub name: Arc<str>,
    /// The class of the query.
    pub class: ClassId,
    /// The tenant on whose behalf the query runs, if any.
    pub tenant: Option<TenantId>,
    /// The time at which the query's last byte arrived.
    pub arrived_at: Instant,
    /// How long the client waits for the answer, counted from `arrived_at`.
    pub client_wait: Duration,
    /// Whether the query is a client's retry; `None` if clients don't mark retries.
    pub is_retry: Option<bool>,
    /// The key by which hosts recognize a repeated query.
    pub idempotency_key: Option<Arc<str>>,
    /// The parts of the query, each for a different shard.
    pub parts: Vec<NewPart>,
    /// The payload that is sent to the hosts with each part.
    pub payload: Bytes,
}

/// A part of a query as a front end submits it.
#[derive(Clone, Copy, Debug)]
pub struct NewPart {
    /// The shard that the part reads.
    pub shard: u32,
    /// The part's share of the complete answer.
    pub weight: f64,
}

/// The answer to one part.
#[derive(Clone, Debug, PartialEq)]
pub struct PartAnswer {
    /// The shard that was read.
    pub shard: u32,
    /// The value, exactly as the host sent it.
    pub value: Bytes,
}

/// A part without an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MissingPart {
    /// The shard that was not read.
    pub shard: u32,
    /// The outcome of the part's last attempt: a timeout if it is still in flight, `None` if nothing was sent.
    pub last_outcome: Option<Outcome>,
}

/// The final answer to a query. Each query gets exactly one.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The query was served from the parts that were answered.
    Served {
        /// Whether the answer is complete.
        complete: bool,
        /// The parts that were answered.
        parts: Vec<PartAnswer>,
        /// The parts without an answer.
        missing: Vec<MissingPart>,
    },
    /// The query was rejected, and the client can safely retry it.
    Rejected {
        /// The time after which the client should retry, if it should.
        retry_after: Option<Duration>,
        /// The reason for the rejection.
        cause: Cause,
        /// The parts without an answer.
        missing: Vec<MissingPart>,
    },
    /// The query was refused because another open query has its name, and hosts could not tell the two apart.
    NameTaken,
    /// The query failed, and it may have taken effect.
    Failed {
        /// The time after which the client should retry, if it should.
        retry_after: Option<Duration>,
        /// The reason for the failure.
        cause: Cause,
        /// The parts without an answer.
        missing: Vec<MissingPart>,
    },
}
