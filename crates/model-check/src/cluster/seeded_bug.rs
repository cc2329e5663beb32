//! Bugs that are put round the members, to show that the search finds them.

use configuration::ResultCode;
use protocol::{LogPosition, MemberInfo, MembershipConfig, Message, Record, Snapshot};

/// A bug in disks, the network or what members are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededBug {
    /// None.
    Nothing,
    /// A restarted member has forgotten its promises.
    ForgottenPromises,
    /// A wiped member comes back with its old identity.
    OldIdentity,
    /// The new voters alone commit a membership: those that left count as having confirmed it and as granting leases.
    NewVotersAlone,
    /// Leases are granted in the name of voters that can't be reached.
    UnfoundedLease,
    /// The state is taken over as it was at the start of the membership, without the changes since.
    StaleSnapshot,
    /// Snapshots reach replicas with the applied requests, but without their digests.
    ForgottenDigests,
    /// A replica confirms a change before it is on its disk.
    EarlyAppendReply,
    /// A restarted member takes its mirror for up to date.
    FreshAfterStart,
    /// A reader that was out of touch for long starts again from the first update that it gets.
    ForgetfulReader,
    /// A change reaches other replicas with another content.
    RewrittenChange,
    /// A request that builds on a version above the one in force is rejected.
    EarlyRejection,
}

impl SeededBug {
    /// All bugs with their names on the command line.
    pub const ALL: &'static [(&'static str, SeededBug)] = &[
        ("none", SeededBug::Nothing),
        ("forgotten-promises", SeededBug::ForgottenPromises),
        ("old-identity", SeededBug::OldIdentity),
        ("new-voters-alone", SeededBug::NewVotersAlone),
        ("unfounded-lease", SeededBug::UnfoundedLease),
        ("short-ledger", SeededBug::StaleSnapshot),
        ("forgotten-calls", SeededBug::ForgottenDigests),
        ("early-word", SeededBug::EarlyAppendReply),
        ("fresh-after-start", SeededBug::FreshAfterStart),
        ("forgetful-reader", SeededBug::ForgetfulReader),
        ("rewritten-change", SeededBug::RewrittenChange),
        ("early-refusal", SeededBug::EarlyRejection),
    ];

    /// What a caller is answered.
    pub(super) fn answer(self, code: ResultCode) -> ResultCode {
        match (self, code) {
            (SeededBug::EarlyRejection, ResultCode::BaseNotInForce) => ResultCode::OtherBase,
            (_, code) => code,
        }
    }

    /// What a disk gives back at a start.
    pub(super) fn read_back(self, records: &[Vec<u8>]) -> Vec<Vec<u8>> {
        let promise =
            |r: &Vec<u8>| matches!(protocol::decode_record(r), Ok(Record::Promised { .. }));
        let keeps = |r: &&Vec<u8>| self != SeededBug::ForgottenPromises || !promise(r);
        records.iter().filter(keeps).cloned().collect()
    }

    /// What becomes of a message on its way; `at_start` is the sender's ledger at the start of its view.
    pub(super) fn rewrite(self, message: Message, at_start: Option<&Snapshot>) -> Message {
        match (self, message) {
            (
                SeededBug::StaleSnapshot,
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
                SeededBug::ForgottenDigests,
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
                SeededBug::RewrittenChange,
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
        membership: Option<&MembershipConfig>,
    ) -> Vec<(MemberInfo, Message)> {
        let from_receiver = |message| vec![(receiver.clone(), message)];
        match (self, message) {
            (SeededBug::NewVotersAlone, Message::InstallMembership { membership, .. }) => {
                let epoch = membership.epoch;
                let remaining = departed(membership).any(|s| s.id == receiver.id);
                let yes = || {
                    from_receiver(Message::InstallMembershipReply {
                        epoch,
                        accepted: true,
                        promised_epoch: epoch,
                    })
                };
                remaining.then(yes).unwrap_or_default()
            }
            (
                SeededBug::NewVotersAlone,
                Message::RenewLease {
                    epoch,
                    requested_at_ms,
                    ..
                },
            ) => {
                let lease = granted(*epoch, *requested_at_ms);
                membership
                    .into_iter()
                    .flat_map(departed)
                    .map(|s| (s.clone(), lease.clone()))
                    .collect()
            }
            (
                SeededBug::UnfoundedLease,
                Message::RenewLease {
                    epoch,
                    requested_at_ms,
                    ..
                },
            ) if !reachable => from_receiver(granted(*epoch, *requested_at_ms)),
            (SeededBug::EarlyAppendReply, Message::AppendChange { epoch, index, .. }) => {
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
fn departed(membership: &MembershipConfig) -> impl Iterator<Item = &MemberInfo> {
    membership
        .previous_voters
        .iter()
        .filter(|s| membership.voter(s.id).is_none())
}

fn granted(epoch: u64, requested_at_ms: u64) -> Message {
    Message::LeaseReply {
        epoch,
        requested_at_ms,
        granted: true,
        promised_epoch: epoch,
        disk_healthy: true,
        clock_ms: 0,
    }
}

fn other_content(change: protocol::Change) -> protocol::Change {
    match change {
        protocol::Change::Configure {
            base_version,
            is_amendment,
            body,
        } => {
            let text = String::from_utf8_lossy(&body).replace("h.example", "x.example");
            protocol::Change::Configure {
                base_version,
                is_amendment,
                body: text.into_bytes(),
            }
        }
        other => other,
    }
}
