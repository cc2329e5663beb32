//! Types of the items of a configuration, with the JSON keys that operators write.

use serde::Deserialize;

/// Kind of a route's requests, which determines how often one may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// An idempotent request, which may run more than once.
    Pure,
    /// A request with side effects, which may run at most once.
    Mutating,
    /// A request whose response is a stream of events. It may run at most once, unless the route is resumable.
    Streaming,
}

/// A service that a route forwards to, with its weight.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Weight among the targets of the route, 0 or more. The weights of a route add up to more than 0.
    #[serde(rename = "share")]
    pub weight: f64,
}

/// A route: which requests it matches, which services they go to, and their limits.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Route {
    /// Name of the route, unique among the routes.
    pub name: String,
    /// `Host` that the route matches, ignoring case.
    pub hostname: String,
    /// Path prefix that the route matches. It begins and ends with a slash.
    pub path_prefix: String,
    /// Kind of its requests.
    #[serde(rename = "route_class")]
    pub kind: RouteKind,
    /// Deadline of a request, in ms from its arrival; above 0.
    pub deadline_ms: f64,
    /// Latency target in ms: a response within this time has its full value.
    #[serde(default)]
    pub target_ms: Option<f64>,
    /// Priority; 0 is the highest.
    #[serde(default)]
    pub rank: u32,
    /// The only service, if requests are not split between several.
    #[serde(default)]
    pub service: Option<String>,
    /// Services with their weights. Takes precedence over `service`.
    #[serde(default)]
    pub weighted_split: Option<Vec<RouteTarget>>,
    /// Maximum number of attempts for a request (default 1).
    #[serde(default = "default_max_tries")]
    pub max_tries: u32,
    /// Whether requests share prompt prefixes, so that routing them to the same host saves work.
    #[serde(default)]
    pub affine: bool,
    /// Whether a stream may be resumed on another host.
    #[serde(default)]
    pub resumable: bool,
    /// Target for the time between two events of a stream, in ms.
    #[serde(default)]
    pub gap_aim_ms: Option<f64>,
    /// Whether requests need no API key even if the configuration has tenants.
    #[serde(default)]
    pub anonymous: bool,
}

fn default_max_tries() -> u32 {
    1
}

impl Route {
    /// The names of the services with their weights.
    pub fn targets(&self) -> Vec<(&str, f64)> {
        match (&self.weighted_split, &self.service) {
            (Some(split), _) => split
                .iter()
                .map(|target| (target.service.as_str(), target.weight))
                .collect(),
            (None, Some(service)) => vec![(service.as_str(), 1.0)],
            (None, None) => Vec::new(),
        }
    }

    /// Whether a request may run more than once: it is idempotent, or its stream can be resumed.
    pub fn idempotent(&self) -> bool {
        self.kind == RouteKind::Pure || (self.kind == RouteKind::Streaming && self.resumable)
    }
}

/// Properties of the model hosts of a service.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Engine {
    /// Number of requests that a host runs in one batch.
    #[serde(default)]
    pub capacity: u32,
    /// Size of the KV cache in tokens, which running requests and the prefix cache share.
    #[serde(default)]
    pub cache_tokens: f64,
    /// Number of tokens in an event of a stream.
    #[serde(default)]
    pub stride: f64,
}

/// A service: a set of hosts that serve the same requests.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Service {
    /// Name of the service, unique among the services.
    pub name: String,
    /// Path of the hosts' health check.
    #[serde(default)]
    pub health_path: String,
    /// Number of connections that each host accepts from all callers together (default 100).
    #[serde(default = "default_conn_limit")]
    pub conn_limit: u32,
    /// Properties of the hosts if they are model hosts, else `None`.
    #[serde(default, rename = "runtime")]
    pub engine: Option<Engine>,
}

fn default_conn_limit() -> u32 {
    100
}

/// Limits for the connections and requests of clients.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Largest request head in bytes (default 16,384).
    pub max_header_bytes: usize,
    /// Largest request body in bytes (default 4 MiB).
    pub max_body_bytes: usize,
    /// Longest time for a client to send a request head, in ms (default 3000).
    pub header_timeout_ms: u64,
    /// Longest time for which a connection may be idle, in ms (default 15,000).
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16384,
            max_body_bytes: 4 << 20,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15000,
        }
    }
}
