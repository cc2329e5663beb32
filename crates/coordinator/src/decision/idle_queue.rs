//! The idle queue of Join-Idle-Queue: the servers whose load is known to be below the mean.

use super::router::Router;
use super::server::Server;
use crate::interface::ServerId;

/// Age at which an entry of the idle queue expires.
pub(super) const ENTRY_LIFETIME_S: f64 = 2.0;
/// Lower bound of the mean load that servers are compared with.
pub(super) const MIN_MEAN_LOAD: f64 = 0.5;
/// A server gets one entry for each part that its load is below the mean plus this margin.
const ENTRY_LOAD_MARGIN: f64 = 0.5;

/// The entries of one server in the idle queue.
pub(super) struct IdleQueueEntries {
    pub(super) count: u32,
    /// When they were last derived from a report.
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
    /// Entries expire. A server without parts of this router in flight, and without a report for as
    /// long as an entry lives, is not busy with work of this router. It counts as having one entry,
    /// as otherwise it would get no parts and never report again.
    pub(super) fn is_in_idle_queue(&self, server: &Server) -> bool {
        let expired = self.now - server.idle_queue.updated_at > ENTRY_LIFETIME_S;
        (expired && server.in_flight.is_empty()) || (!expired && server.idle_queue.count > 0)
    }

    /// Returns the estimated load up to which a server gets entries in the queue.
    pub(super) fn idle_queue_threshold(&self) -> f64 {
        self.fleet_load.mean.max(MIN_MEAN_LOAD) + ENTRY_LOAD_MARGIN
    }

    /// Gives a server one entry for each part that its load is below the threshold, and none if it
    /// is above.
    pub(super) fn set_idle_queue_entries(&mut self, server_id: ServerId, threshold: f64) {
        let Some(server) = self.servers.get(&server_id) else {
            return;
        };
        let entries = (threshold - self.estimated_load(server)).max(0.0).ceil() as u32;
        if let Some(server) = self.servers.get_mut(&server_id) {
            server.idle_queue.count = entries;
        }
    }

    /// Consumes an entry of a server that is sent a part. `uses_entry` is false for a part that
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
