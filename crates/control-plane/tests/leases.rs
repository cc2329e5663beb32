//! A granted lease lasts until its end: neither the voter's own campaign nor a message of another member lets another
//! primary begin while the lease holder may still answer reads. The tests send messages to a single voter.

mod support;

use control_plane::member::{Input, Member, Output};
use protocol::{Addr, MemberInfo, MembershipConfig, Message};
use rstest::rstest;
use std::time::Duration;
use support::{budget, member_config, ms, LEASE};

/// Member ids of the lease holder, the voter under test and the other voter.
const HOLDER: u64 = 1;
const VOTER: u64 = 2;
const OTHER_VOTER: u64 = 3;
/// The epoch of the membership configuration.
const EPOCH: u64 = (1 << 20) | HOLDER;
/// An epoch above it.
const LATER_EPOCH: u64 = (2 << 20) | OTHER_VOTER;

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

/// A witness of a membership configuration whose primary is [`HOLDER`].
struct TestVoter {
    now: Duration,
    member: Member,
}

impl TestVoter {
    fn with_membership() -> Self {
        let config = member_config(member_info(VOTER), None, budget(1, 0, 0));
        let mut voter = Self {
            now: ms(0),
            member: Member::new(config, &[], ms(0), 7),
        };
        let voters: Vec<MemberInfo> = [HOLDER, VOTER, OTHER_VOTER].map(member_info).to_vec();
        let membership = MembershipConfig {
            epoch: EPOCH,
            primary: HOLDER,
            replicas: vec![HOLDER, OTHER_VOTER],
            voters: voters.clone(),
            previous_voters: voters,
        };
        let sent = voter.receive(
            HOLDER,
            Message::InstallMembership {
                membership,
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

    /// Handles one input and returns the messages sent. Writes complete at once.
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

    fn receive(&mut self, from: u64, message: Message) -> Vec<Message> {
        self.now += ms(1);
        self.step(Input::Message {
            from: member_info(from),
            message,
        })
    }

    /// Lets the voter grant a lease to [`HOLDER`].
    fn grant_lease(&mut self) {
        let renewal = Message::RenewLease {
            epoch: EPOCH,
            requested_at_ms: 1,
            commit_index: 0,
            echoed_clock_ms: 0,
        };
        let sent = self.receive(HOLDER, renewal);
        assert!(
            sent.iter()
                .any(|m| matches!(m, Message::LeaseReply { granted: true, .. })),
            "{sent:?}"
        );
    }

    /// Whether the voter would promise an epoch to [`OTHER_VOTER`].
    fn grants_pre_vote(&mut self) -> bool {
        let sent = self.receive(
            OTHER_VOTER,
            Message::PreVote {
                known_epoch: EPOCH,
                accepted_epoch: EPOCH,
            },
        );
        sent.iter()
            .any(|m| matches!(m, Message::PreVoteReply { granted: true, .. }))
    }

    /// Advances the time until the voter requests pre-votes.
    fn run_until_pre_vote(&mut self) {
        for _ in 0..3000 {
            self.now += ms(1);
            let sent = self.step(Input::Tick);
            if sent.iter().any(|m| matches!(m, Message::PreVote { .. })) {
                return;
            }
        }
        panic!("the voter requested no pre-votes within 3 s");
    }
}

/// A candidate whose disk refuses its promise sends such a message. It only says that no lease of the sender binds
/// anybody, and nothing about the leases of others.
#[rstest]
#[case::of_the_holder(HOLDER, EPOCH, true)]
#[case::of_the_holder_as_a_candidate(HOLDER, LATER_EPOCH, true)]
#[case::of_another_member(OTHER_VOTER, LATER_EPOCH, false)]
#[case::of_an_earlier_lease(HOLDER, EPOCH - 1, false)]
fn lease_when_released_by_another_member_then_it_lasts(
    #[case] from: u64,
    #[case] epoch: u64,
    #[case] released: bool,
) {
    let mut voter = TestVoter::with_membership();
    voter.grant_lease();
    assert!(!voter.grants_pre_vote());
    voter.receive(from, Message::ReleaseLease { epoch });
    assert_eq!(voter.grants_pre_vote(), released);
}

/// The holder was unreachable for a lease duration and is heard from again while the voter's pre-vote is in flight.
/// The reply of the other voter, which has meanwhile lost contact to the holder, arrives only after that.
#[test]
fn candidate_when_it_grants_a_lease_then_it_campaigns_no_more() {
    let mut voter = TestVoter::with_membership();
    voter.run_until_pre_vote();
    voter.grant_lease();
    let granted = Message::PreVoteReply {
        granted: true,
        promised_epoch: EPOCH,
        retry_after_ms: 0,
    };
    let sent = voter.receive(OTHER_VOTER, granted);
    assert!(
        !sent.iter().any(|m| matches!(m, Message::Prepare { .. })),
        "{sent:?}"
    );
    assert!(
        voter.member.promised_epoch() == EPOCH,
        "the voter promised epoch {}",
        voter.member.promised_epoch()
    );
    // Once the lease has ended, the voter campaigns again.
    voter.now += LEASE;
    voter.run_until_pre_vote();
    let granted = Message::PreVoteReply {
        granted: true,
        promised_epoch: EPOCH,
        retry_after_ms: 0,
    };
    let sent = voter.receive(OTHER_VOTER, granted);
    assert!(
        sent.iter().any(|m| matches!(m, Message::Prepare { .. })),
        "{sent:?}"
    );
}
