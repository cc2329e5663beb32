//! A request on its way to a host.

use crate::socket;
use bytes::Bytes;
use std::io;
use tokio::net::TcpStream;

/// A request that is written piece by piece, as its host takes it.
#[derive(Debug)]
pub(crate) struct OutgoingRequest {
    head: Vec<u8>,
    body: Bytes,
    /// Number of bytes that the kernel has accepted.
    written: usize,
    /// Whether a write has failed, so that no more can be written.
    failed: bool,
}

impl OutgoingRequest {
    /// Creates a request of which nothing has been written.
    pub(crate) fn new(head: Vec<u8>, body: Bytes) -> Self {
        Self {
            head,
            body,
            written: 0,
            failed: false,
        }
    }

    /// Whether the host may have received a part of it.
    pub(crate) fn is_started(&self) -> bool {
        self.written > 0
    }

    /// Whether the kernel has accepted all of it.
    pub(crate) fn is_complete(&self) -> bool {
        self.written == self.head.len() + self.body.len()
    }

    /// Whether there is a rest that can still be written.
    pub(crate) fn is_unfinished(&self) -> bool {
        !self.failed && !self.is_complete()
    }

    /// Writes the rest. Cancel-safe: a further call continues.
    ///
    /// # Errors
    /// If the socket fails.
    pub(crate) async fn write_rest(&mut self, stream: &TcpStream) -> io::Result<()> {
        let result = socket::write_all(stream, &self.head, &self.body, &mut self.written).await;
        self.failed = result.is_err();
        result
    }
}
