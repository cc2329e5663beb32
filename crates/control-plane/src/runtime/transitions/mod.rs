//! State transitions of a member, derived by comparing its state before and after each step, with a log line and a
//! counter for each. The state machine itself does no logging.

mod compare;
mod log_lines;
mod recorder;

pub use compare::{transition_from_output, transitions_between};
pub use log_lines::TransitionLog;
pub use recorder::{Recorder, TransitionCounters};

use crate::member::{DiskState, ElectionPhase, MemberSummary};
use protocol::{MemberInfo, MembershipConfig};
use std::fmt;
use std::sync::Arc;

/// The reason why a primary stepped down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepDownCause {
    /// Its lease expired: no majority of the voters renewed it in time.
    LeaseExpired,
    /// It promised a higher epoch to another candidate, or accepted that candidate's membership configuration.
    HigherEpoch,
    /// Its own disk refuses writes or is stalled.
    DiskUnhealthy,
    /// It was asked to shut down.
    Shutdown,
}

/// A member's role in its latest membership configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipRole {
    /// Not part of the configuration, or it has none yet: the member only mirrors the state.
    Joining,
    /// A voter that stores promised epochs and membership configurations, but no changes.
    Witness,
    /// A voter that stores every acknowledged change on its disk.
    Replica,
    /// The replica that accepts changes.
    Primary,
}

impl MembershipRole {
    fn of(summary: &MemberSummary) -> Self {
        let Some(membership) = &summary.membership else {
            return MembershipRole::Joining;
        };
        if membership.epoch > 0 && membership.primary == summary.id {
            MembershipRole::Primary
        } else if membership.replicas.contains(&summary.id) {
            MembershipRole::Replica
        } else if membership.voter(summary.id).is_some() {
            MembershipRole::Witness
        } else {
            MembershipRole::Joining
        }
    }
}

impl fmt::Display for MembershipRole {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str(match self {
            MembershipRole::Joining => "joining",
            MembershipRole::Witness => "witness",
            MembershipRole::Replica => "replica",
            MembershipRole::Primary => "primary",
        })
    }
}

/// A state transition of a member.
#[derive(Clone, Debug, PartialEq)]
pub enum Transition {
    /// It published the state that was committed when the process last ended, before any primary confirms it.
    StateRestored {
        /// Index of the last change in the state.
        index: u64,
        /// Version of the configuration in the state.
        version: u64,
    },
    /// It knows of no valid lease and started a pre-vote.
    PreVoteStarted {
        /// Epoch of its latest membership configuration; 0 if it has none.
        epoch: u64,
    },
    /// It became a candidate and asks for promises for a new epoch.
    CandidacyStarted {
        /// The new epoch.
        epoch: u64,
    },
    /// As primary it started to change its membership configuration: it asks for promises for a new epoch.
    MembershipChangeStarted {
        /// Epoch of the configuration to be replaced.
        from: u64,
        /// The new epoch.
        epoch: u64,
    },
    /// It gave up its campaign.
    CampaignFailed {
        /// Epoch of the campaign; 0 if it was still in the pre-vote.
        epoch: u64,
        /// The phase that the campaign had reached.
        phase: ElectionPhase,
    },
    /// It is the primary of a membership configuration that a majority of the voters has accepted.
    MembershipInstalled {
        /// Epoch of the configuration.
        epoch: u64,
        /// Index of the last change that the configuration starts from; `None` if the summary has none.
        index: Option<u64>,
    },
    /// As primary it obtained a lease of a majority: it now acknowledges changes and serves reads.
    BecamePrimary {
        /// Epoch of its membership configuration.
        epoch: u64,
    },
    /// As primary it has no lease for the moment: it acknowledges no change and serves no read.
    LeaseLost {
        /// Epoch of its membership configuration.
        epoch: u64,
    },
    /// It is no longer primary.
    SteppedDown {
        /// Epoch of its membership configuration.
        epoch: u64,
        /// The reason.
        cause: StepDownCause,
    },
    /// It promised an epoch to another member and rejects all lower epochs from then on.
    EpochPromised {
        /// The promised epoch.
        epoch: u64,
        /// Its latest membership configuration, whose voters identify the candidate.
        membership: Option<Arc<MembershipConfig>>,
    },
    /// It accepted a membership configuration and has it on its disk.
    MembershipAccepted {
        /// The accepted membership configuration.
        membership: Arc<MembershipConfig>,
        /// Voters that the previous configuration didn't have; empty if there was none.
        added: Vec<MemberInfo>,
        /// Voters of the previous configuration that are no longer voters.
        removed: Vec<MemberInfo>,
        /// This member's role in the configuration.
        role: MembershipRole,
        /// This member's role in the previous configuration.
        previous_role: MembershipRole,
    },
    /// It installed a snapshot of the state from another member.
    SnapshotInstalled {
        /// Epoch of the membership configuration that the snapshot came with.
        epoch: u64,
        /// Index of the snapshot's last change.
        index: u64,
    },
    /// It sent a snapshot of its state.
    SnapshotSent {
        /// The receiver.
        to: MemberInfo,
        /// Epoch of the membership configuration that the snapshot came with, or of the candidate that fetched it.
        epoch: u64,
        /// Index of the snapshot's last change.
        index: u64,
    },
    /// As a voter it granted a primary a lease, the first in a membership configuration.
    LeaseGranted {
        /// The primary.
        primary: MemberInfo,
        /// Epoch of the membership configuration.
        epoch: u64,
    },
    /// The lease that it granted expired or was released.
    PrimaryLeaseExpired {
        /// The primary.
        primary: MemberInfo,
        /// Epoch of the membership configuration.
        epoch: u64,
    },
    /// Its disk became healthy, refuses writes or is stalled.
    DiskStateChanged {
        /// The state that the disk is in now.
        state: DiskState,
    },
    /// It was asked to shut down.
    ShutdownStarted,
}
