//! Whether a client is still there while its request is answered.

use super::message::Response;
use super::ResponseFuture;
use crate::net::buffered_stream::BufferedStream;
use std::time::Duration;
use tokio::io::{Interest, Ready};

/// How often a client that has sent more than is taken is looked at for its end.
const FULL_LOOK: Duration = Duration::from_millis(50);

/// Takes what has come by now, up to a full ring; false once the client has gone. A client that ends only its
/// own side has gone too: the protocol knows no other end, and nothing tells the two apart.
fn stays(conn: &mut BufferedStream, known: Ready) -> bool {
    // Behind what is not taken no end can be read: there the system's word must do.
    while conn.input.free() > 0 {
        match conn.input.read_from(&conn.stream) {
            Ok(n) if n > 0 => {}
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return true,
            _ => return false,
        }
    }
    !known.is_read_closed()
}

/// What the system has said of the socket by now.
async fn known(conn: &BufferedStream) -> Ready {
    let ready = tokio::time::timeout(Duration::ZERO, conn.stream.ready(Interest::READABLE)).await;
    ready.map_or(Ready::EMPTY, |r| r.unwrap_or(Ready::READ_CLOSED))
}

/// The answer to a request, or `None` if its client has gone before it is asked for, or goes first. A client
/// that sends on is left to wait. What a client leaves behind in one go, request and end, is not begun.
pub(super) async fn answer_or_gone(
    conn: &mut BufferedStream,
    ask: impl FnOnce() -> ResponseFuture,
) -> Option<Response> {
    let at_first = known(conn).await;
    if !stays(conn, at_first) {
        return None;
    }
    let mut answer = ask();
    loop {
        let full = conn.input.free() == 0;
        tokio::select! {
            biased;
            done = &mut answer => return Some(done),
            _ = tokio::time::sleep(FULL_LOOK), if full => {}
            ready = conn.stream.readable(), if !full => if ready.is_err() { return None },
        }
        let by_now = known(conn).await;
        if !stays(conn, by_now) {
            return None;
        }
    }
}
