//! Second step: selects the host of the next attempt.

use super::admission::Rejection;
use super::Exchange;
use crate::state::InFlightAttempt;
use balancing::{Ask, Choice};
use configuration::ResultCode;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// With less time left than this no host is asked.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1);

/// The host of an attempt.
pub(super) struct SelectedHost {
    pub(super) attempt: InFlightAttempt,
    pub(super) id: Arc<str>,
    pub(super) address: SocketAddrV4,
    /// Value of the `Priority` field to send, where it helps.
    pub(super) priority: Option<u8>,
}

impl Exchange<'_> {
    /// The host of the next attempt. A retry is taken from the retry budget first.
    pub(super) fn select_host(&mut self) -> Result<SelectedHost, Rejection> {
        let now = self.state.now();
        let time_left = self.retry.deadline().saturating_sub(now);
        if time_left < MIN_TIME_LEFT {
            return Err(Rejection::new(self.retry.deadline_code()));
        }
        self.take_retry_budget(now)?;
        let mut policy = self.state.policy.borrow_mut();
        let choice = policy.choose(
            now,
            &Ask {
                service: self.service,
                rank: self.route.rank,
                idempotent: self.retry.idempotent(),
                parts: &self.prompt_parts,
                tokens: self.token_counts,
                target: self.latency_target().unwrap_or(time_left),
                left: time_left,
                tried: &self.attempted_hosts,
            },
        );
        match choice {
            Choice::Host {
                attempt,
                id,
                addr,
                priority,
            } => {
                if let Some(placement) = policy.take_placement() {
                    self.state.hints.borrow().publish(&placement);
                }
                Ok(SelectedHost {
                    attempt: InFlightAttempt::new(self.state, attempt),
                    id,
                    address: addr,
                    priority,
                })
            }
            Choice::None { retry_after } => Err(Rejection::retry_after(
                self.retry.code_unless_run(ResultCode::NoHost),
                retry_after,
            )),
        }
    }

    fn take_retry_budget(&mut self, now: Duration) -> Result<(), Rejection> {
        if !self.retry.needs_retry_budget() {
            return Ok(());
        }
        let mut policy = self.state.policy.borrow_mut();
        if !policy.take_repeat(now, self.service) {
            let code = self.retry.code_unless_run(ResultCode::BudgetSpent);
            return Err(Rejection::new(code));
        }
        self.retry.record_budget_taken();
        Ok(())
    }

    /// The time within which the response earns its full value; `None` if it is out of range.
    fn latency_target(&self) -> Option<Duration> {
        let target_ms = self.route.target_ms.unwrap_or(self.route.deadline_ms);
        Duration::try_from_secs_f64(target_ms / 1e3).ok()
    }
}
