//! Splits a `text/event-stream` (HTML standard, section 9.2) into complete events, and tracks a client's position in
//! the stream.
//!
//! ```
//! use proxy::event_stream::EventSplitter;
//! let mut splitter = EventSplitter::new(1024);
//! splitter.push(b"id: 4\ndata: a\n\nid: 5\nda").unwrap();
//! let event = splitter.next_event().unwrap();
//! assert_eq!((&event.bytes[..], event.id.as_deref()), (&b"id: 4\ndata: a\n\n"[..], Some("4")));
//! assert!(splitter.next_event().is_none(), "the next event is incomplete");
//! ```

use bytes::{Bytes, BytesMut};
use snafu::Snafu;

/// An event, with its bytes up to and including the blank line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes as they were received.
    pub bytes: Bytes,
    /// The event's id, if it has one.
    pub id: Option<String>,
}

impl Event {
    /// Whether the event has data, unlike a comment or a keep-alive.
    pub fn has_data(&self) -> bool {
        self.bytes
            .split(|byte| matches!(byte, b'\n' | b'\r'))
            .any(|line| line.starts_with(b"data"))
    }
}

/// The error of an event that exceeds the splitter's limit while it is still incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("an event is larger than {max_event_bytes} bytes"))]
pub struct EventTooLarge {
    /// The splitter's limit in bytes.
    pub max_event_bytes: usize,
}

/// Splits a stream into complete events.
#[derive(Debug)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Position in `buf` of the first line that was not examined yet.
    line_start: usize,
    /// Id of the incomplete event at the front of `buf`, if its id line was read.
    id: Option<String>,
    /// Whether the stream has ended, so that no LF follows a CR at the end of `buf`.
    ended: bool,
    max_event_bytes: usize,
}

impl EventSplitter {
    /// Creates a splitter for events of at most `max_event_bytes` bytes.
    pub fn new(max_event_bytes: usize) -> Self {
        Self {
            buf: BytesMut::new(),
            line_start: 0,
            id: None,
            ended: false,
            max_event_bytes,
        }
    }

    /// Appends the next bytes of the stream.
    ///
    /// # Errors
    /// Fails if more bytes than the limit are buffered.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        self.buf.extend_from_slice(bytes);
        if self.buf.len() > self.max_event_bytes {
            return Err(EventTooLarge {
                max_event_bytes: self.max_event_bytes,
            });
        }
        Ok(())
    }

    /// Records that the stream has ended. A CR at its very end ends a line.
    pub fn end(&mut self) {
        self.ended = true;
    }

    /// Takes the next complete event; `None` if none is buffered.
    pub fn next_event(&mut self) -> Option<Event> {
        loop {
            let rest = &self.buf[self.line_start..];
            let line_length = rest.iter().position(|byte| matches!(byte, b'\n' | b'\r'))?;
            // A line ends with LF, CR or CRLF. After a CR at the end of the buffer an LF may still arrive.
            let line_end_length = match (rest[line_length], rest.get(line_length + 1)) {
                (b'\n', _) => 1,
                (_, Some(b'\n')) => 2,
                (_, Some(_)) => 1,
                (_, None) if self.ended => 1,
                (_, None) => return None,
            };
            if let Some(id) = event_id(&rest[..line_length]) {
                self.id = std::str::from_utf8(id).ok().map(str::to_owned);
            }
            self.line_start += line_length + line_end_length;
            if line_length == 0 {
                let bytes = self.buf.split_to(self.line_start).freeze();
                self.line_start = 0;
                return Some(Event {
                    bytes,
                    id: self.id.take(),
                });
            }
        }
    }

    /// Takes the buffered bytes of an incomplete event.
    pub fn take_incomplete(&mut self) -> Bytes {
        self.line_start = 0;
        self.id = None;
        self.buf.split().freeze()
    }
}

/// Returns the value of an `id:` line; `None` for any other line.
fn event_id(line: &[u8]) -> Option<&[u8]> {
    let value = line.strip_prefix(b"id:")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

/// A client's position in a stream: the id of the last event that was forwarded to it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventOffset {
    last_event_id: Option<String>,
    /// Whether data without an id was forwarded, so that no event id tells a host where to resume.
    has_unresumable_data: bool,
}

impl EventOffset {
    /// The offset after the event that a client names in `Last-Event-Id`, or the start of the stream if it names none.
    pub fn after(last_event_id: Option<&str>) -> Self {
        Self {
            last_event_id: last_event_id.map(str::to_owned),
            has_unresumable_data: false,
        }
    }

    /// Id of the last event that the client has received.
    pub fn last_event_id(&self) -> Option<&str> {
        self.last_event_id.as_deref()
    }

    /// Whether another host can resume the stream at this offset without lost or duplicated events.
    pub fn is_resumable(&self) -> bool {
        !self.has_unresumable_data
    }

    /// Advances past an event. Returns false if the client already has the event: numeric ids increase along a stream.
    pub fn advance(&mut self, event: &Event) -> bool {
        let Some(id) = &event.id else {
            self.has_unresumable_data |= event.has_data();
            return true;
        };
        let last_number = self.last_event_id.as_deref().and_then(event_number);
        if let (Some(last), Some(number)) = (last_number, event_number(id)) {
            if number <= last {
                return false;
            }
        }
        self.last_event_id = Some(id.clone());
        true
    }
}

fn event_number(id: &str) -> Option<u64> {
    id.trim().parse().ok()
}
