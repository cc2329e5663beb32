//! Shared by the tests with real processes: clusters, callers of the control API, faulty hosts, a relay for partitions,
//! and runs of the operators' commands.
#![allow(dead_code, reason = "each test binary uses a part of it")]

pub mod callers;
pub mod cluster;
pub mod command;
pub mod faulty_hosts;
pub mod heartbeat;
pub mod relay;

use std::time::{Duration, Instant};

/// What doesn't happen within this time doesn't happen.
pub const TIMEOUT: Duration = Duration::from_secs(20);
/// Longest wait for one member's answer.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Waits until a condition holds, and returns what it brings.
pub fn wait_until<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(Instant::now() < deadline, "not in time: {what}");
        std::thread::yield_now();
    }
}
