//! Tests of the decision whether a request is retried at another host, and of the result code that it ends with
//! otherwise.

use configuration::ResultCode;
use proxy::retry::{AttemptOutcome, RetryDecision, RetryState};
use rstest::rstest;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1);
const DEADLINE: Duration = Duration::from_secs(9);
const AT_DEADLINE: Duration = DEADLINE;

fn new_retry_state(idempotent: bool, max_attempts: u32) -> RetryState {
    RetryState::new(idempotent, max_attempts, DEADLINE)
}

#[rstest]
#[case(true, AttemptOutcome::NotExecuted, RetryDecision::Retry)]
#[case(true, AttemptOutcome::Broken, RetryDecision::Retry)]
#[case(true, AttemptOutcome::HostFailed, RetryDecision::Retry)]
#[case(false, AttemptOutcome::NotExecuted, RetryDecision::Retry)]
#[case(
    false,
    AttemptOutcome::Broken,
    RetryDecision::GiveUp(ResultCode::HostBroke)
)]
#[case(
    false,
    AttemptOutcome::HostFailed,
    RetryDecision::GiveUp(ResultCode::HostBroke)
)]
fn decision_after_a_sent_attempt_follows_its_outcome(
    #[case] idempotent: bool,
    #[case] outcome: AttemptOutcome,
    #[case] expected: RetryDecision,
) {
    let mut retry_state = new_retry_state(idempotent, 2);
    retry_state.record_sent();
    assert_eq!(retry_state.on_attempt_ended(NOW, outcome), expected);
}

#[rstest]
#[case(true)]
#[case(false)]
fn unreachable_host_is_replaced_and_costs_no_budget(#[case] idempotent: bool) {
    let mut retry_state = new_retry_state(idempotent, 1);
    assert_eq!(
        retry_state.on_attempt_ended(NOW, AttemptOutcome::Unreachable),
        RetryDecision::Retry
    );
    assert!(!retry_state.was_sent() && !retry_state.needs_retry_budget());
}

#[test]
fn unreachable_hosts_are_limited() {
    let mut retry_state = new_retry_state(true, 9);
    let decisions: Vec<_> = (0..6)
        .map(|_| retry_state.on_attempt_ended(NOW, AttemptOutcome::Unreachable))
        .collect();
    assert_eq!(decisions[..5], [RetryDecision::Retry; 5]);
    assert_eq!(decisions[5], RetryDecision::GiveUp(ResultCode::NoHost));
}

#[rstest]
#[case(AttemptOutcome::NotExecuted, ResultCode::NoHost)]
#[case(AttemptOutcome::Broken, ResultCode::HostBroke)]
fn last_attempt_ends_the_request(#[case] outcome: AttemptOutcome, #[case] code: ResultCode) {
    let mut retry_state = new_retry_state(true, 1);
    retry_state.record_sent();
    assert_eq!(
        retry_state.on_attempt_ended(NOW, outcome),
        RetryDecision::GiveUp(code)
    );
}

#[rstest]
#[case(AttemptOutcome::NotExecuted, ResultCode::LateNotRun)]
#[case(AttemptOutcome::Broken, ResultCode::LateMayHaveRun)]
fn attempt_that_ends_after_the_deadline_ends_the_request(
    #[case] outcome: AttemptOutcome,
    #[case] code: ResultCode,
) {
    let mut retry_state = new_retry_state(true, 3);
    retry_state.record_sent();
    assert_eq!(
        retry_state.on_attempt_ended(AT_DEADLINE, outcome),
        RetryDecision::GiveUp(code)
    );
}

#[test]
fn request_with_a_broken_attempt_is_never_reported_as_not_run() {
    let mut retry_state = new_retry_state(true, 3);
    retry_state.record_sent();
    retry_state.on_attempt_ended(NOW, AttemptOutcome::Broken);
    retry_state.record_sent();
    retry_state.on_attempt_ended(NOW, AttemptOutcome::NotExecuted);
    assert_eq!(
        retry_state.code_unless_run(ResultCode::BudgetSpent),
        ResultCode::HostBroke
    );
    assert_eq!(retry_state.deadline_code(), ResultCode::LateMayHaveRun);
}

#[test]
fn request_that_failed_over_may_have_run() {
    let mut retry_state = new_retry_state(true, 2);
    retry_state.record_sent();
    assert!(retry_state.may_fail_over(NOW));
    retry_state.record_failover();
    retry_state.record_sent();
    assert!(!retry_state.may_fail_over(NOW), "no attempt is left");
    assert_eq!(
        retry_state.on_attempt_ended(NOW, AttemptOutcome::NotExecuted),
        RetryDecision::GiveUp(ResultCode::HostBroke)
    );
}

#[test]
fn only_idempotent_requests_fail_over() {
    let mut mutating = new_retry_state(false, 3);
    mutating.record_sent();
    assert!(!mutating.may_fail_over(NOW));
    let mut idempotent = new_retry_state(true, 3);
    idempotent.record_sent();
    assert!(!idempotent.may_fail_over(AT_DEADLINE));
}

#[test]
fn budget_taken_for_an_unreachable_host_is_kept() {
    let mut retry_state = new_retry_state(true, 9);
    assert!(
        !retry_state.needs_retry_budget(),
        "the first attempt needs no budget"
    );
    retry_state.record_sent();
    retry_state.on_attempt_ended(NOW, AttemptOutcome::NotExecuted);
    assert!(retry_state.needs_retry_budget());
    retry_state.record_budget_taken();
    retry_state.on_attempt_ended(NOW, AttemptOutcome::Unreachable);
    assert!(
        !retry_state.needs_retry_budget(),
        "the retry taken for the unreachable host is still available"
    );
    retry_state.record_sent();
    assert!(retry_state.needs_retry_budget());
}
