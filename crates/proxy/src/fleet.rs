//! What the proxy knows of the fleet.

use balancing::HostInfo;
use configuration::Configuration;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// The fleet as the agent beside the proxy knows it at one moment.
#[derive(Clone, Debug)]
pub struct FleetSnapshot {
    /// The operators' configuration.
    pub configuration: Arc<Configuration>,
    /// All hosts but those that are gone.
    pub hosts: Vec<HostInfo>,
    /// Number of proxies that share the retry budget and the hosts' connections, this one included.
    pub proxy_count: usize,
    /// Addresses at which the other proxies take prefix hints.
    pub peer_hint_addresses: Vec<SocketAddrV4>,
}
