//! Queries that may crash the servers they touch ("queries of death"). While servers die under
//! parts, a query sends one part ahead, and one that is suspected of crashing servers goes to no
//! further one.

use super::outlier_ejection::CRASH_WINDOW_S;
use super::router::Router;
use super::work::{Attempt, Query};
use crate::interface::ServerId;

/// When servers died.
pub(super) struct LastCrashTimes {
    /// When one last died under a part of this router.
    pub(super) while_serving_part_at: Option<f64>,
    /// When the list last told that one in service is gone.
    pub(super) removed_from_list_at: f64,
}

impl Default for LastCrashTimes {
    fn default() -> Self {
        Self {
            while_serving_part_at: None,
            removed_from_list_at: f64::MIN,
        }
    }
}

/// What a query does first while servers die.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum CrashPrecaution {
    /// One part goes ahead: if it crashes its server, it takes no other with it.
    SendOnePart,
    /// That part is in flight: the others wait for its answer.
    Wait,
}

impl Router {
    /// The precaution that a query takes. `None` if servers are well, once one of its parts was
    /// answered, or once the part sent ahead is late: then all parts go.
    pub(super) fn crash_precaution(&self, query: &Query) -> Option<CrashPrecaution> {
        let crashed_at = self.last_crashes.while_serving_part_at?;
        let latest_crash_at = crashed_at.max(self.last_crashes.removed_from_list_at);
        if self.now - latest_crash_at > CRASH_WINDOW_S {
            return None;
        }
        let attempts = self.attempts_if_unanswered(query)?;
        let late_if_sent_before = self.now - self.latency_quantile(query.class, 0.9);
        match attempts.iter().find(|a| a.in_flight) {
            None => Some(CrashPrecaution::SendOnePart),
            Some(canary) => {
                (canary.sent_at >= late_if_sent_before).then_some(CrashPrecaution::Wait)
            }
        }
    }

    /// Whether a query is suspected of crashing servers: none of its parts was answered, and a
    /// server died under the part that it sent ahead, or two died under its parts.
    pub(super) fn is_crash_suspect(&self, query: &Query) -> bool {
        let Some(attempts) = self.attempts_if_unanswered(query) else {
            return false;
        };
        let parts_sent = self
            .parts_of(query)
            .filter(|p| !p.attempts.is_empty())
            .count();
        let sent_only_canary = parts_sent < query.parts.len().min(2);
        let mut crashed = attempts
            .iter()
            .filter(|a| self.crashed_server(a))
            .map(|a| a.server);
        let Some(first) = crashed.next() else {
            return false;
        };
        sent_only_canary || crashed.any(|server: ServerId| server != first)
    }

    /// Whether the server died under an attempt.
    fn crashed_server(&self, attempt: &Attempt) -> bool {
        let died_since = self
            .servers
            .get(&attempt.server)
            .is_some_and(|s| s.health.last_crash_at >= attempt.sent_at);
        attempt.connection_broke && died_since
    }
}
