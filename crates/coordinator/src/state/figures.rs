//! Running figures: latencies, what came of late, rates.

use std::collections::VecDeque;

/// The latest latencies, for quantiles.
#[derive(Default)]
pub(crate) struct Latencies {
    recent: VecDeque<(f64, f64)>,
    sorted: Vec<f64>,
    sum: f64,
}

impl Latencies {
    pub(crate) fn add(&mut self, now: f64, latency: f64, keep: usize) {
        let at = self.sorted.partition_point(|l| *l < latency);
        self.sorted.insert(at, latency);
        self.recent.push_back((now, latency));
        self.sum += latency;
        if self.recent.len() > keep {
            self.drop_oldest();
        }
    }

    /// Forgets those from before a time, all but a few.
    pub(crate) fn forget(&mut self, since: f64, few: usize) {
        while self.recent.len() > few && self.recent.front().is_some_and(|r| r.0 < since) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((_, latency)) = self.recent.pop_front() else {
            return;
        };
        self.sum -= latency;
        let at = self.sorted.partition_point(|l| *l < latency);
        self.sorted.remove(at);
    }

    /// The mean, 0 before any.
    pub(crate) fn mean(&self) -> f64 {
        self.sum / (self.recent.len().max(1)) as f64
    }

    /// A quantile, once there are enough of them.
    pub(crate) fn quantile(&self, q: f64, enough: usize) -> Option<f64> {
        let last = self.sorted.len().checked_sub(enough.max(1))? + enough.max(1) - 1;
        self.sorted.get((last as f64 * q) as usize).copied()
    }
}

/// Points in time, forgotten once they are too old to count.
#[derive(Default)]
pub(crate) struct Window(VecDeque<f64>);

impl Window {
    pub(crate) fn add(&mut self, now: f64) {
        self.0.push_back(now);
    }

    /// How many there are since a time; forgets those before.
    pub(crate) fn count(&mut self, since: f64) -> usize {
        while self.0.front().is_some_and(|t| *t < since) {
            self.0.pop_front();
        }
        self.0.len()
    }
}

/// A rate that forgets over `span`.
#[derive(Default, Clone, Copy)]
pub(crate) struct Rate {
    sum: f64,
    at: f64,
}

impl Rate {
    pub(crate) fn get(&self, now: f64, span: f64) -> f64 {
        self.sum * (-(now - self.at) / span).exp() / span
    }

    pub(crate) fn add(&mut self, now: f64, span: f64) {
        self.sum = self.get(now, span) * span + 1.0;
        self.at = now;
    }
}
