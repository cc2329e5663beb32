//! Tells a peer that is gone from one that is busy reading what was sent.

use super::channel::MAX_QUEUED_BYTES;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// A connection on which nothing came for this long is probed.
pub(super) const PROBE_AFTER: Duration = Duration::from_secs(2);
/// A connection on which nothing came for this long is given up.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_millis(3500);
/// Lowest rate, in bytes a second, at which written bytes are expected to reach the peer. Before they have, it can't
/// answer a probe that was written after them.
const MIN_BYTES_PER_SECOND: f64 = (1 << 20) as f64;
/// Most bytes that are on their way at once.
const MAX_BYTES_IN_FLIGHT: usize = 2 * MAX_QUEUED_BYTES;

/// When something last came over a connection, and how much was written since.
pub(super) struct Liveness {
    received_at: Cell<Instant>,
    written_bytes: Cell<usize>,
}

impl Liveness {
    /// Of a connection that has just come up.
    pub(super) fn new() -> Self {
        Self {
            received_at: Cell::new(Instant::now()),
            written_bytes: Cell::new(0),
        }
    }

    /// Bytes came.
    pub(super) fn on_received(&self) {
        self.received_at.set(Instant::now());
        self.written_bytes.set(0);
    }

    /// Bytes were written.
    pub(super) fn on_written(&self, bytes: usize) {
        let written = self.written_bytes.get() + bytes;
        self.written_bytes.set(written.min(MAX_BYTES_IN_FLIGHT));
    }

    /// Time since something came.
    pub(super) fn silence(&self) -> Duration {
        self.received_at.get().elapsed()
    }

    /// Time since something came, less the time that what was written may need.
    pub(super) fn unexplained_silence(&self) -> Duration {
        let transfer_s = self.written_bytes.get() as f64 / MIN_BYTES_PER_SECOND;
        self.silence()
            .saturating_sub(Duration::from_secs_f64(transfer_s))
    }
}
