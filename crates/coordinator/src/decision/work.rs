//! The open queries, their parts, and the attempts at these parts.

use super::router::Router;
use crate::interface::{ClassId, Outcome, RequestId, ServerId, TenantId};

/// The reason for an attempt.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum AttemptKind {
    /// The first attempt, or a retry with no other attempt in flight.
    FirstOrRetry,
    /// A second copy, sent because the server of the first one was ejected.
    Rescue,
    /// A second copy, sent because the first one is late (hedged request).
    Hedge,
}

/// One request for one part to one server.
#[derive(Clone)]
pub(super) struct Attempt {
    pub(super) server: ServerId,
    pub(super) class: ClassId,
    pub(super) sent_at: f64,
    /// The reported load of the server just before the send.
    pub(super) load_when_sent: f64,
    /// Whether it was sent on a connection that had been idle for long.
    pub(super) on_idle_connection: bool,
    pub(super) in_flight: bool,
    /// Whether its connection broke while it was in flight.
    pub(super) connection_broke: bool,
    pub(super) may_have_run: bool,
}

/// A part of a query: one shard to read.
pub(super) struct Part {
    pub(super) query: RequestId,
    pub(super) shard: u32,
    pub(super) weight: f64,
    /// The attempts in the order they were sent; the index is the attempt number.
    pub(super) attempts: Vec<Attempt>,
    pub(super) answered: bool,
    /// Whether no further attempt is allowed.
    pub(super) closed: bool,
}

impl Part {
    /// Whether at least one attempt is in flight.
    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.in_flight)
    }

    /// Whether the part is unanswered and may still be answered.
    pub(super) fn is_open(&self) -> bool {
        !self.answered && !self.closed
    }
}

/// A query between its arrival and its answer.
pub(super) struct Query {
    pub(super) class: ClassId,
    pub(super) tenant: Option<TenantId>,
    /// When its latency target ends.
    pub(super) target_at: f64,
    /// When its client stops waiting.
    pub(super) deadline_at: f64,
    /// The parts of the current step.
    pub(super) parts: Vec<RequestId>,
    pub(super) admitted: bool,
    /// Whether the answer to the first step was complete; `None` until that answer is given.
    pub(super) first_step_complete: Option<bool>,
}

/// Progress of the current step of a query.
pub(super) struct StepProgress {
    pub(super) answered_weight: f64,
    pub(super) total_weight: f64,
    pub(super) open_parts: usize,
    pub(super) all_answered: bool,
}

/// An attempt that has just ended.
pub(super) struct EndedAttempt {
    pub(super) attempt: Attempt,
    /// The class of its query; `None` if that query has ended.
    pub(super) query_class: Option<ClassId>,
}

impl Router {
    /// Returns the parts of a query's current step.
    pub(super) fn parts_of<'a>(&'a self, query: &'a Query) -> impl Iterator<Item = &'a Part> + 'a {
        query.parts.iter().map(|p| &self.parts[p])
    }

    /// Sums up the parts of a query's current step.
    pub(super) fn progress(&self, query: &Query) -> StepProgress {
        let mut progress = StepProgress {
            answered_weight: 0.0,
            total_weight: 0.0,
            open_parts: 0,
            all_answered: true,
        };
        for part in self.parts_of(query) {
            progress.total_weight += part.weight;
            progress.all_answered &= part.answered;
            progress.answered_weight += if part.answered { part.weight } else { 0.0 };
            progress.open_parts += usize::from(part.is_open());
        }
        progress
    }

    /// Records the end of an attempt. Returns `None` if the attempt is unknown or had already
    /// ended.
    pub(super) fn end_attempt(
        &mut self,
        part_id: RequestId,
        number: u32,
        outcome: Outcome,
        part_closed: bool,
    ) -> Option<EndedAttempt> {
        let Some(part) = self.parts.get_mut(&part_id) else {
            let attempt = self.orphaned_attempts.remove(&(part_id, number))?;
            return Some(EndedAttempt {
                attempt,
                query_class: None,
            });
        };
        let attempt = part
            .attempts
            .get_mut(number as usize)
            .filter(|a| a.in_flight)?;
        attempt.in_flight = false;
        attempt.may_have_run = !outcome.never_ran();
        attempt.connection_broke = outcome == Outcome::Reset;
        let attempt = attempt.clone();
        part.answered |= outcome == Outcome::Ok && !part.closed;
        part.closed |= part_closed;
        Some(EndedAttempt {
            attempt,
            query_class: self.queries.get(&part.query).map(|q| q.class),
        })
    }

    /// Removes parts. Returns their attempts in flight, which are kept as orphaned attempts until
    /// they end.
    pub(super) fn orphan_attempts(&mut self, parts: Vec<RequestId>) -> Vec<(RequestId, u32)> {
        let mut orphaned = Vec::new();
        for part_id in parts {
            let Some(part) = self.parts.remove(&part_id) else {
                continue;
            };
            for (number, attempt) in part.attempts.into_iter().enumerate() {
                if attempt.in_flight {
                    orphaned.push((part_id, number as u32));
                    self.orphaned_attempts
                        .insert((part_id, number as u32), attempt);
                }
            }
        }
        orphaned
    }

    /// Returns all attempts of a query's current step, or `None` once any part of the query was
    /// answered.
    pub(super) fn attempts_if_unanswered<'a>(
        &'a self,
        query: &'a Query,
    ) -> Option<Vec<&'a Attempt>> {
        let answered =
            query.first_step_complete.is_some() || self.parts_of(query).any(|p| p.answered);
        (!answered).then(|| self.parts_of(query).flat_map(|p| &p.attempts).collect())
    }
}
