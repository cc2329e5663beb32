//! Responses in OpenSearch's format: hits merged over districts, shard failures and errors.

use super::dsl::{Search, SortKey};
use crate::core::MissingPart;
use crate::interface::Outcome;
use crate::net::http::Response;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::cmp::Ordering;

/// A host's answer for its district.
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
    #[serde(default = "relation_eq")]
    relation: String,
}

fn relation_eq() -> String {
    "eq".to_owned()
}

/// A district that is missing from the answer.
#[derive(Debug, Clone)]
pub struct ShardFailure {
    /// The district's shard.
    pub shard: u32,
    /// OpenSearch's type of the error.
    pub kind: &'static str,
    /// The reason in words.
    pub reason: &'static str,
    /// Whether the time for the district ran out.
    pub timed_out: bool,
}

impl From<MissingPart> for ShardFailure {
    fn from(part: MissingPart) -> Self {
        let (kind, reason, timed_out) = match part.last_outcome {
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
            shard: part.shard,
            kind,
            reason,
            timed_out,
        }
    }
}

/// The merged hits of all districts.
#[derive(Debug, Clone, Default)]
pub struct MergedHits {
    total: u64,
    at_least: bool,
    /// Size of the hosts' answers, in bytes.
    pub bytes: usize,
    /// All hits, best first.
    pub hits: Vec<Value>,
    /// The districts whose hits are missing.
    pub failures: Vec<ShardFailure>,
    /// Number of districts whose hits are included.
    pub successful: usize,
}

/// Compares the values of two hits for one sort key. A null value comes last in either direction.
fn compare_values(a: &Value, b: &Value, descending: bool) -> Ordering {
    let ascending = match (a, b) {
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
        ascending.reverse()
    } else {
        ascending
    }
}

/// Compares two hits by the sort keys, or by score if there are none; the better hit is less.
fn compare_hits(a: &Value, b: &Value, sort: &[SortKey]) -> Ordering {
    if sort.is_empty() {
        return compare_values(&a["_score"], &b["_score"], true);
    }
    let key = |n: usize, k: &SortKey| compare_values(&a["sort"][n], &b["sort"][n], k.descending);
    sort.iter()
        .enumerate()
        .map(|(n, k)| key(n, k))
        .find(|o| o.is_ne())
        .unwrap_or(Ordering::Equal)
}

/// Merges the hosts' answers. One that can't be parsed counts as a failed district.
pub fn merge(
    parts: &[crate::core::PartAnswer],
    missing: Vec<MissingPart>,
    sort: &[SortKey],
) -> MergedHits {
    let mut merged = MergedHits {
        failures: missing.into_iter().map(ShardFailure::from).collect(),
        ..MergedHits::default()
    };
    for part in parts {
        merged.bytes += part.value.len();
        let shard_failure = |kind, reason, timed_out| ShardFailure {
            shard: part.shard,
            kind,
            reason,
            timed_out,
        };
        match serde_json::from_slice::<HostAnswer>(&part.value) {
            Ok(a) if a.timed_out => merged.failures.push(shard_failure(
                "timeout_exception",
                "the host ran out of time",
                true,
            )),
            Ok(a) => {
                merged.successful += 1;
                let total = a.hits.total.unwrap_or(Total {
                    value: a.hits.hits.len() as u64,
                    relation: relation_eq(),
                });
                merged.total += total.value;
                merged.at_least |= total.relation != "eq";
                merged.hits.extend(a.hits.hits);
            }
            Err(_) => merged.failures.push(shard_failure(
                "parsing_exception",
                "the host's answer can't be read",
                false,
            )),
        }
    }
    // The sort is stable: equal hits keep the order of their districts.
    merged.hits.sort_by(|a, b| compare_hits(a, b, sort));
    merged
}

impl MergedHits {
    /// Whether the time for any district ran out.
    pub fn any_timed_out(&self) -> bool {
        self.failures.iter().any(|f| f.timed_out)
    }

    /// The total number of hits that the hosts reported; a lower bound if a host's total is one.
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
            shards["failures"] = self
                .failures
                .iter()
                .map(|f| failure_json(index, f))
                .collect();
        }
        shards
    }

    /// The JSON body of a search response. `took` is in milliseconds.
    pub fn search_body(&self, index: &str, s: &Search, took: u128) -> Value {
        let page: Vec<&Value> = self.hits.iter().skip(s.from).take(s.size).collect();
        let best = page
            .iter()
            .filter_map(|h| h["_score"].as_f64())
            .fold(None, |a: Option<f64>, b| Some(a.map_or(b, |a| a.max(b))));
        json!({
            "took": took as u64,
            "timed_out": self.any_timed_out(),
            "_shards": self.shards(index),
            "hits": {
                "total": {"value": self.total, "relation": if self.at_least { "gte" } else { "eq" }},
                "max_score": best,
                "hits": page,
            },
        })
    }

    /// The JSON body of a count response.
    pub fn count_body(&self, index: &str) -> Value {
        json!({"count": self.total, "_shards": self.shards(index)})
    }
}

fn failure_json(index: &str, f: &ShardFailure) -> Value {
    json!({"shard": f.shard, "index": index, "reason": {"type": f.kind, "reason": f.reason}})
}

/// An error response in OpenSearch's format.
#[derive(Debug, Clone)]
pub struct Failure {
    /// The HTTP status.
    pub status: u16,
    /// OpenSearch's type of the error.
    pub kind: &'static str,
    /// The reason in words.
    pub reason: String,
    /// The time after which the client may retry.
    pub retry_after: Option<std::time::Duration>,
    /// The districts that failed.
    pub shards: Vec<ShardFailure>,
}

impl Failure {
    /// Creates an error without failed districts.
    pub fn new(status: u16, kind: &'static str, reason: impl Into<String>) -> Self {
        Self {
            status,
            kind,
            reason: reason.into(),
            retry_after: None,
            shards: Vec::new(),
        }
    }

    /// The JSON body.
    pub fn body(&self, index: &str) -> Value {
        let mut error = json!({
            "root_cause": [{"type": self.kind, "reason": self.reason}],
            "type": self.kind,
            "reason": self.reason,
        });
        if !self.shards.is_empty() {
            error["phase"] = "query".into();
            error["failed_shards"] = self.shards.iter().map(|f| failure_json(index, f)).collect();
        }
        json!({"error": error, "status": self.status})
    }

    /// The HTTP response.
    pub fn response(&self, index: &str) -> Response {
        let response = Response::json(self.status, self.body(index).to_string());
        // OpenSearch's clients accept whole seconds only (RFC 9110, 10.2.3).
        match self.retry_after {
            Some(d) => response.with("Retry-After", d.as_secs_f64().ceil().max(1.0).to_string()),
            None => response,
        }
    }
}
