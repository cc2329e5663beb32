//! Searches, alone and counted: one query for the core, one final answer.

use super::answer::{merge, Failure, Merged};
use super::dsl::Search;
use super::params::{json_body, keep_alive, Params};
use super::{hosts, illegal, ok, scroll, Answered, OpenSearch, Terms};
use crate::core::{Answer, NewPart, NewQuery};
use crate::counters::End;
use crate::interface::{Cause, Idempotency, Outcome, TenantId};
use crate::net::http::Request;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Sums of shares may fall this short by rounding.
const ROUNDING: f64 = 1e-9;

impl OpenSearch {
    /// Runs one search over its districts: one query for the core, one final answer.
    pub(super) async fn run(
        &self,
        index_name: String,
        search: Search,
        terms: Terms,
    ) -> Result<Merged, Failure> {
        let index = self.index(&index_name)?;
        let shards = match &search.districts {
            None => index.config.districts.values().copied().collect(),
            // A district that is not configured has no documents.
            Some(names) => names
                .iter()
                .filter_map(|n| index.config.districts.get(n).copied())
                .collect::<Vec<_>>(),
        };
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
        let number = |t: &String| {
            self.0
                .tenants
                .iter()
                .position(|n| n == t)
                .map(|n| TenantId(n as u32))
        };
        let wait = search
            .timeout
            .or(terms.timeout)
            .unwrap_or(class.client_timeout)
            .min(class.client_timeout);
        let wait = terms.left.map_or(wait, |left| left.min(wait));
        let n = self.0.next.fetch_add(1, Ordering::Relaxed);
        let count = shards.len();
        let weight = 1.0 / count as f64;
        self.0.counters.inc("opensearch.searches");
        let ticket = self.0.core.submit(NewQuery {
            name: format!("{:x}-{n:x}", self.0.incarnation).into(),
            class: index.class,
            tenant: terms.tenant.as_ref().and_then(number).or(index.tenant),
            arrived_at: terms.arrived,
            client_wait: wait,
            is_retry: None,
            idempotency_key: terms.key.as_deref().map(Arc::from),
            parts: shards
                .into_iter()
                .map(|shard| NewPart { shard, weight })
                .collect(),
            payload: hosts::payload(&index_name, &search.forward),
        });
        let stopping = || Failure::new(503, "node_closed_exception", "the coordinator is stopping");
        let read = |answer: Answer| match answer {
            Answer::Served {
                complete: full,
                parts: pieces,
                missing,
            } => {
                let merged = merge(&pieces, missing, &search.sort);
                let share = merged.successful as f64 / count as f64;
                if merged.failures.is_empty() && full {
                    return Ok(merged);
                }
                // In part only where the client and the class allow it, and never under the class's floor.
                let partial =
                    class.min_share < class.complete_share && share + ROUNDING >= class.min_share;
                if terms.allow_partial && partial {
                    self.0.counters.inc("opensearch.partial");
                    return Ok(merged);
                }
                self.0.counters.inc("opensearch.partial_not_allowed");
                let (status, kind) = if merged.late() {
                    (504, "timeout_exception")
                } else {
                    (503, "search_phase_execution_exception")
                };
                let shards = merged.failures;
                Err(Failure {
                    shards,
                    ..Failure::new(status, kind, "Partial shards failure")
                })
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
            } => {
                // A district whose listed hosts answer to nobody is as good as one that no host holds.
                let unreached = missing
                    .iter()
                    .any(|m| matches!(m.last_outcome, None | Some(Outcome::ConnectFailed)));
                let (status, kind, reason) = match cause {
                    Cause::TooLate | Cause::PartsLost if unreached => (
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
                    Cause::PartsLost => {
                        (503, "search_phase_execution_exception", "all shards failed")
                    }
                };
                let shards = missing.into_iter().map(Into::into).collect();
                Err(Failure {
                    retry_after,
                    shards,
                    ..Failure::new(status, kind, reason)
                })
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
