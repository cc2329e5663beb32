//! The members' models within small bounds: no violation, and each seeded bug is found. `cargo run --release -p
//! model-check -- MODEL` searches further.

use model_check::cluster::{Action, Cluster, Faults, Scenario, SeededBug};
use model_check::cluster::{
    AGE_TRUE, ANSWERS_HOLD, DURABLE, FENCED, JOINTLY_COMMITTED, NEW_IDENTITY_AFTER_WIPE,
    ONE_STATE_PER_INDEX, PROMISES_HOLD, READERS_NEVER_GO_BACK,
};
use model_check::models;
use model_check::search::{replay, search, Bounds, Model, Outcome};
use rstest::rstest;
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn search_scenario(scenario: Scenario, deviations: u8) -> (Cluster, Outcome<Action>) {
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

fn expect_no_violation(name: &str, scenario: Scenario, deviations: u8) {
    let (_, outcome) = search_scenario(scenario, deviations);
    println!("{name}: {} states in {:?}", outcome.states, outcome.time);
    assert!(outcome.found.is_none(), "{:?}", outcome.found);
    assert!(
        !outcome.stopped && outcome.cut_short == 0,
        "the search is incomplete"
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
fn no_violation_when_one_deviation_of_any_kind_happens(#[case] name: &str) {
    expect_no_violation(name, models::scenario(name).unwrap(), 1);
}

#[test]
fn no_violation_when_two_processes_crash() {
    let faults = Faults {
        crash: vec![ms(1600)],
        crash_sending: vec![ms(50)],
        ..Faults::default()
    };
    expect_no_violation(
        "two crashes",
        Scenario {
            faults,
            faults_until: ms(1300),
            ..models::takeover()
        },
        2,
    );
}

#[rstest]
#[case(SeededBug::ForgottenPromises, "takeover", PROMISES_HOLD)]
#[case(SeededBug::OldIdentity, "membership", NEW_IDENTITY_AFTER_WIPE)]
#[case(SeededBug::NewVotersAlone, "removal", JOINTLY_COMMITTED)]
#[case(SeededBug::UnfoundedLease, "takeover", FENCED)]
#[case(SeededBug::StaleSnapshot, "takeover", DURABLE)]
#[case(SeededBug::ForgottenDigests, "orders", ANSWERS_HOLD)]
#[case(SeededBug::EarlyRejection, "guessed-bases", ANSWERS_HOLD)]
#[case(SeededBug::EarlyAppendReply, "takeover", DURABLE)]
#[case(SeededBug::FreshAfterStart, "age", AGE_TRUE)]
#[case(SeededBug::ForgetfulReader, "reads", READERS_NEVER_GO_BACK)]
#[case(SeededBug::RewrittenChange, "takeover", ONE_STATE_PER_INDEX)]
fn seeded_bug_is_found_within_two_deviations(
    #[case] bug: SeededBug,
    #[case] name: &str,
    #[case] invariant: &str,
) {
    let mut scenario = Scenario {
        seeded_bug: bug,
        ..models::scenario(name).unwrap()
    };
    if bug == SeededBug::ForgottenPromises {
        scenario.faults = Faults {
            crash: vec![ms(50), ms(1600)],
            ..Faults::default()
        };
    }
    let (cluster, outcome) = search_scenario(scenario, 2);
    println!(
        "{bug:?}: {} states, {} steps in {:?}",
        outcome.states, outcome.transitions, outcome.time
    );
    let found = outcome.found.expect("the bug isn't found");
    assert_eq!(
        found.violation.invariant, invariant,
        "{}",
        found.violation.detail
    );
    let trace: Vec<Action> = found
        .trace
        .into_iter()
        .map(|choice| choice.action)
        .collect();
    assert_eq!(
        replay(&cluster, &trace),
        Some(found.violation),
        "the trace can be played again"
    );
}

/// Found by the search: a candidate that was frozen goes on with its old promises. Its membership is never
/// committed, as the others have promised a higher epoch since.
#[test]
fn no_violation_when_a_frozen_candidate_goes_on() {
    let faults = Faults {
        cut_one_way: vec![ms(1600)],
        freeze: vec![ms(2600)],
        ..Faults::default()
    };
    let requests = models::takeover().requests[..1].to_vec();
    let scenario = Scenario {
        requests,
        faults,
        faults_until: ms(760),
        length: ms(3400),
        ..Scenario::default()
    };
    expect_no_violation("frozen candidate", scenario, 2);
}

/// All machines lose power while the members elect their first primary: some have promised, none has a membership.
#[test]
fn primary_acts_when_power_was_lost_during_the_first_start() {
    let scenario = Scenario {
        length: ms(9000),
        ..Scenario::default()
    };
    let restarted = Cluster::first_start_interrupted(scenario, ms(50)).unwrap();
    let mut world = restarted.start();
    while restarted.remaining(&world) > 0 && !world.somebody_acts() {
        world = restarted.apply(&world, &world.default_action()).unwrap();
    }
    assert!(world.somebody_acts(), "{:?}", world.describe());
}

/// Old and new voters replace a member that lost its disk, although a message is lost.
#[test]
fn no_violation_when_a_message_is_lost_while_a_wiped_voter_is_replaced() {
    expect_no_violation("removal", models::removal(), 2);
}

/// Found by the search: a member that restarts while the primary is frozen receives a primary contact
/// that is older than its own process.
#[test]
fn contact_keeps_its_age_when_it_is_older_than_the_process() {
    let faults = Faults {
        crash: vec![ms(1600)],
        freeze: vec![ms(2600)],
        ..Faults::default()
    };
    expect_no_violation(
        "old contacts",
        Scenario {
            ages: true,
            faults,
            faults_until: ms(150),
            ..models::reads()
        },
        2,
    );
}
