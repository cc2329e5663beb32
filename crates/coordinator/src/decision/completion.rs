//! The end of an admitted query: a complete or partial answer, a rejection or a failure.

use super::partial_answers::WEIGHT_TOLERANCE;
use super::router::{seconds, Router};
use super::work::{Part, Query};
use crate::interface::{Action, Cause, RequestId, ServerState};

/// Time reserved for the second step, as a multiple of the 90th percentile of part times.
const SECOND_STEP_LATENCY_FACTOR: f64 = 1.2;

impl Router {
    /// Answers a query if that is due. Returns whether it was answered.
    pub(super) fn answer_if_due(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let query = &self.queries[&id];
        if self.is_complete(query) {
            let second_step = query.first_step_complete.is_some();
            let complete = query.first_step_complete.unwrap_or(true);
            let in_time = self.now <= query.target_at.min(query.deadline_at);
            if self.class(query.class).second_step_parts == 0 || second_step {
                self.update_admission_share(in_time);
            }
            self.answer(id, complete, actions);
            return true;
        }
        if self.partial_answer_is_due(query) {
            self.answer(id, false, actions);
            return true;
        }
        false
    }

    /// Returns the share of the current step's weight that makes an answer complete.
    fn complete_share(&self, query: &Query) -> f64 {
        if query.first_step_complete.is_some() {
            1.0
        } else {
            self.class(query.class).complete_share
        }
    }

    /// Returns the smallest share of the current step's weight that an answer may be based on.
    fn min_share(&self, query: &Query) -> f64 {
        let class = self.class(query.class);
        if class.min_share < class.complete_share {
            class.min_share
        } else {
            self.complete_share(query)
        }
    }

    fn is_complete(&self, query: &Query) -> bool {
        let progress = self.progress(query);
        let needed = self.complete_share(query);
        let complete = if needed < 1.0 {
            let total = progress.total_weight.max(1.0 - WEIGHT_TOLERANCE);
            progress.answered_weight + WEIGHT_TOLERANCE >= needed * total
        } else {
            progress.all_answered
        };
        complete && !query.parts.is_empty()
    }

    /// Whether to give a partial answer. It is given at the latency target, if enough weight is
    /// answered and waiting would earn less. It is given earlier if no missing part can still be
    /// answered.
    fn partial_answer_is_due(&self, query: &Query) -> bool {
        let class = self.class(query.class);
        let progress = self.progress(query);
        let target_at = query.target_at.min(query.deadline_at);
        let at_target =
            self.now >= target_at - self.time_for_second_step(query) - self.turn_margin();
        let due = at_target
            || progress.open_parts == 0
            || !self.parts_of(query).any(|part| self.may_be_answered(part));
        let value = class.partial_value * progress.answered_weight / self.complete_share(query);
        due && class.min_share < class.complete_share
            && progress.answered_weight + WEIGHT_TOLERANCE >= self.min_share(query)
            && value > class.late_value
    }

    /// Whether a part is open and a ready server holds its shard.
    fn may_be_answered(&self, part: &Part) -> bool {
        part.is_open() && self.servers_of_shard(part.shard).any(|(_, s)| s.is_ready())
    }

    /// Answers a query from the answered parts. After the first of two steps, the parts of the
    /// second follow.
    fn answer(&mut self, id: RequestId, complete: bool, actions: &mut Vec<Action>) {
        actions.push(Action::Answer {
            query: id,
            complete,
        });
        let two_steps = self.class(self.queries[&id].class).second_step_parts > 0;
        match self.queries.get_mut(&id) {
            Some(query) if two_steps && query.first_step_complete.is_none() => {
                query.first_step_complete = Some(complete);
                let parts = std::mem::take(&mut query.parts);
                self.drop_parts(parts, actions);
            }
            _ => self.drop_query(id, actions),
        }
    }

    /// Ends a query that can't succeed any more: an answer would be too late to be useful, the
    /// answerable parts weigh too little, or the query is suspected of crashing servers. Returns
    /// whether it was ended.
    pub(super) fn give_up_if_unanswerable(
        &mut self,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let query = &self.queries[&id];
        let too_late = self.now >= self.useful_until(query) - self.turn_margin();
        let has_lost_too_much = self.has_lost_too_much_weight(query);
        if !too_late && !has_lost_too_much && !self.is_crash_suspect(query) {
            return false;
        }
        let max_retry_hint = self.settings.max_retry_after.map_or(0.0, seconds);
        let may_be_repeated = self
            .parts_of(query)
            .all(|part| self.is_safe_to_repeat(part, query.class, max_retry_hint));
        let wait = self.latency_quantile(query.class, 0.9);
        let cause = if has_lost_too_much {
            Cause::PartsLost
        } else {
            Cause::TooLate
        };
        self.update_admission_share(false);
        if may_be_repeated {
            self.reject(id, wait, cause, actions);
        } else {
            self.fail(id, wait, cause, actions);
        }
        true
    }

    /// Whether the parts that are or can still be answered weigh too little for any answer.
    fn has_lost_too_much_weight(&self, query: &Query) -> bool {
        let total = self.progress(query).total_weight;
        let lost_weight: f64 = self
            .parts_of(query)
            .filter(|part| self.is_lost(part, query))
            .map(|part| part.weight)
            .sum();
        total - lost_weight + 2.0 * WEIGHT_TOLERANCE < self.min_share(query) * total
    }

    /// Whether a part can't be answered any more: it is closed, or it has no attempt in flight and
    /// may not be sent again or has no server.
    fn is_lost(&self, part: &Part, query: &Query) -> bool {
        if part.answered {
            return false;
        }
        if part.closed {
            return true;
        }
        if part.has_attempt_in_flight() {
            return false;
        }
        let has_no_server = self.usable_servers(part.shard).next().is_none()
            && !self
                .servers_of_shard(part.shard)
                .any(|(_, s)| s.state == ServerState::Draining);
        let attempts_exhausted =
            !part.attempts.is_empty() && !self.may_send_again(part, query.class);
        has_no_server || attempts_exhausted
    }

    /// Returns until when an answer to a query is useful. After the latency target it is if a late
    /// answer still earns something. During congestion it is only if finishing the query earns more
    /// for its missing parts than a new query earns for all of its parts.
    pub(super) fn useful_until(&self, query: &Query) -> f64 {
        let late_value = self.class(query.class).late_value;
        let missing = self.parts_of(query).filter(|p| !p.answered).count() as f64;
        let earns_late = late_value > 0.0
            && (!self.is_congested() || missing < late_value * query.parts.len() as f64);
        query.deadline_at.min(if earns_late {
            f64::MAX
        } else {
            query.target_at
        })
    }

    /// Returns the time that the first of two steps has to leave for the second, in seconds.
    pub(super) fn time_for_second_step(&self, query: &Query) -> f64 {
        let first_of_two =
            self.class(query.class).second_step_parts > 0 && query.first_step_complete.is_none();
        if first_of_two {
            SECOND_STEP_LATENCY_FACTOR * self.latency_quantile(query.class, 0.9)
        } else {
            0.0
        }
    }

    /// Removes a query. Its attempts in flight are cancelled if attempts can be cancelled.
    pub(super) fn drop_query(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(query) = self.queries.remove(&id) {
            self.drop_parts(query.parts, actions);
        }
    }

    fn drop_parts(&mut self, parts: Vec<RequestId>, actions: &mut Vec<Action>) {
        let orphaned = self.orphan_attempts(parts);
        if self.settings.cancellation {
            let cancels = orphaned
                .into_iter()
                .map(|(part, attempt)| Action::Cancel { part, attempt });
            actions.extend(cancels);
        }
    }
}
