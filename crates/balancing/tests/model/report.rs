//! The figures of a run.

use super::traffic::Kind;
use super::{from_ms, Time};
use std::fmt;

pub struct Served {
    pub kind: usize,
    pub at: Time,
    pub first: Option<Time>,
    pub pause: Time,
    pub complete: bool,
    pub size: f64,
}

pub struct Report {
    pub served: Vec<Served>,
    /// Tokens of shared parts that were read though some host had read them.
    pub read_again: u64,
    /// All tokens that were read.
    pub read: u64,
    /// Busiest host over the mean.
    pub uneven: f64,
    /// Mean share of the time in which hosts work.
    pub busy: f64,
    pub repeats: u64,
    pub kinds: &'static [Kind],
}

impl Report {
    fn first_in_time(&self, s: &Served) -> bool {
        s.first
            .is_some_and(|f| f <= from_ms(self.kinds[s.kind].aim_ms))
    }

    fn steady(&self, s: &Served) -> bool {
        s.complete && s.pause <= from_ms(self.kinds[s.kind].pause_ms)
    }

    fn share(&self, of: impl Fn(&Served) -> bool, good: impl Fn(&Served) -> bool) -> f64 {
        let (mut n, mut all) = (0, 0);
        for s in self.served.iter().filter(|s| of(s)) {
            n += usize::from(good(s));
            all += 1;
        }
        n as f64 / f64::from(all.max(1) as u32)
    }

    /// Share with the first event within its aim.
    pub fn aim(&self) -> f64 {
        self.share(|_| true, |s| self.first_in_time(s))
    }

    /// Share that is complete with no pause over its aim.
    pub fn pauses(&self) -> f64 {
        self.share(|_| true, |s| self.steady(s))
    }

    pub fn complete(&self) -> f64 {
        self.share(|_| true, |s| s.complete)
    }

    /// Worth earned over worth owed; half for a late one, by size as the pages have it.
    pub fn worth(&self, of: impl Fn(&Served) -> bool) -> f64 {
        let mean: Vec<f64> = (0..self.kinds.len())
            .map(|k| {
                let sizes: Vec<f64> = self
                    .served
                    .iter()
                    .filter(|s| s.kind == k)
                    .map(|s| s.size)
                    .collect();
                sizes.iter().sum::<f64>() / sizes.len().max(1) as f64
            })
            .collect();
        let (mut earned, mut owed) = (0.0, 0.0);
        for s in self.served.iter().filter(|s| of(s)) {
            let worth =
                self.kinds[s.kind].worth * (0.3 + 0.7 * s.size / mean[s.kind].max(1.0)).min(4.0);
            owed += worth;
            earned += worth
                * match (s.complete, self.first_in_time(s) && self.steady(s)) {
                    (true, true) => 1.0,
                    (true, false) => 0.5,
                    _ => 0.0,
                };
        }
        earned / owed
    }

    /// The same in the worst four seconds.
    pub fn worst(&self) -> f64 {
        let last = self.served.iter().map(|s| s.at).max().unwrap_or(0);
        (0..last.saturating_sub(4_000_000))
            .step_by(1_000_000)
            .map(|from| self.worth(|s| (from..from + 4_000_000).contains(&s.at)))
            .fold(1.0, f64::min)
    }

    fn firsts(&self) -> Vec<f64> {
        let mut all: Vec<f64> = self
            .served
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
            self.worth(|_| true),
            self.worst(),
            self.aim(),
            self.pauses(),
            self.complete(),
            self.mean_first_ms(),
            self.p95_first_ms(),
            self.read_again / 1000,
            self.read / 1000,
            self.uneven,
            self.busy,
            self.repeats
        )
    }
}
