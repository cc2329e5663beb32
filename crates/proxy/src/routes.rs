//! Which route a request takes.

use configuration::{Configuration, Route};
use std::collections::HashMap;
use std::sync::Arc;

#[derive(Debug, Default)]
struct Site {
    longest: usize,
    by_prefix: HashMap<Box<[u8]>, Arc<Route>>,
}

/// RouteTable by host and prefix.
#[derive(Debug, Default)]
pub struct RouteTable {
    sites: HashMap<String, Site>,
}

impl RouteTable {
    /// The routes of a configuration.
    pub fn new(document: &Configuration) -> Self {
        let mut sites: HashMap<String, Site> = HashMap::new();
        for route in &document.routes {
            let site = sites
                .entry(route.value.hostname.to_ascii_lowercase())
                .or_default();
            let prefix = route.value.path_prefix.as_bytes();
            site.longest = site.longest.max(prefix.len());
            site.by_prefix.insert(prefix.into(), route.value.clone());
        }
        Self { sites }
    }

    /// The route of this host whose prefix begins the path and is longest.
    pub fn find(&self, host: &str, path: &[u8]) -> Option<&Arc<Route>> {
        let site = match self.sites.get(host) {
            Some(site) => site,
            None => self.sites.get(&host.to_ascii_lowercase())?,
        };
        let mut end = path.len().min(site.longest);
        while let Some(slash) = path[..end].iter().rposition(|b| *b == b'/') {
            if let Some(route) = site.by_prefix.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }
}

/// The service of a route, by weight; `draw` is anything that is spread evenly.
pub fn service(route: &Route, draw: u64) -> Option<&str> {
    let Some(split) = &route.weighted_split else {
        return route.service.as_deref();
    };
    let total: f64 = split.iter().map(|t| t.weight).sum();
    let mut at = (draw >> 11) as f64 / (1u64 << 53) as f64 * total;
    let mut fits = split.iter().filter(|t| t.weight > 0.0);
    let last = fits.clone().next_back();
    let found = fits.find(|t| {
        at -= t.weight;
        at < 0.0
    });
    found.or(last).map(|t| t.service.as_str())
}
