//! Fourth step: waits for the head of the response that belongs to the attempt, skipping responses to other requests.

use super::host_wait::{HostWait, WaitError};
use super::{Exchange, MAX_BUFFERED_BYTES};
use crate::response_matching::ResponseMatcher;
use crate::state::InFlightAttempt;
use crate::upstream::{self, BodyRead, ResponseBody, UpstreamConnection};
use bytes::BytesMut;
use http1::ResponseHead;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Largest refusal body, in bytes, that is read so that its connection can be reused.
const MAX_REFUSAL_BODY_BYTES: usize = 64 * 1024;
/// Longest time for reading the body of a refusal.
const REFUSAL_READ_TIMEOUT: Duration = Duration::from_millis(50);
/// Number of responses to other requests that are skipped before the connection is given up.
const MAX_STRAY_RESPONSES: u32 = 4;

/// The head of the response to an attempt.
pub(super) struct MatchedResponse {
    pub(super) head: ResponseHead,
    /// Whether responses to other requests arrived before it.
    pub(super) after_stray_responses: bool,
}

impl Exchange<'_> {
    /// Waits for the head of the response to an attempt.
    pub(super) async fn await_response(
        &mut self,
        connection: &mut UpstreamConnection,
        attempt: &InFlightAttempt,
        wait: &mut HostWait,
    ) -> Result<MatchedResponse, WaitError> {
        let to_head_request = self.request.is_head();
        let matcher = ResponseMatcher::new(self.request.attempt_id().unwrap_or_default());
        for stray_count in 0..=MAX_STRAY_RESPONSES {
            let read_head = async |c: &mut UpstreamConnection| c.read_head(to_head_request).await;
            let head = wait.read(self, connection, attempt, read_head).await?;
            let first_on_connection = stray_count == 0 && !connection.reused();
            if matcher.matches(&head, first_on_connection) {
                return Ok(MatchedResponse {
                    head,
                    after_stray_responses: stray_count > 0,
                });
            }
            self.state.counters.add(|c| c.stray_responses += 1);
            let mut body = ResponseBody::new(&head);
            let mut skipped = BytesMut::new();
            let skip_body = async |c: &mut UpstreamConnection| {
                c.read_body(&mut body, &mut skipped, MAX_BUFFERED_BYTES)
                    .await
            };
            match wait.read(self, connection, attempt, skip_body).await? {
                BodyRead::Complete => {}
                BodyRead::OverLimit => break,
            }
        }
        Err(WaitError::Broken)
    }

    /// Reads the rest of a refusal in the background, so that the connection can be reused without delaying the
    /// request.
    pub(super) fn drain_refusal(
        &self,
        mut connection: UpstreamConnection,
        host: Arc<str>,
        head: ResponseHead,
        after_stray_responses: bool,
    ) {
        // What is left of a refused request is not written to its host.
        let is_reusable = head.is_keep_alive() && !connection.has_unfinished_request();
        if after_stray_responses || !is_reusable {
            return;
        }
        let state = self.state.clone();
        tokio::task::spawn_local(async move {
            let mut body = ResponseBody::new(&head);
            let mut skipped = BytesMut::new();
            let read = connection.read_body(&mut body, &mut skipped, MAX_REFUSAL_BODY_BYTES);
            if let Ok(Ok(BodyRead::Complete)) = timeout(REFUSAL_READ_TIMEOUT, read).await {
                upstream::release(&state, &host, connection, &head);
            }
        });
    }
}
