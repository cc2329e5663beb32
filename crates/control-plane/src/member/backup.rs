//! Acceptance of membership configurations, and a backup's log: it appends the changes that the primary sends.

use super::replica_log::ReplicaLog;
use super::write_queue::OnDurable;
use super::{Member, Output};
use crate::replicated_state::ReplicatedState;
use protocol::{Change, MemberInfo, MembershipConfig, Message, Record, Snapshot};

impl Member {
    /// Handles a candidate's request to accept a membership configuration. Replicas receive the state that it starts
    /// from.
    pub(super) fn on_install_membership(
        &mut self,
        from: MemberInfo,
        membership: MembershipConfig,
        snapshot: Option<Snapshot>,
        out: &mut Vec<Output>,
    ) {
        let epoch = membership.epoch;
        self.observe_epoch(epoch);
        self.record_successor(&membership);
        let is_promised = epoch >= self.promise.epoch();
        if is_promised && self.accepted_epoch() == Some(epoch) {
            return self.reply_to_install(from, epoch, true, out);
        }
        let is_replica = membership.replicas.contains(&self.own_id());
        let concerns_this_member =
            membership.has_vote(self.own_id()) && is_replica == snapshot.is_some();
        let state = snapshot
            .as_ref()
            .map(ReplicatedState::from_snapshot)
            .transpose();
        match state {
            Ok(state) if concerns_this_member && is_promised && self.disk_healthy() => {
                self.accept_membership(from, membership, snapshot, state);
            }
            _ => self.reply_to_install(from, epoch, false, out),
        }
    }

    /// Queues a membership configuration for the disk. It takes effect, and the candidate receives a reply, once it is
    /// durable.
    fn accept_membership(
        &mut self,
        from: MemberInfo,
        membership: MembershipConfig,
        snapshot: Option<Snapshot>,
        state: Option<ReplicatedState>,
    ) {
        self.promise.set_epoch(membership.epoch);
        self.phase_timeouts.reset_slow_disks();
        self.step_down();
        self.postpone_election();
        let record = Record::Accepted {
            membership: membership.clone(),
            snapshot,
        };
        let on_durable = OnDurable::Installed {
            candidate: from,
            membership: Box::new(membership),
            state: state.map(Box::new),
        };
        self.queue_record(&record, on_durable);
    }

    /// Puts a durable membership configuration into effect, unless a newer one already is, and replies to the
    /// candidate.
    pub(super) fn on_membership_durable(
        &mut self,
        candidate: MemberInfo,
        membership: MembershipConfig,
        state: Option<ReplicatedState>,
        out: &mut Vec<Output>,
    ) {
        let epoch = membership.epoch;
        if self.accepted_epoch().is_none_or(|own| own < epoch) {
            self.committed.start_membership(state.as_ref());
            self.log = state.map(ReplicaLog::new);
            self.membership = Some(membership);
        }
        if candidate.id == self.own_id() {
            self.on_install_reply(candidate.id, epoch, true, out);
        } else {
            self.reply_to_install(candidate, epoch, true, out);
        }
    }

    /// Tells a candidate whether this member has accepted the membership configuration of an epoch.
    pub(super) fn reply_to_install(
        &self,
        to: MemberInfo,
        epoch: u64,
        accepted: bool,
        out: &mut Vec<Output>,
    ) {
        let message = Message::InstallMembershipReply {
            epoch,
            accepted,
            promised_epoch: self.promise.epoch(),
        };
        out.push(Output::Send { to, message });
    }

    /// Handles a change from the primary: queues it for the disk if it is the next one, and otherwise confirms or
    /// rejects it at once.
    pub(super) fn on_append_change(
        &mut self,
        from: MemberInfo,
        epoch: u64,
        index: u64,
        change: Change,
        out: &mut Vec<Output>,
    ) {
        let follows = self.follows(epoch, from.id) && !self.is_superseded();
        let is_promised = self.promise.epoch() == epoch;
        let disk_healthy = self
            .write_queue
            .is_healthy(self.now, self.config.disk_stall_timeout);
        let Some(log) = self.log.as_mut().filter(|_| follows && is_promised) else {
            return self.reply_to_append(from, epoch, index, false, out);
        };
        let (appended, durable) = (log.appended().index, log.durable().index);
        if index <= durable {
            return self.reply_to_append(from, epoch, durable, true, out);
        }
        if index <= appended {
            // The write is in flight; the reply follows once it is durable.
            return;
        }
        if index != appended + 1 || !disk_healthy {
            return self.reply_to_append(from, epoch, index, false, out);
        }
        let Ok(next) = log.appended().apply(&change) else {
            return self.reply_to_append(from, epoch, index, false, out);
        };
        log.append(next.clone());
        let record = Record::Change {
            epoch,
            index,
            change,
        };
        let on_durable = OnDurable::Appended {
            primary: from.id,
            epoch,
            state: Box::new(next),
        };
        self.queue_record(&record, on_durable);
    }

    /// Confirms all changes up to `match_index` to the primary, or rejects that change.
    fn reply_to_append(
        &self,
        to: MemberInfo,
        epoch: u64,
        match_index: u64,
        accepted: bool,
        out: &mut Vec<Output>,
    ) {
        let message = Message::AppendReply {
            epoch,
            match_index,
            accepted,
            promised_epoch: self.promise.epoch(),
        };
        out.push(Output::Send { to, message });
    }

    /// Records the primary's commit index on disk, so that the next incarnation has a committed state to restore. Does
    /// nothing if this member's log doesn't reach that index yet.
    pub(super) fn record_committed(&mut self, epoch: u64, index: u64) {
        let has_epoch = self.accepted_epoch() == Some(epoch);
        let Some(log) = self
            .log
            .as_ref()
            .filter(|log| has_epoch && log.durable().index >= index)
        else {
            return;
        };
        if self.committed.commit(index, log.durable()) {
            self.queue_record(&Record::Committed { index }, OnDurable::Nothing);
        }
    }
}
