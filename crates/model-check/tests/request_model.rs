//! The ledger under every request of sending, repeating, answering, committed writing and takeover.

use model_check::request_model::{
    RequestModel, SeededBug, NEVER_REJECTED, NO_EFFECT, ONE_REQUEST_PER_BASE, STAYS_IN_FORCE,
};
use model_check::search::{replay, search, Bounds};
use rstest::rstest;

#[rstest]
#[case::on_acknowledged_versions(false)]
#[case::on_unconfirmed_versions_too(true)]
fn no_violation_when_two_clients_repeat_requests(#[case] unconfirmed_bases: bool) {
    let model = RequestModel {
        max_sends: 2,
        unconfirmed_bases,
        ..RequestModel::two_clients(SeededBug::Nothing)
    };
    let outcome = search(
        &model,
        Bounds {
            deviations: 0,
            ..Bounds::default()
        },
    );
    println!("{} states in {:?}", outcome.states, outcome.time);
    assert!(outcome.found.is_none(), "{:?}", outcome.found);
    assert!(
        !outcome.stopped && outcome.cut_short == 0,
        "the search is incomplete"
    );
}

#[rstest]
#[case(SeededBug::EarlyAnswer, &[NEVER_REJECTED, ONE_REQUEST_PER_BASE, STAYS_IN_FORCE])]
#[case(SeededBug::ForgottenDigests, &[NEVER_REJECTED])]
#[case(SeededBug::EarlyAcknowledgement, &[ONE_REQUEST_PER_BASE, STAYS_IN_FORCE])]
#[case(SeededBug::PlansOnCommitted, &[ONE_REQUEST_PER_BASE, STAYS_IN_FORCE, NEVER_REJECTED])]
#[case(SeededBug::KnownByVersion, &[ONE_REQUEST_PER_BASE, STAYS_IN_FORCE])]
#[case(SeededBug::EarlyRejection, &[NO_EFFECT, NEVER_REJECTED])]
fn seeded_bug_is_found_when_all_orders_are_searched(
    #[case] bug: SeededBug,
    #[case] invariants: &[&str],
) {
    let unconfirmed_bases = bug == SeededBug::EarlyRejection;
    let model = RequestModel {
        max_sends: 2,
        unconfirmed_bases,
        ..RequestModel::two_clients(bug)
    };
    let outcome = search(
        &model,
        Bounds {
            deviations: 0,
            ..Bounds::default()
        },
    );
    println!("{bug:?}: {} states in {:?}", outcome.states, outcome.time);
    let found = outcome.found.expect("the bug isn't found");
    assert!(
        invariants.contains(&found.violation.invariant),
        "{:?}",
        found.violation
    );
    let trace: Vec<_> = found
        .trace
        .into_iter()
        .map(|choice| choice.action)
        .collect();
    assert_eq!(replay(&model, &trace), Some(found.violation));
}
