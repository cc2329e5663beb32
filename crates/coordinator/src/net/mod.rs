//! Everything that touches sockets: connections with their ring buffers, HTTP, frames, the actors of
//! the hosts and of the host list.

pub mod backoff;
pub mod conn;
pub mod dns_sd;
pub mod frames;
pub mod http;
pub mod link;
pub mod list;
pub mod objects;
pub mod peer;
pub mod ring;
pub mod silence;
pub mod talk;
