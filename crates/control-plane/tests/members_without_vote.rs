//! A member without a vote learns who is primary from others alone. It forwards commands while that member is reachable,
//! and sends its callers elsewhere once it isn't.

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

/// A member that no view names, and what it answered.
struct Mirroring {
    now: Duration,
    member: Member,
    forwarded: usize,
    answers: Vec<(u64, Duration, ResultCode)>,
}

impl Mirroring {
    fn told_of(primary: u64) -> Self {
        let config = member_config(member_info(9), None, budget(1, 0, 0));
        let member = Member::new(config, &[], ms(0), 7);
        let mut mirroring = Self {
            now: ms(0),
            member,
            forwarded: 0,
            answers: vec![],
        };
        mirroring.member.learn_primary(EPOCH, member_info(primary));
        mirroring
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

    /// Time passes; its link to the primary says every second that it is up, or nothing.
    fn run(&mut self, long: Duration, linked_to: Option<u64>) {
        let end = self.now + long;
        while self.now < end {
            self.now += ms(1);
            let reports = (self.now.as_millis() as u64).is_multiple_of(1000);
            match linked_to.filter(|_| reports) {
                Some(primary) => self.step(Input::PeerReachable {
                    member: member_info(primary),
                }),
                None => self.step(Input::Tick),
            }
        }
    }

    /// How long a call took and what it came to, where its primary answers nothing.
    fn call(&mut self, ticket: u64, linked_to: Option<u64>) -> (Duration, ResultCode) {
        let since = self.now;
        self.step(Input::Command {
            ticket,
            command: READ,
        });
        self.run(ms(4000), linked_to);
        let answer = self
            .answers
            .iter()
            .find(|answer| answer.0 == ticket)
            .expect("an answer");
        (answer.1 - since, answer.2)
    }
}

#[test]
fn command_when_the_primary_is_known_from_others_then_forwarded_to_it() {
    let mut mirroring = Mirroring::told_of(1);
    let (took, code) = mirroring.call(1, Some(1));
    assert!(mirroring.forwarded > 0);
    assert_eq!((took, code), (ms(3500), ResultCode::Unclear));
}

/// Whom it was told of and has never heard of itself, it may be about to reach.
#[test]
fn command_when_the_primary_was_never_heard_of_then_forwarded_to_it() {
    let mut mirroring = Mirroring::told_of(1);
    mirroring.step(Input::Command {
        ticket: 1,
        command: READ,
    });
    assert_eq!(mirroring.forwarded, 1);
}

/// Five and twenty seconds after it lost touch callers are told within 0.25 s that no primary has their call; once it
/// is in touch again their calls are handed on.
#[rstest]
fn member_when_the_primary_is_silent_then_it_counts_as_unreachable(#[values(5, 20)] seconds: u64) {
    let mut mirroring = Mirroring::told_of(1);
    mirroring.run(ms(3000), Some(1));
    mirroring.run(ms(seconds * 1000), None);
    let (took, code) = mirroring.call(1, None);
    assert!(
        took <= ms(250) && code == ResultCode::NoPrimary,
        "{code:?} after {took:?}"
    );
    assert_eq!(mirroring.forwarded, 0);
    mirroring.run(ms(1000), Some(1));
    mirroring.step(Input::Command {
        ticket: 2,
        command: READ,
    });
    assert_eq!(mirroring.forwarded, 1);
}
