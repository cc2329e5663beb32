//! Whether a request goes to another host, and how it ends if not. No I/O; times are since any one origin.

use configuration::ResultCode;
use std::time::Duration;

/// Hosts that could not be reached, for one request, before it is given up.
const MOST_UNREACHED: u32 = 6;

/// How one attempt ended without an answer that is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Not a byte of it was written: it never ran, and no host has heard of it.
    Unreached,
    /// The host says that it did not run it.
    NotRun,
    /// It was sent and then broke off, fell silent, or got what is no answer: it may have run.
    Broke,
    /// The host ran it and failed by itself.
    HostFailed,
}

/// What comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another host; the budget is asked first where [`RetryState::owes`] says so.
    Again,
    /// The end: with the host's own answer where there is one, else with this code.
    GiveUp(ResultCode),
}

/// A client's try on its way through hosts.
#[derive(Clone, Debug)]
pub struct RetryState {
    idempotent: bool,
    max_tries: u32,
    deadline: Duration,
    sent: u32,
    unreached: u32,
    /// A repeat was taken from the budget, and no host has heard of it yet.
    paid: bool,
    may_have_run: bool,
}

impl RetryState {
    /// A try that no host has seen yet, to end by `deadline`.
    pub fn new(idempotent: bool, max_tries: u32, deadline: Duration) -> Self {
        Self {
            idempotent,
            max_tries: max_tries.max(1),
            deadline,
            sent: 0,
            unreached: 0,
            paid: false,
            may_have_run: false,
        }
    }

    /// When it has to end.
    pub fn deadline(&self) -> Duration {
        self.deadline
    }

    /// Whether it may run more than once.
    pub fn idempotent(&self) -> bool {
        self.idempotent
    }

    /// Its first byte goes to a host.
    pub fn sent(&mut self) {
        self.sent += 1;
        self.paid = false;
    }

    /// Whether the budget has to be asked before it goes to one more host. What was taken for a host that could
    /// not be reached is still there.
    pub fn owes(&self) -> bool {
        self.sent > 0 && !self.paid
    }

    /// A repeat was taken from the budget.
    pub fn paid(&mut self) {
        self.paid = true;
    }

    /// It moves away from a host that was silent and may have run it.
    pub fn moved(&mut self) {
        self.may_have_run = true;
    }

    /// Whether some host has heard of it.
    pub fn heard(&self) -> bool {
        self.sent > 0
    }

    /// Whether a promise that it has not run would be false, or can't be given.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// While an attempt is out and silent: whether it may move to another host.
    pub fn may_move(&self, now: Duration) -> bool {
        self.idempotent && self.sent < self.max_tries && now < self.deadline
    }

    /// An attempt has ended.
    pub fn ended(&mut self, now: Duration, end: AttemptOutcome) -> RetryDecision {
        match end {
            AttemptOutcome::Unreached => self.unreached += 1,
            AttemptOutcome::NotRun => {}
            AttemptOutcome::Broke | AttemptOutcome::HostFailed => self.may_have_run = true,
        }
        if now >= self.deadline {
            return RetryDecision::GiveUp(self.overdue());
        }
        let free = self.idempotent || !self.may_have_run;
        if free && self.sent < self.max_tries && self.unreached < MOST_UNREACHED {
            RetryDecision::Again
        } else {
            RetryDecision::GiveUp(self.refusal(ResultCode::NoHost))
        }
    }

    /// What its end is where `code` stops it: a promise only where it has not run.
    pub fn refusal(&self, code: ResultCode) -> ResultCode {
        if self.may_have_run {
            ResultCode::HostBroke
        } else {
            code
        }
    }

    /// What its end is when its time is over and no attempt is out.
    pub fn overdue(&self) -> ResultCode {
        if self.may_have_run {
            ResultCode::LateMayHaveRun
        } else {
            ResultCode::LateNotRun
        }
    }
}
