//! The settings file of a process.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;

/// The settings of one process (`boot.json`). Fields that aren't known are passed over.
///
/// ```
/// let text = r#"{"node_name":"core-1","role":"control-plane","ip_addr":"10.1.0.38","zone":"a",
///     "port_range":[7660,7675],"bind":{"control":"10.1.0.38:8146"},"added_later":true}"#;
/// let boot = configuration::ProcessSettings::read(text).unwrap();
/// assert_eq!(boot.bind.control.unwrap().port(), 8146);
/// assert_eq!(boot.beat_period_ms, 1200, "where the file says nothing");
/// let error = configuration::ProcessSettings::read(r#"{"node_name":"core-1"}"#).unwrap_err();
/// assert!(error.to_string().contains("role"), "{error}");
/// ```
#[derive(Clone, Debug, Deserialize)]
pub struct ProcessSettings {
    /// The machine's name.
    pub node_name: String,
    /// The role's name in the deploy file.
    pub role: String,
    /// Class of the machine.
    #[serde(default)]
    pub machine_class: String,
    /// Who may call the role from outside: `edge`, `control`.
    #[serde(default)]
    pub serves: Vec<String>,
    /// The machine's address.
    pub ip_addr: Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    #[serde(default)]
    pub region: String,
    /// Region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// The addresses for what the role serves.
    #[serde(default)]
    pub bind: Bind,
    /// First and last port left free for the system's own use; the same on all machines.
    pub port_range: (u16, u16),
    /// `control` addresses of up to three machines.
    #[serde(default)]
    pub seed_nodes: Vec<SocketAddrV4>,
    /// Whether the whole system starts for the first time, on empty disks.
    #[serde(default)]
    pub bootstrap: bool,
    /// Whether the loss of this machine counts against the fault budget.
    #[serde(default)]
    pub loss_counted: bool,
    /// What the process may use.
    #[serde(default)]
    pub limits: MachineLimits,
    /// Folder for files that last, where there is a disk.
    #[serde(default)]
    pub state_dir: Option<PathBuf>,
    /// Time between a host's heartbeats, in ms.
    #[serde(default = "default_beat")]
    pub beat_period_ms: u64,
    /// What may be lost at once.
    #[serde(default)]
    pub fault_budget: FaultBudget,
    /// Figures of the rules.
    #[serde(default)]
    pub bounds: Bounds,
}

fn default_beat() -> u64 {
    1200
}

impl ProcessSettings {
    /// Reads the settings file's text.
    ///
    /// # Errors
    /// Where a field that is needed is missing or has another type; the message names it.
    pub fn read(text: &str) -> Result<ProcessSettings, serde_json::Error> {
        serde_json::from_str(text)
    }
}

/// Addresses that the role listens on.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Bind {
    /// For clients.
    #[serde(default)]
    pub front: Option<SocketAddrV4>,
    /// For the platform's question whether it is ready.
    #[serde(default)]
    pub readiness: Option<SocketAddrV4>,
    /// For hosts and the operator.
    #[serde(default)]
    pub control: Option<SocketAddrV4>,
    /// Where the machine's agent listens for its proxy, where that isn't the second port on 127.0.0.1: several
    /// "machines" on one need addresses of their own.
    #[serde(default)]
    pub agent: Option<SocketAddrV4>,
    /// Where a member listens for the system's own messages, where that isn't the machine's address with the first
    /// port: others still reach it there, through a relay.
    #[serde(default)]
    pub member: Option<SocketAddrV4>,
}

/// What a process may use.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct MachineLimits {
    /// Share of a core.
    pub cpu_fraction: f64,
    /// Memory in MB.
    pub memory_mb: u64,
    /// Descriptors.
    pub fd_limit: u64,
    /// Disk in MB.
    pub disk_mb: u64,
}

impl Default for MachineLimits {
    fn default() -> Self {
        Self {
            cpu_fraction: 1.0,
            memory_mb: 256,
            fd_limit: 1024,
            disk_mb: 0,
        }
    }
}

/// What may be lost at once: machines, or zones, or regions.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct FaultBudget {
    /// Machines whose loss is counted.
    pub machine_losses: u32,
    /// Zones.
    pub zones: u32,
    /// Regions.
    pub region_losses: u32,
}

/// Figures of the rules, in the unit that each name ends with.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
#[allow(missing_docs)]
pub struct Bounds {
    pub seed_delay_s: f64,
    pub addr_reuse_s: f64,
    pub contact_ms: f64,
    pub ack_ms: f64,
    pub catch_up_s: f64,
    pub drain_ms: f64,
    pub grace_s: f64,
    pub loss_slack_ms: f64,
    pub apply_ms: f64,
    pub revert_slack_ms: f64,
    pub stretch_ms: f64,
    pub retry_ratio: f64,
    pub retry_window_s: f64,
    pub retry_slack: f64,
    pub recovery_s: f64,
    pub pass_ms: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            seed_delay_s: 3.0,
            addr_reuse_s: 2.0,
            contact_ms: 3000.0,
            ack_ms: 4000.0,
            catch_up_s: 4.0,
            drain_ms: 2000.0,
            grace_s: 8.0,
            loss_slack_ms: 200.0,
            apply_ms: 2000.0,
            revert_slack_ms: 250.0,
            stretch_ms: 5000.0,
            retry_ratio: 0.2,
            retry_window_s: 10.0,
            retry_slack: 10.0,
            recovery_s: 12.0,
            pass_ms: 120.0,
        }
    }
}
