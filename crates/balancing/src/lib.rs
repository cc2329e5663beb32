//! The proxy's load balancing: which host a request is sent to, when another host is tried, which hosts are healthy.
//!
//! [`LoadBalancer`] implements Join-Idle-Queue: a request goes to a host on the idle list of its service and consumes
//! one of the host's entries. If no host is listed, a random one of the cheapest hosts is chosen. Source: Lu et al.,
//! "Join-Idle-Queue: A novel load balancing algorithm for dynamically scalable web services", 2011.
//!
//! The crate has no clock and no I/O, and its random choices depend only on a seed. Every call passes the time as a
//! [`Duration`] since an origin that the caller chooses.
//!
//! Each mechanism has a module of its own; `docs/design/policy.md` lists them with their constants and reasons.
//!
//! [`Duration`]: std::time::Duration
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod load_balancer;
mod types;

// The mechanisms of load balancing.
mod adaptive_throttle;
mod affinity;
mod attempt_timeout;
mod host_choice;
mod join_idle_queue;
mod load_estimate;
mod outlier_ejection;
mod prefix_cache;
mod retry_budget;
mod slow_start;

// The state and the tools that the mechanisms use.
mod host;
mod random;
mod service;
mod state;
mod statistics;
mod time;

pub use load_balancer::LoadBalancer;
pub use outlier_ejection::{HealthChange, HostError};
pub use types::{
    AttemptId, HealthTransition, HostChoice, HostInfo, HostLoad, LoadBalancerSettings, Outcome,
    PrefixHint, PromptPart, RequestContext, ServiceInfo,
};
