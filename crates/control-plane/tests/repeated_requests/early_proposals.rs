//! Requests on a base version that isn't in force yet. They are never rejected for good, because a delayed copy may
//! still be applied.

use super::support::request_cluster::Cluster;
use super::{answer_without_change, replace_command, state_after};
use configuration::ResultCode;
use control_plane::replicated_state::ReplicatedState;
use protocol::Message;

/// Time after which a caller tries another member, in ms.
const CALLER_TIMEOUT_MS: u64 = 1000;
/// Number of early requests that a primary holds at most.
const MAX_HELD_REQUESTS: u64 = 8;

#[test]
fn early_request_when_its_base_can_never_be_in_force_then_rejected() {
    let state = state_after(&ReplicatedState::default(), &replace_command(0, 2, "first"));
    let early = replace_command(5, 7, "early");
    assert_eq!(
        answer_without_change(&state, &early),
        ResultCode::BaseNotInForce
    );
    assert_eq!(
        (
            ResultCode::BaseNotInForce.number(),
            ResultCode::BaseNotInForce.status()
        ),
        (124, 503)
    );
    // Its base version comes into force: it is applied.
    let with_base = state_after(&state, &replace_command(2, 5, "base"));
    assert_eq!(state_after(&with_base, &early).configuration.version, 7);
    // A later version than its base comes into force: it can't be applied any more.
    let passed = state_after(&state, &replace_command(2, 6, "another"));
    assert_eq!(
        answer_without_change(&passed, &early),
        ResultCode::OtherBase
    );
}

#[test]
fn early_request_when_its_base_does_not_come_then_answered_with_the_version_in_force() {
    let mut cluster = Cluster::new(3);
    let members = [cluster.wait_for_primary(), cluster.wait_for_witness()];
    cluster.send_command(members[0], 1, replace_command(0, 2, "first"));
    assert_eq!(cluster.wait_for_answer(members[0], 1), ResultCode::Ok);
    for member in members {
        let since = cluster.now_ms();
        cluster.send_command(member, 2, replace_command(22, 23, "mistyped"));
        assert_eq!(
            cluster.wait_for_answer(member, 2),
            ResultCode::BaseNotInForce
        );
        assert!(
            cluster.now_ms() - since < CALLER_TIMEOUT_MS,
            "{} ms",
            cluster.now_ms() - since
        );
        assert_eq!(
            cluster.answer_text(member, 2),
            "version 2 is in force, not 22"
        );
    }
}

#[test]
fn early_request_when_a_copy_arrives_late_then_applied() {
    let mut cluster = Cluster::new(3);
    let (primary, other) = (cluster.wait_for_primary(), cluster.wait_for_witness());
    cluster.send_command(other, 1, replace_command(2, 5, "early"));
    assert_eq!(
        cluster.wait_for_answer(other, 1),
        ResultCode::BaseNotInForce
    );
    let forwarded = cluster.sent_messages(|m| matches!(m, Message::ForwardCommand { .. }));
    cluster.send_command(primary, 2, replace_command(0, 2, "base"));
    assert_eq!(cluster.wait_for_answer(primary, 2), ResultCode::Ok);
    let (from, to, message) = forwarded.into_iter().next().unwrap();
    cluster.deliver(from, to, message);
    cluster.run_ms(100);
    // The late copy was applied: another request on that base is rejected, and the same one is confirmed.
    cluster.send_command(other, 3, replace_command(2, 5, "rival"));
    assert_eq!(cluster.wait_for_answer(other, 3), ResultCode::OtherBase);
    cluster.send_command(other, 4, replace_command(2, 5, "early"));
    assert_eq!(cluster.wait_for_answer(other, 4), ResultCode::Ok);
}

#[test]
fn dependent_requests_when_they_arrive_in_any_order_then_all_are_applied() {
    let mut cluster = Cluster::new(3);
    cluster.wait_for_primary();
    let since = cluster.now_ms();
    for n in (0..MAX_HELD_REQUESTS).rev() {
        cluster.send_command(n as usize % 3, n, replace_command(n, n + 1, "chain"));
        cluster.run_ms(5);
    }
    for n in 0..MAX_HELD_REQUESTS {
        assert_eq!(
            cluster.wait_for_answer(n as usize % 3, n),
            ResultCode::Ok,
            "request {n}"
        );
    }
    assert!(
        cluster.now_ms() - since < 100,
        "{} ms",
        cluster.now_ms() - since
    );
}

#[test]
fn early_requests_when_too_many_are_held_then_answered_at_once() {
    let mut cluster = Cluster::new(3);
    let primary = cluster.wait_for_primary();
    for n in 0..=MAX_HELD_REQUESTS {
        cluster.send_command(primary, n, replace_command(100 + n, 200, "early"));
    }
    cluster.run_ms(5);
    let answers: Vec<Option<ResultCode>> = (0..=MAX_HELD_REQUESTS)
        .map(|n| cluster.answer(primary, n))
        .collect();
    assert_eq!(
        answers.iter().flatten().collect::<Vec<_>>(),
        [&ResultCode::BaseNotInForce]
    );
    assert!(answers[MAX_HELD_REQUESTS as usize].is_some());
    // A request that can be applied isn't delayed.
    cluster.send_command(primary, 20, replace_command(0, 2, "first"));
    assert_eq!(cluster.wait_for_answer(primary, 20), ResultCode::Ok);
}

#[test]
fn early_request_when_its_primary_is_paused_then_sent_to_the_next() {
    let mut cluster = Cluster::new(3);
    let paused = cluster.wait_for_primary();
    let others: Vec<usize> = (0..3).filter(|n| *n != paused).collect();
    cluster.send_command(others[0], 1, replace_command(2, 5, "early"));
    cluster.run_ms(50);
    cluster.pause(paused);
    cluster.run_until(|c| others.iter().any(|n| c.is_primary(*n)));
    cluster.send_command(others[1], 2, replace_command(0, 2, "base"));
    assert_eq!(cluster.wait_for_answer(others[1], 2), ResultCode::Ok);
    assert_eq!(cluster.wait_for_answer(others[0], 1), ResultCode::Ok);
}
