//! One attempt: sends the request to a host, classifies the response and relays it.

use super::balancing_headers::host_load;
use super::host_selection::SelectedHost;
use super::host_wait::{HostWait, WaitError};
use super::Exchange;
use crate::headers::{is_event_stream, EXPECT_VERSION, HOST_SEAL};
use crate::response_matching::is_refusal;
use crate::response_progress::ConnectionOutcome;
use crate::retry::AttemptOutcome;
use crate::state::InFlightAttempt;
use crate::upstream::UpstreamConnection;
use balancing::{HostLoad, Outcome};
use configuration::{ResultCode, RouteKind};
use http1::ResponseHead;

/// The result of one attempt.
pub(super) enum AttemptResult {
    /// The client was sent a response, complete or truncated.
    Answered(ConnectionOutcome),
    /// The attempt ended without a response to forward.
    Failed(AttemptOutcome),
    /// The response can't be forwarded, and a response from another host couldn't be either.
    Rejected(ResultCode),
    /// The host did not respond in time, and another one was selected.
    FailedOver(SelectedHost),
}

/// A response whose head has been read, with the connection that its body arrives on.
pub(super) struct HostResponse {
    pub(super) host: SelectedHost,
    pub(super) connection: UpstreamConnection,
    pub(super) head: ResponseHead,
    /// Whether responses to other requests arrived before it. The connection is then not reused.
    pub(super) after_stray_responses: bool,
    pub(super) load: Option<HostLoad>,
}

/// How a response is handled, decided by its head.
enum ResponseKind {
    /// The host states that it did not run the request.
    Refusal,
    /// Not a response that a host of this system can send.
    Invalid,
    /// Relayed while it arrives.
    Stream,
    /// Read completely before it is relayed, unless it is too large.
    Buffered,
}

impl Exchange<'_> {
    /// Makes one attempt at the selected host.
    pub(super) async fn attempt(&mut self, host: SelectedHost) -> AttemptResult {
        match self.request_response(host).await {
            Ok((response, wait)) => self.relay_response(response, wait).await,
            Err(result) => result,
        }
    }

    /// Sends the request to the selected host and waits for the head of its response. Fails with the result of the
    /// attempt if there is no response to relay.
    pub(super) async fn request_response(
        &mut self,
        host: SelectedHost,
    ) -> Result<(HostResponse, HostWait), AttemptResult> {
        let mut connection = match self.send_request(&host).await {
            Ok(connection) => connection,
            Err(error) => {
                host.attempt.finish(error.host_outcome(), None);
                return Err(AttemptResult::Failed(error.attempt_outcome()));
            }
        };
        let mut wait = HostWait::new(self);
        let matched = self
            .await_response(&mut connection, &host.attempt, &mut wait)
            .await;
        let matched = match matched {
            Ok(matched) => matched,
            Err(error) => return Err(self.on_wait_error(error, host.attempt)),
        };
        let response = HostResponse {
            host,
            connection,
            load: host_load(&matched.head.fields),
            head: matched.head,
            after_stray_responses: matched.after_stray_responses,
        };
        Ok((response, wait))
    }

    async fn relay_response(&mut self, response: HostResponse, wait: HostWait) -> AttemptResult {
        match self.classify_response(&response.head) {
            ResponseKind::Stream => self.relay_stream(response, wait).await,
            ResponseKind::Buffered if !self.progress.started() => {
                self.relay_buffered(response, wait).await
            }
            kind => self.on_unusable_response(kind, response),
        }
    }

    /// Keeps a response if it continues a stream that the client has the start of. Fails with the result of the attempt
    /// otherwise.
    pub(super) fn require_stream(
        &self,
        response: HostResponse,
    ) -> Result<HostResponse, AttemptResult> {
        match self.classify_response(&response.head) {
            ResponseKind::Stream => Ok(response),
            kind => Err(self.on_unusable_response(kind, response)),
        }
    }

    /// Ends an attempt whose response is not forwarded.
    fn on_unusable_response(&self, kind: ResponseKind, response: HostResponse) -> AttemptResult {
        let (host_outcome, outcome) = match kind {
            ResponseKind::Refusal => return self.on_refusal(response),
            ResponseKind::Invalid => (Outcome::ConnectionLost, AttemptOutcome::Broken),
            // The client already has the start of a stream, which no other kind of response can continue.
            ResponseKind::Stream | ResponseKind::Buffered => {
                (Outcome::Failed, AttemptOutcome::HostFailed)
            }
        };
        if host_outcome == Outcome::ConnectionLost {
            self.state.counters.add(|c| c.broken_responses += 1);
        }
        let attempt = response.host.attempt;
        attempt.finish(host_outcome, response.load);
        AttemptResult::Failed(outcome)
    }

    fn classify_response(&self, head: &ResponseHead) -> ResponseKind {
        if is_refusal(head) {
            return ResponseKind::Refusal;
        }
        let success = (200..300).contains(&head.status);
        let unsealed = success && head.fields.get(HOST_SEAL).is_none();
        // These statuses promise that the request did not run. Without the field that confirms it, they can't be
        // forwarded.
        let has_unmarked_refusal_status = matches!(head.status, 408 | 429 | 503);
        let encoded = head.fields.get("content-encoding").is_some();
        if encoded || unsealed || has_unmarked_refusal_status {
            return ResponseKind::Invalid;
        }
        // During a shutdown, requests on non-streaming routes are admitted without regard to how long a stream may
        // last. An event stream on such a route is therefore buffered until it is complete.
        let streaming = self.route.kind == RouteKind::Streaming
            || (is_event_stream(&head.fields) && !self.may_be_truncated_by_shutdown());
        if success && streaming && !self.has_no_body(head) {
            ResponseKind::Stream
        } else {
            ResponseKind::Buffered
        }
    }

    fn on_refusal(&self, response: HostResponse) -> AttemptResult {
        // A 421 may also mean that the host does not have the version that the client expects. It then says nothing
        // about the host's identity.
        let expects_version = self.request.head.fields.get(EXPECT_VERSION).is_some();
        let outcome = match response.head.status {
            421 if !expects_version => Outcome::Misdirected,
            429 | 503 => Outcome::Overloaded,
            _ => Outcome::Refused,
        };
        let HostResponse { host, load, .. } = response;
        if outcome == Outcome::Misdirected {
            self.state.pool.borrow_mut().close_idle(&host.id);
        } else {
            self.drain_refusal(
                response.connection,
                host.id,
                response.head,
                response.after_stray_responses,
            );
        }
        host.attempt.finish(outcome, load);
        AttemptResult::Failed(AttemptOutcome::NotExecuted)
    }

    /// Ends an attempt whose response is no longer awaited.
    pub(super) fn on_wait_error(
        &self,
        error: WaitError,
        attempt: InFlightAttempt,
    ) -> AttemptResult {
        match error {
            WaitError::Broken => {
                self.state.counters.add(|c| c.broken_responses += 1);
                attempt.finish(Outcome::ConnectionLost, None);
                AttemptResult::Failed(AttemptOutcome::Broken)
            }
            WaitError::DeadlinePassed => {
                attempt.finish(Outcome::TimedOut, None);
                AttemptResult::Failed(AttemptOutcome::Broken)
            }
            // The caller drops the old connection before the request is sent to the next host.
            WaitError::FailedOver(next) => {
                attempt.finish(Outcome::TimedOut, None);
                AttemptResult::FailedOver(next)
            }
        }
    }
}
