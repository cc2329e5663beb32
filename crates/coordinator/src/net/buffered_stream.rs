//! A connection: a socket and a ring buffer for each direction.

use super::ring_buffer::RingBuffer;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// A socket with its two rings.
pub struct BufferedStream {
    /// The socket.
    pub stream: TcpStream,
    /// What has come in and is not used yet.
    pub input: RingBuffer,
    /// What is to go out and is not written yet.
    pub output: RingBuffer,
}

impl BufferedStream {
    /// Wraps a connected socket. Small messages go out at once.
    pub fn new(stream: TcpStream, input: usize, output: usize) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            input: RingBuffer::new(input),
            output: RingBuffer::new(output),
        }
    }

    /// Connects within a time.
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

    /// Reads once; 0 is the end of the stream. Nothing is lost if this is dropped half-way.
    ///
    /// # Errors
    /// If the socket fails, or the input ring is full.
    pub async fn fill(&mut self) -> io::Result<usize> {
        if self.input.free() == 0 {
            return Err(io::Error::new(
                io::ErrorKind::OutOfMemory,
                "the input ring is full",
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

    /// Writes as much as the socket takes now; says how much that was.
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

    /// Writes all of `bytes` through the ring, waiting for the peer as often as the ring is full.
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
