//! Decides how long the proxy waits for a host's response to start.

use super::host_selection::SelectedHost;
use super::Exchange;
use crate::state::InFlightAttempt;
use crate::upstream::{UpstreamConnection, UpstreamError};
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// Interval at which the attempt's timeout is read again while the host is silent. Meanwhile other requests may have
/// found that the host is down, or that it responds.
const TIMEOUT_RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Why the proxy stopped waiting for a host.
pub(super) enum WaitError {
    /// The connection broke, or did not carry a valid response.
    Broken,
    /// The request's deadline has passed.
    DeadlinePassed,
    /// The host did not respond in time, and another one was selected.
    FailedOver(SelectedHost),
}

/// Waits for a host until the deadline. As long as the request may fail over, it waits only until the attempt times out
/// and another host is available.
pub(super) struct HostWait {
    sent_at: Instant,
    /// Whether the request may still go to another host; false once the response has started.
    may_fail_over: bool,
}

impl HostWait {
    /// Starts waiting for the response to a request that was just sent.
    pub(super) fn new(exchange: &Exchange) -> Self {
        Self {
            sent_at: Instant::now(),
            may_fail_over: exchange.retry.idempotent(),
        }
    }

    /// Records that the response has started; from now on the wait lasts until the deadline.
    pub(super) fn mark_response_started(&mut self) {
        self.may_fail_over = false;
    }

    /// Runs `read` on the connection until it succeeds, fails or the wait ends. `read` has to be cancel-safe, as it may
    /// be dropped and started again.
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
                Ok(Err(error)) => return Err(exchange.on_read_error(&error)),
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

impl Exchange<'_> {
    /// Logs why a host's response, or the rest of it, can't be read.
    pub(super) fn on_read_error(&self, error: &UpstreamError) -> WaitError {
        log::debug!("can't read the host's response: {error}");
        if matches!(error, UpstreamError::ClosedInsideEvent) {
            self.state.counters.add(|c| c.interrupted_events += 1);
        }
        WaitError::Broken
    }
}
