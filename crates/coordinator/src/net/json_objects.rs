//! Whole JSON objects out of a stream, each on one line or indented over many. Decides from bytes alone; what
//! can't become an object is told at the byte that shows it, as waiting for more would cost the time in which
//! changes have to be heard.

use bytes::{Bytes, BytesMut};

/// Deepest nesting taken; lists have three levels.
pub const DEEPEST: usize = 16;

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
pub enum NoObject {
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
enum At {
    Between,
    Text,
    Escape,
    Word,
}

/// The reader.
pub struct Objects {
    bytes: BytesMut,
    /// Bytes looked at already.
    seen: usize,
    most: usize,
    /// The brackets that are open.
    open: Vec<u8>,
    want: Want,
    at: At,
    /// Whether the present line holds nothing so far.
    empty: bool,
}

impl Objects {
    /// A reader of objects of so many bytes at most.
    pub fn new(most: usize) -> Self {
        let (bytes, seen, open) = (BytesMut::new(), 0, Vec::new());
        Self {
            bytes,
            seen,
            most,
            open,
            want: Want::Value,
            at: At::Between,
            empty: true,
        }
    }

    /// Where what comes next is put.
    pub fn input(&mut self) -> &mut BytesMut {
        &mut self.bytes
    }

    /// The next object or empty line, if all of it is there.
    pub fn found(&mut self) -> Result<Option<Found>, NoObject> {
        while let Some(byte) = self.bytes.get(self.seen).copied() {
            self.seen += 1;
            if byte == b'\n' {
                let empty = std::mem::replace(&mut self.empty, true);
                match (self.at, self.open.is_empty()) {
                    (At::Text | At::Escape, _) => return Err(NoObject::Malformed),
                    (_, true) => {
                        drop(self.bytes.split_to(std::mem::take(&mut self.seen)));
                        if empty {
                            return Ok(Some(Found::Empty));
                        }
                    }
                    // An empty line comes between objects alone: the one before was never ended.
                    (_, false) if empty => return Err(NoObject::Malformed),
                    (_, false) => self.at = At::Between,
                }
                continue;
            }
            self.empty &= byte.is_ascii_whitespace();
            self.step(byte).ok_or(NoObject::Malformed)?;
            if self.open.is_empty() && byte == b'}' {
                let object = self.bytes.split_to(std::mem::take(&mut self.seen));
                self.want = Want::Value;
                return Ok(Some(Found::Object(object.freeze())));
            }
            if self.seen > self.most {
                return Err(NoObject::TooLarge);
            }
        }
        Ok(None)
    }

    /// One byte; `None` if it can't stand here.
    fn step(&mut self, byte: u8) -> Option<()> {
        match (self.at, byte) {
            (At::Escape, _) => self.at = At::Text,
            (At::Text, b'\\') => self.at = At::Escape,
            (At::Text, b'"') => self.at = At::Between,
            (At::Text, _) => {}
            (_, b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'+' | b'-' | b'.') => {
                if self.at != At::Word {
                    self.value()?;
                    self.at = At::Word;
                }
            }
            _ => {
                self.at = At::Between;
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
            (b'"', Want::Key | Want::KeyOrEnd) => (self.at, self.want) = (At::Text, Want::Colon),
            (b'"', _) => {
                self.value()?;
                self.at = At::Text;
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
                return (self.open.len() <= DEEPEST).then_some(());
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
