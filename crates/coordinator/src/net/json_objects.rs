//! Whole JSON objects out of a stream, each on one line or indented over many. Decides from bytes alone; what
//! can't become an object is told at the byte that shows it, as waiting for more would cost the time in which
//! changes have to be heard.

use bytes::{Bytes, BytesMut};

/// Deepest nesting taken; lists have three levels.
pub const MAX_DEPTH: usize = 16;

/// What stands next in the stream.
#[derive(Debug, PartialEq)]
pub enum Found {
    /// A whole object.
    Object(Bytes),
    /// An empty line between objects.
    Empty,
}

/// Bytes that are no objects, or one over the limit.
#[derive(Debug, PartialEq)]
pub enum ObjectError {
    /// Not JSON, or JSON that is no object.
    Malformed,
    /// An object that is larger than allowed.
    TooLarge,
}

/// What may come next within an object.
#[derive(Clone, Copy, PartialEq)]
enum Want {
    Key,
    KeyOrEnd,
    Colon,
    Value,
    ValueOrEnd,
    CommaOrEnd,
}

/// Where the last byte stood.
#[derive(Clone, Copy, PartialEq)]
enum Position {
    Between,
    Text,
    Escape,
    Word,
}

/// The reader.
pub struct ObjectReader {
    bytes: BytesMut,
    /// Bytes looked at already.
    scanned: usize,
    max_bytes: usize,
    /// The brackets that are open.
    open: Vec<u8>,
    want: Want,
    position: Position,
    /// Whether the present line holds nothing so far.
    empty: bool,
}

impl ObjectReader {
    /// A reader of objects of at most `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        let (bytes, scanned, open) = (BytesMut::new(), 0, Vec::new());
        Self {
            bytes,
            scanned,
            max_bytes,
            open,
            want: Want::Value,
            position: Position::Between,
            empty: true,
        }
    }

    /// Where what comes next is put.
    pub fn input(&mut self) -> &mut BytesMut {
        &mut self.bytes
    }

    /// The next object or empty line, if all of it is there.
    ///
    /// # Errors
    /// If the bytes are no JSON objects, or an object is too large.
    pub fn next_object(&mut self) -> Result<Option<Found>, ObjectError> {
        while let Some(byte) = self.bytes.get(self.scanned).copied() {
            self.scanned += 1;
            if byte == b'\n' {
                let empty = std::mem::replace(&mut self.empty, true);
                match (self.position, self.open.is_empty()) {
                    (Position::Text | Position::Escape, _) => return Err(ObjectError::Malformed),
                    (_, true) => {
                        drop(self.bytes.split_to(std::mem::take(&mut self.scanned)));
                        if empty {
                            return Ok(Some(Found::Empty));
                        }
                    }
                    // An empty line comes between objects alone: the one before was never ended.
                    (_, false) if empty => return Err(ObjectError::Malformed),
                    (_, false) => self.position = Position::Between,
                }
                continue;
            }
            self.empty &= byte.is_ascii_whitespace();
            self.step(byte).ok_or(ObjectError::Malformed)?;
            if self.open.is_empty() && byte == b'}' {
                let object = self.bytes.split_to(std::mem::take(&mut self.scanned));
                self.want = Want::Value;
                return Ok(Some(Found::Object(object.freeze())));
            }
            if self.scanned > self.max_bytes {
                return Err(ObjectError::TooLarge);
            }
        }
        Ok(None)
    }

    /// One byte; `None` if it can't stand here.
    fn step(&mut self, byte: u8) -> Option<()> {
        match (self.position, byte) {
            (Position::Escape, _) => self.position = Position::Text,
            (Position::Text, b'\\') => self.position = Position::Escape,
            (Position::Text, b'"') => self.position = Position::Between,
            (Position::Text, _) => {}
            (_, b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'+' | b'-' | b'.') => {
                if self.position != Position::Word {
                    self.value()?;
                    self.position = Position::Word;
                }
            }
            _ => {
                self.position = Position::Between;
                self.mark(byte)?;
            }
        }
        Some(())
    }

    /// A value begins here, or none may. At the outside only an object does.
    fn value(&mut self) -> Option<()> {
        let may = matches!(self.want, Want::Value | Want::ValueOrEnd) && !self.open.is_empty();
        self.want = Want::CommaOrEnd;
        may.then_some(())
    }

    fn mark(&mut self, byte: u8) -> Option<()> {
        let inside = self.open.last().copied();
        match (byte, self.want) {
            (b' ' | b'\t' | b'\r', _) => {}
            (b'"', Want::Key | Want::KeyOrEnd) => {
                (self.position, self.want) = (Position::Text, Want::Colon);
            }
            (b'"', _) => {
                self.value()?;
                self.position = Position::Text;
            }
            (b'{' | b'[', _) => {
                if byte == b'[' || inside.is_some() {
                    self.value()?;
                }
                self.open.push(byte);
                self.want = if byte == b'{' {
                    Want::KeyOrEnd
                } else {
                    Want::ValueOrEnd
                };
                return (self.open.len() <= MAX_DEPTH).then_some(());
            }
            (b'}', Want::KeyOrEnd | Want::CommaOrEnd) if inside == Some(b'{') => {
                self.open.pop();
                self.want = Want::CommaOrEnd;
            }
            (b']', Want::ValueOrEnd | Want::CommaOrEnd) if inside == Some(b'[') => {
                self.open.pop();
                self.want = Want::CommaOrEnd;
            }
            (b',', Want::CommaOrEnd) => {
                self.want = if inside? == b'{' {
                    Want::Key
                } else {
                    Want::Value
                }
            }
            (b':', Want::Colon) => self.want = Want::Value,
            _ => return None,
        }
        Some(())
    }
}
