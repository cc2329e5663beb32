//! Relays a response that is read completely before it is forwarded, or one that is too large for that.

use super::admission::is_last_response;
use super::attempt::{AttemptResult, HostResponse};
use super::client_writer::ClientWriter;
use super::host_wait::{HostWait, WaitError};
use super::{Exchange, HostError, MAX_BUFFERED_BYTES};
use crate::response_progress::ConnectionOutcome;
use crate::retry::AttemptOutcome;
use crate::state::BodyReservation;
use crate::upstream::{self, BodyRead, ResponseBody, UpstreamConnection};
use balancing::Outcome;
use bytes::{Bytes, BytesMut};
use configuration::ResultCode;
use http1::{Framing, ResponseHead};
use tokio::time::timeout_at;

/// The same limit for a response that the end of the process might truncate during a shutdown.
const MAX_BUFFERED_BYTES_IN_SHUTDOWN: usize = 4 * 1024 * 1024;

impl Exchange<'_> {
    /// Reads a response completely and forwards it. A response that is too large is relayed while it arrives.
    pub(super) async fn relay_buffered(
        &mut self,
        mut response: HostResponse,
        mut wait: HostWait,
    ) -> AttemptResult {
        // Errors that return quickly must not make a host look healthy.
        if response.head.status < 400 {
            response.host.attempt.record_response_start();
        }
        wait.mark_response_started();
        let mut decoder = ResponseBody::new(&response.head);
        let mut body = BytesMut::new();
        let mut read = self
            .read_body_up_to(
                MAX_BUFFERED_BYTES,
                &mut response,
                &mut wait,
                &mut decoder,
                &mut body,
            )
            .await;
        let mut reservation = None;
        if matches!(read, Ok(BodyRead::OverLimit)) {
            reservation = self.reserve_for_shutdown();
        }
        if reservation.is_some() {
            let limit = MAX_BUFFERED_BYTES_IN_SHUTDOWN;
            read = self
                .read_body_up_to(limit, &mut response, &mut wait, &mut decoder, &mut body)
                .await;
        }
        match read {
            Ok(BodyRead::Complete) => {
                self.on_complete_body(response, &decoder, body.freeze())
                    .await
            }
            // Once started, the response might be truncated. An error can still be sent in its place.
            Ok(BodyRead::OverLimit) if self.may_be_truncated_by_shutdown() => {
                let code = self.progress.code_unless_run(ResultCode::Leaving);
                AttemptResult::Rejected(code)
            }
            Ok(BodyRead::OverLimit) => {
                response.host.attempt.record_load(response.load);
                self.relay_large(response, decoder, body).await
            }
            Err(error) => self.on_wait_error(error, response.host.attempt),
        }
    }

    /// Reads a body until it is complete or larger than `limit` bytes. A further call with a higher limit continues.
    async fn read_body_up_to(
        &mut self,
        limit: usize,
        response: &mut HostResponse,
        wait: &mut HostWait,
        decoder: &mut ResponseBody,
        body: &mut BytesMut,
    ) -> Result<BodyRead, WaitError> {
        let read_body = async |c: &mut UpstreamConnection| c.read_body(decoder, body, limit).await;
        let attempt = &response.host.attempt;
        wait.read(self, &mut response.connection, attempt, read_body)
            .await
    }

    /// Reserves memory to buffer a large response that the end of the process might truncate: until it is complete, a
    /// rejection can still be sent in its place. `None` if the process will not end before the deadline, or if there is
    /// no memory left.
    fn reserve_for_shutdown(&self) -> Option<BodyReservation> {
        if !self.may_be_truncated_by_shutdown() {
            return None;
        }
        let memory = &self.state.body_memory;
        memory.try_reserve(MAX_BUFFERED_BYTES_IN_SHUTDOWN)
    }

    async fn on_complete_body(
        &mut self,
        response: HostResponse,
        decoder: &ResponseBody,
        body: Bytes,
    ) -> AttemptResult {
        let HostResponse {
            host,
            connection,
            head,
            after_stray_responses,
            load,
        } = response;
        if after_stray_responses {
            drop(connection);
        } else {
            upstream::release(self.state, &host.id, connection, &head);
        }
        if let Err(error) = self.confirm_end(decoder, &host).await {
            return self.on_wait_error(error, host.attempt);
        }
        host.attempt.finish(outcome_of_status(head.status), load);
        if head.status < 500 {
            return AttemptResult::Answered(self.write_complete_response(&head, &body).await);
        }
        self.host_error = Some(HostError { head, body });
        AttemptResult::Failed(AttemptOutcome::HostFailed)
    }

    /// Writes a complete response to the client.
    pub(super) async fn write_complete_response(
        &self,
        head: &ResponseHead,
        body: &Bytes,
    ) -> ConnectionOutcome {
        let close = is_last_response(self.state, self.request, self.progress);
        let framing = if self.has_no_body(head) {
            None
        } else {
            Some(Framing::Length(body.len() as u64))
        };
        let head = self.response_head(head, framing, close);
        self.progress.start();
        if !self.write_to_client(&head, body).await {
            return ConnectionOutcome::Truncated;
        }
        self.response_complete(close)
    }

    /// Relays a response that is too large to be buffered: the bytes already read, `start`, and then the rest.
    async fn relay_large(
        &mut self,
        mut response: HostResponse,
        mut decoder: ResponseBody,
        start: BytesMut,
    ) -> AttemptResult {
        let mut writer = ClientWriter::new(self, &response.head);
        let mut sent = writer.write_piece(self, &response.head, &start).await;
        while sent {
            let piece = response.connection.read_body_piece(&mut decoder);
            let data = match timeout_at(self.response_deadline(), piece).await {
                Ok(Ok(Some(data))) if !self.is_past_max_overrun() => data,
                Ok(Ok(None)) => return self.finish_large(response, &decoder, writer).await,
                Ok(Err(error)) => {
                    let error = self.on_read_error(&error);
                    self.on_wait_error(error, response.host.attempt);
                    return AttemptResult::Answered(ConnectionOutcome::Truncated);
                }
                Ok(Ok(Some(_))) | Err(_) => {
                    response.host.attempt.finish(Outcome::TimedOut, None);
                    return AttemptResult::Answered(ConnectionOutcome::Truncated);
                }
            };
            response.host.attempt.record_progress();
            sent = writer.write_piece(self, &response.head, &data).await;
        }
        AttemptResult::Answered(ConnectionOutcome::Truncated)
    }

    async fn finish_large(
        &self,
        response: HostResponse,
        decoder: &ResponseBody,
        mut writer: ClientWriter,
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
        if let Err(error) = self.confirm_end(decoder, &host).await {
            self.on_wait_error(error, host.attempt);
            return AttemptResult::Answered(ConnectionOutcome::Truncated);
        }
        host.attempt.finish(outcome_of_status(head.status), None);
        AttemptResult::Answered(writer.finish(self, &head).await)
    }
}

/// The outcome that a complete response with this status means for its host.
fn outcome_of_status(status: u16) -> Outcome {
    if status < 400 {
        Outcome::Succeeded
    } else {
        Outcome::Failed
    }
}
