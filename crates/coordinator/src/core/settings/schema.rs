//! The JSON schema of the settings. The key names are those of the operators' documentation and of the simulator.

use serde::Deserialize;

#[derive(Deserialize)]
pub(super) struct RawSettings {
    #[serde(default, rename = "az")]
    pub(super) zone: Option<String>,
    #[serde(rename = "balancers")]
    pub(super) coordinators: u32,
    #[serde(default)]
    pub(super) caps: RawCaps,
    pub(super) classes: Vec<RawClass>,
    #[serde(default)]
    pub(super) clients: RawClients,
    #[serde(default)]
    pub(super) costs: RawCosts,
    pub(super) family_info: RawFamily,
    #[serde(default)]
    pub(super) rank: u32,
    #[serde(default)]
    pub(super) registry_mode: String,
    #[serde(default)]
    pub(super) safety: RawSafety,
    #[serde(default)]
    pub(super) stats: RawStats,
    /// Shortest time between two turns, in milliseconds.
    pub(super) step: f64,
    #[serde(default)]
    pub(super) tenants: Vec<RawTenant>,
    #[serde(default)]
    pub(super) worth_by: String,
}

/// Capabilities and limits of the program and its hosts. Times are in milliseconds.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct RawCaps {
    #[serde(rename = "conn_idle")]
    pub(super) connection_idle_timeout: Option<f64>,
    pub(super) connect_timeout: Option<f64>,
    pub(super) open_cap: Option<usize>,
    pub(super) streams_per_conn: Option<usize>,
    pub(super) max_attempts: Option<u32>,
    pub(super) max_retry_after: f64,
    pub(super) may_cancel: bool,
    pub(super) may_tell: bool,
    pub(super) probes: bool,
    pub(super) retry_after: bool,
    pub(super) second_copies: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct RawClients {
    pub(super) marks_retry: bool,
}

/// A class of queries. Times are in milliseconds.
#[derive(Deserialize)]
pub(super) struct RawClass {
    pub(super) goal_time: f64,
    pub(super) hard_limit: f64,
    pub(super) idempotency: String,
    #[serde(default)]
    pub(super) late_worth: f64,
    pub(super) name: String,
    #[serde(default)]
    pub(super) window: f64,
    #[serde(default = "default_worth")]
    pub(super) worth: f64,
}

fn default_worth() -> f64 {
    1.0
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct RawCosts {
    pub(super) cross_zone: f64,
    pub(super) peer: f64,
}

/// The shards and how calls read them. Each list has one value for each class.
#[derive(Deserialize)]
pub(super) struct RawFamily {
    #[serde(default)]
    pub(super) bundle_max: Option<u32>,
    /// Overhead of a call, in milliseconds.
    #[serde(default)]
    pub(super) call_cost: f64,
    #[serde(default)]
    pub(super) class_fetch: Vec<u32>,
    #[serde(default)]
    pub(super) class_floor: Vec<f64>,
    #[serde(default)]
    pub(super) class_need: Vec<f64>,
    #[serde(default)]
    pub(super) partial_earns: Vec<f64>,
    #[serde(rename = "sets")]
    pub(super) cells: u32,
    #[serde(default)]
    pub(super) shards: Option<u32>,
    #[serde(rename = "width")]
    pub(super) cells_per_shard: u32,
}

/// Rules that all coordinators must follow together. Times are in milliseconds.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct RawSafety {
    pub(super) drain_grace: Option<f64>,
    pub(super) budget_share: Option<f64>,
    pub(super) budget_span: Option<f64>,
    pub(super) free_resends: f64,
    pub(super) cold_share: Option<f64>,
    pub(super) ramp_time: Option<f64>,
    pub(super) fall_multiple: Option<f64>,
    pub(super) tip_after: Option<f64>,
    pub(super) must_ask_in: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct RawStats {
    pub(super) names: Vec<String>,
}

#[derive(Deserialize)]
pub(super) struct RawTenant {
    pub(super) name: String,
    #[serde(default)]
    pub(super) portion: f64,
    #[serde(default)]
    pub(super) quota_per_s: Option<f64>,
}
