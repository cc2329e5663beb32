//! A bounded ring buffer between a socket and its reader or writer.

use std::io;
use tokio::net::TcpStream;

/// A ring buffer of fixed capacity; a full one accepts no more bytes. It allocates its memory with the first byte, and
/// [`RingBuffer::release_memory`] frees it, so that idle connections hold none.
pub struct RingBuffer {
    buf: Box<[u8]>,
    capacity: usize,
    head: usize,
    len: usize,
}

impl RingBuffer {
    /// Creates an empty buffer of `capacity` bytes, at least 1.
    pub fn new(capacity: usize) -> Self {
        Self {
            buf: Box::default(),
            capacity: capacity.max(1),
            head: 0,
            len: 0,
        }
    }

    /// Frees the memory if the buffer is empty.
    pub fn release_memory(&mut self) {
        if self.len == 0 {
            self.buf = Box::default();
        }
    }

    /// Returns the number of bytes held.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the buffer holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of bytes that still fit.
    pub fn free(&self) -> usize {
        self.capacity - self.len
    }

    /// Returns the first contiguous run of the bytes held.
    pub fn first(&self) -> &[u8] {
        let end = (self.head + self.len).min(self.buf.len());
        self.buf.get(self.head..end).unwrap_or_default()
    }

    /// Returns all bytes held as one run, moving them if they wrap around.
    pub fn contiguous(&mut self) -> &[u8] {
        if self.head + self.len > self.buf.len() {
            self.buf.rotate_left(self.head);
            self.head = 0;
        }
        self.buf
            .get(self.head..self.head + self.len)
            .unwrap_or_default()
    }

    /// Removes `n` bytes from the front, or all if there are fewer.
    pub fn consume(&mut self, n: usize) {
        let n = n.min(self.len);
        self.len -= n;
        self.head = if self.len == 0 {
            0
        } else {
            (self.head + n) % self.capacity
        };
    }

    fn free_run(&mut self) -> &mut [u8] {
        let cap = self.capacity;
        if self.buf.is_empty() {
            self.buf = vec![0; cap].into_boxed_slice();
        }
        let tail = (self.head + self.len) % cap;
        let end = if self.len == cap || tail < self.head {
            self.head
        } else {
            cap
        };
        if self.len == cap {
            return &mut [];
        }
        &mut self.buf[tail..end]
    }

    /// Appends as much of `bytes` as fits, and returns the number of bytes appended.
    pub fn put(&mut self, bytes: &[u8]) -> usize {
        let mut taken = 0;
        while taken < bytes.len() && self.free() > 0 {
            let free_run = self.free_run();
            let n = free_run.len().min(bytes.len() - taken);
            free_run[..n].copy_from_slice(&bytes[taken..taken + n]);
            self.len += n;
            taken += n;
        }
        taken
    }

    /// Reads once from a ready socket into the buffer, and returns the number of bytes; 0 is the end of the stream.
    ///
    /// # Errors
    /// If the socket fails, or has nothing to read (`WouldBlock`).
    pub fn read_from(&mut self, stream: &TcpStream) -> io::Result<usize> {
        let n = stream.try_read(self.free_run())?;
        self.len += n;
        Ok(n)
    }

    /// Writes once from the buffer to a ready socket, and returns the number of bytes.
    ///
    /// # Errors
    /// If the socket fails, or accepts nothing now (`WouldBlock`).
    pub fn write_to(&mut self, stream: &TcpStream) -> io::Result<usize> {
        let n = stream.try_write(self.first())?;
        self.consume(n);
        Ok(n)
    }
}
