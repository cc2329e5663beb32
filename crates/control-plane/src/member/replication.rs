//! The primary's replication: changes are sent to all replicas, and are committed once all of them have the changes on
//! disk.

use super::commands::CommandSource;
use super::transfer_time::{change_bytes, extra_flight_time};
use super::write_queue::OnDurable;
use super::{Member, Output};
use crate::replicated_state::ReplicatedState;
use configuration::ResultCode;
use protocol::{Change, Message, Record};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Time after which an unconfirmed change is sent to a replica again, as a fraction of a lease's duration.
const RETRANSMIT_FRACTION: f64 = 0.2;

/// An answer that is sent once a change is committed.
#[derive(Clone, Debug)]
pub(super) struct PendingAnswer {
    pub(super) source: CommandSource,
    pub(super) code: ResultCode,
    pub(super) body: Vec<u8>,
}

impl PendingAnswer {
    pub(super) fn new(source: CommandSource, code: ResultCode, body: Vec<u8>) -> Self {
        Self { source, code, body }
    }
}

/// A change that isn't committed yet.
#[derive(Clone, Debug)]
struct PendingChange {
    change: Change,
    /// The state after it.
    state: ReplicatedState,
    proposed_at: Duration,
    /// When the change was last sent to replicas that haven't confirmed it.
    sent_at: Duration,
    bytes: usize,
    /// How much longer than a small change this one may be in flight, behind the changes that weren't confirmed before
    /// it.
    extra_flight_time: Duration,
    answers: Vec<PendingAnswer>,
}

/// The result of advancing the commit index.
#[derive(Debug)]
pub(super) struct NewlyCommitted {
    /// Whether the committed configuration or drains have to be published.
    pub(super) needs_publishing: bool,
    /// Whether any change became committed.
    pub(super) has_advanced: bool,
    pub(super) answers: Vec<PendingAnswer>,
}

/// The committed state of an epoch and the changes that follow it.
#[derive(Clone, Debug)]
pub(super) struct Replication {
    committed: ReplicatedState,
    /// Whether the committed state was published. That waits for the first lease, because another primary may act
    /// until then.
    is_published: bool,
    /// Changes that aren't committed yet, oldest first.
    pending: VecDeque<PendingChange>,
    /// For each replica, the index up to which it has all changes on disk.
    match_index: BTreeMap<u64, u64>,
    /// Replicas that rejected a change and can't continue.
    failed_replicas: BTreeSet<u64>,
    next_retransmit_at: Duration,
}

impl Replication {
    /// Creates the replication of a state that all replicas have on disk.
    pub(super) fn new(state: ReplicatedState, replicas: &[u64], now: Duration) -> Self {
        Self {
            match_index: replicas.iter().map(|id| (*id, state.index)).collect(),
            committed: state,
            is_published: false,
            pending: VecDeque::new(),
            failed_replicas: BTreeSet::new(),
            next_retransmit_at: now,
        }
    }

    pub(super) fn committed(&self) -> &ReplicatedState {
        &self.committed
    }

    pub(super) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    pub(super) fn failed_replicas(&self) -> &BTreeSet<u64> {
        &self.failed_replicas
    }

    /// Whether a replica hasn't confirmed the oldest pending change within `timeout`, in addition to the change's
    /// extra flight time.
    pub(super) fn is_late(&self, replica: u64, now: Duration, timeout: Duration) -> bool {
        let Some(oldest) = self.pending.front() else {
            return false;
        };
        let is_overdue = now >= oldest.proposed_at + oldest.extra_flight_time + timeout;
        let match_index = self.match_index.get(&replica);
        is_overdue && match_index.is_none_or(|index| *index < oldest.state.index)
    }

    fn add(
        &mut self,
        change: Change,
        state: ReplicatedState,
        answers: Vec<PendingAnswer>,
        now: Duration,
    ) {
        let bytes = change_bytes(&change);
        let bytes_in_flight: usize = self.pending.iter().map(|p| p.bytes).sum();
        self.pending.push_back(PendingChange {
            change,
            state,
            proposed_at: now,
            sent_at: now,
            bytes,
            extra_flight_time: extra_flight_time(bytes_in_flight + bytes),
            answers,
        });
    }

    /// Sends an answer once the last pending change is committed.
    pub(super) fn answer_after_last_change(&mut self, answer: PendingAnswer) {
        if let Some(last) = self.pending.back_mut() {
            last.answers.push(answer);
        }
    }

    fn record_match(&mut self, replica: u64, index: u64) {
        if let Some(match_index) = self.match_index.get_mut(&replica) {
            *match_index = index.max(*match_index);
        }
    }

    /// Commits the changes that all replicas have on disk.
    pub(super) fn commit(&mut self) -> NewlyCommitted {
        let commit_index = self.match_index.values().copied().min().unwrap_or(0);
        let (index_before, fleet_index_before) = (self.committed.index, self.committed.fleet_index);
        let mut answers = Vec::new();
        while let Some(change) = self.pending.pop_front_if(|p| p.state.index <= commit_index) {
            self.committed = change.state;
            answers.extend(change.answers);
        }
        let has_advanced = self.committed.index > index_before;
        let has_fleet_change = self.committed.fleet_index > fleet_index_before;
        let needs_publishing = has_fleet_change || !std::mem::replace(&mut self.is_published, true);
        NewlyCommitted {
            needs_publishing,
            has_advanced,
            answers,
        }
    }

    /// Retransmissions of the changes that replicas haven't confirmed in time, with the receivers.
    fn take_retransmissions(
        &mut self,
        epoch: u64,
        own_id: u64,
        now: Duration,
        interval: Duration,
    ) -> Vec<(u64, Message)> {
        let mut messages = Vec::new();
        if now < self.next_retransmit_at {
            return messages;
        }
        self.next_retransmit_at = now + interval;
        for pending in &mut self.pending {
            if now < pending.sent_at + pending.extra_flight_time + interval {
                continue;
            }
            pending.sent_at = now;
            let index = pending.state.index;
            let lacks_change =
                |(id, match_index): &(&u64, &u64)| **id != own_id && **match_index < index;
            for (replica, _) in self.match_index.iter().filter(lacks_change) {
                let message = Message::AppendChange {
                    epoch,
                    index,
                    change: pending.change.clone(),
                };
                messages.push((*replica, message));
            }
        }
        messages
    }

    pub(super) fn next_wake_at(&self) -> Option<Duration> {
        self.has_pending().then_some(self.next_retransmit_at)
    }
}

impl Member {
    /// Appends a change to the log and sends it to all backups. `next` is the state after it. The answers are sent
    /// once it is committed.
    pub(super) fn replicate(
        &mut self,
        change: Change,
        next: ReplicatedState,
        answers: Vec<PendingAnswer>,
        out: &mut Vec<Output>,
    ) {
        let (now, own_id) = (self.now, self.own_id());
        let (Some(primary), Some(log)) = (self.role.primary_mut(), &mut self.log) else {
            return;
        };
        let (epoch, index) = (primary.epoch(), next.index);
        log.append(next.clone());
        primary.record_drains(&change, now);
        let replication = &mut primary.replication;
        replication.add(change.clone(), next.clone(), answers, now);
        let replicas = replication.match_index.keys().copied();
        let backups: Vec<u64> = replicas.filter(|id| *id != own_id).collect();
        for backup in backups {
            let message = Message::AppendChange {
                epoch,
                index,
                change: change.clone(),
            };
            self.send(backup, message, out);
        }
        let record = Record::Change {
            epoch,
            index,
            change,
        };
        let state = Box::new(next);
        self.queue_record(&record, OnDurable::OwnChange { epoch, state });
    }

    /// Handles a replica's reply: it has confirmed all changes up to an index, or rejected one.
    pub(super) fn on_append_reply(
        &mut self,
        from: u64,
        epoch: u64,
        match_index: u64,
        accepted: bool,
        out: &mut Vec<Output>,
    ) {
        let Some(primary) = self.role.primary_mut() else {
            return;
        };
        if primary.epoch() != epoch {
            return;
        }
        if !accepted {
            primary.replication.failed_replicas.insert(from);
            return;
        }
        primary.replication.record_match(from, match_index);
        self.commit(out);
    }

    /// Sends unconfirmed changes again, if that is due.
    pub(super) fn retransmit_changes(&mut self, out: &mut Vec<Output>) {
        let (now, own_id) = (self.now, self.own_id());
        let interval = self.config.lease_duration.mul_f64(RETRANSMIT_FRACTION);
        let Some(primary) = self.role.primary_mut() else {
            return;
        };
        let epoch = primary.epoch();
        let messages = primary
            .replication
            .take_retransmissions(epoch, own_id, now, interval);
        for (to, message) in messages {
            self.send(to, message, out);
        }
    }
}
