//! Running statistics: a sliding window of latencies, a sliding window of events, and an
//! exponentially decaying rate.

use std::collections::VecDeque;

/// A latency and when it was measured.
struct Sample {
    measured_at: f64,
    latency: f64,
}

/// The most recent latencies, with their mean and quantiles.
#[derive(Default)]
pub(super) struct LatencyWindow {
    /// Oldest first.
    samples: VecDeque<Sample>,
    sorted: Vec<f64>,
    sum: f64,
}

impl LatencyWindow {
    /// Adds a latency, and drops the oldest if there are more than `capacity`.
    pub(super) fn add(&mut self, measured_at: f64, latency: f64, capacity: usize) {
        let position = self.sorted.partition_point(|l| *l < latency);
        self.sorted.insert(position, latency);
        self.samples.push_back(Sample {
            measured_at,
            latency,
        });
        self.sum += latency;
        if self.samples.len() > capacity {
            self.drop_oldest();
        }
    }

    /// Returns the number of latencies.
    pub(super) fn len(&self) -> usize {
        self.samples.len()
    }

    /// Drops the latencies measured before `since`, but keeps the latest `min_samples`.
    pub(super) fn expire(&mut self, since: f64, min_samples: usize) {
        while self.samples.len() > min_samples
            && self.samples.front().is_some_and(|s| s.measured_at < since)
        {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some(Sample { latency, .. }) = self.samples.pop_front() else {
            return;
        };
        self.sum -= latency;
        let position = self.sorted.partition_point(|l| *l < latency);
        self.sorted.remove(position);
    }

    /// Returns the mean latency, or 0 without samples.
    pub(super) fn mean(&self) -> f64 {
        self.sum / (self.samples.len().max(1)) as f64
    }

    /// Returns the quantile `q`, from 0 to 1, or `None` with fewer than `min_samples`.
    pub(super) fn quantile(&self, q: f64, min_samples: usize) -> Option<f64> {
        let last = self.sorted.len().checked_sub(min_samples.max(1))? + min_samples.max(1) - 1;
        self.sorted.get((last as f64 * q) as usize).copied()
    }
}

/// The times of recent events, oldest first, for counting those in a sliding window.
#[derive(Default)]
pub(super) struct EventWindow(VecDeque<f64>);

impl EventWindow {
    /// Adds an event that happens now.
    pub(super) fn add(&mut self, now: f64) {
        self.0.push_back(now);
    }

    /// Returns the number of events since a time, and drops the earlier ones.
    pub(super) fn count_since(&mut self, since: f64) -> usize {
        while self.0.front().is_some_and(|t| *t < since) {
            self.0.pop_front();
        }
        self.0.len()
    }
}

/// Rate of events per second, with exponential decay.
#[derive(Default, Clone, Copy)]
pub(super) struct DecayingRate {
    sum: f64,
    updated_at: f64,
}

impl DecayingRate {
    /// Returns the current rate, in events per second.
    pub(super) fn per_second(&self, now: f64, time_constant: f64) -> f64 {
        self.sum * (-(now - self.updated_at) / time_constant).exp() / time_constant
    }

    /// Counts an event that happens now.
    pub(super) fn add(&mut self, now: f64, time_constant: f64) {
        self.sum = self.per_second(now, time_constant) * time_constant + 1.0;
        self.updated_at = now;
    }
}
