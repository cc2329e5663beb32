//! The settings of a process.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;

/// The settings of one process, from the file `boot.json`. Unknown fields are ignored.
///
/// ```
/// let text = r#"{"node_name":"core-1","role":"control-plane","ip_addr":"10.1.0.38","zone":"a",
///     "port_range":[7660,7675],"bind":{"control":"10.1.0.38:8146"},"added_later":true}"#;
/// let settings = configuration::ProcessSettings::read(text).unwrap();
/// assert_eq!(settings.bind.control.unwrap().port(), 8146);
/// assert_eq!(settings.beat_period_ms, 1200, "the default");
/// let error = configuration::ProcessSettings::read(r#"{"node_name":"core-1"}"#).unwrap_err();
/// assert!(error.to_string().contains("role"), "{error}");
/// ```
#[derive(Clone, Debug, Deserialize)]
pub struct ProcessSettings {
    /// The machine's name.
    pub node_name: String,
    /// The role's name in the deploy file.
    pub role: String,
    /// The machine's class.
    #[serde(default)]
    pub machine_class: String,
    /// Which callers from outside the role serves: `edge` (clients), `control` (hosts and operators).
    #[serde(default)]
    pub serves: Vec<String>,
    /// The machine's IP address.
    pub ip_addr: Ipv4Addr,
    /// The machine's zone.
    pub zone: String,
    /// The machine's region.
    #[serde(default)]
    pub region: String,
    /// The region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// The addresses on which the role serves.
    #[serde(default)]
    pub bind: Bind,
    /// First and last of the ports that are free for the system's own use; the same on all machines.
    pub port_range: (u16, u16),
    /// `control` addresses of up to three machines, where a process looks for members first.
    #[serde(default)]
    pub seed_nodes: Vec<SocketAddrV4>,
    /// Whether the whole system starts for the first time, with empty disks.
    #[serde(default)]
    pub bootstrap: bool,
    /// Whether the loss of this machine counts towards the fault budget.
    #[serde(default)]
    pub loss_counted: bool,
    /// The resources that the process may use.
    #[serde(default)]
    pub limits: MachineLimits,
    /// Directory for durable files, if the machine has a disk.
    #[serde(default)]
    pub state_dir: Option<PathBuf>,
    /// Time between two heartbeats of a host, in ms (default 1200).
    #[serde(default = "default_beat_period_ms")]
    pub beat_period_ms: u64,
    /// The losses that the system has to survive at one time.
    #[serde(default)]
    pub fault_budget: FaultBudget,
    /// The bounds of the rules.
    #[serde(default)]
    pub bounds: Bounds,
}

fn default_beat_period_ms() -> u64 {
    1200
}

impl ProcessSettings {
    /// Parses the settings file's text.
    ///
    /// # Errors
    /// Fails if a needed field is missing or a field has another type. The message names the field.
    pub fn read(text: &str) -> Result<ProcessSettings, serde_json::Error> {
        serde_json::from_str(text)
    }
}

/// The addresses that the role listens on.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Bind {
    /// For clients.
    #[serde(default)]
    pub front: Option<SocketAddrV4>,
    /// For the platform's readiness check.
    #[serde(default)]
    pub readiness: Option<SocketAddrV4>,
    /// For hosts and operators.
    #[serde(default)]
    pub control: Option<SocketAddrV4>,
    /// Where the machine's agent listens for its proxy; by default the second port of the range on 127.0.0.1. Set where
    /// several machines run on one for a test.
    #[serde(default)]
    pub agent: Option<SocketAddrV4>,
    /// Where a member listens for the system's own messages; by default the first port of the range on the machine's
    /// address. Others still send to that address, and a relay forwards it.
    #[serde(default)]
    pub member: Option<SocketAddrV4>,
}

/// The resources that a process may use.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct MachineLimits {
    /// Share of one core.
    pub cpu_fraction: f64,
    /// Memory in MB.
    pub memory_mb: u64,
    /// File descriptors.
    pub fd_limit: u64,
    /// Disk space in MB.
    pub disk_mb: u64,
    /// Speed of the network link in Mbit/s.
    pub link_mbps: f64,
}

impl Default for MachineLimits {
    fn default() -> Self {
        Self {
            cpu_fraction: 1.0,
            memory_mb: 256,
            fd_limit: 1024,
            disk_mb: 0,
            link_mbps: 1000.0,
        }
    }
}

/// The losses that the system has to survive at one time: machines, or zones, or regions.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct FaultBudget {
    /// Number of machines whose loss counts.
    pub machine_losses: u32,
    /// Number of zones.
    pub zones: u32,
    /// Number of regions.
    pub region_losses: u32,
}

/// The bounds of the rules that the system is judged by. The end of each name is the unit. A field that the file leaves
/// out has its default.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// How far the lists of seeds and of callers may lag behind, in s (default 3).
    pub seed_delay_s: f64,
    /// After how long the address of a host that ended may belong to another host, in s (default 2).
    pub addr_reuse_s: f64,
    /// How long a machine has to be undisturbed to count as in touch, in ms (default 3000).
    pub contact_ms: f64,
    /// Within which time a call to `control` has to be acknowledged, in ms (default 4000).
    pub ack_ms: f64,
    /// For how long a machine that is back still counts as lost, in s (default 4).
    pub catch_up_s: f64,
    /// How long after the acknowledgement requests may still reach a draining host, in ms (default 2000).
    pub drain_ms: f64,
    /// Time between SIGTERM and SIGKILL, in s (default 8).
    pub grace_s: f64,
    /// How long after its last byte a request may still be lost without counting, in ms (default 200).
    pub loss_slack_ms: f64,
    /// Within which time an acknowledged configuration has to be in force everywhere, in ms (default 2000).
    pub apply_ms: f64,
    /// How long after a version took effect an older one may still show, in ms (default 250).
    pub revert_slack_ms: f64,
    /// By how much an unstable core may stretch the bound on a configuration's effect, in ms (default 5000).
    pub stretch_ms: f64,
    /// Retries allowed in a window for each request in it (default 0.2).
    pub retry_ratio: f64,
    /// Length of the window in which retries are counted, in s (default 10).
    pub retry_window_s: f64,
    /// Retries allowed in a window beyond `retry_ratio` (default 10).
    pub retry_slack: f64,
    /// Within which time after machines return requests have to be served again, in s (default 12).
    pub recovery_s: f64,
    /// Within which time a stream's event has to be passed on, in ms (default 120).
    pub pass_ms: f64,
    /// Whether no machine may run a request with a key that was taken away `revoke_ms` ago (default false).
    pub revocation: bool,
    /// Within which time the end of a key has to be in force, in ms (default 5000).
    pub revoke_ms: f64,
    /// Length of the window in which a tenant's requests are counted against its limit, in s (default 8).
    pub quota_window_s: f64,
    /// Excess over a tenant's limit that is borne, as a share of it (default 0.1).
    pub quota_excess: f64,
    /// Excess that is borne beside this, in the limit's unit (default 0).
    pub quota_margin: f64,
    /// For how long after its last answer a watch can be resumed, in s (default 20).
    pub history_s: f64,
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
            revocation: false,
            revoke_ms: 5000.0,
            quota_window_s: 8.0,
            quota_excess: 0.1,
            quota_margin: 0.0,
            history_s: 20.0,
        }
    }
}
