//! Planted bugs: what is sent, written and answered is rewritten, so that the checkers have something to find.

use super::World;
use crate::planted::Planted;
use configuration::ResultCode;
use control_plane::member::Input;
use protocol::{MembershipConfig, Message, Record, Snapshot};

impl World<'_> {
    /// A message as the bug has it sent; none where it is held back.
    pub(super) fn planted_send(
        &mut self,
        n: usize,
        to: usize,
        message: Message,
    ) -> Option<Message> {
        match (self.plan.planted, message) {
            (
                Planted::VotersBeforeForgotten,
                Message::InstallMembership {
                    mut membership,
                    snapshot,
                },
            ) => {
                forget_before(&mut membership);
                Some(Message::InstallMembership {
                    membership,
                    snapshot,
                })
            }
            (Planted::TakenCallsNotInSnapshot | Planted::DrainsNotInSnapshot, message) => {
                Some(self.without_parts(message))
            }
            (Planted::GrantedLeaseForgotten, message @ Message::RenewLease { epoch, .. }) => {
                let life = self.nodes[n].life;
                let release = Box::new(Message::ReleaseLease { epoch });
                let deliver = super::What::Deliver {
                    from: n,
                    life,
                    message: release,
                };
                self.at(self.now + super::ms(3), to, deliver);
                Some(message)
            }
            (
                Planted::FetchedLedgerIsOld,
                Message::SnapshotReply {
                    epoch,
                    log_position,
                    snapshot,
                },
            ) => {
                let old = self.nodes[n].view_ledger.clone();
                Some(Message::SnapshotReply {
                    epoch,
                    log_position,
                    snapshot: old.unwrap_or(snapshot),
                })
            }
            (
                Planted::AnswersMixedUp,
                Message::CommandResult {
                    request_id,
                    code,
                    body,
                },
            ) => {
                let id = if self.pick(10) == 0 {
                    request_id + 1
                } else {
                    request_id
                };
                Some(Message::CommandResult {
                    request_id: id,
                    code,
                    body,
                })
            }
            (
                Planted::ReplicaConfirmsEarly,
                Message::AppendChange {
                    epoch,
                    index,
                    change,
                },
            ) => {
                let life = self.nodes[to].life;
                let reply = Message::AppendReply {
                    epoch,
                    match_index: index,
                    accepted: true,
                    promised_epoch: epoch,
                };
                let way = super::ms(1);
                let deliver = super::What::Deliver {
                    from: to,
                    life,
                    message: Box::new(reply),
                };
                if self.nodes[to].member.is_some() && !self.cut.contains_key(&(n, to)) {
                    self.at(self.now + way, n, deliver);
                }
                Some(Message::AppendChange {
                    epoch,
                    index,
                    change,
                })
            }
            (
                Planted::CountedBeforeLedger,
                Message::InstallMembership {
                    membership,
                    snapshot: Some(snapshot),
                },
            ) => {
                let (epoch, life) = (membership.epoch, self.nodes[to].life);
                let reply = Message::InstallMembershipReply {
                    epoch,
                    accepted: true,
                    promised_epoch: epoch,
                };
                let deliver = super::What::Deliver {
                    from: to,
                    life,
                    message: Box::new(reply),
                };
                if self.nodes[to].member.is_some() && !self.cut.contains_key(&(n, to)) {
                    self.at(self.now + super::ms(1), n, deliver);
                }
                let life = self.nodes[n].life;
                let message = Box::new(Message::InstallMembership {
                    membership,
                    snapshot: Some(snapshot),
                });
                self.at(
                    self.now + super::ms(300),
                    to,
                    super::What::Deliver {
                        from: n,
                        life,
                        message,
                    },
                );
                None
            }
            (_, message) => Some(message),
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
        match self.plan.planted {
            Planted::TakenCallsNotInSnapshot => snapshot.applied_requests.clear(),
            Planted::DrainsNotInSnapshot => snapshot.drains.clear(),
            _ => {}
        }
        snapshot
    }

    /// Records as the bug has them written.
    pub(super) fn planted_write(&mut self, n: usize, records: &mut Vec<Vec<u8>>) {
        match self.plan.planted {
            Planted::NoSnapshot => records.iter_mut().for_each(|r| {
                if let Ok(Record::Accepted { membership, .. }) = protocol::decode_record(r) {
                    *r = protocol::encode_record(&Record::Accepted {
                        membership,
                        snapshot: None,
                    });
                }
            }),
            Planted::LosesEveryTenthWrite => {
                let keeps = self.pick(10) > 0;
                records.retain(|_| keeps);
            }
            Planted::VotersBeforeForgotten => records.iter_mut().for_each(|r| {
                if let Ok(Record::Accepted {
                    mut membership,
                    snapshot,
                }) = protocol::decode_record(r)
                {
                    forget_before(&mut membership);
                    *r = protocol::encode_record(&Record::Accepted {
                        membership,
                        snapshot,
                    });
                }
            }),
            Planted::TakenCallsNotInSnapshot | Planted::DrainsNotInSnapshot => {
                for record in records {
                    if let Ok(Record::Accepted {
                        membership,
                        snapshot,
                    }) = protocol::decode_record(record)
                    {
                        let snapshot = snapshot.map(|s| self.stripped(s));
                        *record = protocol::encode_record(&Record::Accepted {
                            membership,
                            snapshot,
                        });
                    }
                }
            }
            Planted::CommittedAheadOfReplicas => {
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
            Planted::FetchedLedgerIsOld => {
                let of_view = |r: &Vec<u8>| match protocol::decode_record(r) {
                    Ok(Record::Accepted { snapshot, .. }) => snapshot,
                    _ => None,
                };
                if let Some(snapshot) = records.iter().rev().find_map(of_view) {
                    self.nodes[n].view_ledger = Some(snapshot);
                }
            }
            _ => {}
        }
    }

    /// An answer as the bug has it.
    pub(super) fn planted_answer(&self, code: ResultCode) -> ResultCode {
        match (self.plan.planted, code) {
            (Planted::TimeoutConfirmed, ResultCode::Unclear) => ResultCode::Ok,
            (Planted::TimeoutRefused, ResultCode::Unclear) => ResultCode::OtherBase,
            (Planted::EarlyRefused, ResultCode::BaseNotInForce) => ResultCode::OtherBase,
            (_, code) => code,
        }
    }

    /// A member that hears of a lease no longer answers by what it knew at its start.
    pub(super) fn planted_input(&mut self, n: usize, input: &Input) {
        let renews = matches!(
            input,
            Input::Message {
                message: Message::RenewLease { .. },
                ..
            }
        );
        if self.plan.planted == Planted::RestoredAsFresh && renews {
            self.nodes[n].shown = None;
        }
    }
}

fn forget_before(view: &mut MembershipConfig) {
    view.previous_voters = view.voters.clone();
}
