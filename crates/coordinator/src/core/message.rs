//! Messages that a core receives from front ends, host connections, the host list, other cores and peers.

use super::query::{Answer, NewQuery};
use crate::interface::{ListKind, LoadReport, Outcome, RequestId, ServerId, ServerState};
use bytes::Bytes;
use std::sync::Arc;
use tokio::sync::oneshot;

/// A message for a core's mailbox.
pub enum CoreMessage {
    /// Submits a query, with its ticket (a number chosen by the sender) and the channel for its answer.
    Submit(Box<NewQuery>, u64, oneshot::Sender<Answer>),
    /// Withdraws the query with this ticket, because its client stopped waiting.
    Withdraw(u64),
    /// Reports the end of an attempt.
    AttemptEnded(AttemptEnd),
    /// Reports the end of a probe, with its outcome and the load report that came with it.
    ProbeEnded(ServerId, Outcome, Option<LoadReport>),
    /// Updates the host list.
    HostList(ListKind, Vec<Endpoint>),
    /// Reports that another core could not connect to the host with this name.
    HostUnreachable(Arc<str>),
    /// Delivers a datagram from the coordinator with this rank.
    Gossip(u32, Bytes),
    /// Reports that all host list updates up to this version are in the mailbox ahead of this message.
    ListVersion(u64),
    /// Requests a reply once all messages before this one have been handled.
    Barrier(oneshot::Sender<()>),
}

/// The end of an attempt. The transport reports it exactly once for each part of a call.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The part that was attempted.
    pub part: RequestId,
    /// The number of the attempt within its part, counted from 0.
    pub attempt: u32,
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// The value, if the host served the part.
    pub value: Option<Bytes>,
    /// The host's load report, if the answer carried one.
    pub report: Option<LoadReport>,
}

/// An entry of the host list, as read from discovery.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Endpoint {
    /// The host's name, which is the same at every coordinator.
    pub id: String,
    /// The address on which the host listens.
    pub addr: String,
    /// The zone in which the host runs.
    pub zone: String,
    /// The cell of shards that the host serves.
    pub cell: u32,
    /// The host's state in the list.
    pub state: ServerState,
    /// The host's last start as a Unix time in milliseconds; 0 if it was long ago.
    pub up_since_ms: u64,
}
