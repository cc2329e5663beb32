//! Asks another host for the rest of a stream whose host is silent, while that one may still go on.
//!
//! The silent host keeps its request until the other host sends a part of the stream. Whichever sends first carries the
//! stream on, so that its client is never worse off than if the proxy had waited.

use super::attempt::{AttemptResult, HostResponse};
use super::host_selection::SelectedHost;
use super::host_wait::WaitError;
use super::Exchange;
use crate::upstream::{ResponseBody, UpstreamConnection, UpstreamError};
use bytes::Bytes;
use std::pin::pin;

/// The response of the host that takes a stream over.
pub(super) struct Takeover {
    pub(super) response: HostResponse,
    pub(super) body: ResponseBody,
    /// First piece of the body; `None` if the body is empty.
    pub(super) first_piece: Option<Bytes>,
}

/// Who carries a stream on.
pub(super) enum RaceOutcome {
    /// Its host, with the next piece or the end (`None`).
    Continued(Option<Bytes>),
    /// Another host.
    TakenOver(Box<Takeover>),
}

/// The attempt at the other host ended: it failed, and what the silent host's connection broke with, if it did.
struct FailedRace {
    result: AttemptResult,
    broken: Option<UpstreamError>,
}

impl Exchange<'_> {
    /// Asks another host for the rest of a stream, and further ones if that one doesn't respond in time. `None` if none of
    /// them can take it over, and the silent host, whose connection this is, still may go on.
    ///
    /// # Errors
    /// If the silent host's connection breaks, and the other hosts can't take the stream over.
    pub(super) async fn race(
        &mut self,
        mut other: SelectedHost,
        connection: &mut UpstreamConnection,
        body: &mut ResponseBody,
    ) -> Result<Option<RaceOutcome>, WaitError> {
        self.retry.record_failover();
        loop {
            self.attempted_hosts.push(other.id.clone());
            let failed = match self.race_one_host(other, connection, body).await {
                Ok(outcome) => return Ok(Some(outcome)),
                Err(failed) => failed,
            };
            match (failed.result, failed.broken) {
                (AttemptResult::FailedOver(next), None) => other = next,
                (AttemptResult::FailedOver(next), Some(_)) => {
                    return Err(WaitError::FailedOver(next));
                }
                (result, broken) => {
                    if let AttemptResult::Failed(outcome) = result {
                        self.retry.on_attempt_ended(self.state.now(), outcome);
                    }
                    return match broken {
                        Some(error) => Err(self.on_read_error(&error)),
                        None => Ok(None),
                    };
                }
            }
        }
    }

    async fn race_one_host(
        &mut self,
        other: SelectedHost,
        connection: &mut UpstreamConnection,
        body: &mut ResponseBody,
    ) -> Result<RaceOutcome, FailedRace> {
        let sent_before = self.retry.sent_attempts();
        let mut broken = None;
        let continued = {
            let mut takeover = pin!(self.take_over(other));
            loop {
                tokio::select! {
                    biased;
                    read = connection.read_body_piece(body), if broken.is_none() => match read {
                        Ok(piece) => break piece,
                        // The other host is the only one left.
                        Err(error) => broken = Some(error),
                    },
                    result = &mut takeover => {
                        return match result {
                            Ok(takeover) => Ok(RaceOutcome::TakenOver(Box::new(takeover))),
                            Err(result) => Err(FailedRace { result, broken }),
                        };
                    }
                }
            }
        };
        // The attempt was cancelled while it may have been written.
        if self.retry.sent_attempts() == sent_before {
            self.record_sent();
        }
        Ok(RaceOutcome::Continued(continued))
    }

    /// Sends the request to the host, and waits until it sends a part of the stream.
    async fn take_over(&mut self, host: SelectedHost) -> Result<Takeover, AttemptResult> {
        let (response, mut wait) = self.request_response(host).await?;
        let mut response = self.require_stream(response)?;
        let mut body = ResponseBody::new(&response.head);
        let attempt = &response.host.attempt;
        let read_piece = async |c: &mut UpstreamConnection| c.read_body_piece(&mut body).await;
        let first_piece = match wait
            .read(self, &mut response.connection, attempt, read_piece)
            .await
        {
            Ok(piece) => piece,
            Err(error) => return Err(self.on_wait_error(error, response.host.attempt)),
        };
        Ok(Takeover {
            response,
            body,
            first_piece,
        })
    }
}
