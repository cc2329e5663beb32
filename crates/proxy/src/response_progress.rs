//! How far the answer to a request has come, and what that lets the connection's end say.

use configuration::ResultCode;
use std::cell::Cell;

/// How the client's connection stands after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionOutcome {
    /// It may be used again.
    Keep,
    /// The answer was its last.
    Close,
    /// The answer did not come whole; the connection must show it.
    Cut,
}

/// What may be said of a request if it has to end now.
#[derive(Default)]
pub(crate) struct ResponseProgress {
    started: Cell<bool>,
    out: Cell<bool>,
    until_end: Cell<bool>,
}

impl ResponseProgress {
    /// Bytes of the answer go to the client; whether some went before.
    pub(crate) fn start(&self) -> bool {
        self.started.replace(true)
    }

    /// Whether the request may have run at a host, or still may.
    pub(crate) fn set_out(&self, out: bool) {
        self.out.set(out);
    }

    /// Whether the end of the connection is the answer's.
    pub(crate) fn set_until_end(&self, until_end: bool) {
        self.until_end.set(until_end);
    }

    /// Whether bytes of the answer have gone to the client.
    pub(crate) fn started(&self) -> bool {
        self.started.get()
    }

    /// Whether the end of the connection would make a cut answer look whole.
    pub(crate) fn looks_whole(&self) -> bool {
        self.started.get() && self.until_end.get()
    }

    /// The code to end with: a promise only where it has not run.
    pub(crate) fn refusal(&self, code: ResultCode) -> ResultCode {
        if self.out.get() {
            ResultCode::HostBroke
        } else {
            code
        }
    }
}
