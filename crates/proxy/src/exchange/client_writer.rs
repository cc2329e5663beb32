//! Writes the responses of hosts to the client.

use super::admission::is_last_response;
use super::Exchange;
use crate::headers::{is_forwarded, push_field, CONTENT_LENGTH};
use crate::local_reply::CLIENT_WRITE_TIMEOUT;
use crate::response_progress::ConnectionOutcome;
use crate::socket;
use http1::{Framing, ResponseHead};
use tokio::time::{timeout_at, Instant};

/// Initial capacity, in bytes, of the buffer for a response head; it grows if needed.
const INITIAL_HEAD_CAPACITY_BYTES: usize = 512;

/// Writes a response to the client piece by piece. The head is sent once, with the first piece. If the response is
/// resumed at other hosts, its framing and its connection fields stay as the first head announced them.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClientWriter {
    framing: Framing,
    close: bool,
}

impl ClientWriter {
    /// Returns the writer of the response that has already started, or creates one for a response with this head.
    pub(super) fn new(exchange: &Exchange, head: &ResponseHead) -> Self {
        if let Some(writer) = exchange.started_writer.get() {
            return writer;
        }
        let framing = client_framing(exchange, head);
        let close_delimited = framing == Framing::CloseDelimited;
        exchange.progress.set_close_delimited(close_delimited);
        Self {
            framing,
            close: close_delimited
                || is_last_response(exchange.state, exchange.request, exchange.progress),
        }
    }

    /// Writes a piece of the body, preceded by the head if that was not sent yet. Returns false if the client does not
    /// accept it in time.
    pub(super) async fn write_piece(
        &mut self,
        exchange: &Exchange<'_>,
        head: &ResponseHead,
        data: &[u8],
    ) -> bool {
        let mut out = if exchange.progress.start() {
            Vec::new()
        } else {
            exchange.started_writer.set(Some(*self));
            exchange.response_head(head, Some(self.framing), self.close)
        };
        if self.framing != Framing::Chunked {
            return exchange.write_to_client(&out, data).await;
        }
        // An empty chunk would end the body.
        if !data.is_empty() {
            out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
            out.extend_from_slice(data);
            out.extend_from_slice(b"\r\n");
        }
        exchange.write_to_client(&out, b"").await
    }

    /// Writes the end of the response.
    pub(super) async fn finish(
        &mut self,
        exchange: &Exchange<'_>,
        head: &ResponseHead,
    ) -> ConnectionOutcome {
        let started = exchange.progress.started();
        if !started && !self.write_piece(exchange, head, b"").await {
            return ConnectionOutcome::Truncated;
        }
        if self.framing == Framing::Chunked && !exchange.write_to_client(b"0\r\n\r\n", b"").await {
            return ConnectionOutcome::Truncated;
        }
        exchange.response_complete(self.close)
    }
}

/// Chooses how the body is delimited for the client.
fn client_framing(exchange: &Exchange, head: &ResponseHead) -> Framing {
    match head.framing {
        // The length of a stream that may be resumed at another host is not known.
        Framing::Length(length) if !exchange.route.resumable => Framing::Length(length),
        // HTTP/1.0 has no chunked encoding.
        _ if exchange.request.head.minor_version == 0 => Framing::CloseDelimited,
        // The end of a connection may also mean that this process was killed. Chunked encoding marks the end of the
        // body.
        _ => Framing::Chunked,
    }
}

impl Exchange<'_> {
    /// Builds the response head for the client. With a `framing` of `None` the host's `Content-Length` is kept, except
    /// with status 204.
    pub(super) fn response_head(
        &self,
        host_head: &ResponseHead,
        framing: Option<Framing>,
        close: bool,
    ) -> Vec<u8> {
        let mut head = Vec::with_capacity(INITIAL_HEAD_CAPACITY_BYTES);
        head.extend_from_slice(format!("HTTP/1.1 {} ", host_head.status).as_bytes());
        head.extend_from_slice(host_head.reason_phrase());
        head.extend_from_slice(b"\r\n");
        let drops_length = framing.is_some() || host_head.status == 204;
        for (name, value) in host_head.fields.iter() {
            let dropped = drops_length && name.eq_ignore_ascii_case(CONTENT_LENGTH.as_bytes());
            if !dropped && is_forwarded(&host_head.fields, name) {
                push_field(&mut head, name, value);
            }
        }
        match framing {
            Some(Framing::Length(length)) => {
                push_field(&mut head, CONTENT_LENGTH, length.to_string());
            }
            Some(Framing::Chunked) => push_field(&mut head, "Transfer-Encoding", "chunked"),
            Some(Framing::CloseDelimited) | None => {}
        }
        if close {
            push_field(&mut head, "Connection", "close");
        } else {
            let timeout = format!("timeout={}", self.advertised_idle_seconds());
            push_field(&mut head, "Keep-Alive", timeout);
        }
        head.extend_from_slice(b"\r\n");
        head
    }

    /// The idle timeout, in seconds, that is announced to clients: a second shorter than the real one, so that no
    /// request is sent while the connection is being closed.
    fn advertised_idle_seconds(&self) -> u64 {
        (self.state.client_limits().idle_timeout_ms / 1000)
            .saturating_sub(1)
            .max(1)
    }

    /// Writes to the client. Returns false if the client does not accept the bytes in time.
    pub(super) async fn write_to_client(&self, head: &[u8], body: &[u8]) -> bool {
        let write_deadline = self.deadline().max(Instant::now() + CLIENT_WRITE_TIMEOUT);
        let mut written = 0;
        let write = socket::write_all(self.client, head, body, &mut written);
        matches!(timeout_at(write_deadline, write).await, Ok(Ok(())))
    }

    /// Counts a complete response. `close` is true if it was the last one on its connection.
    pub(super) fn response_complete(&self, close: bool) -> ConnectionOutcome {
        self.state.counters.add(|c| c.responses += 1);
        if close {
            ConnectionOutcome::Close
        } else {
            ConnectionOutcome::KeepAlive
        }
    }
}
