//! Whether a request goes to another host, and how it ends if not.

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
#[case(true, AttemptOutcome::NotRun, RetryDecision::Again)]
#[case(true, AttemptOutcome::Broke, RetryDecision::Again)]
#[case(true, AttemptOutcome::HostFailed, RetryDecision::Again)]
#[case(false, AttemptOutcome::NotRun, RetryDecision::Again)]
#[case(
    false,
    AttemptOutcome::Broke,
    RetryDecision::GiveUp(ResultCode::HostBroke)
)]
#[case(
    false,
    AttemptOutcome::HostFailed,
    RetryDecision::GiveUp(ResultCode::HostBroke)
)]
fn after_an_attempt_that_was_sent(
    #[case] idempotent: bool,
    #[case] end: AttemptOutcome,
    #[case] next: RetryDecision,
) {
    let mut trial = trial(idempotent, 2);
    trial.sent();
    assert_eq!(trial.ended(NOW, end), next);
}

#[rstest]
#[case(true)]
#[case(false)]
fn what_was_not_sent_goes_on(#[case] idempotent: bool) {
    let mut trial = trial(idempotent, 1);
    assert_eq!(
        trial.ended(NOW, AttemptOutcome::Unreached),
        RetryDecision::Again
    );
    assert!(!trial.heard() && !trial.owes());
}

#[test]
fn hosts_that_can_not_be_reached_have_a_limit() {
    let mut trial = trial(true, 9);
    let ends: Vec<_> = (0..6)
        .map(|_| trial.ended(NOW, AttemptOutcome::Unreached))
        .collect();
    assert_eq!(ends[..5], [RetryDecision::Again; 5]);
    assert_eq!(ends[5], RetryDecision::GiveUp(ResultCode::NoHost));
}

#[rstest]
#[case(AttemptOutcome::NotRun, ResultCode::NoHost)]
#[case(AttemptOutcome::Broke, ResultCode::HostBroke)]
fn the_last_try_ends_it(#[case] end: AttemptOutcome, #[case] code: ResultCode) {
    let mut trial = trial(true, 1);
    trial.sent();
    assert_eq!(trial.ended(NOW, end), RetryDecision::GiveUp(code));
}

#[rstest]
#[case(AttemptOutcome::NotRun, ResultCode::LateNotRun)]
#[case(AttemptOutcome::Broke, ResultCode::LateMayHaveRun)]
fn with_the_time_over_it_ends(#[case] end: AttemptOutcome, #[case] code: ResultCode) {
    let mut trial = trial(true, 3);
    trial.sent();
    assert_eq!(trial.ended(LATE, end), RetryDecision::GiveUp(code));
}

#[test]
fn a_broken_attempt_stays_in_what_may_be_promised() {
    let mut trial = trial(true, 3);
    trial.sent();
    trial.ended(NOW, AttemptOutcome::Broke);
    trial.sent();
    trial.ended(NOW, AttemptOutcome::NotRun);
    assert_eq!(
        trial.refusal(ResultCode::BudgetSpent),
        ResultCode::HostBroke
    );
    assert_eq!(trial.overdue(), ResultCode::LateMayHaveRun);
}

#[test]
fn one_that_moved_away_may_have_run() {
    let mut trial = trial(true, 2);
    trial.sent();
    assert!(trial.may_move(NOW));
    trial.moved();
    trial.sent();
    assert!(!trial.may_move(NOW), "that was the last host it may go to");
    assert_eq!(
        trial.ended(NOW, AttemptOutcome::NotRun),
        RetryDecision::GiveUp(ResultCode::HostBroke)
    );
}

#[test]
fn only_what_may_run_twice_moves() {
    let mut once = trial(false, 3);
    once.sent();
    assert!(!once.may_move(NOW));
    let mut pure = trial(true, 3);
    pure.sent();
    assert!(!pure.may_move(LATE));
}

#[test]
fn a_repeat_is_paid_once_a_host_hears_of_it() {
    let mut trial = trial(true, 9);
    assert!(!trial.owes(), "the first is free");
    trial.sent();
    trial.ended(NOW, AttemptOutcome::NotRun);
    assert!(trial.owes());
    trial.paid();
    trial.ended(NOW, AttemptOutcome::Unreached);
    assert!(
        !trial.owes(),
        "what was taken for a host that could not be reached is still there"
    );
    trial.sent();
    assert!(trial.owes());
}
