//! The figures of a run.

use super::traffic::RequestClass;
use super::{from_ms, Time};
use std::fmt;

pub struct RequestResult {
    pub class: usize,
    pub at: Time,
    pub first: Option<Time>,
    pub pause: Time,
    pub complete: bool,
    pub size: f64,
}

pub struct Report {
    pub results: Vec<RequestResult>,
    /// Tokens of shared parts that were prefilled although a host had prefilled them before.
    pub prefilled_again: u64,
    /// All tokens that were prefilled.
    pub read: u64,
    /// Load of the busiest host over the mean.
    pub load_imbalance: f64,
    /// Mean share of the time in which a host is busy.
    pub busy: f64,
    pub retries: u64,
    pub classes: &'static [RequestClass],
}

impl Report {
    fn first_in_time(&self, s: &RequestResult) -> bool {
        s.first
            .is_some_and(|f| f <= from_ms(self.classes[s.class].latency_target_ms))
    }

    fn steady(&self, s: &RequestResult) -> bool {
        s.complete && s.pause <= from_ms(self.classes[s.class].pause_ms)
    }

    fn share(
        &self,
        of: impl Fn(&RequestResult) -> bool,
        good: impl Fn(&RequestResult) -> bool,
    ) -> f64 {
        let (mut n, mut all) = (0, 0);
        for s in self.results.iter().filter(|s| of(s)) {
            n += usize::from(good(s));
            all += 1;
        }
        n as f64 / f64::from(all.max(1) as u32)
    }

    /// Share of requests with the first event within the latency target.
    pub fn aim(&self) -> f64 {
        self.share(|_| true, |s| self.first_in_time(s))
    }

    /// Share of requests that are complete without a pause over the limit.
    pub fn pauses(&self) -> f64 {
        self.share(|_| true, |s| self.steady(s))
    }

    pub fn complete(&self) -> f64 {
        self.share(|_| true, |s| s.complete)
    }

    /// Earned value over possible value. A late answer earns half; values grow with the request's size as the pages define.
    pub fn value(&self, of: impl Fn(&RequestResult) -> bool) -> f64 {
        let mean: Vec<f64> = (0..self.classes.len())
            .map(|k| {
                let sizes: Vec<f64> = self
                    .results
                    .iter()
                    .filter(|s| s.class == k)
                    .map(|s| s.size)
                    .collect();
                sizes.iter().sum::<f64>() / sizes.len().max(1) as f64
            })
            .collect();
        let (mut earned, mut owed) = (0.0, 0.0);
        for s in self.results.iter().filter(|s| of(s)) {
            let value = self.classes[s.class].value
                * (0.3 + 0.7 * s.size / mean[s.class].max(1.0)).min(4.0);
            owed += value;
            earned += value
                * match (s.complete, self.first_in_time(s) && self.steady(s)) {
                    (true, true) => 1.0,
                    (true, false) => 0.5,
                    _ => 0.0,
                };
        }
        earned / owed
    }

    /// The same in the worst window of four seconds.
    pub fn worst(&self) -> f64 {
        let last = self.results.iter().map(|s| s.at).max().unwrap_or(0);
        (0..last.saturating_sub(4_000_000))
            .step_by(1_000_000)
            .map(|from| self.value(|s| (from..from + 4_000_000).contains(&s.at)))
            .fold(1.0, f64::min)
    }

    fn firsts(&self) -> Vec<f64> {
        let mut all: Vec<f64> = self
            .results
            .iter()
            .filter_map(|s| s.first)
            .map(|f| f as f64 / 1000.0)
            .collect();
        all.sort_by(f64::total_cmp);
        all
    }

    pub fn mean_first_ms(&self) -> f64 {
        let all = self.firsts();
        all.iter().sum::<f64>() / all.len().max(1) as f64
    }

    pub fn p95_first_ms(&self) -> f64 {
        let all = self.firsts();
        all.get(all.len() * 95 / 100).copied().unwrap_or(0.0)
    }
}

pub const HEAD: &str = "| run | way | worth | worst 4 s | first in aim | pauses in aim | complete | mean first ms | p95 first ms | read again k | read k | max/mean load | busy | repeats |";

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.0} | {:.0} | {} | {} | {:.2} | {:.2} | {} |",
            self.value(|_| true),
            self.worst(),
            self.aim(),
            self.pauses(),
            self.complete(),
            self.mean_first_ms(),
            self.p95_first_ms(),
            self.prefilled_again / 1000,
            self.read / 1000,
            self.load_imbalance,
            self.busy,
            self.retries
        )
    }
}
