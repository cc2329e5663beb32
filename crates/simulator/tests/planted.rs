//! Planted bugs, each found by the search within a stated number of seeds of a mode.

use rstest::rstest;
use simulator::{run, Fault, Mode, Orders, Plan, Planted};
use std::time::Duration;

/// Whether a plan finds a bug; what breaks without the bug shows nothing of it.
fn finds(planted: Planted, plan: Plan) -> bool {
    let breaks = |plan: Plan| !run(&plan).breaches.is_empty();
    breaks(Plan {
        planted,
        ..plan.clone()
    }) && !breaks(plan)
}

/// The first seed that finds a bug.
fn first_find(planted: Planted, mode: Mode, within: u64) -> Option<u64> {
    (0..within).find(|seed| finds(planted, mode.plan(*seed)))
}

#[rstest]
#[case(Planted::NoSync, Mode::Aimed, 20)]
#[case(Planted::NoSnapshot, Mode::Aimed, 20)]
#[case(Planted::TooFewReplicas, Mode::Aimed, 20)]
#[case(Planted::TooFewReplicas, Mode::Zones, 20)]
#[case(Planted::ClockStopsInFreeze, Mode::Double, 60)]
#[case(Planted::ReadsAnywhere, Mode::Double, 20)]
#[case(Planted::RestoredAsFresh, Mode::Double, 20)]
#[case(Planted::CountedBeforeLedger, Mode::Long, 20)]
#[case(Planted::TakenCallsNotInSnapshot, Mode::Aimed, 40)]
#[case(Planted::DrainsNotInSnapshot, Mode::Double, 20)]
#[case(Planted::ReplaySkipsLastChange, Mode::Rough, 40)]
#[case(Planted::CommittedAheadOfReplicas, Mode::Rough, 40)]
#[case(Planted::ReplicaConfirmsEarly, Mode::Rough, 40)]
#[case(Planted::GrantedLeaseForgotten, Mode::Double, 20)]
#[case(Planted::FetchedLedgerIsOld, Mode::Rough, 40)]
#[case(Planted::AnswersMixedUp, Mode::Double, 20)]
#[case(Planted::TimeoutConfirmed, Mode::Double, 20)]
#[case(Planted::TimeoutRefused, Mode::Double, 20)]
#[case(Planted::EarlyRefused, Mode::Double, 20)]
#[case(Planted::ForgetsPromises, Mode::Promises, 500)]
#[case(Planted::MirrorGoesBack, Mode::Aimed, 20)]
#[case(Planted::WipedVotes, Mode::Rough, 60)]
#[case(Planted::LosesEveryTenthWrite, Mode::Drawn, 20)]
fn a_planted_bug_is_found(#[case] planted: Planted, #[case] mode: Mode, #[case] within: u64) {
    let found = first_find(planted, mode, within);
    assert!(
        found.is_some(),
        "{planted:?} was not found within {within} seeds of {mode:?}"
    );
}

/// A single draw of few seeds is a matter of luck where a bug needs two rare things at once; its rate over more seeds
/// is not: one find for each `one_in` of so many seeds.
#[rstest]
#[case(Planted::NoSync, Mode::Double, 40, 200)]
fn a_planted_bug_is_found_so_often(
    #[case] planted: Planted,
    #[case] mode: Mode,
    #[case] one_in: u64,
    #[case] seeds: u64,
) {
    let found = (0..seeds)
        .filter(|seed| finds(planted, mode.plan(*seed)))
        .count() as u64;
    assert!(
        found * one_in >= seeds,
        "{planted:?} was found by {found} of {seeds} seeds of {mode:?}"
    );
}

/// The first of three members acts. The third is out of touch for long enough to be replaced, and back in touch just
/// as a fourth joins in its place; the second loses touch with the first, who has the promise of the third alone.
/// Before the third hears of the new view the four are cut in two: those who know that view, and those who know the
/// one before.
fn cut_in_two_while_a_voter_is_replaced(seed: u64, after: Duration) -> Plan {
    let (joins, long) = (Duration::from_millis(7000), Duration::from_secs(10));
    let silent = Duration::from_millis(3600);
    let faults = vec![
        (joins - silent, Fault::Cut(2, silent, None)),
        (
            joins - Duration::from_millis(20),
            Fault::CutPair(0, 1, long),
        ),
        (joins, Fault::Join),
        (joins + after, Fault::CutPair(0, 2, long)),
        (joins + after, Fault::CutPair(3, 1, long)),
        (joins + after, Fault::CutPair(3, 2, long)),
    ];
    let (orders, length) = (Some(Orders::default()), joins + long);
    Plan {
        strict: true,
        safety_only: true,
        orders,
        faults,
        length,
        ..Plan::calm(seed)
    }
}

/// It takes two majorities that don't meet: one of the voters before a replacement and one of those after it, where
/// the voter that the two have in common is on one side only.
#[test]
fn voters_before_forgotten_is_found() {
    let planted = Planted::VotersBeforeForgotten;
    let tries = (0..20).flat_map(|seed| (4..16).map(move |ms| (seed, Duration::from_millis(ms))));
    let plans: Vec<Plan> = tries
        .map(|(seed, after)| cut_in_two_while_a_voter_is_replaced(seed, after))
        .collect();
    let broken = plans
        .iter()
        .map(run)
        .find(|report| !report.breaches.is_empty());
    assert!(
        broken.is_none(),
        "{:?}",
        broken.map(|report| report.breaches)
    );
    let found = plans.iter().find(|plan| finds(planted, Plan::clone(plan)));
    assert!(found.is_some(), "{planted:?} was not found");
}
