//! The platform's API: `POST /<class>` with the parts in JSON, and the health and counters pages.

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

/// Maximum wait that a client may ask for, in milliseconds.
const MAX_WAIT_MS: u64 = 600_000;
/// Maximum length of a request id or idempotency key, in bytes.
const MAX_ID_BYTES: usize = 128;
/// Maximum difference of the sum of the parts' fractions from 1, as clients round them.
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
struct RawPartAnswer<'a> {
    tablet: u32,
    cell: &'a str,
}

/// The platform's API for the classes and tenants of the site.
pub struct Platform {
    core: CoreHandle,
    counters: Counters,
    classes: Vec<String>,
    tenants: Vec<String>,
    marks_retry: bool,
    max_parts: usize,
    /// The number of shards, if it is known; shard numbers are below it.
    shards: Option<u32>,
    /// Whether requests need an idempotency key, by class.
    keyed: Vec<bool>,
    /// The readiness that health checks report; `None` without an operator's address, where any process that answers
    /// is healthy.
    readiness: Option<Readiness>,
}

/// The reason why a request is not a valid query.
#[derive(Debug, thiserror::Error, PartialEq)]
enum RequestError {
    #[error("{0}")]
    Invalid(String),
    #[error("no such path")]
    UnknownPath,
    #[error("only POST here")]
    WrongMethod,
}

impl RequestError {
    fn invalid(reason: &str) -> Self {
        Self::Invalid(reason.to_owned())
    }
}

impl Platform {
    /// Creates the API, which sends its queries to `core`.
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

    /// Parses a request into a query.
    fn parse_query(&self, request: &Request) -> Result<NewQuery, RequestError> {
        let path = request.path.trim_matches('/');
        let class = self
            .classes
            .iter()
            .position(|name| name == path)
            .ok_or(RequestError::UnknownPath)?;
        if request.method != "POST" {
            return Err(RequestError::WrongMethod);
        }
        let headers = &request.headers;
        if headers.get("Req-Kind").unwrap_or(path) != path {
            return Err(RequestError::invalid("Req-Kind is not the path's class"));
        }
        let name = request_id(request)?;
        let wait = requested_wait(request)?;
        let key = self.idempotency_key(request, class)?;
        let body: RawBody = serde_json::from_slice(&request.body)
            .map_err(|e| RequestError::Invalid(e.to_string()))?;
        let parts = self.parse_parts(body.tablets)?;
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
    ) -> Result<Option<&'a str>, RequestError> {
        let key = request.headers.get("Idempotency-Key");
        if key.is_some_and(|key| !is_plain(key) || key.contains(',')) {
            return Err(RequestError::invalid("Idempotency-Key can't be used"));
        }
        // Without an idempotency key a retry could take effect twice.
        if self.keyed[class] && key.is_none() {
            return Err(RequestError::invalid("Idempotency-Key is missing"));
        }
        Ok(key)
    }

    fn parse_parts(&self, raw: Vec<RawPart>) -> Result<Vec<NewPart>, RequestError> {
        if raw.is_empty() || raw.len() > self.max_parts {
            return Err(RequestError::invalid("'tablets' has no parts or too many"));
        }
        let (mut seen, mut sum) = (BTreeSet::new(), 0.0);
        let mut parts = Vec::with_capacity(raw.len());
        for part in raw {
            if !seen.insert(part.tablet) {
                return Err(RequestError::invalid("'tablet' names a shard twice"));
            }
            if self.shards.is_some_and(|shards| part.tablet >= shards) {
                return Err(RequestError::invalid("'tablet' names no shard"));
            }
            if !(part.fraction > 0.0 && part.fraction <= 1.0) {
                return Err(RequestError::invalid("'fraction' is no share"));
            }
            sum += part.fraction;
            parts.push(NewPart {
                shard: part.tablet,
                weight: part.fraction,
            });
        }
        if (sum - 1.0).abs() > MAX_ROUNDING_ERROR {
            return Err(RequestError::invalid("the 'fraction's don't add up to 1"));
        }
        Ok(parts)
    }
}

/// Whether a text can be a field in the line protocol with hosts, where white space would start another field.
fn is_plain(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_ID_BYTES
        && text.bytes().all(|byte| byte.is_ascii_graphic())
}

fn request_id(request: &Request) -> Result<&str, RequestError> {
    let id = request
        .headers
        .get("Req-Id")
        .ok_or_else(|| RequestError::invalid("Req-Id is missing"))?;
    if !is_plain(id) {
        return Err(RequestError::invalid("Req-Id can't be used"));
    }
    Ok(id)
}

/// The wait that the client asks for, of 1 to [`MAX_WAIT_MS`] milliseconds.
fn requested_wait(request: &Request) -> Result<Duration, RequestError> {
    request
        .headers
        .get("Req-Deadline-Ms")
        .and_then(|text| text.parse::<u64>().ok())
        .filter(|wait_ms| (1..=MAX_WAIT_MS).contains(wait_ms))
        .map(Duration::from_millis)
        .ok_or_else(|| RequestError::invalid("Req-Deadline-Ms is missing or no time"))
}

/// The JSON body of a served query; `None` if a value is not UTF-8.
fn served_body(complete: bool, parts: &[crate::core::PartAnswer]) -> Option<Bytes> {
    let mut out = BytesMut::new();
    out.put_slice(format!("{{\"full\":{complete},\"pieces\":[").as_bytes());
    for (index, part) in parts.iter().enumerate() {
        // A value that is not UTF-8 can't be passed on unchanged in JSON.
        let cell = std::str::from_utf8(&part.value).ok()?;
        out.put_slice(if index > 0 { b"," } else { b"" });
        out.put_slice(
            &serde_json::to_vec(&RawPartAnswer {
                tablet: part.shard,
                cell,
            })
            .ok()?,
        );
    }
    out.put_slice(b"]}");
    Some(out.freeze())
}

/// The HTTP response to a query of this class; `None` means that the core has ended.
fn response(answer: Option<Answer>, class: usize) -> Response {
    let (response, end) = match answer {
        Some(Answer::NameTaken) => (
            Response::text(409, "Req-Id belongs to an open request\n"),
            End::Errors,
        ),
        Some(Answer::Served {
            complete, parts, ..
        }) => match served_body(complete, &parts) {
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
        let ready_response =
            |response: Response| -> ResponseFuture { Box::pin(std::future::ready(response)) };
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/_health") => {
                return ready_response(
                    match self
                        .readiness
                        .as_ref()
                        .and_then(Readiness::not_ready_reason)
                    {
                        None => Response::text(200, "ok\n"),
                        Some(reason) => Response::text(503, format!("{reason}\n")),
                    },
                )
            }
            ("GET", "/_counters") => {
                return ready_response(Response::text(200, self.counters.text()))
            }
            (_, "/_health" | "/_counters") => {
                return ready_response(self.error(405, "only GET here"))
            }
            _ => {}
        }
        match self.parse_query(&request) {
            Ok(query) => {
                let class = query.class.0 as usize;
                let answer = self.core.submit(query);
                Box::pin(async move { response(answer.await, class) })
            }
            Err(e) => {
                self.counters.inc("requests.bad");
                let status = match e {
                    RequestError::Invalid(_) => 400,
                    RequestError::UnknownPath => 404,
                    RequestError::WrongMethod => 405,
                };
                ready_response(self.error(status, &e.to_string()))
            }
        }
    }

    fn error(&self, status: u16, reason: &str) -> Response {
        Response::text(status, format!("{reason}\n"))
    }

    fn no_slot(&self, request: &Request) -> Response {
        let answer = self.error(503, "too many clients");
        match self.parse_query(request) {
            Ok(query) => answer.ends(query.class.0 as usize, End::Shed),
            Err(_) => answer,
        }
    }
}
