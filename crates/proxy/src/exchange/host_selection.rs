//! Second step: selects the host of the next attempt.

use super::admission::Rejection;
use super::Exchange;
use crate::deadline::duration_from_ms;
use crate::state::InFlightAttempt;
use balancing::{HostChoice, RequestContext};
use configuration::ResultCode;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// Least time before the deadline at which a request is still sent to a host.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1);

/// The host selected for an attempt.
pub(super) struct SelectedHost {
    pub(super) attempt: InFlightAttempt,
    pub(super) id: Arc<str>,
    pub(super) address: SocketAddrV4,
    /// Value of the `Priority` field to send; `None` leaves the client's.
    pub(super) priority: Option<u8>,
}

impl Exchange<'_> {
    /// Selects the host of the next attempt. A retry is first withdrawn from the retry budget.
    pub(super) fn select_host(&mut self) -> Result<SelectedHost, Rejection> {
        let now = self.state.now();
        let time_left = self.retry.deadline().saturating_sub(now);
        if time_left < MIN_TIME_LEFT {
            return Err(Rejection::new(self.retry.deadline_code()));
        }
        self.take_retry_budget(now)?;
        let mut load_balancer = self.state.load_balancer.borrow_mut();
        let context = RequestContext {
            service: self.service,
            tenant_rank: self.caller.rank(),
            rank: self.route.rank,
            idempotent: self.retry.idempotent(),
            prompt_parts: &self.prompt_parts,
            prompt_tokens: self.prompt_tokens,
            time_remaining: time_left,
            target_remaining: self.target_remaining(now),
            attempted_hosts: &self.attempted_hosts,
        };
        match load_balancer.choose_host(now, &context) {
            HostChoice::Selected {
                attempt,
                id,
                addr,
                priority,
            } => {
                if let Some(hint) = load_balancer.take_prefix_hint() {
                    self.state.hints.borrow_mut().publish(now, &hint);
                }
                Ok(SelectedHost {
                    attempt: InFlightAttempt::new(self.state, attempt),
                    id,
                    address: addr,
                    priority,
                })
            }
            HostChoice::Unavailable { retry_after } => Err(Rejection::retry_after(
                self.retry.code_unless_run(ResultCode::NoHost),
                retry_after,
            )),
            HostChoice::Throttled { retry_after } => Err(Rejection::retry_after(
                self.retry.code_unless_run(ResultCode::HostsOverloaded),
                retry_after,
            )),
        }
    }

    /// Time left until the first event misses the route's latency target.
    fn target_remaining(&self, now: Duration) -> Option<Duration> {
        let target = duration_from_ms(self.route.target_ms?);
        let received_at = self.state.clock.since_start(self.request.received_at);
        Some(target.saturating_sub(now.saturating_sub(received_at)))
    }

    fn take_retry_budget(&mut self, now: Duration) -> Result<(), Rejection> {
        if !self.retry.needs_retry_budget() {
            return Ok(());
        }
        let mut load_balancer = self.state.load_balancer.borrow_mut();
        if !load_balancer.withdraw_retry(now, self.service) {
            let code = self.retry.code_unless_run(ResultCode::BudgetSpent);
            return Err(Rejection::new(code));
        }
        self.retry.record_budget_taken();
        Ok(())
    }
}
