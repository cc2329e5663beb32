//! Splits a byte stream into complete JSON objects, each on one line or indented over many. Does no I/O. Invalid input
//! is reported at the first byte that shows it: waiting for more would delay the list's changes.

use bytes::{Bytes, BytesMut};

/// Deepest nesting accepted; host lists have three levels.
pub const MAX_DEPTH: usize = 16;

/// The next item in the stream.
#[derive(Debug, PartialEq)]
pub enum Found {
    /// A complete object.
    Object(Bytes),
    /// An empty line between objects.
    Empty,
}

/// An error in the stream of objects.
#[derive(Debug, PartialEq)]
pub enum ObjectError {
    /// The input is not JSON, or a JSON value that is not an object.
    Malformed,
    /// An object is larger than allowed.
    TooLarge,
}

/// The tokens that may come next.
#[derive(Clone, Copy, PartialEq)]
enum Expected {
    Key,
    KeyOrEnd,
    Colon,
    Value,
    ValueOrEnd,
    CommaOrEnd,
}

/// The lexical context of the last byte.
#[derive(Clone, Copy, PartialEq)]
enum Context {
    Between,
    Text,
    Escape,
    Word,
}

/// An incremental reader of JSON objects.
pub struct ObjectReader {
    bytes: BytesMut,
    /// Number of bytes scanned already.
    scanned: usize,
    max_bytes: usize,
    /// The brackets that are open, outermost first.
    open: Vec<u8>,
    expected: Expected,
    context: Context,
    /// Whether the current line has only white space so far.
    line_is_empty: bool,
}

impl ObjectReader {
    /// Creates a reader of objects of at most `max_bytes` each.
    pub fn new(max_bytes: usize) -> Self {
        let (bytes, scanned, open) = (BytesMut::new(), 0, Vec::new());
        Self {
            bytes,
            scanned,
            max_bytes,
            open,
            expected: Expected::Value,
            context: Context::Between,
            line_is_empty: true,
        }
    }

    /// Returns the buffer to which received bytes are appended.
    pub fn input(&mut self) -> &mut BytesMut {
        &mut self.bytes
    }

    /// Returns the next object or empty line; `None` if it is incomplete.
    ///
    /// # Errors
    /// If the input is not a sequence of JSON objects, or an object is too large.
    pub fn next_object(&mut self) -> Result<Option<Found>, ObjectError> {
        while let Some(byte) = self.bytes.get(self.scanned).copied() {
            self.scanned += 1;
            if byte == b'\n' {
                let empty = std::mem::replace(&mut self.line_is_empty, true);
                match (self.context, self.open.is_empty()) {
                    (Context::Text | Context::Escape, _) => return Err(ObjectError::Malformed),
                    (_, true) => {
                        drop(self.bytes.split_to(std::mem::take(&mut self.scanned)));
                        if empty {
                            return Ok(Some(Found::Empty));
                        }
                    }
                    // An empty line may only come between objects, so the object before it was cut off.
                    (_, false) if empty => return Err(ObjectError::Malformed),
                    (_, false) => self.context = Context::Between,
                }
                continue;
            }
            self.line_is_empty &= byte.is_ascii_whitespace();
            self.scan(byte).ok_or(ObjectError::Malformed)?;
            if self.open.is_empty() && byte == b'}' {
                let object = self.bytes.split_to(std::mem::take(&mut self.scanned));
                self.expected = Expected::Value;
                return Ok(Some(Found::Object(object.freeze())));
            }
            if self.scanned > self.max_bytes {
                return Err(ObjectError::TooLarge);
            }
        }
        Ok(None)
    }

    /// Processes one byte. Returns `None` if it is not allowed here.
    fn scan(&mut self, byte: u8) -> Option<()> {
        match (self.context, byte) {
            (Context::Escape, _) => self.context = Context::Text,
            (Context::Text, b'\\') => self.context = Context::Escape,
            (Context::Text, b'"') => self.context = Context::Between,
            (Context::Text, _) => {}
            (_, b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'+' | b'-' | b'.') => {
                if self.context != Context::Word {
                    self.begin_value()?;
                    self.context = Context::Word;
                }
            }
            _ => {
                self.context = Context::Between;
                self.punctuation(byte)?;
            }
        }
        Some(())
    }

    /// Begins a value. Returns `None` if none is allowed here, as outside of any object.
    fn begin_value(&mut self) -> Option<()> {
        let is_allowed = matches!(self.expected, Expected::Value | Expected::ValueOrEnd)
            && !self.open.is_empty();
        self.expected = Expected::CommaOrEnd;
        is_allowed.then_some(())
    }

    /// Processes a byte that is not part of a word or a string. Returns `None` if it is not allowed here.
    fn punctuation(&mut self, byte: u8) -> Option<()> {
        let innermost = self.open.last().copied();
        match (byte, self.expected) {
            (b' ' | b'\t' | b'\r', _) => {}
            (b'"', Expected::Key | Expected::KeyOrEnd) => {
                (self.context, self.expected) = (Context::Text, Expected::Colon);
            }
            (b'"', _) => {
                self.begin_value()?;
                self.context = Context::Text;
            }
            (b'{' | b'[', _) => {
                if byte == b'[' || innermost.is_some() {
                    self.begin_value()?;
                }
                self.open.push(byte);
                self.expected = if byte == b'{' {
                    Expected::KeyOrEnd
                } else {
                    Expected::ValueOrEnd
                };
                return (self.open.len() <= MAX_DEPTH).then_some(());
            }
            (b'}', Expected::KeyOrEnd | Expected::CommaOrEnd) if innermost == Some(b'{') => {
                self.open.pop();
                self.expected = Expected::CommaOrEnd;
            }
            (b']', Expected::ValueOrEnd | Expected::CommaOrEnd) if innermost == Some(b'[') => {
                self.open.pop();
                self.expected = Expected::CommaOrEnd;
            }
            (b',', Expected::CommaOrEnd) => {
                self.expected = if innermost? == b'{' {
                    Expected::Key
                } else {
                    Expected::Value
                }
            }
            (b':', Expected::Colon) => self.expected = Expected::Value,
            _ => return None,
        }
        Some(())
    }
}
