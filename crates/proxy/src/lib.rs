//! The proxy (data plane): takes clients' requests, finds their route, sends them to the host that
//! [`balancing`] names, and passes the answers and streams back. One thread, a tokio `current_thread` runtime;
//! [`serve`] has to run inside a `LocalSet`.
//!
//! What must hold is decided in parts without I/O: [`attempt`] (whether a request goes out again),
//! [`events`] (whole events of a stream), [`pool`] (connections that stand idle), [`routes`]; heads and bodies
//! by [`http1`]. The rest moves bytes.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod attempt;
mod connections;
mod core;
pub mod counters;
pub mod events;
mod exchange;
mod fleet;
mod front;
mod hint_listener;
mod hints;
mod hostlink;
mod idle_clients;
mod own_answer;
pub mod pool;
mod progress;
mod readiness;
mod request;
pub mod routes;
mod serve;
mod shutdown;
mod wire;

pub use fleet::FleetSnapshot;
pub use serve::{serve, serve_with_counters, Error};
