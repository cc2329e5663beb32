//! The idle queue of Join-Idle-Queue: servers that are known to be lighter than the mean.

use super::router::Router;
use super::server::Server;
use crate::interface::ServerId;

/// Age at which an entry of the idle queue no longer counts.
pub(super) const ENTRY_LIFETIME_S: f64 = 2.0;
/// Least mean load that servers are compared with.
pub(super) const MIN_MEAN_LOAD: f64 = 0.5;
/// A server is entered once for each part that it is short of the mean load plus this.
const ENTRY_LOAD_MARGIN: f64 = 0.5;

/// The entries of one server in the idle queue.
pub(super) struct IdleQueueEntries {
    pub(super) count: u32,
    /// Time of the report that they come from.
    pub(super) updated_at: f64,
}

impl IdleQueueEntries {
    pub(super) fn new(now: f64) -> Self {
        Self {
            count: 0,
            updated_at: now,
        }
    }
}

impl Router {
    /// Whether a server has an entry in the idle queue.
    ///
    /// Entries expire. A server that has none of our parts in flight and reported nothing for that
    /// long isn't busy with our work: it counts as entered once, or it would never get to report
    /// again.
    pub(super) fn is_in_idle_queue(&self, server: &Server) -> bool {
        let expired = self.now - server.idle_queue.updated_at > ENTRY_LIFETIME_S;
        (expired && server.in_flight.is_empty()) || (!expired && server.idle_queue.count > 0)
    }

    /// The estimated load up to which a server is entered in the queue.
    pub(super) fn idle_queue_threshold(&self) -> f64 {
        self.fleet_load.mean.max(MIN_MEAN_LOAD) + ENTRY_LOAD_MARGIN
    }

    /// Enters a server once for each part that it is short of the threshold; removes it if it is
    /// busier.
    pub(super) fn set_idle_queue_entries(&mut self, server_id: ServerId, threshold: f64) {
        let Some(server) = self.servers.get(&server_id) else {
            return;
        };
        let entries = (threshold - self.estimated_load(server)).max(0.0).ceil() as u32;
        if let Some(server) = self.servers.get_mut(&server_id) {
            server.idle_queue.count = entries;
        }
    }

    /// Strikes off an entry of a server that is sent a part. `uses_entry` is false for a part that
    /// shares the call of another one.
    pub(super) fn consume_idle_queue_entry(&mut self, server_id: ServerId, uses_entry: bool) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&server_id) else {
            return;
        };
        let entries = &mut server.idle_queue;
        if now - entries.updated_at > ENTRY_LIFETIME_S {
            (entries.count, entries.updated_at) = (0, now);
        }
        entries.count -= u32::from(uses_entry && entries.count > 0);
    }
}
