//! Idle connections of clients in the order in which they fell idle. The oldest is closed when room is needed.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// The idle connections.
#[derive(Debug, Default)]
pub(crate) struct IdleClients {
    /// By serial number, which rises with the time at which they fell idle.
    evict_signals: BTreeMap<u64, Rc<Notify>>,
    next_serial: u64,
}

/// An entry in [`IdleClients`], removed when dropped.
pub(crate) struct IdleClientGuard<'a> {
    idle_clients: &'a RefCell<IdleClients>,
    serial: u64,
}

impl IdleClients {
    /// A connection falls idle. `evict_signal` is notified if it has to close.
    pub(crate) fn register<'a>(
        idle_clients: &'a RefCell<IdleClients>,
        evict_signal: &Rc<Notify>,
    ) -> IdleClientGuard<'a> {
        let mut registry = idle_clients.borrow_mut();
        let serial = registry.next_serial;
        registry.next_serial += 1;
        registry.evict_signals.insert(serial, evict_signal.clone());
        IdleClientGuard {
            idle_clients,
            serial,
        }
    }

    /// Asks the connection that has been idle for longest to close; false if none is idle.
    pub(crate) fn evict_oldest(&mut self) -> bool {
        let Some((_, evict_signal)) = self.evict_signals.pop_first() else {
            return false;
        };
        evict_signal.notify_one();
        true
    }
}

impl Drop for IdleClientGuard<'_> {
    fn drop(&mut self) {
        self.idle_clients
            .borrow_mut()
            .evict_signals
            .remove(&self.serial);
    }
}
