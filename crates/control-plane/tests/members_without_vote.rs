//! A member without a vote learns the primary from other members only. It forwards commands while the primary is
//! reachable, and rejects them otherwise, so that its callers turn to another member.

mod support;

use configuration::ResultCode;
use control_plane::member::{Input, Member, Output};
use protocol::{Addr, Command, MemberInfo, Message};
use rstest::rstest;
use std::time::Duration;
use support::{budget, member_config, ms};

const READ: Command = Command::Read { reserved: 0 };
const EPOCH: u64 = 1 << 20;

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
        zone: "z".into(),
        region: "r".into(),
    }
}

/// A member that no membership configuration lists, with its answers.
struct TestNonVoter {
    now: Duration,
    member: Member,
    forwarded: usize,
    answers: Vec<(u64, Duration, ResultCode)>,
}

impl TestNonVoter {
    fn with_primary(primary: u64) -> Self {
        let config = member_config(member_info(9), None, budget(1, 0, 0));
        let member = Member::new(config, &[], ms(0), 7);
        let mut non_voter = Self {
            now: ms(0),
            member,
            forwarded: 0,
            answers: vec![],
        };
        non_voter.member.learn_primary(EPOCH, member_info(primary));
        non_voter
    }

    fn step(&mut self, input: Input) {
        let mut out = Vec::new();
        self.member.step(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Send {
                    message: Message::ForwardCommand { .. },
                    ..
                } => self.forwarded += 1,
                Output::Answer { ticket, code, .. } => self.answers.push((ticket, self.now, code)),
                _ => {}
            }
        }
    }

    /// Advances the time. While the member is connected to a primary, the connection reports once per second that it
    /// is up.
    fn run(&mut self, duration: Duration, connected_to: Option<u64>) {
        let end = self.now + duration;
        while self.now < end {
            self.now += ms(1);
            let is_report_due = (self.now.as_millis() as u64).is_multiple_of(1000);
            match connected_to.filter(|_| is_report_due) {
                Some(primary) => self.step(Input::PeerReachable {
                    member: member_info(primary),
                }),
                None => self.step(Input::Tick),
            }
        }
    }

    /// Sends a command whose primary never answers. Returns the time until the answer and its result code.
    fn call(&mut self, ticket: u64, connected_to: Option<u64>) -> (Duration, ResultCode) {
        let since = self.now;
        self.step(Input::Command {
            ticket,
            command: READ,
        });
        self.run(ms(4000), connected_to);
        let answer = self
            .answers
            .iter()
            .find(|answer| answer.0 == ticket)
            .expect("the command was answered");
        (answer.1 - since, answer.2)
    }
}

#[test]
fn command_when_the_primary_is_known_from_others_then_forwarded_to_it() {
    let mut non_voter = TestNonVoter::with_primary(1);
    let (took, code) = non_voter.call(1, Some(1));
    assert!(non_voter.forwarded > 0);
    assert_eq!((took, code), (ms(3500), ResultCode::Unclear));
}

/// A primary that was reported but never heard from may be about to be reached.
#[test]
fn command_when_the_primary_was_never_heard_of_then_forwarded_to_it() {
    let mut non_voter = TestNonVoter::with_primary(1);
    non_voter.step(Input::Command {
        ticket: 1,
        command: READ,
    });
    assert_eq!(non_voter.forwarded, 1);
}

/// After the connection has been lost for 5 s or 20 s, clients learn within 250 ms that no primary has received their
/// command. Once it is connected again, commands are forwarded.
#[rstest]
fn member_when_the_primary_is_silent_then_it_counts_as_unreachable(#[values(5, 20)] seconds: u64) {
    let mut non_voter = TestNonVoter::with_primary(1);
    non_voter.run(ms(3000), Some(1));
    non_voter.run(ms(seconds * 1000), None);
    let (took, code) = non_voter.call(1, None);
    assert!(
        took <= ms(250) && code == ResultCode::NoPrimary,
        "{code:?} after {took:?}"
    );
    assert_eq!(non_voter.forwarded, 0);
    non_voter.run(ms(1000), Some(1));
    non_voter.step(Input::Command {
        ticket: 2,
        command: READ,
    });
    assert_eq!(non_voter.forwarded, 1);
}
