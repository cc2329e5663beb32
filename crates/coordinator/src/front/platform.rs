//! The platform's own front: `POST /<class>` with the parts in JSON.

use crate::core::{Answer, CoreHandle, NewPart, NewQuery};
use crate::counters::{Counters, End};
use crate::interface::{ClassId, Idempotency, TenantId};
use crate::net::http::{Request, Response, ResponseFuture, Service};
use crate::ops::Readiness;
use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Longest time that a client may ask to wait, in milliseconds.
const MAX_WAIT_MS: u64 = 600_000;
/// Longest request id and idempotency key.
const MAX_ID_BYTES: usize = 128;
/// By how much the sum of the parts' shares may differ from 1, as they are rounded.
const MAX_ROUNDING_ERROR: f64 = 1e-3;

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
    max_parts: usize,
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

impl Bad {
    fn because(reason: &str) -> Self {
        Self::Request(reason.to_owned())
    }
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
            max_parts: site.limits.max_open,
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

    /// Reads a request as a query.
    fn query(&self, request: &Request) -> Result<NewQuery, Bad> {
        let path = request.path.trim_matches('/');
        let class = self
            .classes
            .iter()
            .position(|name| name == path)
            .ok_or(Bad::Path)?;
        if request.method != "POST" {
            return Err(Bad::Method);
        }
        let headers = &request.headers;
        if headers.get("Req-Kind").unwrap_or(path) != path {
            return Err(Bad::because("Req-Kind is not the path's class"));
        }
        let name = request_id(request)?;
        let wait = requested_wait(request)?;
        let key = self.idempotency_key(request, class)?;
        let body: RawBody =
            serde_json::from_slice(&request.body).map_err(|e| Bad::Request(e.to_string()))?;
        let parts = self.parts(body.tablets)?;
        let owner = headers.get("Req-Owner");
        let tenant = owner.and_then(|owner| self.tenants.iter().position(|name| name == owner));
        let is_retry = headers.get("Req-Retry") == Some("1");
        Ok(NewQuery {
            name: name.into(),
            class: ClassId(class as u32),
            tenant: tenant.map(|number| TenantId(number as u32)),
            arrived_at: request.arrived,
            client_wait: request.left().map_or(wait, |left| left.min(wait)),
            is_retry: self.marks_retry.then_some(is_retry),
            idempotency_key: key.map(Arc::from),
            parts,
            payload: Bytes::from(body.statement),
        })
    }

    fn idempotency_key<'a>(
        &self,
        request: &'a Request,
        class: usize,
    ) -> Result<Option<&'a str>, Bad> {
        let key = request.headers.get("Idempotency-Key");
        if key.is_some_and(|key| !is_plain(key) || key.contains(',')) {
            return Err(Bad::because("Idempotency-Key can't be used"));
        }
        // Without a key a retry could take effect twice.
        if self.keyed[class] && key.is_none() {
            return Err(Bad::because("Idempotency-Key is missing"));
        }
        Ok(key)
    }

    fn parts(&self, raw: Vec<RawPart>) -> Result<Vec<NewPart>, Bad> {
        if raw.is_empty() || raw.len() > self.max_parts {
            return Err(Bad::because("'tablets' has no parts or too many"));
        }
        let (mut seen, mut sum) = (BTreeSet::new(), 0.0);
        let mut parts = Vec::with_capacity(raw.len());
        for part in raw {
            if !seen.insert(part.tablet) {
                return Err(Bad::because("'tablet' names a shard twice"));
            }
            if self.shards.is_some_and(|shards| part.tablet >= shards) {
                return Err(Bad::because("'tablet' names no shard"));
            }
            if !(part.fraction > 0.0 && part.fraction <= 1.0) {
                return Err(Bad::because("'fraction' is no share"));
            }
            sum += part.fraction;
            parts.push(NewPart {
                shard: part.tablet,
                weight: part.fraction,
            });
        }
        if (sum - 1.0).abs() > MAX_ROUNDING_ERROR {
            return Err(Bad::because("the 'fraction's don't add up to 1"));
        }
        Ok(parts)
    }
}

/// Whether a text can stand in the hosts' lines, where a space or a line's end would begin another field.
fn is_plain(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_ID_BYTES
        && text.bytes().all(|byte| byte.is_ascii_graphic())
}

fn request_id(request: &Request) -> Result<&str, Bad> {
    let id = request
        .headers
        .get("Req-Id")
        .ok_or_else(|| Bad::because("Req-Id is missing"))?;
    if !is_plain(id) {
        return Err(Bad::because("Req-Id can't be used"));
    }
    Ok(id)
}

/// How long the client wants to wait.
fn requested_wait(request: &Request) -> Result<Duration, Bad> {
    request
        .headers
        .get("Req-Deadline-Ms")
        .and_then(|text| text.parse::<u64>().ok())
        .filter(|wait_ms| (1..=MAX_WAIT_MS).contains(wait_ms))
        .map(Duration::from_millis)
        .ok_or_else(|| Bad::because("Req-Deadline-Ms is missing or no time"))
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
    fn answer(&self, request: Request) -> ResponseFuture {
        let done = |r: Response| -> ResponseFuture { Box::pin(std::future::ready(r)) };
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
