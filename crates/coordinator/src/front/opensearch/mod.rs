//! The OpenSearch-style API: searches for free taxis near a pickup in OpenSearch's query language. Its queries go to
//! the same core as those of the platform's API, with one part for each district.

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
use dsl::{QueryError, SearchParser};
use params::Params;
use scroll::ScrollContexts;
use serde_json::Value;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

impl From<QueryError> for Failure {
    fn from(error: QueryError) -> Self {
        Failure::new(400, error.0, error.1)
    }
}

fn illegal_argument(reason: String) -> Failure {
    Failure::new(400, "illegal_argument_exception", reason)
}

struct Index {
    config: IndexConfig,
    class: ClassId,
    tenant: Option<TenantId>,
}

struct OpenSearchState {
    core: CoreHandle,
    counters: Counters,
    indices: BTreeMap<String, Index>,
    classes: Vec<QueryClass>,
    tenants: Vec<String>,
    scrolls: Mutex<ScrollContexts>,
    /// Differs at each start of the process; part of query names.
    incarnation: u64,
    /// The number of the next query of this process.
    next_query: AtomicU64,
}

/// The OpenSearch-style API. Clones share the state.
#[derive(Clone)]
pub struct OpenSearch(Arc<OpenSearchState>);

/// The options of a search from the request's headers and parameters.
#[derive(Clone)]
struct SearchOptions {
    arrived: Instant,
    /// The timeout from the parameters.
    timeout: Option<Duration>,
    /// The time until the client's deadline, if the request has one.
    left: Option<Duration>,
    allow_partial: bool,
    tenant: Option<String>,
    key: Option<String>,
}

type ResponseResult = Result<Response, Failure>;

impl OpenSearch {
    /// Creates the API, which sends its queries to `core`. `incarnation` must differ at each start of the process.
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
        Self(Arc::new(OpenSearchState {
            core,
            counters,
            indices: config.index.iter().filter_map(index).collect(),
            classes: site.router.classes.clone(),
            tenants: site.tenants.clone(),
            scrolls: Mutex::new(ScrollContexts::new(incarnation, config.scroll_contexts)),
            incarnation,
            next_query: AtomicU64::new(0),
        }))
    }

    /// The response to a request, or `None` if its path does not belong to this API.
    pub fn answer(&self, request: &Request) -> Option<ResponseFuture> {
        let path: Vec<&str> = request.path.split('/').filter(|p| !p.is_empty()).collect();
        let (index, operation) = match path[..] {
            ["_msearch"] => ("", "_msearch"),
            ["_search", "scroll"] => ("", "scroll"),
            ["_search", "scroll", "_all"] => ("_all", "scroll"),
            [index, operation @ ("_search" | "_msearch" | "_count")] => (index, operation),
            _ => return None,
        };
        let method = request.method.as_str();
        if !matches!(
            (method, operation),
            ("GET" | "POST", _) | ("DELETE", "scroll")
        ) {
            let reason = format!(
                "Incorrect HTTP method for uri [{}] and method [{method}]",
                request.path
            );
            let error = Failure::new(405, "method_not_allowed_exception", reason);
            return Some(Box::pin(std::future::ready(error.response(index))));
        }
        self.0.counters.inc("opensearch.requests");
        let work: Pin<Box<dyn Future<Output = ResponseResult> + Send>> = match operation {
            "_search" => self.search(index, request),
            "_count" => self.count(index, request),
            "_msearch" => self.msearch(index, request),
            _ if method == "DELETE" => {
                let response = self.free_scrolls(index == "_all", request);
                Box::pin(std::future::ready(response))
            }
            _ => {
                let response = self.scroll_page(request);
                Box::pin(std::future::ready(response))
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

    /// The response for an error that the HTTP server found, in OpenSearch's format.
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

    fn scrolls(&self) -> MutexGuard<'_, ScrollContexts> {
        self.0
            .scrolls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn search_options(
        &self,
        request: &Request,
        params: &Params,
        index: &Index,
    ) -> Result<SearchOptions, Failure> {
        let bool_param = |name: &str| {
            match params.get(name) {
            None | Some("" | "true") => Ok(true),
            Some("false") => Ok(false),
            Some(other) => Err(illegal_argument(format!(
                "Failed to parse value [{other}] as only [true] or [false] are allowed, for [{name}]"
            ))),
        }
        };
        let header = |name: &Option<String>| name.as_ref().and_then(|n| request.headers.get(n));
        let key = header(&index.config.key_header).map(str::to_owned);
        let is_valid_key = |k: &String| {
            !k.is_empty() && k.len() <= 128 && k.bytes().all(|b| b.is_ascii_graphic() && b != b',')
        };
        if key.as_ref().is_some_and(|k| !is_valid_key(k)) {
            return Err(illegal_argument("the key's header can't be used".into()));
        }
        Ok(SearchOptions {
            arrived: request.arrived,
            left: request.left(),
            timeout: params
                .get("timeout")
                .map(|t| dsl::parse_time("timeout", t))
                .transpose()?,
            allow_partial: bool_param("allow_partial_search_results")?,
            tenant: header(&index.config.tenant_header).map(str::to_owned),
            key,
        })
    }

    fn search_parser<'a>(&self, index: &'a Index) -> SearchParser<'a> {
        SearchParser {
            district_field: &index.config.district_field,
            location_field: &index.config.location_field,
        }
    }
}

fn ok_response(body: &Value) -> Response {
    Response::json(200, Bytes::from(body.to_string()))
}
