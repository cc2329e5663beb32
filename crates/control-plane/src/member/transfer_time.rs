//! Bounds on the flight time of messages, which grows with their size.

use protocol::{Change, Command};
use std::time::Duration;

/// The lowest expected transfer rate to another member, in bytes per second.
const MIN_TRANSFER_RATE: u32 = 1 << 20;

/// Messages up to this size, in bytes, need no time beyond the usual time-outs.
const SMALL_MESSAGE_BYTES: usize = 64 << 10;

/// How much longer than a small message one of `bytes` bytes may be in flight before it counts as lost. This is twice
/// the expected time, because a premature retransmission delays the next message.
pub(super) fn extra_flight_time(bytes: usize) -> Duration {
    2 * transfer_time(bytes.saturating_sub(SMALL_MESSAGE_BYTES))
}

/// The longest expected flight time of `bytes` bytes.
pub(super) fn transfer_time(bytes: usize) -> Duration {
    Duration::from_secs(1).mul_f64(bytes as f64 / f64::from(MIN_TRANSFER_RATE))
}

/// The approximate size of a change in bytes.
pub(super) fn change_bytes(change: &Change) -> usize {
    match change {
        Change::Configure { body, .. } => body.len(),
        Change::Drain { host } => host.len(),
        Change::Forget { hosts } => hosts.iter().map(String::len).sum(),
        // Small, because the sizes of values are bounded.
        Change::Coordinate { .. } => 0,
    }
}

/// The approximate size of a command in bytes.
pub(super) fn command_bytes(command: &Command) -> usize {
    match command {
        Command::Configure { body, .. } => body.len(),
        _ => 0,
    }
}
