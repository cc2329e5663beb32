//! The lifecycle of a query, from its arrival to its answer.

use super::{Part, Query, QueryTable};
use crate::core::query::{Answer, MissingPart, NewPart, NewQuery, PartAnswer};
use crate::core::transport::Transport;
use crate::interface::{Cause, Event, Idempotency, Outcome, RequestId};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Retry-after hint for a query over the limit on open queries, if the settings have no longest hint.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl<T: Transport> QueryTable<T> {
    /// Opens a query, unless its name is in use or too many queries and parts are open.
    pub(super) fn submit_query(
        &mut self,
        new: NewQuery,
        ticket: u64,
        reply: oneshot::Sender<Answer>,
        now: Instant,
    ) {
        if !self.claim_name(&new.name) {
            self.counters.inc("answered.name_taken");
            let _ = reply.send(Answer::NameTaken);
            return;
        }
        self.counters.inc("taken.queries");
        self.counters.add("taken.parts", new.parts.len() as u64);
        if !self.reserve_open(1 + new.parts.len()) {
            self.reject_over_limit(&new.name, reply);
            return;
        }
        log::trace!(
            "query {} class {} parts {}",
            new.name,
            new.class.0,
            new.parts.len()
        );
        self.open_query(new, ticket, reply, now);
    }

    /// Claims a query's name across all cores. Two open queries with the same name would have parts with the same
    /// names, and hosts would mistake one query's parts for copies of the other's.
    fn claim_name(&self, name: &Arc<str>) -> bool {
        let shared = self.shared.as_ref();
        !self.names_in_use.contains_key(name)
            && shared.is_none_or(|shared| shared.names.claim(name, shared.core))
    }

    /// Reserves `wanted` queries and parts within the limit on open ones. Returns whether they fit.
    fn reserve_open(&mut self, wanted: usize) -> bool {
        match &self.shared {
            Some(shared) => shared.lease.acquire(wanted),
            None => self.queries.len() + self.parts.len() + wanted <= self.max_open,
        }
    }

    /// Rejects a query over the limit. It never reaches the decision module, where it would cost memory for work that
    /// can't be done in time.
    fn reject_over_limit(&mut self, name: &Arc<str>, reply: oneshot::Sender<Answer>) {
        if let Some(shared) = &self.shared {
            shared.names.release(name, shared.core);
        }
        self.counters.inc("answered.refused.open_cap");
        let _ = reply.send(Answer::Rejected {
            retry_after: Some(self.max_retry_after.unwrap_or(DEFAULT_RETRY_AFTER)),
            cause: Cause::Overloaded,
            missing: vec![],
        });
    }

    fn open_query(
        &mut self,
        new: NewQuery,
        ticket: u64,
        reply: oneshot::Sender<Answer>,
        now: Instant,
    ) {
        let id = self.new_id();
        let deadline = new.arrived_at + new.client_wait;
        self.notify_router(
            now,
            Event::Query {
                id,
                class: new.class,
                tenant: new.tenant,
                arrived_at: Some(self.clock.at(new.arrived_at)),
                deadline: self.clock.at(deadline),
                is_retry: new.is_retry,
            },
        );
        let parts = new
            .parts
            .iter()
            .map(|part| self.open_part(id, part, now))
            .collect();
        self.queries_by_ticket.insert(ticket, id);
        self.deadlines.insert((deadline, id));
        self.names_in_use.insert(new.name.clone(), 1);
        let idempotency = self
            .class_idempotency
            .get(new.class.0 as usize)
            .copied()
            .unwrap_or(Idempotency::Idempotent);
        // The key is sent to hosts only for classes where a repeat could do harm.
        let sends_key = idempotency != Idempotency::Idempotent;
        let repeat_window = match idempotency {
            Idempotency::Keyed(window) => Some(window),
            Idempotency::Idempotent | Idempotency::NotIdempotent => None,
        };
        let query = Query {
            ticket,
            reply,
            name: new.name,
            idempotency_key: new.idempotency_key.filter(|_| sends_key),
            payload: new.payload,
            deadline,
            repeat_window,
            parts,
        };
        self.queries.insert(id, query);
    }

    fn open_part(&mut self, query: RequestId, new: &NewPart, now: Instant) -> RequestId {
        let id = self.new_id();
        let part = Part {
            query,
            shard: new.shard,
            attempts: 0,
            in_flight: false,
            value: None,
            last_outcome: None,
            may_have_run_since: None,
        };
        self.parts.insert(id, part);
        self.notify_router(
            now,
            Event::Part {
                id,
                query,
                shard: new.shard,
                weight: new.weight,
            },
        );
        id
    }

    /// Drops a query whose client stopped waiting.
    pub(super) fn withdraw_query(&mut self, ticket: u64, now: Instant) {
        if let Some(query) = self.queries_by_ticket.get(&ticket).copied() {
            self.counters.inc("answered.none.client_gone");
            self.close_query(query);
            self.notify_router(now, Event::ClientLeft { query });
        }
    }

    /// Releases one use of a query's name.
    pub(super) fn release_name(&mut self, name: &Arc<str>) {
        let Some(uses) = self.names_in_use.get_mut(name) else {
            return;
        };
        *uses -= 1;
        if *uses == 0 {
            self.names_in_use.remove(name);
            if let Some(shared) = &self.shared {
                shared.names.release(name, shared.core);
            }
        }
    }

    /// Returns those of these parts that have no answer.
    pub(super) fn missing_parts(&self, parts: &[RequestId]) -> Vec<MissingPart> {
        parts
            .iter()
            .filter_map(|id| self.parts.get(id))
            .filter(|part| part.value.is_none())
            .map(|part| MissingPart {
                shard: part.shard,
                last_outcome: if part.in_flight {
                    Some(Outcome::Timeout)
                } else {
                    part.last_outcome
                },
            })
            .collect()
    }

    /// Removes the parts together with their values.
    pub(super) fn drop_parts(&mut self, parts: &[RequestId]) {
        for part in parts.iter().filter_map(|id| self.parts.remove(id)) {
            self.value_bytes -= part.value.map_or(0, |value| value.len());
            if let Some(shared) = &self.shared {
                shared.lease.release(1);
            }
        }
    }

    /// Retracts the attempts of these parts that have not been sent yet, since their query has ended or its client has
    /// left.
    fn retract_parts(&mut self, parts: &[RequestId]) {
        for id in parts {
            let Some(part) = self.parts.get(id) else {
                continue;
            };
            for number in 0..part.attempts {
                let attempt = self.attempts.get(&(*id, number));
                if let Some(attempt) = attempt.filter(|a| !a.given_up) {
                    self.transport.retract(attempt.server, *id, number);
                }
            }
        }
    }

    /// Removes a query and returns it. The caller reads its parts and then drops them.
    pub(super) fn close_query(&mut self, id: RequestId) -> Option<Query> {
        let query = self.queries.remove(&id)?;
        if let Some(shared) = &self.shared {
            shared.lease.release(1);
        }
        self.queries_by_ticket.remove(&query.ticket);
        self.deadlines.remove(&(query.deadline, id));
        self.release_name(&query.name);
        if !self.cancellation {
            self.retract_parts(&query.parts);
        }
        if query.reply.is_closed() {
            self.drop_parts(&query.parts);
        }
        Some(query)
    }

    /// Answers a query from the parts that were answered.
    pub(super) fn answer_query(&mut self, id: RequestId, complete: bool) {
        let Some(query) = self.close_query(id) else {
            return;
        };
        let missing = self.missing_parts(&query.parts);
        let parts: Vec<PartAnswer> = query
            .parts
            .iter()
            .filter_map(|id| self.part_answer(*id))
            .collect();
        // An answer without any part is never marked complete.
        let complete = complete && !parts.is_empty();
        self.counters.inc(if complete {
            "answered.served.full"
        } else {
            "answered.served.partial"
        });
        self.drop_parts(&query.parts);
        let _ = query.reply.send(Answer::Served {
            complete,
            parts,
            missing,
        });
    }

    fn part_answer(&self, id: RequestId) -> Option<PartAnswer> {
        let part = self.parts.get(&id)?;
        Some(PartAnswer {
            shard: part.shard,
            value: part.value.clone()?,
        })
    }

    /// Ends a query with an answer that carries no part values.
    pub(super) fn end_unserved(
        &mut self,
        id: RequestId,
        answer: impl FnOnce(Vec<MissingPart>) -> Answer,
    ) {
        let Some(query) = self.close_query(id) else {
            return;
        };
        let missing = self.missing_parts(&query.parts);
        self.drop_parts(&query.parts);
        let answer = answer(missing);
        log::trace!("end {} {answer:?}", query.name);
        let _ = query.reply.send(answer);
    }
}
