//! Figures of a run from its records: histograms, windows, worth.

use crate::clients::AttemptOutcome;
use crate::plan::Plan;
use crate::record::QueryRecord;
use crate::scenario::Scenario;
use fake_hosts::model::Micros;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Longest time that a histogram tells apart, in microseconds: an hour.
const MAX_RECORDED_US: u64 = 3_600_000_000;
/// Windows of the results, in microseconds.
pub const WINDOW_US: u64 = 1_000_000;
/// Length of the worst stretch that counts, in windows.
const WORST_STRETCH_WINDOWS: usize = 10;
/// Weights of the whole, the worst 10 s, the worst class and the worst tenant, as the operators count.
const GOAL_WEIGHTS: [f64; 4] = [0.3, 0.15, 0.2, 0.35];

/// A histogram of microseconds with three digits.
pub fn histogram() -> Histogram<u64> {
    // The bounds are constants that the library accepts.
    Histogram::new_with_bounds(1, MAX_RECORDED_US, 3)
        .unwrap_or_else(|_| unreachable!("constant bounds"))
}

/// Counts and percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Spread {
    /// How many.
    pub count: u64,
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Largest.
    pub max: f64,
}

impl Spread {
    /// Of a histogram of microseconds.
    pub fn of(h: &Histogram<u64>) -> Self {
        let ms = |us: u64| us as f64 / 1e3;
        let at = |q: f64| ms(h.value_at_quantile(q));
        Self {
            count: h.len(),
            mean: h.mean() / 1e3,
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            max: ms(h.max()),
        }
    }
}

/// One window, by the instants that queries were due.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Window {
    /// Its start in seconds.
    pub at_s: f64,
    /// Queries due.
    pub due: u64,
    /// Tries sent for them.
    pub tries: u64,
    /// Served, in whole or part.
    pub served: u64,
    /// Refused in the end.
    pub refused: u64,
    /// Ended in any other way.
    pub failed: u64,
    /// Latency of those served, from the planned instant.
    pub latency: Spread,
    /// The generator's own lag at the 99th percentile, in milliseconds.
    pub lag_p99: f64,
    /// Worth earned over worth asked for.
    pub worth: f64,
}

/// The figures of a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Figures {
    /// Queries by how they ended.
    pub outcomes: BTreeMap<String, u64>,
    /// Tries by how they ended.
    pub tries: BTreeMap<String, u64>,
    /// Latency of served queries from their planned instants.
    pub latency: Spread,
    /// From the first byte sent to the last answer, of served queries.
    pub service: Spread,
    /// The generator's own lag: from planned to begun, of all queries.
    pub lag: Spread,
    /// Latency by class.
    pub by_class: BTreeMap<String, Spread>,
    /// Latency by tenant.
    pub by_tenant: BTreeMap<String, Spread>,
    /// Time until the end, by outcome.
    pub by_outcome: BTreeMap<String, Spread>,
    /// Worth answered in time over worth asked for: whole, worst 10 s, worst class, worst tenant.
    pub worth: [f64; 4],
    /// The operators' mix of these.
    pub goal: f64,
    /// Queries served a second, over the time in which queries were due.
    pub served_per_s: f64,
    /// By window.
    pub windows: Vec<Window>,
}

/// What a query is worth, and what of it was earned.
pub fn worth(s: &Scenario, plan: &Plan, q: &QueryRecord) -> (f64, f64) {
    let p = &plan.0[q.query as usize];
    let class = &s.classes[usize::from(p.class)];
    let heavy: f64 = p.parts.iter().map(|part| f64::from(part.work_us)).sum();
    let asked = class.worth * heavy.max(1.0);
    let late = q.ended.saturating_sub(q.due) as f64 > class.goal_ms * 1e3;
    let time = if late { class.late_worth } else { 1.0 };
    let share = match q.tries.last().map(|t| (t.end, t)) {
        Some((AttemptOutcome::Served(true), _)) => 1.0,
        Some((AttemptOutcome::Served(false), t)) => {
            let there = |shard: u32| t.shards.contains(&shard);
            let weight: f64 = p
                .parts
                .iter()
                .filter(|x| there(x.shard))
                .map(|x| x.weight)
                .sum();
            class.partial_worth * weight
        }
        _ => 0.0,
    };
    (asked, asked * time * share)
}

/// The histograms that go out as logs: latency, service time and lag.
pub struct Histograms {
    /// Latency from the planned instant, of served queries.
    pub latency: Histogram<u64>,
    /// Service time.
    pub service: Histogram<u64>,
    /// The generator's lag.
    pub lag: Histogram<u64>,
    /// Latency by window.
    pub windows: Vec<Histogram<u64>>,
}

/// Value that was asked for, and the part of it that was earned.
#[derive(Clone, Copy, Debug, Default)]
struct Earned {
    asked: f64,
    earned: f64,
}

impl Earned {
    fn add(&mut self, other: Self) {
        self.asked += other.asked;
        self.earned += other.earned;
    }

    /// Earned over asked for; 1 if nothing was.
    fn ratio(self) -> f64 {
        if self.asked > 0.0 {
            self.earned / self.asked
        } else {
            1.0
        }
    }

    fn sum(all: &[Self]) -> Self {
        let mut sum = Self::default();
        all.iter().for_each(|e| sum.add(*e));
        sum
    }
}

/// The smallest ratio among those that were asked for anything; 1 if there is none.
fn min_ratio(all: &[Earned]) -> f64 {
    let asked = all.iter().filter(|e| e.asked > 0.0);
    asked.map(|e| e.ratio()).fold(1.0, f64::min)
}

/// Everything that is summed up query by query.
struct Accumulator {
    figures: Figures,
    histograms: Histograms,
    class_latency: Vec<Histogram<u64>>,
    tenant_latency: Vec<Histogram<u64>>,
    outcome_latency: BTreeMap<&'static str, Histogram<u64>>,
    window_lag: Vec<Histogram<u64>>,
    all: Earned,
    by_window: Vec<Earned>,
    by_class: Vec<Earned>,
    by_tenant: Vec<Earned>,
}

fn histograms(count: usize) -> Vec<Histogram<u64>> {
    (0..count).map(|_| histogram()).collect()
}

impl Accumulator {
    fn new(s: &Scenario) -> Self {
        let windows = s.length_us().div_ceil(WINDOW_US) as usize;
        let (classes, tenants) = (s.classes.len(), s.tenants.len());
        let window = |n| Window {
            at_s: n as f64,
            ..Window::default()
        };
        Self {
            figures: Figures {
                windows: (0..windows).map(window).collect(),
                ..Figures::default()
            },
            histograms: Histograms {
                latency: histogram(),
                service: histogram(),
                lag: histogram(),
                windows: histograms(windows),
            },
            class_latency: histograms(classes),
            tenant_latency: histograms(tenants),
            outcome_latency: BTreeMap::new(),
            window_lag: histograms(windows),
            all: Earned::default(),
            by_window: vec![Earned::default(); windows],
            by_class: vec![Earned::default(); classes],
            by_tenant: vec![Earned::default(); tenants],
        }
    }

    fn add(&mut self, s: &Scenario, plan: &Plan, q: &QueryRecord, start: Micros) {
        let planned = &plan.0[q.query as usize];
        let (class, tenant) = (usize::from(planned.class), usize::from(planned.tenant));
        let last_window = self.by_window.len().saturating_sub(1);
        let window = ((q.due.saturating_sub(start) / WINDOW_US) as usize).min(last_window);
        let latency = q.ended.saturating_sub(q.due).max(1);
        let lag = q.started.saturating_sub(q.due).max(1);
        self.histograms.lag.saturating_record(lag);
        self.window_lag[window].saturating_record(lag);
        self.count_outcomes(q, latency);
        let figures = &mut self.figures.windows[window];
        figures.due += 1;
        figures.tries += q.tries.len() as u64;
        match q.end() {
            AttemptOutcome::Served(_) => {
                figures.served += 1;
                let service = q.ended.saturating_sub(q.first_sent).max(1);
                self.histograms.latency.saturating_record(latency);
                self.histograms.service.saturating_record(service);
                self.histograms.windows[window].saturating_record(latency);
                self.class_latency[class].saturating_record(latency);
                self.tenant_latency[tenant].saturating_record(latency);
            }
            AttemptOutcome::Refused => figures.refused += 1,
            _ => figures.failed += 1,
        }
        let (asked, earned) = worth(s, plan, q);
        let earned = Earned { asked, earned };
        self.all.add(earned);
        self.by_window[window].add(earned);
        self.by_class[class].add(earned);
        self.by_tenant[tenant].add(earned);
    }

    fn count_outcomes(&mut self, q: &QueryRecord, latency: u64) {
        let word = q.end().word();
        *self.figures.outcomes.entry(word.to_owned()).or_default() += 1;
        let by_outcome = self.outcome_latency.entry(word);
        let by_outcome = by_outcome.or_insert_with(histogram);
        by_outcome.saturating_record(latency);
        for attempt in &q.tries {
            let word = attempt.end.word().to_owned();
            *self.figures.tries.entry(word).or_default() += 1;
        }
    }

    /// Works out the figures that need all queries.
    fn finish(self, s: &Scenario) -> (Figures, Histograms) {
        let (mut figures, histograms) = (self.figures, self.histograms);
        for (n, window) in figures.windows.iter_mut().enumerate() {
            window.latency = Spread::of(&histograms.windows[n]);
            window.lag_p99 = self.window_lag[n].value_at_quantile(0.99) as f64 / 1e3;
            window.worth = self.by_window[n].ratio();
        }
        let stretch = WORST_STRETCH_WINDOWS.min(self.by_window.len().max(1));
        let stretches = self.by_window.windows(stretch);
        let worst = stretches
            .map(|w| Earned::sum(w).ratio())
            .fold(1.0, f64::min);
        let (class, tenant) = (min_ratio(&self.by_class), min_ratio(&self.by_tenant));
        figures.worth = [self.all.ratio(), worst, class, tenant];
        let weighted = figures.worth.iter().zip(GOAL_WEIGHTS);
        figures.goal = weighted.map(|(worth, weight)| worth * weight).sum();
        figures.latency = Spread::of(&histograms.latency);
        figures.service = Spread::of(&histograms.service);
        figures.lag = Spread::of(&histograms.lag);
        let classes = s.classes.iter().zip(&self.class_latency);
        figures.by_class = classes
            .map(|(c, h)| (c.name.clone(), Spread::of(h)))
            .collect();
        let tenants = s.tenants.iter().zip(&self.tenant_latency);
        figures.by_tenant = tenants
            .map(|(t, h)| (t.name.clone(), Spread::of(h)))
            .collect();
        let outcomes = self.outcome_latency.iter();
        figures.by_outcome = outcomes
            .map(|(w, h)| ((*w).to_owned(), Spread::of(h)))
            .collect();
        figures.served_per_s = histograms.latency.len() as f64 / s.length_s;
        (figures, histograms)
    }
}

/// Works out all figures; `start` is the time of the plan's 0, in microseconds since the run's epoch.
pub fn figures(
    s: &Scenario,
    plan: &Plan,
    queries: &[QueryRecord],
    start: Micros,
) -> (Figures, Histograms) {
    let mut accumulator = Accumulator::new(s);
    for query in queries {
        accumulator.add(s, plan, query, start);
    }
    accumulator.finish(s)
}

/// Median, least and most.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Range {
    /// Least.
    pub least: f64,
    /// Median.
    pub median: f64,
    /// Most.
    pub most: f64,
}

impl Range {
    /// Of some values; `None` of none.
    pub fn of(values: &[f64]) -> Option<Self> {
        let mut v: Vec<f64> = values.iter().copied().filter(|x| x.is_finite()).collect();
        v.sort_by(f64::total_cmp);
        let (first, last) = (*v.first()?, *v.last()?);
        let median = (v[(v.len() - 1) / 2] + v[v.len() / 2]) / 2.0;
        Some(Self {
            least: first,
            median,
            most: last,
        })
    }
}
