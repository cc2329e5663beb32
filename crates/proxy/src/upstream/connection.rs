//! Connections to hosts, each with one request at a time.
//!
//! The coordinator has connections to hosts of its own, in `crates/coordinator/src/net/link`. The two are not merged
//! because they behave differently. Here a connection carries one request and may be dropped at any time, the response
//! is already read while the request is still being written, and it is matched by the attempt id. There a connection
//! belongs to an actor that also cancels and retracts parts of calls and probes the host. That one closes after 0.7 of
//! the host's idle timeout; here a connection closes a second (or half of the timeout) before the host does.

use crate::response_matching::ResponseMatcher;
use crate::socket;
use crate::state::Clock;
use crate::upstream::outgoing_request::OutgoingRequest;
use crate::upstream::pool::ConnectionPermit;
use crate::upstream::response_body::ResponseBody;
use bytes::{Bytes, BytesMut};
use http1::{BodyDecoder, Decoded, HeadLimits, ParseError, ResponseHead};
use snafu::Snafu;
use std::io;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Limits on the size of a response head.
const HEAD_LIMITS: HeadLimits = HeadLimits::with_max_bytes(32 * 1024);

/// The reason why a response, or the rest of it, can't be read.
#[derive(Debug, Snafu)]
pub(crate) enum UpstreamError {
    /// The socket failed.
    #[snafu(context(false), display("{source}"))]
    Socket {
        /// Error of the socket.
        source: io::Error,
    },
    /// The host closed the connection.
    #[snafu(display("the host closed the connection"))]
    Closed,
    /// The host closed the connection inside an event of a stream whose end nothing else marks.
    #[snafu(display("the host closed the connection inside an event"))]
    ClosedInsideEvent,
    /// The received bytes are not a valid response.
    #[snafu(context(false), display("{source}"))]
    Malformed {
        /// Error of the parser.
        source: ParseError,
    },
}

/// The result of reading a body up to a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyRead {
    /// The body is complete.
    Complete,
    /// More than the limit was read.
    OverLimit,
}

/// A connection to a host.
#[derive(Debug)]
pub(crate) struct UpstreamConnection {
    stream: TcpStream,
    buf: BytesMut,
    /// Whether an earlier request was sent on it.
    reused: bool,
    /// The request whose response is awaited or read; `None` between two requests.
    request: Option<OutgoingRequest>,
    /// Why the connection was aborted, such as by a reset. The kernel reports it to one call; later reads see an orderly
    /// end.
    abort_cause: Option<io::ErrorKind>,
    permit: ConnectionPermit,
    clock: Clock,
}

impl UpstreamConnection {
    /// Wraps a connection that has just been established.
    pub(crate) fn new(stream: TcpStream, permit: ConnectionPermit, clock: Clock) -> Self {
        Self {
            stream,
            buf: BytesMut::new(),
            reused: false,
            request: None,
            abort_cause: None,
            permit,
            clock,
        }
    }

    /// Whether an earlier request was sent on this connection.
    pub(crate) fn reused(&self) -> bool {
        self.reused
    }

    /// Whether the host has neither sent bytes nor closed the connection, as far as the kernel knows now.
    pub(crate) fn is_open_and_idle(&self) -> bool {
        socket::is_open_and_idle(&self.stream)
    }

    /// Writes a request. Returns early if its response, or what is none, arrives before everything is written: a host may
    /// refuse a large body and stop reading it. What is left is written while the response is read.
    ///
    /// # Errors
    /// If the socket fails.
    pub(crate) async fn send_request(
        &mut self,
        request: OutgoingRequest,
        matcher: ResponseMatcher<'_>,
    ) -> io::Result<()> {
        self.request = Some(request);
        while let Some(request) = unfinished(&mut self.request) {
            tokio::select! {
                biased;
                written = request.write_rest(&self.stream) => return self.record_abort(written),
                read = socket::read(&self.stream, &mut self.buf), if self.buf.len() < HEAD_LIMITS.max_bytes => {
                    if self.record_abort(read)? == 0 || self.has_decisive_input(matcher) {
                        return Ok(());
                    }
                }
            }
        }
        Ok(())
    }

    /// Whether the kernel has accepted a part of the current request.
    pub(crate) fn has_sent_request(&self) -> bool {
        self.request
            .as_ref()
            .is_some_and(OutgoingRequest::is_started)
    }

    /// Whether a part of the current request is left to be written.
    pub(crate) fn has_unfinished_request(&self) -> bool {
        self.request
            .as_ref()
            .is_some_and(OutgoingRequest::is_unfinished)
    }

    /// Writes a request without a body that belongs to no client, and reads the head of its response.
    ///
    /// # Errors
    /// If the socket fails, the host closes the connection, or the head is malformed.
    pub(crate) async fn request_head(
        &mut self,
        request: &[u8],
    ) -> Result<ResponseHead, UpstreamError> {
        socket::write_all(&self.stream, request, b"", &mut 0).await?;
        self.read_head(false).await
    }

    /// Whether the buffered bytes decide the attempt: the head of the matching response, or bytes that are no response,
    /// possibly after interim responses and responses to other requests.
    fn has_decisive_input(&self, matcher: ResponseMatcher) -> bool {
        let mut rest = self.buf.clone();
        let mut first_on_connection = !self.reused;
        loop {
            let head = match ResponseHead::decode(&mut rest, HEAD_LIMITS, false) {
                Ok(Some(head)) => head,
                Ok(None) => return false,
                Err(_) => return true,
            };
            if is_interim(&head) {
                continue;
            }
            if matcher.matches(&head, first_on_connection) {
                return true;
            }
            first_on_connection = false;
            match skip_body(&mut rest, BodyDecoder::new(head.framing)) {
                Ok(true) => {}
                Ok(false) => return false,
                Err(_) => return true,
            }
        }
    }

    /// Records whether a call on the socket has failed as the connection was aborted. A broken pipe is no sign of that:
    /// the host had ended its side in order before it stopped to read.
    fn record_abort<T>(&mut self, result: io::Result<T>) -> io::Result<T> {
        if let Err(error) = &result {
            if error.kind() != io::ErrorKind::BrokenPipe {
                self.abort_cause = Some(error.kind());
            }
        }
        result
    }

    /// Reads more input.
    ///
    /// # Errors
    /// If the connection is aborted, also if a write or an earlier read has met that first, or the host has closed it in
    /// order.
    async fn read_more(&mut self) -> Result<(), UpstreamError> {
        let read = self.read_while_writing().await;
        if self.record_abort(read)? > 0 {
            self.permit.record_activity(self.clock.now());
            return Ok(());
        }
        match self.abort_cause {
            Some(cause) => Err(io::Error::from(cause).into()),
            None => ClosedSnafu.fail(),
        }
    }

    /// Reads once. Until something arrives, it writes what is left of the request: the host may read all of it before it
    /// goes on with its response.
    async fn read_while_writing(&mut self) -> io::Result<usize> {
        while let Some(request) = unfinished(&mut self.request) {
            tokio::select! {
                biased;
                read = socket::read(&self.stream, &mut self.buf) => return read,
                written = request.write_rest(&self.stream) => {
                    // What the host has sent before can still be read.
                    let _ = self.record_abort(written);
                }
            }
        }
        socket::read(&self.stream, &mut self.buf).await
    }

    /// Reads the head of the next final response, skipping interim ones. Cancel-safe.
    pub(crate) async fn read_head(
        &mut self,
        to_head_request: bool,
    ) -> Result<ResponseHead, UpstreamError> {
        loop {
            if !self.buf.is_empty() {
                if let Some(head) =
                    ResponseHead::decode(&mut self.buf, HEAD_LIMITS, to_head_request)?
                {
                    if is_interim(&head) {
                        continue;
                    }
                    return Ok(head);
                }
            }
            self.read_more().await?;
        }
    }

    /// Reads the next piece of a body; `None` at the end of the body. Cancel-safe.
    ///
    /// # Errors
    /// If the socket fails, the body is malformed, or the connection is closed where the body can't end.
    pub(crate) async fn read_body_piece(
        &mut self,
        body: &mut ResponseBody,
    ) -> Result<Option<Bytes>, UpstreamError> {
        loop {
            match body.decode(&mut self.buf)? {
                Decoded::Data(data) => return Ok(Some(data)),
                Decoded::End => return Ok(None),
                Decoded::Incomplete => match self.read_more().await {
                    Err(UpstreamError::Closed) => return body.on_close().map(|()| None),
                    result => result?,
                },
            }
        }
    }

    /// Appends a body to `out` until it is complete or `out` is longer than `max_bytes`. Cancel-safe: a further call
    /// with the same arguments continues.
    pub(crate) async fn read_body(
        &mut self,
        body: &mut ResponseBody,
        out: &mut BytesMut,
        max_bytes: usize,
    ) -> Result<BodyRead, UpstreamError> {
        while out.len() <= max_bytes {
            match self.read_body_piece(body).await? {
                Some(data) => out.extend_from_slice(&data),
                None => return Ok(BodyRead::Complete),
            }
        }
        Ok(BodyRead::OverLimit)
    }

    /// Whether bytes arrived from the host after `since`, on this connection or another one.
    pub(crate) fn host_active_since(&self, since: Instant) -> bool {
        self.clock.at(self.permit.last_activity()) > since
    }

    /// Prepares the connection for reuse after a complete response with this head; `None` if it can't be reused.
    pub(crate) fn into_idle(mut self, head: &ResponseHead) -> Option<Self> {
        // Bytes after a complete response belong to no request.
        let has_stray_bytes = !self.buf.is_empty();
        // Otherwise the next request would stand where the rest of this one is due.
        let is_written = self.request.take().is_some_and(|r| r.is_complete());
        if !head.is_keep_alive() || !is_written || has_stray_bytes {
            return None;
        }
        self.reused = true;
        self.buf = BytesMut::new();
        Some(self)
    }
}

/// The request if there is a rest of it that can still be written.
fn unfinished(request: &mut Option<OutgoingRequest>) -> Option<&mut OutgoingRequest> {
    request.as_mut().filter(|request| request.is_unfinished())
}

/// Whether this is an interim response, with the final one still to follow.
fn is_interim(head: &ResponseHead) -> bool {
    (100..200).contains(&head.status)
}

/// Removes a body from the front of a buffer. Returns false if the body is incomplete.
fn skip_body(buf: &mut BytesMut, mut body: BodyDecoder) -> Result<bool, ParseError> {
    loop {
        match body.decode(buf)? {
            Decoded::Data(_) => {}
            Decoded::End => return Ok(true),
            Decoded::Incomplete => return Ok(false),
        }
    }
}
