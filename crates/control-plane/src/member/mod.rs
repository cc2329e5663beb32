//! A member of the control plane: a state machine without I/O or a clock. Each input comes with the time; the outputs
//! are the messages to send, the records to write and the answers to give.
//!
//! Replication is primary-backup under epochs, as in Vertical Paxos (Lamport, Malkhi and Zhou 2009): the primary
//! writes a change to the disks of all replicas before it acknowledges it, and a majority of the voters decides who is
//! primary. Epochs keep committed changes safe. Leases only determine which member may act, and when others may
//! campaign.

mod backup;
mod candidate;
mod commands;
mod committed_state;
mod coordination_answer;
mod coordination_requests;
mod departure;
mod dispatch;
mod early_proposals;
mod election_timer;
pub(crate) mod epoch;
mod installation;
mod interface;
mod lease;
mod membership_change;
mod peers;
mod phase_timeouts;
mod primary;
mod primary_contact;
mod random;
mod replay;
mod replica_log;
mod replica_placement;
mod replication;
mod role;
mod storage;
mod summary;
mod transfer_time;
mod voter;
mod write_queue;

pub use candidate::ElectionPhase;
pub use epoch::candidate_of;
pub use interface::{DiskError, Input, MemberConfig, Output};
pub use primary_contact::PrimaryContact;
pub use replay::ReplayError;
pub use replica_placement::{choose_replicas, majority_shortfall};
pub use summary::{DiskState, LeaseGrantSummary, MemberSummary, RoleSummary};

use crate::replicated_state::ReplicatedState;
use candidate::all_voters;
use commands::LocalCommands;
use committed_state::CommittedState;
use departure::Departure;
use lease::LeaseGrant;
use peers::Peers;
use phase_timeouts::PhaseTimeouts;
use primary_contact::ContactTracker;
use protocol::{MemberInfo, MembershipConfig, Message};
use random::{request_id_base, Random};
use replica_log::ReplicaLog;
use role::Role;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use voter::PromiseState;
use write_queue::WriteQueue;

/// The shortest delay until the next wake.
const MIN_WAKE_DELAY: Duration = Duration::from_millis(1);
/// The longest delay until the next wake, in lease durations.
const MAX_WAKE_DELAY_LEASES: u32 = 4;

/// The state machine of one member.
#[derive(Clone, Debug)]
pub struct Member {
    config: MemberConfig,
    /// The time of the latest step. It never decreases.
    now: Duration,
    started_at: Duration,
    /// Whether an earlier incarnation may have granted a lease.
    restarted: bool,
    random: Random,
    /// The highest epoch seen in any message.
    highest_epoch_seen: u64,
    promise: PromiseState,
    /// The latest membership configuration that this member accepted.
    membership: Option<MembershipConfig>,
    /// The log of the replicated state; `None` if this member is no replica.
    log: Option<ReplicaLog>,
    /// The newest state that the records on this disk show as committed.
    committed: CommittedState,
    /// The error in the records on disk, if any. A member with such an error has no vote and holds no replica.
    replay_error: Option<Arc<ReplayError>>,
    /// The committed state from disk, which the first step publishes.
    restored: Option<ReplicatedState>,
    /// The lease that this member granted as a voter.
    granted_lease: Option<LeaseGrant>,
    contact_tracker: ContactTracker,
    peers: Peers,
    role: Role,
    phase_timeouts: PhaseTimeouts,
    /// The earliest time of the next campaign.
    election_at: Duration,
    write_queue: WriteQueue,
    commands: LocalCommands,
    /// The primary that other members reported.
    reported_primary: Option<ReportedPrimary>,
    /// The graceful shutdown, once the process was asked to end.
    departure: Option<Departure>,
}

/// A primary that other members reported.
#[derive(Clone, Debug)]
struct ReportedPrimary {
    epoch: u64,
    info: MemberInfo,
}

/// The membership configuration of a system's first start: epoch 0 without a primary.
fn bootstrap_membership(voters: Vec<MemberInfo>) -> MembershipConfig {
    MembershipConfig {
        epoch: 0,
        primary: 0,
        replicas: vec![],
        previous_voters: voters.clone(),
        voters,
    }
}

impl Member {
    /// Creates a member from the records on its disk, which are empty at its first start. `random` must differ between
    /// members and between starts: it spreads elections, and tells one incarnation's requests from another's.
    pub fn new(config: MemberConfig, records: &[Vec<u8>], now: Duration, random: u64) -> Self {
        let file_bytes = records.iter().map(Vec::len).sum();
        let mut member = Self {
            now,
            started_at: now,
            restarted: !records.is_empty(),
            random: Random::new(random),
            highest_epoch_seen: 0,
            promise: PromiseState::new(now),
            membership: config.bootstrap_voters.clone().map(bootstrap_membership),
            log: None,
            committed: CommittedState::default(),
            replay_error: None,
            restored: None,
            granted_lease: None,
            contact_tracker: ContactTracker::new(random),
            peers: Peers::new(config.local_member.id, config.lease_duration),
            role: Role::Follower,
            phase_timeouts: PhaseTimeouts::default(),
            election_at: now,
            write_queue: WriteQueue::new(file_bytes),
            commands: LocalCommands::new(request_id_base(random), now),
            reported_primary: None,
            departure: None,
            config,
        };
        member.recover(records);
        // An earlier incarnation may have granted a lease that lasts until then.
        let earliest = if member.restarted {
            now + member.config.lease_duration
        } else {
            now
        };
        member.election_at = earliest + member.election_delay();
        member
    }

    /// Restores the state from the records on disk.
    fn recover(&mut self, records: &[Vec<u8>]) {
        let recovered = match replay::replay(records) {
            Ok(recovered) => recovered,
            Err(error) => {
                // The earlier promises are unknown, so this member must not promise, accept or replicate anything.
                self.membership = None;
                self.replay_error = Some(Arc::new(error));
                return;
            }
        };
        self.promise.set_epoch(recovered.promised_epoch);
        self.highest_epoch_seen = recovered.promised_epoch;
        self.membership = recovered.membership.or(self.membership.take());
        self.log = recovered.durable.map(ReplicaLog::new);
        self.restored = recovered.committed.clone();
        self.committed = CommittedState::recovered(recovered.committed);
        let durable = self.log.as_ref().map(ReplicaLog::durable);
        self.committed.start_membership(durable);
    }

    /// Handles one input and appends the resulting actions to `out`. The last output is the time of the next wake.
    pub fn step(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.publish_restored_state(out);
        // If the process was paused, the lease may have ended. Another primary may act then, and this member must not
        // acknowledge anything more.
        self.step_down_if_lease_ended();
        self.on_input(input, out);
        self.step_down_if_superseded();
        self.run_departure(out);
        self.run_primary(out);
        self.run_candidate(out);
        self.run_election_timer(out);
        self.run_commands(out);
        self.start_write(out);
        out.push(Output::Wake {
            at: self.next_wake_at(),
        });
    }

    fn on_input(&mut self, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => {}
            Input::Message { from, message } => {
                self.peers.record_message(&from, self.now);
                self.on_message(from, message, out);
            }
            Input::WriteCompleted { ticket, result } => {
                self.on_write_completed(ticket, result, out);
            }
            Input::Command { ticket, command } => self.on_command(ticket, command),
            Input::PeerReachable { member } => {
                let membership = self.membership.as_ref();
                let is_voter = membership.is_some_and(|m| m.voter(member.id).is_some());
                self.peers.record_connection(&member, is_voter, self.now);
            }
            Input::Depart => self.on_depart(out),
        }
    }

    fn publish_restored_state(&mut self, out: &mut Vec<Output>) {
        if let Some(state) = self.restored.take() {
            out.push(Output::RestoreState {
                index: state.fleet_index,
                configuration: state.configuration,
                drains: state.drains.iter().cloned().collect(),
            });
        }
    }

    /// When the next step is due without any other input.
    fn next_wake_at(&self) -> Duration {
        let wakes = [
            self.election_wake_at(),
            self.primary_wake_at(),
            self.candidate_wake_at(),
            self.commands_wake_at(),
            self.departure_wake_at(),
            self.write_queue
                .next_wake_at(self.config.disk_stall_timeout),
        ];
        let lease_duration = self.config.lease_duration;
        wakes
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(self.now + lease_duration)
            .max(self.now + MIN_WAKE_DELAY)
            .min(self.now + MAX_WAKE_DELAY_LEASES * lease_duration)
    }

    fn observe_epoch(&mut self, epoch: u64) {
        self.highest_epoch_seen = self.highest_epoch_seen.max(epoch);
    }

    fn own_id(&self) -> u64 {
        self.config.local_member.id
    }

    fn is_voter(&self) -> bool {
        let membership = self.membership.as_ref();
        membership.is_some_and(|m| m.voter(self.own_id()).is_some())
    }

    /// The other voters of the membership configuration, including the previous ones.
    fn other_voters(&self) -> BTreeSet<u64> {
        let mut voters = self.membership.as_ref().map(all_voters).unwrap_or_default();
        voters.remove(&self.own_id());
        voters
    }

    /// The epoch of the membership configuration that this member has accepted.
    fn accepted_epoch(&self) -> Option<u64> {
        self.membership.as_ref().map(|m| m.epoch)
    }

    /// Whether a member is the primary of the membership configuration that this member has accepted.
    fn follows(&self, epoch: u64, primary: u64) -> bool {
        let membership = self.membership.as_ref();
        membership.is_some_and(|m| m.epoch == epoch && m.primary == primary)
    }

    /// The latest known addresses and location of a member.
    fn latest_info(&self, member: &MemberInfo) -> MemberInfo {
        match member.id {
            id if id == self.own_id() => self.config.local_member.clone(),
            id => self.peers.info(id).unwrap_or(member).clone(),
        }
    }

    fn member_info(&self, id: u64) -> Option<MemberInfo> {
        let as_voter = self.membership.as_ref().and_then(|m| {
            let mut previous_voters = m.previous_voters.iter();
            m.voter(id).or(previous_voters.find(|v| v.id == id))
        });
        self.peers.info(id).or(as_voter).cloned()
    }

    /// Sends a message to a member by its id. Nothing is sent if the member's address is unknown.
    fn send(&self, to: u64, message: Message, out: &mut Vec<Output>) {
        if let Some(to) = self.member_info(to) {
            out.push(Output::Send { to, message });
        }
    }

    /// The primary, as far as this member knows: the holder of a lease that is in force, or the one that other members
    /// reported.
    pub fn primary(&self) -> Option<MemberInfo> {
        if self.role.primary().is_some() {
            return Some(self.config.local_member.clone());
        }
        let grant = self.granted_lease.filter(|g| g.until > self.now);
        let lease_holder = grant.and_then(|g| self.member_info(g.primary));
        lease_holder.or_else(|| self.usable_reported_primary())
    }

    fn usable_reported_primary(&self) -> Option<MemberInfo> {
        let known = self.reported_primary.as_ref()?;
        let is_newer = self.accepted_epoch().is_none_or(|own| known.epoch > own);
        // A member without a vote grants no leases, so it knows the primary from other members only.
        let is_useful = !self.is_voter() || is_newer;
        let is_reachable = self.peers.is_reachable(known.info.id, self.now);
        (is_useful && is_reachable).then(|| known.info.clone())
    }

    /// Notes the primary of an epoch as another member reported it. This only affects where commands are sent.
    pub fn learn_primary(&mut self, epoch: u64, primary: MemberInfo) {
        let is_latest = self
            .reported_primary
            .as_ref()
            .is_none_or(|k| epoch >= k.epoch);
        if primary.id != self.own_id() && is_latest {
            self.reported_primary = Some(ReportedPrimary {
                epoch,
                info: primary,
            });
        }
    }

    /// The latest membership configuration that this member accepted.
    pub fn membership(&self) -> Option<&MembershipConfig> {
        self.membership.as_ref()
    }

    /// The highest epoch that this member has promised.
    pub fn promised_epoch(&self) -> u64 {
        self.promise.epoch()
    }

    /// The error in the records on disk, if any. A member with such an error promises, accepts and replicates nothing
    /// until its disk is emptied.
    pub fn replay_error(&self) -> Option<&ReplayError> {
        self.replay_error.as_deref()
    }

    /// Whether the disk accepts writes in time and its records were read without an error.
    pub fn disk_healthy(&self) -> bool {
        let stall_timeout = self.config.disk_stall_timeout;
        self.replay_error.is_none() && self.write_queue.is_healthy(self.now, stall_timeout)
    }
}
