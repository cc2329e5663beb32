//! Clients' connections that stand idle, in the order in which they have: the first goes when room is needed.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

#[derive(Debug, Default)]
pub(crate) struct Seats {
    idle: BTreeMap<u64, Rc<Notify>>,
    next: u64,
}

/// Listed as idle for as long as it lives.
pub(crate) struct MemberInfo<'a> {
    seats: &'a RefCell<Seats>,
    number: u64,
}

impl Seats {
    /// A connection falls idle; `leave` is told if it has to go.
    pub(crate) fn stand<'a>(seats: &'a RefCell<Seats>, leave: &Rc<Notify>) -> MemberInfo<'a> {
        let mut all = seats.borrow_mut();
        let number = all.next;
        all.next += 1;
        all.idle.insert(number, leave.clone());
        MemberInfo { seats, number }
    }

    /// Tells the one that has been idle for longest to go; false where there is none.
    pub(crate) fn make_room(&mut self) -> bool {
        self.idle.pop_first().inspect(|(_, leave)| leave.notify_one()).is_some()
    }
}

impl Drop for MemberInfo<'_> {
    fn drop(&mut self) {
        self.seats.borrow_mut().idle.remove(&self.number);
    }
}
