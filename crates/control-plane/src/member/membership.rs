//! How a primary's view has to change: replicas that don't answer or leave are replaced, voters come and go.

use super::candidate::ViewChange;
use super::primary::{PrimaryState, RENEW_INTERVAL};
use super::view::{choose_replicas, majority_shortfall};
use super::{Member, Peer};
use protocol::{MemberInfo, MembershipConfig};
use std::collections::BTreeSet;
use std::time::Duration;

/// A share of a lease: after so much silence a replica is replaced.
const REPLICA_SILENCE: f64 = 0.7;
/// A voter silent for so many leases makes room for a member that joins, or is dropped where enough are left.
const REPLACE_AFTER_LEASES: u32 = 3;
const REMOVE_AFTER_LEASES: u32 = 10;
/// A member without a say that was heard of so many leases ago may join.
const JOIN_WITHIN_LEASES: u32 = 3;
/// Most voters; further members only mirror.
const MOST_VOTERS: usize = 9;

impl Member {
    /// How the view has to change, if it has to.
    pub(super) fn wanted(&self, state: &PrimaryState) -> Option<ViewChange> {
        let view = self.view.as_ref()?;
        let mut change = ViewChange::default();
        // Somebody else has been promised a higher epoch: whoever promised no longer follows this view.
        let overtaken = self.seen > state.epoch;
        // A replica that refused a change but answers has to start anew from a snapshot.
        let broken = state.broken.iter().any(|b| !self.silent_replica(state, *b));
        if let Some(exclude) = self.replicas_to_replace(state, view) {
            change.exclude = exclude;
        }
        self.joining(state, view, &mut change);
        if change.add.is_empty() {
            change.remove.extend(self.voters_to_drop(state, view));
        }
        let moves = (!state.takes_changes && self.enough_answer(state, view))
            || !change.exclude.is_empty()
            || !change.add.is_empty()
            || !change.remove.is_empty();
        (overtaken || broken || moves || !view.is_stable()).then_some(change)
    }

    /// Time since the last lease that a voter granted.
    fn unsigned(&self, state: &PrimaryState, id: u64) -> Duration {
        self.now
            .saturating_sub(state.stamps.get(&id).copied().unwrap_or(state.since))
    }

    fn silent_replica(&self, state: &PrimaryState, id: u64) -> bool {
        self.unsigned(state, id) >= self.config.lease_duration.mul_f64(REPLICA_SILENCE)
    }

    /// Time since anything came from a voter, in whichever view. Before this member acted voters had no reason to
    /// speak to it, but for the lease that it waited before it took over; that counts as well for one that was never
    /// heard of.
    fn silence(&self, state: &PrimaryState, id: u64) -> Duration {
        let heard = self.peers.get(&id).map_or(Duration::ZERO, |p| p.heard);
        self.now.saturating_sub(
            heard.max(
                state
                    .acting_since
                    .saturating_sub(self.config.lease_duration),
            ),
        )
    }

    /// Replicas that don't answer, can't write or leave, where there are others for them.
    fn replicas_to_replace(
        &self,
        state: &PrimaryState,
        view: &MembershipConfig,
    ) -> Option<BTreeSet<u64>> {
        let (now, lease, me) = (self.now, self.config.lease_duration, self.me());
        let late = |id: u64| {
            state.pending.front().is_some_and(|p| {
                now >= p.at + p.extra + lease.mul_f64(REPLICA_SILENCE)
                    && state.acked.get(&id).is_none_or(|a| *a < p.ledger.index)
            })
        };
        let bad = |id: u64| {
            late(id)
                || self.unsigned(state, id) > lease.mul_f64(REPLICA_SILENCE)
                || !self.peer_fit(id)
                || self.peer_leaving(id)
                || state.broken.contains(&id)
        };
        let bad: BTreeSet<u64> = view
            .replicas
            .iter()
            .copied()
            .filter(|c| *c != me && bad(*c))
            .collect();
        let well = |id: u64| {
            let answers = self.unsigned(state, id) < lease.mul_f64(2.0 * RENEW_INTERVAL);
            id == me
                || (!bad.contains(&id) && self.peer_fit(id) && !self.peer_leaving(id) && answers)
        };
        let seats: Vec<&MemberInfo> = view.voters.iter().filter(|s| well(s.id)).collect();
        choose_replicas(&self.config.fault_budget, &seats)?;
        Some(bad).filter(|bad| !bad.is_empty())
    }

    /// Whether voters that were too few for all replicas are enough now.
    fn enough_answer(&self, state: &PrimaryState, view: &MembershipConfig) -> bool {
        let answers = |id: u64| {
            let recent =
                self.unsigned(state, id) < self.config.lease_duration.mul_f64(2.0 * RENEW_INTERVAL);
            id == self.me() || (recent && self.peer_fit(id) && !self.peer_leaving(id))
        };
        let seats: Vec<&MemberInfo> = view.voters.iter().filter(|s| answers(s.id)).collect();
        choose_replicas(&self.config.fault_budget, &seats).is_some()
    }

    /// Whether a member without a say may be made a voter.
    pub(super) fn may_join(&self, peer: &Peer) -> bool {
        let heard_of = self.now < peer.heard + JOIN_WITHIN_LEASES * self.config.lease_duration;
        heard_of && peer.fit && !peer.seat.zone.is_empty() && !self.left_lately(peer.seat.id)
    }

    /// Whether there are more voters than the loss of machines needs, so that one that leaves is dropped.
    pub(super) fn can_spare_a_voter(&self, view: &MembershipConfig) -> bool {
        view.voters.len() > 2 * self.config.fault_budget.machine_losses as usize + 1
    }

    /// Members without a say that come: in the place of a voter that is lost or leaves, or beside the others.
    fn joining(&self, state: &PrimaryState, view: &MembershipConfig, change: &mut ViewChange) {
        let (lease, me) = (self.config.lease_duration, self.me());
        let joins = self
            .peers
            .values()
            .filter(|p| view.voter(p.seat.id).is_none() && self.may_join(p));
        let mut beside = Vec::new();
        for joiner in joins.map(|p| &p.seat) {
            let at_home = view.voters.iter().find(|v| v.addr == joiner.addr);
            let gone = |v: &&MemberInfo| {
                let silent = self.silence(state, v.id) > REPLACE_AFTER_LEASES * lease;
                v.id != me && (silent || self.peer_leaving(v.id)) && !change.remove.contains(&v.id)
            };
            match at_home.or_else(|| view.voters.iter().find(gone)) {
                Some(old) => {
                    change.remove.insert(old.id);
                    change.add.push(joiner.clone());
                }
                None => beside.push(joiner.clone()),
            }
        }
        // A voter that has just fallen silent may be the one that somebody comes for: one more voter beside a lost
        // one would leave less room for the next loss.
        let doubtful = |v: &MemberInfo| {
            v.id != me && self.silence(state, v.id) > lease.mul_f64(REPLICA_SILENCE)
        };
        if !view.voters.iter().any(doubtful) {
            change
                .add
                .extend(self.voters_beside(view, &change.add, beside));
        }
    }

    /// Of members that come beside the voters, those with whom a majority is left after any loss allowed.
    fn voters_beside(
        &self,
        view: &MembershipConfig,
        added: &[MemberInfo],
        mut beside: Vec<MemberInfo>,
    ) -> Vec<MemberInfo> {
        let voters: Vec<MemberInfo> = view.voters.iter().map(|s| self.fresh(s)).collect();
        let shortfall = |beside: &[MemberInfo]| {
            let seats: Vec<&MemberInfo> = voters.iter().chain(beside).collect();
            majority_shortfall(&self.config.fault_budget, &seats)
        };
        // The voters there are have to be a majority of those to come, who may be lost before they have accepted.
        let room = MOST_VOTERS.saturating_sub(voters.len() + added.len());
        let room = room.min(voters.len().saturating_sub(1 + added.len()).max(1));
        let allowed = shortfall(&[]).max(0);
        // Where a majority may be lost, the one that helps most may stand anywhere among them.
        let helps = |joiner: &&MemberInfo| shortfall(std::slice::from_ref(*joiner));
        let best = beside
            .iter()
            .min_by_key(helps)
            .filter(|best| room > 0 && helps(best) < allowed)
            .cloned();
        beside.truncate(room);
        while !beside.is_empty() && shortfall(&beside) > allowed {
            let without = |left_out: usize| {
                let rest = beside.iter().enumerate().filter(|b| b.0 != left_out);
                shortfall(&rest.map(|b| b.1.clone()).collect::<Vec<_>>())
            };
            let worst = (0..beside.len()).rev().min_by_key(|n| without(*n));
            worst.map(|n| beside.remove(n));
        }
        if beside.is_empty() {
            beside.extend(best);
        }
        beside
    }

    /// Voters to go without others in their place: one that leaves or has been silent for long, where enough are left,
    /// and those without whom a loss of their zone or region leaves a majority. They go at once: between two changes
    /// the next loss may come.
    fn voters_to_drop(&self, state: &PrimaryState, view: &MembershipConfig) -> BTreeSet<u64> {
        let mut dropped = BTreeSet::new();
        if !self.can_spare_a_voter(view) {
            return dropped;
        }
        let (lease, me) = (self.config.lease_duration, self.me());
        // Of an even number of voters one can go without a loss of room.
        let even = view.voters.len().is_multiple_of(2);
        let patience = if even {
            REPLACE_AFTER_LEASES
        } else {
            REMOVE_AFTER_LEASES
        };
        let others = || view.voters.iter().filter(|v| v.id != me);
        let leaves = others().find(|v| self.peer_leaving(v.id));
        let silent = || others().find(|v| self.silence(state, v.id) > patience * lease);
        dropped.extend(leaves.or_else(silent).map(|v| v.id));
        while let Some(voter) = self.voter_in_the_way(view, &dropped) {
            dropped.insert(voter);
        }
        dropped
    }

    /// Of the voters that stay, one of a zone or region that holds so many that its loss would leave no majority.
    fn voter_in_the_way(&self, view: &MembershipConfig, dropped: &BTreeSet<u64>) -> Option<u64> {
        let stays = |s: &&MemberInfo| !dropped.contains(&s.id);
        let voters: Vec<MemberInfo> = view
            .voters
            .iter()
            .filter(stays)
            .map(|s| self.fresh(s))
            .collect();
        let shortfall = |without: u64| {
            let seats: Vec<&MemberInfo> = voters.iter().filter(|s| s.id != without).collect();
            majority_shortfall(&self.config.fault_budget, &seats)
        };
        let now = shortfall(0);
        if now <= 0 {
            return None;
        }
        let others = voters.iter().map(|s| s.id).filter(|id| *id != self.me());
        let best = others.min_by_key(|id| (shortfall(*id), view.replicas.contains(id)))?;
        (shortfall(best) < now).then_some(best)
    }
}
