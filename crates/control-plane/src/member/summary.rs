//! A snapshot of a member's observable state. The runtime compares the summaries before and after a step to log and
//! count state transitions.

use super::{ElectionPhase, Member, Role};
use protocol::MembershipConfig;
use std::sync::Arc;

/// Whether a member's disk accepts writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskState {
    /// Writes complete in time.
    Healthy,
    /// The latest write has been in flight for at least [`super::MemberConfig::disk_stall_timeout`].
    Stalled,
    /// The latest write was refused.
    Refused,
}

/// A member's role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleSummary {
    /// Neither candidate nor primary.
    Follower,
    /// The member campaigns to become primary, or changes its own membership configuration as primary.
    Candidate {
        /// The epoch that it prepares; 0 during the pre-vote.
        epoch: u64,
        /// The phase of the campaign.
        phase: ElectionPhase,
    },
    /// The member is the primary of a membership configuration.
    Primary {
        /// Epoch of that membership configuration.
        epoch: u64,
        /// Whether it holds leases of a majority. Without them it neither acknowledges changes nor answers reads.
        leased: bool,
    },
}

/// A lease that a member granted as a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrantSummary {
    /// Member id of the lease holder.
    pub primary: u64,
    /// Epoch of its membership configuration.
    pub epoch: u64,
}

/// A member's observable state.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberSummary {
    /// Its member id.
    pub id: u64,
    /// Its role.
    pub role: RoleSummary,
    /// The latest membership configuration that it accepted; `None` before it has joined.
    pub membership: Option<Arc<MembershipConfig>>,
    /// The highest epoch that it has promised.
    pub promised_epoch: u64,
    /// The lease that it granted, if still in force.
    pub lease_grant: Option<LeaseGrantSummary>,
    /// The state of its disk.
    pub disk: DiskState,
    /// Index of the last change on its disk; `None` if it is no replica.
    pub durable_index: Option<u64>,
    /// Whether it was asked to depart.
    pub departing: bool,
}

impl Member {
    /// The current state. An unchanged membership configuration is shared with the previous summary instead of copied.
    pub fn summary(&self, previous: Option<&MemberSummary>) -> MemberSummary {
        let grant = self.granted_lease.filter(|g| g.until > self.now);
        MemberSummary {
            id: self.own_id(),
            role: self.role_summary(),
            membership: self.shared_membership(previous),
            promised_epoch: self.promise.epoch(),
            lease_grant: grant.map(|g| LeaseGrantSummary {
                primary: g.primary,
                epoch: g.epoch,
            }),
            disk: self
                .write_queue
                .disk_state(self.now, self.config.disk_stall_timeout),
            durable_index: self.log.as_ref().map(|log| log.durable().index),
            departing: self.departure.is_some(),
        }
    }

    fn role_summary(&self) -> RoleSummary {
        match &self.role {
            Role::Follower => RoleSummary::Follower,
            Role::Candidate(candidate) => RoleSummary::Candidate {
                epoch: candidate.epoch(),
                phase: candidate.phase(),
            },
            Role::Primary(primary) => RoleSummary::Primary {
                epoch: primary.epoch(),
                leased: self.is_acting_primary(),
            },
        }
    }

    fn shared_membership(&self, previous: Option<&MemberSummary>) -> Option<Arc<MembershipConfig>> {
        let known = previous.and_then(|p| p.membership.as_ref());
        self.membership.as_ref().map(|membership| match known {
            // An epoch belongs to one membership configuration only.
            Some(known) if known.epoch == membership.epoch => known.clone(),
            _ => Arc::new(membership.clone()),
        })
    }
}
