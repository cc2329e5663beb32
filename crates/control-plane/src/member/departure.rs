//! Graceful shutdown of a member. It announces its departure to the others and keeps serving until they hold
//! everything that it holds; only then may the process end.
//!
//! A replica waits until a membership configuration without it is on the disks of all replicas of that configuration.
//! A primary releases its lease once enough other members respond, and then waits for the same. If all other members
//! depart too, there is nothing to wait for.

use super::replica_placement::choose_replicas;
use super::{Member, Output};
use protocol::{MemberInfo, MembershipConfig, Message};
use std::collections::BTreeSet;
use std::time::Duration;

/// Lease durations for which a departing primary that can't hand over keeps its lease. After that, any remaining
/// member may take over.
const MAX_HAND_OVER_LEASES: u32 = 3;
/// Interval between announcements of a departure, as a fraction of a lease's duration.
const ANNOUNCEMENT_FRACTION: f64 = 0.5;
/// Maximum age of a voter's latest lease grant for the voter to count as available, as a fraction of a lease's
/// duration.
const RECENT_GRANT_FRACTION: f64 = 0.5;

/// The state of a departure.
#[derive(Clone, Debug)]
pub(super) struct Departure {
    started_at: Duration,
    next_announcement_at: Duration,
    /// Whether a later membership configuration without this member is on the disks of all its replicas.
    is_successor_installed: bool,
    /// Whether the runtime was told that the process may end.
    is_complete: bool,
}

impl Member {
    /// Begins the departure, if it hasn't begun yet.
    pub(super) fn on_depart(&mut self, out: &mut Vec<Output>) {
        if self.departure.is_some() {
            return;
        }
        self.departure = Some(Departure {
            started_at: self.now,
            next_announcement_at: self.now,
            is_successor_installed: false,
            is_complete: false,
        });
        self.announce_departure(out);
    }

    /// Announces the departure to all other members at regular intervals, with or without a vote: any of them may
    /// become the primary that chooses voters, and no other message of this member says that it departs.
    fn announce_departure(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(departure) = &mut self.departure else {
            return;
        };
        if now < departure.next_announcement_at {
            return;
        }
        departure.next_announcement_at =
            now + self.config.lease_duration.mul_f64(ANNOUNCEMENT_FRACTION);
        let epoch = self.accepted_epoch().unwrap_or(0);
        let mut others: BTreeSet<u64> = self.other_voters();
        others.extend(self.peers.ids());
        for id in others {
            self.send(id, Message::Leaving { epoch }, out);
        }
    }

    pub(super) fn is_peer_departing(&self, id: u64) -> bool {
        self.peers.is_departing(id, self.now)
    }

    /// Notes a received membership configuration that doesn't include this member. Members without a replica receive
    /// it only once all its replicas have it on disk.
    pub(super) fn record_successor(&mut self, membership: &MembershipConfig) {
        let is_newer = self
            .accepted_epoch()
            .is_none_or(|own| membership.epoch > own);
        let own_id = self.own_id();
        let excludes_self =
            membership.voter(own_id).is_none() && !membership.replicas.contains(&own_id);
        if let Some(departure) = &mut self.departure {
            departure.is_successor_installed |= is_newer && excludes_self && membership.is_stable();
        }
    }

    /// Departing members without a vote in a membership configuration. They wait for it to be installed.
    pub(super) fn departing_nonvoters(&self, membership: &MembershipConfig) -> Vec<u64> {
        self.peers
            .ids()
            .filter(|id| self.is_peer_departing(*id) && !membership.has_vote(*id))
            .collect()
    }

    /// Releases the lease once other members can take over, and completes the departure once nothing depends on this
    /// member.
    pub(super) fn run_departure(&mut self, out: &mut Vec<Output>) {
        self.announce_departure(out);
        let Some(departure) = self.departure.as_ref().filter(|d| !d.is_complete) else {
            return;
        };
        let hand_over_deadline = self.hand_over_deadline(departure);
        let others = self.other_voters();
        let all_depart = others.iter().all(|id| self.is_peer_departing(*id));
        let may_release =
            self.now >= hand_over_deadline || all_depart || self.others_can_take_over();
        if self.role.primary().is_some() && may_release {
            self.release_lease(out);
        }
        if self.role.is_follower() && (all_depart || self.is_no_longer_needed()) {
            if let Some(departure) = &mut self.departure {
                departure.is_complete = true;
            }
            out.push(Output::DepartureComplete);
        }
    }

    /// When a departing primary releases its lease even if nobody can take over.
    fn hand_over_deadline(&self, departure: &Departure) -> Duration {
        departure.started_at + MAX_HAND_OVER_LEASES * self.config.lease_duration
    }

    /// Whether neither the replicated state nor a majority depends on this member any more.
    fn is_no_longer_needed(&self) -> bool {
        let is_independent = |membership: &MembershipConfig| {
            membership.is_stable()
                && !membership.replicas.contains(&self.own_id())
                && !self.is_about_to_lose_vote(membership)
        };
        self.membership.as_ref().is_none_or(is_independent)
            || self
                .departure
                .as_ref()
                .is_some_and(|d| d.is_successor_installed)
    }

    /// Whether the primary is about to remove this voter, or to replace it by a joining member. If this member ended
    /// before that, the next loss would leave too few voters.
    fn is_about_to_lose_vote(&self, membership: &MembershipConfig) -> bool {
        let joins = |id: u64| membership.voter(id).is_none();
        let mut peers = self.peers.iter();
        let others_join = peers.any(|peer| joins(peer.info().id) && self.may_join(peer));
        membership.voter(self.own_id()).is_some()
            && (others_join || self.can_spare_voter(membership))
    }

    /// Whether the voters that granted a lease recently and don't depart form a quorum, with enough replicas among
    /// them.
    fn others_can_take_over(&self) -> bool {
        let (Some(primary), Some(membership)) = (self.role.primary(), &self.membership) else {
            return false;
        };
        let recent = self.config.lease_duration.mul_f64(RECENT_GRANT_FRACTION);
        let stays = |id: u64| {
            let granted_at = primary.leases.granted_at(id);
            granted_at.is_some_and(|at| self.now < at + recent)
                && self.peers.is_disk_healthy(id)
                && !self.is_peer_departing(id)
        };
        let voters = membership.voters.iter();
        let staying: Vec<&MemberInfo> = voters.filter(|v| stays(v.id)).collect();
        membership.has_quorum(stays)
            && choose_replicas(&self.config.fault_budget, &staying).is_some()
    }

    pub(super) fn departure_wake_at(&self) -> Option<Duration> {
        let departure = self.departure.as_ref()?;
        let hand_over_deadline = self.hand_over_deadline(departure);
        let hands_over = !departure.is_complete && hand_over_deadline > self.now;
        Some(if hands_over {
            hand_over_deadline.min(departure.next_announcement_at)
        } else {
            departure.next_announcement_at
        })
    }
}
