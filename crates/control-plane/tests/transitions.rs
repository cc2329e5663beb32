//! The state transitions that are logged for a member. Simulates members in a cluster.

use configuration::FaultBudget;
use control_plane::member::{
    DiskError, DiskState, ElectionPhase, Input, Member, MemberConfig, Output,
};
use control_plane::runtime::transitions::{MembershipRole, Recorder, StepDownCause, Transition};
use protocol::{Command, MemberInfo, Message};
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

const LEASE_DURATION: Duration = Duration::from_millis(1000);
/// Resolution of the simulated time.
const STEP_INTERVAL: Duration = Duration::from_millis(10);

/// How a member's disk treats writes.
#[derive(Clone, Copy, PartialEq)]
enum DiskFault {
    None,
    RefusesWrites,
    /// Writes don't complete.
    Stalls,
}

struct Node {
    member: Member,
    recorder: Recorder,
    /// The records of its log.
    records: Vec<Vec<u8>>,
    disk_fault: DiskFault,
    /// Whether its process is suspended: it loses all inputs.
    is_frozen: bool,
    /// Completions of the writes that the stalled disk holds back.
    stalled_writes: Vec<Input>,
    wake_at: Duration,
    /// The transitions to log so far.
    logged: Vec<Transition>,
}

/// Members that communicate without loss or delay, except for frozen and isolated ones.
struct TestCluster {
    now: Duration,
    nodes: BTreeMap<u64, Node>,
    isolated: BTreeSet<u64>,
    departed: BTreeSet<u64>,
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
        lease_duration: LEASE_DURATION,
        request_timeout: Duration::from_millis(3500),
        disk_stall_timeout: Duration::from_millis(600),
        watch_history: Duration::from_secs(20),
    }
}

impl TestCluster {
    /// Starts three members and waits until one is primary. Returns its id.
    fn with_primary() -> (Self, u64) {
        let (nodes, isolated, departed) = Default::default();
        let mut cluster = TestCluster {
            now: Duration::ZERO,
            nodes,
            isolated,
            departed,
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
        let (disk_fault, stalled_writes, logged) = (DiskFault::None, Vec::new(), Vec::new());
        let (is_frozen, wake_at) = (false, self.now);
        let node = Node {
            member,
            recorder,
            records,
            disk_fault,
            is_frozen,
            stalled_writes,
            wake_at,
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
            let Some(node) = self.nodes.get_mut(&id).filter(|n| !n.is_frozen) else {
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
                        if !self.isolated.contains(&id) && !self.isolated.contains(&to.id) =>
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
                        let result = match node.disk_fault {
                            DiskFault::RefusesWrites => Err(DiskError::Full),
                            _ => Ok(()),
                        };
                        if result.is_ok() {
                            node.records.extend(records);
                        }
                        let completed = Input::WriteCompleted { ticket, result };
                        match node.disk_fault {
                            DiskFault::Stalls => node.stalled_writes.push(completed),
                            _ => queue.push_back((id, completed)),
                        }
                    }
                    Output::Wake { at } => node.wake_at = at,
                    Output::DepartureComplete => drop(self.departed.insert(id)),
                    _ => {}
                }
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP_INTERVAL;
            let due: Vec<u64> = self
                .nodes
                .iter()
                .filter(|n| n.1.wake_at <= self.now)
                .map(|n| *n.0)
                .collect();
            due.into_iter().for_each(|id| self.input(id, Input::Tick));
        }
    }

    /// Runs until a member that is neither frozen nor isolated is the acting primary. Returns its id.
    fn run_until_primary(&mut self) -> u64 {
        let end = self.now + Duration::from_secs(30);
        loop {
            self.run(STEP_INTERVAL);
            assert!(self.now < end, "no member becomes primary");
            let is_primary = |id: &u64, node: &Node| {
                !node.is_frozen && !self.isolated.contains(id) && node.member.is_acting_primary()
            };
            if let Some((id, _)) = self.nodes.iter().find(|(id, node)| is_primary(id, node)) {
                return *id;
            }
        }
    }

    fn clear_logged(&mut self) {
        self.nodes.values_mut().for_each(|n| n.logged.clear());
    }

    fn has_logged(&self, id: u64, matches: impl Fn(&Transition) -> bool) -> bool {
        self.nodes[&id].logged.iter().any(matches)
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
    let position = |is_wanted: &dyn Fn(&Transition) -> bool| {
        logged
            .iter()
            .position(is_wanted)
            .expect("the transition is logged")
    };
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
        others.retain(|id| cluster.has_logged(*id, of));
        others
    };
    let (replicas, witnesses) = (
        accepted(MembershipRole::Replica),
        accepted(MembershipRole::Witness),
    );
    assert_eq!(
        (replicas.len(), witnesses.len()),
        (1, 1),
        "one replica and one witness beside the primary"
    );
    assert!(cluster.has_logged(replicas[0], |t| matches!(
        t,
        Transition::SnapshotInstalled { index: 0, .. }
    )));
    assert!(!cluster.has_logged(witnesses[0], |t| matches!(
        t,
        Transition::SnapshotInstalled { .. }
    )));
    for other in cluster.others(primary) {
        assert!(cluster.has_logged(other, |t| matches!(t, Transition::EpochPromised { .. })));
        let follows = |t: &Transition| matches!(t, Transition::LeaseGranted { primary: p, .. } if p.id == primary);
        assert!(cluster.has_logged(other, follows));
    }
}

#[test]
fn changes_when_nothing_fails_are_not_logged() {
    let (mut cluster, primary) = TestCluster::with_primary();
    cluster.clear_logged();
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
    let (mut cluster, old_primary) = TestCluster::with_primary();
    cluster.clear_logged();
    cluster.node(old_primary).is_frozen = true;
    let new_primary = cluster.run_until_primary();
    cluster.run(Duration::from_secs(19));
    for other in cluster.others(old_primary) {
        let lease_expired = |t: &Transition| matches!(t, Transition::PrimaryLeaseExpired { primary, .. } if primary.id == old_primary);
        assert!(
            cluster.has_logged(other, lease_expired),
            "{:?}",
            cluster.nodes[&other].logged
        );
    }
    assert!(cluster.has_logged(new_primary, |t| matches!(
        t,
        Transition::PreVoteStarted { .. }
    )));
    assert!(cluster.has_logged(new_primary, |t| matches!(
        t,
        Transition::MembershipInstalled { .. }
    )));
    assert!(cluster.has_logged(new_primary, |t| matches!(
        t,
        Transition::BecamePrimary { .. }
    )));
    // The old primary resumes long after its lease expired.
    cluster.node(old_primary).is_frozen = false;
    cluster.input(old_primary, Input::Tick);
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
        cluster.has_logged(old_primary, ended),
        "{:?}",
        cluster.nodes[&old_primary].logged
    );
    assert_eq!(
        cluster.nodes[&old_primary].recorder.counters().leases_lost,
        1
    );
    cluster.run(Duration::from_secs(5));
    let follows = |t: &Transition| matches!(t, Transition::LeaseGranted { primary, .. } if primary.id == new_primary);
    assert!(
        cluster.has_logged(old_primary, follows),
        "{:?}",
        cluster.nodes[&old_primary].logged
    );
}

#[test]
fn pre_vote_of_an_isolated_member_is_logged_once() {
    let (mut cluster, primary) = TestCluster::with_primary();
    cluster.clear_logged();
    let isolated_member = cluster.others(primary)[0];
    let before = cluster.nodes[&isolated_member]
        .recorder
        .counters()
        .pre_votes;
    cluster.isolated.insert(isolated_member);
    cluster.run(Duration::from_secs(20));
    let node = &cluster.nodes[&isolated_member];
    let pre_votes = node
        .logged
        .iter()
        .filter(|t| matches!(t, Transition::PreVoteStarted { .. }))
        .count();
    assert_eq!(pre_votes, 1, "{:?}", node.logged);
    assert!(!cluster.has_logged(
        isolated_member,
        |t| matches!(t, Transition::CampaignFailed { phase, .. }
        if *phase == ElectionPhase::PreVote)
    ));
    let pre_votes_started = node.recorder.counters().pre_votes - before;
    assert!(
        pre_votes_started > 5,
        "further pre-votes are counted: {pre_votes_started}"
    );
}

#[rstest]
#[case(DiskFault::RefusesWrites, DiskState::Refused)]
#[case(DiskFault::Stalls, DiskState::Stalled)]
fn primary_when_its_disk_fails_steps_down_with_the_cause(
    #[case] disk_fault: DiskFault,
    #[case] state: DiskState,
) {
    let (mut cluster, primary) = TestCluster::with_primary();
    cluster.clear_logged();
    cluster.node(primary).disk_fault = disk_fault;
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
    cluster.node(primary).disk_fault = DiskFault::None;
    for completed in std::mem::take(&mut cluster.node(primary).stalled_writes) {
        cluster.input(primary, completed);
    }
    cluster.run(Duration::from_secs(2));
    assert!(cluster.has_logged(primary, |t| *t
        == Transition::DiskStateChanged {
            state: DiskState::Healthy
        }));
}

#[test]
fn membership_when_voters_are_replaced_names_them() {
    let (mut cluster, primary) = TestCluster::with_primary();
    let lost = cluster.others(primary)[0];
    cluster.nodes.remove(&lost);
    cluster.clear_logged();
    // Long enough for the lost voter to count as lost when the new member appears: one membership change then replaces it.
    cluster.run(LEASE_DURATION);
    cluster.start(4, false, Vec::new());
    for _ in 0..40 {
        // Its connection reports that it is reachable.
        cluster.input(
            primary,
            Input::PeerReachable {
                member: member_info(4),
            },
        );
        cluster.run(Duration::from_millis(250));
    }
    let replaces_lost_voter = |t: &Transition| match t {
        Transition::MembershipAccepted { added, removed, .. } => {
            let ids = |voters: &[MemberInfo]| voters.iter().map(|s| s.id).collect::<Vec<_>>();
            ids(added) == [4] && ids(removed) == [lost]
        }
        _ => false,
    };
    assert!(
        cluster.has_logged(primary, replaces_lost_voter),
        "{:?}",
        cluster.nodes[&primary].logged
    );
    assert!(cluster.has_logged(primary, |t| matches!(
        t,
        Transition::MembershipChangeStarted { .. }
    )));
    let joined = |t: &Transition| {
        matches!(t, Transition::MembershipAccepted { previous_role: MembershipRole::Joining, role, .. }
            if *role != MembershipRole::Joining)
    };
    assert!(
        cluster.has_logged(4, joined),
        "{:?}",
        cluster.nodes[&4].logged
    );
}

#[test]
fn primary_when_it_shuts_down_steps_down_with_the_cause() {
    let (mut cluster, primary) = TestCluster::with_primary();
    cluster.clear_logged();
    cluster.input(primary, Input::Depart);
    assert!(
        !cluster.departed.contains(&primary),
        "a departing replica hands over first"
    );
    cluster.run(Duration::from_secs(4));
    assert!(cluster.departed.contains(&primary));
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
    cluster.clear_logged();
    let other = cluster.others(primary)[0];
    // The primary's own lease expires first, as a voter makes no promise to another member before.
    cluster.isolated.insert(primary);
    cluster.run(2 * LEASE_DURATION);
    cluster.isolated.clear();
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
        cluster.has_logged(primary, logged),
        "{:?}",
        cluster.nodes[&primary].logged
    );
}
