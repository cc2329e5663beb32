//! Whole messages from a stream of bytes.

use graft::{decode, Message};
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Reads frames. What was read and not yet decoded is kept, so a read that is given up loses nothing.
pub struct FrameReader<R> {
    stream: R,
    buffer: Vec<u8>,
    received: u64,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Reads from `stream`, after the bytes that `buffer` already holds.
    pub fn new(stream: R, buffer: Vec<u8>) -> Self {
        Self { stream, buffer, received: 0 }
    }

    /// The next message; `None` at the end of the stream.
    ///
    /// # Errors
    /// Where the stream fails, ends inside a frame, or its bytes are no frame.
    pub async fn next(&mut self) -> io::Result<Option<Message>> {
        loop {
            match decode(&self.buffer) {
                Ok(Some((message, length))) => {
                    self.buffer.drain(..length);
                    if self.buffer.is_empty() {
                        self.buffer.shrink_to(16 << 10);
                    }
                    return Ok(Some(message));
                }
                Ok(None) => {}
                Err(e) => return Err(io::Error::new(io::ErrorKind::InvalidData, e.to_string())),
            }
            self.buffer.reserve(4096);
            let read = self.stream.read_buf(&mut self.buffer).await?;
            self.received += read as u64;
            if read == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
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
