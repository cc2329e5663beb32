//! Decoding of bodies.

use crate::chunk::{chunk_size, MOST_LINE};
use crate::error::{syntax, Malformed};
use crate::framing::Framing;
use bytes::{Buf, Bytes, BytesMut};

/// What comes next of a body.
#[derive(Debug, PartialEq, Eq)]
pub enum Piece {
    /// Bytes of it.
    Data(Bytes),
    /// Nothing until more is read.
    More,
    /// It is whole.
    End,
}

/// What stands at the front of the bytes of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// So many bytes that frame it.
    Frame(usize),
    /// So many bytes of the body itself.
    Data(usize),
    /// Nothing until more is read.
    More,
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
pub struct Body {
    framing: Framing,
    part: Part,
}

impl Body {
    /// A body framed in this way.
    pub fn new(framing: Framing) -> Self {
        let part = match framing {
            Framing::Length(0) => Part::Done,
            Framing::Length(n) => Part::Data(n),
            Framing::Chunked => Part::Size,
            Framing::UntilEnd => Part::Data(u64::MAX),
        };
        Self { framing, part }
    }

    /// Whether the end of the connection is the body's end.
    pub fn ends_with_connection(&self) -> bool {
        self.framing == Framing::UntilEnd
    }

    /// Whether bytes of the body itself come next: any run of them can be looked at then, not only whole lines.
    pub fn in_data(&self) -> bool {
        matches!(self.part, Part::Data(_))
    }

    /// Reads what comes next at the front of `input`; what it tells of is passed.
    ///
    /// # Errors
    /// Where chunks are malformed.
    pub fn step(&mut self, input: &[u8]) -> Result<Step, Malformed> {
        match &mut self.part {
            Part::Done => Ok(Step::End),
            Part::Data(_) if input.is_empty() => Ok(Step::More),
            Part::Data(left) => {
                let n = usize::try_from(*left)
                    .unwrap_or(usize::MAX)
                    .min(input.len());
                if self.framing != Framing::UntilEnd {
                    *left -= n as u64;
                }
                if *left == 0 {
                    self.part = if self.framing == Framing::Chunked {
                        Part::DataEnd
                    } else {
                        Part::Done
                    };
                }
                Ok(Step::Data(n))
            }
            Part::DataEnd => match input.first_chunk::<2>() {
                Some(b"\r\n") => {
                    self.part = Part::Size;
                    Ok(Step::Frame(2))
                }
                Some(_) => syntax("chunk"),
                None => Ok(Step::More),
            },
            Part::Size => match chunk_size(input)? {
                Some((n, size)) => {
                    self.part = if size == 0 {
                        Part::Trailer(0)
                    } else {
                        Part::Data(size)
                    };
                    Ok(Step::Frame(n))
                }
                None => Ok(Step::More),
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
                    Ok(Step::Frame(n + 1))
                }
                None if input.len() < MOST_LINE => Ok(Step::More),
                None => syntax("trailer"),
            },
        }
    }

    /// Takes what comes next off the front of `buf`.
    ///
    /// # Errors
    /// Where chunks are malformed.
    pub fn take(&mut self, buf: &mut BytesMut) -> Result<Piece, Malformed> {
        loop {
            match self.step(buf)? {
                Step::Frame(n) => buf.advance(n),
                Step::Data(n) => return Ok(Piece::Data(buf.split_to(n).freeze())),
                Step::More => return Ok(Piece::More),
                Step::End => return Ok(Piece::End),
            }
        }
    }
}
