//! The candidate: it collects pre-votes, prepares an epoch and fetches the replicated state. The module `installation`
//! then installs its membership configuration. A primary takes the same path to change its own membership
//! configuration.
//!
//! This is Vertical Paxos (Lamport, Malkhi and Zhou 2009) with the voters as the configuration master: a majority of
//! the voters promises the epoch, and a replica of the latest membership configuration supplies the state.
//!
//! A membership configuration that changes the voters may not have been installed completely. Until its primary has
//! followed it with one that keeps the voters, a candidate needs a majority of both the new and the previous voters,
//! and carries both over unchanged.

use super::epoch::next_epoch;
use super::voter::{PromiseReply, PromisedHistory};
use super::{Member, Output, Role};
use crate::replicated_state::ReplicatedState;
use protocol::{MemberInfo, MembershipConfig, Message, Snapshot};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Margin added to the wait that a voter asked for, before a rejected pre-vote is requested again, as a divisor of a
/// lease's duration.
const PRE_VOTE_RETRY_DIVISOR: u32 = 20;

/// The intended difference between the next membership configuration and the current one.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct MembershipChange {
    /// Members that must not hold replicas.
    pub(super) exclude: BTreeSet<u64>,
    /// Voters to add.
    pub(super) add: Vec<MemberInfo>,
    /// Voters to remove.
    pub(super) remove: BTreeSet<u64>,
}

/// The phase of a campaign.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionPhase {
    /// The candidate asks whether the voters would promise an epoch. Nothing is on disk yet.
    PreVote,
    /// The candidate collects promises for its epoch.
    Prepare,
    /// A majority has promised; the candidate fetches the state from a replica.
    Fetch,
    /// The candidate waits until its replicas have the membership configuration and the state on disk.
    Replicas,
    /// The candidate waits until a majority of the voters has the membership configuration on disk.
    Witnesses,
}

/// The membership configuration that a candidate installs, and the state that it starts with.
#[derive(Clone, Debug)]
pub(super) struct InstallTarget {
    pub(super) membership: MembershipConfig,
    pub(super) state: ReplicatedState,
}

/// The state of a campaign.
#[derive(Clone, Debug)]
pub(super) struct CandidateState {
    /// The epoch that the candidate prepares; 0 during the pre-vote.
    epoch: u64,
    phase: ElectionPhase,
    phase_started_at: Duration,
    /// When the next [`Message::Prepare`] goes out that tells the promised voters that a large snapshot is being
    /// transferred.
    next_progress_report_at: Duration,
    pre_votes: BTreeSet<u64>,
    /// Voters that were asked for a promise.
    asked: BTreeSet<u64>,
    promises: BTreeMap<u64, PromisedHistory>,
    /// Members that have the target on disk.
    installed: BTreeSet<u64>,
    target: Option<InstallTarget>,
    change: MembershipChange,
    /// The epoch that this member was the primary of when it began to change its membership configuration. That
    /// epoch's membership configuration is therefore known to be installed.
    own_previous_epoch: Option<u64>,
    /// Since when this member has been the primary, if it changes its own membership configuration.
    primary_since: Option<Duration>,
    /// Whether no further voter has promised in time. Fewer replicas than the fault budget requires are then
    /// acceptable if there are too few voters for the budget in any case.
    allows_under_replication: bool,
}

impl CandidateState {
    /// Creates a campaign that begins with the pre-vote.
    pub(super) fn pre_vote(now: Duration) -> Self {
        Self {
            epoch: 0,
            phase: ElectionPhase::PreVote,
            phase_started_at: now,
            next_progress_report_at: now,
            pre_votes: BTreeSet::new(),
            asked: BTreeSet::new(),
            promises: BTreeMap::new(),
            installed: BTreeSet::new(),
            target: None,
            change: MembershipChange::default(),
            own_previous_epoch: None,
            primary_since: None,
            allows_under_replication: false,
        }
    }

    /// Creates a campaign that begins with the request for promises.
    fn prepare(epoch: u64, now: Duration) -> Self {
        Self {
            epoch,
            phase: ElectionPhase::Prepare,
            ..Self::pre_vote(now)
        }
    }

    pub(super) fn epoch(&self) -> u64 {
        self.epoch
    }

    pub(super) fn phase(&self) -> ElectionPhase {
        self.phase
    }

    pub(super) fn phase_started_at(&self) -> Duration {
        self.phase_started_at
    }

    pub(super) fn next_progress_report_at(&self) -> Duration {
        self.next_progress_report_at
    }

    pub(super) fn set_next_progress_report(&mut self, at: Duration) {
        self.next_progress_report_at = at;
    }

    pub(super) fn enter_phase(&mut self, phase: ElectionPhase, now: Duration) {
        self.phase = phase;
        self.phase_started_at = now;
    }

    /// Moves to the next phase without restarting the phase's time limit.
    pub(super) fn continue_with_phase(&mut self, phase: ElectionPhase) {
        self.phase = phase;
    }

    /// Whether this is a primary that changes its own membership configuration.
    pub(super) fn is_reconfiguring_primary(&self) -> bool {
        self.own_previous_epoch.is_some()
    }

    /// Whether this epoch's membership configuration is known to be installed, because this member was its primary.
    pub(super) fn knows_installed(&self, epoch: u64) -> bool {
        self.own_previous_epoch == Some(epoch)
    }

    pub(super) fn change(&self) -> &MembershipChange {
        &self.change
    }

    pub(super) fn primary_since(&self) -> Option<Duration> {
        self.primary_since
    }

    pub(super) fn allows_under_replication(&self) -> bool {
        self.allows_under_replication
    }

    /// Restarts the phase's time limit; from now on too few replicas are acceptable.
    pub(super) fn allow_under_replication(&mut self, now: Duration) {
        self.allows_under_replication = true;
        self.phase_started_at = now;
    }

    pub(super) fn has_promised(&self, id: u64) -> bool {
        self.promises.contains_key(&id)
    }

    /// The ids of the voters that have promised.
    pub(super) fn promised_by(&self) -> impl Iterator<Item = u64> + '_ {
        self.promises.keys().copied()
    }

    pub(super) fn target(&self) -> Option<&InstallTarget> {
        self.target.as_ref()
    }

    pub(super) fn set_target(&mut self, target: InstallTarget) {
        self.target = Some(target);
    }

    pub(super) fn record_installed(&mut self, id: u64) {
        self.installed.insert(id);
    }

    pub(super) fn has_installed(&self, id: u64) -> bool {
        self.installed.contains(&id)
    }

    /// The latest membership configuration that any of the promised voters has accepted. One without voters counts as
    /// none.
    fn latest_promised(&self) -> Option<&MembershipConfig> {
        let accepted = self.promises.values().map(|history| &history.membership);
        accepted
            .filter(|membership| !membership.voters.is_empty())
            .max_by_key(|membership| membership.epoch)
    }

    /// The replicas of a membership configuration that have promised, each with the last index of its log.
    fn promised_replicas(&self, membership: &MembershipConfig) -> Vec<(u64, u64)> {
        let holds_state = |(id, history): &(&u64, &PromisedHistory)| {
            let position = history.log_position;
            membership.replicas.contains(id)
                && position.is_some_and(|position| position.epoch == membership.epoch)
        };
        let index = |history: &PromisedHistory| history.log_position.map_or(0, |p| p.index);
        let replicas = self.promises.iter().filter(holds_state);
        replicas
            .map(|(id, history)| (*id, index(history)))
            .collect()
    }
}

/// The ids of all voters of a membership configuration, including the previous ones.
pub(super) fn all_voters(membership: &MembershipConfig) -> BTreeSet<u64> {
    membership
        .voters
        .iter()
        .chain(&membership.previous_voters)
        .map(|v| v.id)
        .collect()
}

impl Member {
    /// Handles a voter's reply to a pre-vote. A rejection postpones this member's next campaign by `retry_after` and
    /// a margin.
    pub(super) fn on_pre_vote_reply(
        &mut self,
        from: u64,
        granted: bool,
        retry_after: Duration,
        out: &mut Vec<Output>,
    ) {
        let Some(candidate) = self.role.candidate_mut() else {
            return;
        };
        if candidate.phase != ElectionPhase::PreVote {
            return;
        }
        if granted {
            candidate.pre_votes.insert(from);
            return self.on_pre_votes_changed(out);
        }
        let pause = self.config.lease_duration / PRE_VOTE_RETRY_DIVISOR;
        self.election_at = self.election_at.max(self.now + retry_after + pause);
    }

    /// Starts to prepare an epoch once a majority has granted its pre-votes.
    pub(super) fn on_pre_votes_changed(&mut self, out: &mut Vec<Output>) {
        let own_id = self.own_id();
        let (Some(candidate), Some(membership)) = (self.role.candidate(), &self.membership) else {
            return;
        };
        if membership.has_quorum(|id| id == own_id || candidate.pre_votes.contains(&id)) {
            self.prepare(None, out);
        }
    }

    /// Requests promises for a new epoch. A primary passes the change that it wants to make to its membership
    /// configuration.
    pub(super) fn prepare(&mut self, change: Option<MembershipChange>, out: &mut Vec<Output>) {
        let highest = self.highest_epoch_seen.max(self.promise.epoch());
        let epoch = next_epoch(highest, self.own_id());
        let mut candidate = CandidateState::prepare(epoch, self.now);
        if let Some(primary) = self.role.primary() {
            candidate.own_previous_epoch = Some(primary.epoch());
            candidate.primary_since = Some(primary.primary_since());
        }
        candidate.change = change.unwrap_or_default();
        self.step_down();
        self.role = Role::Candidate(Box::new(candidate));
        self.give_promise(self.config.local_member.clone(), epoch);
        let voters = self.membership.as_ref().map(all_voters);
        self.request_promises(voters.unwrap_or_default(), out);
    }

    /// Requests promises from those of the voters that weren't asked yet.
    fn request_promises(&mut self, voters: BTreeSet<u64>, out: &mut Vec<Output>) {
        let own_id = self.own_id();
        let Some(candidate) = self.role.candidate_mut() else {
            return;
        };
        let is_new = |id: &u64| *id != own_id && candidate.asked.insert(*id);
        let new: Vec<u64> = voters.into_iter().filter(is_new).collect();
        let epoch = candidate.epoch;
        self.send_prepare(epoch, new, out);
    }

    pub(super) fn send_prepare(&self, epoch: u64, to: Vec<u64>, out: &mut Vec<Output>) {
        for id in to {
            let message = Message::Prepare {
                epoch,
                candidate: self.config.local_member.clone(),
            };
            self.send(id, message, out);
        }
    }

    /// Handles a voter's promise or refusal.
    pub(super) fn on_promise(&mut self, from: u64, reply: PromiseReply, out: &mut Vec<Output>) {
        let Some(candidate) = self.role.candidate_mut() else {
            return;
        };
        let is_fetching = candidate.phase == ElectionPhase::Fetch;
        let awaits_promises = candidate.phase == ElectionPhase::Prepare || is_fetching;
        if candidate.epoch != reply.epoch || !awaits_promises {
            return;
        }
        let Some(history) = reply.history.filter(|_| reply.granted) else {
            self.election_at = self.election_at.max(self.now + reply.retry_after);
            return;
        };
        if !is_fetching {
            candidate.promises.insert(from, history);
            return self.on_promises_changed(out);
        }
        // The fetched state belongs to the latest membership configuration known when the fetch began; a promise that
        // reports a later one can't be counted any more.
        let latest = candidate.latest_promised().map(|latest| latest.epoch);
        if latest.is_some_and(|latest| history.membership.epoch <= latest) {
            candidate.promises.insert(from, history);
        }
    }

    /// Continues once a majority of the voters of the latest membership configuration has promised, including one of
    /// its replicas.
    pub(super) fn on_promises_changed(&mut self, out: &mut Vec<Output>) {
        let Some(candidate) = self.role.candidate() else {
            return;
        };
        let Some(latest) = candidate.latest_promised().cloned() else {
            return;
        };
        // The latest membership configuration may have voters that this member's own doesn't list.
        self.request_promises(all_voters(&latest), out);
        let Some(candidate) = self.role.candidate() else {
            return;
        };
        if !latest.has_quorum(|id| candidate.has_promised(id)) {
            return;
        }
        if latest.epoch == 0 {
            return self.install_membership(latest, ReplicatedState::default(), out);
        }
        self.obtain_state(latest, out);
    }

    /// Takes the state from this member's log if it is the latest, and otherwise fetches it from the replica with the
    /// longest log.
    fn obtain_state(&mut self, latest: MembershipConfig, out: &mut Vec<Output>) {
        let (now, own_id) = (self.now, self.own_id());
        let has_latest = self.accepted_epoch() == Some(latest.epoch);
        let Some(candidate) = self.role.candidate_mut() else {
            return;
        };
        let mut replicas = candidate.promised_replicas(&latest);
        let holds_state = has_latest && replicas.iter().any(|(id, _)| *id == own_id);
        if let Some(log) = self.log.as_ref().filter(|_| holds_state) {
            let state = log.durable().clone();
            return self.install_membership(latest, state, out);
        }
        replicas.sort_by_key(|(_, index)| *index);
        let Some((replica, _)) = replicas.pop().filter(|(id, _)| *id != own_id) else {
            return;
        };
        let epoch = candidate.epoch;
        candidate.enter_phase(ElectionPhase::Fetch, now);
        self.schedule_progress_report();
        self.send(replica, Message::FetchSnapshot { epoch }, out);
    }

    /// Handles the state that a replica sent, and installs the membership configuration with it.
    pub(super) fn on_snapshot_reply(
        &mut self,
        epoch: u64,
        snapshot: &Snapshot,
        out: &mut Vec<Output>,
    ) {
        let Some(candidate) = self.role.candidate_mut() else {
            return;
        };
        if candidate.epoch != epoch || candidate.phase != ElectionPhase::Fetch {
            return;
        }
        // Falls back to collecting promises: if the replicas are too few, more promises may still arrive.
        candidate.continue_with_phase(ElectionPhase::Prepare);
        let latest = candidate.latest_promised().cloned();
        if let Some((latest, state)) = latest.zip(ReplicatedState::from_snapshot(snapshot).ok()) {
            self.phase_timeouts.reset_fetch();
            self.install_membership(latest, state, out);
        }
    }
}
