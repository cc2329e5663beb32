//! Drawn and rough plans: no violation in any of them, and seeded bugs found.

use rstest::rstest;
use simulator::{run, Fault, Plan, SeededBug};

#[test]
fn no_violation_when_a_hundred_drawn_plans_run() {
    let many: u64 = std::env::var("SIMULATOR_SEEDS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(100);
    let violating: Vec<_> = (0..many)
        .map(|seed| (seed, run(&Plan::drawn(seed))))
        .filter(|r| !r.1.violations.is_empty())
        .collect();
    let last_published: Vec<_> = violating
        .iter()
        .map(|(s, r)| (s, Plan::drawn(*s).faults, &r.violations))
        .take(5)
        .collect();
    assert!(
        violating.is_empty(),
        "{} of {many}: {last_published:#?}",
        violating.len()
    );
}

#[test]
fn no_violation_when_two_hundred_rough_plans_run() {
    let violating: Vec<_> = (0..200)
        .map(|seed| (seed, run(&Plan::rough(seed)).violations))
        .filter(|r| !r.1.is_empty())
        .collect();
    assert!(violating.is_empty(), "{violating:#?}");
}

/// Each of these seeds violated something once; `docs/measurements/system.md` says what.
#[rstest]
fn no_violation_when_a_plan_that_once_violated_something_runs(
    #[values(
        6, 59, 83, 103, 209, 293, 328, 787, 1410, 1475, 1885, 1921, 1995, 2555, 2700, 2875, 2892,
        101_477
    )]
    seed: u64,
) {
    let report = run(&Plan::drawn(seed));
    assert!(
        report.violations.is_empty(),
        "{:?} {:?}",
        Plan::drawn(seed).faults,
        report.violations
    );
}

/// Of twelve members three are no voters. Before the simulator told them of the primary, as a process's mirror does, a
/// request whose attempts all went to them had no definite response for 4 s.
#[test]
fn requests_are_answered_in_time_when_they_go_to_members_that_are_no_voters() {
    let plan = Plan::aimed(101_714);
    let report = run(&plan);
    assert!(
        report.violations.is_empty(),
        "{:?} {:?}",
        plan.triggered_faults,
        report.violations
    );
}

#[test]
fn run_is_the_same_when_plan_is_repeated() {
    let (a, b) = (run(&Plan::drawn(7)), run(&Plan::drawn(7)));
    assert_eq!(
        (a.steps, a.acknowledged, a.highest_epoch),
        (b.steps, b.acknowledged, b.highest_epoch)
    );
}

/// [`SeededBug::ForgetsPromises`] has a mode of its own, in `seeded_bugs.rs`.
#[rstest]
#[case(SeededBug::NoSync)]
#[case(SeededBug::WipedMemberVotes)]
#[case(SeededBug::TooFewReplicas)]
#[case(SeededBug::NoSnapshot)]
#[case(SeededBug::LosesEveryTenthWrite)]
fn seeded_bug_is_found_within_a_thousand_seeds(#[case] bug: SeededBug) {
    let breaks = |plan: Plan| {
        !run(&Plan {
            seeded_bug: bug,
            ..plan
        })
        .violations
        .is_empty()
    };
    let found = (0..1000).find(|seed| breaks(Plan::rough(*seed)) || breaks(Plan::drawn(*seed)));
    assert!(found.is_some(), "{bug:?} was not found");
}

#[test]
fn no_violation_when_there_are_no_faults() {
    let report = run(&Plan::without_faults(3));
    assert!(report.violations.is_empty(), "{:?}", report.violations);
    let no_faults: Vec<(std::time::Duration, Fault)> = vec![];
    assert_eq!(Plan::without_faults(3).faults, no_faults);
}
