//! What goes into a member and what comes out of it: its settings, inputs and outputs.

use configuration::{Configuration, FaultBudget, ResultCode};
use protocol::{Command, MemberInfo, Message};
use std::sync::Arc;
use std::time::Duration;

/// A member's settings. They hold for one incarnation.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// The member itself.
    pub local_member: MemberInfo,
    /// The voters of epoch 0, if this disk has belonged to the system since the system's first start. A membership
    /// configuration on the disk takes precedence.
    pub bootstrap_voters: Option<Vec<MemberInfo>>,
    /// How many machines, zones and regions may be lost at once.
    pub fault_budget: FaultBudget,
    /// How long a voter's lease lasts.
    pub lease_duration: Duration,
    /// How long a caller's command may wait for its answer.
    pub request_timeout: Duration,
    /// A write that takes at least this long counts as stalled.
    pub disk_stall_timeout: Duration,
    /// How long after its last answer a watch can be resumed.
    pub watch_history: Duration,
}

/// Why the disk refused a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskError {
    /// No space is left.
    Full,
    /// Any other failure.
    Failed,
}

/// An event that a member reacts to.
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
    /// A write that the member asked for has ended.
    WriteCompleted {
        /// The number that [`Output::Write`] gave.
        ticket: u64,
        /// The outcome. Nothing of a refused write is on disk.
        result: Result<(), DiskError>,
    },
    /// A host or an operator sent a command.
    Command {
        /// The caller's number for the command.
        ticket: u64,
        /// The command.
        command: Command,
    },
    /// The connection to another member is up.
    PeerReachable {
        /// The other member.
        member: MemberInfo,
    },
    /// The process was asked to end: the member hands over what it holds.
    Depart,
}

/// An action that a member asks for.
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
    /// Write records and sync them. At most one write is in flight.
    Write {
        /// Number of the write.
        ticket: u64,
        /// The encoded records.
        records: Vec<Vec<u8>>,
        /// Whether the records replace the file's content; otherwise they are appended.
        rewrite: bool,
    },
    /// Answer a command.
    Answer {
        /// The caller's number for the command.
        ticket: u64,
        /// The result.
        code: ResultCode,
        /// A text, or the configuration that was read.
        body: Vec<u8>,
    },
    /// The primary's newest committed state.
    PublishState {
        /// Index of the last change.
        index: u64,
        /// The configuration.
        configuration: Arc<Configuration>,
        /// Hosts that are draining or gone.
        drains: Vec<String>,
    },
    /// The state that was known to be committed when the process last ended. It is valid until a primary publishes a
    /// newer one.
    RestoreState {
        /// Index of the last change.
        index: u64,
        /// The configuration.
        configuration: Arc<Configuration>,
        /// Hosts that are draining or gone.
        drains: Vec<String>,
    },
    /// Call the member with [`Input::Tick`] at this time at the latest.
    Wake {
        /// The time.
        at: Duration,
    },
    /// Nothing is left to hand over: the process may end.
    DepartureComplete,
}
