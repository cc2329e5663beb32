//! The budget on retries and hedged requests, and the rules on repeating parts.

use super::router::{seconds, Router};
use super::statistics::EventWindow;
use super::work::Part;
use crate::interface::{ClassId, Idempotency, RetryBudget};
use std::time::Duration;

/// Budget on hedged requests if the settings have none. Retries are then unlimited.
const DEFAULT_HEDGE_BUDGET: RetryBudget = RetryBudget {
    min_retries: 10.0,
    retry_share: 0.2,
    window: Duration::from_secs(2),
};

/// The events that the retry budget counts.
#[derive(Default)]
pub(super) struct RetryWindow {
    /// Arrivals of queries and parts.
    pub(super) arrivals: EventWindow,
    /// Attempts beyond the first one of a part.
    pub(super) retries: EventWindow,
}

/// Number of these events in the window of the budget.
struct RetryCounts {
    arrivals: usize,
    retries: usize,
}

impl Router {
    /// Drops the events older than the window of the budget.
    pub(super) fn expire_retry_window(&mut self) {
        self.count_retry_window(self.effective_retry_budget());
    }

    fn effective_retry_budget(&self) -> RetryBudget {
        self.settings.retry_budget.unwrap_or(DEFAULT_HEDGE_BUDGET)
    }

    /// Counts the events in the window. Both ends have a margin of one turn on the safe side, as
    /// whoever enforces the budget may count a turn later.
    fn count_retry_window(&mut self, budget: RetryBudget) -> RetryCounts {
        let (window_length, margin) = (seconds(budget.window), self.turn_margin());
        let counted = &mut self.retry_window;
        RetryCounts {
            arrivals: counted
                .arrivals
                .count_since(self.now - window_length + margin),
            retries: counted
                .retries
                .count_since(self.now - window_length - margin),
        }
    }

    /// Whether this share of the budget allows one more attempt. If the settings have no budget,
    /// the full share (1) is unlimited.
    pub(super) fn retry_budget_allows(&mut self, share: f64) -> bool {
        if self.settings.retry_budget.is_none() && share >= 1.0 {
            return true;
        }
        let budget = self.effective_retry_budget();
        let counts = self.count_retry_window(budget);
        let allowed = budget.min_retries + budget.retry_share * counts.arrivals as f64;
        counts.retries as f64 + 1.0 <= share * allowed
    }

    /// Whether a part may be sent once more now.
    pub(super) fn may_send_again(&self, part: &Part, class: ClassId) -> bool {
        let attempts_left = part.attempts.len() < self.settings.max_attempts as usize;
        if !attempts_left || !part.is_open() {
            return false;
        }
        let second_copy_allowed = self.settings.hedging || !part.has_attempt_in_flight();
        second_copy_allowed && self.is_safe_to_repeat(part, class, self.turn_margin())
    }

    /// Whether a part may be repeated `delay` seconds from now without harm. The window of a key
    /// starts with the first attempt that may have run.
    pub(super) fn is_safe_to_repeat(&self, part: &Part, class: ClassId, delay: f64) -> bool {
        let first_that_may_have_run = part
            .attempts
            .iter()
            .filter(|a| a.in_flight || a.may_have_run)
            .map(|a| a.sent_at)
            .fold(f64::MAX, f64::min);
        match self.class(class).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed(window) => {
                self.now + delay - first_that_may_have_run < seconds(window)
            }
            Idempotency::NotIdempotent => first_that_may_have_run == f64::MAX,
        }
    }
}
