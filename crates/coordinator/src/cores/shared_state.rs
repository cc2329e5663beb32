//! The state that a core's query table shares with the other cores.

use crate::core::CoreMessage;
use multi_core::drain_gates::DrainGates;
use multi_core::key_ownership::KeyOwnership;
use multi_core::shared_budget::BudgetLease;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::mpsc;

/// The state that a core's query table shares with the other cores. It is dropped with the table, also on a panic, and
/// then frees all budget and names that the core held.
pub struct SharedCoreState {
    /// The core's number.
    pub core: usize,
    /// The core's lease on the budget of open parts.
    pub lease: BudgetLease,
    /// The names of the open queries on all cores.
    pub names: Arc<KeyOwnership>,
    /// The drain gates of hosts and the list versions acknowledged by the cores.
    pub gates: Arc<DrainGates>,
    /// The instant that the gates' times are relative to.
    pub origin: Instant,
    /// The other cores' mailboxes.
    pub others: Vec<mpsc::UnboundedSender<CoreMessage>>,
}

impl SharedCoreState {
    /// Whether a host's drain gate is closed at `now`.
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
