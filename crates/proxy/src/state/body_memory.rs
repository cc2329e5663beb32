//! Memory accounting for request bodies, by which requests are admitted or rejected.

use std::cell::Cell;
use std::rc::Rc;

/// Memory budget for the bodies of all requests.
#[derive(Clone, Debug)]
pub(crate) struct BodyMemory {
    reserved_bytes: Rc<Cell<usize>>,
    max_bytes: usize,
}

impl BodyMemory {
    /// Creates a budget of `max_bytes` bytes over all requests.
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self {
            reserved_bytes: Rc::default(),
            max_bytes,
        }
    }

    /// Reserves `bytes` bytes for a body; `None` if the budget has too few left.
    pub(crate) fn try_reserve(&self, bytes: usize) -> Option<BodyReservation> {
        let mut reservation = BodyReservation {
            memory: self.clone(),
            bytes: 0,
        };
        reservation.grow_to(bytes).then_some(reservation)
    }
}

/// Memory reservation for one body, released when dropped.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    memory: BodyMemory,
    bytes: usize,
}

impl BodyReservation {
    /// Grows the reservation to a total of `bytes`. Returns false and leaves it unchanged if the budget has too few
    /// left.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> bool {
        let additional = bytes.saturating_sub(self.bytes);
        let reserved = self.memory.reserved_bytes.get() + additional;
        if reserved > self.memory.max_bytes {
            return false;
        }
        self.memory.reserved_bytes.set(reserved);
        self.bytes += additional;
        true
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let reserved = &self.memory.reserved_bytes;
        reserved.set(reserved.get().saturating_sub(self.bytes));
    }
}
