//! Compares a member before and after each step, counts its state transitions and selects those to log.

use super::{transition_from_output, transitions_between, StepDownCause, Transition};
use crate::member::{DiskState, ElectionPhase, Member, MemberSummary, Output};

/// Counters of state transitions since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransitionCounters {
    /// Pre-votes started, including those that aren't logged.
    pub pre_votes: u64,
    /// Membership configurations proposed by this member that a majority of the voters accepted.
    pub memberships_installed: u64,
    /// Leases lost while this member was primary.
    pub leases_lost: u64,
    /// Membership configurations accepted.
    pub memberships_accepted: u64,
    /// Snapshots sent.
    pub snapshots_sent: u64,
    /// Snapshots installed.
    pub snapshots_installed: u64,
    /// Times that the disk started to refuse writes or became stalled.
    pub disk_faults: u64,
}

/// Records a member's state transitions.
#[derive(Debug)]
pub struct Recorder {
    latest_summary: MemberSummary,
    counters: TransitionCounters,
    /// Whether the last logged transition is a pre-vote. Further pre-votes are then counted but not logged, until
    /// another transition is logged.
    is_pre_vote_logged: bool,
}

impl Recorder {
    /// Creates a recorder for a member that hasn't taken a step yet.
    pub fn new(member: &Member) -> Self {
        Self {
            latest_summary: member.summary(None),
            counters: TransitionCounters::default(),
            is_pre_vote_logged: false,
        }
    }

    /// Returns the member's summary after its latest step.
    pub fn summary(&self) -> &MemberSummary {
        &self.latest_summary
    }

    /// Compares the member with its state after the previous step and counts the transitions. Returns those to log.
    pub fn after_step(&mut self, member: &Member) -> Vec<Transition> {
        let after = member.summary(Some(&self.latest_summary));
        if after == self.latest_summary {
            return Vec::new();
        }
        let mut transitions = transitions_between(&self.latest_summary, &after);
        self.latest_summary = after;
        transitions
            .iter()
            .for_each(|transition| self.count(transition));
        transitions.retain(|transition| self.should_log(transition));
        transitions
    }

    /// Counts the transition that an output represents, if any. Returns it for logging.
    pub fn after_output(&mut self, output: &Output) -> Option<Transition> {
        let transition = transition_from_output(output)?;
        self.count(&transition);
        Some(transition)
    }

    /// Returns the counters since the process started.
    pub fn counters(&self) -> TransitionCounters {
        self.counters
    }

    /// Whether a transition is logged. A partitioned member repeats its pre-vote again and again: only the first is
    /// logged.
    fn should_log(&mut self, transition: &Transition) -> bool {
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
