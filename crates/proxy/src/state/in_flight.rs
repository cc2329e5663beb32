//! Attempts that have no outcome yet.

use crate::state::ProxyState;
use balancing::{AttemptId, HostLoad, Outcome};
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

/// An attempt that the load balancer counts as in flight until it is finished. Dropped before that it counts as cancelled.
pub(crate) struct InFlightAttempt {
    state: Rc<ProxyState>,
    attempt: AttemptId,
    finished: bool,
}

impl InFlightAttempt {
    /// An attempt that the load balancer has just chosen a host for.
    pub(crate) fn new(state: &Rc<ProxyState>, attempt: AttemptId) -> Self {
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
            .load_balancer
            .borrow_mut()
            .on_first_byte(self.state.now(), self.attempt);
        self.state.report_health_transitions();
    }

    /// More came of a response that has begun.
    pub(crate) fn record_progress(&self) {
        self.state
            .load_balancer
            .borrow_mut()
            .on_progress(self.state.now(), self.attempt);
    }

    /// The head of a response that goes on gave this load of the host.
    pub(crate) fn record_load(&self, load: Option<HostLoad>) {
        if let Some(load) = load {
            self.state.load_balancer.borrow_mut().on_load_report(
                self.state.now(),
                self.attempt,
                load,
            );
        }
    }

    /// Time after the sending of a silent attempt at which another host is worth asking; `None` if waiting is best. It
    /// may change while the attempt is in flight.
    pub(crate) fn timeout(&self) -> Option<Duration> {
        self.state
            .load_balancer
            .borrow()
            .attempt_timeout(self.state.now(), self.attempt)
    }

    /// Reports the outcome, and the host's load where the response gave it.
    pub(crate) fn finish(mut self, outcome: Outcome, load: Option<HostLoad>) {
        self.report(outcome, load);
    }

    fn report(&mut self, outcome: Outcome, load: Option<HostLoad>) {
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        self.state.in_flight.decrement();
        self.state.load_balancer.borrow_mut().on_attempt_ended(
            self.state.now(),
            self.attempt,
            outcome,
            load,
        );
        self.state.report_health_transitions();
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        self.report(Outcome::Cancelled, None);
    }
}
