//! How long a request may take: the earlier of its client's deadline and its route's.

use crate::headers::DEADLINE_MS;
use configuration::Route;
use http1::RequestHead;
use std::time::Duration;

/// The time that a request has from its first bytes on. Without a route only its client's deadline counts.
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

/// A duration of milliseconds; what is out of range counts as no limit.
pub(crate) fn duration_from_ms(ms: f64) -> Duration {
    // A quarter, so that a few can be added up.
    Duration::try_from_secs_f64(ms / 1e3).unwrap_or(Duration::MAX / 4)
}
