//! Serves one client's connection: its requests are read, answered and written in turn.
//!
//! The coordinator in service has a server of its own, in `crates/coordinator/src/net/http`. They are not merged, as
//! they behave differently. Here all limits are the operators' and change with the configuration; the connection that
//! has been idle for longest is closed for a new one; a client may send requests ahead while its response is under way;
//! and at the end of the process a response is made for what is still in flight. There the limits are constants, a
//! first request has two seconds from connecting, connections that are slow to ask are closed for new ones too, and a
//! client that repeats bad requests is read later and later.

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

/// Bytes that are read ahead of a client whose response is under way.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// During a shutdown, an idle connection is closed after this.
const DRAINING_IDLE_TIMEOUT: Duration = Duration::from_millis(200);
/// `Retry-After` where a limit of this process is reached, or the process can't serve yet or no longer.
const OVERLOADED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A client's connection.
pub(super) struct ClientConnection<'a> {
    state: &'a Rc<ProxyState>,
    stream: &'a TcpStream,
    /// Received and not yet read as a request.
    buf: BytesMut,
    /// When the latest bytes in `buf` were received.
    received_at: Instant,
    /// The process has as many connections as it may: this one gets a rejection.
    over_limit: bool,
    phase: watch::Receiver<DrainPhase>,
    evict_signal: Rc<Notify>,
}

/// How waiting for a request ended.
enum IdleOutcome {
    /// Bytes were received.
    Received,
    /// The connection was to be closed, but a request has come meanwhile.
    Raced,
    /// The connection is to be closed.
    Close,
}

impl<'a> ClientConnection<'a> {
    /// A connection that was just accepted.
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

    /// Serves requests until the connection is to be closed.
    pub(super) async fn serve(&mut self) {
        loop {
            if self.buf.is_empty() {
                match self.wait_for_request().await {
                    IdleOutcome::Received => self.received_at = Instant::now(),
                    IdleOutcome::Raced => continue,
                    IdleOutcome::Close => return,
                }
            }
            // Boxed: only connections with a request in flight hold the memory that one needs.
            if Box::pin(self.serve_request()).await != ConnectionOutcome::KeepAlive {
                return;
            }
        }
    }

    async fn wait_for_request(&mut self) -> IdleOutcome {
        // An idle connection holds no buffer.
        self.buf = BytesMut::new();
        let idle_timeout = Duration::from_millis(self.state.client_limits().idle_timeout_ms);
        let phase = &mut self.phase;
        let drained = async {
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
            () = drained => {}
            () = self.evict_signal.notified() => {}
            () = sleep(idle_timeout) => {}
        }
        // Closing now would lose a request that the kernel has already taken.
        if socket::is_open_and_idle(self.stream) {
            IdleOutcome::Close
        } else {
            IdleOutcome::Raced
        }
    }

    /// Reads and answers one request.
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
                return self.reject_unread(code, attempt_id.as_deref()).await;
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

    /// Rejects a request that could not be read.
    async fn reject_unread(
        &self,
        code: ResultCode,
        attempt_id: Option<&[u8]>,
    ) -> ConnectionOutcome {
        // Without a configuration nobody knows the limit on a request's size.
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

    /// Sends a last reply and closes the connection.
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

    /// Forwards a request, unless the client disconnects or the process ends first.
    async fn forward_request(&mut self, request: &Request) -> ConnectionOutcome {
        let progress = ResponseProgress::default();
        if !self.buf.is_empty() {
            progress.set_pipelined_input();
        }
        let phase = &mut self.phase;
        let process_ends = async {
            let _ = phase
                .wait_for(|phase| *phase >= DrainPhase::EndingUnanswered)
                .await;
            if progress.started() {
                let _ = phase
                    .wait_for(|phase| *phase == DrainPhase::ClosingAll)
                    .await;
            }
        };
        let ended = tokio::select! {
            biased;
            // Polled first: nothing more is sent to a host for a client that has disconnected, however late that is seen.
            () = disconnected(self.stream, &mut self.buf, &mut self.received_at, &progress) => {
                self.state.counters.add(|c| c.client_disconnects += 1);
                return ConnectionOutcome::Close;
            }
            outcome = exchange::handle(self.state, self.stream, request, &progress) => Some(outcome),
            () = process_ends => None,
        };
        let outcome = match ended {
            Some(outcome) => outcome,
            None => self.end_unfinished(request, &progress).await,
        };
        match outcome {
            ConnectionOutcome::KeepAlive => {}
            ConnectionOutcome::Close => close_gracefully(self.stream).await,
            ConnectionOutcome::Truncated if ended.is_none() => self.show_truncation(&progress),
            ConnectionOutcome::Truncated => {
                self.state.counters.add(|c| c.truncated_responses += 1);
                self.show_truncation(&progress);
            }
        }
        outcome
    }

    /// Ends a request that is in flight when the process ends.
    async fn end_unfinished(
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

    /// Counts and logs a response that the end of the process truncates.
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

    fn show_truncation(&self, progress: &ResponseProgress) {
        if progress.would_look_complete() {
            reset_on_close(self.stream);
        }
    }
}

/// Resolves when the client has disconnected. Keeps what it sends ahead, and when that was received.
async fn disconnected(
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
    // Behind unread input the end of the stream can't be seen. A write will fail.
    std::future::pending::<()>().await;
}
