//! The messages that a core takes from fronts, hosts, the host list, other cores and peers.

use super::query::{Answer, NewQuery};
use crate::interface::{ListKind, LoadReport, Outcome, RequestId, ServerId, ServerState};
use bytes::Bytes;
use std::sync::Arc;
use tokio::sync::oneshot;

/// A message to a core.
pub enum CoreMessage {
    /// A query, with its ticket (a number that the sender chose) and the channel for its answer.
    Submit(Box<NewQuery>, u64, oneshot::Sender<Answer>),
    /// The client of the query with this ticket stopped waiting.
    Withdraw(u64),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// A probe ended.
    ProbeEnded(ServerId, Outcome, Option<LoadReport>),
    /// An update of the host list.
    HostList(ListKind, Vec<Endpoint>),
    /// Another core could not connect to the host of this name.
    HostUnreachable(Arc<str>),
    /// A datagram from the coordinator of this rank.
    Gossip(u32, Bytes),
    /// All updates up to this version of the host list have been handed over.
    ListVersion(u64),
    /// Asks for a reply once all messages before this one have been handled.
    Barrier(oneshot::Sender<()>),
}

/// How an attempt ended. The transport tells it exactly once for each part of a call.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The part.
    pub part: RequestId,
    /// Number of the attempt.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// The value, if it was served.
    pub value: Option<Bytes>,
    /// The load report that came along.
    pub report: Option<LoadReport>,
}

/// An entry of the host list, as discovery has it.
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
