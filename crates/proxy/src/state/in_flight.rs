//! Attempts in flight: sent to a host and without an outcome so far.

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
    /// Notified when the count increases.
    incremented: Notify,
}

impl InFlightCount {
    fn increment(&self) {
        self.count.set(self.count.get() + 1);
        self.incremented.notify_one();
    }

    fn decrement(&self) {
        self.count.set(self.count.get().saturating_sub(1));
    }

    /// Resolves once at least one attempt is in flight.
    pub(crate) async fn wait_until_non_zero(&self) {
        while self.count.get() == 0 {
            self.incremented.notified().await;
        }
    }
}

/// An attempt that the load balancer counts as in flight until it is finished. If dropped before, it is reported as
/// cancelled.
pub(crate) struct InFlightAttempt {
    state: Rc<ProxyState>,
    attempt: AttemptId,
    finished: bool,
}

impl InFlightAttempt {
    /// Registers an attempt for which the load balancer has just selected a host.
    pub(crate) fn new(state: &Rc<ProxyState>, attempt: AttemptId) -> Self {
        state.in_flight.increment();
        Self {
            state: state.clone(),
            attempt,
            finished: false,
        }
    }

    /// Records that the response has begun.
    pub(crate) fn record_response_start(&self) {
        self.state
            .load_balancer
            .borrow_mut()
            .on_first_byte(self.state.now(), self.attempt);
        self.state.report_health_transitions();
    }

    /// Records that more of a response was received after its beginning.
    pub(crate) fn record_progress(&self) {
        self.state
            .load_balancer
            .borrow_mut()
            .on_progress(self.state.now(), self.attempt);
    }

    /// Records the host's load, if any, from the head of a response whose body is still being received.
    pub(crate) fn record_load(&self, load: Option<HostLoad>) {
        if let Some(load) = load {
            self.state.load_balancer.borrow_mut().on_load_report(
                self.state.now(),
                self.attempt,
                load,
            );
        }
    }

    /// Returns the time after sending at which an attempt without a response should fail over to another host; `None`
    /// if it is better to wait. The value may change while the attempt is in flight.
    pub(crate) fn timeout(&self) -> Option<Duration> {
        self.state
            .load_balancer
            .borrow()
            .attempt_timeout(self.state.now(), self.attempt)
    }

    /// Reports the outcome, and the host's load if the response contained it.
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
