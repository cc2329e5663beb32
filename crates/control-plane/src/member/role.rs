//! The roles of a member. Each role holds the state that only it needs.

use super::candidate::CandidateState;
use super::primary::PrimaryState;
use super::Member;

/// The current role of a member.
#[derive(Clone, Debug)]
pub(super) enum Role {
    /// Neither candidate nor primary.
    Follower,
    Candidate(Box<CandidateState>),
    Primary(Box<PrimaryState>),
}

impl Role {
    pub(super) fn is_follower(&self) -> bool {
        matches!(self, Role::Follower)
    }

    pub(super) fn candidate(&self) -> Option<&CandidateState> {
        match self {
            Role::Candidate(candidate) => Some(candidate),
            _ => None,
        }
    }

    pub(super) fn candidate_mut(&mut self) -> Option<&mut CandidateState> {
        match self {
            Role::Candidate(candidate) => Some(candidate),
            _ => None,
        }
    }

    pub(super) fn primary(&self) -> Option<&PrimaryState> {
        match self {
            Role::Primary(primary) => Some(primary),
            _ => None,
        }
    }

    pub(super) fn primary_mut(&mut self) -> Option<&mut PrimaryState> {
        match self {
            Role::Primary(primary) => Some(primary),
            _ => None,
        }
    }
}

impl Member {
    /// Makes this member a follower. Commands that wait for an answer are sent to the next primary.
    pub(super) fn step_down(&mut self) {
        self.record_own_contact();
        self.role = Role::Follower;
        self.commands.mark_all_unsent();
    }
}
