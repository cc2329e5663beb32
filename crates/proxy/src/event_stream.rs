//! Complete events of a `text/event-stream` (HTML standard, section 9.2), and where in a stream a client is.
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

/// An event, with its bytes up to and with the blank line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes as they came.
    pub bytes: Bytes,
    /// The event's id, where it has one.
    pub id: Option<String>,
}

impl Event {
    /// Whether the event has data, and is more than a comment or a keep-alive.
    pub fn has_data(&self) -> bool {
        self.bytes
            .split(|byte| matches!(byte, b'\n' | b'\r'))
            .any(|line| line.starts_with(b"data"))
    }
}

/// An incomplete event has grown beyond the splitter's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("an event is larger than {max_event_bytes} bytes"))]
pub struct EventTooLarge {
    /// The splitter's limit.
    pub max_event_bytes: usize,
}

/// Splits a stream into complete events.
#[derive(Debug)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Where in `buf` the first line starts that was not looked at.
    line_start: usize,
    /// Id of the incomplete event at the front of `buf`.
    id: Option<String>,
    max_event_bytes: usize,
}

impl EventSplitter {
    /// A splitter for events of at most `max_event_bytes` bytes.
    pub fn new(max_event_bytes: usize) -> Self {
        Self {
            buf: BytesMut::new(),
            line_start: 0,
            id: None,
            max_event_bytes,
        }
    }

    /// Appends the next bytes of the stream.
    ///
    /// # Errors
    /// If more than the limit is buffered.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        self.buf.extend_from_slice(bytes);
        if self.buf.len() > self.max_event_bytes {
            return Err(EventTooLarge {
                max_event_bytes: self.max_event_bytes,
            });
        }
        Ok(())
    }

    /// The next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        loop {
            let rest = &self.buf[self.line_start..];
            let line_length = rest.iter().position(|byte| matches!(byte, b'\n' | b'\r'))?;
            // A line ends with LF, CR or both. Behind a CR at the end of the buffer an LF may follow.
            let line_end_length = match (rest[line_length], rest.get(line_length + 1)) {
                (b'\n', _) => 1,
                (_, Some(b'\n')) => 2,
                (_, Some(_)) => 1,
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

    /// Takes what is buffered of an incomplete event.
    pub fn take_incomplete(&mut self) -> Bytes {
        self.line_start = 0;
        self.id = None;
        self.buf.split().freeze()
    }
}

/// The value of a line that gives an event's id.
fn event_id(line: &[u8]) -> Option<&[u8]> {
    let value = line.strip_prefix(b"id:")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

/// How far a client has a stream: the id of the last event that was forwarded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventOffset {
    last_event_id: Option<String>,
    /// Data without an id was forwarded, so that no host can be told what to resume behind.
    has_unresumable_data: bool,
}

impl EventOffset {
    /// The offset behind the event that a client names in `Last-Event-Id`, or the start of the stream.
    pub fn after(last_event_id: Option<&str>) -> Self {
        Self {
            last_event_id: last_event_id.map(str::to_owned),
            has_unresumable_data: false,
        }
    }

    /// Id of the last event that the client has.
    pub fn last_event_id(&self) -> Option<&str> {
        self.last_event_id.as_deref()
    }

    /// Whether another host can resume here, with nothing missing and nothing sent twice.
    pub fn is_resumable(&self) -> bool {
        !self.has_unresumable_data
    }

    /// Advances past an event; false if the client has the event already. Numeric ids rise along a stream.
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
