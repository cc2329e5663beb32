//! The settings of the decision module and of the program round it, read from JSON. The coordinator
//! and the simulator's adapter share them.

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

/// Time in which sends to a draining host must have stopped, in milliseconds, if the settings don't
/// say.
const DEFAULT_DRAIN_GRACE_MS: f64 = 2000.0;
/// Time within which the router subscribes to the host list, if it has to and the settings don't
/// say.
const DEFAULT_SUBSCRIBE_WITHIN: Duration = Duration::from_secs(10);
const DEFAULT_MAX_OPEN: usize = 4096;
const DEFAULT_CONNECTION_IDLE_TIMEOUT_MS: f64 = 15_000.0;
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;
const DEFAULT_PARTS_PER_CONNECTION: usize = 32;

/// What is wrong with the settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// Not JSON of the expected shape; the message names the key.
    #[error("{0}")]
    Json(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// A key with a value that means nothing.
    #[error("'{0}' can't be '{1}'")]
    Value(&'static str, String),
    /// A shard layout without cells.
    #[error("'sets' and 'width' must be above 0")]
    Layout,
}

/// Limits of the program round the decision module.
#[derive(Clone, Debug)]
pub struct CoordinatorLimits {
    /// Queries and parts that may be open at once.
    pub max_open: usize,
    /// A host closes connections that are idle for this long.
    pub connection_idle_timeout: Duration,
    /// A connection that isn't established by then never will be.
    pub connect_timeout: Duration,
    /// Parts that one connection carries at once.
    pub max_parts_per_connection: usize,
    /// Number of shards, counted from 0; `None` if any shard may exist.
    pub shards: Option<u32>,
    /// Time after the notice of a drain by which sends must have stopped.
    pub drain_grace: Duration,
    /// Coordinators that use the same hosts, this one included.
    pub coordinators: u32,
}

/// The settings, with the names that the decision module knows only as numbers.
#[derive(Clone)]
pub struct SiteSettings {
    /// The settings of the decision module.
    pub router: RouterSettings,
    /// Names of the classes, in the decision module's order.
    pub classes: Vec<String>,
    /// Names of the tenants, in the decision module's order.
    pub tenants: Vec<String>,
    /// Zones numbered so far: the router's own.
    pub zones: NameTable,
    /// Names of the values in a load report.
    pub report_values: Vec<String>,
    /// Whether clients mark their retries.
    pub clients_mark_retries: bool,
    /// How coordinators may publish their load to each other, if they may.
    pub talk: Option<GossipSettings>,
    /// Limits of the program.
    pub limits: CoordinatorLimits,
}

/// Milliseconds as a duration, rounded to a microsecond; never negative.
pub fn from_ms(ms: f64) -> Duration {
    Duration::from_micros((ms * 1000.0).round().max(0.0) as u64)
}

/// A load report from names and values, as the hosts' wire or the simulator has them. A value that
/// is no load is left out. `None` if nothing is left: a report that can't be read must not pass for
/// that of an idle server.
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

/// Reads the settings: a JSON object, as in the simulator's first message and in the platform's
/// file.
///
/// # Errors
/// If the text is not JSON of the expected shape, or if a number in it means nothing.
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
        talk: raw.caps.may_tell.then_some(GossipSettings {
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

/// The class at this index; lists of the family have one value for each class.
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

/// Hints are worked out wherever there is a longest one: a front can always pass them on.
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
