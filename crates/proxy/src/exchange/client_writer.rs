//! Answers of hosts as the client gets them.

use super::{closes, Exchange};
use crate::local_reply::CLIENT_WRITE_TIMEOUT;
use crate::response_progress::ConnectionOutcome;
use crate::socket::{self, field};
use http1::{Framing, ResponseHead};
use tokio::time::{timeout_at, Instant};

/// Writes an answer to the client piece by piece; the head goes with the first one, and only once for all
/// hosts that an answer comes from. What that head said of the framing and of the connection holds for them all.
#[derive(Clone, Copy, Debug)]
pub(super) struct Writer {
    framing: Framing,
    close: bool,
}

impl Writer {
    pub(super) fn new(exchange: &Exchange, head: &ResponseHead) -> Self {
        if let Some(writer) = exchange.begun.get() {
            return writer;
        }
        let old = exchange.request.head.minor_version == 0;
        let resumable = exchange.route.resumable;
        let framing = match head.framing {
            Framing::Length(length) if !resumable => Framing::Length(length),
            // An old client knows no chunks.
            _ if old => Framing::CloseDelimited,
            // The end of a connection also comes where this process is killed: the answer shows its own.
            _ => Framing::Chunked,
        };
        exchange
            .stage
            .set_until_end(framing == Framing::CloseDelimited);
        Self {
            framing,
            close: closes(exchange.state, exchange.request) || framing == Framing::CloseDelimited,
        }
    }

    pub(super) async fn write(
        &mut self,
        exchange: &Exchange<'_>,
        head: &ResponseHead,
        data: &[u8],
    ) -> bool {
        let mut text = match exchange.stage.start() {
            true => Vec::new(),
            false => {
                exchange.begun.set(Some(*self));
                exchange.client_head(head, Some(self.framing), self.close)
            }
        };
        if self.framing != Framing::Chunked {
            return exchange.write(&text, data).await;
        }
        if !data.is_empty() {
            text.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
            text.extend_from_slice(data);
            text.extend_from_slice(b"\r\n");
        }
        exchange.write(&text, b"").await
    }

    /// Whether the client can tell the answer's end from a cut, and so has to be told only of a true one.
    pub(super) fn marks_end(&self) -> bool {
        self.framing != Framing::CloseDelimited
    }

    pub(super) async fn finish(
        &mut self,
        exchange: &Exchange<'_>,
        head: &ResponseHead,
    ) -> ConnectionOutcome {
        let begun = exchange.stage.started();
        if !begun && !self.write(exchange, head, b"").await {
            return ConnectionOutcome::Cut;
        }
        if self.framing == Framing::Chunked && !exchange.write(b"0\r\n\r\n", b"").await {
            return ConnectionOutcome::Cut;
        }
        exchange.state.counters.add(|c| c.passed += 1);
        if self.close {
            ConnectionOutcome::Close
        } else {
            ConnectionOutcome::Keep
        }
    }
}

impl Exchange<'_> {
    /// The answer's head as the client gets it; `None` leaves the host's length as it is.
    pub(super) fn client_head(
        &self,
        head: &ResponseHead,
        framing: Option<Framing>,
        close: bool,
    ) -> Vec<u8> {
        let mut out = Vec::with_capacity(512);
        out.extend_from_slice(format!("HTTP/1.1 {} ", head.status).as_bytes());
        out.extend_from_slice(head.reason_phrase());
        out.extend_from_slice(b"\r\n");
        for (name, value) in head.fields.iter() {
            let length = name.eq_ignore_ascii_case(b"content-length")
                && (framing.is_some() || head.status == 204);
            if !length && !socket::stays_here(&head.fields, name) {
                field(&mut out, name, value);
            }
        }
        match framing {
            Some(Framing::Length(n)) => {
                field(&mut out, b"Content-Length", n.to_string().as_bytes())
            }
            Some(Framing::Chunked) => field(&mut out, b"Transfer-Encoding", b"chunked"),
            Some(Framing::CloseDelimited) | None => {}
        }
        if close {
            field(&mut out, b"Connection", b"close");
        } else {
            // Told a little less than the truth, so that no request meets the close.
            let idle = (self.state.limits().idle_timeout_ms / 1000)
                .saturating_sub(1)
                .max(1);
            field(
                &mut out,
                b"Keep-Alive",
                format!("timeout={idle}").as_bytes(),
            );
        }
        out.extend_from_slice(b"\r\n");
        out
    }

    pub(super) async fn write(&self, head: &[u8], body: &[u8]) -> bool {
        let by = self.end().max(Instant::now() + CLIENT_WRITE_TIMEOUT);
        matches!(
            timeout_at(by, socket::write_all(self.client, head, body, &mut 0)).await,
            Ok(Ok(()))
        )
    }
}
