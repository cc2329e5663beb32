//! Whole messages from a stream of bytes.

use protocol::{decode, Message};
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// What a look at a stream brings.
#[derive(Debug)]
pub enum Step {
    /// A whole message.
    Message(Box<Message>),
    /// Some bytes more.
    Part,
    /// The end of the stream.
    End,
}

/// Reads frames. What was read and not yet decoded is kept, so a read that is given up loses nothing.
pub struct FrameReader<R> {
    stream: R,
    buffer: Vec<u8>,
    received: u64,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Reads from `stream`, after the bytes that `buffer` already holds.
    pub fn new(stream: R, buffer: Vec<u8>) -> Self {
        Self {
            stream,
            buffer,
            received: 0,
        }
    }

    /// The next message; `None` at the end of the stream.
    ///
    /// # Errors
    /// Where the stream fails, ends inside a frame, or its bytes are no frame.
    pub async fn next(&mut self) -> io::Result<Option<Message>> {
        loop {
            match self.step().await? {
                Step::Message(message) => return Ok(Some(*message)),
                Step::Part => {}
                Step::End => return Ok(None),
            }
        }
    }

    /// Reads once at most.
    ///
    /// # Errors
    /// As [`FrameReader::next`].
    pub async fn step(&mut self) -> io::Result<Step> {
        match decode(&self.buffer) {
            Ok(Some((message, length))) => {
                self.buffer.drain(..length);
                if self.buffer.is_empty() {
                    self.buffer.shrink_to(16 << 10);
                }
                return Ok(Step::Message(Box::new(message)));
            }
            Ok(None) => {}
            Err(e) => return Err(io::Error::new(io::ErrorKind::InvalidData, e.to_string())),
        }
        self.buffer.reserve(4096);
        let read = self.stream.read_buf(&mut self.buffer).await?;
        self.received += read as u64;
        match read {
            0 if self.buffer.is_empty() => Ok(Step::End),
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(Step::Part),
        }
    }

    /// Bytes read from the stream so far.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// The stream and the bytes that aren't decoded yet.
    pub fn into_parts(self) -> (R, Vec<u8>) {
        (self.stream, self.buffer)
    }
}
