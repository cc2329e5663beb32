//! Dispatch of messages from other members to their handlers.

use super::lease::{LeaseReply, LeaseRequest};
use super::voter::{PromiseReply, PromisedHistory};
use super::{Member, Output};
use protocol::{MemberInfo, Message};
use std::time::Duration;

fn milliseconds(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}

impl Member {
    pub(super) fn on_message(&mut self, from: MemberInfo, message: Message, out: &mut Vec<Output>) {
        self.observe_promised_epoch(&message);
        match message {
            Message::PreVote {
                known_epoch,
                accepted_epoch,
            } => self.on_pre_vote(from, known_epoch, accepted_epoch, out),
            Message::Prepare { epoch, candidate } => self.on_prepare(from, epoch, candidate, out),
            Message::InstallMembership {
                membership,
                snapshot,
            } => self.on_install_membership(from, membership, snapshot, out),
            Message::AppendChange {
                epoch,
                index,
                change,
            } => self.on_append_change(from, epoch, index, change, out),
            Message::RenewLease {
                epoch,
                requested_at_ms,
                commit_index,
                echoed_clock_ms,
            } => {
                let request = LeaseRequest {
                    epoch,
                    requested_at_ms,
                    commit_index,
                    fleet_index: commit_index,
                    echoed_clock_ms,
                };
                self.on_lease_request(from, request, out);
            }
            Message::RenewLeaseWithFleetIndex {
                epoch,
                requested_at_ms,
                commit_index,
                echoed_clock_ms,
                fleet_index,
            } => {
                let request = LeaseRequest {
                    epoch,
                    requested_at_ms,
                    commit_index,
                    fleet_index,
                    echoed_clock_ms,
                };
                self.on_lease_request(from, request, out);
            }
            Message::FetchSnapshot { epoch } => self.on_fetch_snapshot(from, epoch, out),
            Message::ReleaseLease { epoch } => self.on_lease_released(from.id, epoch),
            Message::Leaving { .. } => self.peers.record_departure(from.id, self.now),
            Message::ForwardCommand {
                request_id,
                command,
            } => self.on_forwarded_command(&from, request_id, command),
            reply => self.on_reply(&from, reply, out),
        }
    }

    /// Handles replies to this member's own messages. Other messages are for the runtime.
    fn on_reply(&mut self, from: &MemberInfo, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::PreVoteReply {
                granted,
                retry_after_ms,
                ..
            } => self.on_pre_vote_reply(from.id, granted, milliseconds(retry_after_ms), out),
            Message::Promise {
                epoch,
                granted,
                membership,
                log_position,
                retry_after_ms,
                ..
            } => {
                let reply = PromiseReply {
                    epoch,
                    granted,
                    history: Some(PromisedHistory::from_message(membership, log_position)),
                    retry_after: milliseconds(retry_after_ms),
                };
                self.on_promise(from.id, reply, out);
            }
            Message::SnapshotReply {
                epoch, snapshot, ..
            } => self.on_snapshot_reply(epoch, &snapshot, out),
            Message::InstallMembershipReply {
                epoch, accepted, ..
            } => self.on_install_reply(from.id, epoch, accepted, out),
            Message::AppendReply {
                epoch,
                match_index,
                accepted,
                ..
            } => self.on_append_reply(from.id, epoch, match_index, accepted, out),
            Message::LeaseReply {
                epoch,
                requested_at_ms,
                granted,
                disk_healthy,
                clock_ms,
                ..
            } => {
                let reply = LeaseReply {
                    epoch,
                    requested_at_ms,
                    granted,
                    disk_healthy,
                    clock_ms,
                };
                self.on_lease_reply(from, &reply, out);
            }
            Message::CommandResult {
                request_id,
                code,
                body,
            } => self.on_command_result(request_id, code, body, out),
            _ => {}
        }
    }

    /// Notes the highest epoch that the sender of a reply has promised.
    fn observe_promised_epoch(&mut self, message: &Message) {
        match message {
            Message::PreVoteReply { promised_epoch, .. }
            | Message::Promise { promised_epoch, .. }
            | Message::InstallMembershipReply { promised_epoch, .. }
            | Message::AppendReply { promised_epoch, .. }
            | Message::LeaseReply { promised_epoch, .. } => self.observe_epoch(*promised_epoch),
            _ => {}
        }
    }
}
