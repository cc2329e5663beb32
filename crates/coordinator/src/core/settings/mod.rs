//! Settings of the decision module and of the program around it, read from JSON. The coordinator and the simulator's
//! adapter share them.

mod bounds;
mod schema;

use crate::core::names::NameTable;
use crate::interface::{
    Idempotency, LoadReport, QueryClass, RetryBudget, RouterSettings, ShardLayout, SlowStart,
    Tenant, ZoneId,
};
use crate::peers::GossipSettings;
use schema::{RawCaps, RawClass, RawFamily, RawSafety, RawSettings, RawTenant};
use std::time::Duration;

/// Default time within which sends to a draining host must have stopped, in milliseconds.
const DEFAULT_DRAIN_GRACE_MS: f64 = 2000.0;
/// Default time within which the router subscribes to the host list, where it has to subscribe.
const DEFAULT_SUBSCRIBE_WITHIN: Duration = Duration::from_secs(10);
const DEFAULT_MAX_OPEN: usize = 4096;
const DEFAULT_CONNECTION_IDLE_TIMEOUT_MS: f64 = 15_000.0;
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;
const DEFAULT_PARTS_PER_CONNECTION: usize = 32;

/// An error in the settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not JSON of the expected structure; the message names the key.
    #[error("{0}")]
    Json(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// A key has a value that is out of range or unknown.
    #[error("'{0}' can't be '{1}'")]
    Value(&'static str, String),
    /// The shard layout has no cells.
    #[error("'sets' and 'width' must be above 0")]
    Layout,
}

/// Limits of the program around the decision module.
#[derive(Clone, Debug)]
pub struct CoordinatorLimits {
    /// Number of queries and parts that may be open at once.
    pub max_open: usize,
    /// Time after which a host closes an idle connection.
    pub connection_idle_timeout: Duration,
    /// Time after which a connection attempt counts as failed.
    pub connect_timeout: Duration,
    /// Number of parts that one connection carries at once.
    pub max_parts_per_connection: usize,
    /// Number of shards, which are numbered from 0; `None` if any shard may exist.
    pub shards: Option<u32>,
    /// Time after the first notice of a drain within which sends to the host must have stopped.
    pub drain_grace: Duration,
    /// Number of coordinators that use the same hosts, this one included.
    pub coordinators: u32,
}

/// The settings of one coordinator, with the names that the decision module knows only as numbers.
#[derive(Clone)]
pub struct SiteSettings {
    /// Settings of the decision module.
    pub router: RouterSettings,
    /// Names of the classes, indexed by class number.
    pub classes: Vec<String>,
    /// Names of the tenants, indexed by tenant number.
    pub tenants: Vec<String>,
    /// Names of the zones numbered so far, which is at most the router's own.
    pub zones: NameTable,
    /// Names of the values in a host's load report.
    pub report_values: Vec<String>,
    /// Whether clients mark their retries.
    pub clients_mark_retries: bool,
    /// Settings of the gossip between coordinators; `None` if they may not publish their load to each other.
    pub gossip: Option<GossipSettings>,
    /// Limits of the program around the decision module.
    pub limits: CoordinatorLimits,
}

/// Converts milliseconds to a duration, rounded to a microsecond; a negative number becomes zero.
pub fn from_ms(ms: f64) -> Duration {
    Duration::from_micros((ms * 1000.0).round().max(0.0) as u64)
}

/// Builds a load report from pairs of names and values, as hosts or the simulator send them. Values that are not
/// finite, non-negative numbers are skipped. Returns `None` if no value remains: an unreadable report must not be
/// mistaken for that of an idle server.
pub fn load_report<'a>(values: impl Iterator<Item = (&'a str, &'a str)>) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for (name, value) in values {
        let value = value
            .parse()
            .ok()
            .filter(|v: &f64| v.is_finite() && *v >= 0.0);
        match name {
            "busy_reqs" | "inflight" => report.in_flight = value,
            "pending" | "queue" => report.queued = value,
            "cpu_share" | "util" => report.utilization = value,
            _ => {}
        }
    }
    (report != LoadReport::default()).then_some(report)
}

/// Reads the settings from a JSON object, as in the simulator's first message and in the platform's file.
///
/// # Errors
/// If the text is not JSON of the expected structure, or if a value is out of range or unknown.
pub fn read(json: &str) -> Result<SiteSettings, SettingsError> {
    let raw: RawSettings =
        serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_str(json))?;
    bounds::check(&raw)?;
    let mut zones = NameTable::default();
    let zone = raw
        .zone
        .as_ref()
        .map(|zone| ZoneId(zones.number_or_insert(zone)));
    Ok(SiteSettings {
        router: router_settings(&raw, zone)?,
        limits: limits(&raw),
        gossip: raw.caps.may_tell.then_some(GossipSettings {
            coordinators: raw.coordinators,
            rank: raw.rank,
            price: raw.costs.peer,
        }),
        classes: raw.classes.into_iter().map(|c| c.name).collect(),
        tenants: raw.tenants.into_iter().map(|t| t.name).collect(),
        zones,
        report_values: raw.stats.names,
        clients_mark_retries: raw.clients.marks_retry,
    })
}

fn router_settings(
    raw: &RawSettings,
    zone: Option<ZoneId>,
) -> Result<RouterSettings, SettingsError> {
    let (caps, family, safety) = (&raw.caps, &raw.family_info, &raw.safety);
    let classes = raw
        .classes
        .iter()
        .enumerate()
        .map(|(index, class)| query_class(class, index, family))
        .collect::<Result<_, _>>()?;
    let must_subscribe = raw.registry_mode == "on_request";
    Ok(RouterSettings {
        classes,
        value_by_work: raw.worth_by == "work",
        tenants: raw.tenants.iter().map(tenant).collect(),
        routers: raw.coordinators,
        zone,
        cross_zone_cost: raw.costs.cross_zone > 0.0,
        shard_layout: shard_layout(family)?,
        max_parts_per_call: family.bundle_max.unwrap_or(1),
        call_overhead: from_ms(family.call_cost),
        max_attempts: caps.max_attempts.unwrap_or(1),
        hedging: caps.second_copies,
        cancellation: caps.may_cancel,
        probes: caps.probes,
        max_retry_after: max_retry_after(caps),
        retry_budget: retry_budget(safety),
        slow_start: slow_start(safety),
        subscribe_within: must_subscribe
            .then(|| safety.must_ask_in.map_or(DEFAULT_SUBSCRIBE_WITHIN, from_ms)),
        drain_grace: drain_grace(safety),
        min_turn_interval: from_ms(raw.step),
    })
}

/// Builds the class with this index. The lists in the family's settings have one value for each class.
fn query_class(
    raw: &RawClass,
    index: usize,
    family: &RawFamily,
) -> Result<QueryClass, SettingsError> {
    let idempotency = match raw.idempotency.as_str() {
        "retryable" => Idempotency::Idempotent,
        "dedup" => Idempotency::Keyed(from_ms(raw.window)),
        "fragile" => Idempotency::NotIdempotent,
        other => return Err(SettingsError::Value("idempotency", other.to_owned())),
    };
    let of_class = |values: &[f64]| values.get(index).copied().unwrap_or(1.0);
    Ok(QueryClass {
        latency_target: from_ms(raw.goal_time),
        client_timeout: from_ms(raw.hard_limit),
        late_value: raw.late_worth,
        value: raw.worth,
        idempotency,
        complete_share: of_class(&family.class_need),
        min_share: of_class(&family.class_floor),
        partial_value: of_class(&family.partial_earns),
        second_step_parts: family.class_fetch.get(index).copied().unwrap_or(0),
    })
}

fn shard_layout(family: &RawFamily) -> Result<ShardLayout, SettingsError> {
    if family.cells == 0 || family.cells_per_shard == 0 {
        return Err(SettingsError::Layout);
    }
    Ok(ShardLayout {
        cells: family.cells,
        cells_per_shard: family.cells_per_shard,
    })
}

fn tenant(raw: &RawTenant) -> Tenant {
    Tenant {
        share: raw.portion,
        quota_per_s: raw.quota_per_s.unwrap_or(f64::INFINITY),
    }
}

/// Returns the longest retry-after hint. Hints are computed whenever a longest one is set, since a front end can always
/// pass them on.
fn max_retry_after(caps: &RawCaps) -> Option<Duration> {
    (caps.retry_after || caps.max_retry_after > 0.0).then(|| from_ms(caps.max_retry_after))
}

fn retry_budget(safety: &RawSafety) -> Option<RetryBudget> {
    let (retry_share, window) = safety.budget_share.zip(safety.budget_span)?;
    Some(RetryBudget {
        min_retries: safety.free_resends,
        retry_share,
        window: from_ms(window),
    })
}

fn slow_start(safety: &RawSafety) -> Option<SlowStart> {
    let (initial_share, ramp) = safety.cold_share.zip(safety.ramp_time)?;
    Some(SlowStart {
        initial_share,
        ramp: from_ms(ramp),
        overload_factor: safety.fall_multiple.unwrap_or(1.0),
        overload_time: from_ms(safety.tip_after.unwrap_or(0.0)),
    })
}

fn drain_grace(safety: &RawSafety) -> Duration {
    from_ms(safety.drain_grace.unwrap_or(DEFAULT_DRAIN_GRACE_MS))
}

fn limits(raw: &RawSettings) -> CoordinatorLimits {
    let caps = &raw.caps;
    let idle_timeout = caps
        .connection_idle_timeout
        .unwrap_or(DEFAULT_CONNECTION_IDLE_TIMEOUT_MS);
    CoordinatorLimits {
        max_open: caps.open_cap.unwrap_or(DEFAULT_MAX_OPEN).max(1),
        connection_idle_timeout: from_ms(idle_timeout),
        connect_timeout: from_ms(caps.connect_timeout.unwrap_or(DEFAULT_CONNECT_TIMEOUT_MS)),
        max_parts_per_connection: caps
            .streams_per_conn
            .unwrap_or(DEFAULT_PARTS_PER_CONNECTION)
            .max(1),
        shards: raw.family_info.shards,
        drain_grace: drain_grace(&raw.safety),
        coordinators: raw.coordinators,
    }
}
