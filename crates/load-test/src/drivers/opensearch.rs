//! The OpenSearch-style front: `POST /<class>/_search`, districts by a filter, the mark in another one.

use super::{not_served, post, Driver, ParsedAnswer, RequestContext};
use crate::scenario::{RepeatName, Scenario};
use serde::Deserialize;
use std::fmt::Write;

/// The OpenSearch-style API.
pub struct OpenSearch {
    classes: Vec<(String, bool)>,
    tenants: Vec<String>,
}

#[derive(Deserialize)]
struct Answer {
    #[serde(rename = "_shards")]
    shards: Shards,
    hits: Hits,
}

#[derive(Deserialize)]
struct Shards {
    total: usize,
    successful: usize,
    failed: usize,
    #[serde(default)]
    failures: Vec<Failure>,
}

#[derive(Deserialize)]
struct Failure {
    shard: u32,
}

#[derive(Deserialize)]
struct Hits {
    hits: Vec<Hit>,
}

#[derive(Deserialize)]
struct Hit {
    #[serde(rename = "_id")]
    id: String,
}

impl OpenSearch {
    /// For a scenario's classes, which are its indices.
    pub fn new(s: &Scenario) -> Self {
        let classes = s
            .classes
            .iter()
            .map(|c| (c.name.clone(), c.repeat == RepeatName::Keyed))
            .collect();
        Self {
            classes,
            tenants: s.tenants.iter().map(|t| t.name.clone()).collect(),
        }
    }
}

impl Driver for OpenSearch {
    fn request(&self, ask: &RequestContext, out: &mut Vec<u8>) {
        let q = ask.planned;
        let (class, keyed) = &self.classes[usize::from(q.class)];
        let mut headers = format!(
            "X-Opaque-Id: {}\r\nX-Cooperative: {}\r\n",
            ask.name,
            self.tenants[usize::from(q.tenant)]
        );
        if *keyed {
            let _ = write!(headers, "Idempotency-Key: {}\r\n", ask.key);
        }
        let districts: Vec<String> = q
            .parts
            .iter()
            .map(|p| format!("\"d{}\"", p.shard))
            .collect();
        let body = format!(
            "{{\"size\":10,\"query\":{{\"bool\":{{\"filter\":[{{\"terms\":{{\"district\":[{}]}}}},{{\"term\":{{\"lab\":\"{}\"}}}}]}}}}}}",
            districts.join(","),
            ask.mark()
        );
        post(
            out,
            &format!("/{class}/_search?timeout={}ms", ask.wait_ms),
            &headers,
            &body,
        );
    }

    fn read(&self, ask: &RequestContext, status: u16, body: &[u8]) -> ParsedAnswer {
        if status != 200 {
            return not_served(status);
        }
        let Ok(Answer { shards, hits }) = serde_json::from_slice::<Answer>(body) else {
            return ParsedAnswer::Unreadable;
        };
        let failed: Vec<u32> = shards.failures.iter().map(|f| f.shard).collect();
        let good: Vec<u32> = ask
            .planned
            .parts
            .iter()
            .map(|p| p.shard)
            .filter(|s| !failed.contains(s))
            .collect();
        let adds_up = shards.total == ask.planned.parts.len()
            && shards.successful == good.len()
            && shards.failed == failed.len();
        let value = |h: &Hit| u64::from_str_radix(h.id.split('-').next().unwrap_or(""), 16).ok();
        match hits.hits.iter().map(value).collect::<Option<Vec<u64>>>() {
            Some(mut values) if adds_up => {
                values.sort_unstable();
                values.dedup();
                ParsedAnswer::Served {
                    full: failed.is_empty(),
                    shards: good,
                    values,
                }
            }
            _ => ParsedAnswer::Unreadable,
        }
    }
}
