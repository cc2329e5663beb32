//! Faults, and the audit.

use super::traffic::one;
use serde::{Deserialize, Serialize};

/// What the auditor allows.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct AuditTable {
    /// Slack on every limit of time, in milliseconds.
    pub slack_ms: u64,
    /// The generator's own lag at the 99th percentile beyond which a run is void, in milliseconds.
    pub void_lag_ms: f64,
}

impl Default for AuditTable {
    fn default() -> Self {
        Self {
            slack_ms: 50,
            void_lag_ms: 10.0,
        }
    }
}

/// What can go wrong.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A host's process dies and comes back cold.
    HostCrash,
    /// A host's machine goes silent and comes back cold.
    HostSilent,
    /// A host drains, ends and comes back cold.
    HostRelease,
    /// A host drains.
    HostDrain,
    /// A host is slower by `times`.
    HostSlow,
    /// Discovery says nothing.
    DiscoverySilent,
    /// A coordinator is killed and started again.
    CoordinatorKill,
    /// A coordinator gets SIGTERM, SIGKILL once its time is over, and is started again.
    CoordinatorRestart,
    /// A coordinator stands still (SIGSTOP, then SIGCONT).
    CoordinatorStall,
    /// A coordinator gets SIGHUP.
    CoordinatorReload,
}

/// One thing that goes wrong.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FaultTable {
    /// When, in seconds.
    pub at_s: f64,
    /// What.
    pub kind: FaultKind,
    /// Which hosts or coordinators, by number.
    #[serde(default)]
    pub which: Vec<u16>,
    /// For how long, in seconds.
    #[serde(default)]
    pub for_s: f64,
    /// How many times slower.
    #[serde(default = "one")]
    pub times: f64,
}

impl FaultKind {
    /// Whether it befalls a coordinator.
    pub fn of_coordinator(self) -> bool {
        use FaultKind::*;
        matches!(
            self,
            CoordinatorKill | CoordinatorRestart | CoordinatorStall | CoordinatorReload
        )
    }
}
