//! Attempts that have no outcome yet.

use crate::state::ProxyState;
use balancing::{Attempt, Load, Outcome};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Number of attempts in flight.
#[derive(Debug, Default)]
pub(crate) struct InFlightCount {
    count: Cell<usize>,
    added: Notify,
}

impl InFlightCount {
    fn increment(&self) {
        self.count.set(self.count.get() + 1);
        self.added.notify_one();
    }

    fn decrement(&self) {
        self.count.set(self.count.get().saturating_sub(1));
    }

    /// Resolves while at least one attempt is in flight.
    pub(crate) async fn non_zero(&self) {
        while self.count.get() == 0 {
            self.added.notified().await;
        }
    }
}

/// An attempt that the policy counts as in flight until it is finished. Dropped before that it counts as cancelled.
pub(crate) struct InFlightAttempt {
    state: Rc<ProxyState>,
    attempt: Attempt,
    finished: bool,
}

impl InFlightAttempt {
    /// An attempt that the policy has just chosen a host for.
    pub(crate) fn new(state: &Rc<ProxyState>, attempt: Attempt) -> Self {
        state.in_flight.increment();
        Self {
            state: state.clone(),
            attempt,
            finished: false,
        }
    }

    /// The response has begun.
    pub(crate) fn record_response_start(&self) {
        self.state
            .policy
            .borrow_mut()
            .first(self.state.now(), self.attempt);
    }

    /// More came of a response that has begun.
    pub(crate) fn record_progress(&self) {
        self.state
            .policy
            .borrow_mut()
            .heard(self.state.now(), self.attempt);
    }

    /// The head of a response that goes on gave this load of the host.
    pub(crate) fn record_load(&self, load: Option<Load>) {
        if let Some(load) = load {
            self.state
                .policy
                .borrow_mut()
                .told(self.state.now(), self.attempt, load);
        }
    }

    /// How long after its start a silent attempt is waited for before another host is worth asking; `None` if waiting
    /// is best.
    pub(crate) fn patience(&self) -> Option<Duration> {
        self.state
            .policy
            .borrow()
            .patience(self.state.now(), self.attempt)
    }

    /// Reports the outcome, and the host's load where the response gave it.
    pub(crate) fn finish(mut self, outcome: Outcome, load: Option<Load>) {
        self.report(outcome, load);
    }

    fn report(&mut self, outcome: Outcome, load: Option<Load>) {
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        self.state.in_flight.decrement();
        self.state
            .policy
            .borrow_mut()
            .ended(self.state.now(), self.attempt, outcome, load);
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        self.report(Outcome::Cancelled, None);
    }
}
