//! Decides whether a request is sent to another host after an attempt, and which result code ends it otherwise.
//!
//! No I/O. All times are durations since one origin that the caller chooses.

use configuration::ResultCode;
use std::time::Duration;

/// Unreachable hosts that one request is tried on before it is given up.
const MAX_UNREACHABLE_HOSTS: u32 = 6;

/// How an attempt ended that brought no response to forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Not a byte of the request was written: it did not run, and the host doesn't know of it.
    Unreachable,
    /// The host says that it did not run the request.
    NotExecuted,
    /// The request was sent, and then the connection broke, timed out or carried no valid response. It may have run.
    Broken,
    /// The host ran the request and failed.
    HostFailed,
}

/// What follows an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another host, subject to the retry budget where [`RetryState::needs_retry_budget`] says so.
    Retry,
    /// The end: with a host's own error response where there is one, else with this code.
    GiveUp(ResultCode),
}

/// What is known of one client request over all its attempts.
#[derive(Clone, Debug)]
pub struct RetryState {
    idempotent: bool,
    max_attempts: u32,
    deadline: Duration,
    /// Attempts of which a byte was written.
    sent_attempts: u32,
    unreachable_hosts: u32,
    /// A retry was taken from the budget and no byte of it was written yet.
    budget_taken: bool,
    may_have_run: bool,
}

impl RetryState {
    /// A request that no host has seen, with at most `max_attempts` attempts (at least one) until `deadline`.
    pub fn new(idempotent: bool, max_attempts: u32, deadline: Duration) -> Self {
        Self {
            idempotent,
            max_attempts: max_attempts.max(1),
            deadline,
            sent_attempts: 0,
            unreachable_hosts: 0,
            budget_taken: false,
            may_have_run: false,
        }
    }

    /// When the request has to end.
    pub fn deadline(&self) -> Duration {
        self.deadline
    }

    /// Whether the request may run more than once.
    pub fn idempotent(&self) -> bool {
        self.idempotent
    }

    /// The first byte of an attempt was written to a host.
    pub fn record_sent(&mut self) {
        self.sent_attempts += 1;
        self.budget_taken = false;
    }

    /// Whether the next attempt has to be taken from the retry budget. What was taken for a host that could not be
    /// reached still counts for the next one.
    pub fn needs_retry_budget(&self) -> bool {
        self.sent_attempts > 0 && !self.budget_taken
    }

    /// A retry was taken from the budget.
    pub fn record_budget_taken(&mut self) {
        self.budget_taken = true;
    }

    /// The request fails over from a silent host, which may have run it.
    pub fn record_failover(&mut self) {
        self.may_have_run = true;
    }

    /// Whether a byte of the request was written to any host.
    pub fn was_sent(&self) -> bool {
        self.sent_attempts > 0
    }

    /// Whether the request may have run, so that nobody may be told that it has not.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Whether the request may fail over to another host while the current one is silent.
    pub fn may_fail_over(&self, now: Duration) -> bool {
        self.idempotent && self.sent_attempts < self.max_attempts && now < self.deadline
    }

    /// Takes in the end of an attempt and decides what follows.
    pub fn on_attempt_ended(&mut self, now: Duration, outcome: AttemptOutcome) -> RetryDecision {
        match outcome {
            AttemptOutcome::Unreachable => self.unreachable_hosts += 1,
            AttemptOutcome::NotExecuted => {}
            AttemptOutcome::Broken | AttemptOutcome::HostFailed => self.may_have_run = true,
        }
        if now >= self.deadline {
            return RetryDecision::GiveUp(self.deadline_code());
        }
        let safe_to_repeat = self.idempotent || !self.may_have_run;
        let within_limits = self.sent_attempts < self.max_attempts
            && self.unreachable_hosts < MAX_UNREACHABLE_HOSTS;
        if safe_to_repeat && within_limits {
            RetryDecision::Retry
        } else {
            RetryDecision::GiveUp(self.code_unless_run(ResultCode::NoHost))
        }
    }

    /// `code` if the request can't have run; else a code that doesn't promise that.
    pub fn code_unless_run(&self, code: ResultCode) -> ResultCode {
        if self.may_have_run {
            ResultCode::HostBroke
        } else {
            code
        }
    }

    /// The code for a request whose deadline has passed with no attempt in flight.
    pub fn deadline_code(&self) -> ResultCode {
        if self.may_have_run {
            ResultCode::LateMayHaveRun
        } else {
            ResultCode::LateNotRun
        }
    }
}
