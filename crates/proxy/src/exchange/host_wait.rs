//! How long a host is waited for.

use super::{Exchange, Picked, DEADLINE_SLACK};
use crate::state::OpenAttempt;
use crate::upstream::connection::{UpstreamConnection, UpstreamError};
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// While a host is silent the policy's patience is asked for again after this.
const PATIENCE_RECHECK: Duration = Duration::from_millis(250);

/// Why waiting for a host has ended.
pub(super) enum Stop {
    /// The host broke off, or sent what is no answer.
    UpstreamError,
    /// The time is over.
    Late,
    /// It was silent, and another one was chosen.
    Moved(Picked),
}

/// Waits for a host: up to the deadline, and where the policy says so until another one is worth asking.
pub(super) struct HostWait {
    sent: Instant,
    /// Nothing has come yet, and the request may move.
    waits: bool,
}

impl HostWait {
    pub(super) fn new(exchange: &Exchange) -> Self {
        Self {
            sent: Instant::now(),
            waits: exchange.trial.idempotent(),
        }
    }

    /// Something has come.
    pub(super) fn patience_over(&mut self) {
        self.waits = false;
    }

    pub(super) async fn guard<T>(
        &mut self,
        exchange: &mut Exchange<'_>,
        connection: &mut UpstreamConnection,
        out: &OpenAttempt,
        mut step: impl AsyncFnMut(&mut UpstreamConnection) -> Result<T, UpstreamError>,
    ) -> Result<T, Stop> {
        let end = exchange.end() + DEADLINE_SLACK;
        loop {
            let now = Instant::now();
            let over = if self.waits {
                out.patience().map(|p| self.sent + p)
            } else {
                None
            };
            if over.is_some_and(|over| over <= now) {
                self.waits = exchange.trial.may_fail_over(exchange.state.now());
                if let Some(next) = self.waits.then(|| exchange.pick().ok()).flatten() {
                    return Err(Stop::Moved(next));
                }
            }
            // Asked again from time to time: others may find the host dark meanwhile, or alive.
            let look = now + PATIENCE_RECHECK;
            let until = match over {
                Some(over) if self.waits && over > now => over.min(look).min(end),
                Some(_) if self.waits => look.min(end),
                _ => end,
            };
            match timeout_at(until, step(connection)).await {
                Ok(Ok(done)) => return Ok(done),
                Ok(Err(lost)) => {
                    log::debug!("host: {lost}");
                    return Err(Stop::UpstreamError);
                }
                Err(_) if Instant::now() >= end => return Err(Stop::Late),
                Err(_) => {}
            }
        }
    }
}
