//! Reader of frames from a byte stream.

use protocol::{decode, Message};
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Capacity that an empty buffer keeps, in bytes.
const MAX_IDLE_BUFFER_BYTES: usize = 16 << 10;
/// Minimum free space in the buffer for one read, in bytes.
const MIN_READ_BYTES: usize = 4096;

/// Result of one read from the stream.
#[derive(Debug)]
pub enum Step {
    /// A complete message.
    Message(Box<Message>),
    /// Some bytes of a message, which isn't complete yet.
    Partial,
    /// The end of the stream.
    End,
}

/// Reader of frames. Bytes that aren't decoded yet are kept, so a read may be cancelled without loss.
pub struct FrameReader<R> {
    stream: R,
    buffer: Vec<u8>,
    received: u64,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Creates a reader of `stream`. `buffer` holds the bytes that were already read from it.
    pub fn new(stream: R, buffer: Vec<u8>) -> Self {
        Self {
            stream,
            buffer,
            received: 0,
        }
    }

    /// Returns the next message; `None` at the end of the stream.
    ///
    /// # Errors
    /// Fails if the stream fails or ends within a frame, or if its bytes are not a valid frame.
    pub async fn next(&mut self) -> io::Result<Option<Message>> {
        loop {
            match self.step().await? {
                Step::Message(message) => return Ok(Some(*message)),
                Step::Partial => {}
                Step::End => return Ok(None),
            }
        }
    }

    /// Decodes the next message if it is already buffered, else reads from the stream once.
    ///
    /// # Errors
    /// As [`FrameReader::next`].
    pub async fn step(&mut self) -> io::Result<Step> {
        match decode(&self.buffer) {
            Ok(Some((message, length))) => {
                self.buffer.drain(..length);
                if self.buffer.is_empty() {
                    self.buffer.shrink_to(MAX_IDLE_BUFFER_BYTES);
                }
                return Ok(Step::Message(Box::new(message)));
            }
            Ok(None) => {}
            Err(error) => {
                return Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    error.to_string(),
                ))
            }
        }
        self.buffer.reserve(MIN_READ_BYTES);
        let read = self.stream.read_buf(&mut self.buffer).await?;
        self.received += read as u64;
        match read {
            0 if self.buffer.is_empty() => Ok(Step::End),
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(Step::Partial),
        }
    }

    /// Returns the number of bytes read from the stream so far.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Returns the stream and the bytes that aren't decoded yet.
    pub fn into_parts(self) -> (R, Vec<u8>) {
        (self.stream, self.buffer)
    }
}
