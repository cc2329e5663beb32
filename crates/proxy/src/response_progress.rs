//! Tracks how far the response to a request has got, which decides how its connection may end.

use configuration::ResultCode;
use std::cell::Cell;
use tokio::time::Instant;

/// What happens to the client's connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionOutcome {
    /// The connection stays open for another request.
    KeepAlive,
    /// The response is complete and was the last one on the connection.
    Close,
    /// The response is incomplete, and the connection has to end in a way that shows it.
    Truncated,
}

/// Progress of one response, shared by the task that produces it and the tasks that may have to end it.
#[derive(Default)]
pub(crate) struct ResponseProgress {
    started: Cell<bool>,
    may_have_run: Cell<bool>,
    close_delimited: Cell<bool>,
    /// Whether the client has sent more bytes after the request.
    has_pipelined_input: Cell<bool>,
    /// Instant by which the request has to end; `None` until it is admitted.
    deadline: Cell<Option<Instant>>,
}

impl ResponseProgress {
    /// Records that bytes of the response are sent to the client from now on. Returns whether it had started before.
    pub(crate) fn start(&self) -> bool {
        self.started.replace(true)
    }

    /// Whether bytes of the response have been sent to the client, or are about to be.
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

    /// Instant by which the request has to end; `None` until it is admitted.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.deadline.get()
    }

    /// Records that the request is admitted and has to end by this instant.
    pub(crate) fn set_deadline(&self, deadline: Instant) {
        self.deadline.set(Some(deadline));
    }

    /// Whether the client has sent more bytes after the request, which have to be answered too.
    pub(crate) fn has_pipelined_input(&self) -> bool {
        self.has_pipelined_input.get()
    }

    /// Records that the client has sent more bytes after the request.
    pub(crate) fn set_pipelined_input(&self) {
        self.has_pipelined_input.set(true);
    }

    /// Sets whether the end of the connection marks the end of the response for the client.
    pub(crate) fn set_close_delimited(&self, close_delimited: bool) {
        self.close_delimited.set(close_delimited);
    }

    /// Whether an orderly close of the connection would make an incomplete response look complete.
    pub(crate) fn would_look_complete(&self) -> bool {
        self.started.get() && self.close_delimited.get()
    }

    /// Returns `code` if the request can't have run, otherwise a code that does not promise that.
    pub(crate) fn code_unless_run(&self, code: ResultCode) -> ResultCode {
        if self.may_have_run.get() {
            ResultCode::HostBroke
        } else {
            code
        }
    }
}
