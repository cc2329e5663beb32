//! Detects clients that disconnect while their request is being answered.

use super::message::Response;
use super::ResponseFuture;
use crate::net::buffered_stream::BufferedStream;
use std::time::Duration;
use tokio::io::{Interest, Ready};

/// Interval at which a client with a full input buffer is checked for a disconnect.
const FULL_BUFFER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Reads the available input, up to a full buffer, and returns whether the client is still connected. A client that
/// only shuts down its sending side counts as disconnected, since the two cases can't be distinguished.
fn is_connected(conn: &mut BufferedStream, readiness: Ready) -> bool {
    // With a full buffer, the end of the stream can't be read; the system's readiness flag decides.
    while conn.input.free() > 0 {
        match conn.input.read_from(&conn.stream) {
            Ok(n) if n > 0 => {}
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return true,
            _ => return false,
        }
    }
    !readiness.is_read_closed()
}

/// Returns the socket's current readiness, as reported by the system.
async fn readiness(conn: &BufferedStream) -> Ready {
    let ready = tokio::time::timeout(Duration::ZERO, conn.stream.ready(Interest::READABLE)).await;
    ready.map_or(Ready::EMPTY, |r| r.unwrap_or(Ready::READ_CLOSED))
}

/// Calls `ask` and returns its response, or `None` if the client disconnects first. A request whose client has already
/// disconnected is not started. A client that sends more input has to wait for its response.
pub(super) async fn answer_or_gone(
    conn: &mut BufferedStream,
    ask: impl FnOnce() -> ResponseFuture,
) -> Option<Response> {
    let initial = readiness(conn).await;
    if !is_connected(conn, initial) {
        return None;
    }
    let mut answer = ask();
    loop {
        let full = conn.input.free() == 0;
        tokio::select! {
            biased;
            done = &mut answer => return Some(done),
            _ = tokio::time::sleep(FULL_BUFFER_CHECK_INTERVAL), if full => {}
            ready = conn.stream.readable(), if !full => if ready.is_err() { return None },
        }
        let current = readiness(conn).await;
        if !is_connected(conn, current) {
            return None;
        }
    }
}
