//! Snapshot of the fleet that the agent passes to the proxy.

use balancing::HostInfo;
use configuration::Configuration;
use std::fmt;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// Reader of an upper bound of the configuration's age: the longest time for which this process may have missed changes
/// of it.
#[derive(Clone)]
pub struct ConfigurationAge(Arc<dyn Fn() -> Option<Duration> + Send + Sync>);

impl ConfigurationAge {
    /// Creates a reader that calls `read`, which returns `None` if the age is unknown.
    pub fn new(read: impl Fn() -> Option<Duration> + Send + Sync + 'static) -> Self {
        Self(Arc::new(read))
    }

    /// Returns the current age; `None` if it is unknown.
    pub fn now(&self) -> Option<Duration> {
        (self.0)()
    }
}

impl fmt::Debug for ConfigurationAge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("ConfigurationAge")
            .field(&self.now())
            .finish()
    }
}

/// State of the fleet at one moment, as known to the agent on the proxy's machine.
#[derive(Clone, Debug)]
pub struct FleetSnapshot {
    /// Newest configuration that the agent has received.
    pub configuration: Arc<Configuration>,
    /// All current hosts, including those that are draining.
    pub hosts: Vec<HostInfo>,
    /// Number of proxies that share the retry budget and the hosts' connections, this one included.
    pub proxy_count: usize,
    /// Addresses at which the other proxies receive prefix hints.
    pub peer_hint_addresses: Vec<SocketAddrV4>,
    /// Ids of the control plane's members, with the addresses at which they receive quota requests.
    pub quota_members: Vec<(u64, SocketAddrV4)>,
    /// Upper bound of the configuration's age, readable at any time.
    pub configuration_age: ConfigurationAge,
}
