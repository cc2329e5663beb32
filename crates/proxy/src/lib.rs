//! The proxy (data plane): takes clients' requests, finds their route, sends them to the host that
//! [`balancing`] names, and passes the answers and streams back. One thread, a tokio `current_thread` runtime;
//! [`serve`] has to run inside a `LocalSet`.
//!
//! What must hold is decided in parts without I/O: [`retry`] (whether a request goes out again),
//! [`event_stream`] (whole events of a stream), [`upstream::pool`] (idle connections), [`routes`]; heads and bodies
//! by [`http1`]. The rest moves bytes.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod client;
pub mod counters;
pub mod event_stream;
mod exchange;
mod fleet;
mod hints;
mod local_reply;
mod readiness;
mod response_progress;
pub mod retry;
pub mod routes;
mod server;
mod shutdown;
mod socket;
mod state;
pub mod upstream;

pub use fleet::FleetSnapshot;
pub use server::{serve, serve_with_counters, Error};
