//! The OpenSearch-style front: free taxis near a pickup, asked for in OpenSearch's query language. It
//! hands queries to the same core as the platform's front, one part for each district.

pub mod answer;
pub mod dsl;
pub mod hosts;
pub mod scroll;

use crate::config::{IndexConfig, OpenSearchConfig};
use crate::core::settings::Site;
use crate::core::{Answer, Core, NewPart, NewQuery};
use crate::counters::{Counters, End};
use crate::interface::{Cause, Class, ClassId, Outcome, Repeat, TenantId};
use crate::net::http::{Answering, Request, Response};
use answer::{merge, Failure, Merged};
use bytes::Bytes;
use dsl::{Bad, Reader, Search};
use scroll::Scrolls;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Searches that one `_msearch` may hold.
const MOST_SEARCHES: usize = 32;
/// Sums of shares may fall this short by rounding.
const ROUNDING: f64 = 1e-9;

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
    core: Core,
    counters: Counters,
    indices: BTreeMap<String, Index>,
    classes: Vec<Class>,
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
        site: &Site,
        core: Core,
        counters: Counters,
        incarnation: u64,
    ) -> Self {
        let number = |names: &[String], name: &str| names.iter().position(|n| n == name).map(|n| n as u32);
        let index = |c: &IndexConfig| {
            let class = ClassId(number(&site.classes, &c.class)?);
            let tenant = c.tenant.as_ref().and_then(|t| number(&site.tenants, t)).map(TenantId);
            Some((c.name.clone(), Index { config: c.clone(), class, tenant }))
        };
        Self(Arc::new(Shared {
            core,
            counters,
            indices: config.index.iter().filter_map(index).collect(),
            classes: site.settings.classes.clone(),
            tenants: site.tenants.clone(),
            scrolls: Mutex::new(Scrolls::new(incarnation, config.scroll_contexts)),
            incarnation,
            next: AtomicU64::new(0),
        }))
    }

    /// The answer to a request, or `None` for a path that is not this front's.
    pub fn answer(&self, request: &Request) -> Option<Answering> {
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
            let reason = format!("Incorrect HTTP method for uri [{}] and method [{method}]", request.path);
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
        let unknown = || Failure::new(404, "index_not_found_exception", format!("no such index [{name}]"));
        self.0.indices.get(name).ok_or_else(unknown)
    }

    fn scrolls(&self) -> MutexGuard<'_, Scrolls> {
        self.0.scrolls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn terms(&self, request: &Request, params: &Params, index: &Index) -> Result<Terms, Failure> {
        let flag = |name: &str| match params.get(name) {
            None | Some("" | "true") => Ok(true),
            Some("false") => Ok(false),
            Some(other) => Err(illegal(format!(
                "Failed to parse value [{other}] as only [true] or [false] are allowed, for [{name}]"
            ))),
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
            timeout: params.get("timeout").map(|t| dsl::time("timeout", t)).transpose()?,
            allow_partial: flag("allow_partial_search_results")?,
            tenant: header(&index.config.tenant_header).map(str::to_owned),
            key,
        })
    }

    /// Runs one search over its districts: one query for the core, one final answer.
    async fn run(&self, index_name: String, search: Search, terms: Terms) -> Result<Merged, Failure> {
        let index = self.index(&index_name)?;
        let shards = match &search.districts {
            None => index.config.districts.values().copied().collect(),
            // A district that is not configured has no documents.
            Some(names) => {
                names.iter().filter_map(|n| index.config.districts.get(n).copied()).collect::<Vec<_>>()
            }
        };
        if shards.is_empty() {
            return Ok(Merged::default());
        }
        let class = &self.0.classes[index.class.0 as usize];
        if class.repeat != Repeat::Safe && terms.key.is_none() {
            let name = index.config.key_header.as_deref().unwrap_or("key_header");
            return Err(illegal(format!("index [{index_name}] needs a key in the header [{name}]")));
        }
        let number = |t: &String| self.0.tenants.iter().position(|n| n == t).map(|n| TenantId(n as u32));
        let wait = search.timeout.or(terms.timeout).unwrap_or(class.limit).min(class.limit);
        let wait = terms.left.map_or(wait, |left| left.min(wait));
        let n = self.0.next.fetch_add(1, Ordering::Relaxed);
        let count = shards.len();
        let weight = 1.0 / count as f64;
        self.0.counters.inc("opensearch.searches");
        let ticket = self.0.core.submit(NewQuery {
            name: format!("{:x}-{n:x}", self.0.incarnation).into(),
            class: index.class,
            tenant: terms.tenant.as_ref().and_then(number).or(index.tenant),
            arrived: terms.arrived,
            wait,
            repeat: None,
            key: terms.key.as_deref().map(Arc::from),
            parts: shards.into_iter().map(|shard| NewPart { shard, weight }).collect(),
            payload: hosts::payload(&index_name, &search.forward),
        });
        let stopping = || Failure::new(503, "node_closed_exception", "the coordinator is stopping");
        let read = |answer: Answer| match answer {
            Answer::Served { full, pieces, missing } => {
                let merged = merge(&pieces, missing, &search.sort);
                let share = merged.successful as f64 / count as f64;
                if merged.failures.is_empty() && full {
                    return Ok(merged);
                }
                // In part only where the client and the class allow it, and never under the class's floor.
                let partial = class.floor < class.need && share + ROUNDING >= class.floor;
                if terms.allow_partial && partial {
                    self.0.counters.inc("opensearch.partial");
                    return Ok(merged);
                }
                self.0.counters.inc("opensearch.partial_not_allowed");
                let (status, kind) = match merged.late() {
                    true => (504, "timeout_exception"),
                    false => (503, "search_phase_execution_exception"),
                };
                let shards = merged.failures;
                Err(Failure { shards, ..Failure::new(status, kind, "Partial shards failure") })
            }
            Answer::NameTaken => Err(Failure::new(409, "version_conflict_engine_exception", "name in use")),
            Answer::Refused { retry_after, cause, missing }
            | Answer::Failed { retry_after, cause, missing } => {
                // A district whose listed hosts answer to nobody is as good as one that no host holds.
                let unreached = missing.iter().any(|m| matches!(m.last, None | Some(Outcome::ConnectFailed)));
                let (status, kind, reason) = match cause {
                    Cause::Late | Cause::Lost if unreached => {
                        (503, "no_shard_available_action_exception", "no host of a district can be reached")
                    }
                    Cause::Busy => {
                        (429, "rejected_execution_exception", "more work than can be done in time")
                    }
                    Cause::NoHost => {
                        (503, "no_shard_available_action_exception", "no host in service holds a district")
                    }
                    Cause::Late => (504, "timeout_exception", "the search's time is over"),
                    Cause::Lost => (503, "search_phase_execution_exception", "all shards failed"),
                };
                let shards = missing.into_iter().map(Into::into).collect();
                Err(Failure { retry_after, shards, ..Failure::new(status, kind, reason) })
            }
        };
        let found = ticket.await.ok_or_else(stopping).and_then(read);
        // A search in a request of many has no answer of its own to be counted with: it ends here.
        self.0.counters.ended(
            index.class.0 as usize,
            match &found {
                Ok(_) => End::Ok,
                Err(f) if matches!(f.status, 429 | 503) => End::Shed,
                Err(_) => End::Errors,
            },
        );
        found
    }

    fn reader<'a>(&self, index: &'a Index) -> Reader<'a> {
        Reader { district_field: &index.config.district_field, location_field: &index.config.location_field }
    }

    fn search(&self, name: &str, request: &Request) -> Pin<Box<dyn Future<Output = Answered> + Send>> {
        let front = self.clone();
        let prepared = self.prepare(name, request);
        let name = name.to_owned();
        Box::pin(async move {
            let (mut search, terms, keep) = prepared?;
            let arrived = terms.arrived;
            let Some(keep) = keep else {
                let merged = front.run(name.clone(), search.clone(), terms).await?;
                return Ok(ok(&merged.search(&name, &search, arrived.elapsed().as_millis())));
            };
            if search.from > 0 || search.size == 0 {
                return Err(illegal(
                    "using [from], or a [size] of 0, is not allowed in a scroll context".into(),
                ));
            }
            front.scrolls().room(Instant::now())?;
            search.forward.insert("size".into(), scroll::MOST_HITS.into());
            let merged = front.run(name.clone(), search.clone(), terms).await?;
            let hits = merged.hits.len();
            // A context holds all its hits: one that silently held fewer would end too soon.
            if merged.total() > hits as u64 {
                let most = scroll::MOST_HITS;
                return Err(illegal(format!(
                    "a scroll context holds at most [{most}] hits of a district: narrow the query"
                )));
            }
            let mut body = merged.search(&name, &search, arrived.elapsed().as_millis());
            let id = front.scrolls().open(&name, search, merged, keep, Instant::now())?;
            front.0.counters.inc("opensearch.scrolls");
            body["_scroll_id"] = id.into();
            Ok(ok(&body))
        })
    }

    fn prepare(&self, name: &str, request: &Request) -> Result<(Search, Terms, Option<Duration>), Failure> {
        let index = self.index(name)?;
        let known = ["timeout", "allow_partial_search_results", "scroll", "size", "from"];
        let params = Params::read(request, &known)?;
        let terms = self.terms(request, &params, index)?;
        let mut body = json_body(&request.body)?;
        for name in ["size", "from"] {
            if let (Some(text), Some(map)) = (params.get(name), body.as_object_mut()) {
                let n: u64 =
                    text.parse().map_err(|_| illegal(format!("Failed to parse int parameter [{name}]")))?;
                map.insert(name.to_owned(), n.into());
            }
        }
        let search = self.reader(index).search(&body)?;
        let keep = params.get("scroll").map(keep_alive).transpose()?;
        Ok((search, terms, keep))
    }

    fn count(&self, name: &str, request: &Request) -> Pin<Box<dyn Future<Output = Answered> + Send>> {
        let front = self.clone();
        let prepared = (|| -> Result<_, Failure> {
            let index = self.index(name)?;
            let params = Params::read(request, &["allow_partial_search_results"])?;
            let terms = self.terms(request, &params, index)?;
            Ok((self.reader(index).count(&json_body(&request.body)?)?, terms))
        })();
        let name = name.to_owned();
        Box::pin(async move {
            let (search, terms) = prepared?;
            let merged = front.run(name.clone(), search, terms).await?;
            Ok(ok(&merged.count(&name)))
        })
    }

    fn msearch(&self, default: &str, request: &Request) -> Pin<Box<dyn Future<Output = Answered> + Send>> {
        let front = self.clone();
        let prepared = self.prepare_many(default, request);
        let arrived = request.arrived;
        Box::pin(async move {
            let mut running = JoinSet::new();
            let prepared = prepared?;
            let mut answers: Vec<Value> = vec![Value::Null; prepared.len()];
            for (n, (name, one)) in prepared.into_iter().enumerate() {
                let front = front.clone();
                running.spawn(async move {
                    let answer = match one {
                        Ok((search, terms)) => {
                            front.run(name.clone(), search.clone(), terms).await.map(|m| {
                                let mut body = m.search(&name, &search, arrived.elapsed().as_millis());
                                body["status"] = 200.into();
                                body
                            })
                        }
                        Err(e) => Err(e),
                    };
                    (n, answer.unwrap_or_else(|e| e.body(&name)))
                });
            }
            while let Some(done) = running.join_next().await {
                let (n, answer) = done.map_err(|e| Failure::new(500, "exception", e.to_string()))?;
                answers[n] = answer;
            }
            Ok(ok(&json!({"took": arrived.elapsed().as_millis() as u64, "responses": answers})))
        })
    }

    #[allow(clippy::type_complexity)]
    fn prepare_many(
        &self,
        default: &str,
        request: &Request,
    ) -> Result<Vec<(String, Result<(Search, Terms), Failure>)>, Failure> {
        let params = Params::read(request, &["timeout", "allow_partial_search_results"])?;
        let body = std::str::from_utf8(&request.body).map_err(|_| illegal("the body is no text".into()))?;
        let Some(body) = body.strip_suffix('\n') else {
            return Err(illegal("The msearch request must be terminated by a newline [\n]".into()));
        };
        let lines: Vec<&str> = body.split('\n').collect();
        if !lines.len().is_multiple_of(2) || lines.len() / 2 > MOST_SEARCHES {
            return Err(illegal(format!("an msearch is up to {MOST_SEARCHES} pairs of lines")));
        }
        let one = |pair: &[&str]| {
            let head = json_body(pair[0].as_bytes())?;
            let fields = head.as_object().into_iter().flatten();
            if let Some((key, _)) = fields.clone().find(|(k, v)| *k != "index" || !v.is_string()) {
                return Err(illegal(format!("key [{key}] is not supported in the metadata section")));
            }
            let name = head["index"].as_str().unwrap_or(default).to_owned();
            let search = (|| -> Result<_, Failure> {
                let index = self.index(&name)?;
                let terms = self.terms(request, &params, index)?;
                Ok((self.reader(index).search(&json_body(pair[1].as_bytes())?)?, terms))
            })();
            Ok((name, search))
        };
        lines.chunks(2).map(one).collect()
    }

    /// The next page of a scroll: from memory, so at once.
    fn page(&self, request: &Request) -> Answered {
        let params = Params::read(request, &["scroll", "scroll_id"])?;
        let body = json_body(&request.body)?;
        let fields = body.as_object().into_iter().flatten();
        if let Some((key, _)) =
            fields.clone().find(|(k, v)| !matches!(k.as_str(), "scroll" | "scroll_id") || !v.is_string())
        {
            return Err(illegal(format!("Unknown parameter [{key}] in request body")));
        }
        let text = |name: &str| body[name].as_str().or(params.get(name));
        let id = text("scroll_id").ok_or_else(|| illegal("scroll_id is missing".into()))?;
        let keep = text("scroll").map(keep_alive).transpose()?;
        let arrived = request.arrived;
        let page = self.scrolls().next(id, keep, Instant::now(), |c| {
            c.merged.search(&c.index, &c.search, arrived.elapsed().as_millis())
        });
        let mut page = page.inspect_err(|_| self.0.counters.inc("opensearch.scroll_missing"))?;
        page["_scroll_id"] = id.into();
        Ok(ok(&page))
    }

    fn free(&self, all: bool, request: &Request) -> Answered {
        let body = json_body(&request.body)?;
        let ids: Vec<String> = match &body["scroll_id"] {
            Value::String(id) => vec![id.clone()],
            Value::Array(ids) => ids.iter().filter_map(Value::as_str).map(str::to_owned).collect(),
            _ if all => vec![],
            _ => return Err(illegal("scroll_id is missing".into())),
        };
        let freed = self.scrolls().free((!all).then_some(&ids[..]), Instant::now())?;
        let status = if freed > 0 || all { 200 } else { 404 };
        Ok(Response::json(status, json!({"succeeded": true, "num_freed": freed}).to_string()))
    }
}

fn ok(body: &Value) -> Response {
    Response::json(200, Bytes::from(body.to_string()))
}

fn json_body(body: &[u8]) -> Result<Value, Failure> {
    if body.trim_ascii().is_empty() {
        return Ok(json!({}));
    }
    let value: Value =
        serde_json::from_slice(body).map_err(|e| Failure::new(400, "parsing_exception", e.to_string()))?;
    match value.is_object() {
        true => Ok(value),
        false => Err(Failure::new(400, "parsing_exception", "[request] must be an object")),
    }
}

fn keep_alive(text: &str) -> Result<Duration, Failure> {
    let keep = dsl::time("scroll", text)?;
    if keep > scroll::LONGEST {
        let most = scroll::LONGEST.as_secs();
        return Err(illegal(format!(
            "Keep alive for request ({text}) is too large. It must be less than ({most}s)"
        )));
    }
    Ok(keep)
}

/// The parameters after the '?': those that are known here, and no others.
struct Params(BTreeMap<String, String>);

impl Params {
    fn read(request: &Request, known: &[&str]) -> Result<Self, Failure> {
        let all: BTreeMap<String, String> =
            form_urlencoded::parse(request.query.as_bytes()).into_owned().collect();
        match all.keys().find(|k| !known.contains(&k.as_str())) {
            Some(key) => {
                let path = &request.path;
                Err(illegal(format!("request [{path}] contains unrecognized parameter: [{key}]")))
            }
            None => Ok(Self(all)),
        }
    }

    fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }
}
