//! The results of a run.

use super::traffic::RequestClass;
use super::{from_ms, Time};
use std::fmt;

/// The result of one request.
pub struct RequestResult {
    /// Index of the request's class.
    pub class: usize,
    pub arrived_at: Time,
    /// Time from the arrival to the first event; `None` if none arrived.
    pub first_event_latency: Option<Time>,
    /// Longest pause between two events.
    pub longest_pause: Time,
    /// Whether the complete response arrived.
    pub complete: bool,
    /// Size that the request's value depends on: prompt tokens plus ten times the output tokens.
    pub size: f64,
}

/// The results of all requests and the load of the hosts in a run.
pub struct Report {
    pub results: Vec<RequestResult>,
    /// Number of shared tokens that were prefilled although a host had prefilled them before.
    pub prefilled_again: u64,
    /// Total number of prefilled tokens.
    pub prefilled_tokens: u64,
    /// Busy time of the busiest host, as a multiple of the mean.
    pub load_imbalance: f64,
    /// Mean busy time of a host, as a share of the run's length. It may exceed 1, as hosts work on after the run's end.
    pub busy_share: f64,
    /// Number of attempts after the first one of a request.
    pub retries: u64,
    pub classes: &'static [RequestClass],
}

impl Report {
    fn first_event_in_time(&self, result: &RequestResult) -> bool {
        result
            .first_event_latency
            .is_some_and(|latency| latency <= from_ms(self.classes[result.class].latency_target_ms))
    }

    /// Returns whether a response is complete without a pause over the limit of its class.
    fn pauses_in_limit(&self, result: &RequestResult) -> bool {
        result.complete && result.longest_pause <= from_ms(self.classes[result.class].max_pause_ms)
    }

    /// Returns the share of results that fulfil `condition` among those that `is_included` selects.
    fn share(
        &self,
        is_included: impl Fn(&RequestResult) -> bool,
        condition: impl Fn(&RequestResult) -> bool,
    ) -> f64 {
        let (mut fulfilled, mut included) = (0, 0);
        for result in self.results.iter().filter(|result| is_included(result)) {
            fulfilled += usize::from(condition(result));
            included += 1;
        }
        fulfilled as f64 / f64::from(included.max(1) as u32)
    }

    /// Returns the share of requests whose first event is within the latency target.
    pub fn first_event_in_time_share(&self) -> f64 {
        self.share(|_| true, |result| self.first_event_in_time(result))
    }

    /// Returns the share of requests that are complete without a pause over the limit.
    pub fn pauses_in_limit_share(&self) -> f64 {
        self.share(|_| true, |result| self.pauses_in_limit(result))
    }

    /// Returns the share of requests with a complete response.
    pub fn complete_share(&self) -> f64 {
        self.share(|_| true, |result| result.complete)
    }

    /// Returns the earned value over the possible value. A late response earns half. A request's value grows linearly
    /// with its size relative to the mean of its class, up to four times the value of the class.
    pub fn earned_value_share(&self, is_included: impl Fn(&RequestResult) -> bool) -> f64 {
        let mean_sizes: Vec<f64> = (0..self.classes.len())
            .map(|class| {
                let sizes: Vec<f64> = self
                    .results
                    .iter()
                    .filter(|result| result.class == class)
                    .map(|result| result.size)
                    .collect();
                sizes.iter().sum::<f64>() / sizes.len().max(1) as f64
            })
            .collect();
        let (mut earned, mut possible) = (0.0, 0.0);
        for result in self.results.iter().filter(|result| is_included(result)) {
            let value = self.classes[result.class].value
                * (0.3 + 0.7 * result.size / mean_sizes[result.class].max(1.0)).min(4.0);
            possible += value;
            earned += value
                * match (
                    result.complete,
                    self.first_event_in_time(result) && self.pauses_in_limit(result),
                ) {
                    (true, true) => 1.0,
                    (true, false) => 0.5,
                    _ => 0.0,
                };
        }
        earned / possible
    }

    /// Returns the lowest [`earned_value_share`](Self::earned_value_share) of the requests that arrive within any four
    /// seconds.
    pub fn worst_window_value_share(&self) -> f64 {
        let last_arrival = self
            .results
            .iter()
            .map(|result| result.arrived_at)
            .max()
            .unwrap_or(0);
        (0..last_arrival.saturating_sub(4_000_000))
            .step_by(1_000_000)
            .map(|from| {
                self.earned_value_share(|result| {
                    (from..from + 4_000_000).contains(&result.arrived_at)
                })
            })
            .fold(1.0, f64::min)
    }

    /// Returns the latencies of all first events in ms, in ascending order.
    fn first_event_latencies_ms(&self) -> Vec<f64> {
        let mut latencies: Vec<f64> = self
            .results
            .iter()
            .filter_map(|result| result.first_event_latency)
            .map(|latency| latency as f64 / 1000.0)
            .collect();
        latencies.sort_by(f64::total_cmp);
        latencies
    }

    pub fn mean_first_event_ms(&self) -> f64 {
        let latencies = self.first_event_latencies_ms();
        latencies.iter().sum::<f64>() / latencies.len().max(1) as f64
    }

    pub fn p95_first_event_ms(&self) -> f64 {
        let latencies = self.first_event_latencies_ms();
        latencies
            .get(latencies.len() * 95 / 100)
            .copied()
            .unwrap_or(0.0)
    }
}

/// Header of the table whose rows [`Report`] prints, after the columns of the scenario and the strategy.
pub const TABLE_HEADER: &str = "| run | way | worth | worst 4 s | first in aim | pauses in aim | complete | mean first ms | p95 first ms | read again k | read k | max/mean load | busy | repeats |";

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.0} | {:.0} | {} | {} | {:.2} | {:.2} | {} |",
            self.earned_value_share(|_| true),
            self.worst_window_value_share(),
            self.first_event_in_time_share(),
            self.pauses_in_limit_share(),
            self.complete_share(),
            self.mean_first_event_ms(),
            self.p95_first_event_ms(),
            self.prefilled_again / 1000,
            self.prefilled_tokens / 1000,
            self.load_imbalance,
            self.busy_share,
            self.retries
        )
    }
}
