//! Rejections and failures of queries, with a hint when the client should retry.

use super::router::{action_duration, seconds, Router};
use crate::interface::{Action, Cause, RequestId};
use std::time::Duration;

/// Shortest retry hint.
const MIN_RETRY_HINT_S: f64 = 0.05;

impl Router {
    /// Rejects a query. `wait` is the time in seconds after which a retry may succeed.
    pub(super) fn reject(
        &mut self,
        id: RequestId,
        wait: f64,
        cause: Cause,
        actions: &mut Vec<Action>,
    ) {
        actions.push(Action::Reject {
            query: id,
            retry_after: self.retry_hint(wait),
            cause,
        });
        self.drop_query(id, actions);
    }

    /// Fails a query that may have taken effect. `wait` is the time in seconds after which a retry
    /// may succeed.
    pub(super) fn fail(
        &mut self,
        id: RequestId,
        wait: f64,
        cause: Cause,
        actions: &mut Vec<Action>,
    ) {
        actions.push(Action::Fail {
            query: id,
            retry_after: self.retry_hint(wait),
            cause,
        });
        self.drop_query(id, actions);
    }

    /// Returns the retry hint for a wait in seconds; `None` if clients get no hints.
    fn retry_hint(&self, wait: f64) -> Option<Duration> {
        let max_hint = seconds(self.settings.max_retry_after?).max(MIN_RETRY_HINT_S);
        Some(action_duration(wait.clamp(MIN_RETRY_HINT_S, max_hint)))
    }
}
