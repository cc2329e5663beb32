//! Changes of a member's state, found by comparing it before and after each step: a line in the log for each, and
//! counts. The state machine itself knows nothing of this.

mod compare;
mod log_lines;
mod recorder;

pub use compare::{between, of_output};
pub use log_lines::{log, log_start};
pub use recorder::{Recorder, TransitionCounters};

use crate::member::{DiskState, ElectionPhase, MemberSummary};
use protocol::{MemberInfo, MembershipConfig};
use std::fmt;
use std::sync::Arc;

/// Why a primary no longer acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepDownCause {
    /// Its lease ended: no majority of the voters granted it again in time.
    LeaseEnded,
    /// It promised a higher epoch to another candidate, or accepted that one's view.
    HigherEpoch,
    /// Its own disk refuses writes or stalls: it yields.
    Disk,
    /// It was asked to end: it yields.
    Leaving,
}

/// What a member is in its view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipRole {
    /// Not in it, or no view is known: it only mirrors.
    Joining,
    /// A voter that keeps epochs and views alone.
    Witness,
    /// A voter that has each acknowledged change on its disk.
    Replica,
    /// The replica that takes changes.
    Primary,
}

impl MembershipRole {
    fn of(summary: &MemberSummary) -> Self {
        match &summary.membership {
            Some(view) if view.epoch > 0 && view.primary == summary.id => MembershipRole::Primary,
            Some(view) if view.replicas.contains(&summary.id) => MembershipRole::Replica,
            Some(view) if view.voter(summary.id).is_some() => MembershipRole::Witness,
            _ => MembershipRole::Joining,
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

/// One change of state.
#[derive(Clone, Debug, PartialEq)]
pub enum Transition {
    /// The ledger that was acknowledged when the process last ended is shown, before any primary acts.
    LedgerRestored {
        /// Number of its last change.
        seq: u64,
        /// Version of its configuration.
        version: u64,
    },
    /// It saw no lease and asks who would promise.
    ElectionStarted {
        /// Epoch of the view that it knows.
        view: u64,
    },
    /// It gathers promises under a new epoch.
    PromisesRequested {
        /// The new epoch.
        epoch: u64,
    },
    /// As primary it changes its view: it gathers promises under a new epoch.
    ViewChangeStarted {
        /// Epoch of the view that ends.
        from: u64,
        /// The new epoch.
        epoch: u64,
    },
    /// It stands no longer.
    ElectionAbandoned {
        /// The epoch; 0 where it was still in the pre-vote.
        epoch: u64,
        /// How far it had come.
        phase: ElectionPhase,
    },
    /// It is the primary of a view that a majority has.
    ElectionWon {
        /// Epoch of the view.
        epoch: u64,
        /// Number of the ledger's last change that it starts from.
        ledger: Option<u64>,
    },
    /// As primary it has a majority's lease: it acknowledges and answers.
    LeaseHeld {
        /// Epoch of its view.
        epoch: u64,
    },
    /// As primary it has no lease for the moment: it acknowledges and answers nothing.
    LeaseLapsed {
        /// Epoch of its view.
        epoch: u64,
    },
    /// It is primary no longer.
    SteppedDown {
        /// Epoch of its view.
        epoch: u64,
        /// Why.
        cause: StepDownCause,
    },
    /// It promised an epoch to somebody else: it takes nothing of earlier ones any more.
    Promised {
        /// The epoch.
        epoch: u64,
        /// The view that it knows, whose voters name the candidate.
        view: Option<Arc<MembershipConfig>>,
    },
    /// A view is on its disk.
    ViewAccepted {
        /// The view.
        view: Arc<MembershipConfig>,
        /// Voters that the view before didn't have; none where no view was known.
        added: Vec<MemberInfo>,
        /// Voters that this view has no longer.
        removed: Vec<MemberInfo>,
        /// What this member is in it.
        position: MembershipRole,
        /// What it was before.
        before: MembershipRole,
    },
    /// It took another member's ledger whole.
    SnapshotTaken {
        /// Epoch of the view that brought it.
        epoch: u64,
        /// Number of its last change.
        seq: u64,
    },
    /// It sent its ledger whole.
    SnapshotSent {
        /// To whom.
        to: MemberInfo,
        /// Epoch of the view or of the candidate that it is for.
        epoch: u64,
        /// Number of its last change.
        seq: u64,
    },
    /// As a voter it granted a primary its first lease of a view.
    LeaseGranted {
        /// The primary.
        primary: MemberInfo,
        /// Epoch of its view.
        epoch: u64,
    },
    /// The lease that it granted ended or was given back.
    LeaseOver {
        /// The primary.
        primary: MemberInfo,
        /// Epoch of its view.
        epoch: u64,
    },
    /// Its disk takes writes again, refuses them or stalls.
    Disk {
        /// How it is now.
        state: DiskState,
    },
    /// It was asked to end.
    Leaving,
}
