//! The `_search` and `_count` requests, and the execution of a search as one query of the core.

use super::answer::{merge, Failure, MergedHits};
use super::dsl::Search;
use super::params::{json_body, keep_alive, Params};
use super::{
    hosts, illegal_argument, ok_response, scroll, Index, OpenSearch, ResponseResult, SearchOptions,
};
use crate::core::{Answer, MissingPart, NewPart, NewQuery};
use crate::counters::End;
use crate::interface::{Cause, Idempotency, Outcome, QueryClass, TenantId};
use crate::net::http::Request;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum shortfall of a share of parts by rounding.
const MAX_ROUNDING_ERROR: f64 = 1e-9;

impl OpenSearch {
    /// Runs one search over its districts as one query of the core, and merges the hosts' hits.
    pub(super) async fn run_search(
        &self,
        index_name: String,
        search: Search,
        options: SearchOptions,
    ) -> Result<MergedHits, Failure> {
        let index = self.index(&index_name)?;
        let shards = shards_to_search(index, &search);
        if shards.is_empty() {
            return Ok(MergedHits::default());
        }
        let class = &self.0.classes[index.class.0 as usize];
        if class.idempotency != Idempotency::Idempotent && options.key.is_none() {
            let name = index.config.key_header.as_deref().unwrap_or("key_header");
            return Err(illegal_argument(format!(
                "index [{index_name}] needs a key in the header [{name}]"
            )));
        }
        let shard_count = shards.len();
        let query = self.new_query(&index_name, &search, &options, shards)?;
        self.0.counters.inc("opensearch.searches");
        let result = match self.0.core.submit(query).await {
            Some(answer) => self.read_answer(answer, class, &search, &options, shard_count),
            None => Err(Failure::new(
                503,
                "node_closed_exception",
                "the coordinator is stopping",
            )),
        };
        // Counted here, not with the HTTP response: a search of an `_msearch` has no response of its own.
        let end = match &result {
            Ok(_) => End::Ok,
            Err(failure) if matches!(failure.status, 429 | 503) => End::Shed,
            Err(_) => End::Errors,
        };
        self.0.counters.ended(index.class.0 as usize, end);
        result
    }

    /// Creates the core's query for a search, with one part of equal weight for each shard.
    fn new_query(
        &self,
        index_name: &str,
        search: &Search,
        options: &SearchOptions,
        shards: Vec<u32>,
    ) -> Result<NewQuery, Failure> {
        let index = self.index(index_name)?;
        let class = &self.0.classes[index.class.0 as usize];
        let wait = search
            .timeout
            .or(options.timeout)
            .unwrap_or(class.client_timeout)
            .min(class.client_timeout);
        let number = self.0.next_query.fetch_add(1, Ordering::Relaxed);
        let weight = 1.0 / shards.len() as f64;
        let tenant = options.tenant.as_ref().and_then(|name| self.tenant(name));
        Ok(NewQuery {
            name: format!("{:x}-{number:x}", self.0.incarnation).into(),
            class: index.class,
            tenant: tenant.or(index.tenant),
            arrived_at: options.arrived,
            client_wait: options.left.map_or(wait, |left| left.min(wait)),
            is_retry: None,
            idempotency_key: options.key.as_deref().map(Arc::from),
            parts: shards
                .into_iter()
                .map(|shard| NewPart { shard, weight })
                .collect(),
            payload: hosts::payload(index_name, &search.forward),
        })
    }

    fn tenant(&self, name: &str) -> Option<TenantId> {
        let number = self.0.tenants.iter().position(|tenant| tenant == name)?;
        Some(TenantId(number as u32))
    }

    fn read_answer(
        &self,
        answer: Answer,
        class: &QueryClass,
        search: &Search,
        options: &SearchOptions,
        shard_count: usize,
    ) -> Result<MergedHits, Failure> {
        match answer {
            Answer::Served {
                complete,
                parts,
                missing,
            } => {
                let merged = merge(&parts, missing, &search.sort);
                if merged.failures.is_empty() && complete {
                    return Ok(merged);
                }
                self.partial_answer(merged, class, options, shard_count)
            }
            Answer::NameTaken => Err(Failure::new(
                409,
                "version_conflict_engine_exception",
                "name in use",
            )),
            Answer::Rejected {
                retry_after,
                cause,
                missing,
            }
            | Answer::Failed {
                retry_after,
                cause,
                missing,
            } => Err(query_failure(retry_after, cause, missing)),
        }
    }

    /// Accepts an answer that lacks districts only if the client and the class allow it, and not below the class's
    /// minimum share.
    fn partial_answer(
        &self,
        merged: MergedHits,
        class: &QueryClass,
        options: &SearchOptions,
        shard_count: usize,
    ) -> Result<MergedHits, Failure> {
        let share = merged.successful as f64 / shard_count as f64;
        let is_enough =
            class.min_share < class.complete_share && share + MAX_ROUNDING_ERROR >= class.min_share;
        if options.allow_partial && is_enough {
            self.0.counters.inc("opensearch.partial");
            return Ok(merged);
        }
        self.0.counters.inc("opensearch.partial_not_allowed");
        let (status, kind) = if merged.any_timed_out() {
            (504, "timeout_exception")
        } else {
            (503, "search_phase_execution_exception")
        };
        Err(Failure {
            shards: merged.failures,
            ..Failure::new(status, kind, "Partial shards failure")
        })
    }

    pub(super) fn search(
        &self,
        name: &str,
        request: &Request,
    ) -> Pin<Box<dyn Future<Output = ResponseResult> + Send>> {
        let api = self.clone();
        let prepared = self.prepare(name, request);
        let name = name.to_owned();
        Box::pin(async move {
            let (mut search, options, keep_alive) = prepared?;
            let arrived = options.arrived;
            let Some(keep_alive) = keep_alive else {
                let merged = api
                    .run_search(name.clone(), search.clone(), options)
                    .await?;
                return Ok(ok_response(&merged.search_body(
                    &name,
                    &search,
                    arrived.elapsed().as_millis(),
                )));
            };
            if search.from > 0 || search.size == 0 {
                return Err(illegal_argument(
                    "using [from], or a [size] of 0, is not allowed in a scroll context".into(),
                ));
            }
            api.scrolls().check_room(Instant::now())?;
            search
                .forward
                .insert("size".into(), scroll::MAX_HITS_PER_DISTRICT.into());
            let merged = api
                .run_search(name.clone(), search.clone(), options)
                .await?;
            let hits = merged.hits.len();
            // A context must hold all hits: with fewer, the scroll would end too early without an error.
            if merged.total() > hits as u64 {
                let limit = scroll::MAX_HITS_PER_DISTRICT;
                return Err(illegal_argument(format!(
                    "a scroll context holds at most [{limit}] hits of a district: narrow the query"
                )));
            }
            let mut body = merged.search_body(&name, &search, arrived.elapsed().as_millis());
            let id = api
                .scrolls()
                .open(&name, search, merged, keep_alive, Instant::now())?;
            api.0.counters.inc("opensearch.scrolls");
            body["_scroll_id"] = id.into();
            Ok(ok_response(&body))
        })
    }

    fn prepare(
        &self,
        name: &str,
        request: &Request,
    ) -> Result<(Search, SearchOptions, Option<Duration>), Failure> {
        let index = self.index(name)?;
        let known = [
            "timeout",
            "allow_partial_search_results",
            "scroll",
            "size",
            "from",
        ];
        let params = Params::read(request, &known)?;
        let options = self.search_options(request, &params, index)?;
        let mut body = json_body(&request.body)?;
        for name in ["size", "from"] {
            if let (Some(text), Some(map)) = (params.get(name), body.as_object_mut()) {
                let n: u64 = text.parse().map_err(|_| {
                    illegal_argument(format!("Failed to parse int parameter [{name}]"))
                })?;
                map.insert(name.to_owned(), n.into());
            }
        }
        let search = self.search_parser(index).search(&body)?;
        let keep_alive = params.get("scroll").map(keep_alive).transpose()?;
        Ok((search, options, keep_alive))
    }

    pub(super) fn count(
        &self,
        name: &str,
        request: &Request,
    ) -> Pin<Box<dyn Future<Output = ResponseResult> + Send>> {
        let api = self.clone();
        let prepared = (|| -> Result<_, Failure> {
            let index = self.index(name)?;
            let params = Params::read(request, &["allow_partial_search_results"])?;
            let options = self.search_options(request, &params, index)?;
            Ok((
                self.search_parser(index)
                    .count(&json_body(&request.body)?)?,
                options,
            ))
        })();
        let name = name.to_owned();
        Box::pin(async move {
            let (search, options) = prepared?;
            let merged = api.run_search(name.clone(), search, options).await?;
            Ok(ok_response(&merged.count_body(&name)))
        })
    }
}

/// The shards that may hold hits. Districts that are not configured have no documents and are left out.
fn shards_to_search(index: &Index, search: &Search) -> Vec<u32> {
    let districts = &index.config.districts;
    match &search.districts {
        None => districts.values().copied().collect(),
        Some(names) => names
            .iter()
            .filter_map(|name| districts.get(name).copied())
            .collect(),
    }
}

/// The error response for a query that was rejected or failed.
fn query_failure(
    retry_after: Option<Duration>,
    cause: Cause,
    missing: Vec<MissingPart>,
) -> Failure {
    // A district whose listed hosts can't be reached is reported like one that no host holds.
    let is_unreached = missing
        .iter()
        .any(|part| matches!(part.last_outcome, None | Some(Outcome::ConnectFailed)));
    let (status, kind, reason) = match cause {
        Cause::TooLate | Cause::PartsLost if is_unreached => (
            503,
            "no_shard_available_action_exception",
            "no host of a district can be reached",
        ),
        Cause::Overloaded => (
            429,
            "rejected_execution_exception",
            "more work than can be done in time",
        ),
        Cause::NoHost => (
            503,
            "no_shard_available_action_exception",
            "no host in service holds a district",
        ),
        Cause::TooLate => (504, "timeout_exception", "the search's time is over"),
        Cause::PartsLost => (503, "search_phase_execution_exception", "all shards failed"),
    };
    Failure {
        retry_after,
        shards: missing.into_iter().map(Into::into).collect(),
        ..Failure::new(status, kind, reason)
    }
}
