//! Arrival of queries and parts, and the time until which an answer to a query earns its full
//! value.

use super::router::{seconds, Router};
use super::work::{Part, Query};
use crate::interface::{ClassId, Event, RequestId};

/// Two timeouts count as equal if they differ by less than this share of the client's total
/// timeout.
const TIMEOUT_TOLERANCE_SHARE: f64 = 0.015;
/// Largest number of votes for the typical timeout, and so the number of different timeouts in a
/// row after which it is replaced.
const MAX_TIMEOUT_VOTES: u32 = 20;
/// Time constant of the rates of queries and sends.
pub(super) const RATE_TIME_CONSTANT_S: f64 = 3.0;

/// The typical timeout of the first attempts of clients, found by majority vote (Boyer-Moore).
#[derive(Clone, Copy, Default)]
pub(super) struct FirstAttemptTimeout {
    timeout: f64,
    votes: u32,
}

impl FirstAttemptTimeout {
    fn vote(&mut self, attempt_timeout: f64, matches_typical: bool) {
        if matches_typical {
            self.votes = (self.votes + 1).min(MAX_TIMEOUT_VOTES);
        } else if self.votes > 0 {
            self.votes -= 1;
        } else {
            (self.timeout, self.votes) = (attempt_timeout, 1);
        }
    }
}

impl Router {
    /// Adds a query that arrived. Its parts follow in separate events.
    pub(super) fn add_query(&mut self, event: Event) {
        let Event::Query {
            id,
            class,
            tenant,
            arrived_at,
            deadline,
            is_retry,
        } = event
        else {
            return;
        };
        self.retry_window.arrivals.add(self.now);
        if self.settings.classes.get(class.0 as usize).is_none() {
            return;
        }
        let deadline_at = seconds(deadline);
        let arrived_at = arrived_at.map(seconds);
        let target_at = self.latency_target_at(class, arrived_at, deadline_at, is_retry);
        let tenant_rate = tenant.and_then(|t| self.tenant_rates.get_mut(t.0 as usize));
        if let Some(rate) = tenant_rate {
            rate.add(self.now, RATE_TIME_CONSTANT_S);
        }
        let query = Query {
            class,
            tenant,
            target_at,
            deadline_at,
            parts: Vec::new(),
            admitted: false,
            first_step_complete: None,
        };
        self.queries.insert(id, query);
    }

    /// Adds a part to an open query. Parts of unknown queries are ignored.
    pub(super) fn add_part(&mut self, id: RequestId, query: RequestId, shard: u32, weight: f64) {
        self.retry_window.arrivals.add(self.now);
        let Some(open) = self.queries.get_mut(&query) else {
            return;
        };
        open.parts.push(id);
        let part = Part {
            query,
            shard,
            weight,
            attempts: Vec::new(),
            answered: false,
            closed: false,
        };
        self.parts.insert(id, part);
    }

    /// Returns until when an answer earns its full value, in seconds since the origin.
    ///
    /// The latency target counts from the client's first attempt. All first attempts of a class
    /// have the same timeout, and the last retry of a client has what is left of its total timeout.
    /// The start of the client's first attempt can therefore be derived from the deadline. If
    /// clients mark retries, the mark decides which case applies. A client with a timeout shorter
    /// than the latency target is served within its timeout. The guess is wrong for a first attempt
    /// that was delayed on its way here, unless its arrival time is known.
    fn latency_target_at(
        &mut self,
        class: ClassId,
        arrived_at: Option<f64>,
        deadline_at: f64,
        is_retry: Option<bool>,
    ) -> f64 {
        let settings = self.class(class);
        let target = seconds(settings.latency_target);
        let client_timeout = seconds(settings.client_timeout);
        let tolerance = TIMEOUT_TOLERANCE_SHARE * client_timeout;
        let arrival_time_unknown = arrived_at.is_none();
        let arrived_at = arrived_at.unwrap_or(self.now).min(self.now);
        let attempt_timeout = deadline_at - arrived_at;
        let typical_timeout = &mut self.first_attempt_timeouts[class.0 as usize];
        let matches_typical = (attempt_timeout - typical_timeout.timeout).abs() < tolerance;
        typical_timeout.vote(attempt_timeout, matches_typical);
        let typical_timeout = typical_timeout.timeout;
        if attempt_timeout < target {
            return deadline_at;
        }
        let pause_began_at = self.pauses.began_at_if_ended_now(self.now);
        let delayed_by_pause = |pause_began_at| {
            arrival_time_unknown && typical_timeout - attempt_timeout < self.now - pause_began_at
        };
        if pause_began_at.is_some_and(delayed_by_pause) {
            return deadline_at - typical_timeout + target;
        }
        let first_attempt = is_retry.map_or(
            (attempt_timeout - typical_timeout).abs() < tolerance,
            |retry| !retry,
        );
        if first_attempt {
            return arrived_at + target;
        }
        arrived_at.min(deadline_at - client_timeout) + target
    }
}
