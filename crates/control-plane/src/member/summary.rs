//! What a member is at one moment, in short: compared before and after a step, it tells the changes of state.

use super::{ElectionPhase, Member, Role};
use protocol::MembershipConfig;
use std::sync::Arc;

/// Whether a member's disk takes writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskState {
    /// It takes them.
    Healthy,
    /// The latest write has been under way for longer than a write may take.
    Stalled,
    /// The latest write was refused.
    Refused,
}

/// What a member does beside being a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleSummary {
    /// Nothing.
    Follower,
    /// It stands for election, or changes its own view.
    Candidate {
        /// The epoch that it asks for; 0 during the pre-vote.
        epoch: u64,
        /// How far it has come.
        phase: ElectionPhase,
    },
    /// It is the primary of a view.
    Primary {
        /// The view's epoch.
        epoch: u64,
        /// Whether a majority's lease lasts: only then it acknowledges and answers.
        leased: bool,
    },
}

/// The holder of a lease that this member granted as a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantSummary {
    /// Identity of the primary.
    pub primary: u64,
    /// Epoch of its view.
    pub epoch: u64,
}

/// A member's state, in short.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberSummary {
    /// Its identity.
    pub id: u64,
    /// What it does.
    pub role: RoleSummary,
    /// The latest view that it accepted; none before it has joined.
    pub view: Option<Arc<MembershipConfig>>,
    /// The highest epoch that it has promised.
    pub promised: u64,
    /// The lease that it granted and that hasn't ended.
    pub grant: Option<GrantSummary>,
    /// Its disk.
    pub disk: DiskState,
    /// Number of the ledger's last change on its disk; none where it holds no ledger.
    pub ledger: Option<u64>,
    /// Whether it was asked to end.
    pub leaving: bool,
}

impl Member {
    /// The state now. `previous` spares copying a view that is still the same.
    pub fn summary(&self, previous: Option<&MemberSummary>) -> MemberSummary {
        let role = match &self.role {
            Role::Follower => RoleSummary::Follower,
            Role::Candidate(state) => RoleSummary::Candidate {
                epoch: state.epoch,
                phase: state.phase,
            },
            Role::Primary(state) => RoleSummary::Primary {
                epoch: state.epoch,
                leased: self.lease_end(state) > self.now,
            },
        };
        let known = previous.and_then(|p| p.view.as_ref());
        let view = self.view.as_ref().map(|view| match known {
            // No epoch stands for two views.
            Some(known) if known.epoch == view.epoch => known.clone(),
            _ => Arc::new(view.clone()),
        });
        let grant = self.grant.filter(|g| g.until > self.now);
        MemberSummary {
            id: self.me(),
            role,
            view,
            promised: self.promised,
            grant: grant.map(|g| GrantSummary {
                primary: g.to,
                epoch: g.epoch,
            }),
            disk: self.disk.state(self.now, self.config.stall),
            ledger: self.held.as_ref().map(|h| h.disk.index),
            leaving: self.departure.is_some(),
        }
    }
}
