//! A single candidate; the test supplies the messages of the other members.

mod support;

use control_plane::member::{Input, Member, Output};
use control_plane::replicated_state::ReplicatedState;
use protocol::{Addr, LogPosition, MemberInfo, MembershipConfig, Message};
use std::time::Duration;
use support::{budget, member_config};

/// Epoch of the membership configuration that the other members know.
const MEMBERSHIP_EPOCH: u64 = 2 << 20 | 2;

fn member_info(id: u64) -> MemberInfo {
    let addr = Addr {
        ip: id as u32,
        port: 7,
    };
    MemberInfo {
        id,
        name: format!("core-{id}"),
        addr,
        control_addr: addr,
        zone: format!("z{id}"),
        region: "r".into(),
    }
}

/// Member 1, its clock and all messages that it sent, with their receivers.
struct Candidate {
    member: Member,
    now: Duration,
    sent: Vec<(u64, Message)>,
}

impl Candidate {
    fn input(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut outputs = Vec::new();
            self.member.step(self.now, input, &mut outputs);
            for output in outputs {
                match output {
                    Output::Send { to, message } => self.sent.push((to.id, message)),
                    Output::Write { ticket, .. } => inputs.push(Input::WriteCompleted {
                        ticket,
                        result: Ok(()),
                    }),
                    _ => {}
                }
            }
        }
    }

    fn receive(&mut self, from: u64, message: Message) {
        self.input(Input::Message {
            from: member_info(from),
            message,
        });
    }

    fn prepared_epoch(&self) -> Option<u64> {
        self.sent.iter().find_map(|s| match s.1 {
            Message::Prepare { epoch, .. } => Some(epoch),
            _ => None,
        })
    }

    fn receive_promise(&mut self, from: u64, epoch: u64) {
        let voters: Vec<MemberInfo> = (1..=3).map(member_info).collect();
        let membership = MembershipConfig {
            epoch: MEMBERSHIP_EPOCH,
            primary: 2,
            replicas: vec![2, 1, 3],
            previous_voters: voters.clone(),
            voters,
        };
        let log_position = Some(LogPosition {
            epoch: MEMBERSHIP_EPOCH,
            index: 0,
        });
        let promise = Message::Promise {
            epoch,
            granted: true,
            promised_epoch: epoch,
            membership: Some(membership),
            log_position,
            retry_after_ms: 0,
        };
        self.receive(from, promise);
    }
}

/// A candidate without the state needs the promises of all three members. The third promise arrives while the candidate
/// fetches a snapshot from the second member, and must not be lost.
#[test]
fn promise_received_during_snapshot_fetch_is_counted() {
    let config = member_config(
        member_info(1),
        Some((1..=3).map(member_info).collect()),
        budget(2, 0, 0),
    );
    let now = Duration::from_secs(1);
    let mut candidate = Candidate {
        member: Member::new(config, &[], now, 1),
        now,
        sent: Vec::new(),
    };
    candidate.now += Duration::from_secs(2);
    candidate.input(Input::Tick);
    candidate.receive(
        2,
        Message::PreVoteReply {
            granted: true,
            promised_epoch: 0,
            retry_after_ms: 0,
        },
    );
    let epoch = candidate
        .prepared_epoch()
        .expect("the candidate asks for promises");
    candidate.receive_promise(2, epoch);
    assert!(
        candidate
            .sent
            .contains(&(2, Message::FetchSnapshot { epoch })),
        "{:?}",
        candidate.sent
    );
    candidate.receive_promise(3, epoch);
    let log_position = LogPosition {
        epoch: MEMBERSHIP_EPOCH,
        index: 0,
    };
    candidate.receive(
        2,
        Message::SnapshotReply {
            epoch,
            log_position,
            snapshot: ReplicatedState::default().snapshot(),
        },
    );
    let has_installed_membership = |id| {
        candidate
            .sent
            .iter()
            .any(|s| s.0 == id && matches!(s.1, Message::InstallMembership { .. }))
    };
    assert!(
        has_installed_membership(2) && has_installed_membership(3),
        "{:?}",
        candidate.sent
    );
}
