//! Settings and simulated clusters that the tests of members share. All clusters run on simulated time.
//!
//! The clusters differ in what they control: [`event_cluster`] stops at each step of a membership change,
//! [`request_cluster`] withholds writes and repeats messages, [`partition_cluster`] partitions members in one or both
//! directions and gives them clocks that drift.
#![allow(dead_code, reason = "each test file uses some of the helpers")]

pub mod event_cluster;
pub mod partition_cluster;
pub mod recovered;
pub mod request_cluster;

use configuration::FaultBudget;
use control_plane::member::MemberConfig;
use protocol::MemberInfo;
use std::time::Duration;

pub const LEASE: Duration = ms(1000);
const REQUEST_TIMEOUT: Duration = ms(3500);
const DISK_STALL_TIMEOUT: Duration = ms(600);

pub const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A budget of machines, zones and regions that may be lost at the same time.
pub const fn budget(machine_losses: u32, zones: u32, region_losses: u32) -> FaultBudget {
    FaultBudget {
        machine_losses,
        zones,
        region_losses,
    }
}

/// A member's settings, with the timeouts that deployments use by default.
pub fn member_config(
    local_member: MemberInfo,
    bootstrap_voters: Option<Vec<MemberInfo>>,
    fault_budget: FaultBudget,
) -> MemberConfig {
    MemberConfig {
        local_member,
        bootstrap_voters,
        fault_budget,
        lease_duration: LEASE,
        request_timeout: REQUEST_TIMEOUT,
        disk_stall_timeout: DISK_STALL_TIMEOUT,
        watch_history: Duration::from_secs(20),
    }
}
