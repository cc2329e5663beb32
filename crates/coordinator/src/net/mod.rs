//! Everything that touches sockets: connections with their ring buffers, HTTP, frames, the actors of
//! the hosts and of the host list.

pub mod backoff;
pub mod buffered_stream;
pub mod discovery_watch;
pub mod dns_sd;
pub mod frames;
pub mod gossip;
pub mod hosts;
pub mod http;
pub mod json_objects;
pub mod link;
pub mod ring_buffer;
pub mod stall_detector;
