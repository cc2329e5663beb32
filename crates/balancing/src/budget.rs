//! The budget of repeats that all proxies share: each keeps to its own part without talk.

use crate::window::Sliding;
use std::time::Duration;

/// Share of what is allowed that is used.
const SAFETY: f64 = 0.8;
/// Share of its part of the slack that a proxy has in the first window of its life: its life before may have
/// spent the rest.
const FRESH: f64 = 0.25;
/// Proxies assumed until their number is told.
const UNKNOWN: usize = 16;
/// So many more proxies may be there than was told.
const UNSEEN: usize = 2;

/// Repeats of one service.
#[derive(Debug)]
pub(crate) struct Budget {
    arrived: Sliding,
    repeated: Sliding,
}

/// The figures that all services' budgets share.
#[derive(Debug)]
pub(crate) struct Terms {
    pub(crate) ratio: f64,
    pub(crate) slack: f64,
    pub(crate) window: Duration,
    pub(crate) proxies: Option<usize>,
    /// When this proxy began.
    pub(crate) born: Option<Duration>,
}

impl Terms {
    /// This proxy's part of the slack.
    fn slack(&self, now: Duration) -> f64 {
        let fresh = self
            .born
            .is_none_or(|b| now.saturating_sub(b) <= self.window);
        let proxies = self.proxies.map_or(UNKNOWN, |n| n.max(1) + UNSEEN);
        self.slack / proxies as f64 * if fresh { FRESH } else { 1.0 }
    }
}

impl Budget {
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            arrived: Sliding::new(window),
            repeated: Sliding::new(window),
        }
    }

    pub(crate) fn arrived(&mut self, now: Duration) {
        self.arrived.add(now);
    }

    /// Whether nothing is left in the window that ends now.
    pub(crate) fn unused(&self, now: Duration) -> bool {
        self.arrived.upper(now) == 0 && self.repeated.upper(now) == 0
    }

    /// Takes one repeat if there is room for it in the window that ends now. Every window is then within the
    /// bounds, as one that ends at a repeat holds no fewer than those that end after it.
    pub(crate) fn take(&mut self, now: Duration, terms: &Terms) -> bool {
        let arrived = f64::from(self.arrived.lower(now));
        let allowed = SAFETY * (terms.ratio * arrived + terms.slack(now));
        let fits = f64::from(self.repeated.upper(now)) + 1.0 <= allowed;
        if fits {
            self.repeated.add(now);
        }
        fits
    }
}
