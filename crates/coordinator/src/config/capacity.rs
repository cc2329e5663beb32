//! How the limits on descriptors and memory are divided.

use super::error::ConfigError;
use serde::Deserialize;

/// Fewest descriptors that the program can serve with.
const MIN_SOCKETS: usize = 128;
/// Least memory that the program can serve with, in MB.
const MIN_MEMORY_MB: usize = 24;
/// No machine has more descriptors or MB; sums of the limits must not overflow.
const MAX_LIMIT: usize = 1 << 24;
/// Descriptors where the configuration names no limit.
const DEFAULT_SOCKETS: usize = 1024;
/// Memory where the configuration names no limit, in MB.
const DEFAULT_MEMORY_MB: usize = 192;
/// Descriptors set aside for the listener, the list, the runtime and the standard streams.
const RESERVED_SOCKETS: usize = 16;
/// Descriptors set aside for the operator's address: its callers, its listener and its runtime.
const RESERVED_OPERATOR_SOCKETS: usize = 32;
/// Memory set aside for the program itself, its connections to hosts and their values, in MB.
const RESERVED_MEMORY_MB: usize = 12;
/// Memory that a client may come to hold, with its ring buffers, a body and its answer, in KB.
const CLIENT_MEMORY_KB: usize = 112;

/// The limits of the process, as the platform's file has them.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct RawLimits {
    memory_mb: Option<usize>,
    sockets: Option<usize>,
}

/// How many of each thing the process may hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Clients served at once.
    pub clients: usize,
    /// Clients beyond those that still get an answer, which says that there are too many.
    pub rejected_clients: usize,
    /// Connections to hosts at once.
    pub host_connections: usize,
    /// Bytes of hosts' values held for open queries.
    pub response_bytes: usize,
}

impl Capacity {
    /// Divides the limits. Clients get five eighths of the descriptors at most, as far as the memory allows. Hosts get
    /// the rest, so that clients can't keep the program from them.
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

    /// What one of several cores has of it.
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
