//! Follows a member step by step: counts its changes of state and picks those that are told.

use super::{between, of_output, StepDownCause, Transition};
use crate::member::{DiskState, ElectionPhase, Member, MemberSummary, Output};

/// Counts of changes since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransitionCounters {
    /// Pre-votes started, those that aren't told one by one among them.
    pub elections: u64,
    /// Times that it became primary of a view.
    pub elections_won: u64,
    /// Leases lost while it was primary.
    pub leases_lost: u64,
    /// Views accepted.
    pub views: u64,
    /// Ledgers sent whole.
    pub snapshots_sent: u64,
    /// Ledgers taken whole.
    pub snapshots_taken: u64,
    /// Times that the disk began to refuse or to stall.
    pub disk_faults: u64,
}

/// Follows a member step by step.
#[derive(Debug)]
pub struct Recorder {
    last: MemberSummary,
    counters: TransitionCounters,
    /// Whether the last that was told is that it stands: as long as nothing else changes, further tries are
    /// counted and not told.
    standing: bool,
}

impl Recorder {
    /// For a member that hasn't taken a step yet.
    pub fn new(member: &Member) -> Self {
        Self {
            last: member.summary(None),
            counters: TransitionCounters::default(),
            standing: false,
        }
    }

    /// What the member was after its last step.
    pub fn summary(&self) -> &MemberSummary {
        &self.last
    }

    /// Takes what the member is after a step, and tells what has changed since the step before.
    pub fn after_step(&mut self, member: &Member) -> Vec<Transition> {
        let after = member.summary(Some(&self.last));
        if after == self.last {
            return Vec::new();
        }
        let mut told = between(&self.last, &after);
        self.last = after;
        told.iter().for_each(|t| self.count(t));
        told.retain(|t| self.worth_telling(t));
        told
    }

    /// Takes what the member asks for, and tells where that stands for a change.
    pub fn of_output(&mut self, output: &Output) -> Option<Transition> {
        let told = of_output(output)?;
        self.count(&told);
        Some(told)
    }

    /// Counts since the start.
    pub fn counters(&self) -> TransitionCounters {
        self.counters
    }

    /// A member that is cut off stands again and again: told once.
    fn worth_telling(&mut self, transition: &Transition) -> bool {
        match transition {
            Transition::ElectionStarted { .. } => !std::mem::replace(&mut self.standing, true),
            Transition::ElectionAbandoned {
                phase: ElectionPhase::PreVote,
                ..
            } => false,
            _ => {
                self.standing = false;
                true
            }
        }
    }

    fn count(&mut self, transition: &Transition) {
        let counters = &mut self.counters;
        let counter = match transition {
            Transition::ElectionStarted { .. } => &mut counters.elections,
            Transition::ElectionWon { .. } => &mut counters.elections_won,
            Transition::LeaseLapsed { .. } => &mut counters.leases_lost,
            Transition::SteppedDown {
                cause: StepDownCause::LeaseEnded,
                ..
            } => &mut counters.leases_lost,
            Transition::ViewAccepted { .. } => &mut counters.views,
            Transition::SnapshotSent { .. } => &mut counters.snapshots_sent,
            Transition::SnapshotTaken { .. } => &mut counters.snapshots_taken,
            Transition::Disk {
                state: DiskState::Refused | DiskState::Stalled,
            } => &mut counters.disk_faults,
            _ => return,
        };
        *counter += 1;
    }
}
