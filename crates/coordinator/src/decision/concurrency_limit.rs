//! Adaptive concurrency limit of a server: cut when it rejects a part, raised with each answer
//! (additive increase). A server that rejects our only part gets nothing for a time.

use super::backoff::Backoff;
use super::router::Router;
use super::server::Server;
use crate::interface::ServerId;
use std::time::Duration;

/// Time for which a server gets nothing after it rejected our only part. Each rejection doubles it.
const REJECTION_BACKOFF: Backoff = Backoff {
    initial: 0.1,
    max: 2.0,
};
/// What each answer adds to the concurrency limit of a server.
const LIMIT_STEP: f64 = 0.2;

/// How many of our parts a server takes at once (adaptive concurrency limit).
pub(super) struct ConcurrencyLimit {
    /// Parts in flight up to which it gets more; cut when it rejects one, raised with each answer.
    limit: f64,
    /// Parts below the limit that must be in flight before it gets any again, after the limit was
    /// reached.
    headroom: f64,
    /// Until when it gets nothing, as it rejected our only part.
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

    /// Lifts the limit, as the server's process is a new one.
    pub(super) fn reset(&mut self) {
        self.limit = f64::MAX;
    }
}

impl Router {
    /// Cuts the concurrency limit of a server to what it held when it rejected a part.
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
        // A limit of less than a call would never allow one: time limits it then. A draining server
        // wants none.
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

    /// Whether the concurrency limit of a server allows one more part.
    pub(super) fn has_capacity(&self, server: &Server) -> bool {
        let concurrency = &server.concurrency;
        f64::from(server.in_flight.count()) + concurrency.headroom < concurrency.limit
    }

    /// Notes whether a server's concurrency limit is reached. If calls have a cost, some of it must
    /// come free before the server gets parts again, so that several can share a call.
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
