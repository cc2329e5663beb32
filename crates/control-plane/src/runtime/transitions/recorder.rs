//! Follows a member step by step: counts its state transitions and picks those to log.

use super::{between, from_output, StepDownCause, Transition};
use crate::member::{DiskState, ElectionPhase, Member, MemberSummary, Output};

/// Counts of transitions since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransitionCounters {
    /// Pre-votes started, also those that aren't logged.
    pub pre_votes: u64,
    /// Membership configurations of its own that a majority took.
    pub memberships_installed: u64,
    /// Leases lost while it was primary.
    pub leases_lost: u64,
    /// Membership configurations accepted.
    pub memberships_accepted: u64,
    /// Snapshots sent.
    pub snapshots_sent: u64,
    /// Snapshots installed.
    pub snapshots_installed: u64,
    /// Times that the disk began to refuse writes or to stall.
    pub disk_faults: u64,
}

/// Follows a member step by step.
#[derive(Debug)]
pub struct Recorder {
    last: MemberSummary,
    counters: TransitionCounters,
    /// Whether the last logged transition is a pre-vote: until another one is logged, further pre-votes are only
    /// counted.
    is_pre_vote_logged: bool,
}

impl Recorder {
    /// For a member that hasn't taken a step yet.
    pub fn new(member: &Member) -> Self {
        Self {
            last: member.summary(None),
            counters: TransitionCounters::default(),
            is_pre_vote_logged: false,
        }
    }

    /// The member's summary after its last step.
    pub fn summary(&self) -> &MemberSummary {
        &self.last
    }

    /// Compares the member after a step with the step before. Returns the transitions to log.
    pub fn after_step(&mut self, member: &Member) -> Vec<Transition> {
        let after = member.summary(Some(&self.last));
        if after == self.last {
            return Vec::new();
        }
        let mut transitions = between(&self.last, &after);
        self.last = after;
        transitions
            .iter()
            .for_each(|transition| self.count(transition));
        transitions.retain(|transition| self.is_to_log(transition));
        transitions
    }

    /// The transition that an output stands for, to be logged.
    pub fn after_output(&mut self, output: &Output) -> Option<Transition> {
        let transition = from_output(output)?;
        self.count(&transition);
        Some(transition)
    }

    /// Counts since the start.
    pub fn counters(&self) -> TransitionCounters {
        self.counters
    }

    /// A member that is cut off starts pre-votes again and again: the first one is logged.
    fn is_to_log(&mut self, transition: &Transition) -> bool {
        match transition {
            Transition::PreVoteStarted { .. } => {
                !std::mem::replace(&mut self.is_pre_vote_logged, true)
            }
            Transition::CampaignFailed {
                phase: ElectionPhase::PreVote,
                ..
            } => false,
            _ => {
                self.is_pre_vote_logged = false;
                true
            }
        }
    }

    fn count(&mut self, transition: &Transition) {
        let counters = &mut self.counters;
        let counter = match transition {
            Transition::PreVoteStarted { .. } => &mut counters.pre_votes,
            Transition::MembershipInstalled { .. } => &mut counters.memberships_installed,
            Transition::LeaseLost { .. }
            | Transition::SteppedDown {
                cause: StepDownCause::LeaseExpired,
                ..
            } => &mut counters.leases_lost,
            Transition::MembershipAccepted { .. } => &mut counters.memberships_accepted,
            Transition::SnapshotSent { .. } => &mut counters.snapshots_sent,
            Transition::SnapshotInstalled { .. } => &mut counters.snapshots_installed,
            Transition::DiskStateChanged {
                state: DiskState::Refused | DiskState::Stalled,
            } => &mut counters.disk_faults,
            _ => return,
        };
        *counter += 1;
    }
}
