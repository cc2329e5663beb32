//! The platform's own front: `POST /<class>` with the parts in JSON.

use crate::core::{Answer, CoreHandle, NewPart, NewQuery};
use crate::counters::{Counters, End};
use crate::interface::{ClassId, Idempotency, TenantId};
use crate::net::http::{Answering, Request, Response, Service};
use crate::ops::Readiness;
use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Longest time that a client may ask us to wait.
const LONGEST_WAIT_MS: u64 = 600_000;
/// By how much the parts' shares may miss 1, as they are rounded.
const ROUNDING: f64 = 1e-3;

#[derive(Deserialize)]
struct RawBody {
    tablets: Vec<RawPart>,
    statement: String,
}

#[derive(Deserialize)]
struct RawPart {
    tablet: u32,
    fraction: f64,
}

#[derive(Serialize)]
struct RawPiece<'a> {
    tablet: u32,
    cell: &'a str,
}

/// What the front needs to know of the site.
pub struct Platform {
    core: CoreHandle,
    counters: Counters,
    classes: Vec<String>,
    tenants: Vec<String>,
    marks_retry: bool,
    most_parts: usize,
    /// Number of shards, and the classes whose parts go by a key.
    shards: Option<u32>,
    keyed: Vec<bool>,
    /// What health goes by; without an operator's address a process that answers is healthy.
    readiness: Option<Readiness>,
}

/// Why a request is no query.
#[derive(Debug, thiserror::Error, PartialEq)]
enum Bad {
    #[error("{0}")]
    Request(String),
    #[error("no such path")]
    Path,
    #[error("only POST here")]
    Method,
}

impl Platform {
    /// The front of this core, for these classes and tenants.
    pub fn new(
        core: CoreHandle,
        counters: Counters,
        site: &crate::core::settings::SiteSettings,
        readiness: Option<Readiness>,
    ) -> Self {
        Self {
            core,
            counters,
            classes: site.classes.clone(),
            tenants: site.tenants.clone(),
            marks_retry: site.clients_mark_retries,
            most_parts: site.limits.max_open,
            shards: site.limits.shards,
            readiness,
            keyed: site
                .router
                .classes
                .iter()
                .map(|c| matches!(c.idempotency, Idempotency::Keyed(_)))
                .collect(),
        }
    }

    fn query(&self, r: &Request) -> Result<NewQuery, Bad> {
        let path = r.path.trim_matches('/');
        let class = self
            .classes
            .iter()
            .position(|c| c == path)
            .ok_or(Bad::Path)?;
        if r.method != "POST" {
            return Err(Bad::Method);
        }
        let bad = |what: &str| Bad::Request(what.to_owned());
        let kind = r.headers.get("Req-Kind").unwrap_or(path);
        if kind != path {
            return Err(bad("Req-Kind is not the path's class"));
        }
        let name = r
            .headers
            .get("Req-Id")
            .ok_or_else(|| bad("Req-Id is missing"))?;
        // It goes into the hosts' lines, where a space or a line's end would be another field.
        let plain =
            |s: &str| !s.is_empty() && s.len() <= 128 && s.bytes().all(|b| b.is_ascii_graphic());
        if !plain(name) {
            return Err(bad("Req-Id can't be used"));
        }
        let wait = r
            .headers
            .get("Req-Deadline-Ms")
            .and_then(|d| d.parse::<u64>().ok());
        let wait = wait.filter(|d| (1..=LONGEST_WAIT_MS).contains(d));
        let wait = wait.ok_or_else(|| bad("Req-Deadline-Ms is missing or no time"))?;
        let wait = Duration::from_millis(wait);
        let key = r.headers.get("Idempotency-Key");
        if key.is_some_and(|k| !plain(k) || k.contains(',')) {
            return Err(bad("Idempotency-Key can't be used"));
        }
        // Without one a repeat could take effect twice.
        if self.keyed[class] && key.is_none() {
            return Err(bad("Idempotency-Key is missing"));
        }
        let body: RawBody =
            serde_json::from_slice(&r.body).map_err(|e| Bad::Request(e.to_string()))?;
        if body.tablets.is_empty() || body.tablets.len() > self.most_parts {
            return Err(bad("'tablets' has no parts or too many"));
        }
        let (mut seen, mut sum) = (BTreeSet::new(), 0.0);
        let mut parts = Vec::with_capacity(body.tablets.len());
        for p in body.tablets {
            if !seen.insert(p.tablet) {
                return Err(bad("'tablet' names a shard twice"));
            }
            if self.shards.is_some_and(|n| p.tablet >= n) {
                return Err(bad("'tablet' names no shard"));
            }
            if !(p.fraction > 0.0 && p.fraction <= 1.0) {
                return Err(bad("'fraction' is no share"));
            }
            sum += p.fraction;
            parts.push(NewPart {
                shard: p.tablet,
                weight: p.fraction,
            });
        }
        if (sum - 1.0).abs() > ROUNDING {
            return Err(bad("the 'fraction's don't add up to 1"));
        }
        let owner = r.headers.get("Req-Owner");
        let tenant = owner.and_then(|o| self.tenants.iter().position(|t| t == o));
        let retry = r.headers.get("Req-Retry") == Some("1");
        Ok(NewQuery {
            name: name.into(),
            class: ClassId(class as u32),
            tenant: tenant.map(|t| TenantId(t as u32)),
            arrived_at: r.arrived,
            client_wait: r.left().map_or(wait, |left| left.min(wait)),
            is_retry: self.marks_retry.then_some(retry),
            idempotency_key: key.map(Arc::from),
            parts,
            payload: Bytes::from(body.statement),
        })
    }
}

fn served(full: bool, pieces: &[crate::core::PartAnswer]) -> Option<Bytes> {
    let mut out = BytesMut::new();
    out.put_slice(format!("{{\"full\":{full},\"pieces\":[").as_bytes());
    for (n, p) in pieces.iter().enumerate() {
        // A value that is no text can't be passed on as it was given.
        let cell = std::str::from_utf8(&p.value).ok()?;
        out.put_slice(if n > 0 { b"," } else { b"" });
        out.put_slice(
            &serde_json::to_vec(&RawPiece {
                tablet: p.shard,
                cell,
            })
            .ok()?,
        );
    }
    out.put_slice(b"]}");
    Some(out.freeze())
}

/// The wire form of an answer to a query of this class.
fn response(answer: Option<Answer>, class: usize) -> Response {
    let (response, end) = match answer {
        Some(Answer::NameTaken) => (
            Response::text(409, "Req-Id belongs to an open request\n"),
            End::Errors,
        ),
        Some(Answer::Served {
            complete: full,
            parts: pieces,
            ..
        }) => match served(full, &pieces) {
            Some(body) => (Response::json(200, body), End::Ok),
            None => (
                Response::text(502, "a host's value is no text\n"),
                End::Errors,
            ),
        },
        Some(Answer::Rejected { retry_after, .. }) => (
            Response::text(429, "refused\n").retry_after(retry_after),
            End::Shed,
        ),
        Some(Answer::Failed { retry_after, .. }) => (
            Response::text(504, "failed\n").retry_after(retry_after),
            End::Errors,
        ),
        None => (Response::text(500, "stopping\n"), End::Errors),
    };
    response.ends(class, end)
}

impl Service for Platform {
    fn answer(&self, request: Request) -> Answering {
        let done = |r: Response| -> Answering { Box::pin(std::future::ready(r)) };
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/_health") => {
                return done(
                    match self
                        .readiness
                        .as_ref()
                        .and_then(Readiness::not_ready_reason)
                    {
                        None => Response::text(200, "ok\n"),
                        Some(why) => Response::text(503, format!("{why}\n")),
                    },
                )
            }
            ("GET", "/_counters") => return done(Response::text(200, self.counters.text())),
            (_, "/_health" | "/_counters") => return done(self.error(405, "only GET here")),
            _ => {}
        }
        match self.query(&request) {
            Ok(query) => {
                let class = query.class.0 as usize;
                let ticket = self.core.submit(query);
                Box::pin(async move { response(ticket.await, class) })
            }
            Err(e) => {
                self.counters.inc("requests.bad");
                let status = match e {
                    Bad::Request(_) => 400,
                    Bad::Path => 404,
                    Bad::Method => 405,
                };
                done(self.error(status, &e.to_string()))
            }
        }
    }

    fn error(&self, status: u16, reason: &str) -> Response {
        Response::text(status, format!("{reason}\n"))
    }

    fn no_slot(&self, request: &Request) -> Response {
        let answer = self.error(503, "too many clients");
        match self.query(request) {
            Ok(query) => answer.ends(query.class.0 as usize, End::Shed),
            Err(_) => answer,
        }
    }
}
