//! Whole events of a `text/event-stream`, without I/O.
//!
//! ```
//! use proxy::event_stream::EventSplitter;
//! let mut splitter = EventSplitter::new(1024);
//! splitter.push(b"id: 4\ndata: a\n\nid: 5\nda");
//! let event = splitter.take().unwrap();
//! assert_eq!((&event.bytes[..], event.id.as_deref()), (&b"id: 4\ndata: a\n\n"[..], Some("4")));
//! assert!(splitter.take().is_none(), "the next event is not whole yet");
//! ```

use bytes::{Bytes, BytesMut};

/// An event with its bytes up to and with the blank line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// As they came.
    pub bytes: Bytes,
    /// Its identity, where it has one.
    pub id: Option<String>,
}

impl Event {
    /// Whether it has a line of data, and is more than a comment or a keep-alive.
    pub fn has_data(&self) -> bool {
        self.bytes
            .split(|b| matches!(b, b'\n' | b'\r'))
            .any(|line| line.starts_with(b"data"))
    }
}

/// Cuts a stream into whole events.
#[derive(Debug)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Start of the line that is not looked at yet.
    line: usize,
    id: Option<String>,
    most: usize,
}

impl EventSplitter {
    /// For events of up to `most` bytes.
    pub fn new(most: usize) -> Self {
        Self {
            buf: BytesMut::new(),
            line: 0,
            id: None,
            most,
        }
    }

    /// What came next; false where an event has grown too large.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= self.most
    }

    /// The next whole event.
    pub fn take(&mut self) -> Option<Event> {
        loop {
            let rest = &self.buf[self.line..];
            let n = rest.iter().position(|b| matches!(b, b'\n' | b'\r'))?;
            // A line ends with LF, CR or both; after a last CR nobody knows yet.
            let end = match (rest[n], rest.get(n + 1)) {
                (b'\n', _) => n + 1,
                (_, Some(b'\n')) => n + 2,
                (_, Some(_)) => n + 1,
                (_, None) => return None,
            };
            let line = &rest[..n];
            if let Some(id) = line.strip_prefix(b"id:") {
                let id = id.strip_prefix(b" ").unwrap_or(id);
                self.id = std::str::from_utf8(id).ok().map(str::to_owned);
            }
            self.line += end;
            if n == 0 {
                let bytes = self.buf.split_to(self.line).freeze();
                self.line = 0;
                return Some(Event {
                    bytes,
                    id: self.id.take(),
                });
            }
        }
    }

    /// What is left of an event that is not whole.
    pub fn rest(&mut self) -> Bytes {
        self.line = 0;
        self.id = None;
        self.buf.split().freeze()
    }
}

/// The place in a stream: the identity of the last event that was passed on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventOffset {
    last: Option<String>,
    /// Data without an identity was passed on since: nobody can be told to go on behind it.
    lost: bool,
}

impl EventOffset {
    /// After the event with this identity, as a client said.
    pub fn after(id: Option<&str>) -> Self {
        Self {
            last: id.map(str::to_owned),
            lost: false,
        }
    }

    /// The last identity.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Whether a host can be told where to go on, so that nothing is missing or comes twice.
    pub fn known(&self) -> bool {
        !self.lost
    }

    /// Whether an event is new, and if so it is the last one from now on. Identities rise: what doesn't was
    /// passed on before.
    pub fn admit(&mut self, event: &Event) -> bool {
        let Some(id) = &event.id else {
            self.lost |= event.has_data();
            return true;
        };
        let number = |id: &str| id.trim().parse::<u64>().ok();
        let before = self.last.as_deref().and_then(number);
        if let (Some(before), Some(now)) = (before, number(id)) {
            if now <= before {
                return false;
            }
        }
        self.last = Some(id.clone());
        true
    }
}
