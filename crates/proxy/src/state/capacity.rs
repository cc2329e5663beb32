//! Limits of the process, derived from its settings.

use configuration::ProcessSettings;

/// Limits of the process, derived from its settings.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Capacity {
    /// Maximum number of client connections that are served.
    pub(crate) max_clients: usize,
    /// Maximum number of connections to all hosts together.
    pub(crate) max_host_connections: usize,
    /// Maximum total size of request bodies, in bytes.
    pub(crate) max_body_bytes: usize,
}

/// File descriptors reserved for listeners, the connection to the agent and short-lived uses.
const RESERVED_FDS: u64 = 250;
/// Minimum number of file descriptors for connections.
const MIN_CONNECTION_FDS: u64 = 16;
/// Fraction of the connections' file descriptors for clients; the rest is for hosts.
const CLIENT_FD_SHARE: f64 = 0.6;
/// Fraction of the process's memory for request bodies.
const BODY_MEMORY_SHARE: f64 = 0.3;

impl Capacity {
    /// Computes the capacity of a process with these settings.
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
