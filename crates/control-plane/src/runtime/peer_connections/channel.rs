//! The two connections to a peer, and the queue of each. Large frames have a connection of their own, so that leases
//! and votes never queue behind them.

use protocol::Message;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Largest frame of the control channel, in bytes.
const MAX_CONTROL_FRAME_BYTES: usize = 16 << 10;
/// Age at which messages that wait for a connection are dropped: their senders ask again.
const MAX_QUEUED_AGE: Duration = Duration::from_secs(1);
/// Bytes that wait for one connection: the longest change, and as much again behind it. One message always fits.
pub const MAX_QUEUED_BYTES: usize = 8 << 20;

/// Which connection to a peer a message takes. Messages of one channel stay in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Channel {
    /// Small messages that have to come at once.
    Control,
    /// Changes, which have to come in their order, and whatever is large.
    Data,
}

impl Channel {
    /// The channel of a message whose frame has this many bytes.
    pub fn for_message(message: &Message, frame_bytes: usize) -> Self {
        let is_change = matches!(message, Message::AppendChange { .. });
        if is_change || frame_bytes > MAX_CONTROL_FRAME_BYTES {
            Channel::Data
        } else {
            Channel::Control
        }
    }
}

/// A frame that waits.
#[derive(Clone)]
pub(super) struct QueuedFrame {
    queued_at: Instant,
    /// The member that it is meant for; 0 for whoever is there.
    to: u64,
    pub(super) bytes: Rc<Vec<u8>>,
}

impl QueuedFrame {
    /// Whether it is meant for the member `member_id`.
    pub(super) fn is_for(&self, member_id: u64) -> bool {
        self.to == 0 || self.to == member_id
    }
}

#[derive(Default)]
struct Queue {
    frames: VecDeque<QueuedFrame>,
    bytes: usize,
}

/// One connection to a peer with its queue.
#[derive(Default)]
pub(super) struct ChannelState {
    queue: RefCell<Queue>,
    /// Whether the connection is up.
    pub(super) is_up: Cell<bool>,
    /// There is something to send, or the peer is no longer wanted.
    pub(super) wake: Notify,
}

impl ChannelState {
    /// Queues a frame for the member `to`. Returns how many were dropped, this one perhaps among them.
    pub(super) fn push(&self, to: u64, frame: Vec<u8>) -> u64 {
        let mut dropped = 0;
        if !self.is_up.get() {
            dropped += self.drop_old();
        }
        let mut queue = self.queue.borrow_mut();
        if !queue.frames.is_empty() && queue.bytes + frame.len() > MAX_QUEUED_BYTES {
            return dropped + 1;
        }
        queue.bytes += frame.len();
        queue.frames.push_back(QueuedFrame {
            queued_at: Instant::now(),
            to,
            bytes: Rc::new(frame),
        });
        drop(queue);
        self.wake.notify_one();
        dropped
    }

    /// Puts a frame back that a connection couldn't send to its end: the next one begins with it.
    pub(super) fn put_back(&self, unsent: QueuedFrame) {
        let mut queue = self.queue.borrow_mut();
        queue.bytes += unsent.bytes.len();
        queue.frames.push_front(QueuedFrame {
            queued_at: Instant::now(),
            ..unsent
        });
    }

    /// Drops what has waited too long for a connection. Returns how many.
    pub(super) fn drop_old(&self) -> u64 {
        self.retain(|frame| frame.queued_at.elapsed() <= MAX_QUEUED_AGE)
    }

    /// Drops what is meant for other members than `member_id`. Returns how many.
    pub(super) fn drop_for_others(&self, member_id: u64) -> u64 {
        self.retain(|frame| frame.is_for(member_id))
    }

    /// The next frame.
    pub(super) fn pop(&self) -> Option<QueuedFrame> {
        let mut queue = self.queue.borrow_mut();
        let frame = queue.frames.pop_front()?;
        queue.bytes -= frame.bytes.len();
        Some(frame)
    }

    /// Whether nothing waits.
    pub(super) fn is_empty(&self) -> bool {
        self.queue.borrow().frames.is_empty()
    }

    fn retain(&self, keep: impl Fn(&QueuedFrame) -> bool) -> u64 {
        let mut queue = self.queue.borrow_mut();
        let before = queue.frames.len();
        queue.frames.retain(keep);
        queue.bytes = queue.frames.iter().map(|frame| frame.bytes.len()).sum();
        (before - queue.frames.len()) as u64
    }
}
