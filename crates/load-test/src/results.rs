//! A run's results as files: `summary.json`, `windows.csv`, `latency.hlog`, `report.md`, charts and one
//! page that holds all of it.

use crate::audit::{Rule, Violation};
use crate::charts::{self, ChartError};
use crate::query_timeline::query_timeline;
use crate::run::Outcome;
use crate::stats::{Figures, Spread};
use hdrhistogram::serialization::interval_log::IntervalLogWriterBuilder;
use hdrhistogram::serialization::V2DeflateSerializer;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::time::{Duration, UNIX_EPOCH};

/// Stories of broken rules that are told at most.
const STORIES: usize = 3;

/// Why results can't be kept or read.
#[derive(Debug, thiserror::Error)]
pub enum ResultsError {
    /// A file.
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    /// A chart or a log.
    #[error("{0}")]
    Draw(String),
    /// A summary that is none.
    #[error("{0}: {1}")]
    Summary(PathBuf, serde_json::Error),
}

impl From<ChartError> for ResultsError {
    fn from(e: ChartError) -> Self {
        Self::Draw(e.to_string())
    }
}

/// A run in short, as `summary.json` has it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Summary {
    /// The scenario's name.
    pub scenario: String,
    /// Its seed.
    pub seed: u64,
    /// The plan's digest.
    pub plan: String,
    /// Queries planned.
    pub planned: u64,
    /// Why the run says nothing, if so.
    pub void: Option<String>,
    /// Broken rules by name; empty if all were kept.
    pub broken: BTreeMap<String, u64>,
    /// Coordinators that ended on their own account.
    pub crashed: u64,
    /// Coordinators' CPU for each query begun, in microseconds.
    pub cpu_us_per_query: f64,
    /// Coordinators' CPU together, in seconds.
    pub cpu_s: f64,
    /// Most memory of a coordinator, in megabytes.
    pub peak_mb: f64,
    /// Attempts that reached hosts, for each part of the plan.
    pub attempts_per_part: f64,
    /// Time that the audit took, in seconds.
    pub audit_s: f64,
    /// All figures.
    pub figures: Figures,
}

impl Summary {
    /// Of a run.
    pub fn of(o: &Outcome) -> Self {
        let mut broken: BTreeMap<String, u64> = BTreeMap::new();
        for v in &o.violations {
            *broken.entry(rule_name(v.rule)).or_default() += 1;
        }
        let cpu_s: f64 = o.usage.iter().map(|u| u.cpu_s).sum();
        let arrived = |e: &&fake_hosts::event_log::Event| {
            matches!(e.kind, fake_hosts::event_log::EventKind::Arrived { .. })
        };
        let parts: usize = o.plan.0.iter().map(|q| q.parts.len()).sum();
        Self {
            scenario: o.scenario.name.clone(),
            seed: o.scenario.seed,
            plan: o.plan.digest(),
            planned: o.plan.0.len() as u64,
            void: o.void.clone(),
            broken,
            crashed: o.crashed.len() as u64,
            cpu_us_per_query: cpu_s * 1e6 / o.queries.len().max(1) as f64,
            cpu_s,
            peak_mb: o.usage.iter().map(|u| u.peak_mb).fold(0.0, f64::max),
            attempts_per_part: o.events.iter().filter(arrived).count() as f64 / parts.max(1) as f64,
            audit_s: o.audit_s,
            figures: o.figures.clone(),
        }
    }

    /// Reads a result folder's.
    ///
    /// # Errors
    /// If the file is not there or is no summary.
    pub fn load(dir: &Path) -> Result<Self, ResultsError> {
        let path = dir.join("summary.json");
        let text =
            std::fs::read_to_string(&path).map_err(|e| ResultsError::File(path.clone(), e))?;
        serde_json::from_str(&text).map_err(|e| ResultsError::Summary(path, e))
    }
}

/// A rule's name.
pub fn rule_name(rule: Rule) -> String {
    serde_json::to_value(rule)
        .ok()
        .and_then(|v| v.as_str().map(str::to_owned))
        .unwrap_or_default()
}

fn row(out: &mut String, name: &str, s: &Spread) {
    let Spread {
        count,
        mean,
        p50,
        p90,
        p99,
        p999,
        max,
    } = s;
    let _ = writeln!(
        out,
        "| {name} | {count} | {mean:.2} | {p50:.2} | {p90:.2} | {p99:.2} | {p999:.2} | {max:.2} |"
    );
}

const HEAD: &str = "| ms | count | mean | p50 | p90 | p99 | p99.9 | max |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n";

/// The tables of a run's figures, in Markdown.
pub fn tables(f: &Figures) -> String {
    let mut t = String::new();
    let mut counts = |what: &str, all: &BTreeMap<String, u64>| {
        let list: Vec<String> = all.iter().map(|(k, n)| format!("{k} {n}")).collect();
        let _ = writeln!(t, "- {what}: {}", list.join(", "));
    };
    counts("queries by how they ended", &f.outcomes);
    counts("tries", &f.tries);
    let [whole, worst, class, tenant] = f.worth;
    let _ = writeln!(
        t,
        "- worth: whole {whole:.3}, worst 10 s {worst:.3}, worst class {class:.3}, worst tenant {tenant:.3}; together {:.3}",
        f.goal
    );
    let _ = writeln!(
        t,
        "- served {:.1} queries a second\n\n{HEAD}",
        f.served_per_s
    );
    // The head ends its own lines.
    t = t
        .replace("\n\n\n", "\n\n")
        .replace("| --- |\n\n", "| --- |\n");
    row(&mut t, "latency from the planned instant", &f.latency);
    row(&mut t, "service from the first byte sent", &f.service);
    row(&mut t, "the generator's own lag", &f.lag);
    for (kind, all) in [
        ("class", &f.by_class),
        ("tenant", &f.by_tenant),
        ("time until", &f.by_outcome),
    ] {
        all.iter()
            .filter(|(_, s)| s.count > 0)
            .for_each(|(name, s)| row(&mut t, &format!("{kind} {name}"), s));
    }
    t
}

/// The verdict on a run in a few lines, with the stories of the first broken rules.
pub fn verdict(o: &Outcome) -> String {
    let mut t = String::new();
    if let Some(why) = &o.void {
        let _ = writeln!(t, "VOID: {why}");
    }
    for (c, code) in &o.crashed {
        let _ = writeln!(t, "CRASHED: coordinator {c} ended with {code:?}");
    }
    if o.violations.is_empty() {
        let _ = writeln!(t, "rules: all kept");
    }
    let mut told = 0;
    for rule in Rule::ALL {
        let of: Vec<&Violation> = o.violations.iter().filter(|v| v.rule == rule).collect();
        let Some(first) = of.first() else { continue };
        let _ = writeln!(
            t,
            "BROKEN {}: {} times, first: {}",
            rule_name(rule),
            of.len(),
            first.what
        );
        if let Some(query) = first.query.filter(|_| told < STORIES) {
            told += 1;
            t.push_str(&query_timeline(&o.evidence(), query));
        }
    }
    t
}

/// The whole report in Markdown.
pub fn report(o: &Outcome, s: &Summary) -> String {
    let mut t = format!(
        "# {}\n\nseed {}, plan {} of {} queries\n\n",
        s.scenario, s.seed, s.plan, s.planned
    );
    let _ = writeln!(t, "```\n{}```\n", verdict(o));
    t.push_str(&tables(&s.figures));
    let _ = writeln!(
        t,
        "\n- coordinators: {:.2} s of CPU together, {:.1} us a query, {:.1} MB at most\n\
         - attempts at hosts for each planned part: {:.3}\n- audit: {} events in {:.2} s",
        s.cpu_s,
        s.cpu_us_per_query,
        s.peak_mb,
        s.attempts_per_part,
        o.events.len(),
        s.audit_s
    );
    for m in &o.marks {
        let _ = writeln!(t, "- fault: {} from {} to {} s", m.what, m.at_s, m.to_s);
    }
    t
}

fn windows(f: &Figures) -> String {
    let mut t = String::from(
        "at_s,due,tries,served,refused,failed,mean_ms,p50_ms,p99_ms,max_ms,lag_p99_ms,worth\n",
    );
    for w in &f.windows {
        let l = &w.latency;
        let _ = writeln!(
            t,
            "{},{},{},{},{},{},{:.3},{:.3},{:.3},{:.3},{:.3},{:.4}",
            w.at_s,
            w.due,
            w.tries,
            w.served,
            w.refused,
            w.failed,
            l.mean,
            l.p50,
            l.p99,
            l.max,
            w.lag_p99,
            w.worth
        );
    }
    t
}

/// The windows' histograms as an interval log of HdrHistogram's V2 form.
fn hdr_log(o: &Outcome) -> Result<Vec<u8>, ResultsError> {
    let failed = |e: &dyn std::fmt::Debug| ResultsError::Draw(format!("the histogram log: {e:?}"));
    let (mut out, mut serializer) = (Vec::new(), V2DeflateSerializer::new());
    let mut log = IntervalLogWriterBuilder::new()
        .add_comment(&format!(
            "fennelpin lab: {}, microseconds from the planned instant",
            o.scenario.name
        ))
        .with_start_time(UNIX_EPOCH)
        .with_base_time(UNIX_EPOCH)
        .begin_log_with(&mut out, &mut serializer)
        .map_err(|e| failed(&e))?;
    for (n, h) in o.histograms.windows.iter().enumerate() {
        let start = Duration::from_secs(n as u64);
        log.write_histogram(h, start, Duration::from_secs(1), None)
            .map_err(|e| failed(&e))?;
    }
    Ok(out)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

/// Markdown's tables and lists as HTML, as far as the report uses them.
pub fn report_to_html(report: &str) -> String {
    let mut t = String::new();
    let (mut table, mut pre) = (false, false);
    for line in report.lines() {
        if line == "```" {
            pre = !pre;
            t.push_str(if pre { "<pre>" } else { "</pre>\n" });
            continue;
        }
        if pre {
            t.push_str(&escape(line));
            t.push('\n');
            continue;
        }
        let row = line.strip_prefix("| ").and_then(|l| l.strip_suffix(" |"));
        if table && row.is_none() {
            t.push_str("</table>\n");
        }
        match row {
            Some(row) if row.starts_with("---") => {}
            Some(row) => {
                if !table {
                    t.push_str("<table>\n");
                }
                let cells: String = row
                    .split(" | ")
                    .map(|c| format!("<td>{}</td>", escape(c)))
                    .collect();
                let _ = writeln!(t, "<tr>{cells}</tr>");
            }
            None => match (line.strip_prefix("# "), line.strip_prefix("- ")) {
                (Some(title), _) => drop(writeln!(t, "<h1>{}</h1>", escape(title))),
                (_, Some(item)) => drop(writeln!(t, "<div>{}</div>", escape(item))),
                _ => drop(writeln!(t, "<p>{}</p>", escape(line))),
            },
        }
        table = row.is_some();
    }
    if table {
        t.push_str("</table>\n");
    }
    t
}

const STYLE: &str = "body{font-family:sans-serif;max-width:960px;margin:2em auto}\
    table{border-collapse:collapse;margin:1em 0}td{border:1px solid #ccc;padding:2px 8px;text-align:right}\
    td:first-child{text-align:left}pre{background:#f4f4f4;padding:8px;overflow-x:auto}svg{max-width:100%}";

/// Writes all files into a folder.
///
/// # Errors
/// If a file can't be written or a chart can't be drawn.
pub fn write(o: &Outcome, dir: &Path) -> Result<Summary, ResultsError> {
    let put = |name: &str, bytes: &[u8]| {
        let path = dir.join(name);
        std::fs::write(&path, bytes).map_err(|e| ResultsError::File(path, e))
    };
    std::fs::create_dir_all(dir).map_err(|e| ResultsError::File(dir.to_owned(), e))?;
    let summary = Summary::of(o);
    put(
        "summary.json",
        serde_json::to_string_pretty(&summary)
            .unwrap_or_default()
            .as_bytes(),
    )?;
    put(
        "violations.json",
        serde_json::to_string_pretty(&o.violations)
            .unwrap_or_default()
            .as_bytes(),
    )?;
    put("windows.csv", windows(&summary.figures).as_bytes())?;
    put("latency.hlog", &hdr_log(o)?)?;
    let report = report(o, &summary);
    put("report.md", report.as_bytes())?;
    let h = &o.histograms;
    let histograms = [
        ("latency from the planned instant", &h.latency),
        ("service", &h.service),
        ("generator's lag", &h.lag),
    ];
    let charts = charts::of_run(&summary.figures.windows, &o.samples, &o.marks, &histograms)?;
    let mut page = format!(
        "<!doctype html><meta charset=\"utf-8\"><title>{}</title><style>{STYLE}</style>\n{}",
        escape(&summary.scenario),
        report_to_html(&report)
    );
    for (name, svg) in &charts {
        put(&format!("{name}.svg"), svg.as_bytes())?;
        page.push_str(svg);
    }
    put("index.html", page.as_bytes())?;
    Ok(summary)
}
