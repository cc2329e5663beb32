//! Network I/O: buffered connections, HTTP, the hosts' frame protocol, and the actors for hosts, the host list and
//! gossip.

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
