//! A member's interface: its settings, inputs and outputs.

use configuration::{Configuration, FaultBudget, ResultCode};
use protocol::{Command, MemberInfo, Message};
use std::sync::Arc;
use std::time::Duration;

/// A member's settings. They don't change during an incarnation.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// Id, name, addresses and location of this member.
    pub local_member: MemberInfo,
    /// The voters of epoch 0, if this disk has belonged to the system since its first start. A membership
    /// configuration on the disk takes precedence.
    pub bootstrap_voters: Option<Vec<MemberInfo>>,
    /// How many machines, zones and regions may be lost at the same time.
    pub fault_budget: FaultBudget,
    /// How long a lease that a voter grants lasts.
    pub lease_duration: Duration,
    /// How long a client's command may wait for its answer.
    pub request_timeout: Duration,
    /// Time after which a write in flight counts as stalled.
    pub disk_stall_timeout: Duration,
    /// How long after its last answer a watch can be resumed.
    pub watch_history: Duration,
}

/// The reason why a write failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskError {
    /// The disk has no space left.
    Full,
    /// Any other failure.
    Failed,
}

/// An event that a member handles.
#[allow(clippy::large_enum_variant, reason = "moved once, never stored")]
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message arrived.
    Message {
        /// The sender.
        from: MemberInfo,
        /// The message.
        message: Message,
    },
    /// A write that the member requested has ended.
    WriteCompleted {
        /// The ticket of the [`Output::Write`].
        ticket: u64,
        /// The outcome. No part of a failed write is on disk.
        result: Result<(), DiskError>,
    },
    /// A host or an operator has sent a command.
    Command {
        /// The caller's number for the command, which the [`Output::Answer`] repeats.
        ticket: u64,
        /// The command.
        command: Command,
    },
    /// The connection to another member is established.
    PeerReachable {
        /// The other member.
        member: MemberInfo,
    },
    /// The process was asked to end: the member hands its responsibilities over.
    Depart,
}

/// An action that the runtime has to perform for a member.
#[allow(clippy::large_enum_variant, reason = "moved once, never stored")]
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message. It may be lost.
    Send {
        /// The receiver.
        to: MemberInfo,
        /// The message.
        message: Message,
    },
    /// Write records and sync them to the disk. At most one write is in flight.
    Write {
        /// The number of the write, which [`Input::WriteCompleted`] repeats.
        ticket: u64,
        /// The encoded records.
        records: Vec<Vec<u8>>,
        /// Whether the records replace the file's content; otherwise they are appended.
        rewrite: bool,
    },
    /// Answer a command.
    Answer {
        /// The caller's number for the command, which the [`Output::Answer`] repeats.
        ticket: u64,
        /// The result code.
        code: ResultCode,
        /// An explanation, the requested data as JSON, or nothing.
        body: Vec<u8>,
    },
    /// Publish the primary's newest committed state.
    PublishState {
        /// Index of the last change of the configuration or the drains.
        index: u64,
        /// The configuration.
        configuration: Arc<Configuration>,
        /// Hosts that are draining or gone.
        drains: Vec<String>,
    },
    /// Publish the state that was known to be committed when the process last ended. It is valid until a primary
    /// publishes a newer one.
    RestoreState {
        /// Index of the last change of the configuration or the drains.
        index: u64,
        /// The configuration.
        configuration: Arc<Configuration>,
        /// Hosts that are draining or gone.
        drains: Vec<String>,
    },
    /// Call [`super::Member::step`] with [`Input::Tick`] at this time at the latest.
    Wake {
        /// The time.
        at: Duration,
    },
    /// Nothing is left to hand over; the process may end.
    DepartureComplete,
}
