//! A member's writes: which records it writes, what happens once they are durable, and when the file is rewritten.

use super::committed_state::snapshot_bytes;
use super::replica_log::ReplicaLog;
use super::write_queue::{Completion, OnDurable, WrittenRecord};
use super::{DiskError, Member, Output};
use crate::replicated_state::ReplicatedState;
use protocol::{MembershipConfig, Message, Record};

/// The file is rewritten once it is larger than this many times the snapshots that it has to hold, plus twice the
/// changes that aren't known to be committed.
const REWRITE_GROWTH: usize = 4;

fn accepted_record(membership: MembershipConfig, state: Option<&ReplicatedState>) -> Vec<u8> {
    protocol::encode_record(&Record::Accepted {
        membership,
        snapshot: state.map(ReplicatedState::snapshot),
    })
}

fn committed_record(state: &ReplicatedState) -> Vec<u8> {
    protocol::encode_record(&Record::Committed { index: state.index })
}

impl Member {
    /// Queues a record for the next write. `on_durable` follows once it is on disk.
    pub(super) fn queue_record(&mut self, record: &Record, on_durable: OnDurable) {
        self.write_queue
            .push(protocol::encode_record(record), on_durable);
    }

    /// Starts the next write if one may start now.
    pub(super) fn start_write(&mut self, out: &mut Vec<Output>) {
        if !self.write_queue.may_start(self.now) {
            return;
        }
        if self.write_queue.needs_probe() {
            let epoch = self.promise.epoch();
            self.queue_record(&Record::Promised { epoch }, OnDurable::Nothing);
        }
        let write = if self.is_rewrite_due() {
            Some(
                self.write_queue
                    .start_rewrite(self.rewritten_records(), self.now),
            )
        } else {
            self.write_queue.start_append(self.now)
        };
        out.extend(write);
    }

    /// Whether the file is too large for its content. This depends on the file alone, so a continuous stream of
    /// changes doesn't postpone a rewrite.
    fn is_rewrite_due(&mut self) -> bool {
        let Some(file_bytes) = self.write_queue.examine_size(self.now) else {
            return false;
        };
        file_bytes > self.max_file_bytes()
    }

    /// The file's size, in bytes, up to which a rewrite isn't worth its cost.
    fn max_file_bytes(&self) -> usize {
        let committed = self.committed.newest().map_or(0, snapshot_bytes);
        let Some(durable) = self.log.as_ref().map(ReplicaLog::durable) else {
            return REWRITE_GROWTH * committed;
        };
        match self.committed.change_records_up_to(durable.index) {
            Some(changes) => REWRITE_GROWTH * committed + 2 * changes.map(Vec::len).sum::<usize>(),
            None => REWRITE_GROWTH * (committed + snapshot_bytes(durable)),
        }
    }

    /// The records of a rewritten file. What is known to be committed stays known: the committed state comes first,
    /// followed by the changes after it. If one of these changes isn't in memory, the committed state is recorded
    /// under a membership configuration without voters, before the one in force.
    fn rewritten_records(&self) -> Vec<Vec<u8>> {
        let epoch = self.promise.epoch();
        let mut records = vec![protocol::encode_record(&Record::Promised { epoch })];
        let Some(membership) = self.membership.clone().filter(|m| m.epoch > 0) else {
            return records;
        };
        let committed = self.committed.newest();
        let durable = self.log.as_ref().map(ReplicaLog::durable);
        let changes =
            durable.and_then(|durable| self.committed.change_records_up_to(durable.index));
        if let (Some(committed), Some(changes)) = (committed, changes) {
            records.push(accepted_record(membership, Some(committed)));
            records.push(committed_record(committed));
            records.extend(changes.cloned());
            return records;
        }
        if let Some(committed) = committed {
            // Without voters no member has a vote, so nobody could become primary from this state alone.
            records.push(accepted_record(
                MembershipConfig::default(),
                Some(committed),
            ));
            records.push(committed_record(committed));
        }
        records.push(accepted_record(membership, durable));
        records
    }

    pub(super) fn on_write_completed(
        &mut self,
        ticket: u64,
        result: Result<(), DiskError>,
        out: &mut Vec<Output>,
    ) {
        match self.write_queue.complete(ticket, result, self.now) {
            None | Some(Completion::RewriteRefused) => {}
            Some(Completion::Rewritten) => self.committed.on_file_rewritten(),
            Some(Completion::Appended(written)) => {
                for written in written {
                    self.on_durable(written, out);
                }
            }
            Some(Completion::Refused(lost)) => {
                if let Some(log) = &mut self.log {
                    log.discard_appended();
                }
                for on_durable in lost {
                    self.on_write_refused(on_durable, out);
                }
                self.release_lease(out);
            }
        }
    }

    fn on_durable(&mut self, written: WrittenRecord, out: &mut Vec<Output>) {
        let change = written.change.unwrap_or_default();
        match written.on_durable {
            OnDurable::Promise { candidate, epoch } => {
                self.on_promise_durable(candidate, epoch, out);
            }
            OnDurable::Installed {
                candidate,
                membership,
                state,
            } => {
                let state = state.map(|state| *state);
                self.on_membership_durable(candidate, *membership, state, out);
            }
            OnDurable::Appended {
                primary,
                epoch,
                state,
            } => {
                let index = state.index;
                self.on_change_durable(epoch, *state, change);
                self.send_append_reply(primary, epoch, index, true, out);
            }
            OnDurable::OwnChange { epoch, state } => {
                let index = state.index;
                self.on_change_durable(epoch, *state, change);
                self.on_append_reply(self.own_id(), epoch, index, true, out);
            }
            OnDurable::Nothing => {}
        }
    }

    /// Marks a change as durable if its epoch is still the accepted one.
    fn on_change_durable(&mut self, epoch: u64, state: ReplicatedState, record: Vec<u8>) {
        let has_epoch = self.accepted_epoch() == Some(epoch);
        if let Some(log) = self.log.as_mut().filter(|_| has_epoch) {
            self.committed.add_change(state.clone(), record);
            log.mark_durable(state);
        }
    }

    /// Rejects the requests whose records the disk refused.
    fn on_write_refused(&mut self, on_durable: OnDurable, out: &mut Vec<Output>) {
        match on_durable {
            OnDurable::Installed {
                candidate,
                membership,
                ..
            } if candidate.id != self.own_id() => {
                self.reply_to_install(candidate, membership.epoch, false, out);
            }
            OnDurable::Appended {
                primary,
                epoch,
                state,
            } => self.send_append_reply(primary, epoch, state.index, false, out),
            _ => {}
        }
    }

    fn send_append_reply(
        &self,
        primary: u64,
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
        self.send(primary, message, out);
    }
}
