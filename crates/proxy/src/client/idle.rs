//! Registry of idle client connections. The one that has been idle for longest is evicted when a new connection needs
//! its place.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Idle client connections in the order in which they became idle.
#[derive(Debug, Default)]
pub(crate) struct IdleClients {
    /// Eviction signals by serial number; a connection that became idle later has a higher number.
    evict_signals: BTreeMap<u64, Rc<Notify>>,
    next_serial: u64,
}

/// Registration in [`IdleClients`], removed when dropped.
pub(crate) struct IdleClientGuard<'a> {
    idle_clients: &'a RefCell<IdleClients>,
    serial: u64,
}

impl IdleClients {
    /// Registers a connection that becomes idle. `evict_signal` is notified when the connection has to close.
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

    /// Signals the connection that has been idle for longest to close. Returns false if none is idle.
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
