//! The OpenSearch-style front: free taxis near a pickup, asked for in OpenSearch's query language. It
//! hands queries to the same core as the platform's front, one part for each district.

pub mod answer;
pub mod dsl;
pub mod hosts;
mod many;
mod pages;
mod params;
pub mod scroll;
mod search;

use crate::config::{IndexConfig, OpenSearchConfig};
use crate::core::settings::SiteSettings;
use crate::core::CoreHandle;
use crate::counters::Counters;
use crate::interface::{ClassId, QueryClass, TenantId};
use crate::net::http::{Request, Response, ResponseFuture};
use answer::Failure;
use bytes::Bytes;
use dsl::{Bad, Reader};
use params::Params;
use scroll::Scrolls;
use serde_json::Value;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

impl From<Bad> for Failure {
    fn from(bad: Bad) -> Self {
        Failure::new(400, bad.0, bad.1)
    }
}

fn illegal(reason: String) -> Failure {
    Failure::new(400, "illegal_argument_exception", reason)
}

struct Index {
    config: IndexConfig,
    class: ClassId,
    tenant: Option<TenantId>,
}

struct Shared {
    core: CoreHandle,
    counters: Counters,
    indices: BTreeMap<String, Index>,
    classes: Vec<QueryClass>,
    tenants: Vec<String>,
    scrolls: Mutex<Scrolls>,
    incarnation: u64,
    next: AtomicU64,
}

/// The front; clones share everything.
#[derive(Clone)]
pub struct OpenSearch(Arc<Shared>);

/// What the request's headers and parameters say of a search.
#[derive(Clone)]
struct Terms {
    arrived: Instant,
    timeout: Option<Duration>,
    left: Option<Duration>,
    allow_partial: bool,
    tenant: Option<String>,
    key: Option<String>,
}

type Answered = Result<Response, Failure>;

impl OpenSearch {
    /// The front over this core. `incarnation` must be new with each start of the process.
    pub fn new(
        config: &OpenSearchConfig,
        site: &SiteSettings,
        core: CoreHandle,
        counters: Counters,
        incarnation: u64,
    ) -> Self {
        let number =
            |names: &[String], name: &str| names.iter().position(|n| n == name).map(|n| n as u32);
        let index = |c: &IndexConfig| {
            let class = ClassId(number(&site.classes, &c.class)?);
            let tenant = c
                .tenant
                .as_ref()
                .and_then(|t| number(&site.tenants, t))
                .map(TenantId);
            Some((
                c.name.clone(),
                Index {
                    config: c.clone(),
                    class,
                    tenant,
                },
            ))
        };
        Self(Arc::new(Shared {
            core,
            counters,
            indices: config.index.iter().filter_map(index).collect(),
            classes: site.router.classes.clone(),
            tenants: site.tenants.clone(),
            scrolls: Mutex::new(Scrolls::new(incarnation, config.scroll_contexts)),
            incarnation,
            next: AtomicU64::new(0),
        }))
    }

    /// The answer to a request, or `None` for a path that is not this front's.
    pub fn answer(&self, request: &Request) -> Option<ResponseFuture> {
        let path: Vec<&str> = request.path.split('/').filter(|p| !p.is_empty()).collect();
        let (index, what) = match path[..] {
            ["_msearch"] => ("", "_msearch"),
            ["_search", "scroll"] => ("", "scroll"),
            ["_search", "scroll", "_all"] => ("_all", "scroll"),
            [index, what @ ("_search" | "_msearch" | "_count")] => (index, what),
            _ => return None,
        };
        let method = request.method.as_str();
        if !matches!((method, what), ("GET" | "POST", _) | ("DELETE", "scroll")) {
            let reason = format!(
                "Incorrect HTTP method for uri [{}] and method [{method}]",
                request.path
            );
            let error = Failure::new(405, "method_not_allowed_exception", reason);
            return Some(Box::pin(std::future::ready(error.response(index))));
        }
        self.0.counters.inc("opensearch.requests");
        let work: Pin<Box<dyn Future<Output = Answered> + Send>> = match what {
            "_search" => self.search(index, request),
            "_count" => self.count(index, request),
            "_msearch" => self.msearch(index, request),
            _ if method == "DELETE" => {
                let freed = self.free(index == "_all", request);
                Box::pin(std::future::ready(freed))
            }
            _ => {
                let page = self.page(request);
                Box::pin(std::future::ready(page))
            }
        };
        let (index, counters) = (index.to_owned(), self.0.counters.clone());
        Some(Box::pin(async move {
            work.await.unwrap_or_else(|error| {
                counters.inc("opensearch.errors");
                error.response(&index)
            })
        }))
    }

    /// An error that the server itself found, in this front's form.
    pub fn error(status: u16, reason: &str) -> Response {
        let kind = match status {
            400 => "parse_exception",
            404 => "resource_not_found_exception",
            429 | 503 => "rejected_execution_exception",
            _ => "illegal_argument_exception",
        };
        Failure::new(status, kind, reason).response("")
    }

    fn index(&self, name: &str) -> Result<&Index, Failure> {
        let unknown = || {
            Failure::new(
                404,
                "index_not_found_exception",
                format!("no such index [{name}]"),
            )
        };
        self.0.indices.get(name).ok_or_else(unknown)
    }

    fn scrolls(&self) -> MutexGuard<'_, Scrolls> {
        self.0
            .scrolls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn terms(&self, request: &Request, params: &Params, index: &Index) -> Result<Terms, Failure> {
        let flag = |name: &str| {
            match params.get(name) {
            None | Some("" | "true") => Ok(true),
            Some("false") => Ok(false),
            Some(other) => Err(illegal(format!(
                "Failed to parse value [{other}] as only [true] or [false] are allowed, for [{name}]"
            ))),
        }
        };
        let header = |name: &Option<String>| name.as_ref().and_then(|n| request.headers.get(n));
        let key = header(&index.config.key_header).map(str::to_owned);
        let plain = |k: &String| {
            !k.is_empty() && k.len() <= 128 && k.bytes().all(|b| b.is_ascii_graphic() && b != b',')
        };
        if key.as_ref().is_some_and(|k| !plain(k)) {
            return Err(illegal("the key's header can't be used".into()));
        }
        Ok(Terms {
            arrived: request.arrived,
            left: request.left(),
            timeout: params
                .get("timeout")
                .map(|t| dsl::time("timeout", t))
                .transpose()?,
            allow_partial: flag("allow_partial_search_results")?,
            tenant: header(&index.config.tenant_header).map(str::to_owned),
            key,
        })
    }

    fn reader<'a>(&self, index: &'a Index) -> Reader<'a> {
        Reader {
            district_field: &index.config.district_field,
            location_field: &index.config.location_field,
        }
    }
}

fn ok(body: &Value) -> Response {
    Response::json(200, Bytes::from(body.to_string()))
}
