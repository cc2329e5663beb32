//! The primary: it executes commands, replicates and commits changes, renews its lease, and changes its membership
//! configuration when members join, depart or fail.

use super::commands::CommandSource;
use super::coordination_requests::CoordinationService;
use super::early_proposals::EarlyProposals;
use super::lease::HeldLeases;
use super::replication::{PendingAnswer, Replication};
use super::{Member, Output};
use crate::replicated_state::{Plan, ReplicatedState};
use configuration::ResultCode;
use protocol::{Change, Command, MembershipConfig};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Minimum age at which a stable membership configuration is changed, as a fraction of a lease's duration.
const MIN_MEMBERSHIP_AGE_FRACTION: f64 = 0.3;
/// Time after which drained hosts are removed from the replicated state.
const DRAIN_RETENTION: Duration = Duration::from_secs(120);
/// Number of committed changes from which the primary records its commit index even while more are in flight.
const MAX_UNRECORDED_COMMITS: u64 = 4;

/// The state of a primary in one epoch.
#[derive(Clone, Debug)]
pub(super) struct PrimaryState {
    epoch: u64,
    started_at: Duration,
    /// Since when this member has been primary, in this epoch and in its own epochs directly before.
    primary_since: Duration,
    /// Whether the replicas satisfy the fault budget. Otherwise the primary accepts no change.
    accepts_changes: bool,
    pub(super) leases: HeldLeases,
    next_renewal_at: Duration,
    /// Voters that haven't accepted the membership configuration yet.
    awaiting_acceptance: BTreeSet<u64>,
    pub(super) replication: Replication,
    /// Commands to be run, in order of arrival.
    proposals: VecDeque<(CommandSource, Command)>,
    pub(super) early_proposals: EarlyProposals,
    pub(super) coordination: CoordinationService,
    /// When each drained host was recorded by this primary.
    drained_at: BTreeMap<String, Duration>,
}

impl PrimaryState {
    pub(super) fn new(
        membership: &MembershipConfig,
        state: ReplicatedState,
        watch_history: Duration,
        now: Duration,
    ) -> Self {
        Self {
            epoch: membership.epoch,
            started_at: now,
            primary_since: now,
            accepts_changes: true,
            leases: HeldLeases::default(),
            next_renewal_at: now,
            awaiting_acceptance: BTreeSet::new(),
            drained_at: state.drains.iter().map(|d| (d.clone(), now)).collect(),
            replication: Replication::new(state, &membership.replicas, now),
            proposals: VecDeque::new(),
            early_proposals: EarlyProposals::default(),
            coordination: CoordinationService::new(watch_history),
        }
    }

    /// Sets since when this member has been primary, if it was so in epochs of its own directly before this one.
    pub(super) fn set_primary_since(&mut self, primary_since: Duration) {
        self.primary_since = primary_since;
    }

    pub(super) fn set_awaiting_acceptance(&mut self, voters: BTreeSet<u64>) {
        self.awaiting_acceptance = voters;
    }

    pub(super) fn set_accepts_changes(&mut self, accepts_changes: bool) {
        self.accepts_changes = accepts_changes;
    }

    pub(super) fn epoch(&self) -> u64 {
        self.epoch
    }

    pub(super) fn started_at(&self) -> Duration {
        self.started_at
    }

    pub(super) fn primary_since(&self) -> Duration {
        self.primary_since
    }

    pub(super) fn accepts_changes(&self) -> bool {
        self.accepts_changes
    }

    /// Index of the last committed change.
    pub(super) fn commit_index(&self) -> u64 {
        self.replication.committed().index
    }

    /// Index of the last committed change of the configuration or the drains.
    pub(super) fn fleet_index(&self) -> u64 {
        self.replication.committed().fleet_index
    }

    pub(super) fn is_awaiting_acceptance(&self, voter: u64) -> bool {
        self.awaiting_acceptance.contains(&voter)
    }

    /// Notes that a voter has accepted the membership configuration. Returns whether that wasn't known yet.
    pub(super) fn record_acceptance(&mut self, voter: u64) -> bool {
        self.awaiting_acceptance.remove(&voter)
    }

    /// Notes that a voter hasn't accepted the membership configuration.
    pub(super) fn record_missing_acceptance(&mut self, voter: u64) {
        self.awaiting_acceptance.insert(voter);
    }

    /// Sets when leases are renewed next.
    pub(super) fn schedule_renewal(&mut self, at: Duration) {
        self.next_renewal_at = at;
    }

    /// Whether leases have to be renewed now. If so, the next renewal is due after `interval`.
    pub(super) fn start_renewal_if_due(&mut self, now: Duration, interval: Duration) -> bool {
        let is_due = now >= self.next_renewal_at;
        if is_due {
            self.next_renewal_at = now + interval;
        }
        is_due
    }

    /// Queues a command.
    pub(super) fn propose(&mut self, source: CommandSource, command: Command) {
        self.proposals.push_back((source, command));
    }

    /// Whether a command from this source is queued, held as an early proposal or waiting as a watch.
    pub(super) fn has_proposal(&self, source: CommandSource) -> bool {
        let mut proposals = self.proposals.iter();
        proposals.any(|(other, _)| *other == source)
            || self.early_proposals.contains(source)
            || self.coordination.has_watch(source)
    }

    /// Notes when a change drained or forgot hosts.
    pub(super) fn record_drains(&mut self, change: &Change, now: Duration) {
        match change {
            Change::Drain { host } => drop(self.drained_at.insert(host.clone(), now)),
            Change::Forget { hosts } => self.drained_at.retain(|host, _| !hosts.contains(host)),
            Change::Configure { .. } | Change::Coordinate { .. } => {}
        }
    }

    /// Hosts that were drained so long ago that they are to be forgotten.
    fn hosts_to_forget(&self, now: Duration) -> Vec<String> {
        let drained = self.drained_at.iter();
        drained
            .filter(|(_, drained_at)| now >= **drained_at + DRAIN_RETENTION)
            .map(|(host, _)| host.clone())
            .collect()
    }
}

impl Member {
    /// Does the primary's periodic work: changes the membership, commits, renews leases, retransmits and cleans up. A
    /// primary with an unhealthy disk releases its lease, unless it is the only voter.
    pub(super) fn run_primary(&mut self, out: &mut Vec<Output>) {
        let Some(primary) = self.role.primary() else {
            return;
        };
        let is_alone = self
            .membership
            .as_ref()
            .is_some_and(|m| m.voters.len() == 1);
        if !self.disk_healthy() && !is_alone {
            return self.release_lease(out);
        }
        if let Some(change) = self.due_membership_change(primary) {
            return self.prepare(Some(change), out);
        }
        self.commit(out);
        self.renew_leases(out);
        self.retransmit_changes(out);
        self.forget_drained_hosts(out);
        self.run_coordination_timers(out);
    }

    /// Whether this member is the primary and holds its lease now.
    pub fn is_acting_primary(&self) -> bool {
        self.is_acting_primary_at(self.now)
    }

    /// Whether this member is the primary and holds its lease at a given time. The time must not be before the latest
    /// step, and no input may have reached the member since that step.
    pub fn is_acting_primary_at(&self, now: Duration) -> bool {
        let primary = self.role.primary();
        primary.is_some_and(|primary| self.lease_end(primary) > now)
    }

    /// The change of the membership configuration that is due now. A stable configuration has a minimum age before it
    /// is changed; one that isn't stable is completed at once.
    fn due_membership_change(
        &self,
        primary: &PrimaryState,
    ) -> Option<super::candidate::MembershipChange> {
        let is_stable = self
            .membership
            .as_ref()
            .is_none_or(MembershipConfig::is_stable);
        let min_age = self
            .config
            .lease_duration
            .mul_f64(MIN_MEMBERSHIP_AGE_FRACTION);
        let is_due = !is_stable || self.now >= primary.started_at + min_age;
        is_due.then(|| self.required_change(primary)).flatten()
    }

    /// Proposes to forget hosts that were drained long ago, if no other change is in flight.
    fn forget_drained_hosts(&mut self, out: &mut Vec<Output>) {
        let (Some(primary), Some(log)) = (self.role.primary(), &self.log) else {
            return;
        };
        let hosts = primary.hosts_to_forget(self.now);
        let is_ready = primary.accepts_changes
            && !primary.replication.has_pending()
            && self.is_acting_primary();
        if hosts.is_empty() || !is_ready {
            return;
        }
        let change = Change::Forget { hosts };
        if let Ok(next) = log.appended().apply(&change) {
            self.replicate(change, next, Vec::new(), out);
        }
    }

    /// Runs the queued commands in order, while the lease lasts.
    pub(super) fn run_proposals(&mut self, out: &mut Vec<Output>) {
        while self.is_acting_primary() {
            let proposal = self
                .role
                .primary_mut()
                .and_then(|primary| primary.proposals.pop_front());
            let Some((source, command)) = proposal else {
                return;
            };
            match command {
                Command::Coordinate { request } => {
                    self.run_coordination_request(source, request, out);
                }
                command => self.run_proposal(source, command, out),
            }
        }
    }

    fn run_proposal(&mut self, source: CommandSource, command: Command, out: &mut Vec<Output>) {
        let (Some(primary), Some(log)) = (self.role.primary_mut(), &self.log) else {
            return;
        };
        match log.appended().plan(&command) {
            Plan::Change(..) if !primary.accepts_changes => {
                self.answer(source, ResultCode::NoPrimary, vec![], out);
            }
            Plan::Change(change, next) => {
                let answer = PendingAnswer::new(source, ResultCode::Ok, vec![]);
                self.replicate(change, *next, vec![answer], out);
                self.requeue_early_proposals();
            }
            Plan::Answer(ResultCode::BaseNotInForce, _) => {
                self.hold_early_proposal(source, command, out);
            }
            // An answer may depend on a change in flight and waits for it.
            Plan::Answer(code, body) if primary.replication.has_pending() => {
                let answer = PendingAnswer::new(source, code, body);
                primary.replication.answer_after_last_change(answer);
            }
            Plan::Answer(code, body) => self.answer(source, code, body, out),
        }
    }

    /// Commits the changes that all replicas have on disk, while the lease lasts, and answers their commands. This is
    /// the only place where changes are acknowledged.
    pub(super) fn commit(&mut self, out: &mut Vec<Output>) {
        if !self.is_acting_primary() {
            return;
        }
        let now = self.now;
        let Some(primary) = self.role.primary_mut() else {
            return;
        };
        primary.coordination.deadlines.start_acting(now);
        let committed = primary.replication.commit();
        if committed.needs_publishing {
            self.publish(out);
        }
        if committed.has_advanced || committed.needs_publishing {
            self.record_own_commits();
        }
        if committed.has_advanced {
            self.answer_watches(out);
        }
        for answer in committed.answers {
            self.answer(answer.source, answer.code, answer.body, out);
        }
    }

    /// Records the primary's commit index on disk unless changes are in flight. Under a continuous stream of changes
    /// it is recorded every few changes.
    fn record_own_commits(&mut self) {
        let Some(primary) = self.role.primary() else {
            return;
        };
        let (epoch, index) = (primary.epoch, primary.commit_index());
        let recorded = self.committed.commit_index();
        if !primary.replication.has_pending() || index >= recorded + MAX_UNRECORDED_COMMITS {
            self.record_committed(epoch, index);
        }
    }

    /// Publishes the newest committed state.
    fn publish(&self, out: &mut Vec<Output>) {
        let Some(primary) = self.role.primary() else {
            return;
        };
        let state = primary.replication.committed();
        out.push(Output::PublishState {
            index: state.fleet_index,
            configuration: state.configuration.clone(),
            drains: state.drains.iter().cloned().collect(),
        });
    }

    pub(super) fn primary_wake_at(&self) -> Option<Duration> {
        let primary = self.role.primary()?;
        let wakes = [
            primary.replication.next_wake_at(),
            primary.early_proposals.next_expiry(),
            primary.coordination.next_wake_at(),
            Some(primary.next_renewal_at),
        ];
        wakes.into_iter().flatten().min()
    }
}
