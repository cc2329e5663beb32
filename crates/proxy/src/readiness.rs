//! The platform's question whether requests are to come here.

use crate::socket;
use crate::state::ProxyState;
use bytes::BytesMut;
use http1::{HeadLimits, RequestHead};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const PATH: &[u8] = b"/fennelpin/readiness";
const HEAD_LIMITS: HeadLimits = HeadLimits::with_max_bytes(8 * 1024);
/// Who asks once a second is kept; who says nothing for longer is let go.
const IDLE: Duration = Duration::from_secs(10);

/// Answers for as long as the process lives.
pub(crate) async fn listen(state: Rc<ProxyState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(answer(state.clone(), stream));
            }
            Err(e) => {
                log::warn!("readiness: {e}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn answer(state: Rc<ProxyState>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut buf = BytesMut::new();
    loop {
        let head = loop {
            match RequestHead::decode(&mut buf, HEAD_LIMITS) {
                Ok(Some(head)) => break head,
                Ok(None) => {}
                Err(_) => return,
            }
            match timeout(IDLE, socket::fill(&stream, &mut buf)).await {
                Ok(Ok(n)) if n > 0 => {}
                _ => return,
            }
        };
        let status = match (head.path() == PATH, state.ready()) {
            (true, true) => "200 OK",
            (true, false) => "503 Service Unavailable",
            _ => "404 Not Found",
        };
        let keep = head.is_keep_alive() && head.framing.is_none();
        let close = if keep { "" } else { "Connection: close\r\n" };
        let text = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n{close}\r\n");
        let written = timeout(
            IDLE,
            socket::write_all(&stream, text.as_bytes(), b"", &mut 0),
        )
        .await;
        if !keep || !matches!(written, Ok(Ok(()))) {
            return;
        }
    }
}
