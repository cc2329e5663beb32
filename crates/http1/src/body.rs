//! Incremental decoding of message bodies (RFC 9112, sections 6 and 7).

use crate::chunk::{parse_chunk_size, MAX_CHUNK_LINE_BYTES};
use crate::error::{syntax_error, ParseError};
use crate::fields::is_field_line;
use crate::framing::Framing;
use bytes::{Buf, Bytes, BytesMut};

/// Result of [`BodyDecoder::decode`]: what was taken from the front of a buffer.
#[derive(Debug, PartialEq, Eq)]
pub enum Decoded {
    /// The next piece of the body's content, without its framing.
    Data(Bytes),
    /// More input is needed.
    Incomplete,
    /// The body is complete; any bytes left in the buffer belong to the next message.
    End,
}

/// Result of [`BodyDecoder::decode_step`]: what is at the front of the input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeStep {
    /// Number of bytes of framing: chunk-size lines, line endings, trailer fields.
    Framing(usize),
    /// Number of content bytes.
    Data(usize),
    /// More input is needed.
    Incomplete,
    /// The body is complete.
    End,
}

/// The part of the body that the decoder expects next.
#[derive(Debug)]
enum State {
    ChunkSize,
    Data {
        remaining_bytes: u64,
    },
    /// The line ending after a chunk's data.
    ChunkEnd,
    Trailer {
        /// Length of the trailer lines decoded so far in bytes, not counting the LF of each.
        bytes_seen: usize,
    },
    Done,
}

/// Decoder for one message body that accepts input in pieces of any size.
#[derive(Debug)]
pub struct BodyDecoder {
    framing: Framing,
    state: State,
}

impl BodyDecoder {
    /// Creates a decoder for a body with this framing.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(remaining_bytes) => State::Data { remaining_bytes },
            Framing::Chunked => State::ChunkSize,
            Framing::CloseDelimited => State::Data {
                remaining_bytes: u64::MAX,
            },
        };
        Self { framing, state }
    }

    /// Returns whether the body ends when the connection is closed. The decoder never reports [`Decoded::End`] for such
    /// a body.
    pub fn is_close_delimited(&self) -> bool {
        self.framing == Framing::CloseDelimited
    }

    /// Returns whether the decoder expects content next. If so, input may be passed in arbitrary pieces; otherwise each
    /// line of the framing has to be contiguous.
    pub fn is_in_data(&self) -> bool {
        matches!(self.state, State::Data { .. })
    }

    /// Decodes the front of `input` and advances the decoder's state past the reported bytes. The caller has to remove
    /// that many bytes from the input before the next call.
    ///
    /// # Errors
    /// [`ParseError::Syntax`] if a chunk or a trailer is malformed.
    pub fn decode_step(&mut self, input: &[u8]) -> Result<DecodeStep, ParseError> {
        match self.state {
            State::Done => Ok(DecodeStep::End),
            State::Data { remaining_bytes } => Ok(self.data(input, remaining_bytes)),
            State::ChunkEnd => self.chunk_end(input),
            State::ChunkSize => self.chunk_size(input),
            State::Trailer { bytes_seen } => self.trailer(input, bytes_seen),
        }
    }

    fn data(&mut self, input: &[u8], remaining_bytes: u64) -> DecodeStep {
        if input.is_empty() {
            return DecodeStep::Incomplete;
        }
        let taken = usize::try_from(remaining_bytes)
            .unwrap_or(usize::MAX)
            .min(input.len());
        if self.framing == Framing::CloseDelimited {
            return DecodeStep::Data(taken);
        }
        let remaining_bytes = remaining_bytes - taken as u64;
        self.state = match (remaining_bytes, self.framing) {
            (0, Framing::Chunked) => State::ChunkEnd,
            (0, _) => State::Done,
            _ => State::Data { remaining_bytes },
        };
        DecodeStep::Data(taken)
    }

    fn chunk_end(&mut self, input: &[u8]) -> Result<DecodeStep, ParseError> {
        match input.first_chunk::<2>() {
            Some(b"\r\n") => {
                self.state = State::ChunkSize;
                Ok(DecodeStep::Framing(2))
            }
            Some(_) => syntax_error("chunk"),
            None => Ok(DecodeStep::Incomplete),
        }
    }

    fn chunk_size(&mut self, input: &[u8]) -> Result<DecodeStep, ParseError> {
        let Some(line) = parse_chunk_size(input)? else {
            return Ok(DecodeStep::Incomplete);
        };
        self.state = match line.chunk_bytes {
            // The last chunk is the empty one.
            0 => State::Trailer { bytes_seen: 0 },
            remaining_bytes => State::Data { remaining_bytes },
        };
        Ok(DecodeStep::Framing(line.line_bytes))
    }

    fn trailer(&mut self, input: &[u8], bytes_seen: usize) -> Result<DecodeStep, ParseError> {
        let Some(line_end) = input.iter().position(|byte| *byte == b'\n') else {
            return if input.len() < MAX_CHUNK_LINE_BYTES {
                Ok(DecodeStep::Incomplete)
            } else {
                syntax_error("trailer")
            };
        };
        let bytes_seen = bytes_seen + line_end;
        if bytes_seen > MAX_CHUNK_LINE_BYTES {
            return syntax_error("trailer");
        }
        let line = input
            .get(..line_end)
            .and_then(|line| line.strip_suffix(b"\r"));
        self.state = match line {
            Some([]) => State::Done,
            Some(line) if is_field_line(line) => State::Trailer { bytes_seen },
            _ => return syntax_error("trailer"),
        };
        Ok(DecodeStep::Framing(line_end + 1))
    }

    /// Removes the next piece of the body, with any framing before it, from the front of `buf`.
    ///
    /// # Errors
    /// [`ParseError::Syntax`] if a chunk or a trailer is malformed.
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
