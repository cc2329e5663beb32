//! Clients' connections that stand idle, in the order in which they have: the first goes when room is needed.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

#[derive(Debug, Default)]
pub(crate) struct IdleClients {
    idle: BTreeMap<u64, Rc<Notify>>,
    next: u64,
}

/// Listed as idle for as long as it lives.
pub(crate) struct IdleClient<'a> {
    idle_clients: &'a RefCell<IdleClients>,
    number: u64,
}

impl IdleClients {
    /// A connection falls idle; `leave` is told if it has to go.
    pub(crate) fn stand<'a>(
        idle_clients: &'a RefCell<IdleClients>,
        leave: &Rc<Notify>,
    ) -> IdleClient<'a> {
        let mut all = idle_clients.borrow_mut();
        let number = all.next;
        all.next += 1;
        all.idle.insert(number, leave.clone());
        IdleClient {
            idle_clients,
            number,
        }
    }

    /// Tells the one that has been idle for longest to go; false where there is none.
    pub(crate) fn make_room(&mut self) -> bool {
        self.idle
            .pop_first()
            .inspect(|(_, leave)| leave.notify_one())
            .is_some()
    }
}

impl Drop for IdleClient<'_> {
    fn drop(&mut self) {
        self.idle_clients.borrow_mut().idle.remove(&self.number);
    }
}
