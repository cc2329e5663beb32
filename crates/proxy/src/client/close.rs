//! Ways to end a client's connection.

use crate::socket;
use bytes::BytesMut;
use rustix::net::sockopt::set_socket_linger;
use rustix::net::{shutdown, Shutdown};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long input is discarded after the last response.
const LINGER: Duration = Duration::from_millis(200);

/// Ends the stream and discards input for a moment. Closing with unread input would reset the connection and could take
/// the response along.
pub(super) async fn close_gracefully(stream: &TcpStream) {
    let _ = shutdown(stream, Shutdown::Write);
    let _ = timeout(LINGER, discard_input(stream)).await;
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

/// Makes the close a reset: an orderly one would make an incomplete response look complete.
pub(super) fn reset_on_close(stream: &TcpStream) {
    let _ = set_socket_linger(stream, Some(Duration::ZERO));
}
