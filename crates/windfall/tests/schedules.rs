//! Drawn schedules of faults: no breach in any of them, and planted bugs found.

use rstest::rstest;
use windfall::{run, Fault, Plan, Planted};

#[test]
fn a_hundred_drawn_schedules_break_nothing() {
    let many: u64 = std::env::var("WINDFALL_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(100);
    let broken: Vec<_> =
        (0..many).map(|seed| (seed, run(&Plan::drawn(seed)))).filter(|r| !r.1.breaches.is_empty()).collect();
    let shown: Vec<_> =
        broken.iter().map(|(s, r)| (s, Plan::drawn(*s).faults, &r.breaches)).take(5).collect();
    assert!(broken.is_empty(), "{} of {many}: {shown:#?}", broken.len());
}

#[test]
fn a_run_is_the_same_again() {
    let (a, b) = (run(&Plan::drawn(7)), run(&Plan::drawn(7)));
    assert_eq!((a.steps, a.acknowledged, a.epoch), (b.steps, b.acknowledged, b.epoch));
}

#[rstest]
#[case(Planted::NoSync)]
#[case(Planted::ForgetsPromises)]
#[case(Planted::WipedVotes)]
#[case(Planted::TooFewCopies)]
#[case(Planted::NoSnapshot)]
#[case(Planted::LosesEveryTenthWrite)]
fn a_planted_bug_is_found_within_a_thousand_seeds(#[case] planted: Planted) {
    let found = (0..1000).find(|seed| !run(&Plan { planted, ..Plan::drawn(*seed) }).breaches.is_empty());
    assert!(found.is_some(), "{planted:?} was not found");
}

#[test]
fn the_same_seed_with_no_faults_is_calm() {
    let report = run(&Plan::calm(3));
    assert!(report.breaches.is_empty(), "{:?}", report.breaches);
    let calm: Vec<(std::time::Duration, Fault)> = vec![];
    assert_eq!(Plan::calm(3).faults, calm);
}
