//! Serves one client connection: reads its requests and answers them one after another.
//!
//! The coordinator has an HTTP server of its own, in `crates/coordinator/src/net/http`. The two are separate because
//! they behave differently. Here all limits come from the operators and change with the configuration, the connection
//! that has been idle for longest is evicted for a new one, a client may pipeline requests while its response is being
//! sent, and a request without a response when the process ends gets a local reply. There the limits are constants,
//! the first request has to arrive within two seconds of connecting, connections that are slow to send a request are
//! evicted as well, and a client that repeats bad requests is read with increasing delays.

use super::close::{close_gracefully, reset_on_close};
use super::idle::IdleClients;
use super::request_reader::{ReadError, RequestReader};
use super::{DrainPhase, Request};
use crate::exchange;
use crate::local_reply::LocalReply;
use crate::response_progress::{ConnectionOutcome, ResponseProgress};
use crate::socket;
use crate::state::ProxyState;
use bytes::BytesMut;
use configuration::ResultCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, Instant};

/// Maximum number of bytes read ahead from a client while its response is being sent.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// Time without a request after which a connection is closed during a shutdown.
const DRAINING_IDLE_TIMEOUT: Duration = Duration::from_millis(200);
/// `Retry-After` of rejections because a limit of this process is reached, or because it can't serve yet or is shutting
/// down.
const OVERLOADED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A client's connection and the state of reading from it.
pub(super) struct ClientConnection<'a> {
    state: &'a Rc<ProxyState>,
    stream: &'a TcpStream,
    /// Bytes received that are not yet parsed as a request.
    buf: BytesMut,
    /// Time at which the latest bytes in `buf` were received.
    received_at: Instant,
    /// Whether the connection exceeds the process's limit, so that its first request is rejected.
    over_limit: bool,
    phase: watch::Receiver<DrainPhase>,
    /// Notified when this connection, while idle, has to close for a new one.
    evict_signal: Rc<Notify>,
}

/// Result of waiting for a request on an idle connection.
enum IdleOutcome {
    /// The first bytes of a request were received.
    Received,
    /// The connection was about to be closed, but a request has arrived meanwhile and is still unread.
    InputPending,
    /// The connection has to be closed.
    Close,
}

impl<'a> ClientConnection<'a> {
    /// Creates the state of a connection that was just accepted.
    pub(super) fn new(
        state: &'a Rc<ProxyState>,
        stream: &'a TcpStream,
        over_limit: bool,
        phase: watch::Receiver<DrainPhase>,
    ) -> Self {
        Self {
            state,
            stream,
            buf: BytesMut::new(),
            received_at: Instant::now(),
            over_limit,
            phase,
            evict_signal: Rc::default(),
        }
    }

    /// Serves requests until the connection has to be closed.
    pub(super) async fn serve(&mut self) {
        loop {
            if self.buf.is_empty() {
                match self.wait_for_request().await {
                    IdleOutcome::Received => self.received_at = Instant::now(),
                    IdleOutcome::InputPending => continue,
                    IdleOutcome::Close => return,
                }
            }
            // Boxed, so that only connections with a request in flight hold the memory for serving one.
            if Box::pin(self.serve_request()).await != ConnectionOutcome::KeepAlive {
                return;
            }
        }
    }

    async fn wait_for_request(&mut self) -> IdleOutcome {
        // Frees the buffer, as an idle connection needs none.
        self.buf = BytesMut::new();
        let idle_timeout = Duration::from_millis(self.state.client_limits().idle_timeout_ms);
        let phase = &mut self.phase;
        let drain_timeout = async {
            let _ = phase
                .wait_for(|phase| *phase >= DrainPhase::ClosingIdle)
                .await;
            sleep(DRAINING_IDLE_TIMEOUT).await;
        };
        let _idle_guard = IdleClients::register(&self.state.idle_clients, &self.evict_signal);
        tokio::select! {
            biased;
            read = socket::read(self.stream, &mut self.buf) => {
                return match read {
                    Ok(n) if n > 0 => IdleOutcome::Received,
                    _ => IdleOutcome::Close,
                };
            }
            () = drain_timeout => {}
            () = self.evict_signal.notified() => {}
            () = sleep(idle_timeout) => {}
        }
        // Closing now would lose a request that the kernel has already received.
        if socket::is_open_and_idle(self.stream) {
            IdleOutcome::Close
        } else {
            IdleOutcome::InputPending
        }
    }

    /// Reads one request and responds to it.
    async fn serve_request(&mut self) -> ConnectionOutcome {
        let reader = RequestReader {
            state: self.state,
            stream: self.stream,
            buf: &mut self.buf,
            limits: self.state.client_limits(),
        };
        let request = match reader.read(self.received_at).await {
            Ok(request) => request,
            Err(ReadError::Disconnected) => return ConnectionOutcome::Close,
            Err(ReadError::Rejected { code, attempt_id }) => {
                return self
                    .reject_unread_request(code, attempt_id.as_deref())
                    .await;
            }
        };
        self.state.counters.add(|c| c.requests += 1);
        if self.over_limit {
            let attempt_id = request.attempt_id();
            let retry_after = Some(OVERLOADED_RETRY_AFTER);
            return self
                .reject(ResultCode::Crowded, attempt_id, retry_after)
                .await;
        }
        self.forward_request(&request).await
    }

    /// Rejects a request that could not be read completely.
    async fn reject_unread_request(
        &self,
        code: ResultCode,
        attempt_id: Option<&[u8]>,
    ) -> ConnectionOutcome {
        // Without a configuration the limits on a request's size are not known.
        let limit_unknown = matches!(code, ResultCode::TooLarge | ResultCode::HeadTooLarge)
            && self.state.routing_table().is_none();
        let code = if limit_unknown {
            ResultCode::NoConfiguration
        } else {
            code
        };
        let retryable = matches!(code, ResultCode::Crowded | ResultCode::NoConfiguration);
        let retry_after = retryable.then_some(OVERLOADED_RETRY_AFTER);
        self.reject(code, attempt_id, retry_after).await
    }

    /// Sends a local reply and closes the connection.
    async fn reject(
        &self,
        code: ResultCode,
        attempt_id: Option<&[u8]>,
        retry_after: Option<Duration>,
    ) -> ConnectionOutcome {
        let reply = LocalReply::new(code, attempt_id, retry_after);
        if reply.send(self.state, self.stream, true).await {
            close_gracefully(self.stream).await;
        }
        ConnectionOutcome::Close
    }

    /// Forwards a request, until the client disconnects or the process's shutdown ends it.
    async fn forward_request(&mut self, request: &Request) -> ConnectionOutcome {
        let progress = ResponseProgress::default();
        if !self.buf.is_empty() {
            progress.set_pipelined_input();
        }
        let phase = &mut self.phase;
        let ended_by_shutdown = async {
            let _ = phase
                .wait_for(|phase| *phase >= DrainPhase::EndingUnanswered)
                .await;
            if progress.started() {
                let _ = phase
                    .wait_for(|phase| *phase == DrainPhase::ClosingAll)
                    .await;
            }
        };
        let finished = tokio::select! {
            biased;
            // Polled first, so that once a disconnect is seen nothing more is sent to a host for this client.
            () = wait_for_disconnect(self.stream, &mut self.buf, &mut self.received_at, &progress) => {
                self.state.counters.add(|c| c.client_disconnects += 1);
                return ConnectionOutcome::Close;
            }
            outcome = exchange::handle(self.state, self.stream, request, &progress) => Some(outcome),
            () = ended_by_shutdown => None,
        };
        let outcome = match finished {
            Some(outcome) => outcome,
            None => self.end_request_at_shutdown(request, &progress).await,
        };
        match outcome {
            ConnectionOutcome::KeepAlive => {}
            ConnectionOutcome::Close => close_gracefully(self.stream).await,
            ConnectionOutcome::Truncated if finished.is_none() => self.signal_truncation(&progress),
            ConnectionOutcome::Truncated => {
                self.state.counters.add(|c| c.truncated_responses += 1);
                self.signal_truncation(&progress);
            }
        }
        outcome
    }

    /// Ends a request that is in flight when the process ends: with a local reply, or by truncating a response that has
    /// begun.
    async fn end_request_at_shutdown(
        &self,
        request: &Request,
        progress: &ResponseProgress,
    ) -> ConnectionOutcome {
        if progress.started() {
            self.record_truncation_at_shutdown(request, progress);
            return ConnectionOutcome::Truncated;
        }
        let code = progress.code_unless_run(ResultCode::Leaving);
        let reply = LocalReply::new(code, request.attempt_id(), Some(OVERLOADED_RETRY_AFTER))
            .for_request(&request.head);
        let close = !progress.has_pipelined_input();
        match (reply.send(self.state, self.stream, close).await, close) {
            (false, _) | (true, true) => ConnectionOutcome::Close,
            (true, false) => ConnectionOutcome::KeepAlive,
        }
    }

    /// Counts and logs a response that is truncated because the process ends.
    fn record_truncation_at_shutdown(&self, request: &Request, progress: &ResponseProgress) {
        self.state.counters.add(|c| c.truncated_at_shutdown += 1);
        let Some(shutdown) = self.state.shutdown.get() else {
            return;
        };
        let now = Instant::now();
        let signalled_at = self.state.at(shutdown.signalled_at);
        let deadline_left = progress
            .deadline()
            .map(|deadline| deadline.saturating_duration_since(now).as_millis());
        log::warn!(
            "response truncated by the shutdown attempt_id={} signalled_ms_ago={} received_ms_ago={} deadline_left_ms={}",
            String::from_utf8_lossy(request.attempt_id().unwrap_or_default()).escape_debug(),
            now.saturating_duration_since(signalled_at).as_millis(),
            now.saturating_duration_since(request.received_at).as_millis(),
            deadline_left.unwrap_or_default(),
        );
    }

    /// Makes a truncated response recognizable to the client: resets the connection if the response would look
    /// complete.
    fn signal_truncation(&self, progress: &ResponseProgress) {
        if progress.would_look_complete() {
            reset_on_close(self.stream);
        }
    }
}

/// Resolves when the client has disconnected. Bytes that the client pipelines are kept in `buf`, with the time at which
/// the latest were received.
async fn wait_for_disconnect(
    stream: &TcpStream,
    buf: &mut BytesMut,
    received_at: &mut Instant,
    progress: &ResponseProgress,
) {
    while buf.len() < MAX_READ_AHEAD_BYTES {
        match socket::read(stream, buf).await {
            Ok(n) if n > 0 => {
                *received_at = Instant::now();
                progress.set_pipelined_input();
            }
            _ => return,
        }
    }
    // The end of the stream can't be detected behind unread input. A later write to the client will fail instead.
    std::future::pending::<()>().await;
}
