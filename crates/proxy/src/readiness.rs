//! HTTP server for the platform's readiness probe.

use crate::socket;
use crate::state::ProxyState;
use bytes::BytesMut;
use http1::{HeadLimits, RequestHead};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

const PROBE_PATH: &[u8] = b"/fennelpin/readiness";
const HEAD_LIMITS: HeadLimits = HeadLimits::with_max_bytes(8 * 1024);
/// Time without input after which a connection is closed. The platform probes every second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed accept, which may otherwise fail again immediately.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Answers probes until the task is aborted.
pub(crate) async fn serve(state: Rc<ProxyState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_connection(state.clone(), stream));
            }
            Err(e) => {
                log::warn!("readiness: accept failed, retrying after a pause: {e}");
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_connection(state: Rc<ProxyState>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut buf = BytesMut::new();
    while let Some(request) = read_request(&stream, &mut buf).await {
        let keep_alive = request.is_keep_alive() && request.framing.is_none();
        let response = response(&request, state.is_ready(), keep_alive);
        let mut written = 0;
        let write = socket::write_all(&stream, response.as_bytes(), b"", &mut written);
        let sent = timeout(IDLE_TIMEOUT, write).await;
        if !keep_alive || !matches!(sent, Ok(Ok(()))) {
            return;
        }
    }
}

/// Reads the next request; `None` if the connection ends, is idle for too long, or the input is malformed.
async fn read_request(stream: &TcpStream, buf: &mut BytesMut) -> Option<RequestHead> {
    loop {
        if let Some(head) = RequestHead::decode(buf, HEAD_LIMITS).ok()? {
            return Some(head);
        }
        match timeout(IDLE_TIMEOUT, socket::read(stream, buf)).await {
            Ok(Ok(n)) if n > 0 => {}
            _ => return None,
        }
    }
}

fn response(request: &RequestHead, ready: bool, keep_alive: bool) -> String {
    let status = match (request.path() == PROBE_PATH, ready) {
        (true, true) => "200 OK",
        (true, false) => "503 Service Unavailable",
        _ => "404 Not Found",
    };
    let close = if keep_alive {
        ""
    } else {
        "Connection: close\r\n"
    };
    format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n{close}\r\n")
}
