//! Changes that a primary has to make to its membership configuration: replicas that don't respond or depart are
//! replaced, voters are added and removed.

use super::candidate::MembershipChange;
use super::lease::RENEWAL_FRACTION;
use super::peers::Peer;
use super::primary::PrimaryState;
use super::replica_placement::{choose_replicas, majority_shortfall};
use super::Member;
use protocol::{MemberInfo, MembershipConfig};
use std::collections::BTreeSet;
use std::time::Duration;

/// A replica that hasn't responded for this fraction of a lease's duration is replaced.
const REPLICA_TIMEOUT_FRACTION: f64 = 0.7;
/// A voter that was silent for this many lease durations is replaced by a joining member, or removed if the number of
/// voters is even.
const REPLACE_AFTER_LEASES: u32 = 3;
/// A voter that was silent for this many lease durations is removed if enough voters remain.
const REMOVE_AFTER_LEASES: u32 = 10;
/// A member without a vote may become a voter if it was heard from within this many lease durations.
const JOIN_WITHIN_LEASES: u32 = 3;
/// The largest number of voters. Further members have no vote and only mirror.
const MAX_VOTERS: usize = 9;

impl Member {
    /// The change that the membership configuration needs; `None` if it needs none.
    pub(super) fn required_change(&self, primary: &PrimaryState) -> Option<MembershipChange> {
        let membership = self.membership.as_ref()?;
        let mut change = MembershipChange::default();
        if let Some(exclude) = self.replicas_to_replace(primary, membership) {
            change.exclude = exclude;
        }
        self.add_joining_members(primary, membership, &mut change);
        if change.add.is_empty() {
            change
                .remove
                .extend(self.voters_to_remove(primary, membership));
        }
        // A higher epoch was promised to another candidate: the voters that promised it no longer follow this primary.
        let is_overtaken = self.highest_epoch_seen > primary.epoch();
        // A replica that rejected a change but still responds has to start again from a snapshot.
        let mut failed = primary.replication.failed_replicas().iter();
        let needs_snapshot = failed.any(|id| !self.has_replica_timed_out(primary, *id));
        let can_accept_changes =
            !primary.accepts_changes() && self.enough_voters_respond(primary, membership);
        let is_needed = is_overtaken
            || needs_snapshot
            || can_accept_changes
            || change != MembershipChange::default()
            || !membership.is_stable();
        is_needed.then_some(change)
    }

    /// The time since the latest lease that a voter granted was requested.
    fn time_without_grant(&self, primary: &PrimaryState, id: u64) -> Duration {
        let granted_at = primary.leases.granted_at(id);
        self.now
            .saturating_sub(granted_at.unwrap_or(primary.started_at()))
    }

    /// Whether a replica hasn't granted a lease for so long that it is replaced.
    fn has_replica_timed_out(&self, primary: &PrimaryState, id: u64) -> bool {
        let timeout = self.config.lease_duration.mul_f64(REPLICA_TIMEOUT_FRACTION);
        self.time_without_grant(primary, id) >= timeout
    }

    /// Whether a voter granted a lease recently, has a healthy disk and doesn't depart.
    fn is_responsive(&self, primary: &PrimaryState, id: u64) -> bool {
        let recent = self.config.lease_duration.mul_f64(2.0 * RENEWAL_FRACTION);
        self.time_without_grant(primary, id) < recent
            && self.peers.is_disk_healthy(id)
            && !self.is_peer_departing(id)
    }

    /// The time since the last message of a voter, of any kind. Voters had no reason to send one before this member
    /// was primary, except during the lease that it waited for before it took over. That period also counts for a
    /// voter that was never heard from.
    fn time_since_last_message(&self, primary: &PrimaryState, id: u64) -> Duration {
        let last_heard_at = self.peers.last_heard_at(id).unwrap_or(Duration::ZERO);
        let primary_since = primary.primary_since();
        let first_expected = primary_since.saturating_sub(self.config.lease_duration);
        self.now.saturating_sub(last_heard_at.max(first_expected))
    }

    /// Replicas that don't respond, can't write or depart; `None` if there are none, or no other voters to take their
    /// place.
    fn replicas_to_replace(
        &self,
        primary: &PrimaryState,
        membership: &MembershipConfig,
    ) -> Option<BTreeSet<u64>> {
        let own_id = self.own_id();
        let timeout = self.config.lease_duration.mul_f64(REPLICA_TIMEOUT_FRACTION);
        let has_failed = |id: u64| {
            primary.replication.is_late(id, self.now, timeout)
                || self.time_without_grant(primary, id) > timeout
                || !self.peers.is_disk_healthy(id)
                || self.is_peer_departing(id)
                || primary.replication.failed_replicas().contains(&id)
        };
        let replicas = membership.replicas.iter().copied();
        let failed: BTreeSet<u64> = replicas
            .filter(|id| *id != own_id && has_failed(*id))
            .collect();
        let is_usable =
            |id: u64| id == own_id || (!failed.contains(&id) && self.is_responsive(primary, id));
        let voters = membership.voters.iter();
        let usable: Vec<&MemberInfo> = voters.filter(|v| is_usable(v.id)).collect();
        choose_replicas(&self.config.fault_budget, &usable)?;
        Some(failed).filter(|failed| !failed.is_empty())
    }

    /// Whether enough voters respond now to hold all replicas.
    fn enough_voters_respond(&self, primary: &PrimaryState, membership: &MembershipConfig) -> bool {
        let answers = |id: u64| id == self.own_id() || self.is_responsive(primary, id);
        let voters = membership.voters.iter();
        let answering: Vec<&MemberInfo> = voters.filter(|v| answers(v.id)).collect();
        choose_replicas(&self.config.fault_budget, &answering).is_some()
    }

    /// Whether a member without a vote may become a voter.
    pub(super) fn may_join(&self, peer: &Peer) -> bool {
        let heard_until = peer.last_heard_at() + JOIN_WITHIN_LEASES * self.config.lease_duration;
        let info = peer.info();
        self.now < heard_until
            && peer.disk_healthy()
            && !info.zone.is_empty()
            && !self.peers.may_have_departed(info.id, self.now)
    }

    /// Whether there are more voters than the tolerated loss of machines requires, so that a departing one is removed.
    pub(super) fn can_spare_voter(&self, membership: &MembershipConfig) -> bool {
        let required = 2 * self.config.fault_budget.machine_losses as usize + 1;
        membership.voters.len() > required
    }

    /// Adds members without a vote to the change: in place of a voter that is lost or departs, or as additional
    /// voters.
    fn add_joining_members(
        &self,
        primary: &PrimaryState,
        membership: &MembershipConfig,
        change: &mut MembershipChange,
    ) {
        let mut additional = Vec::new();
        for peer in self.peers.iter() {
            let joiner = peer.info();
            if membership.voter(joiner.id).is_some() || !self.may_join(peer) {
                continue;
            }
            match self.voter_to_replace(primary, membership, joiner, &change.remove) {
                Some(replaced) => {
                    change.remove.insert(replaced);
                    change.add.push(joiner.clone());
                }
                None => additional.push(joiner.clone()),
            }
        }
        // A voter that has just fallen silent may be the one that a joining member should replace. An additional voter
        // next to a lost one would leave less room for the next loss.
        let timeout = self.config.lease_duration.mul_f64(REPLICA_TIMEOUT_FRACTION);
        let is_silent = |v: &MemberInfo| {
            v.id != self.own_id() && self.time_since_last_message(primary, v.id) > timeout
        };
        if !membership.voters.iter().any(is_silent) {
            let added = self.additional_voters(membership, &change.add, additional);
            change.add.extend(added);
        }
    }

    /// The voter that a joining member replaces: the one at the same address, or else one that is lost or departs.
    fn voter_to_replace(
        &self,
        primary: &PrimaryState,
        membership: &MembershipConfig,
        joiner: &MemberInfo,
        removed: &BTreeSet<u64>,
    ) -> Option<u64> {
        let replace_after = REPLACE_AFTER_LEASES * self.config.lease_duration;
        let is_gone = |v: &&MemberInfo| {
            let is_silent = self.time_since_last_message(primary, v.id) > replace_after;
            let is_leaving = is_silent || self.is_peer_departing(v.id);
            v.id != self.own_id() && is_leaving && !removed.contains(&v.id)
        };
        let mut voters = membership.voters.iter();
        let same_address = voters.clone().find(|v| v.addr == joiner.addr);
        same_address.or_else(|| voters.find(is_gone)).map(|v| v.id)
    }

    /// Selects additional voters among the joining members, such that a majority survives any loss within the fault
    /// budget.
    fn additional_voters(
        &self,
        membership: &MembershipConfig,
        added: &[MemberInfo],
        mut joiners: Vec<MemberInfo>,
    ) -> Vec<MemberInfo> {
        let voters = membership.voters.iter();
        let voters: Vec<MemberInfo> = voters.map(|v| self.latest_info(v)).collect();
        let shortfall = |joiners: &[MemberInfo]| {
            let all: Vec<&MemberInfo> = voters.iter().chain(joiners).collect();
            majority_shortfall(&self.config.fault_budget, &all)
        };
        let room = additional_voter_limit(voters.len(), added.len());
        let allowed = shortfall(&[]).max(0);
        // If a majority may be lost, the joiner that improves the situation most may be anywhere in the list.
        let shortfall_with = |joiner: &&MemberInfo| shortfall(std::slice::from_ref(*joiner));
        let best = joiners
            .iter()
            .min_by_key(shortfall_with)
            .filter(|best| room > 0 && shortfall_with(best) < allowed)
            .cloned();
        joiners.truncate(room);
        while !joiners.is_empty() && shortfall(&joiners) > allowed {
            let shortfall_without = |left_out: usize| {
                let mut rest = joiners.clone();
                rest.remove(left_out);
                shortfall(&rest)
            };
            let worst = (0..joiners.len())
                .rev()
                .min_by_key(|n| shortfall_without(*n));
            if let Some(worst) = worst {
                joiners.remove(worst);
            }
        }
        if joiners.is_empty() {
            joiners.extend(best);
        }
        joiners
    }

    /// Voters to remove without a replacement: one that departs or has been silent for long, if enough remain, and
    /// those whose removal makes a majority survive the loss of any zone or region. All go in one change, as the next
    /// loss may come between two changes.
    fn voters_to_remove(
        &self,
        primary: &PrimaryState,
        membership: &MembershipConfig,
    ) -> BTreeSet<u64> {
        let mut removed = BTreeSet::new();
        if !self.can_spare_voter(membership) {
            return removed;
        }
        // Removing one of an even number of voters doesn't reduce the tolerated losses.
        let leases = if membership.voters.len().is_multiple_of(2) {
            REPLACE_AFTER_LEASES
        } else {
            REMOVE_AFTER_LEASES
        };
        let remove_after = leases * self.config.lease_duration;
        let others = || membership.voters.iter().filter(|v| v.id != self.own_id());
        let departing = others().find(|v| self.is_peer_departing(v.id));
        let silent =
            || others().find(|v| self.time_since_last_message(primary, v.id) > remove_after);
        removed.extend(departing.or_else(silent).map(|v| v.id));
        removed.extend(self.surplus_voters(membership, &removed));
        removed
    }

    /// Of the remaining voters, those whose removal makes a majority survive the loss of any zone or region. Empty if
    /// too few other voters are available for that: with fewer voters, fewer zones or regions may be lost.
    fn surplus_voters(
        &self,
        membership: &MembershipConfig,
        removed: &BTreeSet<u64>,
    ) -> BTreeSet<u64> {
        let mut without = removed.clone();
        while let Some(voter) = self.voter_in_oversized_group(membership, &without) {
            without.insert(voter);
        }
        if self.survives_without(membership, &without) {
            without
        } else {
            BTreeSet::new()
        }
    }

    /// Whether a majority of the remaining voters survives any loss within the fault budget.
    fn survives_without(&self, membership: &MembershipConfig, removed: &BTreeSet<u64>) -> bool {
        let staying = self.remaining_voters(membership, removed);
        let staying: Vec<&MemberInfo> = staying.iter().collect();
        majority_shortfall(&self.config.fault_budget, &staying) <= 0
    }

    /// The voters that aren't removed, with their latest known addresses and locations.
    fn remaining_voters(
        &self,
        membership: &MembershipConfig,
        removed: &BTreeSet<u64>,
    ) -> Vec<MemberInfo> {
        let voters = membership.voters.iter();
        voters
            .filter(|v| !removed.contains(&v.id))
            .map(|v| self.latest_info(v))
            .collect()
    }

    /// Of the remaining voters, one of a zone or region with so many voters that its loss would leave no majority.
    fn voter_in_oversized_group(
        &self,
        membership: &MembershipConfig,
        removed: &BTreeSet<u64>,
    ) -> Option<u64> {
        let staying = self.remaining_voters(membership, removed);
        let shortfall_without = |id: u64| {
            let rest: Vec<&MemberInfo> = staying.iter().filter(|v| v.id != id).collect();
            majority_shortfall(&self.config.fault_budget, &rest)
        };
        // No member has the id 0, so this removes nobody.
        let shortfall = shortfall_without(0);
        if shortfall <= 0 {
            return None;
        }
        let others = staying
            .iter()
            .map(|v| v.id)
            .filter(|id| *id != self.own_id());
        let best =
            others.min_by_key(|id| (shortfall_without(*id), membership.replicas.contains(id)))?;
        (shortfall_without(best) < shortfall).then_some(best)
    }
}

/// How many additional members may join at once. The present voters must be a majority of the new ones, who may be
/// lost before they have accepted the membership configuration.
fn additional_voter_limit(voters: usize, added: usize) -> usize {
    let below_maximum = MAX_VOTERS.saturating_sub(voters + added);
    let below_majority = voters.saturating_sub(1 + added).max(1);
    below_maximum.min(below_majority)
}
