//! Decides whether a request is sent to another host after an attempt has ended, and which result code it ends with
//! otherwise.
//!
//! No I/O. All times are durations since an origin that the caller chooses.

use configuration::ResultCode;
use std::time::Duration;

/// Number of unreachable hosts after which a request is given up.
const MAX_UNREACHABLE_HOSTS: u32 = 6;

/// The outcome of an attempt that ended without a response to forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No byte of the request was written: it did not run, and the host does not know of it.
    Unreachable,
    /// The host states that it did not run the request.
    NotExecuted,
    /// The request was sent, and then the connection broke, timed out or did not carry a valid response. The request
    /// may have run.
    Broken,
    /// The host ran the request and responded with an error.
    HostFailed,
}

/// The decision after an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another host. The retry is subject to the retry budget if [`RetryState::needs_retry_budget`] returns true.
    Retry,
    /// End the request, with a host's own error response if there is one, otherwise with this code.
    GiveUp(ResultCode),
}

/// State of one client request over all of its attempts.
#[derive(Clone, Debug)]
pub struct RetryState {
    idempotent: bool,
    max_attempts: u32,
    deadline: Duration,
    /// Number of attempts of which at least one byte was written.
    sent_attempts: u32,
    unreachable_hosts: u32,
    /// Whether a retry was taken from the budget of which no byte has been written yet.
    budget_taken: bool,
    may_have_run: bool,
}

impl RetryState {
    /// Creates the state of a request that no host has received, with at most `max_attempts` attempts (at least one)
    /// until `deadline`.
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

    /// Time by which the request has to end.
    pub fn deadline(&self) -> Duration {
        self.deadline
    }

    /// Whether the request is idempotent, so that it may run more than once.
    pub fn idempotent(&self) -> bool {
        self.idempotent
    }

    /// Records that the first byte of an attempt was written to a host.
    pub fn record_sent(&mut self) {
        self.sent_attempts += 1;
        self.budget_taken = false;
    }

    /// Number of attempts of which at least one byte was written to a host.
    pub fn sent_attempts(&self) -> u32 {
        self.sent_attempts
    }

    /// Whether the next attempt has to be taken from the retry budget. A retry taken for a host that turned out to be
    /// unreachable is still available for the next host.
    pub fn needs_retry_budget(&self) -> bool {
        self.sent_attempts > 0 && !self.budget_taken
    }

    /// Records that a retry was taken from the budget.
    pub fn record_budget_taken(&mut self) {
        self.budget_taken = true;
    }

    /// Records that another host is asked as the request's host, which may have run it, is silent.
    pub fn record_failover(&mut self) {
        self.may_have_run = true;
    }

    /// Whether at least one byte of the request was written to any host.
    pub fn was_sent(&self) -> bool {
        self.sent_attempts > 0
    }

    /// Whether the request may have run, so that the client must not be told that it has not.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Whether the request may fail over to another host while the current one is silent.
    pub fn may_fail_over(&self, now: Duration) -> bool {
        self.idempotent && self.sent_attempts < self.max_attempts && now < self.deadline
    }

    /// Records the outcome of an attempt and decides what follows.
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

    /// Returns `code` if the request can't have run, otherwise a code that does not promise that.
    pub fn code_unless_run(&self, code: ResultCode) -> ResultCode {
        if self.may_have_run {
            ResultCode::HostBroke
        } else {
            code
        }
    }

    /// Returns the code for a request whose deadline has passed with no attempt in flight.
    pub fn deadline_code(&self) -> ResultCode {
        if self.may_have_run {
            ResultCode::LateMayHaveRun
        } else {
            ResultCode::LateNotRun
        }
    }
}
