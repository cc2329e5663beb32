//! A TCP connection with a ring buffer for each direction.

use super::ring_buffer::RingBuffer;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// A socket with an input and an output ring buffer.
pub struct BufferedStream {
    /// The socket.
    pub stream: TcpStream,
    /// Bytes that were received and not consumed yet.
    pub input: RingBuffer,
    /// Bytes that are queued and not written to the socket yet.
    pub output: RingBuffer,
}

impl BufferedStream {
    /// Wraps a connected socket, with the capacities of the two buffers in bytes. Turns off Nagle's algorithm, so that
    /// small messages are sent at once.
    pub fn new(stream: TcpStream, input: usize, output: usize) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            input: RingBuffer::new(input),
            output: RingBuffer::new(output),
        }
    }

    /// Connects to an address within a timeout.
    ///
    /// # Errors
    /// If the address refuses the connection or does not answer within the time.
    pub async fn connect(
        addr: &str,
        within: Duration,
        input: usize,
        output: usize,
    ) -> io::Result<Self> {
        match tokio::time::timeout(within, TcpStream::connect(addr)).await {
            Ok(stream) => Ok(Self::new(stream?, input, output)),
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Reads once and returns the number of bytes; 0 is the end of the stream. It is cancellation-safe.
    ///
    /// # Errors
    /// If the socket fails, or the input buffer is full.
    pub async fn fill(&mut self) -> io::Result<usize> {
        if self.input.free() == 0 {
            return Err(io::Error::new(
                io::ErrorKind::OutOfMemory,
                "the input buffer is full",
            ));
        }
        loop {
            self.stream.readable().await?;
            match self.input.read_from(&self.stream) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => return done,
            }
        }
    }

    /// Writes as much output as the socket accepts without waiting, and returns the number of bytes.
    ///
    /// # Errors
    /// If the socket fails.
    pub fn push(&mut self) -> io::Result<usize> {
        let mut total = 0;
        while !self.output.is_empty() {
            match self.output.write_to(&self.stream) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => total += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
        }
        Ok(total)
    }

    /// Writes all of `bytes` through the output buffer, waiting for the peer whenever the buffer is full.
    ///
    /// # Errors
    /// If the socket fails.
    pub async fn write_all(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        loop {
            let taken = self.output.put(bytes);
            bytes = &bytes[taken..];
            self.push()?;
            if bytes.is_empty() && self.output.is_empty() {
                return Ok(());
            }
            if !self.output.is_empty() {
                self.stream.writable().await?;
            }
        }
    }
}
