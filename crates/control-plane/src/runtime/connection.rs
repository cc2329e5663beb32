//! Connections between processes, with time limits: a peer that is silent holds nobody up.

use std::io;
use std::time::Duration;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A peer that takes no byte for this long is given up.
pub const WRITE_STALL: Duration = Duration::from_secs(1);

/// Writes all of `bytes` to a peer that goes on taking them.
///
/// # Errors
/// Where the connection breaks or the peer takes nothing for [`WRITE_STALL`].
pub async fn write_all(output: &mut (impl AsyncWrite + Unpin), bytes: &[u8]) -> io::Result<()> {
    write_all_counting(output, bytes, |_| ()).await
}

/// As [`write_all`]; `taken` hears how many bytes went out each time.
///
/// # Errors
/// As [`write_all`].
pub async fn write_all_counting(
    output: &mut (impl AsyncWrite + Unpin),
    mut bytes: &[u8],
    mut taken: impl FnMut(usize),
) -> io::Result<()> {
    while !bytes.is_empty() {
        let written = timeout(WRITE_STALL, output.write(bytes)).await??;
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        taken(written);
        bytes = &bytes[written..];
    }
    Ok(())
}

/// Readies a connection between processes: no delay of small writes, an end where sent bytes stay unanswered.
///
/// # Errors
/// Where the system refuses an option.
pub fn ready(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    #[cfg(target_os = "linux")]
    socket.set_tcp_user_timeout(Some(Duration::from_secs(3)))?;
    Ok(())
}
