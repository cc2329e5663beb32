//! Decoding of bodies.

use crate::chunk::{chunk_size, MOST_LINE};
use crate::error::{syntax, ParseError};
use crate::framing::Framing;
use bytes::{Buf, Bytes, BytesMut};

/// What comes next of a body.
#[derive(Debug, PartialEq, Eq)]
pub enum Decoded {
    /// Bytes of it.
    Data(Bytes),
    /// Nothing until more is read.
    Incomplete,
    /// It is whole.
    End,
}

/// What stands at the front of the bytes of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeStep {
    /// So many bytes that frame it.
    Framing(usize),
    /// So many bytes of the body itself.
    Data(usize),
    /// Nothing until more is read.
    Incomplete,
    /// Its end.
    End,
}

#[derive(Debug)]
enum Part {
    Size,
    Data(u64),
    DataEnd,
    Trailer(usize),
    Done,
}

/// Decodes a body.
#[derive(Debug)]
pub struct BodyDecoder {
    framing: Framing,
    part: Part,
}

impl BodyDecoder {
    /// A body framed in this way.
    pub fn new(framing: Framing) -> Self {
        let part = match framing {
            Framing::Length(0) => Part::Done,
            Framing::Length(n) => Part::Data(n),
            Framing::Chunked => Part::Size,
            Framing::CloseDelimited => Part::Data(u64::MAX),
        };
        Self { framing, part }
    }

    /// Whether the end of the connection is the body's end.
    pub fn is_close_delimited(&self) -> bool {
        self.framing == Framing::CloseDelimited
    }

    /// Whether bytes of the body itself come next: any run of them can be looked at then, not only whole lines.
    pub fn is_in_data(&self) -> bool {
        matches!(self.part, Part::Data(_))
    }

    /// Reads what comes next at the front of `input`; what it tells of is passed.
    ///
    /// # Errors
    /// Where chunks are malformed.
    pub fn decode_step(&mut self, input: &[u8]) -> Result<DecodeStep, ParseError> {
        match &mut self.part {
            Part::Done => Ok(DecodeStep::End),
            Part::Data(_) if input.is_empty() => Ok(DecodeStep::Incomplete),
            Part::Data(left) => {
                let n = usize::try_from(*left)
                    .unwrap_or(usize::MAX)
                    .min(input.len());
                if self.framing != Framing::CloseDelimited {
                    *left -= n as u64;
                }
                if *left == 0 {
                    self.part = if self.framing == Framing::Chunked {
                        Part::DataEnd
                    } else {
                        Part::Done
                    };
                }
                Ok(DecodeStep::Data(n))
            }
            Part::DataEnd => match input.first_chunk::<2>() {
                Some(b"\r\n") => {
                    self.part = Part::Size;
                    Ok(DecodeStep::Framing(2))
                }
                Some(_) => syntax("chunk"),
                None => Ok(DecodeStep::Incomplete),
            },
            Part::Size => match chunk_size(input)? {
                Some((n, size)) => {
                    self.part = if size == 0 {
                        Part::Trailer(0)
                    } else {
                        Part::Data(size)
                    };
                    Ok(DecodeStep::Framing(n))
                }
                None => Ok(DecodeStep::Incomplete),
            },
            Part::Trailer(seen) => match input.iter().position(|b| *b == b'\n') {
                Some(n) => {
                    *seen += n;
                    if *seen > MOST_LINE {
                        return syntax("trailer");
                    }
                    match input.get(..n).and_then(|l| l.strip_suffix(b"\r")) {
                        Some([]) => self.part = Part::Done,
                        Some(field) if field.contains(&b':') => {}
                        _ => return syntax("trailer"),
                    }
                    Ok(DecodeStep::Framing(n + 1))
                }
                None if input.len() < MOST_LINE => Ok(DecodeStep::Incomplete),
                None => syntax("trailer"),
            },
        }
    }

    /// Takes what comes next off the front of `buf`.
    ///
    /// # Errors
    /// Where chunks are malformed.
    pub fn decode(&mut self, buf: &mut BytesMut) -> Result<Decoded, ParseError> {
        loop {
            match self.decode_step(buf)? {
                DecodeStep::Framing(n) => buf.advance(n),
                DecodeStep::Data(n) => return Ok(Decoded::Data(buf.split_to(n).freeze())),
                DecodeStep::Incomplete => return Ok(Decoded::Incomplete),
                DecodeStep::End => return Ok(Decoded::End),
            }
        }
    }
}
