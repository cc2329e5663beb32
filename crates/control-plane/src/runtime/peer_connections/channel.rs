//! The two connections of a link, and what waits for each. Large frames have one of their own, so that leases and
//! votes never queue behind them.

use protocol::Message;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Largest frame of the control lane.
const MAX_CONTROL_FRAME: usize = 16 << 10;
/// Messages that wait for a connection are dropped at this age: whoever sent them asks again.
const MAX_QUEUED_AGE: Duration = Duration::from_secs(1);
/// Bytes that wait in one lane: the longest change, and as much again behind it. One message always fits.
pub const MAX_QUEUED_BYTES: usize = 8 << 20;

/// Which connection of a link a message takes. Messages of one lane stay in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Channel {
    /// Small messages that have to come at once.
    Control,
    /// Changes, which have to come in their order, and whatever is large.
    Data,
}

impl Channel {
    /// The lane of a message whose frame has so many bytes.
    pub fn of(message: &Message, frame_bytes: usize) -> Self {
        let is_change = matches!(message, Message::AppendChange { .. });
        if is_change || frame_bytes > MAX_CONTROL_FRAME {
            Channel::Data
        } else {
            Channel::Control
        }
    }
}

/// A frame that waits.
#[derive(Clone)]
pub(super) struct QueuedFrame {
    since: Instant,
    /// The identity that it is meant for; 0 for whoever is there.
    to: u64,
    pub(super) frame: Rc<Vec<u8>>,
}

impl QueuedFrame {
    /// Whether it is meant for the member `there`.
    pub(super) fn is_for(&self, there: u64) -> bool {
        self.to == 0 || self.to == there
    }
}

#[derive(Default)]
struct Queue {
    frames: VecDeque<QueuedFrame>,
    bytes: usize,
}

/// One connection of a link with what waits for it.
#[derive(Default)]
pub(super) struct ChannelState {
    queue: RefCell<Queue>,
    /// Whether the connection is there.
    pub(super) up: Cell<bool>,
    /// There is something to send, or the peer is no longer wanted.
    pub(super) wake: Notify,
}

impl ChannelState {
    /// Adds a frame for the member `to`; how many had to be dropped, this one perhaps among them.
    pub(super) fn push(&self, to: u64, frame: Vec<u8>) -> u64 {
        let mut dropped = 0;
        if !self.up.get() {
            dropped += self.drop_old();
        }
        let mut queue = self.queue.borrow_mut();
        if !queue.frames.is_empty() && queue.bytes + frame.len() > MAX_QUEUED_BYTES {
            return dropped + 1;
        }
        queue.bytes += frame.len();
        queue.frames.push_back(QueuedFrame {
            since: Instant::now(),
            to,
            frame: Rc::new(frame),
        });
        drop(queue);
        self.wake.notify_one();
        dropped
    }

    /// Puts a frame back that a connection couldn't send to its end: the next one begins with it.
    pub(super) fn put_back(&self, unsent: QueuedFrame) {
        let mut queue = self.queue.borrow_mut();
        queue.bytes += unsent.frame.len();
        queue.frames.push_front(QueuedFrame {
            since: Instant::now(),
            ..unsent
        });
    }

    /// Drops what has waited too long for a connection; how many.
    pub(super) fn drop_old(&self) -> u64 {
        self.retain(|queued| queued.since.elapsed() <= MAX_QUEUED_AGE)
    }

    /// Drops what is meant for somebody else than the member `there`; how many.
    pub(super) fn drop_for_others(&self, there: u64) -> u64 {
        self.retain(|queued| queued.is_for(there))
    }

    fn retain(&self, keep: impl Fn(&QueuedFrame) -> bool) -> u64 {
        let mut queue = self.queue.borrow_mut();
        let before = queue.frames.len();
        queue.frames.retain(keep);
        queue.bytes = queue.frames.iter().map(|queued| queued.frame.len()).sum();
        (before - queue.frames.len()) as u64
    }

    /// The next frame.
    pub(super) fn pop(&self) -> Option<QueuedFrame> {
        let mut queue = self.queue.borrow_mut();
        let queued = queue.frames.pop_front()?;
        queue.bytes -= queued.frame.len();
        Some(queued)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.queue.borrow().frames.is_empty()
    }
}
