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

fn ratio((asked, earned): (f64, f64)) -> f64 {
    if asked > 0.0 {
        earned / asked
    } else {
        1.0
    }
}

fn add(to: &mut (f64, f64), (asked, earned): (f64, f64)) {
    to.0 += asked;
    to.1 += earned;
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

/// Works all figures out. `start` is the epoch's time of the plan's 0.
pub fn figures(
    s: &Scenario,
    plan: &Plan,
    queries: &[QueryRecord],
    start: Micros,
) -> (Figures, Histograms) {
    let mut f = Figures::default();
    let count = s.length_us().div_ceil(WINDOW_US) as usize;
    let mut h = Histograms {
        latency: histogram(),
        service: histogram(),
        lag: histogram(),
        windows: (0..count).map(|_| histogram()).collect(),
    };
    let mut classes: Vec<Histogram<u64>> = s.classes.iter().map(|_| histogram()).collect();
    let mut tenants: Vec<Histogram<u64>> = s.tenants.iter().map(|_| histogram()).collect();
    let mut outcomes: BTreeMap<&str, Histogram<u64>> = BTreeMap::new();
    let mut lags: Vec<Histogram<u64>> = (0..count).map(|_| histogram()).collect();
    let mut worths = vec![(0.0, 0.0); count];
    let mut by_class = vec![(0.0, 0.0); s.classes.len()];
    let mut by_tenant = vec![(0.0, 0.0); s.tenants.len()];
    let mut whole = (0.0, 0.0);
    f.windows = (0..count)
        .map(|n| Window {
            at_s: n as f64,
            ..Window::default()
        })
        .collect();
    for q in queries {
        let p = &plan.0[q.query as usize];
        let (class, tenant) = (usize::from(p.class), usize::from(p.tenant));
        let n = ((q.due.saturating_sub(start) / WINDOW_US) as usize).min(count.saturating_sub(1));
        let (latency, end) = (q.ended.saturating_sub(q.due).max(1), q.end());
        let lag = q.started.saturating_sub(q.due).max(1);
        h.lag.saturating_record(lag);
        lags[n].saturating_record(lag);
        *f.outcomes.entry(end.word().to_owned()).or_default() += 1;
        outcomes
            .entry(end.word())
            .or_insert_with(histogram)
            .saturating_record(latency);
        for t in &q.tries {
            *f.tries.entry(t.end.word().to_owned()).or_default() += 1;
        }
        let w = &mut f.windows[n];
        w.due += 1;
        w.tries += q.tries.len() as u64;
        match end {
            AttemptOutcome::Served(_) => {
                w.served += 1;
                h.latency.saturating_record(latency);
                h.service
                    .saturating_record(q.ended.saturating_sub(q.first_sent).max(1));
                h.windows[n].saturating_record(latency);
                classes[class].saturating_record(latency);
                tenants[tenant].saturating_record(latency);
            }
            AttemptOutcome::Refused => w.refused += 1,
            _ => w.failed += 1,
        }
        let earned = worth(s, plan, q);
        for to in [
            &mut whole,
            &mut worths[n],
            &mut by_class[class],
            &mut by_tenant[tenant],
        ] {
            add(to, earned);
        }
    }
    for (n, w) in f.windows.iter_mut().enumerate() {
        w.latency = Spread::of(&h.windows[n]);
        w.lag_p99 = lags[n].value_at_quantile(0.99) as f64 / 1e3;
        w.worth = ratio(worths[n]);
    }
    let stretch = |w: &[(f64, f64)]| {
        ratio(w.iter().fold((0.0, 0.0), |mut sum, x| {
            add(&mut sum, *x);
            sum
        }))
    };
    let least = |all: &mut dyn Iterator<Item = f64>| all.fold(1.0, f64::min);
    let worst = least(
        &mut worths
            .windows(WORST_STRETCH_WINDOWS.min(count.max(1)))
            .map(stretch),
    );
    let asked = |v: &[(f64, f64)]| least(&mut v.iter().filter(|x| x.0 > 0.0).map(|x| ratio(*x)));
    f.worth = [ratio(whole), worst, asked(&by_class), asked(&by_tenant)];
    f.goal = f.worth.iter().zip(GOAL_WEIGHTS).map(|(w, g)| w * g).sum();
    f.latency = Spread::of(&h.latency);
    f.service = Spread::of(&h.service);
    f.lag = Spread::of(&h.lag);
    f.by_class = s
        .classes
        .iter()
        .zip(&classes)
        .map(|(c, h)| (c.name.clone(), Spread::of(h)))
        .collect();
    f.by_tenant = s
        .tenants
        .iter()
        .zip(&tenants)
        .map(|(t, h)| (t.name.clone(), Spread::of(h)))
        .collect();
    f.by_outcome = outcomes
        .iter()
        .map(|(w, h)| ((*w).to_owned(), Spread::of(h)))
        .collect();
    f.served_per_s = h.latency.len() as f64 / s.length_s;
    (f, h)
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
