//! Searches, alone and counted: one query for the core, one final answer.

use super::answer::{merge, Failure, Merged};
use super::dsl::Search;
use super::params::{json_body, keep_alive, Params};
use super::{hosts, illegal, ok, scroll, Answered, Index, OpenSearch, Terms};
use crate::core::{Answer, MissingPart, NewPart, NewQuery};
use crate::counters::End;
use crate::interface::{Cause, Idempotency, Outcome, QueryClass, TenantId};
use crate::net::http::Request;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// By how much a sum of shares may fall short, as they are rounded.
const MAX_ROUNDING_ERROR: f64 = 1e-9;

impl OpenSearch {
    /// Runs one search over its districts: one query for the core, one final answer.
    pub(super) async fn run(
        &self,
        index_name: String,
        search: Search,
        terms: Terms,
    ) -> Result<Merged, Failure> {
        let index = self.index(&index_name)?;
        let shards = shards(index, &search);
        if shards.is_empty() {
            return Ok(Merged::default());
        }
        let class = &self.0.classes[index.class.0 as usize];
        if class.idempotency != Idempotency::Idempotent && terms.key.is_none() {
            let name = index.config.key_header.as_deref().unwrap_or("key_header");
            return Err(illegal(format!(
                "index [{index_name}] needs a key in the header [{name}]"
            )));
        }
        let shard_count = shards.len();
        let query = self.new_query(&index_name, &search, &terms, shards)?;
        self.0.counters.inc("opensearch.searches");
        let result = match self.0.core.submit(query).await {
            Some(answer) => self.read_answer(answer, class, &search, &terms, shard_count),
            None => Err(Failure::new(
                503,
                "node_closed_exception",
                "the coordinator is stopping",
            )),
        };
        // A search in a request of many has no answer of its own to be counted with: it ends here.
        let end = match &result {
            Ok(_) => End::Ok,
            Err(failure) if matches!(failure.status, 429 | 503) => End::Shed,
            Err(_) => End::Errors,
        };
        self.0.counters.ended(index.class.0 as usize, end);
        result
    }

    /// The query for the core.
    fn new_query(
        &self,
        index_name: &str,
        search: &Search,
        terms: &Terms,
        shards: Vec<u32>,
    ) -> Result<NewQuery, Failure> {
        let index = self.index(index_name)?;
        let class = &self.0.classes[index.class.0 as usize];
        let wait = search
            .timeout
            .or(terms.timeout)
            .unwrap_or(class.client_timeout)
            .min(class.client_timeout);
        let number = self.0.next.fetch_add(1, Ordering::Relaxed);
        let weight = 1.0 / shards.len() as f64;
        let tenant = terms.tenant.as_ref().and_then(|name| self.tenant(name));
        Ok(NewQuery {
            name: format!("{:x}-{number:x}", self.0.incarnation).into(),
            class: index.class,
            tenant: tenant.or(index.tenant),
            arrived_at: terms.arrived,
            client_wait: terms.left.map_or(wait, |left| left.min(wait)),
            is_retry: None,
            idempotency_key: terms.key.as_deref().map(Arc::from),
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
        terms: &Terms,
        shard_count: usize,
    ) -> Result<Merged, Failure> {
        match answer {
            Answer::Served {
                complete: full,
                parts: pieces,
                missing,
            } => {
                let merged = merge(&pieces, missing, &search.sort);
                if merged.failures.is_empty() && full {
                    return Ok(merged);
                }
                self.partial_answer(merged, class, terms, shard_count)
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
            } => Err(failure(retry_after, cause, missing)),
        }
    }

    /// An answer that lacks districts is given only if the client and the class allow it, and never below the
    /// class's least share.
    fn partial_answer(
        &self,
        merged: Merged,
        class: &QueryClass,
        terms: &Terms,
        shard_count: usize,
    ) -> Result<Merged, Failure> {
        let share = merged.successful as f64 / shard_count as f64;
        let is_enough =
            class.min_share < class.complete_share && share + MAX_ROUNDING_ERROR >= class.min_share;
        if terms.allow_partial && is_enough {
            self.0.counters.inc("opensearch.partial");
            return Ok(merged);
        }
        self.0.counters.inc("opensearch.partial_not_allowed");
        let (status, kind) = if merged.late() {
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
    ) -> Pin<Box<dyn Future<Output = Answered> + Send>> {
        let front = self.clone();
        let prepared = self.prepare(name, request);
        let name = name.to_owned();
        Box::pin(async move {
            let (mut search, terms, keep) = prepared?;
            let arrived = terms.arrived;
            let Some(keep) = keep else {
                let merged = front.run(name.clone(), search.clone(), terms).await?;
                return Ok(ok(&merged.search(
                    &name,
                    &search,
                    arrived.elapsed().as_millis(),
                )));
            };
            if search.from > 0 || search.size == 0 {
                return Err(illegal(
                    "using [from], or a [size] of 0, is not allowed in a scroll context".into(),
                ));
            }
            front.scrolls().room(Instant::now())?;
            search
                .forward
                .insert("size".into(), scroll::MOST_HITS.into());
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
            let id = front
                .scrolls()
                .open(&name, search, merged, keep, Instant::now())?;
            front.0.counters.inc("opensearch.scrolls");
            body["_scroll_id"] = id.into();
            Ok(ok(&body))
        })
    }

    fn prepare(
        &self,
        name: &str,
        request: &Request,
    ) -> Result<(Search, Terms, Option<Duration>), Failure> {
        let index = self.index(name)?;
        let known = [
            "timeout",
            "allow_partial_search_results",
            "scroll",
            "size",
            "from",
        ];
        let params = Params::read(request, &known)?;
        let terms = self.terms(request, &params, index)?;
        let mut body = json_body(&request.body)?;
        for name in ["size", "from"] {
            if let (Some(text), Some(map)) = (params.get(name), body.as_object_mut()) {
                let n: u64 = text
                    .parse()
                    .map_err(|_| illegal(format!("Failed to parse int parameter [{name}]")))?;
                map.insert(name.to_owned(), n.into());
            }
        }
        let search = self.reader(index).search(&body)?;
        let keep = params.get("scroll").map(keep_alive).transpose()?;
        Ok((search, terms, keep))
    }

    pub(super) fn count(
        &self,
        name: &str,
        request: &Request,
    ) -> Pin<Box<dyn Future<Output = Answered> + Send>> {
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
}

/// The shards that may hold hits. A district that is not configured has no documents.
fn shards(index: &Index, search: &Search) -> Vec<u32> {
    let districts = &index.config.districts;
    match &search.districts {
        None => districts.values().copied().collect(),
        Some(names) => names
            .iter()
            .filter_map(|name| districts.get(name).copied())
            .collect(),
    }
}

/// The wire form of a query that was refused or failed.
fn failure(retry_after: Option<Duration>, cause: Cause, missing: Vec<MissingPart>) -> Failure {
    // A district of which no listed host can be reached is as good as one that no host holds.
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
