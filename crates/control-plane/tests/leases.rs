//! A lease that was granted holds to its end: neither a candidacy of the voter's own nor a word of somebody else lets
//! another primary begin while the holder may still answer reads. One voter, message by message.

mod support;

use control_plane::member::{Input, Member, Output};
use protocol::{Addr, MemberInfo, MembershipConfig, Message};
use rstest::rstest;
use std::time::Duration;
use support::{budget, member_config, ms, LEASE};

/// Identities: who holds the lease, who grants it, and the third voter.
const HOLDER: u64 = 1;
const VOTER: u64 = 2;
const THIRD: u64 = 3;
/// The view's epoch, and one above it.
const EPOCH: u64 = (1 << 20) | HOLDER;
const LATER_EPOCH: u64 = (2 << 20) | THIRD;

fn member_info(id: u64) -> MemberInfo {
    let addr = Addr {
        ip: id as u32,
        port: 7660,
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

/// A witness of a view whose primary is [`HOLDER`].
struct Voter {
    now: Duration,
    member: Member,
}

impl Voter {
    fn started() -> Self {
        let config = member_config(member_info(VOTER), None, budget(1, 0, 0));
        let mut voter = Self {
            now: ms(0),
            member: Member::new(config, &[], ms(0), 7),
        };
        let voters: Vec<MemberInfo> = [HOLDER, VOTER, THIRD].map(member_info).to_vec();
        let view = MembershipConfig {
            epoch: EPOCH,
            primary: HOLDER,
            replicas: vec![HOLDER, THIRD],
            voters: voters.clone(),
            previous_voters: voters,
        };
        let sent = voter.hears(
            HOLDER,
            Message::InstallMembership {
                membership: view,
                snapshot: None,
            },
        );
        assert!(
            matches!(
                sent[..],
                [Message::InstallMembershipReply { accepted: true, .. }]
            ),
            "{sent:?}"
        );
        voter
    }

    /// One input, and the messages that come of it; writes are on disk at once.
    fn step(&mut self, input: Input) -> Vec<Message> {
        let (mut sent, mut inputs) = (Vec::new(), vec![input]);
        while let Some(input) = inputs.pop() {
            let mut out = Vec::new();
            self.member.step(self.now, input, &mut out);
            for output in out {
                match output {
                    Output::Send { message, .. } => sent.push(message),
                    Output::Write { ticket, .. } => inputs.push(Input::WriteCompleted {
                        ticket,
                        result: Ok(()),
                    }),
                    _ => {}
                }
            }
        }
        sent
    }

    fn hears(&mut self, from: u64, message: Message) -> Vec<Message> {
        self.now += ms(1);
        self.step(Input::Message {
            from: member_info(from),
            message,
        })
    }

    /// Grants a lease to its holder.
    fn grants(&mut self) {
        let renewal = Message::RenewLease {
            epoch: EPOCH,
            requested_at_ms: 1,
            commit_index: 0,
            echoed_clock_ms: 0,
        };
        let sent = self.hears(HOLDER, renewal);
        assert!(
            sent.iter()
                .any(|m| matches!(m, Message::LeaseReply { granted: true, .. })),
            "{sent:?}"
        );
    }

    /// Whether it would promise somebody else an epoch.
    fn would_promise(&mut self) -> bool {
        let sent = self.hears(
            THIRD,
            Message::PreVote {
                known_epoch: EPOCH,
                accepted_epoch: EPOCH,
            },
        );
        sent.iter()
            .any(|m| matches!(m, Message::PreVoteReply { granted: true, .. }))
    }

    /// Time passes until it asks the others whether they would promise.
    fn asks_for_pre_votes(&mut self) {
        for _ in 0..3000 {
            self.now += ms(1);
            let sent = self.step(Input::Tick);
            if sent.iter().any(|m| matches!(m, Message::PreVote { .. })) {
                return;
            }
        }
        panic!("it doesn't stand");
    }
}

/// Such a word comes from a candidate whose disk refuses its promise: it says that no lease of its own holds anybody
/// back, and nothing about those of others.
#[rstest]
#[case::of_the_holder(HOLDER, EPOCH, true)]
#[case::of_the_holder_as_a_candidate(HOLDER, LATER_EPOCH, true)]
#[case::of_somebody_else(THIRD, LATER_EPOCH, false)]
#[case::of_an_earlier_lease(HOLDER, EPOCH - 1, false)]
fn lease_when_released_by_another_member_then_it_lasts(
    #[case] from: u64,
    #[case] epoch: u64,
    #[case] released: bool,
) {
    let mut voter = Voter::started();
    voter.grants();
    assert!(!voter.would_promise());
    voter.hears(from, Message::ReleaseLease { epoch });
    assert_eq!(voter.would_promise(), released);
}

/// The holder was out of touch for a lease, is heard again while the voter's question is under way, and only then
/// comes the answer of the third, who has lost touch meanwhile.
#[test]
fn candidate_when_it_grants_a_lease_then_it_campaigns_no_more() {
    let mut voter = Voter::started();
    voter.asks_for_pre_votes();
    voter.grants();
    let willing = Message::PreVoteReply {
        granted: true,
        promised_epoch: EPOCH,
        retry_after_ms: 0,
    };
    let sent = voter.hears(THIRD, willing);
    assert!(
        !sent.iter().any(|m| matches!(m, Message::Prepare { .. })),
        "{sent:?}"
    );
    assert!(
        voter.member.promised_epoch() == EPOCH,
        "it promised itself {}",
        voter.member.promised_epoch()
    );
    // Once the lease has ended it stands again.
    voter.now += LEASE;
    voter.asks_for_pre_votes();
    let willing = Message::PreVoteReply {
        granted: true,
        promised_epoch: EPOCH,
        retry_after_ms: 0,
    };
    let sent = voter.hears(THIRD, willing);
    assert!(
        sent.iter().any(|m| matches!(m, Message::Prepare { .. })),
        "{sent:?}"
    );
}
