//! Connections to hosts: one request at a time on each, kept for the next where both sides agree.

use crate::socket;
use crate::upstream::pool::ConnectionPermit;
use bytes::{Bytes, BytesMut};
use http1::{BodyDecoder, Decoded, HeadLimits, ParseError, ResponseHead};
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Largest head of an answer.
const HEAD_LIMITS: HeadLimits = HeadLimits::with_max_bytes(32 * 1024);

/// Why there is no (further) part of an answer.
#[derive(Debug, Snafu)]
pub(crate) enum UpstreamError {
    /// The socket failed.
    #[snafu(context(false), display("{source}"))]
    Socket {
        /// How.
        source: std::io::Error,
    },
    /// The host ended the connection.
    #[snafu(display("closed by the host"))]
    Closed,
    /// What came is no answer.
    #[snafu(context(false), display("{source}"))]
    NoAnswer {
        /// How.
        source: ParseError,
    },
}

/// Whether the answer proper is still to come.
fn is_interim(head: &ResponseHead) -> bool {
    (100..200).contains(&head.status)
}

/// Takes a body off the front of a buffer; false where it isn't there to its end.
fn pass_over(buf: &mut BytesMut, mut body: BodyDecoder) -> bool {
    loop {
        match body.decode(buf) {
            Ok(Decoded::Data(_)) => {}
            Ok(Decoded::End) => return true,
            Ok(Decoded::Incomplete) | Err(_) => return false,
        }
    }
}

/// A connection to a host.
#[derive(Debug)]
pub(crate) struct UpstreamConnection {
    stream: TcpStream,
    buf: BytesMut,
    /// Whether it was used before.
    pub(crate) used: bool,
    /// A request was written in part only.
    partial: bool,
    ticket: ConnectionPermit,
    origin: Instant,
}

impl UpstreamConnection {
    /// A connection that has just come up.
    pub(crate) fn new(stream: TcpStream, ticket: ConnectionPermit, origin: Instant) -> Self {
        Self {
            stream,
            buf: BytesMut::new(),
            used: false,
            partial: false,
            ticket,
            origin,
        }
    }

    /// Whether nothing waits to be read and the host has not ended the connection, as the system knows it now.
    pub(crate) fn quiet(&self) -> bool {
        socket::quiet(&self.stream)
    }

    /// Writes a request, and stops where its answer is there before all is written: a host may refuse a large
    /// body and read no more of it. `ours` tells whether a head begins the answer, given whether nobody was answered
    /// on this connection before. `written` counts what the system took, also where this fails.
    pub(crate) async fn send(
        &mut self,
        head: &[u8],
        body: &[u8],
        written: &mut usize,
        ours: impl Fn(&ResponseHead, bool) -> bool,
    ) -> std::io::Result<()> {
        // Until it is written to its end, no other request may follow.
        self.partial = true;
        loop {
            tokio::select! {
                biased;
                done = socket::write_all(&self.stream, head, body, written) => {
                    self.partial = done.is_err();
                    return done;
                }
                got = socket::fill(&self.stream, &mut self.buf), if self.buf.len() < HEAD_LIMITS.max_bytes => {
                    if got? == 0 {
                        return Ok(());
                    }
                    if self.has_answer(&ours) {
                        return Ok(());
                    }
                }
            }
        }
    }

    /// Whether the head of an answer to the request stands in the buffer, past interim ones and answers to others.
    fn has_answer(&self, ours: impl Fn(&ResponseHead, bool) -> bool) -> bool {
        let mut rest = self.buf.clone();
        let mut nobody_answered = !self.used;
        while let Ok(Some(head)) = ResponseHead::decode(&mut rest, HEAD_LIMITS, false) {
            if is_interim(&head) {
                continue;
            }
            if ours(&head, nobody_answered) {
                return true;
            }
            nobody_answered = false;
            if !pass_over(&mut rest, BodyDecoder::new(head.framing)) {
                return false;
            }
        }
        false
    }

    async fn more(&mut self) -> Result<(), UpstreamError> {
        match socket::fill(&self.stream, &mut self.buf).await? {
            0 => ClosedSnafu.fail(),
            _ => {
                self.ticket.record_activity(self.origin.elapsed());
                Ok(())
            }
        }
    }

    /// The head of the next answer, past interim ones. May be dropped and called again.
    pub(crate) async fn head(&mut self, to_head: bool) -> Result<ResponseHead, UpstreamError> {
        loop {
            if !self.buf.is_empty() {
                if let Some(head) = ResponseHead::decode(&mut self.buf, HEAD_LIMITS, to_head)? {
                    if is_interim(&head) {
                        continue;
                    }
                    return Ok(head);
                }
            }
            self.more().await?;
        }
    }

    /// What comes next of a body; `None` at its end. May be dropped and called again.
    pub(crate) async fn piece(
        &mut self,
        body: &mut BodyDecoder,
    ) -> Result<Option<Bytes>, UpstreamError> {
        loop {
            match body.decode(&mut self.buf)? {
                Decoded::Data(data) => return Ok(Some(data)),
                Decoded::End => return Ok(None),
                Decoded::Incomplete => match self.more().await {
                    Err(UpstreamError::Closed) if body.is_close_delimited() => return Ok(None),
                    step => step?,
                },
            }
        }
    }

    /// Reads a body into `out`; false where it goes on beyond `most` bytes. May be dropped and called again.
    pub(crate) async fn whole(
        &mut self,
        body: &mut BodyDecoder,
        out: &mut BytesMut,
        most: usize,
    ) -> Result<bool, UpstreamError> {
        while out.len() <= most {
            match self.piece(body).await? {
                Some(data) => out.extend_from_slice(&data),
                None => return Ok(true),
            }
        }
        Ok(false)
    }

    /// Whether the host has been heard since a time, on this connection or another.
    pub(crate) fn heard_since(&self, time: Instant) -> bool {
        self.origin + self.ticket.last_activity() > time
    }

    /// The connection for another request, after a whole answer with this head; `None` where none may follow.
    pub(crate) fn rested(mut self, head: &ResponseHead) -> Option<Self> {
        // More after a whole answer belongs to no request.
        if !head.is_keep_alive() || self.partial || !self.buf.is_empty() {
            return None;
        }
        self.used = true;
        self.buf = BytesMut::new();
        Some(self)
    }
}
