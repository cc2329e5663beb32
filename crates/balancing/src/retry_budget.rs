//! Retry budget: all proxies together send no more retries than a share of the requests. Each proxy keeps to its own
//! part without asking the others.

use crate::state::BalancerState;
use crate::statistics::SlidingCount;
use std::time::Duration;

/// Share of the allowed retries that is used.
const SAFETY_FACTOR: f64 = 0.8;
/// Share of its slack that a proxy has in its first window: the process before it may have used up the rest.
const FIRST_WINDOW_SLACK: f64 = 0.25;
/// Number of proxies that is assumed until it is known.
const ASSUMED_PROXIES: usize = 16;
/// Number of proxies that may exist beside the known ones.
const UNKNOWN_PROXIES: usize = 2;

/// The limits that hold for the budgets of all services.
#[derive(Debug)]
pub(crate) struct RetryLimits {
    /// Retries allowed for each request.
    pub(crate) ratio: f64,
    /// Retries allowed in each window beside those, over all proxies together.
    pub(crate) slack: f64,
    /// Length of the sliding window.
    pub(crate) window: Duration,
    /// Number of proxies that share the slack; `None` until it is known.
    pub(crate) proxies: Option<usize>,
    /// When this proxy started.
    pub(crate) started_at: Option<Duration>,
}

impl RetryLimits {
    /// This proxy's part of the slack.
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

    /// Counts a request; the budget grows by its share.
    pub(crate) fn deposit(&mut self, now: Duration) {
        self.requests.add(now);
    }

    /// Whether the window that ends now holds neither requests nor retries.
    pub(crate) fn is_unused(&self, now: Duration) -> bool {
        self.requests.upper_bound(now) == 0 && self.retries.upper_bound(now) == 0
    }

    /// Takes one retry out of the budget, where the window that ends now has one left.
    ///
    /// No other window is overdrawn then: a window that ends at a retry holds at least as many as those that end
    /// after it.
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
    /// Takes one retry out of a service's budget. Whether there was one left.
    pub(crate) fn withdraw_retry(&mut self, now: Duration, service: &str) -> bool {
        let key = self.find_or_add_service(service);
        let Some(service) = self.services.get_mut(key.0) else {
            return false;
        };
        service.retry_budget.withdraw(now, &self.retry_limits)
    }
}
