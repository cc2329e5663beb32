//! Plans of the modes with the hardest faults: no violation in any of them.

use rstest::rstest;
use simulator::{
    plan_as_code, run, shrink, ClientWorkload, Fault, FaultTarget, FaultTrigger, Mode, Plan,
    SeededBug, TriggeredFault,
};
use std::time::Duration;

#[rstest]
#[case(Mode::Long, 8)]
#[case(Mode::Aimed, 60)]
#[case(Mode::Double, 80)]
#[case(Mode::Storm, 6)]
#[case(Mode::Promises, 100)]
#[case(Mode::Zones, 12)]
#[case(Mode::Halves, 60)]
fn no_violation_when_plans_of_a_mode_run(#[case] mode: Mode, #[case] many: u64) {
    let violating: Vec<_> = (0..many)
        .map(|seed| (seed, run(&mode.plan(seed)).violations))
        .filter(|r| !r.1.is_empty())
        .collect();
    let small = violating
        .first()
        .map(|b| plan_as_code(&shrink(&mode.plan(b.0))));
    assert!(
        violating.is_empty(),
        "{mode:?}: {violating:#?}, the first one made small: {small:?}"
    );
}

/// Whole zones are cut off, lose power, freeze and lose their disks, in runs with drifting clocks and without.
#[test]
fn whole_zones_are_lost_when_mode_is_zones() {
    let injected: Vec<Fault> = (0..12)
        .flat_map(|seed| run(&Plan::zones(seed)).injected_faults)
        .map(|(_, fault)| fault)
        .collect();
    let times = |is: fn(&Fault) -> bool| injected.iter().filter(|fault| is(fault)).count();
    assert!(
        times(|fault| matches!(fault, Fault::CutZone(..))) >= 4,
        "{injected:?}"
    );
    assert!(
        times(|fault| matches!(fault, Fault::Power(..))) >= 4,
        "{injected:?}"
    );
    assert!(
        times(|fault| matches!(fault, Fault::Freeze(..))) >= 4,
        "{injected:?}"
    );
    assert!(
        times(|fault| matches!(fault, Fault::Wipe(..))) >= 4,
        "{injected:?}"
    );
    assert!((0..12).any(|seed| Plan::zones(seed).clock_drift_ppm > 0));
}

/// How many other faults strike while members are split.
fn overlaps(injected: &[(Duration, Fault)]) -> usize {
    let lasts = |(at, fault): &(Duration, Fault)| *at..*at + fault.duration();
    let is_split = |fault: &Fault| matches!(fault, Fault::Split(..));
    let splits = injected.iter().filter(|(_, fault)| is_split(fault));
    let others = |time: &std::ops::Range<Duration>| {
        let inside = |(at, fault): &&(Duration, Fault)| !is_split(fault) && time.contains(at);
        injected.iter().filter(inside).count()
    };
    splits.map(lasts).map(|time| others(&time)).sum()
}

/// Members are cut into halves whatever the budget says, and lose each other for other reasons meanwhile.
#[test]
fn halves_are_cut_apart_under_other_faults_when_mode_is_halves() {
    let runs: Vec<_> = (0..12).map(|seed| run(&Plan::halves(seed))).collect();
    let splits = |fault: &Fault| matches!(fault, Fault::Split(..));
    let injected = runs.iter().map(|r| &r.injected_faults);
    let many = injected.clone().flatten().filter(|f| splits(&f.1)).count();
    assert!(many >= 24, "{many} splits");
    let overlapping: usize = injected.map(|faults| overlaps(faults)).sum();
    assert!(overlapping >= 24, "{overlapping} faults during splits");
    assert!(runs.iter().all(|run| run.acknowledged > 0));
}

/// With four members in two halves nobody has a majority: a primary acts again soon after they are joined, and all that
/// was acknowledged is there.
#[test]
fn primary_acts_again_when_halves_without_a_majority_are_joined() {
    let (at, lasts) = (Duration::from_secs(6), Duration::from_secs(9));
    let report = run(&Plan {
        members: 4,
        strict: true,
        safety_only: true,
        recovers: true,
        workload: Some(ClientWorkload::default()),
        faults: vec![(at, Fault::Split(0b0011, lasts))],
        duration: Duration::from_secs(25),
        ..Plan::without_faults(11)
    });
    assert!(report.violations.is_empty(), "{:?}", report.violations);
    let longest = report.gaps.iter().max().copied().unwrap_or_default();
    assert!(longest < lasts + Duration::from_secs(3), "{longest:?}");
}

/// Runs with agents and several clients are deterministic, too.
#[rstest]
fn run_is_the_same_when_plan_of_a_mode_is_repeated(
    #[values(Mode::Long, Mode::Aimed, Mode::Double, Mode::Halves)] mode: Mode,
) {
    let (a, b) = (run(&mode.plan(3)), run(&mode.plan(3)));
    assert_eq!(
        (a.steps, a.acknowledged, a.highest_epoch, a.injected_faults),
        (b.steps, b.acknowledged, b.highest_epoch, b.injected_faults)
    );
}

/// All machines lose power while the first membership is on its way to the replicas. How much of it reaches a disk is
/// random.
fn all_power_lost_at_the_first_membership(seed: u64) -> Plan {
    let power = Fault::PowerAll(Duration::from_millis(333), None);
    let (trigger, target) = (FaultTrigger::MembershipComposed, FaultTarget::Primary);
    let aimed = TriggeredFault {
        trigger,
        nth: 1,
        delay: Duration::from_micros(1190),
        target,
        fault: power,
    };
    let workload = Some(ClientWorkload::default());
    Plan {
        strict: true,
        workload,
        triggered_faults: vec![aimed],
        ..Plan::without_faults(seed)
    }
}

/// Number of seeds with which the plan above is run.
const POWER_SEEDS: u64 = 40;

/// Members whose disks held a promise and no membership were no voters any more, and no primary ever acted.
#[test]
fn no_violation_when_all_power_is_lost_at_the_first_membership() {
    for seed in 0..POWER_SEEDS {
        let report = run(&all_power_lost_at_the_first_membership(seed));
        assert!(
            report.violations.is_empty(),
            "{seed}: {:?}",
            report.violations
        );
        assert!(
            report.acknowledged > 0 && report.injected_faults.len() == 1,
            "{seed}: {report:?}"
        );
    }
}

/// The first of these plans that finds [`SeededBug::InitialVotersForgotten`], which was a real fault once.
fn first_plan_with_forgotten_initial_voters() -> Option<Plan> {
    let bug = SeededBug::InitialVotersForgotten;
    let mut plans = (0..POWER_SEEDS).map(|seed| Plan {
        seeded_bug: bug,
        ..all_power_lost_at_the_first_membership(seed)
    });
    plans.find(|plan| !run(plan).violations.is_empty())
}

#[test]
fn forgotten_initial_voters_are_found_when_all_power_is_lost_at_the_first_membership() {
    assert!(first_plan_with_forgotten_initial_voters().is_some());
}

/// Shrinking removes the fault that a violation doesn't need and keeps the one that it needs.
#[test]
fn only_the_needed_fault_is_left_when_a_violating_plan_is_shrunk() {
    let mut plan = first_plan_with_forgotten_initial_voters().unwrap();
    plan.faults = vec![(
        Duration::from_secs(5),
        Fault::Freeze(1, Duration::from_millis(500)),
    )];
    assert!(!run(&plan).violations.is_empty());
    let small = shrink(&plan);
    assert_eq!(
        (small.faults.len(), small.triggered_faults.len()),
        (0, 1),
        "{}",
        plan_as_code(&small)
    );
    assert!(
        plan_as_code(&small).contains("Fault::PowerAll"),
        "{}",
        plan_as_code(&small)
    );
}

/// A fault that the budget doesn't allow yet strikes exactly when it does.
#[test]
fn fault_strikes_exactly_when_the_budget_allows_it_again() {
    let (back, first) = (Duration::from_millis(500), Duration::from_millis(5000));
    let faults = vec![
        (first, Fault::Kill(0, back)),
        (first + back, Fault::Kill(1, back)),
    ];
    let report = run(&Plan {
        strict: true,
        workload: Some(ClientWorkload::default()),
        faults,
        ..Plan::without_faults(5)
    });
    let times: Vec<Duration> = report.injected_faults.iter().map(|s| s.0).collect();
    assert_eq!(
        times,
        [first, first + back + Duration::from_secs(4)],
        "{:?}",
        report.violations
    );
    assert!(report.violations.is_empty(), "{:?}", report.violations);
}
