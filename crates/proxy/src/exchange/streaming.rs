//! Relays a stream while it arrives, and resumes it at another host if the route allows that.

use super::attempt::{AttemptResult, HostResponse};
use super::client_writer::ClientWriter;
use super::host_selection::SelectedHost;
use super::host_wait::{HostWait, WaitError};
use super::takeover::{RaceOutcome, Takeover};
use super::Exchange;
use crate::deadline::duration_from_ms;
use crate::event_stream::EventSplitter;
use crate::response_progress::ConnectionOutcome;
use crate::upstream::{self, ResponseBody, UpstreamConnection};
use balancing::Outcome;
use bytes::{Bytes, BytesMut};
use configuration::Route;
use http1::ResponseHead;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// Largest event, in bytes, of a resumable stream.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// A resumable stream counts as stalled after the longest of this time and the two multiples below: of the route's
/// latency target and of its target for the gap between events. That is half of the silence that its client tolerates.
const MIN_STALL_TIMEOUT_MS: f64 = 1000.0;
const STALL_LATENCY_TARGET_MULTIPLE: f64 = 2.0;
const STALL_GAP_TARGET_MULTIPLE: f64 = 4.0;

/// Time without data after which a resumable stream counts as stalled.
fn stall_timeout(route: &Route) -> Duration {
    let ms = (STALL_LATENCY_TARGET_MULTIPLE * route.target_ms.unwrap_or(0.0))
        .max(STALL_GAP_TARGET_MULTIPLE * route.gap_aim_ms.unwrap_or(0.0))
        .max(MIN_STALL_TIMEOUT_MS);
    duration_from_ms(ms)
}

/// What follows in a stream.
enum StreamStep {
    /// Data to forward; empty while no event is complete.
    Data(Bytes),
    /// The end of the stream.
    End,
    /// Another host has taken the stream over from its silent host.
    TakenOver(Box<Takeover>),
}

/// State of relaying a stream from one host.
struct StreamRelay {
    body: ResponseBody,
    writer: ClientWriter,
    splitter: EventSplitter,
    /// Whether this host has sent data.
    has_data: bool,
}

impl StreamRelay {
    /// Writes a piece of the body, if there is one. Returns false if the client does not accept it in time.
    async fn write_unless_empty(
        &mut self,
        exchange: &Exchange<'_>,
        head: &ResponseHead,
        data: &[u8],
    ) -> bool {
        data.is_empty() || self.writer.write_piece(exchange, head, data).await
    }
}

impl Exchange<'_> {
    /// Relays a stream: as it arrives, or in complete events if it may be resumed at another host.
    pub(super) async fn relay_stream(
        &mut self,
        mut response: HostResponse,
        mut wait: HostWait,
    ) -> AttemptResult {
        let mut relay = self.start_relay(&response, ResponseBody::new(&response.head));
        let mut taken_over_piece = None;
        loop {
            let step = match taken_over_piece.take() {
                Some(piece) => self.on_piece(&mut relay, piece),
                None => self.next_step(&mut response, &mut wait, &mut relay).await,
            };
            let data = match step {
                Ok(StreamStep::Data(data)) if data.is_empty() => continue,
                Ok(StreamStep::Data(data)) => data,
                Ok(StreamStep::End) => return self.finish_stream(response, relay).await,
                Ok(StreamStep::TakenOver(takeover)) => {
                    let silent = std::mem::replace(&mut response, takeover.response);
                    silent.host.attempt.finish(Outcome::TimedOut, None);
                    self.state.counters.add(|c| c.failovers += 1);
                    relay = self.start_relay(&response, takeover.body);
                    relay.has_data = true;
                    response.host.attempt.record_response_start();
                    taken_over_piece = Some(takeover.first_piece);
                    continue;
                }
                Err(error) => return self.on_broken_stream(error, response.host),
            };
            let attempt = &response.host.attempt;
            if std::mem::replace(&mut relay.has_data, true) {
                attempt.record_progress();
            } else {
                attempt.record_response_start();
            }
            if !relay.writer.write_piece(self, &response.head, &data).await {
                return AttemptResult::Answered(ConnectionOutcome::Truncated);
            }
        }
    }

    /// Prepares to relay a stream whose head has been read, from its start or to a client that has the start.
    fn start_relay(&self, response: &HostResponse, body: ResponseBody) -> StreamRelay {
        response.host.attempt.record_load(response.load);
        if self.progress.started() {
            self.state.counters.add(|c| c.resumed_streams += 1);
        }
        StreamRelay {
            body,
            writer: ClientWriter::new(self, &response.head),
            splitter: EventSplitter::new(MAX_EVENT_BYTES),
            has_data: false,
        }
    }

    /// Reads what follows in the stream.
    async fn next_step(
        &mut self,
        response: &mut HostResponse,
        wait: &mut HostWait,
        relay: &mut StreamRelay,
    ) -> Result<StreamStep, WaitError> {
        let body = &mut relay.body;
        let connection = &mut response.connection;
        if relay.has_data {
            return match self.read_next_piece(connection, body).await? {
                RaceOutcome::TakenOver(takeover) => Ok(StreamStep::TakenOver(takeover)),
                RaceOutcome::Continued(piece) => self.on_piece(relay, piece),
            };
        }
        let read_piece = async |c: &mut UpstreamConnection| c.read_body_piece(body).await;
        let attempt = &response.host.attempt;
        let piece = wait.read(self, connection, attempt, read_piece).await?;
        self.on_piece(relay, piece)
    }

    /// Takes the next piece of the body, or its end (`None`).
    fn on_piece(
        &mut self,
        relay: &mut StreamRelay,
        piece: Option<Bytes>,
    ) -> Result<StreamStep, WaitError> {
        match piece {
            None => Ok(StreamStep::End),
            Some(data) if self.route.resumable => {
                relay.splitter.push(&data).map_err(|_| WaitError::Broken)?;
                Ok(StreamStep::Data(self.take_new_events(&mut relay.splitter)))
            }
            Some(data) => Ok(StreamStep::Data(data)),
        }
    }

    /// Finishes a stream whose end has been read, unless its host turns out to have crashed.
    async fn finish_stream(
        &mut self,
        response: HostResponse,
        mut relay: StreamRelay,
    ) -> AttemptResult {
        let HostResponse {
            host,
            connection,
            head,
            after_stray_responses,
            ..
        } = response;
        if after_stray_responses {
            drop(connection);
        } else {
            upstream::release(self.state, &host.id, connection, &head);
        }
        relay.splitter.end();
        let last_events = self.take_new_events(&mut relay.splitter);
        if !relay.write_unless_empty(self, &head, &last_events).await {
            return AttemptResult::Answered(ConnectionOutcome::Truncated);
        }
        if let Err(error) = self.confirm_end(&relay.body, &host).await {
            return self.on_broken_stream(error, host);
        }
        host.attempt.finish(Outcome::Succeeded, None);
        let rest = relay.splitter.take_incomplete();
        if !relay.write_unless_empty(self, &head, &rest).await {
            return AttemptResult::Answered(ConnectionOutcome::Truncated);
        }
        AttemptResult::Answered(relay.writer.finish(self, &head).await)
    }

    /// Ends an attempt whose stream has broken. If the client has received nothing yet, or the stream can be resumed,
    /// it continues at another host; otherwise it is truncated.
    fn on_broken_stream(&self, error: WaitError, host: SelectedHost) -> AttemptResult {
        let truncated = self.progress.started() && !self.may_resume();
        let result = self.on_wait_error(error, host.attempt);
        if truncated {
            return AttemptResult::Answered(ConnectionOutcome::Truncated);
        }
        result
    }

    /// Reads the next piece of a stream after its first one. If a resumable stream stalls, another host is asked for the
    /// rest, unless this host is active on other connections: then the stream is expected to continue here.
    async fn read_next_piece(
        &mut self,
        connection: &mut UpstreamConnection,
        body: &mut ResponseBody,
    ) -> Result<RaceOutcome, WaitError> {
        if self.is_past_max_overrun() {
            return Err(WaitError::DeadlinePassed);
        }
        let deadline = self.response_deadline();
        let mut may_fail_over = self.may_resume();
        loop {
            let waiting_since = Instant::now();
            let wake_at = if may_fail_over {
                deadline.min(waiting_since + stall_timeout(self.route))
            } else {
                deadline
            };
            match timeout_at(wake_at, connection.read_body_piece(body)).await {
                Ok(Ok(piece)) => return Ok(RaceOutcome::Continued(piece)),
                Ok(Err(error)) => return Err(self.on_read_error(&error)),
                Err(_) if wake_at >= deadline => return Err(WaitError::DeadlinePassed),
                Err(_) if connection.host_active_since(waiting_since) => {}
                Err(_) => {
                    may_fail_over = self.retry.may_fail_over(self.state.now());
                    if let Some(other) = self.select_other_host(may_fail_over) {
                        let outcome = self.race(other, connection, body).await?;
                        if let Some(outcome) = outcome {
                            return Ok(outcome);
                        }
                    }
                }
            }
        }
    }

    fn select_other_host(&mut self, may_fail_over: bool) -> Option<SelectedHost> {
        if !may_fail_over {
            return None;
        }
        self.select_host().ok()
    }

    /// Takes the complete events that have arrived and that the client does not have yet.
    fn take_new_events(&mut self, splitter: &mut EventSplitter) -> Bytes {
        let mut first = Bytes::new();
        let mut combined = BytesMut::new();
        while let Some(event) = splitter.next_event() {
            if !self.offset.advance(&event) {
                continue;
            }
            // A single event, the usual case, is not copied.
            if first.is_empty() {
                first = event.bytes;
                continue;
            }
            if combined.is_empty() {
                combined.extend_from_slice(&first);
            }
            combined.extend_from_slice(&event.bytes);
        }
        if combined.is_empty() {
            first
        } else {
            combined.freeze()
        }
    }
}
