//! The proxy's decisions: which host a request goes to, whether it may go to another one, which hosts are
//! well. Takes what happens with the time (since an origin that the caller chooses), has no clock, no I/O.
//!
//! [`LoadBalancer`] is Join-Idle-Queue: a request takes a listed host of its service and strikes the entry off; with
//! none listed it goes to a random one. What counts as idle, and which entry wins, is in `docs/design/policy.md`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod budget;
mod choice;
mod health;
mod host;
mod idle;
mod order;
mod policy;
mod random;
mod service;
mod types;
mod window;

pub use policy::LoadBalancer;
pub use types::{
    AttemptId, HostChoice, HostInfo, HostLoad, LoadBalancerSettings, Outcome, PrefixHint,
    PromptPart, RequestContext, ServiceInfo,
};
