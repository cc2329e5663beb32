//! Whether a request goes to another host, and how it ends otherwise.

use configuration::ResultCode;
use proxy::retry::{AttemptOutcome, RetryDecision, RetryState};
use rstest::rstest;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1);
const DEADLINE: Duration = Duration::from_secs(9);
const LATE: Duration = DEADLINE;

fn trial(idempotent: bool, tries: u32) -> RetryState {
    RetryState::new(idempotent, tries, DEADLINE)
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
    #[case] end: AttemptOutcome,
    #[case] next: RetryDecision,
) {
    let mut trial = trial(idempotent, 2);
    trial.record_sent();
    assert_eq!(trial.on_attempt_ended(NOW, end), next);
}

#[rstest]
#[case(true)]
#[case(false)]
fn unreachable_host_is_replaced_and_costs_no_budget(#[case] idempotent: bool) {
    let mut trial = trial(idempotent, 1);
    assert_eq!(
        trial.on_attempt_ended(NOW, AttemptOutcome::Unreachable),
        RetryDecision::Retry
    );
    assert!(!trial.was_sent() && !trial.needs_retry_budget());
}

#[test]
fn unreachable_hosts_are_limited() {
    let mut trial = trial(true, 9);
    let ends: Vec<_> = (0..6)
        .map(|_| trial.on_attempt_ended(NOW, AttemptOutcome::Unreachable))
        .collect();
    assert_eq!(ends[..5], [RetryDecision::Retry; 5]);
    assert_eq!(ends[5], RetryDecision::GiveUp(ResultCode::NoHost));
}

#[rstest]
#[case(AttemptOutcome::NotExecuted, ResultCode::NoHost)]
#[case(AttemptOutcome::Broken, ResultCode::HostBroke)]
fn last_attempt_ends_the_request(#[case] end: AttemptOutcome, #[case] code: ResultCode) {
    let mut trial = trial(true, 1);
    trial.record_sent();
    assert_eq!(
        trial.on_attempt_ended(NOW, end),
        RetryDecision::GiveUp(code)
    );
}

#[rstest]
#[case(AttemptOutcome::NotExecuted, ResultCode::LateNotRun)]
#[case(AttemptOutcome::Broken, ResultCode::LateMayHaveRun)]
fn attempt_that_ends_after_the_deadline_ends_the_request(
    #[case] end: AttemptOutcome,
    #[case] code: ResultCode,
) {
    let mut trial = trial(true, 3);
    trial.record_sent();
    assert_eq!(
        trial.on_attempt_ended(LATE, end),
        RetryDecision::GiveUp(code)
    );
}

#[test]
fn broken_attempt_bars_a_not_executed_promise_for_good() {
    let mut trial = trial(true, 3);
    trial.record_sent();
    trial.on_attempt_ended(NOW, AttemptOutcome::Broken);
    trial.record_sent();
    trial.on_attempt_ended(NOW, AttemptOutcome::NotExecuted);
    assert_eq!(
        trial.code_unless_run(ResultCode::BudgetSpent),
        ResultCode::HostBroke
    );
    assert_eq!(trial.deadline_code(), ResultCode::LateMayHaveRun);
}

#[test]
fn request_that_failed_over_may_have_run() {
    let mut trial = trial(true, 2);
    trial.record_sent();
    assert!(trial.may_fail_over(NOW));
    trial.record_failover();
    trial.record_sent();
    assert!(
        !trial.may_fail_over(NOW),
        "that was the last host it may go to"
    );
    assert_eq!(
        trial.on_attempt_ended(NOW, AttemptOutcome::NotExecuted),
        RetryDecision::GiveUp(ResultCode::HostBroke)
    );
}

#[test]
fn only_idempotent_requests_fail_over() {
    let mut once = trial(false, 3);
    once.record_sent();
    assert!(!once.may_fail_over(NOW));
    let mut pure = trial(true, 3);
    pure.record_sent();
    assert!(!pure.may_fail_over(LATE));
}

#[test]
fn budget_taken_for_an_unreachable_host_is_kept() {
    let mut trial = trial(true, 9);
    assert!(!trial.needs_retry_budget(), "the first is free");
    trial.record_sent();
    trial.on_attempt_ended(NOW, AttemptOutcome::NotExecuted);
    assert!(trial.needs_retry_budget());
    trial.record_budget_taken();
    trial.on_attempt_ended(NOW, AttemptOutcome::Unreachable);
    assert!(
        !trial.needs_retry_budget(),
        "what was taken for a host that could not be reached is still there"
    );
    trial.record_sent();
    assert!(trial.needs_retry_budget());
}
