//! Hundreds of changes: what the file comes to, what a member that starts again makes of it, and what it does where
//! its records can't be relied on.
#![allow(
    clippy::too_many_lines,
    reason = "long scenarios, to be split: docs/ROADMAP.md"
)]

mod support;

use configuration::{FaultBudget, ResultCode};
use control_plane::member::{DiskError, Input, Member, MemberConfig, Output, ReplayError};
use control_plane::replicated_state::{Plan, ReplicatedState, MAX_CONFIGURATION_BYTES};
use protocol::{AppliedRequest, Change, Command, MemberInfo, MembershipConfig, Message, Record};
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use support::{member_config, LEASE};

/// Changes between two words of the primary.
const RENEWED_EACH: u64 = 5;
const ME: u64 = 2;
const PRIMARY: u64 = 1;
const EPOCH: u64 = 1 << 20;

/// A configuration with so many routes.
fn body(version: u64, routes: usize) -> Vec<u8> {
    let route = |n: usize| {
        format!(
            r#"{{"name":"r-{n}","hostname":"h{n}.example","path_prefix":"/p{n}/","route_class":"pure","deadline_ms":4000,"service":"s","max_tries":2,"note":"{version}"}}"#
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"s"}}]}}"#,
        routes.join(",")
    )
    .into_bytes()
}

fn change(version: u64, routes: usize) -> Change {
    Change::Configure {
        base_version: version - 1,
        is_amendment: false,
        body: body(version, routes),
    }
}

fn member_info(id: u64) -> MemberInfo {
    let addr = protocol::Addr {
        ip: id as u32,
        port: 1,
    };
    MemberInfo {
        id,
        name: format!("core-{id}"),
        addr,
        zone: "z".into(),
        ..MemberInfo::default()
    }
}

fn config(me: u64, bootstrap_voters: Option<Vec<MemberInfo>>) -> MemberConfig {
    member_config(member_info(me), bootstrap_voters, FaultBudget::default())
}

fn view() -> MembershipConfig {
    let voters = vec![member_info(PRIMARY), member_info(ME)];
    let previous_voters = voters.clone();
    MembershipConfig {
        epoch: EPOCH,
        primary: PRIMARY,
        replicas: vec![PRIMARY, ME],
        voters,
        previous_voters,
    }
}

/// A member with a disk that can refuse rewrites.
struct Machine {
    member: Member,
    now: Duration,
    disk: Vec<Vec<u8>>,
    longest: usize,
    rewrites: usize,
    refuses_rewrites: bool,
    refuses_all: bool,
    /// Whether each rewritten file is compared with the one before.
    compares: bool,
    outputs: Vec<Output>,
}

/// What a new life makes of records: the change it shows as acknowledged, and how far its ledger goes.
fn state_of(disk: &[Vec<u8>], now: Duration) -> (Option<u64>, Option<(u64, u64)>) {
    let mut again = Machine::start(config(ME, None), disk.to_vec(), now);
    assert!(again.member.replay_error().is_none());
    again.step(Input::Tick);
    let shown = restored(&again.take_outputs());
    again.now += 2 * LEASE;
    again.hear(Message::Prepare {
        epoch: 9 << 20,
        candidate: member_info(PRIMARY),
    });
    let tag = again.take_outputs().iter().find_map(|o| match o {
        Output::Send {
            message:
                Message::Promise {
                    granted: true,
                    log_position,
                    ..
                },
            ..
        } => Some(*log_position),
        _ => None,
    });
    (shown, tag.expect("it promises").map(|t| (t.epoch, t.index)))
}

impl Machine {
    fn start(config: MemberConfig, disk: Vec<Vec<u8>>, now: Duration) -> Self {
        let member = Member::new(config, &disk, now, 7);
        let (longest, rewrites, refuses_rewrites, refuses_all, compares) = Default::default();
        let outputs = vec![];
        Self {
            member,
            now,
            disk,
            longest,
            rewrites,
            refuses_rewrites,
            refuses_all,
            compares,
            outputs,
        }
    }

    fn bytes(&self) -> usize {
        self.disk.iter().map(Vec::len).sum()
    }

    /// Takes an input and does at once what the member asks of its disk.
    fn step(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut out = Vec::new();
            self.member.step(self.now, input, &mut out);
            for output in out {
                match output {
                    Output::Write { ticket, .. } if self.refuses_all => {
                        inputs.push(Input::WriteCompleted {
                            ticket,
                            result: Err(DiskError::Full),
                        });
                    }
                    Output::Write {
                        ticket,
                        rewrite: true,
                        ..
                    } if self.refuses_rewrites => {
                        self.rewrites += 1;
                        inputs.push(Input::WriteCompleted {
                            ticket,
                            result: Err(DiskError::Full),
                        });
                    }
                    Output::Write {
                        ticket,
                        records,
                        rewrite,
                    } => {
                        if rewrite {
                            if self.compares {
                                let (old, new) =
                                    (state_of(&self.disk, self.now), state_of(&records, self.now));
                                assert_eq!(
                                    old, new,
                                    "a loss in the middle of a rewrite leaves either"
                                );
                            }
                            self.disk.clear();
                            self.rewrites += 1;
                        }
                        self.disk.extend(records);
                        self.longest = self.longest.max(self.bytes());
                        inputs.push(Input::WriteCompleted {
                            ticket,
                            result: Ok(()),
                        });
                    }
                    output => self.outputs.push(output),
                }
            }
        }
    }

    fn hear(&mut self, message: Message) {
        self.step(Input::Message {
            from: member_info(PRIMARY),
            message,
        });
    }

    /// Lets time pass until the member is the acting primary.
    fn until_it_acts(&mut self) {
        while !self.member.is_acting_primary() {
            self.now += Duration::from_millis(20);
            self.step(Input::Tick);
            assert!(self.now < Duration::from_secs(600), "it stands before long");
        }
    }

    fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }
}

/// A replica that has accepted the primary's view.
fn replica() -> Machine {
    let mut machine = Machine::start(config(ME, None), vec![], Duration::ZERO);
    let snapshot = Some(ReplicatedState::default().snapshot());
    machine.hear(Message::InstallMembership {
        membership: view(),
        snapshot,
    });
    machine
}

fn restored(outputs: &[Output]) -> Option<u64> {
    outputs.iter().find_map(|o| match o {
        Output::RestoreState { index, .. } => Some(*index),
        _ => None,
    })
}

/// Changes come without a pause, and at no moment is all that the replica holds known to be acknowledged.
#[rstest]
#[case::small(2_000, 10, 1)]
#[case::hundreds_of_routes(600, 600, 1)]
#[case::eight_under_way(600, 600, 8)]
fn file_when_changes_keep_coming_then_it_is_rewritten(
    #[case] changes: u64,
    #[case] routes: usize,
    #[case] under_way: u64,
) {
    let mut machine = replica();
    for index in 1..=changes {
        machine.now += Duration::from_millis(20);
        machine.hear(Message::AppendChange {
            epoch: EPOCH,
            index,
            change: change(index, routes),
        });
        if index % RENEWED_EACH == 0 {
            let (stamp, committed) = (
                machine.now.as_millis() as u64,
                index.saturating_sub(under_way),
            );
            machine.hear(Message::RenewLease {
                epoch: EPOCH,
                requested_at_ms: stamp,
                commit_index: committed,
                echoed_clock_ms: 0,
            });
        }
    }
    // Four times a ledger, twice the changes that may be open, and what one write adds.
    let orders = changes as usize * std::mem::size_of::<AppliedRequest>();
    let ledger = body(changes, routes).len() + orders + 4096;
    let most = 4 * ledger
        + (2 * (under_way + RENEWED_EACH) + 1) as usize * (body(changes, routes).len() + 4096);
    let most = most.max(300 << 10);
    assert!(machine.rewrites > 0, "the file was never rewritten");
    assert!(
        machine.longest <= most,
        "{} of {most} bytes",
        machine.longest
    );

    // A new life has all that was confirmed, and shows what was known to be acknowledged.
    assert_eq!(
        state_of(&machine.disk, machine.now),
        (Some(changes - under_way), Some((EPOCH, changes)))
    );
}

/// A restart at any moment of a long row of changes: the ledger shown is one that was acknowledged and never an
/// older one than an earlier life showed; the ledger held has all that the replica confirmed.
#[test]
fn member_when_restarted_after_any_change_then_nothing_is_lost() {
    let mut machine = replica();
    machine.compares = true;
    let mut shown = 0;
    for index in 1..=300_u64 {
        machine.now += Duration::from_millis(50);
        machine.hear(Message::AppendChange {
            epoch: EPOCH,
            index,
            change: change(index, 300),
        });
        let confirmed = machine.take_outputs().iter().any(|o| {
            matches!(o, Output::Send { message: Message::AppendReply { match_index: s, accepted: true, .. }, .. } if *s == index)
        });
        assert!(confirmed, "change {index}");
        if index % 3 == 0 {
            let stamp = machine.now.as_millis() as u64;
            machine.hear(Message::RenewLease {
                epoch: EPOCH,
                requested_at_ms: stamp,
                commit_index: index - 1,
                echoed_clock_ms: 0,
            });
        }
        let mut again = Machine::start(config(ME, None), machine.disk.clone(), machine.now);
        assert!(again.member.replay_error().is_none(), "after {index}");
        again.step(Input::Tick);
        let now = restored(&again.take_outputs()).unwrap_or_default();
        assert!(
            now >= shown && now < index,
            "{now} after {shown} at {index}"
        );
        shown = now;
        // Whoever starts again goes on as the one it was.
        machine.member = again.member;
        machine.outputs.clear();
    }
    assert_eq!(shown, 299);
    assert!(machine.rewrites > 5, "{} rewrites", machine.rewrites);
}

/// A full disk refuses every write: the replica says so to the primary, and says when there is room again.
#[test]
fn replica_when_its_disk_has_room_again_then_it_is_healthy() {
    let mut machine = replica();
    machine.refuses_all = true;
    machine.hear(Message::AppendChange {
        epoch: EPOCH,
        index: 1,
        change: change(1, 10),
    });
    let says = |machine: &mut Machine| {
        machine.hear(Message::RenewLease {
            epoch: EPOCH,
            requested_at_ms: 1,
            commit_index: 0,
            echoed_clock_ms: 0,
        });
        let outputs = machine.take_outputs();
        let fit = outputs.iter().rev().find_map(|o| match o {
            Output::Send {
                message: Message::LeaseReply { disk_healthy, .. },
                ..
            } => Some(*disk_healthy),
            _ => None,
        });
        fit.expect("it answers")
    };
    let refused = machine.take_outputs().iter().any(|o| {
        matches!(
            o,
            Output::Send {
                message: Message::AppendReply {
                    accepted: false,
                    ..
                },
                ..
            }
        )
    });
    assert!(refused);
    for _ in 0..20 {
        machine.now += Duration::from_millis(200);
        machine.step(Input::Tick);
        assert!(!says(&mut machine));
    }
    machine.refuses_all = false;
    machine.now += Duration::from_millis(400);
    machine.step(Input::Tick);
    assert!(says(&mut machine));
    machine.hear(Message::AppendChange {
        epoch: EPOCH,
        index: 1,
        change: change(1, 10),
    });
    let taken = machine.take_outputs().iter().any(|o| {
        matches!(
            o,
            Output::Send {
                message: Message::AppendReply {
                    accepted: true,
                    match_index: 1,
                    ..
                },
                ..
            }
        )
    });
    assert!(taken);
    assert_eq!(
        state_of(&machine.disk, machine.now),
        (None, Some((EPOCH, 1)))
    );
}

/// A rewrite needs room for a second file. Where that is refused and appends are not, the primary goes on.
#[test]
fn rewrite_when_refused_then_changes_go_on() {
    let mut machine = Machine::start(
        config(ME, Some(vec![member_info(ME)])),
        vec![],
        Duration::ZERO,
    );
    machine.until_it_acts();
    machine.refuses_rewrites = true;
    for version in 1..=200 {
        machine.now += Duration::from_millis(100);
        let body = body(version, 300);
        let command = Command::Configure {
            base: version - 1,
            amend: false,
            body,
        };
        machine.step(Input::Command {
            ticket: version,
            command,
        });
        let taken = machine.take_outputs().iter().any(
            |o| matches!(o, Output::Answer { ticket, code: ResultCode::Ok, .. } if *ticket == version),
        );
        assert!(
            taken && machine.member.is_acting_primary(),
            "change {version}"
        );
    }
    // 200 changes in 20 s: a try every few seconds, not with each change.
    assert!(
        (1..=6).contains(&machine.rewrites),
        "{} tries",
        machine.rewrites
    );
    machine.refuses_rewrites = false;
    machine.now += Duration::from_secs(6);
    machine.until_it_acts();
    let command = Command::Configure {
        base: 200,
        amend: false,
        body: body(201, 300),
    };
    machine.step(Input::Command {
        ticket: 201,
        command,
    });
    machine.step(Input::Tick);
    assert!(
        machine.bytes() <= 5 * body(201, 300).len(),
        "rewritten once there is room"
    );
}

/// The longest ledger there can be, with 10,000 hosts that leave at once by names of the longest kind: one frame and
/// one record hold it whole.
#[test]
fn largest_state_when_encoded_then_it_fits_a_frame_and_a_record() {
    let note = "x".repeat(1 << 20);
    let route = |n: usize, note: &str| {
        format!(
            r#"{{"name":"r{n}","hostname":"h{n}","path_prefix":"/","route_class":"pure","deadline_ms":1,"service":"s","note":"{note}"}}"#
        )
    };
    let mut routes: Vec<String> = (0..3).map(|n| route(n, &note)).collect();
    let used: usize = routes.iter().map(String::len).sum();
    routes.push(route(3, &note[..MAX_CONFIGURATION_BYTES - used - 200]));
    let whole = format!(
        r#"{{"version":2,"routes":[{}],"services":[{{"name":"s"}}]}}"#,
        routes.join(",")
    );
    let command = Command::Configure {
        base: 0,
        amend: false,
        body: whole.clone().into_bytes(),
    };
    let Plan::Change(change, next) = ReplicatedState::default().plan(&command) else {
        panic!("it is taken")
    };
    let mut ledger = *next;
    assert!(whole.len() > MAX_CONFIGURATION_BYTES - 200 && whole.len() < MAX_CONFIGURATION_BYTES);
    ledger.drains = Arc::new((0..10_000).map(|n| format!("{n:0>256}")).collect());
    let append = Message::AppendChange {
        epoch: 1,
        index: 1,
        change,
    };
    let tag = protocol::LogPosition { epoch: 1, index: 1 };
    let reply = Message::SnapshotReply {
        epoch: 1,
        log_position: tag,
        snapshot: ledger.snapshot(),
    };
    let install = Message::InstallMembership {
        membership: view(),
        snapshot: Some(ledger.snapshot()),
    };
    for message in [append, reply, install] {
        let frame = protocol::encode(&message);
        assert!(
            frame.len() <= protocol::MAX_FRAME_BYTES,
            "{} bytes",
            frame.len()
        );
        let (read, length) = protocol::decode(&frame).unwrap().unwrap();
        assert!(read == message && length == frame.len());
    }
    let record = protocol::encode_record(&accepted(Some(&ledger)));
    assert!(
        record.len() <= append_log::format::MAX_RECORD_BYTES,
        "{} bytes",
        record.len()
    );
}

fn accepted(ledger: Option<&ReplicatedState>) -> Record {
    Record::Accepted {
        membership: view(),
        snapshot: ledger.map(ReplicatedState::snapshot),
    }
}

fn numbered(epoch: u64, index: u64, version: u64) -> Record {
    Record::Change {
        epoch,
        index,
        change: change(version, 1),
    }
}

fn unreadable_ledger() -> Record {
    let mut snapshot = ReplicatedState::default().snapshot();
    snapshot.configuration = "{".into();
    Record::Accepted {
        membership: view(),
        snapshot: Some(snapshot),
    }
}

/// Records that can't be relied on are never passed over: the member promises, grants, holds, shows and writes
/// nothing, and stands for nothing.
#[rstest]
#[case::unreadable(vec![], Some(vec![77, 1, 2]), |e: &ReplayError| matches!(e, ReplayError::Unreadable { record: 2, .. }))]
#[case::longer(vec![], Some([protocol::encode_record(&Record::Promised { epoch: 5 }), vec![0]].concat()), |e: &ReplayError| matches!(e, ReplayError::Unreadable { record: 2, .. }))]
#[case::one_is_missing(vec![numbered(EPOCH, 3, 3)], None, |e: &ReplayError| matches!(e, ReplayError::OutOfOrder { index: 3, last_index: 1, .. }))]
#[case::one_twice(vec![numbered(EPOCH, 1, 1)], None, |e: &ReplayError| matches!(e, ReplayError::OutOfOrder { index: 1, last_index: 1, .. }))]
#[case::of_another_view(vec![numbered(EPOCH + 1, 2, 2)], None, |e: &ReplayError| matches!(e, ReplayError::OutOfOrder { .. }))]
#[case::cannot_be_made(vec![numbered(EPOCH, 2, 9)], None, |e: &ReplayError| matches!(e, ReplayError::Change { record: 2, .. }))]
#[case::no_ledger(vec![accepted(None), numbered(EPOCH, 2, 2)], None, |e: &ReplayError| matches!(e, ReplayError::NoState { record: 3 }))]
#[case::ledger(vec![unreadable_ledger()], None, |e: &ReplayError| matches!(e, ReplayError::InvalidSnapshot { record: 2, .. }))]
fn member_when_its_records_are_corrupt_then_it_has_no_vote(
    #[case] records: Vec<Record>,
    #[case] raw: Option<Vec<u8>>,
    #[case] expected: fn(&ReplayError) -> bool,
) {
    let good = [
        accepted(Some(&ReplicatedState::default())),
        numbered(EPOCH, 1, 1),
    ];
    let disk: Vec<Vec<u8>> = good
        .iter()
        .chain(&records)
        .map(protocol::encode_record)
        .chain(raw)
        .collect();
    let mut machine = Machine::start(config(ME, None), disk.clone(), Duration::ZERO);
    let error = machine.member.replay_error().expect("it is noticed");
    assert!(expected(error), "{error:?}");
    assert!(!machine.member.disk_healthy());
    for round in 1..=40_u64 {
        machine.now += LEASE / 4;
        machine.step(Input::Tick);
        let epoch = (8 + round) << 20;
        machine.hear(Message::PreVote {
            known_epoch: epoch,
            accepted_epoch: EPOCH,
        });
        machine.hear(Message::Prepare {
            epoch,
            candidate: member_info(PRIMARY),
        });
        machine.hear(Message::FetchSnapshot { epoch });
        machine.hear(Message::AppendChange {
            epoch: EPOCH,
            index: 2,
            change: change(2, 1),
        });
        machine.hear(Message::RenewLease {
            epoch: EPOCH,
            requested_at_ms: 1,
            commit_index: 1,
            echoed_clock_ms: 0,
        });
        let view = MembershipConfig { epoch, ..view() };
        machine.hear(Message::InstallMembership {
            membership: view,
            snapshot: Some(ReplicatedState::default().snapshot()),
        });
    }
    for output in machine.take_outputs() {
        match output {
            Output::Wake { .. } => {}
            Output::Send { message, .. } => {
                let refuses = match &message {
                    Message::PreVoteReply { granted, .. } => !granted,
                    Message::Promise {
                        granted,
                        membership,
                        log_position,
                        ..
                    } => !granted && membership.is_none() && log_position.is_none(),
                    Message::AppendReply { accepted, .. }
                    | Message::InstallMembershipReply { accepted, .. } => !accepted,
                    Message::LeaseReply {
                        granted,
                        disk_healthy,
                        ..
                    } => !granted && !disk_healthy,
                    _ => false,
                };
                assert!(refuses, "{message:?}");
            }
            output => panic!("{output:?}"),
        }
    }
    assert_eq!(machine.disk, disk, "the file is left as it is");
}
