//! A query from its arrival to its answer.

use super::{Part, Query, QueryTable};
use crate::core::query::{Answer, MissingPart, NewPart, NewQuery, PartAnswer};
use crate::core::transport::Transport;
use crate::interface::{Cause, Event, Idempotency, Outcome, RequestId};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// When the client of a query beyond the limit should retry, if the settings have no longest hint.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl<T: Transport> QueryTable<T> {
    /// Takes a query, unless its name is in use or too much is open.
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

    /// Claims a query's name over all cores. Two open queries of one name would share the names of
    /// their parts: hosts would take one's for a copy of the other's.
    fn claim_name(&self, name: &Arc<str>) -> bool {
        let shared = self.shared.as_ref();
        !self.names_in_use.contains_key(name)
            && shared.is_none_or(|shared| shared.names.claim(name, shared.core))
    }

    /// Reserves so many queries and parts within the limit on what may be open.
    fn reserve_open(&mut self, wanted: usize) -> bool {
        match &self.shared {
            Some(shared) => shared.lease.acquire(wanted),
            None => self.queries.len() + self.parts.len() + wanted <= self.max_open,
        }
    }

    /// A query over the limit never reaches the decision module: it would cost memory for work that
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
        // Hosts are sent the key where a repeat could do harm.
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

    /// The parts of these that have no answer.
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

    /// Removes parts with their values.
    pub(super) fn drop_parts(&mut self, parts: &[RequestId]) {
        for part in parts.iter().filter_map(|id| self.parts.remove(id)) {
            self.value_bytes -= part.value.map_or(0, |value| value.len());
            if let Some(shared) = &self.shared {
                shared.lease.release(1);
            }
        }
    }

    /// Takes back what of these parts hasn't been sent yet: their query is over, or its client has
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

    /// Removes a query. Its parts stay until the caller has read them.
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
        // Never marked complete without any part.
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

    /// Ends a query without its parts' answers.
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
