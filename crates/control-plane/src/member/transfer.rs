//! How long what is sent may be on its way: large messages take as long as their bytes need.

use protocol::{Change, Command};
use std::time::Duration;

/// The slowest that bytes are expected to reach another member, in bytes a second.
const MIN_TRANSFER_RATE: u32 = 1 << 20;

/// What is waited for any message covers so many bytes.
const SMALL_MESSAGE: usize = 64 << 10;

/// How much longer than a small message one of so many bytes may be on its way before it counts as lost: twice what
/// it should need, as one that is sent again too soon holds up the next.
pub(super) fn extra_time(bytes: usize) -> Duration {
    2 * transfer_time(bytes.saturating_sub(SMALL_MESSAGE))
}

/// The longest that so many bytes are expected to be on their way.
pub(super) fn transfer_time(bytes: usize) -> Duration {
    Duration::from_secs(1).mul_f64(bytes as f64 / f64::from(MIN_TRANSFER_RATE))
}

/// About how many bytes a change has.
pub(super) fn change_bytes(change: &Change) -> usize {
    match change {
        Change::Configure { body, .. } => body.len(),
        Change::Drain { host } => host.len(),
        Change::Forget { hosts } => hosts.iter().map(String::len).sum(),
    }
}

/// About how many bytes a command has.
pub(super) fn command_bytes(command: &Command) -> usize {
    match command {
        Command::Configure { body, .. } => body.len(),
        _ => 0,
    }
}
