//! A member whose links are cut, both ways or one way, for longer than all leases and patience, while orders go on at
//! the others: it confirms nothing, refuses nothing, and nobody takes its old configuration for the newest.

use crate::harness::callers::{
    call_until_conclusive, configuration_version, PendingCall, TestOperator, READ,
};
use crate::harness::cluster::TestCluster;
use crate::harness::relay::Direction;
use crate::harness::wait_until;
use fennelpin_cli::local::cluster::Program;
use replication::{CONFIRMATION_TIMEOUT, STALE_AGE_MS};
use rstest::rstest;
use std::time::{Duration, Instant, SystemTime};

const ALL: [u8; 3] = [1, 2, 3];
/// How long a cut lasts: several times the longest of the stage's waits, a member's patience with a call.
const CUT: Duration = Duration::from_secs(5);
/// Who says that its news are current may be behind by so much.
const STALE: Duration = Duration::from_millis(STALE_AGE_MS as u64);
/// Orders that the others take while calls wait at the member that is cut off.
const MEANWHILE: usize = 5;
/// The machine whose agent runs the whole time.
const LASTING: u8 = 1;
/// The machine whose agent starts during the cut and reaches no other member.
const BESIDE: u8 = 2;
/// The machine whose agent starts during the cut and reaches all members.
const ELSEWHERE: u8 = 3;

/// What a member is when it is cut off.
#[derive(Clone, Copy, Debug, PartialEq)]
enum MemberRole {
    Primary,
    Backup,
    Witness,
}

/// Which of a member's directions are cut.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LostDirections {
    Both,
    /// Nobody hears it.
    Outward,
    /// It hears nobody.
    Inward,
}

impl LostDirections {
    fn directions(self, member: &str, other: &str) -> Vec<Direction> {
        let (outward, inward) = (Direction::new(member, other), Direction::new(other, member));
        match self {
            LostDirections::Both => vec![outward, inward],
            LostDirections::Outward => vec![outward],
            LostDirections::Inward => vec![inward],
        }
    }
}

fn core(n: u8) -> String {
    format!("core-{n}")
}

/// What is cut: the member from the others, and the agent that starts beside it from these.
fn partitions(lost: LostDirections, old: u8, others: &[u8]) -> Vec<Direction> {
    let beside = format!("edge-{BESIDE}");
    let of = |other: &u8| {
        [
            lost.directions(&core(old), &core(*other)),
            LostDirections::Both.directions(&beside, &core(*other)),
        ]
        .concat()
    };
    others.iter().flat_map(of).collect()
}

fn with_role(cluster: &TestCluster, role: MemberRole) -> u8 {
    let primary = cluster.wait_until_stable(&ALL);
    let backup = cluster.backups(&ALL, primary)[0];
    match role {
        MemberRole::Primary => primary,
        MemberRole::Backup => backup,
        MemberRole::Witness => 6 - primary - backup,
    }
}

/// Starts a machine's agent and proxy anew; how many versions its earlier proxies have had in force.
fn start_afresh(cluster: &mut TestCluster, edge: u8) -> usize {
    for program in ["agent", "proxy"] {
        cluster.processes.kill(&format!("edge-{edge}/{program}"));
    }
    let before = cluster.versions_in_force(edge).len();
    cluster
        .processes
        .start(Program::Agent, edge, false)
        .unwrap();
    cluster
        .processes
        .start(Program::Proxy, edge, false)
        .unwrap();
    before
}

/// Sends calls to the member that is cut off, the others orders, and judges what the first one says.
fn check(cluster: &TestCluster, old: u8, operator: &mut TestOperator) {
    let control = cluster.control(old);
    let known = operator.newest();
    let read = PendingCall::at(control, &READ);
    let again = PendingCall::at(control, &operator.last().call());
    // The others are sent the same order, so that it does no harm where the member passes it on.
    let next = operator.next();
    let next = PendingCall::at(control, &next.call());
    (0..MEANWHILE).for_each(|_| operator.order());

    let read = read.answer();
    assert!(
        read.status >= 500 || configuration_version(&read) >= known,
        "an old configuration: {read:?}"
    );
    let again = again.answer();
    assert!(
        again.status == 200 || again.status >= 500,
        "taken long ago: {again:?}"
    );
    let next = next.answer();
    assert!(
        next.status >= 500,
        "neither taken nor refused by who is cut off: {next:?}"
    );
}

/// Waits until a machine's proxy has the newest version in force, and tells all since `before`.
fn caught_up(cluster: &TestCluster, edge: u8, before: usize, newest: u64) -> Vec<u64> {
    wait_until(&format!("edge-{edge} has version {newest}"), || {
        let all = cluster.versions_in_force(edge);
        (all.len() > before && all.last() >= Some(&newest)).then(|| all[before..].to_vec())
    })
}

#[rstest]
#[case::primary(MemberRole::Primary)]
#[case::backup(MemberRole::Backup)]
#[case::witness(MemberRole::Witness)]
fn member_when_partitioned_then_confirms_and_rejects_nothing(#[case] role: MemberRole) {
    let mut cluster = TestCluster::relayed(3, 1);
    let mut operator = cluster.operator(&ALL);
    for lost in [
        LostDirections::Both,
        LostDirections::Outward,
        LostDirections::Inward,
    ] {
        (0..5).for_each(|_| operator.order());
        let old = with_role(&cluster, role);
        let others: Vec<u8> = ALL.into_iter().filter(|n| *n != old).collect();
        let known = operator.newest();
        println!("{role:?} core-{old} loses {lost:?} at version {known}");
        cluster.partitions.set(partitions(lost, old, &others));
        let cut = Instant::now();
        operator = cluster.with_members(operator, &others);
        let beside = start_afresh(&mut cluster, BESIDE);
        let current = |operator: &TestOperator| operator.newest_at(Instant::now() - STALE);
        while current(&operator) <= known {
            check(&cluster, old, &mut operator);
        }
        let oldest = current(&operator);
        let started = SystemTime::UNIX_EPOCH.elapsed().unwrap();
        let elsewhere = start_afresh(&mut cluster, ELSEWHERE);
        while cut.elapsed() < CUT {
            check(&cluster, old, &mut operator);
        }
        let status = cluster.status(old).unwrap();
        assert_eq!(status["member"]["acts"], false, "{status}");
        // Others can be reached there.
        let shown = caught_up(&cluster, ELSEWHERE, elsewhere, operator.newest());
        // It waits so long for who knows better; on a busy machine nobody may have answered by then.
        let came = cluster.versions_in_force_at(ELSEWHERE).split_off(elsewhere);
        let told = |(at, version): &(Duration, u64)| {
            *version >= oldest || *at >= started + CONFIRMATION_TIMEOUT
        };
        assert!(
            came.iter().all(told) && shown.is_sorted(),
            "{came:?}, {oldest} was current at its start at {started:?}\n{}",
            cluster.logs(&format!("edge-{ELSEWHERE}"))
        );

        cluster.partitions.set([]);
        let shown = caught_up(&cluster, BESIDE, beside, operator.newest());
        assert!(shown.is_sorted(), "never back: {shown:?}");
        cluster.wait_until_stable(&ALL);
        operator = cluster.with_members(operator, &ALL);
        operator.order();
        for n in ALL {
            operator.assert_reads_back(cluster.control(n));
            let again = call_until_conclusive(&mut [cluster.control(n)], &operator.last().call());
            assert_eq!(again.status, 200, "taken, by core-{n}'s word: {again:?}");
        }
        for edge in [LASTING, BESIDE, ELSEWHERE] {
            caught_up(&cluster, edge, 0, operator.newest());
        }
    }
    let shown = cluster.versions_in_force(LASTING);
    assert!(shown.is_sorted(), "never back: {shown:?}");
}
