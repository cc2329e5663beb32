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
                Message::InstallMembership { mut view, snapshot },
            ) => {
                forget_previous_voters(&mut view);
                Some(Message::InstallMembership { view, snapshot })
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
            (SeededBug::AnswersMixedUp, Message::CommandResult { id, code, text }) => {
                let id = if self.random_below(10) == 0 {
                    id + 1
                } else {
                    id
                };
                Some(Message::CommandResult { id, code, text })
            }
            (SeededBug::ReplicaConfirmsEarly, Message::AppendChange { epoch, seq, change }) => {
                let reply = Message::AppendReply {
                    epoch,
                    seq,
                    ok: true,
                    seen: epoch,
                };
                self.forge_reply(n, to, reply);
                Some(Message::AppendChange { epoch, seq, change })
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

    /// Sends a membership with its snapshot late, and confirms it in the receiver's name at once.
    fn install_late(&mut self, n: usize, to: usize, message: Message) {
        if let Message::InstallMembership { view, .. } = &message {
            let reply = Message::InstallMembershipReply {
                epoch: view.epoch,
                ok: true,
                seen: view.epoch,
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
            (Message::SnapshotReply { epoch, tag, .. }, Some(snapshot)) => Message::SnapshotReply {
                epoch,
                tag,
                snapshot,
            },
            (message, _) => message,
        }
    }

    fn without_parts(&self, message: Message) -> Message {
        match message {
            Message::InstallMembership { view, snapshot } => Message::InstallMembership {
                view,
                snapshot: snapshot.map(|s| self.stripped(s)),
            },
            Message::SnapshotReply {
                epoch,
                tag,
                snapshot,
            } => Message::SnapshotReply {
                epoch,
                tag,
                snapshot: self.stripped(snapshot),
            },
            other => other,
        }
    }

    fn stripped(&self, mut snapshot: Snapshot) -> Snapshot {
        match self.plan.seeded_bug {
            SeededBug::AppliedRequestsNotInSnapshot => snapshot.taken.clear(),
            SeededBug::DrainsNotInSnapshot => snapshot.drains.clear(),
            _ => {}
        }
        snapshot
    }

    /// Alters the records that a member writes.
    pub(super) fn rewrite_records(&mut self, n: usize, records: &mut Vec<Vec<u8>>) {
        match self.plan.seeded_bug {
            SeededBug::NoSnapshot => {
                rewrite_memberships(records, |view, _| (view, None));
            }
            SeededBug::LosesEveryTenthWrite => {
                let keeps = self.random_below(10) > 0;
                records.retain(|_| keeps);
            }
            SeededBug::PreviousVotersForgotten => {
                rewrite_memberships(records, |mut view, snapshot| {
                    forget_previous_voters(&mut view);
                    (view, snapshot)
                });
            }
            SeededBug::AppliedRequestsNotInSnapshot | SeededBug::DrainsNotInSnapshot => {
                rewrite_memberships(records, |view, snapshot| {
                    (view, snapshot.map(|s| self.stripped(s)))
                });
            }
            SeededBug::CommittedAheadOfReplicas => {
                let committed = |r: &Vec<u8>| match protocol::read_one(r) {
                    Ok(Record::Change { seq, .. }) => {
                        vec![r.clone(), protocol::write_one(&Record::Committed { seq })]
                    }
                    _ => vec![r.clone()],
                };
                *records = records.iter().flat_map(committed).collect();
            }
            SeededBug::FetchedSnapshotIsOld => {
                let of_view = |r: &Vec<u8>| match protocol::read_one(r) {
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
                    |r: &Vec<u8>| matches!(protocol::read_one(r), Ok(Record::Promised { .. }));
                records.retain(|r| !is_promise(r));
            }
            SeededBug::ReplaySkipsLastChange => {
                let is_change =
                    |r: &Vec<u8>| matches!(protocol::read_one(r), Ok(Record::Change { .. }));
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

fn forget_previous_voters(view: &mut MembershipConfig) {
    view.before = view.voters.clone();
}

/// Rewrites the membership configurations among records.
fn rewrite_memberships(
    records: &mut [Vec<u8>],
    rewrite: impl Fn(MembershipConfig, Option<Snapshot>) -> (MembershipConfig, Option<Snapshot>),
) {
    for record in records {
        if let Ok(Record::Accepted { view, snapshot }) = protocol::read_one(record) {
            let (view, snapshot) = rewrite(view, snapshot);
            *record = protocol::write_one(&Record::Accepted { view, snapshot });
        }
    }
}
