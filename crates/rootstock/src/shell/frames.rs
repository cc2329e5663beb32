//! Frames on a connection, with time limits: a peer that is silent holds nobody up.

use bytes::BytesMut;
use graft::Message;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A peer that takes no byte for this long is given up.
pub const WRITE_STALL: Duration = Duration::from_secs(1);
/// Bytes that are read at once.
const CHUNK: usize = 16 << 10;

/// Reads frames.
#[derive(Debug)]
pub struct Frames<R> {
    input: R,
    buffer: BytesMut,
}

impl<R: AsyncRead + Unpin> Frames<R> {
    /// Reads from `input`.
    pub fn new(input: R) -> Self {
        Self { input, buffer: BytesMut::new() }
    }

    /// The next message; `None` at the end. Nothing is lost where the caller stops waiting.
    ///
    /// # Errors
    /// Where the connection breaks or the bytes are no frame.
    pub async fn next(&mut self) -> io::Result<Option<Message>> {
        loop {
            match graft::decode(&self.buffer) {
                Ok(Some((message, used))) => {
                    let _ = self.buffer.split_to(used);
                    return Ok(Some(message));
                }
                Ok(None) => {}
                Err(e) => return Err(io::Error::new(io::ErrorKind::InvalidData, e.to_string())),
            }
            self.buffer.reserve(CHUNK);
            if self.input.read_buf(&mut self.buffer).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// The input and what was read beyond the last message.
    pub fn into_parts(self) -> (R, BytesMut) {
        (self.input, self.buffer)
    }
}

/// Writes all of `bytes` to a peer that goes on taking them.
///
/// # Errors
/// Where the connection breaks or the peer takes nothing for [`WRITE_STALL`].
pub async fn write_all(output: &mut (impl AsyncWrite + Unpin), mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let written = timeout(WRITE_STALL, output.write(bytes)).await??;
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        bytes = &bytes[written..];
    }
    Ok(())
}

/// Readies a connection between processes: no delay of small writes, an end where sent bytes stay unanswered.
pub fn ready(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    #[cfg(target_os = "linux")]
    socket.set_tcp_user_timeout(Some(Duration::from_secs(3)))?;
    Ok(())
}
