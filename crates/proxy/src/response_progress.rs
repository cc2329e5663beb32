//! How far the response to a request is, which decides how its connection may end.

use configuration::ResultCode;
use std::cell::Cell;
use tokio::time::Instant;

/// What becomes of the client's connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionOutcome {
    /// It takes another request.
    KeepAlive,
    /// The response is complete and was the last.
    Close,
    /// The response is incomplete, and the end of the connection has to show it.
    Truncated,
}

/// Shared by the task that makes a response and whoever may have to end it.
#[derive(Default)]
pub(crate) struct ResponseProgress {
    started: Cell<bool>,
    may_have_run: Cell<bool>,
    close_delimited: Cell<bool>,
    /// Whether the client has sent something behind the request.
    has_pipelined_input: Cell<bool>,
    /// When the request has to end; `None` until it is admitted.
    deadline: Cell<Option<Instant>>,
}

impl ResponseProgress {
    /// Bytes of the response go to the client from here on; whether some had gone before.
    pub(crate) fn start(&self) -> bool {
        self.started.replace(true)
    }

    /// Whether bytes of the response have gone to the client.
    pub(crate) fn started(&self) -> bool {
        self.started.get()
    }

    /// Sets whether the request may have run at a host, or still may.
    pub(crate) fn set_may_have_run(&self, may_have_run: bool) {
        self.may_have_run.set(may_have_run);
    }

    /// Whether the request may have run at a host, or still may.
    pub(crate) fn may_have_run(&self) -> bool {
        self.may_have_run.get()
    }

    /// When the request has to end, once it is admitted.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.deadline.get()
    }

    /// The request is admitted and has to end by this instant.
    pub(crate) fn set_deadline(&self, deadline: Instant) {
        self.deadline.set(Some(deadline));
    }

    /// Whether the client has sent something behind the request, which has to be answered too.
    pub(crate) fn has_pipelined_input(&self) -> bool {
        self.has_pipelined_input.get()
    }

    /// The client has sent something behind the request.
    pub(crate) fn set_pipelined_input(&self) {
        self.has_pipelined_input.set(true);
    }

    /// Whether the client takes the end of the connection for the end of the response.
    pub(crate) fn set_close_delimited(&self, close_delimited: bool) {
        self.close_delimited.set(close_delimited);
    }

    /// Whether an orderly end of the connection would make an incomplete response look complete.
    pub(crate) fn would_look_complete(&self) -> bool {
        self.started.get() && self.close_delimited.get()
    }

    /// `code` if the request can't have run; else a code that doesn't promise that.
    pub(crate) fn code_unless_run(&self, code: ResultCode) -> ResultCode {
        if self.may_have_run.get() {
            ResultCode::HostBroke
        } else {
            code
        }
    }
}
