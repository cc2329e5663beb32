//! Answers in OpenSearch's form: hits merged over districts, shard failures, errors.

use super::dsl::{Search, SortKey};
use crate::core::MissingPart;
use crate::interface::Outcome;
use crate::net::http::Response;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::cmp::Ordering;

/// What a host answers for its district.
#[derive(Deserialize)]
struct HostAnswer {
    hits: HostHits,
    #[serde(default)]
    timed_out: bool,
}

#[derive(Deserialize)]
struct HostHits {
    total: Option<Total>,
    #[serde(default)]
    hits: Vec<Value>,
}

#[derive(Deserialize, Serialize, Clone, Debug, PartialEq)]
struct Total {
    value: u64,
    #[serde(default = "eq")]
    relation: String,
}

fn eq() -> String {
    "eq".to_owned()
}

/// A district that is not in the answer.
#[derive(Debug, Clone)]
pub struct ShardFailure {
    /// Its shard.
    pub shard: u32,
    /// OpenSearch's type for what happened.
    pub kind: &'static str,
    /// What happened.
    pub reason: &'static str,
    /// Whether its time ran out.
    pub late: bool,
}

impl From<MissingPart> for ShardFailure {
    fn from(m: MissingPart) -> Self {
        let (kind, reason, late) = match m.last_outcome {
            None => (
                "no_shard_available_action_exception",
                "no host was asked in time",
                false,
            ),
            Some(Outcome::Timeout | Outcome::Cancelled) => {
                ("timeout_exception", "no answer in time", true)
            }
            Some(Outcome::Rejected) => (
                "rejected_execution_exception",
                "the host turned it away",
                false,
            ),
            Some(Outcome::ConnectFailed | Outcome::NotSent) => (
                "node_not_connected_exception",
                "no connection to a host",
                false,
            ),
            Some(Outcome::Reset) => ("node_disconnected_exception", "the connection broke", false),
            Some(Outcome::Error | Outcome::Ok) => ("exception", "the host failed", false),
        };
        Self {
            shard: m.shard,
            kind,
            reason,
            late,
        }
    }
}

/// The districts' hits put together.
#[derive(Debug, Clone, Default)]
pub struct Merged {
    total: u64,
    at_least: bool,
    /// Bytes that the hosts' answers took.
    pub bytes: usize,
    /// All hits, best first.
    pub hits: Vec<Value>,
    /// Districts that are not in it.
    pub failures: Vec<ShardFailure>,
    /// Districts that are.
    pub successful: usize,
}

/// Values of two hits for one sort key; a hit that has none comes last either way.
fn compare(a: &Value, b: &Value, descending: bool) -> Ordering {
    let plain = match (a, b) {
        (Value::Null, Value::Null) => return Ordering::Equal,
        (Value::Null, _) => return Ordering::Greater,
        (_, Value::Null) => return Ordering::Less,
        (Value::Number(x), Value::Number(y)) => match (x.as_i64(), y.as_i64()) {
            (Some(x), Some(y)) => x.cmp(&y),
            _ => x
                .as_f64()
                .unwrap_or(0.0)
                .total_cmp(&y.as_f64().unwrap_or(0.0)),
        },
        (Value::String(x), Value::String(y)) => x.cmp(y),
        (x, y) => x.to_string().cmp(&y.to_string()),
    };
    if descending {
        plain.reverse()
    } else {
        plain
    }
}

fn better(a: &Value, b: &Value, sort: &[SortKey]) -> Ordering {
    if sort.is_empty() {
        return compare(&a["_score"], &b["_score"], true);
    }
    let key = |n: usize, k: &SortKey| compare(&a["sort"][n], &b["sort"][n], k.descending);
    sort.iter()
        .enumerate()
        .map(|(n, k)| key(n, k))
        .find(|o| o.is_ne())
        .unwrap_or(Ordering::Equal)
}

/// Merges the hosts' answers. One that can't be read counts as a failed district.
pub fn merge(
    pieces: &[crate::core::PartAnswer],
    missing: Vec<MissingPart>,
    sort: &[SortKey],
) -> Merged {
    let mut m = Merged {
        failures: missing.into_iter().map(ShardFailure::from).collect(),
        ..Merged::default()
    };
    for p in pieces {
        m.bytes += p.value.len();
        let failed = |kind, reason, late| ShardFailure {
            shard: p.shard,
            kind,
            reason,
            late,
        };
        match serde_json::from_slice::<HostAnswer>(&p.value) {
            Ok(a) if a.timed_out => m.failures.push(failed(
                "timeout_exception",
                "the host ran out of time",
                true,
            )),
            Ok(a) => {
                m.successful += 1;
                let total = a.hits.total.unwrap_or(Total {
                    value: a.hits.hits.len() as u64,
                    relation: eq(),
                });
                m.total += total.value;
                m.at_least |= total.relation != "eq";
                m.hits.extend(a.hits.hits);
            }
            Err(_) => m.failures.push(failed(
                "parsing_exception",
                "the host's answer can't be read",
                false,
            )),
        }
    }
    // Stable: equal hits stay in the order of their districts.
    m.hits.sort_by(|a, b| better(a, b, sort));
    m
}

impl Merged {
    /// Whether some district's time ran out.
    pub fn late(&self) -> bool {
        self.failures.iter().any(|f| f.late)
    }

    /// Hits in all, as far as known.
    pub fn total(&self) -> u64 {
        self.total
    }

    fn shards(&self, index: &str) -> Value {
        let mut shards = json!({
            "total": self.successful + self.failures.len(),
            "successful": self.successful,
            "skipped": 0,
            "failed": self.failures.len(),
        });
        if !self.failures.is_empty() {
            shards["failures"] = self.failures.iter().map(|f| failure(index, f)).collect();
        }
        shards
    }

    /// The body of a search's answer.
    pub fn search(&self, index: &str, s: &Search, took: u128) -> Value {
        let page: Vec<&Value> = self.hits.iter().skip(s.from).take(s.size).collect();
        let best = page
            .iter()
            .filter_map(|h| h["_score"].as_f64())
            .fold(None, |a: Option<f64>, b| Some(a.map_or(b, |a| a.max(b))));
        json!({
            "took": took as u64,
            "timed_out": self.late(),
            "_shards": self.shards(index),
            "hits": {
                "total": {"value": self.total, "relation": if self.at_least { "gte" } else { "eq" }},
                "max_score": best,
                "hits": page,
            },
        })
    }

    /// The body of a count's answer.
    pub fn count(&self, index: &str) -> Value {
        json!({"count": self.total, "_shards": self.shards(index)})
    }
}

fn failure(index: &str, f: &ShardFailure) -> Value {
    json!({"shard": f.shard, "index": index, "reason": {"type": f.kind, "reason": f.reason}})
}

/// An error in OpenSearch's form.
#[derive(Debug, Clone)]
pub struct Failure {
    /// The status.
    pub status: u16,
    /// OpenSearch's type.
    pub kind: &'static str,
    /// The reason in words.
    pub reason: String,
    /// When to come back.
    pub retry_after: Option<std::time::Duration>,
    /// Districts that failed.
    pub shards: Vec<ShardFailure>,
}

impl Failure {
    /// An error without shards.
    pub fn new(status: u16, kind: &'static str, reason: impl Into<String>) -> Self {
        Self {
            status,
            kind,
            reason: reason.into(),
            retry_after: None,
            shards: Vec::new(),
        }
    }

    /// The body.
    pub fn body(&self, index: &str) -> Value {
        let mut error = json!({
            "root_cause": [{"type": self.kind, "reason": self.reason}],
            "type": self.kind,
            "reason": self.reason,
        });
        if !self.shards.is_empty() {
            error["phase"] = "query".into();
            error["failed_shards"] = self.shards.iter().map(|f| failure(index, f)).collect();
        }
        json!({"error": error, "status": self.status})
    }

    /// The whole response.
    pub fn response(&self, index: &str) -> Response {
        let response = Response::json(self.status, self.body(index).to_string());
        // OpenSearch's clients take whole seconds only (RFC 9110, 10.2.3).
        match self.retry_after {
            Some(d) => response.with("Retry-After", d.as_secs_f64().ceil().max(1.0).to_string()),
            None => response,
        }
    }
}
