//! Adaptive concurrency limit of a server: reduced when the server rejects a part, raised with each
//! answer (additive increase). A server that rejects the only part in flight from this router gets
//! nothing for a backoff time.

use super::backoff::Backoff;
use super::router::Router;
use super::server::Server;
use crate::interface::ServerId;
use std::time::Duration;

/// Backoff after a server rejected the only part in flight; doubled with each rejection.
const REJECTION_BACKOFF: Backoff = Backoff {
    initial: 0.1,
    max: 2.0,
};
/// Increase of the limit with each answer, in parts.
const LIMIT_STEP: f64 = 0.2;

/// Limit on the parts of this router that a server has in flight.
pub(super) struct ConcurrencyLimit {
    /// Number of parts in flight below which the server gets more.
    limit: f64,
    /// Once the limit was reached: how many parts below the limit the number in flight must be
    /// before the server gets parts again.
    headroom: f64,
    /// Until when the server gets nothing, after it rejected the only part in flight.
    pub(super) backoff_until: f64,
    backoff: f64,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self {
            limit: f64::MAX,
            headroom: 0.0,
            backoff_until: f64::MIN,
            backoff: 0.0,
        }
    }
}

impl ConcurrencyLimit {
    /// Raises the limit after an answer.
    pub(super) fn raise(&mut self) {
        self.backoff /= 2.0;
        self.limit += LIMIT_STEP;
    }

    /// Removes the limit, as the server has a new process.
    pub(super) fn reset(&mut self) {
        self.limit = f64::MAX;
    }
}

impl Router {
    /// Reduces the limit of a server to the number of parts it had in flight when it rejected one.
    pub(super) fn record_rejection(&mut self, server_id: ServerId) {
        let jitter = 0.5 + self.random_fraction();
        let many_routers = self.has_many_routers();
        let parts_per_call = if many_routers {
            f64::from(self.settings.max_parts_per_call.max(1))
        } else {
            1.0
        };
        let now = self.now;
        let Some(server) = self.servers.get_mut(&server_id) else {
            return;
        };
        let in_flight = server.in_flight.count();
        // With a limit of less than a call no call would ever be sent, so the backoff limits the
        // rate instead. A draining server wants no parts, so it gets no such minimum.
        let min_limit = if server.is_ready() {
            parts_per_call
        } else {
            0.0
        };
        let concurrency = &mut server.concurrency;
        concurrency.limit = concurrency.limit.min(f64::from(in_flight).max(min_limit));
        if many_routers && in_flight == 0 {
            concurrency.backoff = REJECTION_BACKOFF.next(concurrency.backoff);
            concurrency.backoff_until = now + jitter * concurrency.backoff;
        }
    }

    /// Whether the limit of a server allows one more part.
    pub(super) fn has_capacity(&self, server: &Server) -> bool {
        let concurrency = &server.concurrency;
        f64::from(server.in_flight.count()) + concurrency.headroom < concurrency.limit
    }

    /// Updates the headroom of a server, which is set while its limit is reached. If calls have
    /// overhead, several parts must end before the server gets parts again, so that the new ones
    /// can share a call.
    pub(super) fn update_headroom(&mut self, server_id: ServerId, in_flight_before: u32) {
        let call_headroom = if self.settings.call_overhead > Duration::ZERO {
            f64::from(self.settings.max_parts_per_call.max(1) - 1) / 2.0
        } else {
            0.0
        };
        let Some(server) = self.servers.get_mut(&server_id) else {
            return;
        };
        let in_flight = f64::from(server.in_flight.count());
        let concurrency = &mut server.concurrency;
        let reached = f64::from(in_flight_before) >= concurrency.limit
            || in_flight + concurrency.headroom >= concurrency.limit;
        concurrency.headroom = if reached {
            call_headroom.min(concurrency.limit / 2.0)
        } else {
            0.0
        };
    }
}
