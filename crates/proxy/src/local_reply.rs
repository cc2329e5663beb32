//! Responses that the proxy generates itself: rejections and errors.

use crate::headers::{push_field, ATTEMPT_ID};
use crate::socket;
use crate::state::ProxyState;
use configuration::ResultCode;
use http1::RequestHead;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Least time that a client is given to accept a response.
pub(crate) const CLIENT_WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// A response that the proxy generates itself.
pub(crate) struct LocalReply {
    code: ResultCode,
    /// Status line and fields, without the blank line.
    head: Vec<u8>,
    body: String,
    head_only: bool,
}

impl LocalReply {
    /// Creates a reply with this code to the attempt with this id. `retry_after` is sent only with status 429 or 503,
    /// in seconds with three decimals.
    pub(crate) fn new(
        code: ResultCode,
        attempt_id: Option<&[u8]>,
        retry_after: Option<Duration>,
    ) -> Self {
        let status = code.status();
        let body = format!("{} {}\n", code.number(), code.text());
        let reason = http1::reason_phrase(status);
        let mut head = format!("HTTP/1.1 {status} {reason}\r\n").into_bytes();
        push_field(&mut head, "Content-Type", "text/plain");
        push_field(&mut head, "Content-Length", body.len().to_string());
        if let Some(id) = attempt_id {
            push_field(&mut head, ATTEMPT_ID, id);
        }
        if let (429 | 503, Some(after)) = (status, retry_after) {
            push_field(
                &mut head,
                "Retry-After",
                format!("{:.3}", after.as_secs_f64()),
            );
        }
        Self {
            code,
            head,
            body,
            head_only: false,
        }
    }

    /// Omits the body if the request's method is `HEAD`.
    pub(crate) fn for_request(mut self, request: &RequestHead) -> Self {
        self.head_only = request.method() == b"HEAD";
        self
    }

    /// Counts and writes the reply. Returns false if the client does not accept it in time.
    pub(crate) async fn send(&self, state: &ProxyState, client: &TcpStream, close: bool) -> bool {
        match self.code.status() {
            408 | 421 | 429 | 503 => state.counters.add(|c| c.local_rejections += 1),
            _ => state.counters.add(|c| c.local_errors += 1),
        }
        if self.code == ResultCode::UnknownKey {
            state.counters.add(|c| c.unknown_keys += 1);
        }
        if self.code == ResultCode::Leaving {
            count_shutdown_rejection(state);
        }
        let mut message = self.head.clone();
        if close {
            push_field(&mut message, "Connection", "close");
        }
        message.extend_from_slice(b"\r\n");
        if !self.head_only {
            message.extend_from_slice(self.body.as_bytes());
        }
        let mut written = 0;
        let write = socket::write_all(client, &message, b"", &mut written);
        matches!(timeout(CLIENT_WRITE_TIMEOUT, write).await, Ok(Ok(())))
    }
}

/// Counts a request that is rejected because the process is about to end, and logs the first one.
fn count_shutdown_rejection(state: &ProxyState) {
    if state.counters.get().rejected_at_shutdown == 0 {
        log::info!("rejecting requests: the process is about to end");
    }
    state.counters.add(|c| c.rejected_at_shutdown += 1);
}
