//! Configuration orders sent again, by several operators, through several members: never two confirmed on one
//! version, never a taken one refused. Members run on simulated time; no sockets, no files.

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

fn body(version: u64, note: &str) -> Vec<u8> {
    format!(r#"{{"version":{version},"routes":[],"services":[{{"name":"s","note":"{note}"}}]}}"#)
        .into_bytes()
}

fn order(base: u64, version: u64, note: &str) -> Command {
    Command::Configure {
        base,
        amend: false,
        body: body(version, note),
    }
}

fn taken(ledger: &ReplicatedState, command: &Command) -> ReplicatedState {
    match ledger.plan(command) {
        Plan::Change(_, next) => *next,
        Plan::Answer(code, text) => panic!("{code:?} {}", String::from_utf8_lossy(&text)),
    }
}

fn answer(ledger: &ReplicatedState, command: &Command) -> ResultCode {
    match ledger.plan(command) {
        Plan::Answer(code, _) => code,
        Plan::Change(..) => panic!("taken"),
    }
}

/// A ledger that took `count` orders, each on the version before; versions rise by 2.
fn after_orders(count: u64) -> ReplicatedState {
    let all = 0..count;
    all.fold(ReplicatedState::default(), |ledger, n| {
        taken(&ledger, &order(2 * n, 2 * n + 2, "first"))
    })
}

/// Two texts for which 64 bits of FNV-1a over base, kind and body are the same.
const SAME_FNV: (&str, &str) = ("_s4aICVnRYI", "4JAZqIeLCtH");

#[test]
fn two_requests_when_their_short_digests_are_equal_then_one_is_confirmed() {
    let ledger = taken(&ReplicatedState::default(), &order(0, 2, "x"));
    let ledger = taken(&ledger, &order(2, 3, SAME_FNV.0));
    assert_eq!(answer(&ledger, &order(2, 3, SAME_FNV.0)), ResultCode::Ok);
    assert_eq!(
        answer(&ledger, &order(2, 3, SAME_FNV.1)),
        ResultCode::OtherBase
    );
}

#[rstest]
#[case::the_next(1)]
#[case::after_512_others(513)]
#[case::as_long_as_promised(MIN_RETAINED_REQUESTS as u64 - 1)]
fn repeated_request_when_applied_then_it_is_confirmed_and_when_superseded_then_rejected(
    #[case] others: u64,
) {
    let ledger = after_orders(others + 1);
    for ledger in [
        ReplicatedState::from_snapshot(&ledger.snapshot()).unwrap(),
        ledger,
    ] {
        assert_eq!(answer(&ledger, &order(0, 2, "first")), ResultCode::Ok);
        assert_eq!(
            answer(&ledger, &order(0, 2, "second")),
            ResultCode::OtherBase
        );
        // A version that was never in force.
        assert_eq!(
            answer(&ledger, &order(1, 2, "first")),
            ResultCode::OtherBase
        );
        // A version that may come into force yet: no refusal.
        let early = order(2 * others + 9, 2 * others + 11, "first");
        assert_eq!(answer(&ledger, &early), ResultCode::BaseNotInForce);
    }
}

#[test]
fn repeated_request_when_older_than_retained_then_neither_rejected_nor_confirmed() {
    let ledger = after_orders(MIN_RETAINED_REQUESTS as u64 + 200);
    let remembered = ledger.applied_requests.iter().count();
    assert!(
        (MIN_RETAINED_REQUESTS..MIN_RETAINED_REQUESTS + 64).contains(&remembered),
        "{remembered}"
    );
    for ledger in [
        ReplicatedState::from_snapshot(&ledger.snapshot()).unwrap(),
        ledger.clone(),
    ] {
        assert_eq!(ledger.applied_requests.iter().count(), remembered);
        assert_eq!(
            answer(&ledger, &order(0, 2, "first")),
            ResultCode::OrderForgotten
        );
        assert_eq!(
            answer(&ledger, &order(0, 2, "second")),
            ResultCode::OrderForgotten
        );
        assert_eq!(ResultCode::OrderForgotten.status(), 503);
        let oldest = ledger.applied_requests.oldest_base().unwrap();
        assert_eq!(
            answer(&ledger, &order(oldest, oldest + 2, "first")),
            ResultCode::Ok
        );
        assert_eq!(
            answer(&ledger, &order(oldest - 2, oldest, "first")),
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
#[case::a_field_more(
    r#"{"version":3,"routes":[],"services":[{"name":"s","note":"a","x":null}]}"#,
    false
)]
#[case::cut_short(
    r#"{"version":3,"routes":[],"services":[{"name":"s","note":"a"}"#,
    false
)]
#[case::a_key_twice(
    r#"{"version":9,"version":3,"routes":[],"services":[{"name":"s","note":"a"}]}"#,
    false
)]
#[case::an_inner_key_twice(
    r#"{"version":3,"routes":[],"services":[{"name":"s","note":"b","note":"a"}]}"#,
    false
)]
#[case::text_in_place_of_the_value(
    r#"{"version":3,"routes":[],"services":[{"name":"s","note":{"$serde_json::private::RawValue":""a""}}]}"#,
    false
)]
#[case::bytes_after_it(
    r#"{"version":3,"routes":[],"services":[{"name":"s","note":"a"}]} x"#,
    false
)]
fn equal_content_in_other_bytes_is_the_same_order(#[case] again: &str, #[case] same: bool) {
    let ledger = taken(&ReplicatedState::default(), &order(0, 2, "x"));
    let ledger = taken(&ledger, &order(2, 3, "a"));
    let again = |base, amend| Command::Configure {
        base,
        amend,
        body: again.as_bytes().to_vec(),
    };
    let expected = if same {
        ResultCode::Ok
    } else {
        ResultCode::OtherBase
    };
    assert_eq!(answer(&ledger, &again(2, false)), expected);
    // Neither under another base nor as an amendment.
    assert_eq!(answer(&ledger, &again(0, false)), ResultCode::OtherBase);
    assert_eq!(answer(&ledger, &again(2, true)), ResultCode::OtherBase);
}

#[test]
fn request_when_repeated_on_the_version_that_it_led_to_then_invalid() {
    let ledger = taken(&ReplicatedState::default(), &order(0, 2, "x"));
    assert_eq!(answer(&ledger, &order(2, 2, "x")), ResultCode::OldVersion);
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

    /// Operators send orders on any version, new ones and old ones again; the ledger is now and then replaced by
    /// its snapshot, as in a takeover.
    #[test]
    fn requests_when_repeated_at_random_then_one_per_version_is_confirmed(
        steps in prop::collection::vec((0u64..40, 0u64..3, 0u64..4, any::<bool>()), 1..200)
    ) {
        let mut ledger = ReplicatedState::default();
        let mut followed = std::collections::BTreeMap::new();
        for (base, rise, note, snapshot) in steps {
            let command = order(base, base + rise, &note.to_string());
            let winner = followed.get(&base);
            match ledger.plan(&command) {
                Plan::Change(change, next) => {
                    prop_assert!(winner.is_none() && base == ledger.configuration.version);
                    let configures = matches!(change, Change::Configure { .. });
                    prop_assert!(configures);
                    followed.insert(base, command);
                    ledger = *next;
                }
                Plan::Answer(ResultCode::Ok, _) => prop_assert_eq!(winner, Some(&command)),
                Plan::Answer(ResultCode::BaseNotInForce, _) => prop_assert!(base > ledger.configuration.version),
                Plan::Answer(code, _) => {
                    prop_assert_eq!(code.status() / 100, 4);
                    prop_assert!(base <= ledger.configuration.version);
                    prop_assert_ne!(winner, Some(&command));
                }
            }
            if snapshot {
                ledger = ReplicatedState::from_snapshot(&ledger.snapshot()).unwrap();
            }
        }
    }
}

#[test]
fn answer_when_for_an_earlier_incarnation_then_it_reaches_no_caller() {
    let mut cluster = Cluster::new(3);
    let primary = cluster.wait_for_primary();
    let other = cluster.wait_for_witness();
    // The first order is taken but not yet safe, as no write ends; its member starts again meanwhile.
    cluster.withhold(WithheldEvents::WriteCompletions);
    cluster.send_command(other, 1, order(0, 2, "lost caller"));
    cluster.run_until(|c| c.forwarded_commands(primary) == 1);
    cluster.run_ms(5);
    cluster.restart(other);
    cluster.send_command(other, 1, order(0, 2, "new caller"));
    cluster.run_until(|c| c.forwarded_commands(primary) >= 2);
    cluster.release();
    let code = cluster.wait_for_answer(other, 1);
    assert_eq!(code, ResultCode::OtherBase, "the other order was taken");
}

#[test]
fn forwarded_request_when_delivered_again_late_then_nothing_changes() {
    let mut cluster = Cluster::new(3);
    let primary = cluster.wait_for_primary();
    let other = cluster.wait_for_witness();
    cluster.send_command(other, 1, order(0, 2, "a"));
    assert_eq!(cluster.wait_for_answer(other, 1), ResultCode::Ok);
    cluster.send_command(primary, 1, order(2, 5, "b"));
    assert_eq!(cluster.wait_for_answer(primary, 1), ResultCode::Ok);
    let replayed = cluster.sent_messages(|m| matches!(m, Message::ForwardCommand { .. }));
    assert!(!replayed.is_empty());
    for (from, to, message) in replayed {
        cluster.deliver(from, to, message);
    }
    cluster.run_ms(500);
    // Still the newest, and both are still confirmed, everywhere.
    for member in 0..3 {
        cluster.send_command(member, 10, order(2, 5, "b"));
        assert_eq!(cluster.wait_for_answer(member, 10), ResultCode::Ok);
        cluster.send_command(member, 11, order(0, 2, "a"));
        assert_eq!(cluster.wait_for_answer(member, 11), ResultCode::Ok);
        cluster.send_command(member, 12, order(2, 6, "late"));
        assert_eq!(cluster.wait_for_answer(member, 12), ResultCode::OtherBase);
    }
}

/// The order was taken, its answer lost; it is sent again after a takeover, a restart of all, a rewrite.
#[test]
fn repeated_request_when_the_primary_changes_then_it_is_confirmed() {
    let mut cluster = Cluster::new(3);
    let first = cluster.wait_for_primary();
    cluster.send_command(first, 1, order(0, 2, "a"));
    assert_eq!(cluster.wait_for_answer(first, 1), ResultCode::Ok);
    cluster.stop(first);
    let rest: Vec<usize> = (0..3).filter(|n| *n != first).collect();
    for member in &rest {
        cluster.send_command(*member, 2, order(0, 2, "a"));
        assert_eq!(cluster.wait_for_answer(*member, 2), ResultCode::Ok);
        cluster.send_command(*member, 3, order(0, 2, "b"));
        assert_eq!(cluster.wait_for_answer(*member, 3), ResultCode::OtherBase);
    }
    (0..3).for_each(|n| cluster.restart(n));
    for member in 0..3 {
        cluster.send_command(member, 4, order(0, 2, "a"));
        assert_eq!(cluster.wait_for_answer(member, 4), ResultCode::Ok);
        cluster.send_command(member, 5, order(0, 2, "b"));
        assert_eq!(cluster.wait_for_answer(member, 5), ResultCode::OtherBase);
    }
}

/// Hundreds of orders, so that the files are rewritten; all of them are known again after a restart of all.
#[test]
fn applied_requests_when_the_file_is_rewritten_then_they_remain() {
    const ORDERS: u64 = 400;
    let mut cluster = Cluster::new(3);
    let primary = cluster.wait_for_primary();
    let long = "x".repeat(2000);
    for n in 0..ORDERS {
        cluster.send_command(primary, n, order(2 * n, 2 * n + 2, &long));
        assert_eq!(cluster.wait_for_answer(primary, n), ResultCode::Ok);
        // A file is rewritten when nothing waits to be written.
        cluster.run_ms(20);
    }
    assert!(cluster.rewrites(primary) > 0);
    (0..3).for_each(|n| cluster.restart(n));
    for member in 0..3 {
        for n in 0..ORDERS {
            cluster.send_command(member, n, order(2 * n, 2 * n + 2, &long));
            assert_eq!(
                cluster.wait_for_answer(member, n),
                ResultCode::Ok,
                "order {n} at member {member}"
            );
        }
        cluster.send_command(member, ORDERS, order(2, 4, "lost"));
        assert_eq!(
            cluster.wait_for_answer(member, ORDERS),
            ResultCode::OtherBase
        );
    }
}

/// A replica loses its disk and joins again with nothing; then the primary is lost for good.
#[test]
fn member_when_it_joins_empty_then_it_knows_applied_requests() {
    let mut cluster = Cluster::new(3);
    let primary = cluster.wait_for_primary();
    let witness = cluster.wait_for_witness();
    let wiped = (0..3).find(|n| *n != primary && *n != witness).unwrap();
    cluster.send_command(primary, 1, order(0, 2, "a"));
    assert_eq!(cluster.wait_for_answer(primary, 1), ResultCode::Ok);
    cluster.wipe(wiped);
    // Whichever of the two holds the ledger beside the primary got it handed.
    cluster.run_until(|c| c.is_settled_replica(wiped) || c.is_settled_replica(witness));
    cluster.run_ms(5000);
    cluster.stop(primary);
    for member in [wiped, witness] {
        cluster.send_command(member, 2, order(0, 2, "a"));
        assert_eq!(cluster.wait_for_answer(member, 2), ResultCode::Ok);
        cluster.send_command(member, 3, order(0, 2, "b"));
        assert_eq!(cluster.wait_for_answer(member, 3), ResultCode::OtherBase);
    }
}

/// A primary that is cut off has an order pending. The others take another one on the same version. Neither the
/// answer of the first nor one that rests on it may ever say yes.
#[test]
fn request_when_a_partitioned_primary_cannot_replicate_it_then_never_confirmed() {
    let mut cluster = Cluster::new(3);
    let old = cluster.wait_for_primary();
    let others: Vec<usize> = (0..3).filter(|n| *n != old).collect();
    cluster.isolate(old);
    cluster.send_command(old, 1, order(0, 2, "lost"));
    // It rests on the pending one and has to wait for it: a refusal could be false.
    cluster.send_command(old, 2, order(0, 2, "other"));
    cluster.run_ms(200);
    assert_eq!(
        (cluster.answer(old, 1), cluster.answer(old, 2)),
        (None, None)
    );
    cluster.run_until(|c| others.iter().any(|n| c.is_primary(*n)));
    cluster.send_command(others[0], 3, order(0, 2, "other"));
    assert_eq!(cluster.wait_for_answer(others[0], 3), ResultCode::Ok);
    cluster.heal();
    let lost = cluster.wait_for_answer(old, 1);
    assert!(
        matches!(
            lost,
            ResultCode::OtherBase | ResultCode::Unclear | ResultCode::NoPrimary
        ),
        "{lost:?}"
    );
    let other = cluster.wait_for_answer(old, 2);
    assert!(
        matches!(
            other,
            ResultCode::Ok | ResultCode::Unclear | ResultCode::NoPrimary
        ),
        "{other:?}"
    );
    cluster.send_command(old, 4, order(0, 2, "lost"));
    assert_eq!(cluster.wait_for_answer(old, 4), ResultCode::OtherBase);
}

/// A replica is lost while an order waits for it: the primary installs a membership without it. What waited is dropped with the
/// old membership, and planned anew in the next, for its own callers and for those of others.
#[test]
fn request_when_in_flight_during_a_membership_change_then_confirmed_after_it() {
    let mut cluster = Cluster::new(3);
    let (primary, witness) = (cluster.wait_for_primary(), cluster.wait_for_witness());
    let replica = (0..3).find(|n| ![primary, witness].contains(n)).unwrap();
    cluster.run_ms(2000);
    cluster.isolate(replica);
    cluster.send_command(primary, 1, order(0, 2, "a"));
    cluster.send_command(witness, 1, order(0, 2, "a"));
    cluster.send_command(witness, 2, order(0, 2, "rival"));
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

/// What a member answers stands even where the primary freezes: a caller's order is asked of the next primary as
/// soon as that one is primary, and not only when the caller tries again.
#[test]
fn request_when_its_primary_is_paused_then_sent_to_the_next_at_once() {
    let mut cluster = Cluster::new(3);
    let paused = cluster.wait_for_primary();
    let others: Vec<usize> = (0..3).filter(|n| *n != paused).collect();
    cluster.pause(paused);
    for member in &others {
        cluster.send_command(*member, 1, order(0, 2, "a"));
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

/// A member that has been cut off for a while doesn't hold its callers: they go elsewhere, or hear from it as soon as
/// it is back in touch.
#[test]
fn member_when_partitioned_then_callers_are_answered_at_once() {
    let mut cluster = Cluster::new(3);
    let primary = cluster.wait_for_primary();
    let other = cluster.wait_for_witness();
    for cut_off in [other, primary] {
        cluster.isolate(cut_off);
        cluster.run_ms(5000);
        let since = cluster.now_ms();
        cluster.send_command(cut_off, since, order(0, 2, "a"));
        let code = cluster.wait_for_answer(cut_off, since);
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
    // Whoever is in touch holds a call through a takeover.
    let primary = cluster.wait_for_primary();
    let other = (0..3).find(|n| *n != primary).unwrap();
    cluster.stop(primary);
    cluster.send_command(other, 1, order(0, 2, "b"));
    assert_eq!(cluster.wait_for_answer(other, 1), ResultCode::Ok);
}

/// Eight orders at once on the same version, with one number and different contents, at all members.
#[rstest]
#[case::same_version(true)]
#[case::other_versions(false)]
fn eight_requests_when_sent_at_once_then_one_is_confirmed(#[case] same: bool) {
    let mut cluster = Cluster::new(3);
    let sent: Vec<(usize, u64, Command)> = (0..8u64)
        .map(|n| {
            (
                n as usize % 3,
                n + 1,
                order(0, if same { 9 } else { 9 + n }, &n.to_string()),
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
    // Sent again to the next member, each gets the same answer.
    for ((member, ticket, command), code) in sent.into_iter().zip(codes) {
        let next = (member + 1) % 3;
        cluster.send_command(next, ticket + 100, command);
        assert_eq!(cluster.wait_for_answer(next, ticket + 100), code);
    }
}

#[test]
fn request_when_sent_by_two_senders_then_confirmed_to_both() {
    let mut cluster = Cluster::new(3);
    for member in 0..3 {
        cluster.send_command(member, 1, order(0, 2, "a"));
    }
    for member in 0..3 {
        assert_eq!(cluster.wait_for_answer(member, 1), ResultCode::Ok);
    }
}
