//! Distinguishes a lost peer from one that is still reading a large amount of sent data.

use super::channel::MAX_QUEUED_BYTES;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Time without received bytes after which the peer is probed.
pub(super) const PROBE_AFTER: Duration = Duration::from_secs(2);
/// Time without received bytes after which the connection is closed.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_millis(3500);
/// Lowest expected transfer rate to a peer, in bytes per second. The peer can't answer a probe before it has read the
/// bytes that were written ahead of it.
const MIN_BYTES_PER_SECOND: f64 = (1 << 20) as f64;
/// Upper bound on the bytes that are assumed to be in flight.
const MAX_BYTES_IN_FLIGHT: usize = 2 * MAX_QUEUED_BYTES;

/// The time when bytes were last received on a connection, and the number of bytes written since then.
pub(super) struct Liveness {
    received_at: Cell<Instant>,
    written_bytes: Cell<usize>,
}

impl Liveness {
    /// Creates the state of a connection that has just been established.
    pub(super) fn new() -> Self {
        Self {
            received_at: Cell::new(Instant::now()),
            written_bytes: Cell::new(0),
        }
    }

    /// Records that bytes were received.
    pub(super) fn on_received(&self) {
        self.received_at.set(Instant::now());
        self.written_bytes.set(0);
    }

    /// Records that `bytes` bytes were written.
    pub(super) fn on_written(&self, bytes: usize) {
        let written = self.written_bytes.get() + bytes;
        self.written_bytes.set(written.min(MAX_BYTES_IN_FLIGHT));
    }

    /// Returns the time since bytes were last received.
    pub(super) fn silence(&self) -> Duration {
        self.received_at.get().elapsed()
    }

    /// Returns the time since bytes were last received, less the time that the bytes in flight may need.
    pub(super) fn unexplained_silence(&self) -> Duration {
        let transfer_s = self.written_bytes.get() as f64 / MIN_BYTES_PER_SECOND;
        self.silence()
            .saturating_sub(Duration::from_secs_f64(transfer_s))
    }
}
