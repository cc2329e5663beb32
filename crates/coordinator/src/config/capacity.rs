//! Division of the limits on descriptors and memory between clients and hosts.

use super::error::ConfigError;
use serde::Deserialize;

/// Minimum number of descriptors that the program can serve with.
const MIN_SOCKETS: usize = 128;
/// Minimum memory that the program can serve with, in MB.
const MIN_MEMORY_MB: usize = 24;
/// Maximum of either limit: more than any machine has, and small enough that sums of the limits don't overflow.
const MAX_LIMIT: usize = 1 << 24;
/// Default limit on descriptors.
const DEFAULT_SOCKETS: usize = 1024;
/// Default limit on memory, in MB.
const DEFAULT_MEMORY_MB: usize = 192;
/// Descriptors reserved for the listener, the list's source, the runtime and the standard streams.
const RESERVED_SOCKETS: usize = 16;
/// Descriptors reserved for the operator's address: its callers, its listener and its runtime.
const RESERVED_OPERATOR_SOCKETS: usize = 32;
/// Memory reserved for the program itself, its connections to hosts and their values, in MB.
const RESERVED_MEMORY_MB: usize = 12;
/// Maximum memory of a client, with its ring buffers, a request body and the response, in KB.
const CLIENT_MEMORY_KB: usize = 112;

/// The limits of the process in the platform's file.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct RawLimits {
    memory_mb: Option<usize>,
    sockets: Option<usize>,
}

/// The maximum numbers of connections and bytes that the process may hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Maximum number of clients that are served at once.
    pub clients: usize,
    /// Maximum number of further clients, which get a response that there are too many clients.
    pub rejected_clients: usize,
    /// Maximum number of open connections to hosts.
    pub host_connections: usize,
    /// Maximum size of the hosts' values held for open queries, in bytes.
    pub response_bytes: usize,
}

impl Capacity {
    /// Divides the limits. Clients get at most five eighths of the descriptors, and fewer if the memory is too small.
    /// Descriptors for hosts are set apart, so that clients can't use them up.
    ///
    /// # Errors
    /// [`ConfigError::Value`] if a limit is out of its range.
    pub(super) fn new(limits: &RawLimits, has_operator: bool) -> Result<Self, ConfigError> {
        let sockets = limits.sockets.unwrap_or(DEFAULT_SOCKETS);
        let memory_mb = limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        if !(MIN_SOCKETS..=MAX_LIMIT).contains(&sockets) {
            return Err(ConfigError::Value("limits.sockets", sockets.to_string()));
        }
        if !(MIN_MEMORY_MB..=MAX_LIMIT).contains(&memory_mb) {
            let value = memory_mb.to_string();
            return Err(ConfigError::Value("limits.memory_mb", value));
        }
        let reserved = if has_operator {
            RESERVED_OPERATOR_SOCKETS
        } else {
            0
        };
        let sockets = sockets - reserved;
        let (clients, rejected_clients) = (sockets * 5 / 8, sockets / 16);
        let clients_in_memory = (memory_mb - RESERVED_MEMORY_MB) * 1024 / CLIENT_MEMORY_KB;
        Ok(Self {
            clients: clients.min(clients_in_memory),
            rejected_clients,
            host_connections: sockets - clients - rejected_clients - RESERVED_SOCKETS,
            response_bytes: memory_mb * 1024 * 1024 / 8,
        })
    }

    /// The capacity of one of `cores` cores: an equal share of each limit, rounded down.
    pub fn per_core(&self, cores: usize) -> Self {
        let cores = cores.max(1);
        Self {
            clients: self.clients / cores,
            rejected_clients: self.rejected_clients / cores,
            host_connections: self.host_connections / cores,
            response_bytes: self.response_bytes / cores,
        }
    }
}
