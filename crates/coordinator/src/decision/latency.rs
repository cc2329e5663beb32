//! Latency statistics of parts and what is derived from them: expected part times, congestion, and
//! the number of parts in a call.

use super::router::{seconds, Router, DECISION_INTERVAL_S};
use super::statistics::LatencyWindow;
use crate::interface::ClassId;

/// Number of latencies kept for quantiles, for each class and for all classes together.
const MAX_SAMPLES: usize = 64;
/// Age at which a latency is dropped.
const SAMPLE_LIFETIME_S: f64 = 4.0;
/// Number of latencies that are kept whatever their age, and that a quantile needs.
pub(super) const MIN_SAMPLES: usize = 4;
/// Number of latencies needed for [`LatencyStatistics::min_median`].
const MIN_SAMPLES_FOR_MEDIAN: usize = MAX_SAMPLES / 4;
/// The fleet counts as congested when the 75th percentile of part times exceeds this share of the
/// shortest latency target.
const CONGESTION_TARGET_SHARE: f64 = 0.3;
/// Share of the latency target that the work of one call may take. A longer call would determine
/// the latency of its query.
const CALL_TARGET_SHARE: f64 = 0.5;
/// Lower bound of the work of a part: scores divide by it, and a measured time may be zero.
const MIN_PART_WORK_S: f64 = 1e-3;

/// Recent latencies of parts.
pub(super) struct LatencyStatistics {
    by_class: Vec<LatencyWindow>,
    pub(super) all: LatencyWindow,
    /// The lowest median over all classes so far.
    pub(super) min_median: Option<f64>,
}

impl LatencyStatistics {
    pub(super) fn new(classes: usize) -> Self {
        Self {
            by_class: (0..classes).map(|_| LatencyWindow::default()).collect(),
            all: LatencyWindow::default(),
            min_median: None,
        }
    }

    /// Records the latency of a part of a class.
    pub(super) fn record(&mut self, class: ClassId, now: f64, latency: f64) {
        self.by_class[class.0 as usize].add(now, latency, MAX_SAMPLES);
        self.all.add(now, latency, MAX_SAMPLES);
        if let Some(median) = self.all.quantile(0.5, MIN_SAMPLES_FOR_MEDIAN) {
            self.min_median = Some(self.min_median.map_or(median, |least| least.min(median)));
        }
    }

    /// Whether there are enough latencies of this class for a quantile.
    pub(super) fn is_known(&self, class: ClassId) -> bool {
        self.by_class[class.0 as usize].len() >= MIN_SAMPLES
    }

    fn expire(&mut self, since: f64) {
        for window in &mut self.by_class {
            window.expire(since, MIN_SAMPLES);
        }
        self.all.expire(since, MIN_SAMPLES);
    }
}

impl Router {
    pub(super) fn expire_latencies(&mut self) {
        self.latencies.expire(self.now - SAMPLE_LIFETIME_S);
    }

    /// Returns the time kept before a limit so that an action of the next turn is still in time, in
    /// seconds.
    pub(super) fn turn_margin(&self) -> f64 {
        2.0 * seconds(self.settings.min_turn_interval).max(DECISION_INTERVAL_S)
    }

    /// Returns a quantile of the recent part times of a class, in seconds. Until there are enough
    /// samples it is estimated from the latency target.
    pub(super) fn latency_quantile(&self, class: ClassId, q: f64) -> f64 {
        let guess = seconds(self.class(class).latency_target) * (0.1 + 0.15 * q);
        self.latencies.by_class[class.0 as usize]
            .quantile(q, MIN_SAMPLES)
            .unwrap_or(guess)
    }

    /// Returns the expected time of one more part at a server with this load, in seconds. It is
    /// proportional to the load.
    pub(super) fn expected_part_time(&self, class: ClassId, load: f64) -> f64 {
        // One or two parts hardly delay each other, even if the mean load is lower.
        let relative_load = (1.0 + load) / (1.0 + self.fleet_load.mean.max(1.0));
        (relative_load * self.latency_quantile(class, 0.75)).max(self.latency_quantile(class, 0.2))
    }

    /// Returns the shortest latency target of all classes, in seconds.
    pub(super) fn shortest_latency_target(&self) -> f64 {
        self.settings
            .classes
            .iter()
            .map(|c| seconds(c.latency_target))
            .fold(f64::MAX, f64::min)
    }

    /// Returns how long parts take, relative to the limit that the shortest latency target allows.
    /// Above 1 the fleet is congested.
    pub(super) fn congestion(&self) -> f64 {
        let target = self.shortest_latency_target();
        self.latencies
            .all
            .quantile(0.75, MIN_SAMPLES)
            .map_or(0.0, |time| time / (CONGESTION_TARGET_SHARE * target))
    }

    /// Whether parts take so long that additional work has to be avoided.
    pub(super) fn is_congested(&self) -> bool {
        self.congestion() > 1.0
    }

    /// Returns the number of parts that one call may carry. Calls without overhead carry one part.
    pub(super) fn max_parts_per_call(&self, class: ClassId) -> usize {
        let call_overhead = seconds(self.settings.call_overhead);
        if call_overhead <= 0.0 {
            return 1;
        }
        let settings = self.class(class);
        let steps = if settings.second_step_parts > 0 {
            2.0
        } else {
            1.0
        };
        let work = CALL_TARGET_SHARE * seconds(settings.latency_target) / steps - call_overhead;
        let limit = self.settings.max_parts_per_call.max(1) as usize;
        ((work / self.part_work(class)) as usize).clamp(1, limit)
    }

    /// Returns the work of one part without the overhead of its call, in seconds.
    pub(super) fn part_work(&self, class: ClassId) -> f64 {
        let base = self.latency_quantile(class, 0.2);
        (base - seconds(self.settings.call_overhead))
            .max(base / 4.0)
            .max(MIN_PART_WORK_S)
    }
}
