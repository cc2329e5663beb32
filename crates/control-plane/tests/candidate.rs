//! A candidate alone, told what it would hear from the others.

mod support;

use control_plane::member::{Input, Member, Output};
use control_plane::replicated_state::ReplicatedState;
use protocol::{Addr, LogPosition, MemberInfo, MembershipConfig, Message};
use std::time::Duration;
use support::{budget, member_config};

const VIEW_EPOCH: u64 = 2 << 20 | 2;

fn member(id: u64) -> MemberInfo {
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

/// Member 1, its clock, and what it sent last.
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

    fn hear(&mut self, from: u64, message: Message) {
        self.input(Input::Message {
            from: member(from),
            message,
        });
    }

    fn prepared(&self) -> Option<u64> {
        self.sent.iter().find_map(|s| match s.1 {
            Message::Prepare { epoch, .. } => Some(epoch),
            _ => None,
        })
    }

    fn promise_of(&mut self, from: u64, epoch: u64) {
        let voters: Vec<MemberInfo> = (1..=3).map(member).collect();
        let view = MembershipConfig {
            epoch: VIEW_EPOCH,
            primary: 2,
            replicas: vec![2, 1, 3],
            previous_voters: voters.clone(),
            voters,
        };
        let tag = Some(LogPosition {
            epoch: VIEW_EPOCH,
            index: 0,
        });
        let promise = Message::Promise {
            epoch,
            granted: true,
            promised_epoch: epoch,
            membership: Some(view),
            log_position: tag,
            retry_after_ms: 0,
        };
        self.hear(from, promise);
    }
}

/// It holds no ledger, and needs all three for the replicas: the third promise comes while it fetches the ledger.
#[test]
fn promise_when_it_arrives_during_the_fetch_then_it_counts() {
    let config = member_config(
        member(1),
        Some((1..=3).map(member).collect()),
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
    candidate.hear(
        2,
        Message::PreVoteReply {
            granted: true,
            promised_epoch: 0,
            retry_after_ms: 0,
        },
    );
    let epoch = candidate.prepared().expect("it asks for promises");
    candidate.promise_of(2, epoch);
    assert!(
        candidate
            .sent
            .contains(&(2, Message::FetchSnapshot { epoch })),
        "{:?}",
        candidate.sent
    );
    candidate.promise_of(3, epoch);
    let tag = LogPosition {
        epoch: VIEW_EPOCH,
        index: 0,
    };
    candidate.hear(
        2,
        Message::SnapshotReply {
            epoch,
            log_position: tag,
            snapshot: ReplicatedState::default().snapshot(),
        },
    );
    let told = |id| {
        candidate
            .sent
            .iter()
            .any(|s| s.0 == id && matches!(s.1, Message::InstallMembership { .. }))
    };
    assert!(told(2) && told(3), "{:?}", candidate.sent);
}
