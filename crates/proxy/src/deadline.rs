//! The time limit of a request: the earlier of its client's deadline and its route's.

use crate::headers::DEADLINE_MS;
use configuration::Route;
use http1::RequestHead;
use std::time::Duration;

/// Time that a request may take, counted from its first byte. Without a route only the client's deadline counts.
pub(crate) fn time_allowed(head: &RequestHead, route: Option<&Route>) -> Duration {
    let client_ms = head
        .fields
        .get_str(DEADLINE_MS)
        .and_then(|value| value.parse().ok())
        .filter(|ms: &f64| *ms >= 0.0)
        .unwrap_or(f64::INFINITY);
    let route_ms = route.map_or(f64::INFINITY, |route| route.deadline_ms);
    duration_from_ms(client_ms.min(route_ms))
}

/// Converts milliseconds to a duration. A value out of range counts as no limit.
pub(crate) fn duration_from_ms(ms: f64) -> Duration {
    // A quarter of the maximum, so that a few such durations can be added without overflow.
    Duration::try_from_secs_f64(ms / 1e3).unwrap_or(Duration::MAX / 4)
}
