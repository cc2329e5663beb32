//! The ends of parts, on their way from a host to a connection.

use crate::event_log::AttemptEnd;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// The end of a part, on its way to the connection.
#[derive(Debug)]
pub struct Reply {
    /// The attempt.
    pub attempt: u64,
    /// How it ended: served, broke or skipped.
    pub end: AttemptEnd,
}

/// What a connection and the host's ticker share.
#[derive(Default)]
pub struct Outbox {
    replies: RefCell<Vec<Reply>>,
    wake: Notify,
    open: Cell<bool>,
}

impl Outbox {
    /// An outbox whose connection is open.
    pub fn new() -> Rc<Self> {
        let outbox = Self::default();
        outbox.open.set(true);
        Rc::new(outbox)
    }

    /// Whether the connection is open.
    pub(crate) fn is_open(&self) -> bool {
        self.open.get()
    }

    /// Closes the outbox with its connection.
    pub(crate) fn close(&self) {
        self.open.set(false);
    }

    /// Adds a reply and wakes the connection.
    pub(crate) fn push(&self, reply: Reply) {
        self.replies.borrow_mut().push(reply);
        self.wake.notify_one();
    }

    /// Waits for replies.
    pub async fn wait(&self) {
        while self.replies.borrow().is_empty() {
            self.wake.notified().await;
        }
    }

    /// Takes the replies that are there.
    pub fn take(&self) -> Vec<Reply> {
        std::mem::take(&mut self.replies.borrow_mut())
    }
}
