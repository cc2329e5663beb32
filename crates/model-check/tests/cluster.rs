//! The members' models within small bounds: nothing is broken, and each planted bug is found. `cargo run --release -p
//! model-check -- MODEL` searches further.

use model_check::cluster::{Action, Cluster, Faults, Planted, Scenario};
use model_check::cluster::{
    AGE, AGREED, ANSWER, FENCED, FORWARD, IDENTITY, KEPT, ONE_CONTENT, PROMISE,
};
use model_check::models;
use model_check::search::{replay, search, Bounds, Model, Outcome};
use rstest::rstest;
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn searched(scenario: Scenario, deviations: u8) -> (Cluster, Outcome<Action>) {
    let cluster = Cluster::new(scenario).unwrap();
    let outcome = search(
        &cluster,
        Bounds {
            deviations,
            ..Bounds::default()
        },
    );
    (cluster, outcome)
}

fn holds(name: &str, scenario: Scenario, deviations: u8) {
    let (_, outcome) = searched(scenario, deviations);
    println!("{name}: {} states in {:?}", outcome.states, outcome.time);
    assert!(outcome.found.is_none(), "{:?}", outcome.found);
    assert!(
        !outcome.stopped && outcome.cut_short == 0,
        "the search isn't whole"
    );
    assert_eq!(outcome.deviations, deviations);
}

#[rstest]
#[case("takeover")]
#[case("membership")]
#[case("joiner")]
#[case("orders")]
#[case("guessed-bases")]
#[case("reads")]
#[case("age")]
#[case("age-slow-start")]
#[case("order-of-messages")]
fn one_deviation_of_any_kind_breaks_nothing(#[case] name: &str) {
    holds(name, models::scenario(name).unwrap(), 1);
}

#[test]
fn two_deaths_break_nothing() {
    let faults = Faults {
        crash: vec![ms(1600)],
        crash_sending: vec![ms(50)],
        ..Faults::default()
    };
    holds(
        "two deaths",
        Scenario {
            faults,
            faults_until: ms(1300),
            ..models::takeover()
        },
        2,
    );
}

#[rstest]
#[case(Planted::ForgottenPromises, "takeover", PROMISE)]
#[case(Planted::OldIdentity, "membership", IDENTITY)]
#[case(Planted::NewVotersAlone, "removal", AGREED)]
#[case(Planted::UnfoundedLease, "takeover", FENCED)]
#[case(Planted::ShortLedger, "takeover", KEPT)]
#[case(Planted::ForgottenCalls, "orders", ANSWER)]
#[case(Planted::EarlyRefusal, "guessed-bases", ANSWER)]
#[case(Planted::EarlyWord, "takeover", KEPT)]
#[case(Planted::FreshAfterStart, "age", AGE)]
#[case(Planted::ForgetfulReader, "reads", FORWARD)]
#[case(Planted::RewrittenChange, "takeover", ONE_CONTENT)]
fn a_planted_bug_is_found(#[case] planted: Planted, #[case] name: &str, #[case] claim: &str) {
    let mut scenario = Scenario {
        planted,
        ..models::scenario(name).unwrap()
    };
    if planted == Planted::ForgottenPromises {
        scenario.faults = Faults {
            crash: vec![ms(50), ms(1600)],
            ..Faults::default()
        };
    }
    let (cluster, outcome) = searched(scenario, 2);
    println!(
        "{planted:?}: {} states, {} steps in {:?}",
        outcome.states, outcome.transitions, outcome.time
    );
    let found = outcome.found.expect("the bug isn't found");
    assert_eq!(found.breach.claim, claim, "{}", found.breach.detail);
    let trace: Vec<Action> = found
        .trace
        .into_iter()
        .map(|choice| choice.action)
        .collect();
    assert_eq!(
        replay(&cluster, &trace),
        Some(found.breach),
        "the trace can be played again"
    );
}

/// Found by the search, kept as a trace: a candidate that stood still goes on with its old promises. Its view is never
/// agreed on, as the others have promised a higher epoch since.
#[test]
fn a_candidate_that_stood_still_wins_nothing() {
    let faults = Faults {
        cut_one_way: vec![ms(1600)],
        freeze: vec![ms(2600)],
        ..Faults::default()
    };
    let steps = models::takeover().steps[..1].to_vec();
    let scenario = Scenario {
        steps,
        faults,
        faults_until: ms(760),
        length: ms(3400),
        ..Scenario::default()
    };
    holds("stood still", scenario, 2);
}

/// All machines lose power while the members agree on their first primary: some have promised, none holds a view.
#[test]
fn the_first_start_goes_on_after_a_loss_of_power() {
    let scenario = Scenario {
        length: ms(9000),
        ..Scenario::default()
    };
    let restarted = Cluster::first_start_interrupted(scenario, ms(50)).unwrap();
    let mut world = restarted.start();
    while restarted.left(&world) > 0 && !world.somebody_acts() {
        world = restarted.apply(&world, &world.default_action()).unwrap();
    }
    assert!(world.somebody_acts(), "{:?}", world.describe());
}

/// Old and new voters agree on a member that lost its disk, although a message is lost.
#[test]
fn a_message_lost_while_a_wiped_voter_is_replaced_breaks_nothing() {
    holds("removal", models::removal(), 2);
}

/// Found by the search on the day it was written: a member that comes back while the primary stands still takes a proof
/// that is older than its own process.
#[test]
fn a_proof_older_than_a_process_keeps_its_age() {
    let faults = Faults {
        crash: vec![ms(1600)],
        freeze: vec![ms(2600)],
        ..Faults::default()
    };
    holds(
        "old proofs",
        Scenario {
            ages: true,
            faults,
            faults_until: ms(150),
            ..models::reads()
        },
        2,
    );
}
