//! Leases (Gray and Cheriton 1989): for a limited time, a voter promises to follow no other primary.
//!
//! The primary counts a lease from the moment at which it requested it, and relies on only a part of its duration. The
//! voter counts the whole duration from the moment at which it granted it. Clocks need not agree, but their rates may
//! differ by no more than the part that the primary leaves unused. Epochs alone keep committed changes safe; leases
//! keep a former primary from answering after another one has taken over.

use super::primary::PrimaryState;
use super::{Member, Output};
use protocol::{MemberInfo, MembershipConfig, Message};
use std::collections::BTreeMap;
use std::time::Duration;

/// The fraction of a lease's duration that the primary relies on.
const PRIMARY_LEASE_FRACTION: f64 = 0.9;
/// Interval between renewals, as a fraction of a lease's duration.
pub(super) const RENEWAL_FRACTION: f64 = 0.25;

/// A lease that this member granted as a voter.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaseGrant {
    /// Member id of the primary.
    pub(super) primary: u64,
    /// Epoch of the primary's membership configuration.
    pub(super) epoch: u64,
    /// When the lease ends, by this member's clock.
    pub(super) until: Duration,
}

/// A primary's request to grant or extend a lease.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaseRequest {
    pub(super) epoch: u64,
    /// The primary's clock when it sent the request, in ms.
    pub(super) requested_at_ms: u64,
    pub(super) commit_index: u64,
    /// Index of the last committed change of the configuration or the drains.
    pub(super) fleet_index: u64,
    /// The voter's clock as of its latest reply, in ms; 0 if the primary knows none or its lease has lapsed.
    pub(super) echoed_clock_ms: u64,
}

impl LeaseRequest {
    /// The wire message. Where it suffices, this is the form that releases without locks, numbers and cells
    /// understand.
    fn into_message(self) -> Message {
        let Self {
            epoch,
            requested_at_ms,
            commit_index,
            fleet_index,
            echoed_clock_ms,
        } = self;
        if fleet_index == commit_index {
            return Message::RenewLease {
                epoch,
                requested_at_ms,
                commit_index,
                echoed_clock_ms,
            };
        }
        Message::RenewLeaseWithFleetIndex {
            epoch,
            requested_at_ms,
            commit_index,
            echoed_clock_ms,
            fleet_index,
        }
    }
}

/// A voter's answer to a [`LeaseRequest`].
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaseReply {
    pub(super) epoch: u64,
    /// The same value as in the request.
    pub(super) requested_at_ms: u64,
    pub(super) granted: bool,
    pub(super) disk_healthy: bool,
    /// The voter's clock, in ms.
    pub(super) clock_ms: u64,
}

/// The leases that a primary holds.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldLeases {
    /// For each voter, when the latest lease that it granted was requested.
    granted_at: BTreeMap<u64, Duration>,
    /// The clock that each voter sent with its latest grant, in ms.
    voter_clocks_ms: BTreeMap<u64, u64>,
}

impl HeldLeases {
    /// When the latest lease that a voter granted was requested.
    pub(super) fn granted_at(&self, voter: u64) -> Option<Duration> {
        self.granted_at.get(&voter).copied()
    }

    fn voter_clock_ms(&self, voter: u64) -> Option<u64> {
        self.voter_clocks_ms.get(&voter).copied()
    }

    fn record(&mut self, voter: u64, reply: &LeaseReply) {
        let requested_at = Duration::from_millis(reply.requested_at_ms);
        let latest = self.granted_at.entry(voter).or_insert(requested_at);
        *latest = requested_at.max(*latest);
        self.voter_clocks_ms.insert(voter, reply.clock_ms);
    }

    /// The latest time such that a joint quorum of voters granted leases that were requested at or after it; 0 if no
    /// quorum has granted any. The primary always counts as a voter that grants its own lease.
    fn quorum_granted_at(
        &self,
        membership: &MembershipConfig,
        own_id: u64,
        now: Duration,
    ) -> Duration {
        let majority_granted_at = |voters: &[MemberInfo]| {
            let granted_at = |voter: &MemberInfo| match voter.id {
                id if id == own_id => now,
                id => self.granted_at(id).unwrap_or(Duration::ZERO),
            };
            let mut latest_first: Vec<Duration> = voters.iter().map(granted_at).collect();
            latest_first.sort_unstable_by(|a, b| b.cmp(a));
            latest_first.get(voters.len() / 2).copied().unwrap_or(now)
        };
        let by_voters = majority_granted_at(&membership.voters);
        by_voters.min(majority_granted_at(&membership.previous_voters))
    }
}

impl Member {
    /// When the primary's lease ends by its own count; 0 if it holds none.
    pub(super) fn lease_end(&self, primary: &PrimaryState) -> Duration {
        let Some(membership) = &self.membership else {
            return Duration::ZERO;
        };
        let granted_at = primary
            .leases
            .quorum_granted_at(membership, self.own_id(), self.now);
        if granted_at.is_zero() {
            return Duration::ZERO;
        }
        granted_at + self.config.lease_duration.mul_f64(PRIMARY_LEASE_FRACTION)
    }

    /// Steps down if this member is a primary whose lease has ended.
    pub(super) fn step_down_if_lease_ended(&mut self) {
        let Some(primary) = self.role.primary() else {
            return;
        };
        let had_time_to_obtain_one = self.now >= primary.started_at() + self.config.lease_duration;
        if self.now >= self.lease_end(primary) && had_time_to_obtain_one {
            self.step_down();
            self.election_at = self.now + self.election_delay();
        }
    }

    /// Requests a lease extension from each voter if renewal is due, and asks the voters that haven't accepted the
    /// membership configuration to accept it.
    pub(super) fn renew_leases(&mut self, out: &mut Vec<Output>) {
        let is_leased = self.is_acting_primary();
        let (now, own_id) = (self.now, self.own_id());
        let (Some(primary), Some(membership)) = (self.role.primary_mut(), &self.membership) else {
            return;
        };
        let interval = self.config.lease_duration.mul_f64(RENEWAL_FRACTION);
        if !primary.start_renewal_if_due(now, interval) {
            return;
        }
        let mut messages: Vec<(u64, Message)> = Vec::new();
        for voter in membership
            .voters
            .iter()
            .map(|v| v.id)
            .filter(|v| *v != own_id)
        {
            if primary.is_awaiting_acceptance(voter) && !membership.replicas.contains(&voter) {
                let install = Message::InstallMembership {
                    membership: membership.clone(),
                    snapshot: None,
                };
                messages.push((voter, install));
            }
            // Without a lease, another primary may have acted in the meantime, and the echo would prove nothing.
            let echo = primary.leases.voter_clock_ms(voter).filter(|_| is_leased);
            let request = LeaseRequest {
                epoch: primary.epoch(),
                requested_at_ms: now.as_millis() as u64,
                commit_index: primary.commit_index(),
                fleet_index: primary.fleet_index(),
                echoed_clock_ms: echo.unwrap_or(0),
            };
            messages.push((voter, request.into_message()));
        }
        for (to, message) in messages {
            self.send(to, message, out);
        }
    }

    /// Handles a primary's lease request: grants it if this member follows that primary.
    pub(super) fn on_lease_request(
        &mut self,
        from: MemberInfo,
        request: LeaseRequest,
        out: &mut Vec<Output>,
    ) {
        let epoch = request.epoch;
        let granted =
            self.follows(epoch, from.id) && self.promise.epoch() == epoch && !self.is_superseded();
        if granted {
            self.grant_lease(&from, &request);
        }
        if self.departure.is_some() {
            let leaving = Message::Leaving { epoch };
            out.push(Output::Send {
                to: from.clone(),
                message: leaving,
            });
        }
        let message = Message::LeaseReply {
            epoch,
            requested_at_ms: request.requested_at_ms,
            granted,
            promised_epoch: self.promise.epoch(),
            disk_healthy: self.disk_healthy() && self.departure.is_none(),
            clock_ms: self.contact_tracker.clock_ms(self.now),
        };
        out.push(Output::Send { to: from, message });
        self.record_committed(epoch, request.commit_index);
    }

    fn grant_lease(&mut self, primary: &MemberInfo, request: &LeaseRequest) {
        // A candidate would vote for itself while the lease lasts.
        if self.role.candidate().is_some() {
            self.step_down();
        }
        let until = self.now + self.config.lease_duration;
        self.granted_lease = Some(LeaseGrant {
            primary: primary.id,
            epoch: request.epoch,
            until,
        });
        self.election_at = until + self.election_delay();
        self.contact_tracker
            .record_echo(request.fleet_index, request.echoed_clock_ms, self.now);
    }

    /// Handles a voter's reply to a lease request.
    pub(super) fn on_lease_reply(
        &mut self,
        from: &MemberInfo,
        reply: &LeaseReply,
        out: &mut Vec<Output>,
    ) {
        self.peers.record_disk_health(from.id, reply.disk_healthy);
        let Some(primary) = self.role.primary_mut() else {
            return;
        };
        if primary.epoch() != reply.epoch {
            return;
        }
        if !reply.granted {
            primary.record_missing_acceptance(from.id);
            return;
        }
        primary.leases.record(from.id, reply);
        primary.record_acceptance(from.id);
        // Changes that were replicated before the primary had a lease can be committed now.
        self.commit(out);
    }

    /// Steps down as primary or candidate, and tells the voters that this member's lease no longer binds them.
    pub(super) fn release_lease(&mut self, out: &mut Vec<Output>) {
        let epoch = match (self.role.primary(), self.role.candidate()) {
            (Some(primary), _) => primary.epoch(),
            (_, Some(candidate)) => candidate.epoch(),
            _ => return,
        };
        self.step_down();
        let voters = self.membership.iter().flat_map(|m| &m.voters);
        let voters: Vec<u64> = voters.map(|v| v.id).collect();
        for voter in voters.into_iter().filter(|v| *v != self.own_id()) {
            self.send(voter, Message::ReleaseLease { epoch }, out);
        }
        // Lets the others campaign first.
        self.election_at = self.now + 2 * self.config.lease_duration;
    }

    /// Handles the release of a lease by its holder. Messages of other members don't end a lease.
    pub(super) fn on_lease_released(&mut self, from: u64, epoch: u64) {
        let is_holder = |g: LeaseGrant| g.primary == from && g.epoch <= epoch;
        if self.granted_lease.is_some_and(is_holder) {
            self.granted_lease = None;
            self.election_at = self.now + self.election_delay();
        }
    }
}
