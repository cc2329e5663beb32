//! Helpers for TCP connections between processes. All waits are bounded, so that a stalled peer blocks no other work.

use std::io;
use std::time::Duration;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest time that a write may make no progress before the peer is treated as lost.
pub const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without acknowledgement of sent bytes after which the kernel closes the connection (`TCP_USER_TIMEOUT`).
#[cfg(target_os = "linux")]
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Writes all of `bytes`.
///
/// # Errors
/// Returns an error if the connection breaks or a write makes no progress for [`WRITE_STALL_TIMEOUT`].
pub async fn write_all(output: &mut (impl AsyncWrite + Unpin), bytes: &[u8]) -> io::Result<()> {
    write_all_counting(output, bytes, |_| ()).await
}

/// Writes all of `bytes` like [`write_all`], and calls `on_written` with the number of bytes of each partial write.
///
/// # Errors
/// Returns the errors of [`write_all`].
pub async fn write_all_counting(
    output: &mut (impl AsyncWrite + Unpin),
    mut bytes: &[u8],
    mut on_written: impl FnMut(usize),
) -> io::Result<()> {
    while !bytes.is_empty() {
        let written = timeout(WRITE_STALL_TIMEOUT, output.write(bytes)).await??;
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        on_written(written);
        bytes = &bytes[written..];
    }
    Ok(())
}

/// Sets a connection's options: `TCP_NODELAY`, and on Linux `TCP_USER_TIMEOUT`.
///
/// # Errors
/// Returns an error if the operating system refuses an option.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    #[cfg(target_os = "linux")]
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    Ok(())
}
