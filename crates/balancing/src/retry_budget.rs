//! Retry budget: all proxies together send at most a fixed share of the requests as retries, plus a slack. Each proxy
//! keeps to its own part of the budget without communicating with the others.

use crate::state::BalancerState;
use crate::statistics::SlidingCount;
use std::time::Duration;

/// Share of the allowed retries that a proxy uses.
const SAFETY_FACTOR: f64 = 0.8;
/// Share of its slack that a proxy uses in its first window, as its predecessor process may have used the rest.
const FIRST_WINDOW_SLACK: f64 = 0.25;
/// Number of proxies assumed until the actual number is known.
const ASSUMED_PROXIES: usize = 16;
/// Number of proxies that may exist in addition to the known ones.
const UNKNOWN_PROXIES: usize = 2;

/// Limits that apply to the retry budgets of all services.
#[derive(Debug)]
pub(crate) struct RetryLimits {
    /// Retries allowed for each request.
    pub(crate) ratio: f64,
    /// Retries allowed in each window in addition to those of `ratio`, over all proxies together.
    pub(crate) slack: f64,
    /// Length of the sliding window.
    pub(crate) window: Duration,
    /// Number of proxies that share the slack; `None` until it is known.
    pub(crate) proxies: Option<usize>,
    /// When this proxy started.
    pub(crate) started_at: Option<Duration>,
}

impl RetryLimits {
    /// Returns this proxy's part of the slack, in retries per window.
    fn own_slack(&self, now: Duration) -> f64 {
        let in_first_window = self
            .started_at
            .is_none_or(|start| now.saturating_sub(start) <= self.window);
        let proxies = self
            .proxies
            .map_or(ASSUMED_PROXIES, |known| known.max(1) + UNKNOWN_PROXIES);
        let factor = if in_first_window {
            FIRST_WINDOW_SLACK
        } else {
            1.0
        };
        self.slack / proxies as f64 * factor
    }
}

/// Retry budget of one service.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    requests: SlidingCount,
    retries: SlidingCount,
}

impl RetryBudget {
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            requests: SlidingCount::new(window),
            retries: SlidingCount::new(window),
        }
    }

    /// Counts a request, which adds its share to the budget.
    pub(crate) fn deposit(&mut self, now: Duration) {
        self.requests.add(now);
    }

    /// Returns whether the window that ends now contains neither requests nor retries.
    pub(crate) fn is_unused(&self, now: Duration) -> bool {
        self.requests.upper_bound(now) == 0 && self.retries.upper_bound(now) == 0
    }

    /// Withdraws one retry from the budget if the window that ends now has one left. Returns whether it had.
    ///
    /// Then no other window exceeds the budget: a window that ends at a retry contains at least as many retries as the
    /// windows that end after it and before the next retry.
    pub(crate) fn withdraw(&mut self, now: Duration, limits: &RetryLimits) -> bool {
        let requests = f64::from(self.requests.lower_bound(now));
        let allowed = SAFETY_FACTOR * (limits.ratio * requests + limits.own_slack(now));
        let is_within = f64::from(self.retries.upper_bound(now)) + 1.0 <= allowed;
        if is_within {
            self.retries.add(now);
        }
        is_within
    }
}

impl BalancerState {
    /// Withdraws one retry from a service's budget. Returns whether there was one left.
    pub(crate) fn withdraw_retry(&mut self, now: Duration, service: &str) -> bool {
        let key = self.find_or_add_service(service);
        let Some(service) = self.services.get_mut(key.0) else {
            return false;
        };
        service.retry_budget.withdraw(now, &self.retry_limits)
    }
}
