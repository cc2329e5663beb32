//! Closing of client connections: gracefully after a response, or by a reset.

use crate::socket;
use bytes::BytesMut;
use rustix::net::sockopt::set_socket_linger;
use rustix::net::{shutdown, Shutdown};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time for which input is discarded after the last response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);

/// Shuts down the sending direction and discards input for up to [`LINGER_TIMEOUT`]. Closing a socket with unread input
/// resets the connection, and the client could lose the response.
pub(super) async fn close_gracefully(stream: &TcpStream) {
    let _ = shutdown(stream, Shutdown::Write);
    let _ = timeout(LINGER_TIMEOUT, discard_input(stream)).await;
}

async fn discard_input(stream: &TcpStream) {
    let mut buf = BytesMut::new();
    while let Ok(n) = socket::read(stream, &mut buf).await {
        if n == 0 {
            return;
        }
        buf.clear();
    }
}

/// Makes the next close send a reset, as an orderly close would make an incomplete response look complete.
pub(super) fn reset_on_close(stream: &TcpStream) {
    let _ = set_socket_linger(stream, Some(Duration::ZERO));
}
