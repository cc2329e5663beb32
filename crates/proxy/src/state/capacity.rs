//! Limits of the process that follow from its settings.

use configuration::ProcessSettings;

/// Limits of the process that follow from its settings.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Capacity {
    /// Connections of clients that are served.
    pub(crate) max_clients: usize,
    /// Connections to hosts, over all hosts.
    pub(crate) max_host_connections: usize,
    /// Bytes of request bodies, over all requests.
    pub(crate) max_body_bytes: usize,
}

/// File descriptors left for listeners, the connection to the agent and what is opened for a moment.
const RESERVED_FDS: u64 = 250;
/// File descriptors that connections have at least.
const MIN_CONNECTION_FDS: u64 = 16;
/// Share of the connections' file descriptors that clients have; hosts have the others.
const CLIENT_FD_SHARE: f64 = 0.6;
/// Share of the process's memory for request bodies.
const BODY_MEMORY_SHARE: f64 = 0.3;

impl Capacity {
    /// The capacity of a process with these settings.
    pub(crate) fn from_settings(settings: &ProcessSettings) -> Self {
        let fds = settings
            .limits
            .fd_limit
            .saturating_sub(RESERVED_FDS)
            .max(MIN_CONNECTION_FDS) as f64;
        let memory_bytes = settings.limits.memory_mb as f64 * 1024.0 * 1024.0;
        Self {
            max_clients: (fds * CLIENT_FD_SHARE) as usize,
            max_host_connections: (fds * (1.0 - CLIENT_FD_SHARE)) as usize,
            max_body_bytes: (memory_bytes * BODY_MEMORY_SHARE) as usize,
        }
    }
}
