//! Answers of the proxy's own: refusals and failures.

use crate::socket::{self, field};
use crate::state::ProxyState;
use configuration::ResultCode;
use http1::RequestHead;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Least time for a client to take an answer.
pub(crate) const CLIENT_WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// An answer of our own.
pub(crate) struct LocalReply {
    code: ResultCode,
    text: Vec<u8>,
    bare: bool,
}

impl LocalReply {
    /// With this code, for this attempt.
    pub(crate) fn own(code: ResultCode, id: Option<&[u8]>, retry_after: Option<Duration>) -> Self {
        let body = format!("{} {}\n", code.number(), code.text());
        let mut text = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n",
            code.status(),
            http1::reason_phrase(code.status()),
            body.len()
        )
        .into_bytes();
        if let Some(id) = id {
            field(&mut text, b"Fennelpin-Attempt-Id", id);
        }
        if let (503, Some(after)) = (code.status(), retry_after) {
            field(
                &mut text,
                b"Retry-After",
                format!("{:.3}", after.as_secs_f64()).as_bytes(),
            );
        }
        text.extend_from_slice(body.as_bytes());
        Self {
            code,
            text,
            bare: false,
        }
    }

    /// The answer to a `HEAD` tells of a body and has none.
    pub(crate) fn to(mut self, request: &RequestHead) -> Self {
        self.bare = request.method() == b"HEAD";
        self
    }

    /// Writes it; false where the client doesn't take it.
    pub(crate) async fn write(&self, state: &ProxyState, stream: &TcpStream, close: bool) -> bool {
        match self.code.status() {
            408 | 421 | 429 | 503 => state.counters.add(|c| c.refused += 1),
            _ => state.counters.add(|c| c.failed += 1),
        }
        let end = self.text.len() - body_of(self.code);
        let mut text = self.text[..end].to_vec();
        text.extend_from_slice(if close {
            b"Connection: close\r\n\r\n"
        } else {
            b"\r\n"
        });
        if !self.bare {
            text.extend_from_slice(&self.text[end..]);
        }
        matches!(
            timeout(
                CLIENT_WRITE_TIMEOUT,
                socket::write_all(stream, &text, b"", &mut 0)
            )
            .await,
            Ok(Ok(()))
        )
    }
}

fn body_of(code: ResultCode) -> usize {
    code.number().to_string().len() + code.text().len() + 2
}
