//! Reads from and writes to a socket by shared reference, so that both can happen at the same time.

use bytes::BytesMut;
use rustix::net::{recv, RecvFlags};
use std::io::{self, IoSlice};
use tokio::net::TcpStream;

/// Buffer space reserved for each read, in bytes.
const READ_BUFFER_BYTES: usize = 4096;

/// Reads once and appends to `buf`. Returns the number of bytes, 0 at the end of the stream. Cancel-safe, and allocates
/// no memory until input arrives.
pub(crate) async fn read(stream: &TcpStream, buf: &mut BytesMut) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        buf.reserve(READ_BUFFER_BYTES);
        match stream.try_read_buf(buf) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

/// Writes `head` and then `body`. `written` counts the bytes that the kernel has accepted, also if this fails or is
/// dropped.
pub(crate) async fn write_all(
    stream: &TcpStream,
    head: &[u8],
    body: &[u8],
    written: &mut usize,
) -> io::Result<()> {
    let total = head.len() + body.len();
    while *written < total {
        let head_rest = head.get(*written..).unwrap_or_default();
        let body_rest = body
            .get(written.saturating_sub(head.len())..)
            .unwrap_or_default();
        match try_write(stream, head_rest, body_rest) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(n) => *written += n,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => stream.writable().await?,
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

fn try_write(stream: &TcpStream, head: &[u8], body: &[u8]) -> io::Result<usize> {
    if head.is_empty() {
        stream.try_write(body)
    } else if body.is_empty() {
        stream.try_write(head)
    } else {
        stream.try_write_vectored(&[IoSlice::new(head), IoSlice::new(body)])
    }
}

/// Whether there is nothing to read and the peer has not closed the connection, as far as the kernel knows now.
pub(crate) fn is_open_and_idle(stream: &TcpStream) -> bool {
    let mut byte = [0u8; 1];
    let peeked = recv(stream, &mut byte, RecvFlags::PEEK | RecvFlags::DONTWAIT);
    matches!(peeked, Err(rustix::io::Errno::AGAIN))
}
