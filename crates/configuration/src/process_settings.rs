//! The settings of a process, read from its settings file.

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
    /// Name of the machine.
    pub node_name: String,
    /// Name of the process's role in the deploy file.
    pub role: String,
    /// Class of the machine.
    #[serde(default)]
    pub machine_class: String,
    /// External callers that the role serves: `edge` (clients), `control` (hosts and operators).
    #[serde(default)]
    pub serves: Vec<String>,
    /// IP address of the machine.
    pub ip_addr: Ipv4Addr,
    /// Zone of the machine.
    pub zone: String,
    /// Region of the machine.
    #[serde(default)]
    pub region: String,
    /// Region of each zone, by the zone's name.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Addresses that the role listens on.
    #[serde(default)]
    pub bind: Bind,
    /// First and last port of the range that is reserved for the system's internal use, the same on all machines.
    pub port_range: (u16, u16),
    /// `control` addresses of up to three machines, which a process asks first to discover the members.
    #[serde(default)]
    pub seed_nodes: Vec<SocketAddrV4>,
    /// Whether the whole system is started for the first time, with empty disks.
    #[serde(default)]
    pub bootstrap: bool,
    /// Whether a loss of this machine counts towards the fault budget.
    #[serde(default)]
    pub loss_counted: bool,
    /// Resources that the process may use.
    #[serde(default)]
    pub limits: MachineLimits,
    /// Directory for durable files; `None` if the machine has no disk.
    #[serde(default)]
    pub state_dir: Option<PathBuf>,
    /// Interval between heartbeats of a host, in ms (default 1200).
    #[serde(default = "default_beat_period_ms")]
    pub beat_period_ms: u64,
    /// Simultaneous losses that the system has to survive.
    #[serde(default)]
    pub fault_budget: FaultBudget,
    /// Bounds of the rules that the system is checked against.
    #[serde(default)]
    pub bounds: Bounds,
}

fn default_beat_period_ms() -> u64 {
    1200
}

impl ProcessSettings {
    /// Parses the text of the settings file.
    ///
    /// # Errors
    /// Fails if a required field is missing or a field has the wrong type. The message names a missing field.
    pub fn read(text: &str) -> Result<ProcessSettings, serde_json::Error> {
        serde_json::from_str(text)
    }
}

/// Addresses that a role listens on.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Bind {
    /// Address for clients.
    #[serde(default)]
    pub front: Option<SocketAddrV4>,
    /// Address for the platform's readiness check.
    #[serde(default)]
    pub readiness: Option<SocketAddrV4>,
    /// Address for hosts and operators.
    #[serde(default)]
    pub control: Option<SocketAddrV4>,
    /// Address on which the machine's agent listens for its proxy; by default the second port of the range on
    /// 127.0.0.1. Set if a test runs several machines on one.
    #[serde(default)]
    pub agent: Option<SocketAddrV4>,
    /// Address on which a member listens for the system's internal messages; by default the first port of the range on
    /// the machine's address. If set, others still send to the default address, and a relay forwards the messages.
    #[serde(default)]
    pub member: Option<SocketAddrV4>,
}

/// Resources that a process may use.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct MachineLimits {
    /// CPU time, as a fraction of one core.
    pub cpu_fraction: f64,
    /// Memory in MB.
    pub memory_mb: u64,
    /// Number of file descriptors.
    pub fd_limit: u64,
    /// Disk space in MB.
    pub disk_mb: u64,
    /// Bandwidth of the network link in Mbit/s.
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

/// Simultaneous losses that the system has to survive: of machines, of zones, or of regions.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct FaultBudget {
    /// Number of machines with [`ProcessSettings::loss_counted`].
    pub machine_losses: u32,
    /// Number of zones.
    pub zones: u32,
    /// Number of regions.
    pub region_losses: u32,
}

/// Bounds of the rules that the system is checked against. Names end with the unit, if there is one. A field that is
/// missing in the file has its default.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// How far the lists of seeds and of callers may be out of date, in s (default 3).
    pub seed_delay_s: f64,
    /// Time after the end of a host before another host may have its address, in s (default 2).
    pub addr_reuse_s: f64,
    /// Time without a disturbance after which a machine counts as connected, in ms (default 3000).
    pub contact_ms: f64,
    /// Longest time until a call to `control` is acknowledged, in ms (default 4000).
    pub ack_ms: f64,
    /// Time for which a machine that has returned still counts as lost, in s (default 4).
    pub catch_up_s: f64,
    /// Time after the acknowledgement of a drain for which requests may still reach the host, in ms (default 2000).
    pub drain_ms: f64,
    /// Time between SIGTERM and SIGKILL, in s (default 8).
    pub grace_s: f64,
    /// Time after its last byte for which the loss of a request doesn't count, in ms (default 200).
    pub loss_slack_ms: f64,
    /// Longest time until an acknowledged configuration is in force everywhere, in ms (default 2000).
    pub apply_ms: f64,
    /// Time after a version took effect for which an older one may still be observed, in ms (default 250).
    pub revert_slack_ms: f64,
    /// Longest extension of `apply_ms` while the control plane is unstable, in ms (default 5000).
    pub stretch_ms: f64,
    /// Retries allowed in a window per request in it (default 0.2).
    pub retry_ratio: f64,
    /// Length of the window in which retries are counted, in s (default 10).
    pub retry_window_s: f64,
    /// Retries allowed in a window in addition to `retry_ratio` (default 10).
    pub retry_slack: f64,
    /// Longest time from the return of machines until requests are served again, in s (default 12).
    pub recovery_s: f64,
    /// Longest time until an event of a stream is forwarded, in ms (default 120).
    pub pass_ms: f64,
    /// Whether requests with an API key must be rejected everywhere `revoke_ms` after its removal (default false).
    pub revocation: bool,
    /// Longest time until the removal of an API key is in force, in ms (default 5000).
    pub revoke_ms: f64,
    /// Length of the window in which a tenant's requests are counted against its rate limit, in s (default 8).
    pub quota_window_s: f64,
    /// Tolerated excess over a tenant's rate limit, as a fraction of the limit (default 0.1).
    pub quota_excess: f64,
    /// Further tolerated excess, in the unit of the limit (default 0).
    pub quota_margin: f64,
    /// Time after its last response for which a watch can be resumed, in s (default 20).
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
