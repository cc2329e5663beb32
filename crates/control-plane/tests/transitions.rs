//! What the log tells of a member's changes of state: members driven by inputs, in simulated time.

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
enum Disk {
    Well,
    Refuses,
    /// The write never ends.
    Stalls,
}

struct Node {
    member: Member,
    recorder: Recorder,
    records: Vec<Vec<u8>>,
    disk: Disk,
    /// Whether it takes no steps.
    frozen: bool,
    stalled: Vec<Input>,
    wake: Duration,
    told: Vec<Transition>,
}

/// Members that speak without loss or delay, but for those that are frozen or cut off.
struct World {
    now: Duration,
    nodes: BTreeMap<u64, Node>,
    cut: BTreeSet<u64>,
    left: BTreeSet<u64>,
}

fn seat(id: u64) -> MemberInfo {
    let addr = protocol::Addr {
        ip: 0x7f00_0000 + id as u32,
        port: 7,
    };
    MemberInfo {
        id,
        name: format!("core-{id}"),
        addr,
        control: addr,
        zone: "z".into(),
        region: "r".into(),
    }
}

fn config(id: u64, bootstrap: bool) -> MemberConfig {
    MemberConfig {
        local_member: seat(id),
        bootstrap_voters: bootstrap.then(|| (1..=3).map(seat).collect()),
        fault_budget: FaultBudget {
            machine_losses: 1,
            ..FaultBudget::default()
        },
        lease_duration: LEASE,
        request_timeout: Duration::from_millis(3500),
        disk_stall_timeout: Duration::from_millis(600),
    }
}

impl World {
    /// Three members, of which one has become primary.
    fn settled() -> (Self, u64) {
        let (nodes, cut, left) = Default::default();
        let mut world = World {
            now: Duration::ZERO,
            nodes,
            cut,
            left,
        };
        (1..=3).for_each(|id| world.start(id, true, Vec::new()));
        let primary = world.until_led();
        world.run(Duration::from_secs(3));
        (world, primary)
    }

    fn start(&mut self, id: u64, bootstrap: bool, records: Vec<Vec<u8>>) {
        let bootstrap = bootstrap && records.is_empty();
        let member = Member::new(config(id, bootstrap), &records, self.now, 7 * id + 1);
        let recorder = Recorder::new(&member);
        let (disk, stalled, told) = (Disk::Well, Vec::new(), Vec::new());
        let (frozen, wake) = (false, self.now);
        let node = Node {
            member,
            recorder,
            records,
            disk,
            frozen,
            stalled,
            wake,
            told,
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
            let told = node.recorder.after_step(&node.member);
            node.told.extend(told);
            for output in outputs {
                node.told.extend(node.recorder.of_output(&output));
                match output {
                    Output::Send { to, message }
                        if !self.cut.contains(&id) && !self.cut.contains(&to.id) =>
                    {
                        queue.push_back((
                            to.id,
                            Input::Message {
                                from: seat(id),
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
                            Disk::Refuses => Err(DiskError::Full),
                            _ => Ok(()),
                        };
                        if result.is_ok() {
                            node.records.extend(records);
                        }
                        let wrote = Input::WriteCompleted { ticket, result };
                        match node.disk {
                            Disk::Stalls => node.stalled.push(wrote),
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
    fn until_led(&mut self) -> u64 {
        let end = self.now + Duration::from_secs(30);
        loop {
            self.run(STEP);
            assert!(self.now < end, "nobody acts");
            let well = |id: &u64, node: &Node| {
                !node.frozen && !self.cut.contains(id) && node.member.is_acting_primary()
            };
            if let Some((id, _)) = self.nodes.iter().find(|(id, node)| well(id, node)) {
                return *id;
            }
        }
    }

    fn clear(&mut self) {
        self.nodes.values_mut().for_each(|n| n.told.clear());
    }

    fn told(&self, id: u64, what: impl Fn(&Transition) -> bool) -> bool {
        self.nodes[&id].told.iter().any(what)
    }

    fn others(&self, than: u64) -> Vec<u64> {
        self.nodes
            .keys()
            .copied()
            .filter(|id| *id != than)
            .collect()
    }
}

#[test]
fn the_first_start_is_told_in_order() {
    let (world, primary) = World::settled();
    let told = &world.nodes[&primary].told;
    let position =
        |what: &dyn Fn(&Transition) -> bool| told.iter().position(what).expect("it is told");
    let order = [
        position(&|t| matches!(t, Transition::ElectionStarted { view: 0 })),
        position(&|t| matches!(t, Transition::PromisesRequested { .. })),
        position(&|t| matches!(t, Transition::SnapshotSent { .. })),
        position(&|t| {
            matches!(
                t,
                Transition::ViewAccepted {
                    position: MembershipRole::Primary,
                    ..
                }
            )
        }),
        position(&|t| {
            matches!(
                t,
                Transition::ElectionWon {
                    ledger: Some(0),
                    ..
                }
            )
        }),
        position(&|t| matches!(t, Transition::LeaseHeld { .. })),
    ];
    assert!(order.is_sorted(), "{told:?}");
    let accepted = |wanted: MembershipRole| {
        let of = |t: &Transition| matches!(t, Transition::ViewAccepted { position, .. } if *position == wanted);
        let mut others = world.others(primary);
        others.retain(|id| world.told(*id, of));
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
    assert!(world.told(replicas[0], |t| matches!(
        t,
        Transition::SnapshotTaken { seq: 0, .. }
    )));
    assert!(!world.told(witnesses[0], |t| matches!(
        t,
        Transition::SnapshotTaken { .. }
    )));
    for other in world.others(primary) {
        assert!(world.told(other, |t| matches!(t, Transition::Promised { .. })));
        let follows = |t: &Transition| matches!(t, Transition::LeaseGranted { primary: p, .. } if p.id == primary);
        assert!(world.told(other, follows));
    }
}

#[test]
fn nothing_is_told_while_all_is_well() {
    let (mut world, primary) = World::settled();
    world.clear();
    for version in 1..200 {
        let command = Command::Drain {
            host: format!("i-{version}"),
        };
        world.input(
            primary,
            Input::Command {
                ticket: version,
                command,
            },
        );
        world.run(Duration::from_millis(300));
    }
    for (id, node) in &world.nodes {
        assert_eq!(node.told, [], "member {id}");
    }
}

#[test]
fn a_frozen_primary_s_takeover_is_told_by_all() {
    let (mut world, old) = World::settled();
    world.clear();
    world.node(old).frozen = true;
    let new = world.until_led();
    world.run(Duration::from_secs(19));
    for other in world.others(old) {
        let over = |t: &Transition| matches!(t, Transition::LeaseOver { primary, .. } if primary.id == old);
        assert!(world.told(other, over), "{:?}", world.nodes[&other].told);
    }
    assert!(world.told(new, |t| matches!(t, Transition::ElectionStarted { .. })));
    assert!(world.told(new, |t| matches!(t, Transition::ElectionWon { .. })));
    assert!(world.told(new, |t| matches!(t, Transition::LeaseHeld { .. })));
    // It wakes: its lease is long over.
    world.node(old).frozen = false;
    world.input(old, Input::Tick);
    let ended = |t: &Transition| {
        matches!(
            t,
            Transition::SteppedDown {
                cause: StepDownCause::LeaseEnded,
                ..
            }
        )
    };
    assert!(world.told(old, ended), "{:?}", world.nodes[&old].told);
    assert_eq!(world.nodes[&old].recorder.counters().leases_lost, 1);
    world.run(Duration::from_secs(5));
    let follows =
        |t: &Transition| matches!(t, Transition::LeaseGranted { primary, .. } if primary.id == new);
    assert!(world.told(old, follows), "{:?}", world.nodes[&old].told);
}

#[test]
fn a_member_that_is_cut_off_tells_once_that_it_stands() {
    let (mut world, primary) = World::settled();
    world.clear();
    let cut = world.others(primary)[0];
    let before = world.nodes[&cut].recorder.counters().elections;
    world.cut.insert(cut);
    world.run(Duration::from_secs(20));
    let node = &world.nodes[&cut];
    let stands = node
        .told
        .iter()
        .filter(|t| matches!(t, Transition::ElectionStarted { .. }))
        .count();
    assert_eq!(stands, 1, "{:?}", node.told);
    assert!(!world.told(
        cut,
        |t| matches!(t, Transition::ElectionAbandoned { phase, .. }
        if *phase == ElectionPhase::PreVote)
    ));
    let tries = node.recorder.counters().elections - before;
    assert!(tries > 5, "further tries are counted: {tries}");
}

#[rstest]
#[case(Disk::Refuses, DiskState::Refused)]
#[case(Disk::Stalls, DiskState::Stalled)]
fn a_primary_whose_disk_fails_yields_and_says_why(#[case] disk: Disk, #[case] state: DiskState) {
    let (mut world, primary) = World::settled();
    world.clear();
    world.node(primary).disk = disk;
    let command = Command::Drain { host: "i-1".into() };
    world.input(primary, Input::Command { ticket: 1, command });
    world.run(Duration::from_secs(5));
    let told = world.nodes[&primary].told.clone();
    assert!(told.contains(&Transition::Disk { state }), "{told:?}");
    let yields = |t: &&Transition| {
        matches!(
            t,
            Transition::SteppedDown {
                cause: StepDownCause::Disk,
                ..
            }
        )
    };
    assert_eq!(told.iter().filter(yields).count(), 1, "{told:?}");
    assert_eq!(world.nodes[&primary].recorder.counters().disk_faults, 1);
    world.until_led();
    world.node(primary).disk = Disk::Well;
    for wrote in std::mem::take(&mut world.node(primary).stalled) {
        world.input(primary, wrote);
    }
    world.run(Duration::from_secs(2));
    assert!(world.told(primary, |t| *t
        == Transition::Disk {
            state: DiskState::Healthy
        }));
}

#[test]
fn voters_that_come_and_go_are_named() {
    let (mut world, primary) = World::settled();
    let lost = world.others(primary)[0];
    world.nodes.remove(&lost);
    world.clear();
    // Long enough that its silence counts when the newcomer shows: one is exchanged for the other in one view.
    world.run(LEASE);
    world.start(4, false, Vec::new());
    for _ in 0..40 {
        // A link shows that it is there.
        world.input(primary, Input::PeerReachable { member: seat(4) });
        world.run(Duration::from_millis(250));
    }
    let exchanged = |t: &Transition| match t {
        Transition::ViewAccepted { added, removed, .. } => {
            let ids = |seats: &[MemberInfo]| seats.iter().map(|s| s.id).collect::<Vec<_>>();
            ids(added) == [4] && ids(removed) == [lost]
        }
        _ => false,
    };
    assert!(
        world.told(primary, exchanged),
        "{:?}",
        world.nodes[&primary].told
    );
    assert!(world.told(primary, |t| matches!(
        t,
        Transition::ViewChangeStarted { .. }
    )));
    let joined = |t: &Transition| {
        matches!(t, Transition::ViewAccepted { before: MembershipRole::Joining, position, .. }
            if *position != MembershipRole::Joining)
    };
    assert!(world.told(4, joined), "{:?}", world.nodes[&4].told);
}

#[test]
fn a_primary_that_leaves_tells_it() {
    let (mut world, primary) = World::settled();
    world.clear();
    world.input(primary, Input::Depart);
    assert!(
        !world.left.contains(&primary),
        "a replica that leaves hands over first"
    );
    world.run(Duration::from_secs(4));
    assert!(world.left.contains(&primary));
    let told = &world.nodes[&primary].told;
    assert_eq!(told[0], Transition::Leaving);
    let yields = |t: &Transition| {
        matches!(
            t,
            Transition::SteppedDown {
                cause: StepDownCause::Leaving,
                ..
            }
        )
    };
    assert!(told.iter().any(yields), "{told:?}");
}

#[test]
fn a_restarted_replica_tells_what_it_shows_and_what_its_disk_holds() {
    let (mut world, primary) = World::settled();
    let command = Command::Drain { host: "i-1".into() };
    world.input(primary, Input::Command { ticket: 1, command });
    world.run(Duration::from_secs(2));
    let records = world.nodes[&primary].records.clone();
    let epoch = world.nodes[&primary].member.membership().unwrap().epoch;
    world.start(primary, false, records);
    let summary = world.nodes[&primary].recorder.summary();
    assert_eq!(
        (
            summary.membership.as_ref().unwrap().epoch,
            summary.durable_index
        ),
        (epoch, Some(1))
    );
    world.input(primary, Input::Tick);
    let restored = Transition::LedgerRestored { seq: 1, version: 0 };
    assert_eq!(world.nodes[&primary].told.first(), Some(&restored));
}

#[test]
fn a_promise_to_another_is_told_and_takes_the_primary_s_place() {
    let (mut world, primary) = World::settled();
    world.clear();
    let other = world.others(primary)[0];
    // Its own lease is let go first: a voter promises nobody else before.
    world.cut.insert(primary);
    world.run(2 * LEASE);
    world.cut.clear();
    let epoch = (1 << 60) + other;
    let message = Message::Prepare {
        epoch,
        candidate: seat(other),
    };
    world.input(
        primary,
        Input::Message {
            from: seat(other),
            message,
        },
    );
    let told = |t: &Transition| matches!(t, Transition::Promised { epoch: e, .. } if *e == epoch);
    assert!(
        world.told(primary, told),
        "{:?}",
        world.nodes[&primary].told
    );
}
