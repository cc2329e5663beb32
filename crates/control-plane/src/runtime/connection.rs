//! TCP connections between processes. All waits are bounded: a peer that stalls holds nobody up.

use std::io;
use std::time::Duration;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A peer that takes no byte for this long counts as gone.
pub const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The kernel ends a connection whose sent bytes aren't acknowledged within this time (`TCP_USER_TIMEOUT`).
#[cfg(target_os = "linux")]
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Writes all of `bytes`.
///
/// # Errors
/// If the connection breaks or the peer takes nothing for [`WRITE_STALL_TIMEOUT`].
pub async fn write_all(output: &mut (impl AsyncWrite + Unpin), bytes: &[u8]) -> io::Result<()> {
    write_all_counting(output, bytes, |_| ()).await
}

/// As [`write_all`]; `on_written` is called with the number of bytes of each write.
///
/// # Errors
/// As [`write_all`].
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

/// Sets a connection's options: small writes go out at once, and unacknowledged bytes end it.
///
/// # Errors
/// If the system refuses an option.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    #[cfg(target_os = "linux")]
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    Ok(())
}
