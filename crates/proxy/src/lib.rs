//! The proxy (data plane): forwards clients' requests to hosts and returns the hosts' responses.
//!
//! [`serve`] runs it on one thread; it has to run inside a `LocalSet` of a `current_thread` tokio runtime.
//!
//! | module | purpose |
//! | --- | --- |
//! | `server` | the process: listeners, background tasks and shutdown |
//! | `client` | client connections: reading requests, keep-alive and limits |
//! | `exchange` | handling of one request, from its route to its response |
//! | [`upstream`] | connections to hosts and their pool |
//! | `state` | state shared by all connections: routing table, load balancer, body memory and clock |
//! | `hints` | prefix hints between proxies: which host each prompt was sent to |
//! | `quota` | tenants' quotas, granted by members of the control plane |
//! | `readiness` | HTTP server for the platform's readiness probe |
//!
//! Decisions without I/O have modules of their own: [`retry`] (whether another attempt is made), [`event_stream`]
//! (complete events, position to resume from), [`event_boundary`] (whether a stream stops inside an event),
//! [`upstream::pool`] (which connection is used), [`routes`] (route and service of a request), [`tenants`] (sender of a
//! request), `response_matching` (which attempt a response belongs to), `shutdown` (which requests are still admitted).
//! The crate [`balancing`] selects the hosts; [`http1`] parses HTTP/1.1.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod client;
pub mod counters;
mod deadline;
pub mod event_boundary;
pub mod event_stream;
mod exchange;
mod fleet;
mod headers;
mod hints;
mod local_reply;
mod quota;
mod readiness;
mod response_matching;
mod response_progress;
pub mod retry;
pub mod routes;
mod server;
mod shutdown;
mod socket;
mod state;
pub mod tenants;
pub mod upstream;

pub use fleet::{ConfigurationAge, FleetSnapshot};
pub use server::{serve, serve_with_counters, Error};
