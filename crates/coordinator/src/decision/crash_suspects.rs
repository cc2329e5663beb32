//! Protection against queries that crash the servers they are sent to ("queries of death"). While
//! servers crash, a query first sends a single part as a canary, and a query suspected of crashing
//! servers is sent to no further server.

use super::outlier_ejection::CRASH_WINDOW_S;
use super::router::Router;
use super::work::{Attempt, Query};
use crate::interface::ServerId;

/// When servers last crashed.
pub(super) struct LastCrashTimes {
    /// When a server last crashed with a part of this router in flight.
    pub(super) while_serving_part_at: Option<f64>,
    /// When the list last reported a ready server as gone.
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

/// Restriction on the sends of a query while servers crash.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum CrashPrecaution {
    /// Send a single part as a canary, so that the query can crash at most one server.
    SendOnePart,
    /// The canary is in flight; the other parts wait for its answer.
    Wait,
}

impl Router {
    /// Returns the restriction on a query's sends. It is `None`, and all parts may be sent, if no
    /// server crashed recently, if one of the query's parts was answered, or if the canary is late.
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
    /// server crashed under its canary, or two servers crashed under its parts.
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

    /// Whether the server of an attempt crashed while the attempt was in flight.
    fn crashed_server(&self, attempt: &Attempt) -> bool {
        let died_since = self
            .servers
            .get(&attempt.server)
            .is_some_and(|s| s.health.last_crash_at >= attempt.sent_at);
        attempt.connection_broke && died_since
    }
}
