//! The last phases of a campaign: the candidate composes its membership configuration and installs it, first on the
//! replicas and then on a majority of the voters (phase 2 of Paxos). After that it is the primary.

use super::candidate::{all_voters, CandidateState, ElectionPhase, InstallTarget};
use super::primary::PrimaryState;
use super::replica_placement::{choose_replicas, majority_shortfall};
use super::write_queue::OnDurable;
use super::{Member, Output, Role};
use crate::replicated_state::ReplicatedState;
use protocol::{MemberInfo, MembershipConfig, Message, Record, Snapshot};
use std::collections::BTreeSet;

impl Member {
    /// Composes the new membership configuration and sends it to its replicas. Does nothing if the replicas would be
    /// too few, because more promises may arrive.
    pub(super) fn install_membership(
        &mut self,
        base: MembershipConfig,
        state: ReplicatedState,
        out: &mut Vec<Output>,
    ) {
        let Some(membership) = self
            .role
            .candidate()
            .and_then(|candidate| self.compose_membership(candidate, &base))
        else {
            return;
        };
        let snapshot = state.snapshot();
        self.install_on_replicas(&membership, &snapshot, out);
        let record = Record::Accepted {
            membership: membership.clone(),
            snapshot: Some(snapshot),
        };
        let on_durable = OnDurable::Installed {
            candidate: self.config.local_member.clone(),
            membership: Box::new(membership.clone()),
            state: Some(Box::new(state.clone())),
        };
        self.queue_record(&record, on_durable);
        if let Some(candidate) = self.role.candidate_mut() {
            candidate.enter_phase(ElectionPhase::Replicas, self.now);
            candidate.set_target(InstallTarget { membership, state });
        }
        self.schedule_progress_report();
    }

    fn install_on_replicas(
        &self,
        membership: &MembershipConfig,
        snapshot: &Snapshot,
        out: &mut Vec<Output>,
    ) {
        let others = membership
            .replicas
            .iter()
            .filter(|id| **id != self.own_id());
        for replica in others.filter_map(|id| membership.voter(*id)) {
            let message = Message::InstallMembership {
                membership: membership.clone(),
                snapshot: Some(snapshot.clone()),
            };
            out.push(Output::Send {
                to: self.latest_info(replica),
                message,
            });
        }
    }

    /// The membership configuration that follows `base`; `None` if its replicas would be too few or this member isn't
    /// a voter.
    fn compose_membership(
        &self,
        candidate: &CandidateState,
        base: &MembershipConfig,
    ) -> Option<MembershipConfig> {
        let latest_infos = |members: &[MemberInfo]| -> Vec<MemberInfo> {
            members.iter().map(|m| self.latest_info(m)).collect()
        };
        let mut voters = latest_infos(&base.voters);
        let previous_voters = if candidate.knows_installed(base.epoch) {
            let change = candidate.change();
            let is_new = |joiner: &&MemberInfo| base.voter(joiner.id).is_none();
            voters.retain(|v| !change.remove.contains(&v.id));
            voters.extend(change.add.iter().filter(is_new).cloned());
            latest_infos(&base.voters)
        } else {
            latest_infos(&base.previous_voters)
        };
        let own_id = self.own_id();
        let replicas = self.place_replicas(candidate, base, &voters)?;
        voters
            .iter()
            .any(|v| v.id == own_id)
            .then_some(MembershipConfig {
                epoch: candidate.epoch(),
                primary: own_id,
                replicas,
                voters,
                previous_voters,
            })
    }

    /// Chooses replicas among the voters that have promised or join. This member comes first, then those that already
    /// hold replicas.
    fn place_replicas(
        &self,
        candidate: &CandidateState,
        base: &MembershipConfig,
        voters: &[MemberInfo],
    ) -> Option<Vec<u64>> {
        let own_id = self.own_id();
        let mut available: Vec<&MemberInfo> = voters
            .iter()
            .filter(|v| self.is_available(candidate, base, v.id))
            .collect();
        available.sort_by_key(|v| (v.id != own_id, !base.replicas.contains(&v.id)));
        let is_healthy = |id: u64| {
            id == own_id || (self.peers.is_disk_healthy(id) && !self.is_peer_departing(id))
        };
        let among = |usable: &dyn Fn(u64) -> bool| -> Vec<&MemberInfo> {
            let usable = available.iter().filter(|v| usable(v.id));
            usable.copied().collect()
        };
        let budget = &self.config.fault_budget;
        let healthy = among(&is_healthy);
        // A departing replica is better than none: the state that only it holds is then on another disk as well.
        let or_departing = among(&|id| is_healthy(id) || self.is_peer_departing(id));
        choose_replicas(budget, &healthy)
            .or_else(|| choose_replicas(budget, &or_departing))
            // Otherwise any voter that has promised: its disk accepted the promise, whatever the voter last reported
            // about it.
            .or_else(|| choose_replicas(budget, &available))
            .or_else(|| {
                let too_few = self.has_too_few_voters(candidate, voters);
                too_few.then(|| healthy.iter().map(|v| v.id).collect())
            })
    }

    /// Whether a voter can hold a replica: it has promised, or joins.
    fn is_available(&self, candidate: &CandidateState, base: &MembershipConfig, id: u64) -> bool {
        let change = candidate.change();
        let joins = candidate.knows_installed(base.epoch) && change.add.iter().any(|m| m.id == id);
        let answers = candidate.has_promised(id) || joins;
        id == self.own_id() || (!change.exclude.contains(&id) && answers)
    }

    /// Whether there are too few voters for the fault budget. In that case the available ones hold replicas, and the
    /// primary accepts no change until more voters join.
    fn has_too_few_voters(&self, candidate: &CandidateState, voters: &[MemberInfo]) -> bool {
        let budget = &self.config.fault_budget;
        let all: Vec<&MemberInfo> = voters.iter().collect();
        let lacks_majority =
            candidate.allows_under_replication() && majority_shortfall(budget, &all) > 0;
        lacks_majority || choose_replicas(budget, &all).is_none()
    }

    /// Handles a member's reply whether it has accepted the membership configuration of an epoch.
    pub(super) fn on_install_reply(
        &mut self,
        from: u64,
        epoch: u64,
        accepted: bool,
        out: &mut Vec<Output>,
    ) {
        if let Some(primary) = self.role.primary_mut().filter(|_| accepted) {
            // A voter grants no lease before it has accepted the membership configuration, so leases are requested at
            // once.
            if primary.epoch() == epoch && primary.record_acceptance(from) {
                primary.schedule_renewal(self.now);
            }
            return;
        }
        let Some(candidate) = self.role.candidate_mut() else {
            return;
        };
        let Some(target) = candidate
            .target()
            .filter(|target| target.membership.epoch == epoch)
            .cloned()
        else {
            return;
        };
        if !accepted {
            if target.membership.replicas.contains(&from) {
                self.peers.record_disk_failure(from);
                self.abandon_campaign();
            }
            return;
        }
        candidate.record_installed(from);
        self.install_on_witnesses(&target.membership, out);
        self.become_primary_if_installed(target, out);
    }

    /// Sends the membership configuration to the other voters once all its replicas have it.
    fn install_on_witnesses(&mut self, membership: &MembershipConfig, out: &mut Vec<Output>) {
        let Some(candidate) = self.role.candidate_mut() else {
            return;
        };
        let mut replicas = membership.replicas.iter();
        let on_all_replicas = replicas.all(|id| candidate.has_installed(*id));
        if candidate.phase() != ElectionPhase::Replicas || !on_all_replicas {
            return;
        }
        candidate.continue_with_phase(ElectionPhase::Witnesses);
        let receivers = all_voters(membership)
            .into_iter()
            .chain(self.departing_nonvoters(membership));
        for id in receivers.filter(|id| !membership.replicas.contains(id)) {
            let message = Message::InstallMembership {
                membership: membership.clone(),
                snapshot: None,
            };
            self.send(id, message, out);
        }
    }

    /// Becomes the primary once a majority of the voters, and one of the previous voters, has the membership
    /// configuration.
    fn become_primary_if_installed(&mut self, target: InstallTarget, out: &mut Vec<Output>) {
        let InstallTarget { membership, state } = target;
        let Some(candidate) = self.role.candidate() else {
            return;
        };
        let is_committed = membership.has_quorum(|id| candidate.has_installed(id));
        if candidate.phase() != ElectionPhase::Witnesses || !is_committed {
            return;
        }
        let voters = membership.voters.iter().map(|v| v.id);
        let awaiting_acceptance: BTreeSet<u64> =
            voters.filter(|id| !candidate.has_installed(*id)).collect();
        let primary_since = candidate.primary_since().unwrap_or(self.now);
        let replicas = membership.replicas.iter();
        let replicas: Vec<&MemberInfo> = replicas.filter_map(|id| membership.voter(*id)).collect();
        let accepts_changes = choose_replicas(&self.config.fault_budget, &replicas).is_some();
        let watch_history = self.config.watch_history;
        let mut primary = PrimaryState::new(&membership, state, watch_history, self.now);
        primary.set_primary_since(primary_since);
        primary.set_awaiting_acceptance(awaiting_acceptance);
        primary.set_accepts_changes(accepts_changes);
        self.granted_lease = None;
        self.phase_timeouts.reset_slow_disks();
        self.role = Role::Primary(Box::new(primary));
        self.run_primary(out);
    }
}
