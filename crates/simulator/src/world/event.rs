//! What can happen in the simulated world, and when.

use super::request_log::ClientResponse;
use super::subscriber::{ProcessId, SubscriberEvent};
use crate::faults::Fault;
use control_plane::member::DiskError;
use protocol::Message;
use std::cmp::Reverse;
use std::time::Duration;

/// Entry of the event queue: the time, the event's number, and the machine that it happens to. Events that are due at
/// one time happen in the order in which they were scheduled.
pub(super) type QueueEntry = Reverse<(Duration, u64, usize)>;

/// A scheduled event.
#[derive(Debug)]
pub(super) enum EventKind {
    /// A member's timer fires.
    Wake,
    /// A message arrives, if its sender still runs in that incarnation.
    Deliver {
        from: usize,
        incarnation: u32,
        message: Box<Message>,
    },
    /// As [`EventKind::Deliver`], over another connection, long after it was sent.
    DeliverLate {
        from: usize,
        incarnation: u32,
        message: Box<Message>,
    },
    /// The disk has completed a write.
    WriteCompleted {
        ticket: u64,
        records: Vec<Vec<u8>>,
        rewrite: bool,
        result: Result<(), DiskError>,
    },
    /// A member's process starts.
    Start,
    /// A fault strikes, where the budget has to allow it: as soon as it does.
    InjectFault(Fault),
    /// A fault ends.
    HealFault(Fault),
    /// The single client makes a call.
    SingleClientTurn,
    /// A member shows the others that it is reachable.
    AnnounceReachable,
    /// A client's request reaches a member.
    RequestArrives { ticket: u64 },
    /// The client of this number may send requests.
    ClientTurn(usize),
    /// A response reaches its client.
    ResponseArrives {
        ticket: u64,
        response: ClientResponse,
    },
    /// A request that was acknowledged is sent again.
    ResendRequest { content: usize },
    /// A triggered fault strikes; `subject` is the machine that the trigger was about.
    InjectTriggered { number: usize, subject: usize },
    /// Something happens to a process that mirrors the control plane.
    Subscriber {
        process: ProcessId,
        incarnation: u32,
        event: SubscriberEvent,
    },
    /// Such a process starts.
    StartSubscriber(ProcessId),
    /// A member that was asked to shut down exits; it starts again after the time, if there is one.
    EndProcess(usize, Option<Duration>),
    /// The checkers run.
    RunChecks,
}

impl EventKind {
    /// Whether the event happens although the process of its machine has ended or is frozen.
    pub(super) fn outlives_process(&self) -> bool {
        matches!(
            self,
            Self::InjectFault(_)
                | Self::HealFault(_)
                | Self::SingleClientTurn
                | Self::ClientTurn(_)
                | Self::ResponseArrives { .. }
                | Self::ResendRequest { .. }
                | Self::InjectTriggered { .. }
                | Self::EndProcess(..)
                | Self::Subscriber { .. }
                | Self::StartSubscriber(_)
                | Self::RunChecks
        )
    }
}
