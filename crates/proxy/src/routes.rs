//! Selection of the route for a request and of the service for a route.

use configuration::{Configuration, Route};
use std::collections::HashMap;
use std::sync::Arc;

/// Routes of one host name.
#[derive(Debug, Default)]
struct HostRoutes {
    /// Length of the longest path prefix, which bounds the search.
    longest_prefix_bytes: usize,
    by_prefix: HashMap<Box<[u8]>, Arc<Route>>,
}

/// Routes by host name and path prefix.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<String, HostRoutes>,
}

impl RouteTable {
    /// Creates the table of a configuration's routes.
    pub fn new(configuration: &Configuration) -> Self {
        let mut by_host: HashMap<String, HostRoutes> = HashMap::new();
        for route in &configuration.routes {
            let routes = by_host
                .entry(route.value.hostname.to_ascii_lowercase())
                .or_default();
            let prefix = route.value.path_prefix.as_bytes();
            routes.longest_prefix_bytes = routes.longest_prefix_bytes.max(prefix.len());
            routes.by_prefix.insert(prefix.into(), route.value.clone());
        }
        Self { by_host }
    }

    /// Returns the route of this host name whose path prefix is the longest one of `path`. Host names are compared
    /// case-insensitively; prefixes end with a slash.
    pub fn find(&self, host: &str, path: &[u8]) -> Option<&Arc<Route>> {
        let routes = match self.by_host.get(host) {
            Some(routes) => routes,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        let mut end = path.len().min(routes.longest_prefix_bytes);
        while let Some(slash) = path[..end].iter().rposition(|byte| *byte == b'/') {
            if let Some(route) = routes.by_prefix.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }
}

/// Selects the service of a route; for a weighted split, at random by the weights. `random` is uniformly distributed
/// over all values. Returns `None` if no service has a positive weight.
pub fn select_service(route: &Route, random: u64) -> Option<&str> {
    let Some(split) = &route.weighted_split else {
        return route.service.as_deref();
    };
    let total: f64 = split.iter().map(|target| target.weight).sum();
    let mut remaining = unit_interval(random) * total;
    let mut eligible = split.iter().filter(|target| target.weight > 0.0);
    let last = eligible.clone().next_back();
    let selected = eligible.find(|target| {
        remaining -= target.weight;
        remaining < 0.0
    });
    // Rounding errors may leave none selected; the last one is used then.
    selected.or(last).map(|target| target.service.as_str())
}

/// Maps a uniformly distributed integer to [0, 1), using the 53 bits of precision of an `f64`.
fn unit_interval(random: u64) -> f64 {
    (random >> 11) as f64 / (1u64 << 53) as f64
}
