//! Retries of failed parts, and hedged requests for late ones.

use super::router::{seconds, Router};
use super::work::{AttemptKind, Part, Query};
use crate::interface::{Action, ClassId, RequestId};

/// Share of the retry budget available to hedged requests; the rest is reserved for failed parts.
const HEDGE_BUDGET_SHARE: f64 = 0.6;
/// A part is hedged only when less than this share of its query's latency target is left.
const URGENT_TARGET_SHARE: f64 = 0.65;
/// During congestion, only parts at servers with at least this latency ratio are hedged.
const OUTLIER_LATENCY_RATIO: f64 = 2.5;
/// Number of answered parts of the same query from which a late part counts as an outlier even
/// during congestion, provided that at least half of the parts are answered.
const MIN_ANSWERED_SIBLINGS: usize = 16;

impl Router {
    /// Sends a failed or late part again, if its class and the retry budget allow it.
    ///
    /// A part without an attempt in flight is retried. A part whose attempt takes longer than
    /// nearly all others is hedged, to a server with less than the mean load. The delay before a
    /// hedge is shorter for a slow server and zero for an ejected one. If all servers are slow
    /// alike, hedges only add load, so during congestion only outliers are hedged.
    pub(super) fn retry_or_hedge(
        &mut self,
        part_id: RequestId,
        class: ClassId,
        actions: &mut Vec<Action>,
    ) {
        let part = &self.parts[&part_id];
        let Some(kind) = self.due_attempt(part, class) else {
            return;
        };
        let budget_share = if kind == AttemptKind::Hedge {
            HEDGE_BUDGET_SHARE
        } else {
            1.0
        };
        if !self.may_send_again(part, class) || !self.retry_budget_allows(budget_share) {
            return;
        }
        if let Some(server) = self.pick_server(part_id, kind, &[]) {
            self.send(part_id, class, server, true, actions);
        }
    }

    /// Returns the kind of the next attempt that is due, or `None` while the attempts in flight
    /// have to be waited for.
    fn due_attempt(&self, part: &Part, class: ClassId) -> Option<AttemptKind> {
        let median = self.latency_quantile(class, 0.5);
        let late_after = self.latency_quantile(class, 0.9).max(2.0 * median);
        let query = &self.queries[&part.query];
        let congested = self.is_congested() && !self.is_late_among_siblings(query);
        let mut kind = if part.has_attempt_in_flight() {
            AttemptKind::Rescue
        } else {
            AttemptKind::FirstOrRetry
        };
        for attempt in part.attempts.iter().filter(|a| a.in_flight) {
            let server = self.servers.get(&attempt.server);
            let Some(server) = server.filter(|s| !s.is_ejected()) else {
                continue;
            };
            let ratio = self.latency_ratio(server);
            let age = self.now - attempt.sent_at;
            let overdue = age >= (late_after / ratio.max(1.0)).max(median);
            if !overdue || !self.is_urgent(query) || (congested && ratio < OUTLIER_LATENCY_RATIO) {
                return None;
            }
            kind = AttemptKind::Hedge;
        }
        Some(kind)
    }

    /// Whether so many other parts of the query are answered that a late part is an outlier and not
    /// a sign of a slow fleet.
    fn is_late_among_siblings(&self, query: &Query) -> bool {
        let answered = self.parts_of(query).filter(|p| p.answered).count();
        answered >= MIN_ANSWERED_SIBLINGS.max(query.parts.len() / 2)
    }

    /// Whether little of a query's latency target is left.
    pub(super) fn is_urgent(&self, query: &Query) -> bool {
        let second_step = self.time_for_second_step(query);
        let target = seconds(self.class(query.class).latency_target);
        query.target_at - second_step - self.now < URGENT_TARGET_SHARE * (target - second_step)
    }
}
