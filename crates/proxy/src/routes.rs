//! Finds the route of a request, and the service of a route.

use configuration::{Configuration, Route};
use std::collections::HashMap;
use std::sync::Arc;

/// The routes of one host name.
#[derive(Debug, Default)]
struct HostRoutes {
    longest_prefix_bytes: usize,
    by_prefix: HashMap<Box<[u8]>, Arc<Route>>,
}

/// Routes by host name and path prefix.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<String, HostRoutes>,
}

impl RouteTable {
    /// The routes of a configuration.
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

    /// The route of this host name (in any case) with the longest prefix of `path`. Prefixes end with a slash.
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

/// The service of a route; where the route is split over several, by their weights. `random` is uniform over all
/// values. `None` if no service has a weight.
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
    // By rounding none may be selected.
    selected.or(last).map(|target| target.service.as_str())
}

/// Maps a uniform number to [0, 1), with the 53 bits that an `f64` holds.
fn unit_interval(random: u64) -> f64 {
    (random >> 11) as f64 / (1u64 << 53) as f64
}
