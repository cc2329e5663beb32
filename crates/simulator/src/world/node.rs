//! A simulated machine of the control plane.

use super::event::EventKind;
use control_plane::member::Member;
use protocol::MemberInfo;
use std::time::Duration;

/// When a machine's faults end, where several of one kind overlap.
#[derive(Debug, Default)]
pub(super) struct FaultEnds {
    pub(super) frozen: Duration,
    pub(super) stalled: Duration,
    pub(super) full: Duration,
    pub(super) slow: Duration,
    /// Since when the process has been frozen.
    pub(super) frozen_since: Duration,
    /// Until when the machine can't reach one of the healthy others.
    pub(super) apart: Duration,
}

/// What is wrong with a disk.
#[derive(Clone, Copy, Debug)]
pub(super) struct DiskState {
    /// Writes don't complete.
    pub(super) stalled: bool,
    /// Writes are refused.
    pub(super) full: bool,
    /// Writes take this many times as long.
    pub(super) slowdown: u32,
}

impl DiskState {
    pub(super) const HEALTHY: Self = Self {
        stalled: false,
        full: false,
        slowdown: 1,
    };
}

/// A machine, its disk, and the member that runs on it.
pub(super) struct Node {
    pub(super) info: MemberInfo,
    pub(super) member: Option<Member>,
    /// Number of the member's current run.
    pub(super) incarnation: u32,
    /// Records on the disk.
    pub(super) records: Vec<Vec<u8>>,
    pub(super) frozen: bool,
    /// The machine never comes back.
    pub(super) gone: bool,
    /// When the member asked to be woken.
    pub(super) wake: Duration,
    pub(super) disk: DiskState,
    /// Events that wait until the process runs again or the disk answers again, with their machines.
    pub(super) deferred_events: Vec<(usize, EventKind)>,
    /// Whether the machine is a voter of epoch 0 as long as its disk is empty.
    pub(super) is_initial_voter: bool,
    /// Until when the budget counts the machine as lost.
    pub(super) lost_until: Duration,
    /// Until when the machine counts as joining.
    pub(super) joining_until: Duration,
    pub(super) fault_ends: FaultEnds,
    /// How long the process was frozen in all.
    pub(super) total_frozen: Duration,
    /// How fast the clock runs, in millionths above the true rate.
    pub(super) clock_drift_ppm: i64,
    /// Configuration that this run published last, for a seeded bug.
    pub(super) last_published: Option<Vec<u8>>,
    /// Snapshot that the latest membership began with, for a seeded bug.
    pub(super) membership_snapshot: Option<protocol::Snapshot>,
}
