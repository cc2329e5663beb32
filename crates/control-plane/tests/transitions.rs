//! Which state transitions of a member are logged: members driven by inputs, in simulated time.

use configuration::FaultBudget;
use control_plane::member::{
    DiskError, DiskState, ElectionPhase, Input, Member, MemberConfig, Output,
};
use control_plane::runtime::transitions::{MembershipRole, Recorder, StepDownCause, Transition};
use protocol::{Command, MemberInfo, Message};
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

const LEASE: Duration = Duration::from_millis(1000);
const STEP: Duration = Duration::from_millis(10);

/// What a member's disk does with a write.
#[derive(Clone, Copy, PartialEq)]
enum DiskFault {
    None,
    RefusesWrites,
    /// Writes never end.
    Stalls,
}

struct Node {
    member: Member,
    recorder: Recorder,
    records: Vec<Vec<u8>>,
    disk: DiskFault,
    /// Whether it takes no steps.
    frozen: bool,
    stalled: Vec<Input>,
    wake: Duration,
    logged: Vec<Transition>,
}

/// Members that speak without loss or delay, but for those that are frozen or cut off.
struct TestCluster {
    now: Duration,
    nodes: BTreeMap<u64, Node>,
    cut_off: BTreeSet<u64>,
    left: BTreeSet<u64>,
}

fn member_info(id: u64) -> MemberInfo {
    let addr = protocol::Addr {
        ip: 0x7f00_0000 + id as u32,
        port: 7,
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

fn config(id: u64, bootstrap: bool) -> MemberConfig {
    MemberConfig {
        local_member: member_info(id),
        bootstrap_voters: bootstrap.then(|| (1..=3).map(member_info).collect()),
        fault_budget: FaultBudget {
            machine_losses: 1,
            ..FaultBudget::default()
        },
        lease_duration: LEASE,
        request_timeout: Duration::from_millis(3500),
        disk_stall_timeout: Duration::from_millis(600),
        watch_history: Duration::from_secs(20),
    }
}

impl TestCluster {
    /// Three members, of which one has become primary.
    fn with_primary() -> (Self, u64) {
        let (nodes, cut_off, left) = Default::default();
        let mut cluster = TestCluster {
            now: Duration::ZERO,
            nodes,
            cut_off,
            left,
        };
        (1..=3).for_each(|id| cluster.start(id, true, Vec::new()));
        let primary = cluster.run_until_primary();
        cluster.run(Duration::from_secs(3));
        (cluster, primary)
    }

    fn start(&mut self, id: u64, bootstrap: bool, records: Vec<Vec<u8>>) {
        let bootstrap = bootstrap && records.is_empty();
        let member = Member::new(config(id, bootstrap), &records, self.now, 7 * id + 1);
        let recorder = Recorder::new(&member);
        let (disk, stalled, logged) = (DiskFault::None, Vec::new(), Vec::new());
        let (frozen, wake) = (false, self.now);
        let node = Node {
            member,
            recorder,
            records,
            disk,
            frozen,
            stalled,
            wake,
            logged,
        };
        self.nodes.insert(id, node);
    }

    fn node(&mut self, id: u64) -> &mut Node {
        self.nodes.get_mut(&id).unwrap()
    }

    fn input(&mut self, id: u64, input: Input) {
        let mut queue = VecDeque::from([(id, input)]);
        while let Some((id, input)) = queue.pop_front() {
            let now = self.now;
            let Some(node) = self.nodes.get_mut(&id).filter(|n| !n.frozen) else {
                continue;
            };
            let mut outputs = Vec::new();
            node.member.step(now, input, &mut outputs);
            let logged = node.recorder.after_step(&node.member);
            node.logged.extend(logged);
            for output in outputs {
                node.logged.extend(node.recorder.after_output(&output));
                match output {
                    Output::Send { to, message }
                        if !self.cut_off.contains(&id) && !self.cut_off.contains(&to.id) =>
                    {
                        queue.push_back((
                            to.id,
                            Input::Message {
                                from: member_info(id),
                                message,
                            },
                        ));
                    }
                    Output::Write {
                        ticket,
                        records,
                        rewrite,
                    } => {
                        if rewrite {
                            node.records.clear();
                        }
                        let result = match node.disk {
                            DiskFault::RefusesWrites => Err(DiskError::Full),
                            _ => Ok(()),
                        };
                        if result.is_ok() {
                            node.records.extend(records);
                        }
                        let wrote = Input::WriteCompleted { ticket, result };
                        match node.disk {
                            DiskFault::Stalls => node.stalled.push(wrote),
                            _ => queue.push_back((id, wrote)),
                        }
                    }
                    Output::Wake { at } => node.wake = at,
                    Output::DepartureComplete => drop(self.left.insert(id)),
                    _ => {}
                }
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let due: Vec<u64> = self
                .nodes
                .iter()
                .filter(|n| n.1.wake <= self.now)
                .map(|n| *n.0)
                .collect();
            due.into_iter().for_each(|id| self.input(id, Input::Tick));
        }
    }

    /// Runs until some member that isn't frozen or cut off acts.
    fn run_until_primary(&mut self) -> u64 {
        let end = self.now + Duration::from_secs(30);
        loop {
            self.run(STEP);
            assert!(self.now < end, "nobody acts");
            let acts = |id: &u64, node: &Node| {
                !node.frozen && !self.cut_off.contains(id) && node.member.is_acting_primary()
            };
            if let Some((id, _)) = self.nodes.iter().find(|(id, node)| acts(id, node)) {
                return *id;
            }
        }
    }

    fn clear(&mut self) {
        self.nodes.values_mut().for_each(|n| n.logged.clear());
    }

    fn logged(&self, id: u64, what: impl Fn(&Transition) -> bool) -> bool {
        self.nodes[&id].logged.iter().any(what)
    }

    fn others(&self, excluded: u64) -> Vec<u64> {
        self.nodes
            .keys()
            .copied()
            .filter(|id| *id != excluded)
            .collect()
    }
}

#[test]
fn first_start_when_a_primary_is_elected_is_logged_in_order() {
    let (cluster, primary) = TestCluster::with_primary();
    let logged = &cluster.nodes[&primary].logged;
    let position =
        |what: &dyn Fn(&Transition) -> bool| logged.iter().position(what).expect("it is logged");
    let order = [
        position(&|t| matches!(t, Transition::PreVoteStarted { epoch: 0 })),
        position(&|t| matches!(t, Transition::CandidacyStarted { .. })),
        position(&|t| matches!(t, Transition::SnapshotSent { .. })),
        position(&|t| {
            matches!(
                t,
                Transition::MembershipAccepted {
                    role: MembershipRole::Primary,
                    ..
                }
            )
        }),
        position(&|t| matches!(t, Transition::MembershipInstalled { index: Some(0), .. })),
        position(&|t| matches!(t, Transition::BecamePrimary { .. })),
    ];
    assert!(order.is_sorted(), "{logged:?}");
    let accepted = |wanted: MembershipRole| {
        let of = |t: &Transition| matches!(t, Transition::MembershipAccepted { role, .. } if *role == wanted);
        let mut others = cluster.others(primary);
        others.retain(|id| cluster.logged(*id, of));
        others
    };
    let (replicas, witnesses) = (
        accepted(MembershipRole::Replica),
        accepted(MembershipRole::Witness),
    );
    assert_eq!(
        (replicas.len(), witnesses.len()),
        (1, 1),
        "one of each beside the primary"
    );
    assert!(cluster.logged(replicas[0], |t| matches!(
        t,
        Transition::SnapshotInstalled { index: 0, .. }
    )));
    assert!(!cluster.logged(witnesses[0], |t| matches!(
        t,
        Transition::SnapshotInstalled { .. }
    )));
    for other in cluster.others(primary) {
        assert!(cluster.logged(other, |t| matches!(t, Transition::EpochPromised { .. })));
        let follows = |t: &Transition| matches!(t, Transition::LeaseGranted { primary: p, .. } if p.id == primary);
        assert!(cluster.logged(other, follows));
    }
}

#[test]
fn changes_when_nothing_fails_are_not_logged() {
    let (mut cluster, primary) = TestCluster::with_primary();
    cluster.clear();
    for version in 1..200 {
        let command = Command::Drain {
            host: format!("i-{version}"),
        };
        cluster.input(
            primary,
            Input::Command {
                ticket: version,
                command,
            },
        );
        cluster.run(Duration::from_millis(300));
    }
    for (id, node) in &cluster.nodes {
        assert_eq!(node.logged, [], "member {id}");
    }
}

#[test]
fn takeover_when_the_primary_is_frozen_is_logged_by_all() {
    let (mut cluster, old) = TestCluster::with_primary();
    cluster.clear();
    cluster.node(old).frozen = true;
    let new = cluster.run_until_primary();
    cluster.run(Duration::from_secs(19));
    for other in cluster.others(old) {
        let over = |t: &Transition| matches!(t, Transition::PrimaryLeaseExpired { primary, .. } if primary.id == old);
        assert!(
            cluster.logged(other, over),
            "{:?}",
            cluster.nodes[&other].logged
        );
    }
    assert!(cluster.logged(new, |t| matches!(t, Transition::PreVoteStarted { .. })));
    assert!(cluster.logged(new, |t| matches!(t, Transition::MembershipInstalled { .. })));
    assert!(cluster.logged(new, |t| matches!(t, Transition::BecamePrimary { .. })));
    // It wakes: its lease is long over.
    cluster.node(old).frozen = false;
    cluster.input(old, Input::Tick);
    let ended = |t: &Transition| {
        matches!(
            t,
            Transition::SteppedDown {
                cause: StepDownCause::LeaseExpired,
                ..
            }
        )
    };
    assert!(
        cluster.logged(old, ended),
        "{:?}",
        cluster.nodes[&old].logged
    );
    assert_eq!(cluster.nodes[&old].recorder.counters().leases_lost, 1);
    cluster.run(Duration::from_secs(5));
    let follows =
        |t: &Transition| matches!(t, Transition::LeaseGranted { primary, .. } if primary.id == new);
    assert!(
        cluster.logged(old, follows),
        "{:?}",
        cluster.nodes[&old].logged
    );
}

#[test]
fn pre_vote_when_a_member_is_cut_off_is_logged_once() {
    let (mut cluster, primary) = TestCluster::with_primary();
    cluster.clear();
    let cut = cluster.others(primary)[0];
    let before = cluster.nodes[&cut].recorder.counters().pre_votes;
    cluster.cut_off.insert(cut);
    cluster.run(Duration::from_secs(20));
    let node = &cluster.nodes[&cut];
    let pre_votes = node
        .logged
        .iter()
        .filter(|t| matches!(t, Transition::PreVoteStarted { .. }))
        .count();
    assert_eq!(pre_votes, 1, "{:?}", node.logged);
    assert!(!cluster.logged(
        cut,
        |t| matches!(t, Transition::CampaignFailed { phase, .. }
        if *phase == ElectionPhase::PreVote)
    ));
    let tries = node.recorder.counters().pre_votes - before;
    assert!(tries > 5, "further tries are counted: {tries}");
}

#[rstest]
#[case(DiskFault::RefusesWrites, DiskState::Refused)]
#[case(DiskFault::Stalls, DiskState::Stalled)]
fn primary_when_its_disk_fails_steps_down_with_the_cause(
    #[case] disk: DiskFault,
    #[case] state: DiskState,
) {
    let (mut cluster, primary) = TestCluster::with_primary();
    cluster.clear();
    cluster.node(primary).disk = disk;
    let command = Command::Drain { host: "i-1".into() };
    cluster.input(primary, Input::Command { ticket: 1, command });
    cluster.run(Duration::from_secs(5));
    let logged = cluster.nodes[&primary].logged.clone();
    assert!(
        logged.contains(&Transition::DiskStateChanged { state }),
        "{logged:?}"
    );
    let steps_down = |t: &&Transition| {
        matches!(
            t,
            Transition::SteppedDown {
                cause: StepDownCause::DiskUnhealthy,
                ..
            }
        )
    };
    assert_eq!(logged.iter().filter(steps_down).count(), 1, "{logged:?}");
    assert_eq!(cluster.nodes[&primary].recorder.counters().disk_faults, 1);
    cluster.run_until_primary();
    cluster.node(primary).disk = DiskFault::None;
    for wrote in std::mem::take(&mut cluster.node(primary).stalled) {
        cluster.input(primary, wrote);
    }
    cluster.run(Duration::from_secs(2));
    assert!(cluster.logged(primary, |t| *t
        == Transition::DiskStateChanged {
            state: DiskState::Healthy
        }));
}

#[test]
fn membership_when_voters_are_replaced_names_them() {
    let (mut cluster, primary) = TestCluster::with_primary();
    let lost = cluster.others(primary)[0];
    cluster.nodes.remove(&lost);
    cluster.clear();
    // Long enough that its silence counts when the newcomer shows: one is exchanged for the other in one view.
    cluster.run(LEASE);
    cluster.start(4, false, Vec::new());
    for _ in 0..40 {
        // A link shows that it is there.
        cluster.input(
            primary,
            Input::PeerReachable {
                member: member_info(4),
            },
        );
        cluster.run(Duration::from_millis(250));
    }
    let exchanged = |t: &Transition| match t {
        Transition::MembershipAccepted { added, removed, .. } => {
            let ids = |seats: &[MemberInfo]| seats.iter().map(|s| s.id).collect::<Vec<_>>();
            ids(added) == [4] && ids(removed) == [lost]
        }
        _ => false,
    };
    assert!(
        cluster.logged(primary, exchanged),
        "{:?}",
        cluster.nodes[&primary].logged
    );
    assert!(cluster.logged(primary, |t| matches!(
        t,
        Transition::MembershipChangeStarted { .. }
    )));
    let joined = |t: &Transition| {
        matches!(t, Transition::MembershipAccepted { previous_role: MembershipRole::Joining, role, .. }
            if *role != MembershipRole::Joining)
    };
    assert!(cluster.logged(4, joined), "{:?}", cluster.nodes[&4].logged);
}

#[test]
fn primary_when_it_shuts_down_steps_down_with_the_cause() {
    let (mut cluster, primary) = TestCluster::with_primary();
    cluster.clear();
    cluster.input(primary, Input::Depart);
    assert!(
        !cluster.left.contains(&primary),
        "a replica that leaves hands over first"
    );
    cluster.run(Duration::from_secs(4));
    assert!(cluster.left.contains(&primary));
    let logged = &cluster.nodes[&primary].logged;
    assert_eq!(logged[0], Transition::ShutdownStarted);
    let steps_down = |t: &Transition| {
        matches!(
            t,
            Transition::SteppedDown {
                cause: StepDownCause::Shutdown,
                ..
            }
        )
    };
    assert!(logged.iter().any(steps_down), "{logged:?}");
}

#[test]
fn replica_when_restarted_logs_its_restored_state() {
    let (mut cluster, primary) = TestCluster::with_primary();
    let command = Command::Drain { host: "i-1".into() };
    cluster.input(primary, Input::Command { ticket: 1, command });
    cluster.run(Duration::from_secs(2));
    let records = cluster.nodes[&primary].records.clone();
    let epoch = cluster.nodes[&primary].member.membership().unwrap().epoch;
    cluster.start(primary, false, records);
    let summary = cluster.nodes[&primary].recorder.summary();
    assert_eq!(
        (
            summary.membership.as_ref().unwrap().epoch,
            summary.durable_index
        ),
        (epoch, Some(1))
    );
    cluster.input(primary, Input::Tick);
    let restored = Transition::StateRestored {
        index: 1,
        version: 0,
    };
    assert_eq!(cluster.nodes[&primary].logged.first(), Some(&restored));
}

#[test]
fn promise_when_given_to_another_member_is_logged() {
    let (mut cluster, primary) = TestCluster::with_primary();
    cluster.clear();
    let other = cluster.others(primary)[0];
    // Its own lease is let go first: a voter promises nobody else before.
    cluster.cut_off.insert(primary);
    cluster.run(2 * LEASE);
    cluster.cut_off.clear();
    let epoch = (1 << 60) + other;
    let message = Message::Prepare {
        epoch,
        candidate: member_info(other),
    };
    cluster.input(
        primary,
        Input::Message {
            from: member_info(other),
            message,
        },
    );
    let logged =
        |t: &Transition| matches!(t, Transition::EpochPromised { epoch: e, .. } if *e == epoch);
    assert!(
        cluster.logged(primary, logged),
        "{:?}",
        cluster.nodes[&primary].logged
    );
}
