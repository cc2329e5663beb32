//! Runs side by side: two result folders, or two builds in interleaved pairs with their spread.

use crate::results::Summary;
use crate::stats::Range;
use std::fmt::Write;

/// A figure by its name.
pub type Metric = (&'static str, fn(&Summary) -> f64);

/// What is compared.
pub const METRICS: [Metric; 12] = [
    ("latency p50 ms", |s| s.figures.latency.p50),
    ("latency p99 ms", |s| s.figures.latency.p99),
    ("latency p99.9 ms", |s| s.figures.latency.p999),
    ("latency mean ms", |s| s.figures.latency.mean),
    ("served a second", |s| s.figures.served_per_s),
    ("worth, whole", |s| s.figures.worth[0]),
    ("worth, together", |s| s.figures.goal),
    ("CPU us a query", |s| s.cpu_us_per_query),
    ("peak MB", |s| s.peak_mb),
    ("attempts a part", |s| s.attempts_per_part),
    ("generator's lag p99 ms", |s| s.figures.lag.p99),
    ("broken rules", |s| s.broken.values().sum::<u64>() as f64),
];

/// Two runs in a table.
pub fn two(a: &Summary, b: &Summary) -> String {
    let mut t = format!(
        "| figure | {} | {} | B/A |\n| --- | --- | --- | --- |\n",
        a.scenario, b.scenario
    );
    if a.plan != b.plan {
        let _ = writeln!(t, "| plan | {} | {} | differ |", a.plan, b.plan);
    }
    for (name, metric) in METRICS {
        let (of_a, of_b) = (metric(a), metric(b));
        let ratio = ratio(of_a, of_b);
        let _ = writeln!(t, "| {name} | {of_a:.3} | {of_b:.3} | {ratio} |");
    }
    for (side, summary) in [("A", a), ("B", b)] {
        if let Some(why) = &summary.void {
            let _ = writeln!(t, "\n{side} is void: {why}");
        }
    }
    t
}

fn ratio(a: f64, b: f64) -> String {
    if a == 0.0 {
        return "-".to_owned();
    }
    format!("{:.3}", b / a)
}

/// Pairs of runs, the first of each pair of A, in a table of medians and the ratios' spread. Void runs and
/// their partners are left out, and said to be.
pub fn pairs(all: &[(Summary, Summary)]) -> String {
    let good: Vec<&(Summary, Summary)> = all
        .iter()
        .filter(|(a, b)| a.void.is_none() && b.void.is_none())
        .collect();
    let mut t = format!(
        "{} pairs, {} void\n\n| figure | A median | B median | B/A least | median | most |\n\
         | --- | --- | --- | --- | --- | --- |\n",
        all.len(),
        all.len() - good.len()
    );
    for (name, metric) in METRICS {
        let (a, b): (Vec<f64>, Vec<f64>) = good.iter().map(|(a, b)| (metric(a), metric(b))).unzip();
        let ratios: Vec<f64> = a
            .iter()
            .zip(&b)
            .filter(|(a, _)| **a != 0.0)
            .map(|(a, b)| b / a)
            .collect();
        let (Some(range_a), Some(range_b)) = (Range::of(&a), Range::of(&b)) else {
            continue;
        };
        let spread = Range::of(&ratios).map_or("- | - | -".to_owned(), |r| {
            format!("{:.3} | {:.3} | {:.3}", r.least, r.median, r.most)
        });
        let _ = writeln!(
            t,
            "| {name} | {:.3} | {:.3} | {spread} |",
            range_a.median, range_b.median
        );
    }
    t
}
