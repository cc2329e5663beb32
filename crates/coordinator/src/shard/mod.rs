//! Several cores in one process: a thread with a current-thread runtime for each, with its own decision
//! module, table, hosts' connections and clients. What must be one over all of them is in
//! [`multi_core`]; `docs/design/several-cores.md` says why it is divided this way.

mod run;

pub use run::run;

use crate::core::CoreMessage;
use multi_core::drain_gates::DrainGates;
use multi_core::key_ownership::KeyOwnership;
use multi_core::shared_budget::BudgetLease;
use std::cell::Cell;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::mpsc;

thread_local! {
    static HERE: Cell<Option<usize>> = const { Cell::new(None) };
}

/// The core whose thread this is; 0 where there is only one.
pub fn here() -> usize {
    HERE.get().unwrap_or(0)
}

/// The core whose thread this is, if it is one of several.
pub fn among_several() -> Option<usize> {
    HERE.get()
}

/// This thread is that of a core from now on.
fn settle_on(core: usize) {
    HERE.set(Some(core));
}

/// What a core's table shares with the others.
pub struct Seat {
    /// Its number.
    pub core: usize,
    /// Its lease on what may be open.
    pub lease: BudgetLease,
    /// Names that are open on any core.
    pub names: Arc<KeyOwnership>,
    /// The gates of hosts, and who has acknowledged what.
    pub gates: Arc<DrainGates>,
    /// The origin of the gates' times.
    pub origin: Instant,
    /// The other cores' mailboxes.
    pub others: Vec<mpsc::UnboundedSender<CoreMessage>>,
}

impl Seat {
    /// Whether a host's gate is shut at this time.
    pub fn shut(&self, host: &str, now: Instant) -> bool {
        let now = now.saturating_duration_since(self.origin).as_micros() as u64;
        !self.gates.gate(host).allows_send(now)
    }
}

impl Drop for Seat {
    /// With the table, however that ends: nothing stays taken by a core that is gone.
    fn drop(&mut self) {
        self.names.release_all(self.core);
    }
}
