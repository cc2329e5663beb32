//! The way to the hosts, as the core needs it.

use super::message::Endpoint;
use crate::interface::{Outcome, RequestId, ServerId};
use bytes::Bytes;
use std::sync::Arc;
use std::time::Instant;

/// One part of a call to a host.
#[derive(Clone, Debug)]
pub struct PartRequest {
    /// The part.
    pub part: RequestId,
    /// Number of the attempt.
    pub attempt: u32,
    /// The query's name.
    pub query_name: Arc<str>,
    /// The shard.
    pub shard: u32,
    /// When the attempt times out.
    pub times_out_at: Instant,
    /// When it is too late to send it, though the attempt has not timed out: the repeat of a part whose key no longer holds
    /// then.
    pub send_before: Option<Instant>,
    /// The query's key.
    pub idempotency_key: Option<Arc<str>>,
    /// The query's payload.
    pub payload: Bytes,
}

impl PartRequest {
    /// Whether its first byte may be written now.
    pub fn may_be_sent(&self, now: Instant) -> bool {
        now < self.times_out_at && self.may_be_repeated(now)
    }

    /// Whether its key, if it is a repeat, still holds.
    pub fn may_be_repeated(&self, now: Instant) -> bool {
        self.send_before.is_none_or(|too_late| now < too_late)
    }
}

/// Carries calls to hosts. The end of each attempt and probe comes back as one
/// [`CoreMessage`](super::CoreMessage).
pub trait Transport: Send {
    /// A host is listed at an address. Sends to it must not start after `stop_at`.
    fn host_listed(&mut self, server: ServerId, host: &Endpoint, stop_at: Option<Instant>);
    /// Sends parts as one call.
    fn send_call(&mut self, server: ServerId, parts: Vec<PartRequest>);
    /// Cancels an attempt. It ends with this outcome, or with another that is on its way, once the
    /// host was written to.
    fn cancel(&mut self, server: ServerId, part: RequestId, attempt: u32, outcome: Outcome);
    /// Takes back an attempt that nobody waits for. It ends as [`Outcome::NotSent`] if it wasn't
    /// sent yet; otherwise nothing happens.
    fn retract(&mut self, server: ServerId, part: RequestId, attempt: u32);
    /// Probes a host.
    fn probe(&mut self, server: ServerId);
    /// Closes the unused connections to a host.
    fn close_idle_connections(&mut self, server: ServerId);
    /// Forgets a host that is gone and has nothing in flight.
    fn forget_host(&mut self, server: ServerId);
}
