//! A query from its arrival to its answer.

use super::{
    oneshot, Answer, Arc, Cause, Duration, Event, Instant, Missing, NewQuery, Outcome, Part, Piece,
    Query, RequestId, SharedCoreState, Table, Transport,
};

impl<T: Transport> Table<T> {
    pub(super) fn on_query(
        &mut self,
        new: NewQuery,
        ticket: u64,
        reply: oneshot::Sender<Answer>,
        now: Instant,
    ) {
        // Two queries by one name would share their parts' names: the hosts would take one's for a copy of
        // the other's.
        let elsewhere = |s: &SharedCoreState| !s.names.claim(&new.name, s.core);
        if self.names.contains_key(&new.name) || self.seat.as_ref().is_some_and(elsewhere) {
            self.counters.inc("answered.name_taken");
            let _ = reply.send(Answer::NameTaken);
            return;
        }
        self.counters.inc("taken.queries");
        self.counters.add("taken.parts", new.parts.len() as u64);
        let deadline = new.arrived + new.wait;
        // Over the cap on what may be open a query never reaches the module: it would cost memory for
        // work that can't be done in time.
        let wanted = 1 + new.parts.len();
        let room = match &self.seat {
            Some(seat) => seat.lease.acquire(wanted),
            None => self.queries.len() + self.parts.len() + wanted <= self.open_cap,
        };
        if !room {
            if let Some(seat) = &self.seat {
                seat.names.release(&new.name, seat.core);
            }
            self.counters.inc("answered.refused.open_cap");
            let retry_after = Some(self.longest_hint.unwrap_or(Duration::from_secs(1)));
            let _ = reply.send(Answer::Refused {
                retry_after,
                cause: Cause::Overloaded,
                missing: vec![],
            });
            return;
        }
        log::trace!(
            "query {} class {} parts {}",
            new.name,
            new.class.0,
            new.parts.len()
        );
        let id = self.fresh();
        let at = self.clock.at(deadline);
        let (class, tenant, repeat) = (new.class, new.tenant, new.repeat);
        self.tell(
            now,
            Event::Query {
                id,
                class,
                tenant,
                deadline: at,
                is_retry: repeat,
            },
        );
        let mut parts = Vec::with_capacity(new.parts.len());
        for p in &new.parts {
            let part = self.fresh();
            parts.push(part);
            let fresh = Part {
                query: id,
                shard: p.shard,
                attempts: 0,
                out: false,
                value: None,
                last: None,
            };
            self.parts.insert(part, fresh);
            self.tell(
                now,
                Event::Part {
                    id: part,
                    query: id,
                    shard: p.shard,
                    weight: p.weight,
                },
            );
        }
        self.tickets.insert(ticket, id);
        self.deadlines.insert((deadline, id));
        let NewQuery {
            name, key, payload, ..
        } = new;
        self.names.insert(name.clone(), 1);
        let key = key.filter(|_| self.keyed.get(class.0 as usize).copied().unwrap_or(false));
        self.queries.insert(
            id,
            Query {
                ticket,
                reply,
                name,
                key,
                payload,
                deadline,
                parts,
            },
        );
    }

    pub(super) fn release_name(&mut self, name: &Arc<str>) {
        if let Some(n) = self.names.get_mut(name) {
            *n -= 1;
            if *n == 0 {
                self.names.remove(name);
                if let Some(seat) = &self.seat {
                    seat.names.release(name, seat.core);
                }
            }
        }
    }

    pub(super) fn missing(&self, parts: &[RequestId]) -> Vec<Missing> {
        let parts = parts.iter().filter_map(|p| self.parts.get(p));
        let last = |p: &Part| {
            if p.out {
                Some(Outcome::Timeout)
            } else {
                p.last
            }
        };
        parts
            .filter(|p| p.value.is_none())
            .map(|p| Missing {
                shard: p.shard,
                last: last(p),
            })
            .collect()
    }

    pub(super) fn drop_parts(&mut self, parts: &[RequestId]) {
        for part in parts.iter().filter_map(|p| self.parts.remove(p)) {
            self.held -= part.value.map_or(0, |v| v.len());
            if let Some(seat) = &self.seat {
                seat.lease.release(1);
            }
        }
    }

    /// What of these parts has not begun yet never does: their query is over, or its client has left.
    fn retract(&mut self, parts: &[RequestId]) {
        for (id, part) in parts
            .iter()
            .filter_map(|id| Some((*id, self.parts.get(id)?)))
        {
            for n in 0..part.attempts {
                if let Some(a) = self.attempts.get(&(id, n)).filter(|a| !a.given_up) {
                    self.transport.retract(a.server, id, n);
                }
            }
        }
    }

    /// Takes a query out; its parts stay until the caller has read them.
    pub(super) fn close(&mut self, id: RequestId) -> Option<Query> {
        let q = self.queries.remove(&id)?;
        if let Some(seat) = &self.seat {
            seat.lease.release(1);
        }
        self.tickets.remove(&q.ticket);
        self.deadlines.remove(&(q.deadline, id));
        self.release_name(&q.name);
        if !self.may_cancel {
            self.retract(&q.parts);
        }
        if q.reply.is_closed() {
            self.drop_parts(&q.parts);
        }
        Some(q)
    }

    pub(super) fn answer(&mut self, id: RequestId, whole: bool) {
        let Some(q) = self.close(id) else { return };
        let missing = self.missing(&q.parts);
        let piece = |p: &RequestId| {
            let part = self.parts.get(p)?;
            part.value.clone().map(|value| Piece {
                shard: part.shard,
                value,
            })
        };
        let pieces: Vec<Piece> = q.parts.iter().filter_map(piece).collect();
        // Never marked whole before all that makes it whole is in.
        let full = whole && !pieces.is_empty();
        self.counters.inc(if full {
            "answered.served.full"
        } else {
            "answered.served.partial"
        });
        self.drop_parts(&q.parts);
        let _ = q.reply.send(Answer::Served {
            full,
            pieces,
            missing,
        });
    }

    pub(super) fn end(&mut self, id: RequestId, answer: impl FnOnce(Vec<Missing>) -> Answer) {
        let Some(q) = self.close(id) else { return };
        let missing = self.missing(&q.parts);
        self.drop_parts(&q.parts);
        let answer = answer(missing);
        log::trace!("end {} {answer:?}", q.name);
        let _ = q.reply.send(answer);
    }
}
