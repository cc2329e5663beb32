//! Input and output types of the load balancer.

use crate::outlier_ejection::HealthChange;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// Settings of a [`LoadBalancer`](crate::LoadBalancer) that stay fixed for the lifetime of the process.
#[derive(Clone, Debug)]
pub struct LoadBalancerSettings {
    /// Zone of this proxy. Among equal hosts, one in the same zone is preferred.
    pub zone: Arc<str>,
    /// Retries allowed per request, over all proxies together.
    pub retry_ratio: f64,
    /// Length of the sliding window over which requests and retries are counted.
    pub retry_window: Duration,
    /// Retries allowed in one window in addition to those of `retry_ratio`, over all proxies together.
    pub retry_slack: f64,
    /// Seed of the random choices.
    pub random_seed: u64,
}

/// Configuration of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceInfo {
    /// Name of the service.
    pub name: Arc<str>,
    /// Number of connections that one host accepts, over all callers.
    pub connection_limit: u32,
    /// Number of tokens that the prefix cache of one host holds; `None` if the hosts run no model.
    pub cache_capacity_tokens: Option<f64>,
}

/// A host's record in the host registry.
#[derive(Clone, Debug, PartialEq)]
pub struct HostInfo {
    /// Identity of the host, which is new with every start.
    pub id: Arc<str>,
    /// Name of the host's service.
    pub service: Arc<str>,
    /// Address at which the host accepts requests.
    pub addr: SocketAddrV4,
    /// Zone that the host runs in.
    pub zone: Arc<str>,
    /// Number of requests that the host processes concurrently.
    pub capacity: u32,
    /// Whether the host is draining and gets no new requests. Hosts that are gone are not listed at all.
    pub draining: bool,
    /// Whether the host's heartbeats have stopped.
    pub heartbeat_expired: bool,
    /// Time for which the host is still slow after its start.
    pub slow_start_remaining: Duration,
}

/// One part of a prompt. Prompts that begin with the same parts share their prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the content: equal parts have equal ids.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// A request that needs a host.
#[derive(Clone, Debug)]
pub struct RequestContext<'a> {
    /// Name of the requested service.
    pub service: &'a str,
    /// Urgency of the request's tenant, which takes precedence over `rank`; 0 is the most urgent. `None` without a
    /// tenant.
    pub tenant_rank: Option<u32>,
    /// Urgency of the request's route; 0 is the most urgent.
    pub rank: u32,
    /// Whether the request may be executed twice.
    pub idempotent: bool,
    /// Parts of the prompt, in order. The last one belongs to this request alone, the others may be shared. Empty if
    /// the parts are unknown.
    pub prompt_parts: &'a [PromptPart],
    /// Length of the prompt in tokens, used if the parts are unknown; 0 if the length is unknown too.
    pub prompt_tokens: u32,
    /// Time until the deadline of the request.
    pub time_remaining: Duration,
    /// Time until the first event counts as late; `None` if the route has no latency target.
    pub target_remaining: Option<Duration>,
    /// Identities of the hosts that the request was sent to before; none of them is chosen again.
    pub attempted_hosts: &'a [Arc<str>],
}

/// Identifier of an attempt in flight. It may be reused once the attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId(pub usize);

/// Result of [`LoadBalancer::choose_host`](crate::LoadBalancer::choose_host).
#[derive(Clone, Debug, PartialEq)]
pub enum HostChoice {
    /// The request is to be sent to this host. The attempt counts as in flight from now on.
    Selected {
        /// Identifier of the attempt.
        attempt: AttemptId,
        /// Identity of the host.
        id: Arc<str>,
        /// Address of the host.
        addr: SocketAddrV4,
        /// Value of the `Priority` header, if one is to be sent.
        priority: Option<u8>,
    },
    /// No host can accept the request now.
    Unavailable {
        /// Time after which the client may retry.
        retry_after: Duration,
    },
    /// The hosts are overloaded: this request, or another in its place, would be answered too late.
    Throttled {
        /// Time after which the client may retry.
        retry_after: Duration,
    },
}

/// The load that a host reports in the `Fennelpin-Host-Load` header.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that can run concurrently.
    pub slots: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete successful response arrived.
    Succeeded,
    /// The host executed the request and failed: 500, 504, or a 4xx status that the host itself produced.
    Failed,
    /// The host refused the request without executing it, because it is at capacity: 429 or 503.
    Overloaded,
    /// The host refused the request for another reason, or this process has reached its limit of connections to it.
    Refused,
    /// 421 Misdirected Request: another host has the address now.
    Misdirected,
    /// The connection couldn't be established: the request was never executed.
    ConnectFailed,
    /// The connection broke, or the received data isn't a valid response.
    ConnectionLost,
    /// No response arrived in time.
    TimedOut,
    /// The client disconnected, or the proxy cancelled the request.
    Cancelled,
}

/// A change of a host's health, for logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthTransition {
    /// Identity of the host.
    pub host_id: Arc<str>,
    /// The host's service.
    pub service: Arc<str>,
    /// The change.
    pub change: HealthChange,
}

/// A message to other proxies that a host has a prompt's prefix in its cache.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefixHint {
    /// Identity of the host.
    pub host_id: Arc<str>,
    /// The shared parts of the prompt, in order.
    pub prefix: Vec<PromptPart>,
    /// Number of prompt tokens that were not in the cache: the host has to prefill them.
    pub uncached_tokens: u32,
}
