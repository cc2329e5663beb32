//! What a core's table shares with the other cores.

use crate::core::CoreMessage;
use multi_core::drain_gates::DrainGates;
use multi_core::key_ownership::KeyOwnership;
use multi_core::shared_budget::BudgetLease;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::mpsc;

/// What a core's table shares with the other cores. Dropped with the table, however that ends, it frees all that
/// the core had.
pub struct SharedCoreState {
    /// The core's number.
    pub core: usize,
    /// The core's lease on the parts that may be open.
    pub lease: BudgetLease,
    /// The query names that are open on any core.
    pub names: Arc<KeyOwnership>,
    /// The drain gates of hosts, and the list versions that cores have acknowledged.
    pub gates: Arc<DrainGates>,
    /// The origin of the gates' times.
    pub origin: Instant,
    /// The other cores' mailboxes.
    pub others: Vec<mpsc::UnboundedSender<CoreMessage>>,
}

impl SharedCoreState {
    /// Whether a host's drain gate is closed at this time.
    pub fn is_gate_closed(&self, host: &str, now: Instant) -> bool {
        let now_us = now.saturating_duration_since(self.origin).as_micros() as u64;
        !self.gates.gate(host).allows_send(now_us)
    }
}

impl Drop for SharedCoreState {
    fn drop(&mut self) {
        self.names.release_all(self.core);
    }
}
