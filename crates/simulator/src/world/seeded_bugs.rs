//! Seeded bugs: what members send, write and answer is rewritten, so that the checkers have something to find.

use super::event::EventKind;
use super::state::World;
use crate::plan::ms;
use crate::seeded_bug::SeededBug;
use configuration::ResultCode;
use control_plane::member::Input;
use protocol::{MembershipConfig, Message, Record, Snapshot};
use std::time::Duration;

/// Delay of a reply that is forged in a replica's name.
const FORGED_REPLY_DELAY: Duration = ms(1);
/// Delay of a forged message that releases a lease.
const FORGED_RELEASE_DELAY: Duration = ms(3);
/// Delay of a membership whose receiver has been counted already.
const LATE_INSTALL_DELAY: Duration = ms(300);

impl World<'_> {
    /// The message that is sent in place of a member's own; none if the bug holds it back.
    pub(super) fn rewrite_sent_message(
        &mut self,
        n: usize,
        to: usize,
        message: Message,
    ) -> Option<Message> {
        match (self.plan.seeded_bug, message) {
            (
                SeededBug::PreviousVotersForgotten,
                mut message @ Message::InstallMembership { .. },
            ) => {
                if let Message::InstallMembership { membership, .. } = &mut message {
                    forget_previous_voters(membership);
                }
                Some(message)
            }
            (SeededBug::AppliedRequestsNotInSnapshot | SeededBug::DrainsNotInSnapshot, message) => {
                Some(self.without_parts(message))
            }
            (SeededBug::GrantedLeaseForgotten, message @ Message::RenewLease { epoch, .. }) => {
                self.deliver_after(FORGED_RELEASE_DELAY, n, to, Message::ReleaseLease { epoch });
                Some(message)
            }
            (SeededBug::FetchedSnapshotIsOld, message @ Message::SnapshotReply { .. }) => {
                Some(self.with_old_snapshot(n, message))
            }
            (SeededBug::AnswersMixedUp, message @ Message::CommandResult { .. }) => {
                Some(self.with_wrong_request_id(message))
            }
            (
                SeededBug::ReplicaConfirmsEarly,
                message @ Message::AppendChange { epoch, index, .. },
            ) => {
                self.forge_reply(n, to, early_reply(epoch, index));
                Some(message)
            }
            (
                SeededBug::CountedBeforeSnapshot,
                message @ Message::InstallMembership {
                    snapshot: Some(_), ..
                },
            ) => {
                self.install_late(n, to, message);
                None
            }
            (_, message) => Some(message),
        }
    }

    /// One result in ten names the request after the one that it answers.
    fn with_wrong_request_id(&mut self, mut message: Message) -> Message {
        if let Message::CommandResult { request_id, .. } = &mut message {
            *request_id += u64::from(self.random_below(10) == 0);
        }
        message
    }

    /// Sends a membership with its snapshot late, and confirms it in the receiver's name at once.
    fn install_late(&mut self, n: usize, to: usize, message: Message) {
        if let Message::InstallMembership { membership, .. } = &message {
            let reply = Message::InstallMembershipReply {
                epoch: membership.epoch,
                accepted: true,
                promised_epoch: membership.epoch,
            };
            self.forge_reply(n, to, reply);
        }
        self.deliver_after(LATE_INSTALL_DELAY, n, to, message);
    }

    /// Sends `reply` to a member in the name of `from`, if that runs and can be reached.
    fn forge_reply(&mut self, to: usize, from: usize, reply: Message) {
        if self.nodes[from].member.is_some() && !self.cut.contains_key(&(to, from)) {
            self.deliver_after(FORGED_REPLY_DELAY, from, to, reply);
        }
    }

    fn deliver_after(&mut self, delay: Duration, from: usize, to: usize, message: Message) {
        let event = EventKind::Deliver {
            from,
            incarnation: self.nodes[from].incarnation,
            message: Box::new(message),
        };
        self.schedule(self.now + delay, to, event);
    }

    /// A snapshot as it was when the membership began.
    fn with_old_snapshot(&self, n: usize, message: Message) -> Message {
        match (message, self.nodes[n].membership_snapshot.clone()) {
            (
                Message::SnapshotReply {
                    epoch,
                    log_position,
                    ..
                },
                Some(snapshot),
            ) => Message::SnapshotReply {
                epoch,
                log_position,
                snapshot,
            },
            (message, _) => message,
        }
    }

    fn without_parts(&self, message: Message) -> Message {
        match message {
            Message::InstallMembership {
                membership,
                snapshot,
            } => Message::InstallMembership {
                membership,
                snapshot: snapshot.map(|s| self.stripped(s)),
            },
            Message::SnapshotReply {
                epoch,
                log_position,
                snapshot,
            } => Message::SnapshotReply {
                epoch,
                log_position,
                snapshot: self.stripped(snapshot),
            },
            other => other,
        }
    }

    fn stripped(&self, mut snapshot: Snapshot) -> Snapshot {
        match self.plan.seeded_bug {
            SeededBug::AppliedRequestsNotInSnapshot => snapshot.applied_requests.clear(),
            SeededBug::DrainsNotInSnapshot => snapshot.drains.clear(),
            _ => {}
        }
        snapshot
    }

    /// Alters the records that a member writes.
    pub(super) fn rewrite_records(&mut self, n: usize, records: &mut Vec<Vec<u8>>) {
        match self.plan.seeded_bug {
            SeededBug::NoSnapshot => {
                rewrite_memberships(records, |membership, _| (membership, None));
            }
            SeededBug::LosesEveryTenthWrite => {
                let keeps = self.random_below(10) > 0;
                records.retain(|_| keeps);
            }
            SeededBug::PreviousVotersForgotten => {
                rewrite_memberships(records, |mut membership, snapshot| {
                    forget_previous_voters(&mut membership);
                    (membership, snapshot)
                });
            }
            SeededBug::AppliedRequestsNotInSnapshot | SeededBug::DrainsNotInSnapshot => {
                rewrite_memberships(records, |membership, snapshot| {
                    (membership, snapshot.map(|s| self.stripped(s)))
                });
            }
            SeededBug::CommittedAheadOfReplicas => {
                let committed = |r: &Vec<u8>| match protocol::decode_record(r) {
                    Ok(Record::Change { index, .. }) => {
                        vec![
                            r.clone(),
                            protocol::encode_record(&Record::Committed { index }),
                        ]
                    }
                    _ => vec![r.clone()],
                };
                *records = records.iter().flat_map(committed).collect();
            }
            SeededBug::FetchedSnapshotIsOld => {
                let of_view = |r: &Vec<u8>| match protocol::decode_record(r) {
                    Ok(Record::Accepted { snapshot, .. }) => snapshot,
                    _ => None,
                };
                if let Some(snapshot) = records.iter().rev().find_map(of_view) {
                    self.nodes[n].membership_snapshot = Some(snapshot);
                }
            }
            _ => {}
        }
    }

    /// Alters the records that a member finds at its start.
    pub(super) fn corrupt_records_at_start(&mut self, n: usize) {
        let records = &mut self.nodes[n].records;
        match self.plan.seeded_bug {
            SeededBug::ForgetsPromises => {
                let is_promise =
                    |r: &Vec<u8>| matches!(protocol::decode_record(r), Ok(Record::Promised { .. }));
                records.retain(|r| !is_promise(r));
            }
            SeededBug::ReplaySkipsLastChange => {
                let is_change =
                    |r: &Vec<u8>| matches!(protocol::decode_record(r), Ok(Record::Change { .. }));
                if let Some(last) = records.iter().rposition(is_change) {
                    records.remove(last);
                }
            }
            _ => {}
        }
    }

    /// The result code that is answered in place of a member's own.
    pub(super) fn rewrite_result_code(&self, code: ResultCode) -> ResultCode {
        match (self.plan.seeded_bug, code) {
            (SeededBug::UnclearAcknowledged, ResultCode::Unclear) => ResultCode::Ok,
            (SeededBug::UnclearRejected, ResultCode::Unclear) => ResultCode::OtherBase,
            (SeededBug::EarlyProposalRejected, ResultCode::BaseNotInForce) => ResultCode::OtherBase,
            (_, code) => code,
        }
    }

    /// Under [`SeededBug::RestoredAsFresh`] a member answers reads by what it restored until it hears of a lease.
    pub(super) fn observe_input(&mut self, n: usize, input: &Input) {
        let renews = matches!(
            input,
            Input::Message {
                message: Message::RenewLease { .. },
                ..
            }
        );
        if self.plan.seeded_bug == SeededBug::RestoredAsFresh && renews {
            self.nodes[n].last_published = None;
        }
    }
}

/// A replica's confirmation of a change.
fn early_reply(epoch: u64, index: u64) -> Message {
    Message::AppendReply {
        epoch,
        match_index: index,
        accepted: true,
        promised_epoch: epoch,
    }
}

fn forget_previous_voters(membership: &mut MembershipConfig) {
    membership.previous_voters = membership.voters.clone();
}

/// Rewrites the membership configurations among records.
fn rewrite_memberships(
    records: &mut [Vec<u8>],
    rewrite: impl Fn(MembershipConfig, Option<Snapshot>) -> (MembershipConfig, Option<Snapshot>),
) {
    for record in records {
        if let Ok(Record::Accepted {
            membership,
            snapshot,
        }) = protocol::decode_record(record)
        {
            let (membership, snapshot) = rewrite(membership, snapshot);
            *record = protocol::encode_record(&Record::Accepted {
                membership,
                snapshot,
            });
        }
    }
}
