//! State transitions of a member, found by comparing it before and after each step: a log line for each, and counts.
//! The state machine itself knows nothing of this.

mod compare;
mod log_lines;
mod recorder;

pub use compare::{between, from_output};
pub use log_lines::TransitionLog;
pub use recorder::{Recorder, TransitionCounters};

use crate::member::{DiskState, ElectionPhase, MemberSummary};
use protocol::{MemberInfo, MembershipConfig};
use std::fmt;
use std::sync::Arc;

/// Why a primary steps down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepDownCause {
    /// Its lease expired: no majority of the voters renewed it in time.
    LeaseExpired,
    /// It promised a higher epoch to another candidate, or accepted that one's membership configuration.
    HigherEpoch,
    /// Its own disk refuses writes or stalls.
    DiskUnhealthy,
    /// It was asked to end.
    Shutdown,
}

/// What a member is in its membership configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipRole {
    /// Not in it, or there is none yet: the member only mirrors.
    Joining,
    /// A voter that stores epochs and membership configurations alone.
    Witness,
    /// A voter that has each acknowledged change on its disk.
    Replica,
    /// The replica that takes changes.
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

/// A state transition.
#[derive(Clone, Debug, PartialEq)]
pub enum Transition {
    /// The state that was committed when the process last ended is published, before any primary acts.
    StateRestored {
        /// Index of its last change.
        index: u64,
        /// Version of its configuration.
        version: u64,
    },
    /// It saw no lease and asks who would promise.
    PreVoteStarted {
        /// Epoch of the membership configuration that it knows.
        epoch: u64,
    },
    /// It asks for promises under a new epoch.
    CandidacyStarted {
        /// The new epoch.
        epoch: u64,
    },
    /// As primary it changes its membership configuration: it asks for promises under a new epoch.
    MembershipChangeStarted {
        /// Epoch of the configuration that ends.
        from: u64,
        /// The new epoch.
        epoch: u64,
    },
    /// It campaigns no longer.
    CampaignFailed {
        /// The epoch; 0 if it was still in the pre-vote.
        epoch: u64,
        /// How far it had come.
        phase: ElectionPhase,
    },
    /// It is the primary of a membership configuration that a majority has.
    MembershipInstalled {
        /// Epoch of the configuration.
        epoch: u64,
        /// Index of the last change that it starts from.
        index: Option<u64>,
    },
    /// As primary it has a majority's lease: it acknowledges and answers.
    BecamePrimary {
        /// Epoch of its membership configuration.
        epoch: u64,
    },
    /// As primary it has no lease for the moment: it acknowledges and answers nothing.
    LeaseLost {
        /// Epoch of its membership configuration.
        epoch: u64,
    },
    /// It is primary no longer.
    SteppedDown {
        /// Epoch of its membership configuration.
        epoch: u64,
        /// Why.
        cause: StepDownCause,
    },
    /// It promised an epoch to another member: it follows no earlier one any more.
    EpochPromised {
        /// The epoch.
        epoch: u64,
        /// The membership configuration that it knows, whose voters name the candidate.
        membership: Option<Arc<MembershipConfig>>,
    },
    /// A membership configuration is on its disk.
    MembershipAccepted {
        /// The membership configuration.
        membership: Arc<MembershipConfig>,
        /// Voters that the one before didn't have; none if there was none before.
        added: Vec<MemberInfo>,
        /// Voters that it has no longer.
        removed: Vec<MemberInfo>,
        /// What this member is in it.
        role: MembershipRole,
        /// What this member was before.
        previous_role: MembershipRole,
    },
    /// It installed another member's whole state.
    SnapshotInstalled {
        /// Epoch of the membership configuration that brought it.
        epoch: u64,
        /// Index of its last change.
        index: u64,
    },
    /// It sent its whole state.
    SnapshotSent {
        /// To whom.
        to: MemberInfo,
        /// Epoch of the membership configuration or of the candidate that it is for.
        epoch: u64,
        /// Index of its last change.
        index: u64,
    },
    /// As a voter it granted a primary its first lease of a membership configuration.
    LeaseGranted {
        /// The primary.
        primary: MemberInfo,
        /// Epoch of the membership configuration.
        epoch: u64,
    },
    /// The lease that it granted expired or was given back.
    PrimaryLeaseExpired {
        /// The primary.
        primary: MemberInfo,
        /// Epoch of the membership configuration.
        epoch: u64,
    },
    /// Its disk takes writes again, refuses them or stalls.
    DiskStateChanged {
        /// How it is now.
        state: DiskState,
    },
    /// It was asked to end.
    ShutdownStarted,
}
