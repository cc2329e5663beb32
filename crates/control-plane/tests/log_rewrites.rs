//! The log after hundreds of changes: its size, the state of a member that restarts from it, full disks, and members
//! whose records are corrupt.
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

/// Number of changes between two lease renewals of the primary.
const CHANGES_PER_RENEWAL: u64 = 5;
/// Id of the tested member.
const LOCAL_ID: u64 = 2;
const PRIMARY_ID: u64 = 1;
const EPOCH: u64 = 1 << 20;

/// A configuration with this number of routes, as JSON.
fn configuration_body(version: u64, routes: usize) -> Vec<u8> {
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
        body: configuration_body(version, routes),
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

fn member_settings(id: u64, bootstrap_voters: Option<Vec<MemberInfo>>) -> MemberConfig {
    member_config(member_info(id), bootstrap_voters, FaultBudget::default())
}

fn membership() -> MembershipConfig {
    let voters = vec![member_info(PRIMARY_ID), member_info(LOCAL_ID)];
    let previous_voters = voters.clone();
    MembershipConfig {
        epoch: EPOCH,
        primary: PRIMARY_ID,
        replicas: vec![PRIMARY_ID, LOCAL_ID],
        voters,
        previous_voters,
    }
}

/// A member with a disk in memory that can refuse writes.
struct Machine {
    member: Member,
    now: Duration,
    disk: Vec<Vec<u8>>,
    /// Largest size of the log so far, in bytes.
    max_bytes: usize,
    /// Number of rewrites that the member asked for.
    rewrites: usize,
    refuses_rewrites: bool,
    refuses_writes: bool,
    /// Whether the state after each rewrite is compared with the state before it.
    compares_rewrites: bool,
    outputs: Vec<Output>,
}

/// Restarts a member from these records. Returns the index of the state that it publishes as committed, and epoch and
/// index of its last log entry.
fn restarted_state(disk: &[Vec<u8>], now: Duration) -> (Option<u64>, Option<(u64, u64)>) {
    let mut restarted = Machine::start(member_settings(LOCAL_ID, None), disk.to_vec(), now);
    assert!(restarted.member.replay_error().is_none());
    restarted.step(Input::Tick);
    let published = restored_index(&restarted.take_outputs());
    restarted.now += 2 * LEASE;
    restarted.receive(Message::Prepare {
        epoch: 9 << 20,
        candidate: member_info(PRIMARY_ID),
    });
    let log_position = restarted.take_outputs().iter().find_map(|o| match o {
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
    (
        published,
        log_position
            .expect("the member promises")
            .map(|position| (position.epoch, position.index)),
    )
}

impl Machine {
    fn start(config: MemberConfig, disk: Vec<Vec<u8>>, now: Duration) -> Self {
        let member = Member::new(config, &disk, now, 7);
        let (max_bytes, rewrites, refuses_rewrites, refuses_writes, compares_rewrites) =
            Default::default();
        let outputs = vec![];
        Self {
            member,
            now,
            disk,
            max_bytes,
            rewrites,
            refuses_rewrites,
            refuses_writes,
            compares_rewrites,
            outputs,
        }
    }

    /// Size of the log in bytes.
    fn log_bytes(&self) -> usize {
        self.disk.iter().map(Vec::len).sum()
    }

    /// Handles an input and completes the writes that the member asks for at once.
    fn step(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut outputs = Vec::new();
            self.member.step(self.now, input, &mut outputs);
            for output in outputs {
                match output {
                    Output::Write { ticket, .. } if self.refuses_writes => {
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
                            if self.compares_rewrites {
                                let (before, after) = (
                                    restarted_state(&self.disk, self.now),
                                    restarted_state(&records, self.now),
                                );
                                assert_eq!(
                                    before, after,
                                    "a rewrite must not change the state, as a crash may leave either file"
                                );
                            }
                            self.disk.clear();
                            self.rewrites += 1;
                        }
                        self.disk.extend(records);
                        self.max_bytes = self.max_bytes.max(self.log_bytes());
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

    /// Delivers a message from the primary.
    fn receive(&mut self, message: Message) {
        self.step(Input::Message {
            from: member_info(PRIMARY_ID),
            message,
        });
    }

    /// Runs until the member is the acting primary.
    fn run_until_primary(&mut self) {
        while !self.member.is_acting_primary() {
            self.now += Duration::from_millis(20);
            self.step(Input::Tick);
            assert!(
                self.now < Duration::from_secs(600),
                "the member doesn't become primary"
            );
        }
    }

    fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }
}

/// A replica that has accepted the primary's membership.
fn replica() -> Machine {
    let mut machine = Machine::start(member_settings(LOCAL_ID, None), vec![], Duration::ZERO);
    let snapshot = Some(ReplicatedState::default().snapshot());
    machine.receive(Message::InstallMembership {
        membership: membership(),
        snapshot,
    });
    machine
}

/// Index of the state that the member restored, if it did.
fn restored_index(outputs: &[Output]) -> Option<u64> {
    outputs.iter().find_map(|o| match o {
        Output::RestoreState { index, .. } => Some(*index),
        _ => None,
    })
}

/// Changes arrive without a pause, and the replica always has changes that it doesn't know to be committed.
#[rstest]
#[case::small(2_000, 10, 1)]
#[case::hundreds_of_routes(600, 600, 1)]
#[case::eight_uncommitted(600, 600, 8)]
fn log_when_changes_keep_coming_then_it_is_rewritten(
    #[case] changes: u64,
    #[case] routes: usize,
    #[case] uncommitted: u64,
) {
    let mut machine = replica();
    for index in 1..=changes {
        machine.now += Duration::from_millis(20);
        machine.receive(Message::AppendChange {
            epoch: EPOCH,
            index,
            change: change(index, routes),
        });
        if index % CHANGES_PER_RENEWAL == 0 {
            let (requested_at_ms, commit_index) = (
                machine.now.as_millis() as u64,
                index.saturating_sub(uncommitted),
            );
            machine.receive(Message::RenewLease {
                epoch: EPOCH,
                requested_at_ms,
                commit_index,
                echoed_clock_ms: 0,
            });
        }
    }
    // Four times the state, twice the changes that may be uncommitted, and the size of one write.
    let request_bytes = changes as usize * std::mem::size_of::<AppliedRequest>();
    let state_bytes = configuration_body(changes, routes).len() + request_bytes + 4096;
    let bound = 4 * state_bytes
        + (2 * (uncommitted + CHANGES_PER_RENEWAL) + 1) as usize
            * (configuration_body(changes, routes).len() + 4096);
    let bound = bound.max(300 << 10);
    assert!(machine.rewrites > 0, "the log was never rewritten");
    assert!(
        machine.max_bytes <= bound,
        "{} bytes, the bound is {bound}",
        machine.max_bytes
    );

    // After a restart the member has all changes that it confirmed, and publishes those that it knew to be committed.
    assert_eq!(
        restarted_state(&machine.disk, machine.now),
        (Some(changes - uncommitted), Some((EPOCH, changes)))
    );
}

/// A restart after each of many changes. The published state is committed and never older than the one that an earlier
/// incarnation published; the log has all changes that the replica confirmed.
#[test]
fn member_when_restarted_after_any_change_then_nothing_is_lost() {
    let mut machine = replica();
    machine.compares_rewrites = true;
    let mut published = 0;
    for index in 1..=300_u64 {
        machine.now += Duration::from_millis(50);
        machine.receive(Message::AppendChange {
            epoch: EPOCH,
            index,
            change: change(index, 300),
        });
        let confirmed = machine.take_outputs().iter().any(|o| {
            matches!(o, Output::Send { message: Message::AppendReply { match_index: s, accepted: true, .. }, .. } if *s == index)
        });
        assert!(confirmed, "change {index}");
        if index % 3 == 0 {
            let requested_at_ms = machine.now.as_millis() as u64;
            machine.receive(Message::RenewLease {
                epoch: EPOCH,
                requested_at_ms,
                commit_index: index - 1,
                echoed_clock_ms: 0,
            });
        }
        let mut restarted = Machine::start(
            member_settings(LOCAL_ID, None),
            machine.disk.clone(),
            machine.now,
        );
        assert!(restarted.member.replay_error().is_none(), "after {index}");
        restarted.step(Input::Tick);
        let published_now = restored_index(&restarted.take_outputs()).unwrap_or_default();
        assert!(
            published_now >= published && published_now < index,
            "{published_now} after {published} at {index}"
        );
        published = published_now;
        // The restarted member replaces the one before.
        machine.member = restarted.member;
        machine.outputs.clear();
    }
    assert_eq!(published, 299);
    assert!(machine.rewrites > 5, "{} rewrites", machine.rewrites);
}

/// A full disk refuses every write. The replica reports that to the primary, and reports when there is space again.
#[test]
fn replica_when_its_disk_has_space_again_then_it_is_healthy() {
    let mut machine = replica();
    machine.refuses_writes = true;
    machine.receive(Message::AppendChange {
        epoch: EPOCH,
        index: 1,
        change: change(1, 10),
    });
    let reported_health = |machine: &mut Machine| {
        machine.receive(Message::RenewLease {
            epoch: EPOCH,
            requested_at_ms: 1,
            commit_index: 0,
            echoed_clock_ms: 0,
        });
        let outputs = machine.take_outputs();
        let disk_healthy = outputs.iter().rev().find_map(|o| match o {
            Output::Send {
                message: Message::LeaseReply { disk_healthy, .. },
                ..
            } => Some(*disk_healthy),
            _ => None,
        });
        disk_healthy.expect("the replica answers")
    };
    let is_rejected = machine.take_outputs().iter().any(|o| {
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
    assert!(is_rejected);
    for _ in 0..20 {
        machine.now += Duration::from_millis(200);
        machine.step(Input::Tick);
        assert!(!reported_health(&mut machine));
    }
    machine.refuses_writes = false;
    machine.now += Duration::from_millis(400);
    machine.step(Input::Tick);
    assert!(reported_health(&mut machine));
    machine.receive(Message::AppendChange {
        epoch: EPOCH,
        index: 1,
        change: change(1, 10),
    });
    let is_accepted = machine.take_outputs().iter().any(|o| {
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
    assert!(is_accepted);
    assert_eq!(
        restarted_state(&machine.disk, machine.now),
        (None, Some((EPOCH, 1)))
    );
}

/// A rewrite needs space for a second file. If the disk refuses it but accepts appends, the primary keeps applying
/// changes.
#[test]
fn rewrite_when_refused_then_changes_are_applied() {
    let mut machine = Machine::start(
        member_settings(LOCAL_ID, Some(vec![member_info(LOCAL_ID)])),
        vec![],
        Duration::ZERO,
    );
    machine.run_until_primary();
    machine.refuses_rewrites = true;
    for version in 1..=200 {
        machine.now += Duration::from_millis(100);
        let body = configuration_body(version, 300);
        let command = Command::Configure {
            base: version - 1,
            amend: false,
            body,
        };
        machine.step(Input::Command {
            ticket: version,
            command,
        });
        let is_accepted = machine.take_outputs().iter().any(
            |o| matches!(o, Output::Answer { ticket, code: ResultCode::Ok, .. } if *ticket == version),
        );
        assert!(
            is_accepted && machine.member.is_acting_primary(),
            "change {version}"
        );
    }
    // 200 changes in 20 s: a rewrite is tried every few seconds, not with each change.
    assert!(
        (1..=6).contains(&machine.rewrites),
        "{} rewrites tried",
        machine.rewrites
    );
    machine.refuses_rewrites = false;
    machine.now += Duration::from_secs(6);
    machine.run_until_primary();
    let command = Command::Configure {
        base: 200,
        amend: false,
        body: configuration_body(201, 300),
    };
    machine.step(Input::Command {
        ticket: 201,
        command,
    });
    machine.step(Input::Tick);
    assert!(
        machine.log_bytes() <= 5 * configuration_body(201, 300).len(),
        "the log is rewritten once there is space"
    );
}

/// The largest possible state, with 10,000 draining hosts whose names have the maximum length, fits into one frame and
/// one record.
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
    let configuration = format!(
        r#"{{"version":2,"routes":[{}],"services":[{{"name":"s"}}]}}"#,
        routes.join(",")
    );
    let command = Command::Configure {
        base: 0,
        amend: false,
        body: configuration.clone().into_bytes(),
    };
    let Plan::Change(change, next) = ReplicatedState::default().plan(&command) else {
        panic!("the command is applied")
    };
    let mut state = *next;
    assert!(
        configuration.len() > MAX_CONFIGURATION_BYTES - 200
            && configuration.len() < MAX_CONFIGURATION_BYTES
    );
    state.drains = Arc::new((0..10_000).map(|n| format!("{n:0>256}")).collect());
    let append = Message::AppendChange {
        epoch: 1,
        index: 1,
        change,
    };
    let log_position = protocol::LogPosition { epoch: 1, index: 1 };
    let reply = Message::SnapshotReply {
        epoch: 1,
        log_position,
        snapshot: state.snapshot(),
    };
    let install = Message::InstallMembership {
        membership: membership(),
        snapshot: Some(state.snapshot()),
    };
    for message in [append, reply, install] {
        let frame = protocol::encode(&message);
        assert!(
            frame.len() <= protocol::MAX_FRAME_BYTES,
            "{} bytes",
            frame.len()
        );
        let (decoded, length) = protocol::decode(&frame).unwrap().unwrap();
        assert!(decoded == message && length == frame.len());
    }
    let record = protocol::encode_record(&accepted_record(Some(&state)));
    assert!(
        record.len() <= append_log::format::MAX_RECORD_BYTES,
        "{} bytes",
        record.len()
    );
}

fn accepted_record(state: Option<&ReplicatedState>) -> Record {
    Record::Accepted {
        membership: membership(),
        snapshot: state.map(ReplicatedState::snapshot),
    }
}

fn change_record(epoch: u64, index: u64, version: u64) -> Record {
    Record::Change {
        epoch,
        index,
        change: change(version, 1),
    }
}

fn record_with_invalid_snapshot() -> Record {
    let mut snapshot = ReplicatedState::default().snapshot();
    snapshot.configuration = "{".into();
    Record::Accepted {
        membership: membership(),
        snapshot: Some(snapshot),
    }
}

/// Corrupt records are never skipped. The member then promises, grants, stores, publishes and writes nothing, and isn't
/// a candidate.
#[rstest]
#[case::unreadable(vec![], Some(vec![77, 1, 2]), |e: &ReplayError| matches!(e, ReplayError::Unreadable { record: 2, .. }))]
#[case::trailing_bytes(vec![], Some([protocol::encode_record(&Record::Promised { epoch: 5 }), vec![0]].concat()), |e: &ReplayError| matches!(e, ReplayError::Unreadable { record: 2, .. }))]
#[case::missing_change(vec![change_record(EPOCH, 3, 3)], None, |e: &ReplayError| matches!(e, ReplayError::OutOfOrder { index: 3, last_index: 1, .. }))]
#[case::duplicate_change(vec![change_record(EPOCH, 1, 1)], None, |e: &ReplayError| matches!(e, ReplayError::OutOfOrder { index: 1, last_index: 1, .. }))]
#[case::change_of_another_epoch(vec![change_record(EPOCH + 1, 2, 2)], None, |e: &ReplayError| matches!(e, ReplayError::OutOfOrder { .. }))]
#[case::inapplicable_change(vec![change_record(EPOCH, 2, 9)], None, |e: &ReplayError| matches!(e, ReplayError::Change { record: 2, .. }))]
#[case::change_without_state(vec![accepted_record(None), change_record(EPOCH, 2, 2)], None, |e: &ReplayError| matches!(e, ReplayError::NoState { record: 3 }))]
#[case::invalid_snapshot(vec![record_with_invalid_snapshot()], None, |e: &ReplayError| matches!(e, ReplayError::InvalidSnapshot { record: 2, .. }))]
fn member_when_its_records_are_corrupt_then_it_has_no_vote(
    #[case] records: Vec<Record>,
    #[case] raw: Option<Vec<u8>>,
    #[case] expected: fn(&ReplayError) -> bool,
) {
    let valid_records = [
        accepted_record(Some(&ReplicatedState::default())),
        change_record(EPOCH, 1, 1),
    ];
    let disk: Vec<Vec<u8>> = valid_records
        .iter()
        .chain(&records)
        .map(protocol::encode_record)
        .chain(raw)
        .collect();
    let mut machine = Machine::start(
        member_settings(LOCAL_ID, None),
        disk.clone(),
        Duration::ZERO,
    );
    let error = machine
        .member
        .replay_error()
        .expect("the corrupt record is noticed");
    assert!(expected(error), "{error:?}");
    assert!(!machine.member.disk_healthy());
    for round in 1..=40_u64 {
        machine.now += LEASE / 4;
        machine.step(Input::Tick);
        let epoch = (8 + round) << 20;
        machine.receive(Message::PreVote {
            known_epoch: epoch,
            accepted_epoch: EPOCH,
        });
        machine.receive(Message::Prepare {
            epoch,
            candidate: member_info(PRIMARY_ID),
        });
        machine.receive(Message::FetchSnapshot { epoch });
        machine.receive(Message::AppendChange {
            epoch: EPOCH,
            index: 2,
            change: change(2, 1),
        });
        machine.receive(Message::RenewLease {
            epoch: EPOCH,
            requested_at_ms: 1,
            commit_index: 1,
            echoed_clock_ms: 0,
        });
        let membership = MembershipConfig {
            epoch,
            ..membership()
        };
        machine.receive(Message::InstallMembership {
            membership,
            snapshot: Some(ReplicatedState::default().snapshot()),
        });
    }
    for output in machine.take_outputs() {
        match output {
            Output::Wake { .. } => {}
            Output::Send { message, .. } => {
                let is_refusal = match &message {
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
                assert!(is_refusal, "{message:?}");
            }
            output => panic!("{output:?}"),
        }
    }
    assert_eq!(machine.disk, disk, "the log is left unchanged");
}
