//! Recorded traces: CSV with a head line, or JSON Lines. A plan goes out whole and comes back the same;
//! a trace from elsewhere may leave all but `at_us` and `class` to the scenario's draw.

use crate::plan::{weighed, Mixer, Plan, Planned, PlannedPart};
use crate::scenario::{Scenario, TraceTable};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

/// Most queries that a trace may hold.
const MAX_QUERIES: usize = 20_000_000;

/// How long a client may wait for an attempt, in microseconds: 1 ms to 10 minutes.
const WAIT_RANGE_US: std::ops::RangeInclusive<u64> = 1000..=600_000_000;

/// What is wrong with a trace.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// The file can't be read or written.
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    /// A line can't be used.
    #[error("{file}: line {line}: {why}")]
    Line {
        /// The file.
        file: PathBuf,
        /// The line, from 1.
        line: usize,
        /// What is wrong.
        why: String,
    },
    /// Its ending is neither `.csv` nor `.jsonl`.
    #[error("{0}: a trace ends in .csv or .jsonl")]
    UnknownFormat(PathBuf),
}

/// A line of a trace.
#[derive(Debug, Default, Deserialize, Serialize, PartialEq, Clone)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// When, in microseconds from the start.
    pub at_us: u64,
    /// The class by its name.
    pub class: String,
    /// The tenant by its name.
    #[serde(default)]
    pub tenant: Option<String>,
    /// What it is about.
    #[serde(default)]
    pub key: Option<u32>,
    /// The front's number among the scenario's.
    #[serde(default)]
    pub front: Option<u8>,
    /// The zone's number.
    #[serde(default)]
    pub zone: Option<u8>,
    /// How long its client waits for each try, in microseconds.
    #[serde(default)]
    pub wait_us: Option<u64>,
    /// Further tries.
    #[serde(default)]
    pub retries: Option<u8>,
    /// The wait before the first of them.
    #[serde(default)]
    pub backoff_us: Option<u64>,
    /// Whether its client keeps to `Retry-After`: 0 or 1.
    #[serde(default)]
    pub honours: Option<u8>,
    /// Its parts: `SHARD:WEIGHT:WORK_US;…`.
    #[serde(default)]
    pub parts: Option<String>,
}

/// File format of a trace.
#[derive(Clone, Copy, PartialEq)]
pub enum TraceFormat {
    /// Comma-separated values with a header line.
    Csv,
    /// JSON Lines: one object a line.
    JsonLines,
}

fn format_of(path: &Path) -> Result<TraceFormat, TraceError> {
    match path.extension().and_then(|e| e.to_str()) {
        Some("csv") => Ok(TraceFormat::Csv),
        Some("jsonl") => Ok(TraceFormat::JsonLines),
        _ => Err(TraceError::UnknownFormat(path.to_owned())),
    }
}

fn parts(text: &str) -> Option<Vec<PlannedPart>> {
    let part = |p: &str| {
        let mut f = p.split(':');
        let (shard, weight, work) = (
            f.next()?.parse().ok()?,
            f.next()?.parse().ok()?,
            f.next()?.parse().ok()?,
        );
        let sound = f.next().is_none() && weight > 0.0 && weight <= 1.0;
        sound.then_some(PlannedPart {
            shard,
            weight,
            work_us: work,
        })
    };
    text.split(';').map(part).collect()
}

impl Record {
    fn of(q: &Planned, s: &Scenario) -> Self {
        let parts: Vec<String> = q
            .parts
            .iter()
            .map(|p| format!("{}:{}:{}", p.shard, p.weight, p.work_us))
            .collect();
        Self {
            at_us: q.at_us,
            class: s.classes[usize::from(q.class)].name.clone(),
            tenant: Some(s.tenants[usize::from(q.tenant)].name.clone()),
            key: Some(q.key),
            front: Some(q.front),
            zone: Some(q.zone),
            wait_us: Some(q.wait_us),
            retries: Some(q.retries),
            backoff_us: Some(q.backoff_us),
            honours: Some(q.honours.into()),
            parts: Some(parts.join(";")),
        }
    }

    /// The query that this line asks for; what it leaves open is drawn.
    fn planned(&self, s: &Scenario, mixer: &mut Mixer) -> Result<Planned, LineError> {
        let class = s.classes.iter().position(|c| c.name == self.class);
        let class = class.ok_or_else(|| LineError::UnknownClass(self.class.clone()))? as u8;
        let tenant = self.tenant_index(s)?;
        let mut q = mixer.query(self.at_us, Some(class), tenant, self.key);
        q.front = index_below("front", self.front, s.traffic.fronts.len())?.unwrap_or(q.front);
        q.zone = index_below("zone", self.zone, s.fleet.zones.len())?.unwrap_or(q.zone);
        q.parts = weighed(q.parts, s.traffic.fronts[usize::from(q.front)]);
        q.wait_us = self.wait_us.unwrap_or(q.wait_us);
        if !WAIT_RANGE_US.contains(&q.wait_us) {
            return Err(LineError::Wait(q.wait_us));
        }
        q.retries = self.retries.unwrap_or(q.retries);
        q.backoff_us = self.backoff_us.unwrap_or(q.backoff_us);
        q.honours = self.honours.map_or(q.honours, |h| h > 0);
        if let Some(text) = &self.parts {
            q.parts = parts(text).ok_or_else(|| LineError::Parts(text.clone()))?;
            let shards = s.shards();
            if let Some(part) = q.parts.iter().find(|p| p.shard >= shards) {
                return Err(LineError::Shard(part.shard, shards));
            }
        }
        Ok(q)
    }

    fn tenant_index(&self, s: &Scenario) -> Result<Option<u8>, LineError> {
        let Some(name) = &self.tenant else {
            return Ok(None);
        };
        let index = s.tenants.iter().position(|t| t.name == *name);
        let index = index.ok_or_else(|| LineError::UnknownTenant(name.clone()))?;
        Ok(Some(index as u8))
    }
}

/// A number that has to lie below a count.
fn index_below(
    what: &'static str,
    index: Option<u8>,
    count: usize,
) -> Result<Option<u8>, LineError> {
    match index {
        Some(index) if usize::from(index) >= count => Err(LineError::Index { what, index, count }),
        other => Ok(other),
    }
}

/// What is wrong with the values of a line.
#[derive(Debug, thiserror::Error)]
enum LineError {
    #[error("unknown class '{0}'")]
    UnknownClass(String),
    #[error("unknown tenant '{0}'")]
    UnknownTenant(String),
    #[error("{what} {index} is none of {count}")]
    Index {
        what: &'static str,
        index: u8,
        count: usize,
    },
    #[error("'wait_us' of {0}: it must lie in 1 ms to 10 minutes")]
    Wait(u64),
    #[error("'parts' can't be '{0}'")]
    Parts(String),
    #[error("shard {0} is none of {1}")]
    Shard(u32, u32),
}

/// Reads a trace's lines and checks that they can be used; nothing is run of a trace with a bad line.
///
/// # Errors
/// Names the file and the line.
pub fn import(path: &Path, s: &Scenario) -> Result<Plan, TraceError> {
    let text = std::fs::read_to_string(path).map_err(|e| TraceError::File(path.to_owned(), e))?;
    parse(&text, path, s)
}

/// Parses the text of a trace; `path` gives its format and stands in error messages.
///
/// # Errors
/// If the path has another ending than `.csv` or `.jsonl`, or a line is malformed.
pub fn parse(text: &str, path: &Path, s: &Scenario) -> Result<Plan, TraceError> {
    let at = |line: usize, why: String| TraceError::Line {
        file: path.to_owned(),
        line,
        why,
    };
    let mut records: Vec<(usize, Record)> = Vec::new();
    match format_of(path)? {
        TraceFormat::JsonLines => {
            for (n, line) in text
                .lines()
                .enumerate()
                .filter(|(_, l)| !l.trim().is_empty())
            {
                records.push((
                    n + 1,
                    serde_json::from_str(line).map_err(|e| at(n + 1, e.to_string()))?,
                ));
            }
        }
        TraceFormat::Csv => {
            let mut reader = csv::Reader::from_reader(text.as_bytes());
            for record in reader.deserialize() {
                let record = record.map_err(|e| {
                    let line = e.position().map_or(1, |p| p.line() as usize);
                    at(line, e.to_string())
                })?;
                records.push((records.len() + 2, record));
            }
        }
    }
    if records.len() > MAX_QUERIES {
        return Err(at(MAX_QUERIES, format!("more than {MAX_QUERIES} queries")));
    }
    let (mut mixer, mut before, mut plan) = (Mixer::new(s), 0, Vec::with_capacity(records.len()));
    for (line, r) in records {
        if r.at_us < before {
            return Err(at(
                line,
                format!("time goes back, from {before} to {} us", r.at_us),
            ));
        }
        before = r.at_us;
        let planned = r.planned(s, &mut mixer);
        plan.push(planned.map_err(|error| at(line, error.to_string()))?);
    }
    Ok(Plan(plan))
}

/// Writes a plan as a trace.
///
/// # Errors
/// If the file can't be written or its ending is unknown.
pub fn export(path: &Path, plan: &Plan, s: &Scenario) -> Result<(), TraceError> {
    let text = render(plan, s, format_of(path)?);
    std::fs::write(path, text).map_err(|e| TraceError::File(path.to_owned(), e))
}

/// Writes a plan in one of the formats.
pub fn render(plan: &Plan, s: &Scenario, format: TraceFormat) -> Vec<u8> {
    let mut out = Vec::new();
    let records = plan.0.iter().map(|q| Record::of(q, s));
    // Writing to memory can't fail, and neither can records of plain fields.
    match format {
        TraceFormat::JsonLines => records.for_each(|r| {
            let _ = serde_json::to_writer(&mut out, &r);
            out.push(b'\n');
        }),
        TraceFormat::Csv => {
            let mut writer = csv::Writer::from_writer(&mut out);
            records.for_each(|r| drop(writer.serialize(r)));
            let _ = writer.flush();
        }
    }
    out
}

/// Fits a trace to a length: scaled in time and rate, and played again and again if it is to loop. What
/// comes from the rate's scale is spread between a query and the next.
pub fn fit(plan: &Plan, t: &TraceTable, length_us: u64, seed: u64) -> Plan {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x7472_6163);
    let mut out = Vec::new();
    let Some(last) = plan.0.last() else {
        return Plan::default();
    };
    let scaled = |at: u64| (at as f64 * t.time_scale) as u64;
    // A loop starts anew as far after the last query as queries lie apart on average.
    let round = scaled(last.at_us) + (scaled(last.at_us) / plan.0.len() as u64).max(1);
    let mut from = 0;
    while from < length_us {
        for (n, q) in plan.0.iter().enumerate() {
            let at = from + scaled(q.at_us);
            let next = plan
                .0
                .get(n + 1)
                .map_or(from + round, |q| from + scaled(q.at_us));
            let whole = t.rate_scale.floor();
            let copies = whole as u64 + u64::from(rng.random::<f64>() < t.rate_scale - whole);
            for c in 0..copies {
                let more = if c == 0 || next <= at {
                    0
                } else {
                    rng.random_range(0..next - at)
                };
                out.push(Planned {
                    at_us: at + more,
                    ..q.clone()
                });
            }
        }
        from += round;
        if !t.looped {
            break;
        }
    }
    out.retain(|q| q.at_us < length_us);
    out.sort_by_key(|q| q.at_us);
    Plan(out)
}
