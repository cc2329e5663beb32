//! Tells whether a `text/event-stream` (HTML standard, section 9.2) is between two events or inside one.
//!
//! Unlike [`crate::event_stream::EventSplitter`] it keeps no bytes, so that a stream of any size can be forwarded as it
//! arrives.
//!
//! ```
//! use proxy::event_boundary::EventBoundary;
//! let mut boundary = EventBoundary::default();
//! boundary.advance(b"id: 4\ndata: a\n\n");
//! assert!(!boundary.is_inside_event());
//! boundary.advance(b"id: 5\nda");
//! assert!(boundary.is_inside_event());
//! ```

/// Kind of the line that is being received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    /// No byte of the line has been received.
    #[default]
    Empty,
    /// No byte of the line has been received, and the line before ended with a CR: an LF still belongs to that one.
    EmptyAfterCr,
    /// A comment, which belongs to no event.
    Comment,
    /// A field of an event.
    Field,
}

/// Position in an event stream. Lines may end with LF, CR or CRLF.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventBoundary {
    line: Line,
    /// Whether a complete line of the current event has been received.
    has_field: bool,
}

impl EventBoundary {
    /// Advances past the next bytes of the stream.
    pub fn advance(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.line = match (byte, self.line) {
                (b'\n', Line::EmptyAfterCr) => Line::Empty,
                (b'\n', _) => self.end_line(Line::Empty),
                (b'\r', _) => self.end_line(Line::EmptyAfterCr),
                (b':', Line::Empty | Line::EmptyAfterCr) => Line::Comment,
                (_, Line::Empty | Line::EmptyAfterCr) => Line::Field,
                (_, line) => line,
            };
        }
    }

    /// Ends the current line, and the current event if the line is empty. Returns `next`.
    fn end_line(&mut self, next: Line) -> Line {
        match self.line {
            Line::Empty | Line::EmptyAfterCr => self.has_field = false,
            Line::Comment => {}
            Line::Field => self.has_field = true,
        }
        next
    }

    /// Whether the stream would be incomplete if it ended here: inside a line, or after a field of an event whose blank
    /// line is still missing.
    pub fn is_inside_event(&self) -> bool {
        self.has_field || matches!(self.line, Line::Comment | Line::Field)
    }
}
