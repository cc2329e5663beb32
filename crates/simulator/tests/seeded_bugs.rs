//! Seeded bugs, each found within a stated number of seeds of a mode.

use rstest::rstest;
use simulator::{run, ClientWorkload, CutDirection, Fault, Mode, Plan, SeededBug};
use std::time::Duration;

/// Whether a plan finds a bug: it violates something with the bug and nothing without it.
fn finds(bug: SeededBug, plan: Plan) -> bool {
    let breaks = |plan: Plan| !run(&plan).violations.is_empty();
    breaks(Plan {
        seeded_bug: bug,
        ..plan.clone()
    }) && !breaks(plan)
}

/// The first seed that finds a bug.
fn first_find(bug: SeededBug, mode: Mode, within: u64) -> Option<u64> {
    (0..within).find(|seed| finds(bug, mode.plan(*seed)))
}

#[rstest]
#[case(SeededBug::NoSync, Mode::Aimed, 20)]
#[case(SeededBug::NoSnapshot, Mode::Aimed, 20)]
#[case(SeededBug::TooFewReplicas, Mode::Aimed, 20)]
#[case(SeededBug::TooFewReplicas, Mode::Zones, 20)]
#[case(SeededBug::ClockStopsInFreeze, Mode::Double, 60)]
#[case(SeededBug::ReadsAnywhere, Mode::Double, 20)]
#[case(SeededBug::RestoredAsFresh, Mode::Double, 20)]
#[case(SeededBug::CountedBeforeSnapshot, Mode::Long, 20)]
#[case(SeededBug::AppliedRequestsNotInSnapshot, Mode::Aimed, 40)]
#[case(SeededBug::DrainsNotInSnapshot, Mode::Double, 20)]
#[case(SeededBug::ReplaySkipsLastChange, Mode::Rough, 40)]
#[case(SeededBug::CommittedAheadOfReplicas, Mode::Rough, 40)]
#[case(SeededBug::ReplicaConfirmsEarly, Mode::Rough, 40)]
#[case(SeededBug::GrantedLeaseForgotten, Mode::Double, 20)]
#[case(SeededBug::FetchedSnapshotIsOld, Mode::Rough, 40)]
#[case(SeededBug::AnswersMixedUp, Mode::Double, 20)]
#[case(SeededBug::UnclearAcknowledged, Mode::Double, 20)]
#[case(SeededBug::UnclearRejected, Mode::Double, 20)]
#[case(SeededBug::EarlyProposalRejected, Mode::Double, 20)]
#[case(SeededBug::ForgetsPromises, Mode::Promises, 500)]
#[case(SeededBug::TooFewReplicas, Mode::Halves, 20)]
#[case(SeededBug::ReadsAnywhere, Mode::Halves, 20)]
#[case(SeededBug::GrantedLeaseForgotten, Mode::Halves, 20)]
#[case(SeededBug::NoSnapshot, Mode::Halves, 20)]
#[case(SeededBug::MirrorReset, Mode::Aimed, 20)]
#[case(SeededBug::WipedMemberVotes, Mode::Rough, 60)]
#[case(SeededBug::LosesEveryTenthWrite, Mode::Drawn, 20)]
fn seeded_bug_is_found_within_stated_seeds(
    #[case] bug: SeededBug,
    #[case] mode: Mode,
    #[case] within: u64,
) {
    let found = first_find(bug, mode, within);
    assert!(
        found.is_some(),
        "{bug:?} was not found within {within} seeds of {mode:?}"
    );
}

/// A bug that needs two rare events at once is found by few seeds, so a small number of seeds is a matter of luck. Its
/// rate over many seeds is not: at least one find for each `one_in` seeds.
#[rstest]
#[case(SeededBug::NoSync, Mode::Double, 40, 200)]
fn seeded_bug_is_found_as_often_as_stated_when_many_seeds_run(
    #[case] bug: SeededBug,
    #[case] mode: Mode,
    #[case] one_in: u64,
    #[case] seeds: u64,
) {
    let found = (0..seeds)
        .filter(|seed| finds(bug, mode.plan(*seed)))
        .count() as u64;
    assert!(
        found * one_in >= seeds,
        "{bug:?} was found by {found} of {seeds} seeds of {mode:?}"
    );
}

/// The first of three members is primary. The third is cut off for long enough to be replaced, and is back just as a
/// fourth joins in its place. The second is cut off from the first, which has the promise of the third alone. Before the
/// third hears of the new membership the four are partitioned: those that know it, and those that know the one before.
fn split_while_a_voter_is_replaced(seed: u64, after: Duration) -> Plan {
    let (joins, long) = (Duration::from_millis(7000), Duration::from_secs(10));
    let silent = Duration::from_millis(3600);
    let faults = vec![
        (joins - silent, Fault::Cut(2, silent, CutDirection::Both)),
        (
            joins - Duration::from_millis(20),
            Fault::CutPair(0, 1, long),
        ),
        (joins, Fault::Join),
        (joins + after, Fault::CutPair(0, 2, long)),
        (joins + after, Fault::CutPair(3, 1, long)),
        (joins + after, Fault::CutPair(3, 2, long)),
    ];
    let (workload, duration) = (Some(ClientWorkload::default()), joins + long);
    Plan {
        strict: true,
        safety_only: true,
        workload,
        faults,
        duration,
        ..Plan::without_faults(seed)
    }
}

/// The bug needs two majorities without a common member: one of the voters before a replacement and one of those after it.
/// The voter that both have in common is on one side only.
#[test]
fn forgotten_previous_voters_are_found_when_members_are_split_during_a_replacement() {
    let bug = SeededBug::PreviousVotersForgotten;
    let tries = (0..20).flat_map(|seed| (4..16).map(move |ms| (seed, Duration::from_millis(ms))));
    let plans: Vec<Plan> = tries
        .map(|(seed, after)| split_while_a_voter_is_replaced(seed, after))
        .collect();
    let violating = plans
        .iter()
        .map(run)
        .find(|report| !report.violations.is_empty());
    assert!(
        violating.is_none(),
        "{:?}",
        violating.map(|report| report.violations)
    );
    let found = plans.iter().find(|plan| finds(bug, Plan::clone(plan)));
    assert!(found.is_some(), "{bug:?} was not found");
}
