//! Bugs planted round the members, to see whether the search finds them.

use configuration::ResultCode;
use protocol::{LogPosition, MemberInfo, MembershipConfig, Message, Record, Snapshot};

/// A bug planted into disks, the network or what members are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// None.
    Nothing,
    /// A restarted member has forgotten its promises.
    ForgottenPromises,
    /// A wiped member comes back with its old identity.
    OldIdentity,
    /// The new voters alone agree on a view: those that left are taken to have said yes, and to grant leases.
    NewVotersAlone,
    /// Leases are granted in the name of voters that can't be reached.
    UnfoundedLease,
    /// The ledger is taken over as it was at the start of its view, without the changes since.
    ShortLedger,
    /// Views reach replicas with the calls that were taken, but without their digests.
    ForgottenCalls,
    /// A replica's word is given before the change is on its disk.
    EarlyWord,
    /// A restarted member holds what it shows to be fresh.
    FreshAfterStart,
    /// A reader that has lost sight of a member begins anew, with whatever it is told first.
    ForgetfulReader,
    /// A change reaches the other replicas with another content.
    RewrittenChange,
    /// An order that builds on a version above the one in force is refused.
    EarlyRefusal,
}

impl Planted {
    /// All bugs with their names.
    pub const ALL: &'static [(&'static str, Planted)] = &[
        ("none", Planted::Nothing),
        ("forgotten-promises", Planted::ForgottenPromises),
        ("old-identity", Planted::OldIdentity),
        ("new-voters-alone", Planted::NewVotersAlone),
        ("unfounded-lease", Planted::UnfoundedLease),
        ("short-ledger", Planted::ShortLedger),
        ("forgotten-calls", Planted::ForgottenCalls),
        ("early-word", Planted::EarlyWord),
        ("fresh-after-start", Planted::FreshAfterStart),
        ("forgetful-reader", Planted::ForgetfulReader),
        ("rewritten-change", Planted::RewrittenChange),
        ("early-refusal", Planted::EarlyRefusal),
    ];

    /// What a caller is answered.
    pub(super) fn answer(self, code: ResultCode) -> ResultCode {
        match (self, code) {
            (Planted::EarlyRefusal, ResultCode::BaseNotInForce) => ResultCode::OtherBase,
            (_, code) => code,
        }
    }

    /// What a disk gives back at a start.
    pub(super) fn read_back(self, records: &[Vec<u8>]) -> Vec<Vec<u8>> {
        let promise =
            |r: &Vec<u8>| matches!(protocol::decode_record(r), Ok(Record::Promised { .. }));
        let keeps = |r: &&Vec<u8>| self != Planted::ForgottenPromises || !promise(r);
        records.iter().filter(keeps).cloned().collect()
    }

    /// What becomes of a message on its way; `at_start` is the sender's ledger at the start of its view.
    pub(super) fn rewrite(self, message: Message, at_start: Option<&Snapshot>) -> Message {
        match (self, message) {
            (
                Planted::ShortLedger,
                Message::SnapshotReply {
                    epoch,
                    log_position,
                    snapshot,
                },
            ) => {
                let snapshot = at_start.cloned().unwrap_or(snapshot);
                Message::SnapshotReply {
                    epoch,
                    log_position: LogPosition {
                        index: snapshot.index,
                        ..log_position
                    },
                    snapshot,
                }
            }
            (
                Planted::ForgottenCalls,
                Message::InstallMembership {
                    membership,
                    snapshot: Some(snapshot),
                },
            ) => {
                let mut snapshot = snapshot;
                snapshot
                    .applied_requests
                    .iter_mut()
                    .for_each(|call| call.digest = Default::default());
                let snapshot = Some(snapshot);
                Message::InstallMembership {
                    membership,
                    snapshot,
                }
            }
            (
                Planted::RewrittenChange,
                Message::AppendChange {
                    epoch,
                    index,
                    change,
                },
            ) => Message::AppendChange {
                epoch,
                index,
                change: other_content(change),
            },
            (_, message) => message,
        }
    }

    /// What is answered to a message in place of its receiver, in whose name; `view` is the sender's.
    pub(super) fn forged_answers(
        self,
        message: &Message,
        receiver: &MemberInfo,
        reachable: bool,
        view: Option<&MembershipConfig>,
    ) -> Vec<(MemberInfo, Message)> {
        let from_receiver = |message| vec![(receiver.clone(), message)];
        match (self, message) {
            (Planted::NewVotersAlone, Message::InstallMembership { membership, .. }) => {
                let epoch = membership.epoch;
                let left = departed(membership).any(|s| s.id == receiver.id);
                let yes = || {
                    from_receiver(Message::InstallMembershipReply {
                        epoch,
                        accepted: true,
                        promised_epoch: epoch,
                    })
                };
                left.then(yes).unwrap_or_default()
            }
            (
                Planted::NewVotersAlone,
                Message::RenewLease {
                    epoch,
                    requested_at_ms,
                    ..
                },
            ) => {
                let lease = granted(*epoch, *requested_at_ms);
                view.into_iter()
                    .flat_map(departed)
                    .map(|s| (s.clone(), lease.clone()))
                    .collect()
            }
            (
                Planted::UnfoundedLease,
                Message::RenewLease {
                    epoch,
                    requested_at_ms,
                    ..
                },
            ) if !reachable => from_receiver(granted(*epoch, *requested_at_ms)),
            (Planted::EarlyWord, Message::AppendChange { epoch, index, .. }) => {
                from_receiver(Message::AppendReply {
                    epoch: *epoch,
                    match_index: *index,
                    accepted: true,
                    promised_epoch: *epoch,
                })
            }
            _ => Vec::new(),
        }
    }
}

/// Voters of the view before that have no say in this one.
fn departed(view: &MembershipConfig) -> impl Iterator<Item = &MemberInfo> {
    view.previous_voters
        .iter()
        .filter(|s| view.voter(s.id).is_none())
}

fn granted(epoch: u64, stamp: u64) -> Message {
    Message::LeaseReply {
        epoch,
        requested_at_ms: stamp,
        granted: true,
        promised_epoch: epoch,
        disk_healthy: true,
        clock_ms: 0,
    }
}

fn other_content(change: protocol::Change) -> protocol::Change {
    match change {
        protocol::Change::Configure { base, amend, body } => {
            let text = String::from_utf8_lossy(&body).replace("h.example", "x.example");
            protocol::Change::Configure {
                base,
                amend,
                body: text.into_bytes(),
            }
        }
        other => other,
    }
}
