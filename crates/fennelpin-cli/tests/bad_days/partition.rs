//! A member whose links are cut, both ways or one way, for longer than all leases and patience, while orders go on at
//! the others: it confirms nothing, refuses nothing, and nobody takes its old configuration for the newest.

use crate::callers::{until_clear, version_of, Operator, Waiting, READ};
use crate::relay::Direction;
use crate::stage::{until, Stage};
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
enum Role {
    Primary,
    Backup,
    Witness,
}

/// Which of a member's directions are cut.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Lost {
    Both,
    /// Nobody hears it.
    Outward,
    /// It hears nobody.
    Inward,
}

impl Lost {
    fn directions(self, member: &str, other: &str) -> Vec<Direction> {
        let (outward, inward) = (Direction::new(member, other), Direction::new(other, member));
        match self {
            Lost::Both => vec![outward, inward],
            Lost::Outward => vec![outward],
            Lost::Inward => vec![inward],
        }
    }
}

fn core(n: u8) -> String {
    format!("core-{n}")
}

/// What is cut: the member from the others, and the agent that starts beside it from these.
fn cuts(lost: Lost, old: u8, others: &[u8]) -> Vec<Direction> {
    let beside = format!("edge-{BESIDE}");
    let of = |other: &u8| {
        [
            lost.directions(&core(old), &core(*other)),
            Lost::Both.directions(&beside, &core(*other)),
        ]
        .concat()
    };
    others.iter().flat_map(of).collect()
}

fn with_role(stage: &Stage, role: Role) -> u8 {
    let primary = stage.settled(&ALL);
    let backup = stage.backups(&ALL, primary)[0];
    match role {
        Role::Primary => primary,
        Role::Backup => backup,
        Role::Witness => 6 - primary - backup,
    }
}

/// Starts a machine's agent and proxy anew; how many versions its earlier proxies have had in force.
fn start_afresh(stage: &mut Stage, edge: u8) -> usize {
    for program in ["agent", "proxy"] {
        stage.fleet.kill(&format!("edge-{edge}/{program}"));
    }
    let before = stage.in_force(edge).len();
    stage.fleet.start(Program::Agent, edge, false).unwrap();
    stage.fleet.start(Program::Proxy, edge, false).unwrap();
    before
}

/// Sends calls to the member that is cut off, the others orders, and judges what the first one says.
fn judge(stage: &Stage, old: u8, operator: &mut Operator) {
    let control = stage.control(old);
    let known = operator.newest();
    let read = Waiting::at(control, &READ);
    let again = Waiting::at(control, &operator.last().call());
    // The others are sent the same order, so that it does no harm where the member passes it on.
    let next = operator.next();
    let next = Waiting::at(control, &next.call());
    (0..MEANWHILE).for_each(|_| operator.order());

    let read = read.answer();
    assert!(
        read.status >= 500 || version_of(&read) >= known,
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
fn caught_up(stage: &Stage, edge: u8, before: usize, newest: u64) -> Vec<u64> {
    until(&format!("edge-{edge} has version {newest}"), || {
        let all = stage.in_force(edge);
        (all.len() > before && all.last() >= Some(&newest)).then(|| all[before..].to_vec())
    })
}

#[rstest]
#[case::primary(Role::Primary)]
#[case::backup(Role::Backup)]
#[case::witness(Role::Witness)]
fn a_member_that_is_cut_off_confirms_and_refuses_nothing(#[case] role: Role) {
    let mut stage = Stage::relayed(3, 1);
    let mut operator = stage.operator(&ALL);
    for lost in [Lost::Both, Lost::Outward, Lost::Inward] {
        (0..5).for_each(|_| operator.order());
        let old = with_role(&stage, role);
        let others: Vec<u8> = ALL.into_iter().filter(|n| *n != old).collect();
        let known = operator.newest();
        println!("{role:?} core-{old} loses {lost:?} at version {known}");
        stage.cuts.set(cuts(lost, old, &others));
        let cut = Instant::now();
        operator = stage.only(operator, &others);
        let beside = start_afresh(&mut stage, BESIDE);
        let current = |operator: &Operator| operator.newest_at(Instant::now() - STALE);
        while current(&operator) <= known {
            judge(&stage, old, &mut operator);
        }
        let oldest = current(&operator);
        let started = SystemTime::UNIX_EPOCH.elapsed().unwrap();
        let elsewhere = start_afresh(&mut stage, ELSEWHERE);
        while cut.elapsed() < CUT {
            judge(&stage, old, &mut operator);
        }
        let status = stage.status(old).unwrap();
        assert_eq!(status["member"]["acts"], false, "{status}");
        // Others can be reached there.
        let shown = caught_up(&stage, ELSEWHERE, elsewhere, operator.newest());
        // It waits so long for who knows better; on a busy machine nobody may have answered by then.
        let came = stage.came_in_force(ELSEWHERE).split_off(elsewhere);
        let told = |(at, version): &(Duration, u64)| {
            *version >= oldest || *at >= started + CONFIRMATION_TIMEOUT
        };
        assert!(
            came.iter().all(told) && shown.is_sorted(),
            "{came:?}, {oldest} was current at its start at {started:?}\n{}",
            stage.logs(&format!("edge-{ELSEWHERE}"))
        );

        stage.cuts.set([]);
        let shown = caught_up(&stage, BESIDE, beside, operator.newest());
        assert!(shown.is_sorted(), "never back: {shown:?}");
        stage.settled(&ALL);
        operator = stage.only(operator, &ALL);
        operator.order();
        for n in ALL {
            operator.read_back(stage.control(n));
            let again = until_clear(&mut [stage.control(n)], &operator.last().call());
            assert_eq!(again.status, 200, "taken, by core-{n}'s word: {again:?}");
        }
        for edge in [LASTING, BESIDE, ELSEWHERE] {
            caught_up(&stage, edge, 0, operator.newest());
        }
    }
    let shown = stage.in_force(LASTING);
    assert!(shown.is_sorted(), "never back: {shown:?}");
}
