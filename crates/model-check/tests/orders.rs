//! The ledger under every order of sending, repeating, answering, safe writing and takeover.

use model_check::orders::{Orders, Planted, NEVER_REFUSED, NO_EFFECT, ONE_ORDER, STAYS};
use model_check::search::{replay, search, Bounds};
use rstest::rstest;

#[rstest]
#[case::on_versions_that_were_confirmed(false)]
#[case::on_guessed_versions_too(true)]
fn two_operators_and_repeated_orders_break_nothing(#[case] guesses: bool) {
    let model = Orders {
        sends: 2,
        guesses,
        ..Orders::two_operators(Planted::Nothing)
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
        "the search isn't whole"
    );
}

#[rstest]
#[case(Planted::EarlyAnswer, &[NEVER_REFUSED, ONE_ORDER, STAYS])]
#[case(Planted::ForgottenCalls, &[NEVER_REFUSED])]
#[case(Planted::EarlyConfirmation, &[ONE_ORDER, STAYS])]
#[case(Planted::PlansOnSafe, &[ONE_ORDER, STAYS, NEVER_REFUSED])]
#[case(Planted::KnownByVersion, &[ONE_ORDER, STAYS])]
#[case(Planted::EarlyRefusal, &[NO_EFFECT, NEVER_REFUSED])]
fn a_planted_bug_is_found(#[case] planted: Planted, #[case] claims: &[&str]) {
    let guesses = planted == Planted::EarlyRefusal;
    let model = Orders {
        sends: 2,
        guesses,
        ..Orders::two_operators(planted)
    };
    let outcome = search(
        &model,
        Bounds {
            deviations: 0,
            ..Bounds::default()
        },
    );
    println!(
        "{planted:?}: {} states in {:?}",
        outcome.states, outcome.time
    );
    let found = outcome.found.expect("the bug isn't found");
    assert!(claims.contains(&found.breach.claim), "{:?}", found.breach);
    let trace: Vec<_> = found
        .trace
        .into_iter()
        .map(|choice| choice.action)
        .collect();
    assert_eq!(replay(&model, &trace), Some(found.breach));
}
