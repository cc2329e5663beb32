//! A candidate: it asks for pre-votes, prepares an epoch, and fetches the replicated state. `installation` then installs
//! its membership configuration. A primary goes the same way to change its own.
//!
//! This is Vertical Paxos (Lamport, Malkhi and Zhou 2009) with the voters as the configuration master: a majority of the
//! voters promises the epoch, and a replica of the latest membership configuration supplies the state.
//!
//! A membership configuration whose voters differ from the previous ones may not have been installed. Until its primary
//! has followed it with one that keeps the voters, a candidate needs a majority of both and hands both on as they are.

use super::epoch::next_epoch;
use super::voter::{PromiseReply, PromisedHistory};
use super::{Member, Output, Role};
use crate::replicated_state::ReplicatedState;
use protocol::{MemberInfo, MembershipConfig, Message, Snapshot};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A rejected pre-vote is asked for again this part of a lease's duration after the time that the voter told.
const PRE_VOTE_RETRY_DIVISOR: u32 = 20;

/// How a membership configuration is to differ from the previous one.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct MembershipChange {
    /// Members that are not to hold replicas.
    pub(super) exclude: BTreeSet<u64>,
    /// New voters.
    pub(super) add: Vec<MemberInfo>,
    /// Voters that are removed.
    pub(super) remove: BTreeSet<u64>,
}

/// The step that a campaign is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionPhase {
    /// It asks whether the voters would promise. Nothing is on disk yet.
    PreVote,
    /// It gathers promises of its epoch.
    Prepare,
    /// It has promises of a majority and fetches the state from a replica.
    Fetch,
    /// It waits for its replicas to have the membership configuration and the state on disk.
    Replicas,
    /// It waits for a majority of the voters to have the membership configuration on disk.
    Witnesses,
}

/// The membership configuration that a candidate installs, and the state that it starts from.
#[derive(Clone, Debug)]
pub(super) struct InstallTarget {
    pub(super) membership: MembershipConfig,
    pub(super) state: ReplicatedState,
}

#[derive(Clone, Debug)]
pub(super) struct CandidateState {
    /// The epoch that it prepares; 0 during the pre-vote.
    epoch: u64,
    phase: ElectionPhase,
    phase_started_at: Duration,
    /// When the voters that promised are next told that a large snapshot is on its way.
    next_progress_report_at: Duration,
    pre_votes: BTreeSet<u64>,
    /// Whom a promise was asked of.
    asked: BTreeSet<u64>,
    promises: BTreeMap<u64, PromisedHistory>,
    /// Who has the target on disk.
    installed: BTreeSet<u64>,
    target: Option<InstallTarget>,
    change: MembershipChange,
    /// The epoch of which this member was primary: it knows the membership configuration of that one to be installed.
    own_previous_epoch: Option<u64>,
    /// Since when it has been the primary, if it changes its own membership configuration.
    primary_since: Option<Duration>,
    /// Nobody else has promised in time: fewer replicas than the fault budget asks for will do if there are too few
    /// voters for the budget anyway.
    allows_under_replication: bool,
}

impl CandidateState {
    /// A campaign that begins with the pre-vote.
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

    /// Goes on to the next phase within the time of the one before.
    pub(super) fn continue_with_phase(&mut self, phase: ElectionPhase) {
        self.phase = phase;
    }

    /// Whether the candidate changes its own membership configuration as primary.
    pub(super) fn is_reconfiguring_primary(&self) -> bool {
        self.own_previous_epoch.is_some()
    }

    /// Whether this member was primary of this epoch, so that it knows the membership configuration to be installed.
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

    /// Waits for one more phase time, and then is content with few replicas.
    pub(super) fn allow_under_replication(&mut self, now: Duration) {
        self.allows_under_replication = true;
        self.phase_started_at = now;
    }

    pub(super) fn has_promised(&self, id: u64) -> bool {
        self.promises.contains_key(&id)
    }

    /// Whoever has promised.
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

    /// The latest membership configuration that a voter which promised has accepted. One without voters stands for none.
    fn latest_promised(&self) -> Option<&MembershipConfig> {
        let accepted = self.promises.values().map(|history| &history.membership);
        accepted
            .filter(|membership| !membership.voters.is_empty())
            .max_by_key(|membership| membership.epoch)
    }

    /// The replicas of a membership configuration that have promised, with the index that their logs go up to.
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

/// All voters of a membership configuration, the previous ones among them.
pub(super) fn all_voters(membership: &MembershipConfig) -> BTreeSet<u64> {
    membership
        .voters
        .iter()
        .chain(&membership.previous_voters)
        .map(|v| v.id)
        .collect()
}

impl Member {
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

    /// Prepares an epoch once a majority would promise.
    pub(super) fn on_pre_votes_changed(&mut self, out: &mut Vec<Output>) {
        let own_id = self.own_id();
        let (Some(candidate), Some(membership)) = (self.role.candidate(), &self.membership) else {
            return;
        };
        if membership.has_quorum(|id| id == own_id || candidate.pre_votes.contains(&id)) {
            self.prepare(None, out);
        }
    }

    /// Asks for promises of a new epoch. A primary gives the change that it wants to make to its membership
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

    /// Asks voters for promises that haven't been asked yet.
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
        // The state that is being fetched is that of the latest membership configuration known so far: a later one comes
        // too late.
        let latest = candidate.latest_promised().map(|latest| latest.epoch);
        if latest.is_some_and(|latest| history.membership.epoch <= latest) {
            candidate.promises.insert(from, history);
        }
    }

    /// Goes on once a majority of the latest membership configuration's voters has promised, one of its replicas among
    /// them.
    pub(super) fn on_promises_changed(&mut self, out: &mut Vec<Output>) {
        let Some(candidate) = self.role.candidate() else {
            return;
        };
        let Some(latest) = candidate.latest_promised().cloned() else {
            return;
        };
        // The latest membership configuration may have voters that this member's own hasn't.
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

    /// Takes the state from the own disk, or fetches it from the replica that has most of it.
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
        // If no membership configuration can be installed yet, more promises may arrive.
        candidate.continue_with_phase(ElectionPhase::Prepare);
        let latest = candidate.latest_promised().cloned();
        if let Some((latest, state)) = latest.zip(ReplicatedState::from_snapshot(snapshot).ok()) {
            self.phase_timeouts.reset_fetch();
            self.install_membership(latest, state, out);
        }
    }
}
