//! How long a host is waited for before its response has begun.

use super::host_selection::SelectedHost;
use super::Exchange;
use crate::state::InFlightAttempt;
use crate::upstream::{UpstreamConnection, UpstreamError};
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// While a host is silent, the attempt's time-out is asked for again after this: other requests may find meanwhile that
/// the host is down, or alive.
const TIMEOUT_RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Why a host is no longer waited for.
pub(super) enum WaitError {
    /// The connection broke, or carried no valid response.
    Broken,
    /// The request's time is over.
    DeadlinePassed,
    /// The host was silent, and another one was selected.
    FailedOver(SelectedHost),
}

/// Waits for a host until the deadline. While the request may fail over, it waits only until the attempt times out and
/// another host can be had.
pub(super) struct HostWait {
    sent_at: Instant,
    /// Nothing has come of a response yet, and the request may go to another host.
    may_fail_over: bool,
}

impl HostWait {
    /// Starts to wait for the response to a request that was just sent.
    pub(super) fn new(exchange: &Exchange) -> Self {
        Self {
            sent_at: Instant::now(),
            may_fail_over: exchange.retry.idempotent(),
        }
    }

    /// The response has begun: from here on the host is waited for until the deadline.
    pub(super) fn mark_response_started(&mut self) {
        self.may_fail_over = false;
    }

    /// Runs a cancel-safe read on the connection; it may be dropped and started again.
    pub(super) async fn read<T>(
        &mut self,
        exchange: &mut Exchange<'_>,
        connection: &mut UpstreamConnection,
        attempt: &InFlightAttempt,
        mut read: impl AsyncFnMut(&mut UpstreamConnection) -> Result<T, UpstreamError>,
    ) -> Result<T, WaitError> {
        let deadline = exchange.response_deadline();
        loop {
            let now = Instant::now();
            let times_out_at = self.times_out_at(attempt);
            if times_out_at.is_some_and(|at| at <= now) {
                if let Some(next) = self.select_next_host(exchange) {
                    return Err(WaitError::FailedOver(next));
                }
            }
            let wake_at = self.wake_at(now, times_out_at, deadline);
            match timeout_at(wake_at, read(connection)).await {
                Ok(Ok(done)) => return Ok(done),
                Ok(Err(error)) => {
                    log::debug!("host: {error}");
                    return Err(WaitError::Broken);
                }
                Err(_) if Instant::now() >= deadline => return Err(WaitError::DeadlinePassed),
                Err(_) => {}
            }
        }
    }

    fn times_out_at(&self, attempt: &InFlightAttempt) -> Option<Instant> {
        if !self.may_fail_over {
            return None;
        }
        attempt.timeout().map(|timeout| self.sent_at + timeout)
    }

    fn select_next_host(&mut self, exchange: &mut Exchange<'_>) -> Option<SelectedHost> {
        self.may_fail_over = exchange.retry.may_fail_over(exchange.state.now());
        if !self.may_fail_over {
            return None;
        }
        exchange.select_host().ok()
    }

    fn wake_at(&self, now: Instant, times_out_at: Option<Instant>, deadline: Instant) -> Instant {
        let Some(times_out_at) = times_out_at.filter(|_| self.may_fail_over) else {
            return deadline;
        };
        let recheck_at = now + TIMEOUT_RECHECK_INTERVAL;
        if times_out_at > now {
            times_out_at.min(recheck_at).min(deadline)
        } else {
            recheck_at.min(deadline)
        }
    }
}
