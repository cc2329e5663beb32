//! What the proxy is told of the fleet.

use balancing::HostInfo;
use configuration::Configuration;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// What is known of the fleet.
#[derive(Clone, Debug)]
pub struct World {
    /// The configuration.
    pub document: Arc<Configuration>,
    /// All hosts that are not gone.
    pub hosts: Vec<HostInfo>,
    /// Proxies that share the budget for repeats, this one among them.
    pub coordinators: usize,
    /// Where the other proxies take hints.
    pub others: Vec<SocketAddrV4>,
}
