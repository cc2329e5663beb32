//! The interface through which the core sends calls to hosts.

use super::message::Endpoint;
use crate::interface::{Outcome, RequestId, ServerId};
use bytes::Bytes;
use std::sync::Arc;
use std::time::Instant;

/// One part of a call to a host.
#[derive(Clone, Debug)]
pub struct PartRequest {
    /// The part that is requested.
    pub part: RequestId,
    /// The number of the attempt within its part, counted from 0.
    pub attempt: u32,
    /// The name of the query on the hosts' wire.
    pub query_name: Arc<str>,
    /// The shard that the part reads.
    pub shard: u32,
    /// The time at which the attempt times out.
    pub times_out_at: Instant,
    /// The time from which a repeated part must not be sent, even though the attempt has not timed out: hosts may have
    /// forgotten its idempotency key by then.
    pub send_before: Option<Instant>,
    /// The query's idempotency key, if hosts are sent one.
    pub idempotency_key: Option<Arc<str>>,
    /// The payload of the query.
    pub payload: Bytes,
}

impl PartRequest {
    /// Returns whether the first byte of the request may be written at `now`.
    pub fn may_be_sent(&self, now: Instant) -> bool {
        now < self.times_out_at && self.may_be_repeated(now)
    }

    /// Returns whether hosts still remember the idempotency key at `now`; always true unless the part is a repeat with
    /// a limit.
    pub fn may_be_repeated(&self, now: Instant) -> bool {
        self.send_before.is_none_or(|send_before| now < send_before)
    }
}

/// A transport that carries calls to hosts. It reports the end of each attempt and probe to the core in one
/// [`CoreMessage`](super::CoreMessage).
pub trait Transport: Send {
    /// Registers a host with its address. Sends to it must not start after `stop_at`.
    fn host_listed(&mut self, server: ServerId, host: &Endpoint, stop_at: Option<Instant>);
    /// Sends the parts to a host as one call.
    fn send_call(&mut self, server: ServerId, parts: Vec<PartRequest>);
    /// Cancels an attempt. Once the cancellation is written to the host, the attempt ends with `outcome`, or with
    /// another outcome that was already on its way.
    fn cancel(&mut self, server: ServerId, part: RequestId, attempt: u32, outcome: Outcome);
    /// Retracts an attempt whose result is no longer needed. It ends as [`Outcome::NotSent`] if it was not sent yet;
    /// otherwise nothing happens.
    fn retract(&mut self, server: ServerId, part: RequestId, attempt: u32);
    /// Sends a probe to a host.
    fn probe(&mut self, server: ServerId);
    /// Closes the idle connections to a host.
    fn close_idle_connections(&mut self, server: ServerId);
    /// Removes the state of a host that is gone and has nothing in flight.
    fn forget_host(&mut self, server: ServerId);
}
