//! The two connections to a peer, and the send queue of each. Large frames use a separate connection, so that leases
//! and votes never wait behind them.

use protocol::Message;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Largest frame of the control channel, in bytes.
const MAX_CONTROL_FRAME_BYTES: usize = 16 << 10;
/// Age at which messages that wait for a connection are dropped. The state machine sends them again if needed.
const MAX_QUEUED_AGE: Duration = Duration::from_secs(1);
/// Largest number of queued bytes per connection: twice the size of the largest change. An empty queue accepts a
/// message of any size.
pub const MAX_QUEUED_BYTES: usize = 8 << 20;

/// One of the two connections to a peer. Messages of the same channel are delivered in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Channel {
    /// For small messages, which must arrive without delay.
    Control,
    /// For changes, which must arrive in order, and for all large messages.
    Data,
}

impl Channel {
    /// Returns the channel of a message whose frame has `frame_bytes` bytes.
    pub fn for_message(message: &Message, frame_bytes: usize) -> Self {
        let is_change = matches!(message, Message::AppendChange { .. });
        if is_change || frame_bytes > MAX_CONTROL_FRAME_BYTES {
            Channel::Data
        } else {
            Channel::Control
        }
    }
}

/// An encoded message in a send queue.
#[derive(Clone)]
pub(super) struct QueuedFrame {
    queued_at: Instant,
    /// Id of the receiving member; 0 for any member at the address.
    to: u64,
    pub(super) bytes: Rc<Vec<u8>>,
}

impl QueuedFrame {
    /// Whether the member `member_id` may receive the frame.
    pub(super) fn is_for(&self, member_id: u64) -> bool {
        self.to == 0 || self.to == member_id
    }
}

#[derive(Default)]
struct Queue {
    frames: VecDeque<QueuedFrame>,
    bytes: usize,
}

/// The state of one connection to a peer, with its send queue.
#[derive(Default)]
pub(super) struct ChannelState {
    queue: RefCell<Queue>,
    /// Whether the connection is established.
    pub(super) is_connected: Cell<bool>,
    /// Notified when a frame is queued or the peer is no longer dialled.
    pub(super) wake: Notify,
}

impl ChannelState {
    /// Queues a frame for the member `to`, or drops it if the queue is full. Returns the number of dropped frames,
    /// which may include expired ones.
    pub(super) fn enqueue(&self, to: u64, frame: Vec<u8>) -> u64 {
        let mut dropped = 0;
        if !self.is_connected.get() {
            dropped += self.drop_expired();
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

    /// Returns a frame that a broken connection sent only in part to the head of the queue. The next connection sends
    /// it first.
    pub(super) fn requeue(&self, unsent: QueuedFrame) {
        let mut queue = self.queue.borrow_mut();
        queue.bytes += unsent.bytes.len();
        queue.frames.push_front(QueuedFrame {
            queued_at: Instant::now(),
            ..unsent
        });
    }

    /// Drops the frames that have waited too long for a connection. Returns their number.
    pub(super) fn drop_expired(&self) -> u64 {
        self.retain(|frame| frame.queued_at.elapsed() <= MAX_QUEUED_AGE)
    }

    /// Drops the frames for members other than `member_id`. Returns their number.
    pub(super) fn drop_for_other_members(&self, member_id: u64) -> u64 {
        self.retain(|frame| frame.is_for(member_id))
    }

    /// Removes and returns the next frame.
    pub(super) fn dequeue(&self) -> Option<QueuedFrame> {
        let mut queue = self.queue.borrow_mut();
        let frame = queue.frames.pop_front()?;
        queue.bytes -= frame.bytes.len();
        Some(frame)
    }

    /// Whether the queue is empty.
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
