//! Schedules of the modes that bring the worst days about: no breach in any of them.

use rstest::rstest;
use simulator::{code, run, shrink, Aimed, Fault, Mode, Moment, Orders, Plan, Planted, Who};
use std::time::Duration;

#[rstest]
#[case(Mode::Long, 8)]
#[case(Mode::Aimed, 60)]
#[case(Mode::Double, 80)]
#[case(Mode::Storm, 6)]
#[case(Mode::Promises, 100)]
#[case(Mode::Zones, 12)]
fn schedules_of_a_mode_break_nothing(#[case] mode: Mode, #[case] many: u64) {
    let broken: Vec<_> = (0..many)
        .map(|seed| (seed, run(&mode.plan(seed)).breaches))
        .filter(|r| !r.1.is_empty())
        .collect();
    let small = broken.first().map(|b| code(&shrink(&mode.plan(b.0))));
    assert!(
        broken.is_empty(),
        "{mode:?}: {broken:#?}, the first one made small: {small:?}"
    );
}

/// Whole zones are cut off, lose power, stand still and lose their disks, in runs with clocks that drift and without.
#[test]
fn zones_are_lost_whole() {
    let struck: Vec<Fault> = (0..12)
        .flat_map(|seed| run(&Plan::zones(seed)).struck)
        .map(|(_, fault)| fault)
        .collect();
    let times = |of: fn(&Fault) -> bool| struck.iter().filter(|fault| of(fault)).count();
    assert!(
        times(|fault| matches!(fault, Fault::CutZone(..))) >= 4,
        "{struck:?}"
    );
    assert!(
        times(|fault| matches!(fault, Fault::Power(..))) >= 4,
        "{struck:?}"
    );
    assert!(
        times(|fault| matches!(fault, Fault::Freeze(..))) >= 4,
        "{struck:?}"
    );
    assert!(
        times(|fault| matches!(fault, Fault::Wipe(..))) >= 4,
        "{struck:?}"
    );
    assert!((0..12).any(|seed| Plan::zones(seed).drift_ppm > 0));
}

/// A run of a mode is the same again, agents and operators with it.
#[rstest]
fn a_run_of_a_mode_is_the_same_again(#[values(Mode::Long, Mode::Aimed, Mode::Double)] mode: Mode) {
    let (a, b) = (run(&mode.plan(3)), run(&mode.plan(3)));
    assert_eq!(
        (a.steps, a.acknowledged, a.epoch, a.struck),
        (b.steps, b.acknowledged, b.epoch, b.struck)
    );
}

/// All machines lose power while the first view is on its way to the replicas; what of it was written is drawn.
fn all_power_at_the_first_view(seed: u64) -> Plan {
    let power = Fault::PowerAll(Duration::from_millis(333), None);
    let (moment, who) = (Moment::Composed, Who::Primary);
    let aimed = Aimed {
        moment,
        nth: 1,
        delay: Duration::from_micros(1190),
        who,
        fault: power,
    };
    let orders = Some(Orders::default());
    Plan {
        strict: true,
        orders,
        aimed: vec![aimed],
        ..Plan::calm(seed)
    }
}

/// Seeds of the plan above that are played.
const POWER_SEEDS: u64 = 40;

/// Members whose disks held a promise and no view had no say any more, and nobody acted for good.
#[test]
fn the_first_view_survives_a_loss_of_all_power() {
    for seed in 0..POWER_SEEDS {
        let report = run(&all_power_at_the_first_view(seed));
        assert!(report.breaches.is_empty(), "{seed}: {:?}", report.breaches);
        assert!(
            report.acknowledged > 0 && report.struck.len() == 1,
            "{seed}: {report:?}"
        );
    }
}

/// The first of these plans that finds the fault which was once found by them.
fn found_again() -> Option<Plan> {
    let planted = Planted::InitialVotersForgotten;
    let mut plans = (0..POWER_SEEDS).map(|seed| Plan {
        planted,
        ..all_power_at_the_first_view(seed)
    });
    plans.find(|plan| !run(plan).breaches.is_empty())
}

#[test]
fn the_loss_of_all_power_at_the_first_view_finds_the_fault_that_it_once_found() {
    assert!(found_again().is_some());
}

/// What doesn't matter to a breach goes, what does stays.
#[test]
fn a_broken_plan_is_made_small() {
    let mut plan = found_again().unwrap();
    plan.faults = vec![(
        Duration::from_secs(5),
        Fault::Freeze(1, Duration::from_millis(500)),
    )];
    assert!(!run(&plan).breaches.is_empty());
    let small = shrink(&plan);
    assert_eq!(
        (small.faults.len(), small.aimed.len()),
        (0, 1),
        "{}",
        code(&small)
    );
    assert!(code(&small).contains("Fault::PowerAll"), "{}", code(&small));
}

/// A fault that the budget doesn't allow yet strikes at exactly the time from which it does.
#[test]
fn the_next_loss_comes_at_exactly_the_bound() {
    let (back, first) = (Duration::from_millis(500), Duration::from_millis(5000));
    let faults = vec![
        (first, Fault::Kill(0, back)),
        (first + back, Fault::Kill(1, back)),
    ];
    let report = run(&Plan {
        strict: true,
        orders: Some(Orders::default()),
        faults,
        ..Plan::calm(5)
    });
    let times: Vec<Duration> = report.struck.iter().map(|s| s.0).collect();
    assert_eq!(
        times,
        [first, first + back + Duration::from_secs(4)],
        "{:?}",
        report.breaches
    );
    assert!(report.breaches.is_empty(), "{:?}", report.breaches);
}
