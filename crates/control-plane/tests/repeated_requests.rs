//! Configuration requests that are repeated, by several operators and through several members: at most one request is
//! confirmed on each base version, and a request that was applied is never rejected. Members run on simulated time,
//! without sockets or files.

#[path = "repeated_requests/early_proposals.rs"]
mod early_proposals;
mod support;

use configuration::ResultCode;
use control_plane::applied_requests::{request_fingerprint, MIN_RETAINED_REQUESTS};
use control_plane::replicated_state::{Plan, ReplicatedState};
use proptest::prelude::*;
use protocol::{Change, Command, Message};
use rstest::rstest;
use support::request_cluster::{Cluster, WithheldEvents};

/// A configuration as JSON; `note` makes configurations of the same version different.
fn body(version: u64, note: &str) -> Vec<u8> {
    format!(r#"{{"version":{version},"routes":[],"services":[{{"name":"s","note":"{note}"}}]}}"#)
        .into_bytes()
}

/// A command that replaces the configuration of version `base` by one of version `version`.
fn replace_command(base: u64, version: u64, note: &str) -> Command {
    Command::Configure {
        base,
        amend: false,
        body: body(version, note),
    }
}

/// The state after a command; panics if the command isn't applied.
fn state_after(state: &ReplicatedState, command: &Command) -> ReplicatedState {
    match state.plan(command) {
        Plan::Change(_, next) => *next,
        Plan::Answer(code, text) => panic!("{code:?} {}", String::from_utf8_lossy(&text)),
    }
}

/// The answer to a command that doesn't change the state; panics if it does.
fn answer_without_change(state: &ReplicatedState, command: &Command) -> ResultCode {
    match state.plan(command) {
        Plan::Answer(code, _) => code,
        Plan::Change(..) => panic!("the command changed the state"),
    }
}

/// The state after `count` requests, each on the version before; versions rise by 2.
fn state_after_requests(count: u64) -> ReplicatedState {
    let all = 0..count;
    all.fold(ReplicatedState::default(), |state, n| {
        state_after(&state, &replace_command(2 * n, 2 * n + 2, "first"))
    })
}

/// Two notes that give the same 64-bit FNV-1a hash of base, kind and body.
const NOTES_WITH_EQUAL_FNV: (&str, &str) = ("_s4aICVnRYI", "4JAZqIeLCtH");

#[test]
fn two_requests_when_their_short_digests_are_equal_then_one_is_confirmed() {
    let state = state_after(&ReplicatedState::default(), &replace_command(0, 2, "x"));
    let state = state_after(&state, &replace_command(2, 3, NOTES_WITH_EQUAL_FNV.0));
    assert_eq!(
        answer_without_change(&state, &replace_command(2, 3, NOTES_WITH_EQUAL_FNV.0)),
        ResultCode::Ok
    );
    assert_eq!(
        answer_without_change(&state, &replace_command(2, 3, NOTES_WITH_EQUAL_FNV.1)),
        ResultCode::OtherBase
    );
}

#[rstest]
#[case::the_next(1)]
#[case::after_512_others(513)]
#[case::oldest_retained(MIN_RETAINED_REQUESTS as u64 - 1)]
fn repeated_request_when_applied_then_it_is_confirmed_and_when_superseded_then_rejected(
    #[case] others: u64,
) {
    let state = state_after_requests(others + 1);
    for state in [
        ReplicatedState::from_snapshot(&state.snapshot()).unwrap(),
        state,
    ] {
        assert_eq!(
            answer_without_change(&state, &replace_command(0, 2, "first")),
            ResultCode::Ok
        );
        assert_eq!(
            answer_without_change(&state, &replace_command(0, 2, "second")),
            ResultCode::OtherBase
        );
        // Version 1 was never in force.
        assert_eq!(
            answer_without_change(&state, &replace_command(1, 2, "first")),
            ResultCode::OtherBase
        );
        // The base version may still come into force, so the request isn't rejected for good.
        let early = replace_command(2 * others + 9, 2 * others + 11, "first");
        assert_eq!(
            answer_without_change(&state, &early),
            ResultCode::BaseNotInForce
        );
    }
}

#[test]
fn repeated_request_when_older_than_retained_then_neither_rejected_nor_confirmed() {
    let state = state_after_requests(MIN_RETAINED_REQUESTS as u64 + 200);
    let remembered = state.applied_requests.iter().count();
    assert!(
        (MIN_RETAINED_REQUESTS..MIN_RETAINED_REQUESTS + 64).contains(&remembered),
        "{remembered}"
    );
    for state in [
        ReplicatedState::from_snapshot(&state.snapshot()).unwrap(),
        state.clone(),
    ] {
        assert_eq!(state.applied_requests.iter().count(), remembered);
        assert_eq!(
            answer_without_change(&state, &replace_command(0, 2, "first")),
            ResultCode::OrderForgotten
        );
        assert_eq!(
            answer_without_change(&state, &replace_command(0, 2, "second")),
            ResultCode::OrderForgotten
        );
        assert_eq!(ResultCode::OrderForgotten.status(), 503);
        let oldest = state.applied_requests.oldest_base().unwrap();
        assert_eq!(
            answer_without_change(&state, &replace_command(oldest, oldest + 2, "first")),
            ResultCode::Ok
        );
        assert_eq!(
            answer_without_change(&state, &replace_command(oldest - 2, oldest, "first")),
            ResultCode::OrderForgotten
        );
    }
}

#[rstest]
#[case::white_space(
    r#" { "version" : 3, "routes":[ ],"services":[{"name":"s","note":"a"}]}"#,
    true
)]
#[case::order_of_keys(
    r#"{"services":[{"note":"a","name":"s"}],"routes":[],"version":3}"#,
    true
)]
#[case::escapes(
    r#"{"version":3,"routes":[],"services":[{"name":"s","note":"\u0061"}]}"#,
    true
)]
#[case::other_value(
    r#"{"version":3,"routes":[],"services":[{"name":"s","note":"b"}]}"#,
    false
)]
#[case::other_version(
    r#"{"version":4,"routes":[],"services":[{"name":"s","note":"a"}]}"#,
    false
)]
#[case::additional_field(
    r#"{"version":3,"routes":[],"services":[{"name":"s","note":"a","x":null}]}"#,
    false
)]
#[case::truncated(
    r#"{"version":3,"routes":[],"services":[{"name":"s","note":"a"}"#,
    false
)]
#[case::duplicate_key(
    r#"{"version":9,"version":3,"routes":[],"services":[{"name":"s","note":"a"}]}"#,
    false
)]
#[case::duplicate_inner_key(
    r#"{"version":3,"routes":[],"services":[{"name":"s","note":"b","note":"a"}]}"#,
    false
)]
#[case::raw_value_marker(
    r#"{"version":3,"routes":[],"services":[{"name":"s","note":{"$serde_json::private::RawValue":""a""}}]}"#,
    false
)]
#[case::trailing_bytes(
    r#"{"version":3,"routes":[],"services":[{"name":"s","note":"a"}]} x"#,
    false
)]
fn repeated_request_when_encoded_differently_then_compared_by_content(
    #[case] repeated: &str,
    #[case] is_same: bool,
) {
    let state = state_after(&ReplicatedState::default(), &replace_command(0, 2, "x"));
    let state = state_after(&state, &replace_command(2, 3, "a"));
    let repeated_command = |base, amend| Command::Configure {
        base,
        amend,
        body: repeated.as_bytes().to_vec(),
    };
    let expected = if is_same {
        ResultCode::Ok
    } else {
        ResultCode::OtherBase
    };
    assert_eq!(
        answer_without_change(&state, &repeated_command(2, false)),
        expected
    );
    // With another base version or as an amendment it is another request.
    assert_eq!(
        answer_without_change(&state, &repeated_command(0, false)),
        ResultCode::OtherBase
    );
    assert_eq!(
        answer_without_change(&state, &repeated_command(2, true)),
        ResultCode::OtherBase
    );
}

#[test]
fn request_when_repeated_on_the_version_that_it_led_to_then_invalid() {
    let state = state_after(&ReplicatedState::default(), &replace_command(0, 2, "x"));
    assert_eq!(
        answer_without_change(&state, &replace_command(2, 2, "x")),
        ResultCode::OldVersion
    );
}

fn json_value() -> impl Strategy<Value = serde_json::Value> {
    let leaf = prop_oneof![
        Just(serde_json::Value::Null),
        any::<bool>().prop_map(Into::into),
        (-1000i64..1000).prop_map(Into::into),
        (-1000.0f64..1000.0).prop_map(Into::into),
        "[a-c\"\\\\]{0,3}".prop_map(Into::into),
    ];
    leaf.prop_recursive(3, 24, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Into::into),
            prop::collection::btree_map("[a-c]{0,2}", inner, 0..4)
                .prop_map(|fields| serde_json::Value::Object(fields.into_iter().collect())),
        ]
    })
}

proptest! {
    #[test]
    fn fingerprints_when_compared_then_equal_exactly_if_contents_are(one in json_value(), two in json_value()) {
        let compact = one.to_string().into_bytes();
        let spaced = serde_json::to_vec_pretty(&one).unwrap();
        prop_assert_eq!(request_fingerprint(4, true, &compact), request_fingerprint(4, true, &spaced));
        let other = two.to_string().into_bytes();
        prop_assert_eq!(request_fingerprint(4, true, &compact) == request_fingerprint(4, true, &other), one == two);
    }

    /// Operators send new and repeated requests on any version. Now and then the state is replaced by its snapshot, as
    /// in a takeover.
    #[test]
    fn requests_when_repeated_at_random_then_one_per_version_is_confirmed(
        steps in prop::collection::vec((0u64..40, 0u64..3, 0u64..4, any::<bool>()), 1..200)
    ) {
        let mut state = ReplicatedState::default();
        let mut followed = std::collections::BTreeMap::new();
        for (base, rise, note, snapshot) in steps {
            let command = replace_command(base, base + rise, &note.to_string());
            let winner = followed.get(&base);
            match state.plan(&command) {
                Plan::Change(change, next) => {
                    prop_assert!(winner.is_none() && base == state.configuration.version);
                    let configures = matches!(change, Change::Configure { .. });
                    prop_assert!(configures);
                    followed.insert(base, command);
                    state = *next;
                }
                Plan::Answer(ResultCode::Ok, _) => prop_assert_eq!(winner, Some(&command)),
                Plan::Answer(ResultCode::BaseNotInForce, _) => prop_assert!(base > state.configuration.version),
                Plan::Answer(code, _) => {
                    prop_assert_eq!(code.status() / 100, 4);
                    prop_assert!(base <= state.configuration.version);
                    prop_assert_ne!(winner, Some(&command));
                }
            }
            if snapshot {
                state = ReplicatedState::from_snapshot(&state.snapshot()).unwrap();
            }
        }
    }
}

#[test]
fn answer_when_for_an_earlier_incarnation_then_it_reaches_no_caller() {
    let mut cluster = Cluster::new(3);
    let primary = cluster.wait_for_primary();
    let other = cluster.wait_for_witness();
    // The first request is planned but not durable, as no write completes. The member that forwarded it restarts.
    cluster.withhold(WithheldEvents::WriteCompletions);
    cluster.send_command(other, 1, replace_command(0, 2, "lost caller"));
    cluster.run_until(|c| c.forwarded_commands(primary) == 1);
    cluster.run_ms(5);
    cluster.restart(other);
    cluster.send_command(other, 1, replace_command(0, 2, "new caller"));
    cluster.run_until(|c| c.forwarded_commands(primary) >= 2);
    cluster.release();
    let code = cluster.wait_for_answer(other, 1);
    assert_eq!(
        code,
        ResultCode::OtherBase,
        "the earlier incarnation's request was applied"
    );
}

#[test]
fn forwarded_request_when_delivered_again_late_then_nothing_changes() {
    let mut cluster = Cluster::new(3);
    let primary = cluster.wait_for_primary();
    let other = cluster.wait_for_witness();
    cluster.send_command(other, 1, replace_command(0, 2, "a"));
    assert_eq!(cluster.wait_for_answer(other, 1), ResultCode::Ok);
    cluster.send_command(primary, 1, replace_command(2, 5, "b"));
    assert_eq!(cluster.wait_for_answer(primary, 1), ResultCode::Ok);
    let replayed = cluster.sent_messages(|m| matches!(m, Message::ForwardCommand { .. }));
    assert!(!replayed.is_empty());
    for (from, to, message) in replayed {
        cluster.deliver(from, to, message);
    }
    cluster.run_ms(500);
    // Version 5 is still in force, and all members still confirm both requests.
    for member in 0..3 {
        cluster.send_command(member, 10, replace_command(2, 5, "b"));
        assert_eq!(cluster.wait_for_answer(member, 10), ResultCode::Ok);
        cluster.send_command(member, 11, replace_command(0, 2, "a"));
        assert_eq!(cluster.wait_for_answer(member, 11), ResultCode::Ok);
        cluster.send_command(member, 12, replace_command(2, 6, "late"));
        assert_eq!(cluster.wait_for_answer(member, 12), ResultCode::OtherBase);
    }
}

/// The request was applied but its answer was lost. It is repeated after a takeover and after a restart of all members.
#[test]
fn repeated_request_when_the_primary_changes_then_it_is_confirmed() {
    let mut cluster = Cluster::new(3);
    let first = cluster.wait_for_primary();
    cluster.send_command(first, 1, replace_command(0, 2, "a"));
    assert_eq!(cluster.wait_for_answer(first, 1), ResultCode::Ok);
    cluster.stop(first);
    let remaining: Vec<usize> = (0..3).filter(|n| *n != first).collect();
    for member in &remaining {
        cluster.send_command(*member, 2, replace_command(0, 2, "a"));
        assert_eq!(cluster.wait_for_answer(*member, 2), ResultCode::Ok);
        cluster.send_command(*member, 3, replace_command(0, 2, "b"));
        assert_eq!(cluster.wait_for_answer(*member, 3), ResultCode::OtherBase);
    }
    (0..3).for_each(|n| cluster.restart(n));
    for member in 0..3 {
        cluster.send_command(member, 4, replace_command(0, 2, "a"));
        assert_eq!(cluster.wait_for_answer(member, 4), ResultCode::Ok);
        cluster.send_command(member, 5, replace_command(0, 2, "b"));
        assert_eq!(cluster.wait_for_answer(member, 5), ResultCode::OtherBase);
    }
}

/// Hundreds of requests cause the logs to be rewritten. All requests are still known after a restart of all members.
#[test]
fn applied_requests_when_the_file_is_rewritten_then_they_remain() {
    const REQUEST_COUNT: u64 = 400;
    let mut cluster = Cluster::new(3);
    let primary = cluster.wait_for_primary();
    let long_note = "x".repeat(2000);
    for n in 0..REQUEST_COUNT {
        cluster.send_command(primary, n, replace_command(2 * n, 2 * n + 2, &long_note));
        assert_eq!(cluster.wait_for_answer(primary, n), ResultCode::Ok);
        // A log is rewritten only when no write is pending.
        cluster.run_ms(20);
    }
    assert!(cluster.rewrites(primary) > 0);
    (0..3).for_each(|n| cluster.restart(n));
    for member in 0..3 {
        for n in 0..REQUEST_COUNT {
            cluster.send_command(member, n, replace_command(2 * n, 2 * n + 2, &long_note));
            assert_eq!(
                cluster.wait_for_answer(member, n),
                ResultCode::Ok,
                "request {n} at member {member}"
            );
        }
        cluster.send_command(member, REQUEST_COUNT, replace_command(2, 4, "lost"));
        assert_eq!(
            cluster.wait_for_answer(member, REQUEST_COUNT),
            ResultCode::OtherBase
        );
    }
}

/// A replica loses its disk and joins again; then the primary is lost for good.
#[test]
fn member_when_it_joins_empty_then_it_knows_applied_requests() {
    let mut cluster = Cluster::new(3);
    let primary = cluster.wait_for_primary();
    let witness = cluster.wait_for_witness();
    let wiped = (0..3).find(|n| *n != primary && *n != witness).unwrap();
    cluster.send_command(primary, 1, replace_command(0, 2, "a"));
    assert_eq!(cluster.wait_for_answer(primary, 1), ResultCode::Ok);
    cluster.wipe(wiped);
    // One of the two becomes a replica beside the primary and gets the state from it.
    cluster.run_until(|c| c.is_settled_replica(wiped) || c.is_settled_replica(witness));
    cluster.run_ms(5000);
    cluster.stop(primary);
    for member in [wiped, witness] {
        cluster.send_command(member, 2, replace_command(0, 2, "a"));
        assert_eq!(cluster.wait_for_answer(member, 2), ResultCode::Ok);
        cluster.send_command(member, 3, replace_command(0, 2, "b"));
        assert_eq!(cluster.wait_for_answer(member, 3), ResultCode::OtherBase);
    }
}

/// An isolated primary has a request pending, and the others apply another one on the same version. The pending request
/// must never be confirmed, and a request whose answer depends on it must not get a wrong answer.
#[test]
fn request_when_a_partitioned_primary_cannot_replicate_it_then_never_confirmed() {
    let mut cluster = Cluster::new(3);
    let old_primary = cluster.wait_for_primary();
    let others: Vec<usize> = (0..3).filter(|n| *n != old_primary).collect();
    cluster.isolate(old_primary);
    cluster.send_command(old_primary, 1, replace_command(0, 2, "lost"));
    // Its answer depends on the pending request, so it has to wait: a rejection could be wrong.
    cluster.send_command(old_primary, 2, replace_command(0, 2, "other"));
    cluster.run_ms(200);
    assert_eq!(
        (
            cluster.answer(old_primary, 1),
            cluster.answer(old_primary, 2)
        ),
        (None, None)
    );
    cluster.run_until(|c| others.iter().any(|n| c.is_primary(*n)));
    cluster.send_command(others[0], 3, replace_command(0, 2, "other"));
    assert_eq!(cluster.wait_for_answer(others[0], 3), ResultCode::Ok);
    cluster.heal();
    let lost = cluster.wait_for_answer(old_primary, 1);
    assert!(
        matches!(
            lost,
            ResultCode::OtherBase | ResultCode::Unclear | ResultCode::NoPrimary
        ),
        "{lost:?}"
    );
    let other = cluster.wait_for_answer(old_primary, 2);
    assert!(
        matches!(
            other,
            ResultCode::Ok | ResultCode::Unclear | ResultCode::NoPrimary
        ),
        "{other:?}"
    );
    cluster.send_command(old_primary, 4, replace_command(0, 2, "lost"));
    assert_eq!(
        cluster.wait_for_answer(old_primary, 4),
        ResultCode::OtherBase
    );
}

/// A replica is lost while a request waits for it, and the primary installs a membership without it. Requests that were
/// pending in the old membership are planned again in the new one, also those that other members forwarded.
#[test]
fn request_when_in_flight_during_a_membership_change_then_confirmed_after_it() {
    let mut cluster = Cluster::new(3);
    let (primary, witness) = (cluster.wait_for_primary(), cluster.wait_for_witness());
    let replica = (0..3).find(|n| ![primary, witness].contains(n)).unwrap();
    cluster.run_ms(2000);
    cluster.isolate(replica);
    cluster.send_command(primary, 1, replace_command(0, 2, "a"));
    cluster.send_command(witness, 1, replace_command(0, 2, "a"));
    cluster.send_command(witness, 2, replace_command(0, 2, "rival"));
    cluster.run_ms(100);
    assert_eq!(
        [1, 2].map(|ticket| cluster.answer(witness, ticket)),
        [None, None]
    );
    let codes = [(primary, 1), (witness, 1), (witness, 2)]
        .map(|(n, ticket)| cluster.wait_for_answer(n, ticket));
    assert_eq!(
        codes,
        [ResultCode::Ok, ResultCode::Ok, ResultCode::OtherBase]
    );
    assert!(cluster.is_primary(primary));
}

/// The primary pauses while a member has a caller's request. The member forwards it to the next primary as soon as that
/// one acts, and doesn't wait until the caller tries again.
#[test]
fn request_when_its_primary_is_paused_then_sent_to_the_next_at_once() {
    let mut cluster = Cluster::new(3);
    let paused = cluster.wait_for_primary();
    let others: Vec<usize> = (0..3).filter(|n| *n != paused).collect();
    cluster.pause(paused);
    for member in &others {
        cluster.send_command(*member, 1, replace_command(0, 2, "a"));
    }
    cluster.run_until(|c| others.iter().any(|n| c.is_primary(*n)));
    let since = cluster.now_ms();
    for member in &others {
        assert_eq!(cluster.wait_for_answer(*member, 1), ResultCode::Ok);
    }
    assert!(
        cluster.now_ms() - since <= 50,
        "{} ms after the takeover",
        cluster.now_ms() - since
    );
}

/// A member that has been isolated for a while answers its callers soon, so that they can try another member.
#[test]
fn member_when_partitioned_then_callers_are_answered_at_once() {
    let mut cluster = Cluster::new(3);
    let primary = cluster.wait_for_primary();
    let other = cluster.wait_for_witness();
    for isolated in [other, primary] {
        cluster.isolate(isolated);
        cluster.run_ms(5000);
        let since = cluster.now_ms();
        cluster.send_command(isolated, since, replace_command(0, 2, "a"));
        let code = cluster.wait_for_answer(isolated, since);
        assert!(
            matches!(code, ResultCode::NoPrimary | ResultCode::Unclear),
            "{code:?}"
        );
        assert!(
            cluster.now_ms() - since <= 300,
            "{} ms",
            cluster.now_ms() - since
        );
        cluster.heal();
        cluster.run_ms(5000);
    }
    // A member that is in contact with the others holds a request during a takeover.
    let primary = cluster.wait_for_primary();
    let other = (0..3).find(|n| *n != primary).unwrap();
    cluster.stop(primary);
    cluster.send_command(other, 1, replace_command(0, 2, "b"));
    assert_eq!(cluster.wait_for_answer(other, 1), ResultCode::Ok);
}

/// Eight requests at once on the same base version, with different contents, at all members.
#[rstest]
#[case::same_version(true)]
#[case::other_versions(false)]
fn eight_requests_when_sent_at_once_then_one_is_confirmed(#[case] is_same_version: bool) {
    let mut cluster = Cluster::new(3);
    let sent: Vec<(usize, u64, Command)> = (0..8u64)
        .map(|n| {
            (
                n as usize % 3,
                n + 1,
                replace_command(0, if is_same_version { 9 } else { 9 + n }, &n.to_string()),
            )
        })
        .collect();
    for (member, ticket, command) in &sent {
        cluster.send_command(*member, *ticket, command.clone());
    }
    let codes: Vec<ResultCode> = sent
        .iter()
        .map(|(member, ticket, _)| cluster.wait_for_answer(*member, *ticket))
        .collect();
    assert_eq!(
        codes.iter().filter(|c| **c == ResultCode::Ok).count(),
        1,
        "{codes:?}"
    );
    assert!(
        codes
            .iter()
            .all(|c| matches!(c, ResultCode::Ok | ResultCode::OtherBase)),
        "{codes:?}"
    );
    // Repeated at the next member, each request gets the same answer.
    for ((member, ticket, command), code) in sent.into_iter().zip(codes) {
        let next = (member + 1) % 3;
        cluster.send_command(next, ticket + 100, command);
        assert_eq!(cluster.wait_for_answer(next, ticket + 100), code);
    }
}

#[test]
fn request_when_sent_to_all_members_then_confirmed_by_each() {
    let mut cluster = Cluster::new(3);
    for member in 0..3 {
        cluster.send_command(member, 1, replace_command(0, 2, "a"));
    }
    for member in 0..3 {
        assert_eq!(cluster.wait_for_answer(member, 1), ResultCode::Ok);
    }
}
