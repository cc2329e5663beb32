//! The election timer. Members campaign one after the other, replicas first, so that one of them usually wins without
//! competition.

use super::candidate::CandidateState;
use super::{Member, Output, Role};
use protocol::Message;
use std::time::Duration;

/// Delay between the campaigns of members of successive rank, as a divisor of a lease's duration.
const RANK_DELAY_DIVISOR: u32 = 8;

impl Member {
    /// Starts a campaign if this voter has no lease granted that is in force, and its election delay is over.
    pub(super) fn run_election_timer(&mut self, out: &mut Vec<Output>) {
        let is_held_back = self.granted_lease.is_some_and(|g| g.until > self.now)
            || self.departure.is_some()
            || !self.disk_healthy();
        let may_campaign = self.role.is_follower() && self.is_voter() && !self.is_superseded();
        if is_held_back || !may_campaign || self.now < self.election_at {
            return;
        }
        self.election_at = self.now + self.config.lease_duration / 2 + self.election_delay();
        self.role = Role::Candidate(Box::new(CandidateState::pre_vote(self.now)));
        let accepted_epoch = self.accepted_epoch().unwrap_or(0);
        for voter in self.other_voters() {
            let message = Message::PreVote {
                known_epoch: self.highest_epoch_seen,
                accepted_epoch,
            };
            self.send(voter, message, out);
        }
        self.on_pre_votes_changed(out);
    }

    /// Postpones this member's campaign, so that the member that was promised an epoch or holds a lease has time to
    /// act.
    pub(super) fn postpone_election(&mut self) {
        self.election_at = self.now + self.config.lease_duration + self.election_delay();
    }

    /// How long this member lets others campaign first. Replicas come before witnesses, in the order of the membership
    /// configuration; a random part keeps members of equal rank apart.
    pub(super) fn election_delay(&mut self) -> Duration {
        let rank_delay = self.config.lease_duration / RANK_DELAY_DIVISOR;
        rank_delay * self.election_rank() + self.random.duration_below(rank_delay / 2)
    }

    /// This member's position in the order of campaigns, from 0.
    fn election_rank(&self) -> u32 {
        let own_id = self.own_id();
        let Some(membership) = &self.membership else {
            return 0;
        };
        let replicas = membership.replicas.iter().copied();
        let witnesses = membership
            .voters
            .iter()
            .map(|v| v.id)
            .filter(|id| !membership.replicas.contains(id));
        let rank = replicas
            .chain(witnesses)
            .filter(|id| *id != membership.primary || *id == own_id)
            .position(|id| id == own_id);
        rank.unwrap_or(0) as u32
    }

    pub(super) fn election_wake_at(&self) -> Option<Duration> {
        let waits = self.is_voter() && self.role.is_follower() && self.departure.is_none();
        let lease_end = self.granted_lease.map_or(self.election_at, |g| g.until);
        waits.then(|| self.election_at.max(lease_end))
    }
}
