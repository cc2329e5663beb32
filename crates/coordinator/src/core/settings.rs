//! The settings that a router is given, from JSON; shared by the coordinator and the adapter.

use crate::core::names::Names;
use crate::interface::{
    Idempotency, LoadReport, QueryClass, RetryBudget, RouterSettings, ShardLayout, SlowStart,
    Tenant, ZoneId,
};
use crate::peers::GossipSettings;
use serde::Deserialize;
use std::time::Duration;

/// More coordinators than this are a mistake in the settings.
const MOST_COORDINATORS: u32 = 100_000;

/// What is wrong with the settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// Not JSON of the expected shape; the message names the key.
    #[error("{0}")]
    Json(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// A key with a value that means nothing.
    #[error("'{0}' can't be '{1}'")]
    Value(&'static str, String),
    /// A layout without cells.
    #[error("'sets' and 'width' must be above 0")]
    Layout,
}

/// Limits that bind the program round the module.
#[derive(Clone, Debug)]
pub struct Caps {
    /// Queries and parts that may be open at once.
    pub open: usize,
    /// A host closes connections idle for this long.
    pub conn_idle: Duration,
    /// A connection that is not up by then never comes up.
    pub connect_timeout: Duration,
    /// Parts that one connection carries at once.
    pub streams: usize,
    /// Number of shards; they count from 0. Where it is not told, any shard may exist.
    pub shards: Option<u32>,
    /// Time after the news of a drain in which sends must have stopped.
    pub drain_grace: Duration,
    /// Coordinators that ask the same hosts, this one included.
    pub coordinators: u32,
}

/// The settings together with the names that the module knows only as numbers.
#[derive(Clone)]
pub struct Site {
    /// What the module is given.
    pub settings: RouterSettings,
    /// Names of the classes, in the module's order.
    pub classes: Vec<String>,
    /// Names of the tenants, in the module's order.
    pub tenants: Vec<String>,
    /// Zones numbered so far: the router's own.
    pub zones: Names,
    /// Names of the values in a load report.
    pub stats: Vec<String>,
    /// Whether clients mark their repeats.
    pub marks_retry: bool,
    /// How coordinators may tell each other, where they may.
    pub talk: Option<GossipSettings>,
    /// Limits outside the module.
    pub caps: Caps,
}

/// Milliseconds to a duration, at a resolution of a microsecond; never negative.
pub fn from_ms(ms: f64) -> Duration {
    Duration::from_micros((ms * 1000.0).round().max(0.0) as u64)
}

/// A load report from names and values, by the wire's words or the simulator's. A value that is no load is
/// left out; `None` if there is nothing in it: one that can't be read must not pass for an idle server's.
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

#[derive(Deserialize)]
struct RawSettings {
    #[serde(default)]
    az: Option<String>,
    balancers: u32,
    #[serde(default)]
    caps: RawCaps,
    classes: Vec<RawClass>,
    #[serde(default)]
    clients: RawClients,
    #[serde(default)]
    costs: RawCosts,
    family_info: RawFamily,
    #[serde(default)]
    rank: u32,
    #[serde(default)]
    registry_mode: String,
    #[serde(default)]
    safety: RawSafety,
    #[serde(default)]
    stats: RawStats,
    step: f64,
    #[serde(default)]
    tenants: Vec<RawTenant>,
    #[serde(default)]
    worth_by: String,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawCaps {
    conn_idle: Option<f64>,
    connect_timeout: Option<f64>,
    open_cap: Option<usize>,
    streams_per_conn: Option<usize>,
    max_attempts: Option<u32>,
    max_retry_after: f64,
    may_cancel: bool,
    may_tell: bool,
    probes: bool,
    retry_after: bool,
    second_copies: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawClients {
    marks_retry: bool,
}

#[derive(Deserialize)]
struct RawClass {
    goal_time: f64,
    hard_limit: f64,
    idempotency: String,
    #[serde(default)]
    late_worth: f64,
    name: String,
    #[serde(default)]
    window: f64,
    #[serde(default = "one")]
    worth: f64,
}

fn one() -> f64 {
    1.0
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawCosts {
    cross_zone: f64,
    peer: f64,
}

#[derive(Deserialize)]
struct RawFamily {
    #[serde(default)]
    bundle_max: Option<u32>,
    #[serde(default)]
    call_cost: f64,
    #[serde(default)]
    class_fetch: Vec<u32>,
    #[serde(default)]
    class_floor: Vec<f64>,
    #[serde(default)]
    class_need: Vec<f64>,
    #[serde(default)]
    partial_earns: Vec<f64>,
    sets: u32,
    #[serde(default)]
    shards: Option<u32>,
    width: u32,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawSafety {
    drain_grace: Option<f64>,
    budget_share: Option<f64>,
    budget_span: Option<f64>,
    free_resends: f64,
    cold_share: Option<f64>,
    ramp_time: Option<f64>,
    fall_multiple: Option<f64>,
    tip_after: Option<f64>,
    must_ask_in: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawStats {
    names: Vec<String>,
}

#[derive(Deserialize)]
struct RawTenant {
    name: String,
    #[serde(default)]
    portion: f64,
    #[serde(default)]
    quota_per_s: Option<f64>,
}

/// Longest time that any key may name, in milliseconds: some days. Beyond it a number is a slip of the pen.
const MOST_MS: f64 = 1e9;

/// Whether a number lies within what its key can mean.
fn within(key: &'static str, value: f64, least: f64, most: f64) -> Result<(), SettingsError> {
    if (least..=most).contains(&value) {
        Ok(())
    } else {
        Err(SettingsError::Value(key, value.to_string()))
    }
}

/// Refuses numbers that mean nothing. What merely is unwise is taken: other settings may make sense of it.
fn check(raw: &RawSettings) -> Result<(), SettingsError> {
    let (s, caps, family, least) = (&raw.safety, &raw.caps, &raw.family_info, 1e-3);
    let counts = |n: Option<usize>| n.map(|n| n as f64);
    let given = [
        ("step", Some(raw.step), least, 60_000.0),
        ("caps.conn_idle", caps.conn_idle, least, MOST_MS),
        ("caps.connect_timeout", caps.connect_timeout, least, MOST_MS),
        (
            "caps.max_retry_after",
            Some(caps.max_retry_after),
            0.0,
            MOST_MS,
        ),
        (
            "family_info.call_cost",
            Some(family.call_cost),
            0.0,
            MOST_MS,
        ),
        ("safety.drain_grace", s.drain_grace, 0.0, MOST_MS),
        ("safety.budget_span", s.budget_span, least, MOST_MS),
        ("safety.ramp_time", s.ramp_time, 0.0, MOST_MS),
        ("safety.tip_after", s.tip_after, 0.0, MOST_MS),
        ("safety.must_ask_in", s.must_ask_in, least, MOST_MS),
        ("safety.cold_share", s.cold_share, 0.0, 1.0),
        ("caps.open_cap", counts(caps.open_cap), 1.0, 1e9),
        (
            "caps.streams_per_conn",
            counts(caps.streams_per_conn),
            1.0,
            1e9,
        ),
        (
            "caps.max_attempts",
            caps.max_attempts.map(f64::from),
            1.0,
            1e9,
        ),
        (
            "family_info.bundle_max",
            family.bundle_max.map(f64::from),
            1.0,
            1e9,
        ),
        ("family_info.shards", family.shards.map(f64::from), 1.0, 1e9),
    ];
    for (key, value, least, most) in given {
        value.map_or(Ok(()), |v| within(key, v, least, most))?;
    }
    for (key, values) in [
        ("family_info.class_need", &family.class_need),
        ("family_info.class_floor", &family.class_floor),
    ] {
        values.iter().try_for_each(|v| within(key, *v, 0.0, 1.0))?;
    }
    let mut names = std::collections::BTreeSet::new();
    for c in &raw.classes {
        // A class is a path of one piece, beside those that begin with an underscore.
        if c.name.is_empty()
            || c.name.contains('/')
            || c.name.starts_with('_')
            || !names.insert(&c.name)
        {
            return Err(SettingsError::Value("classes.name", c.name.clone()));
        }
        within("classes.goal_time", c.goal_time, least, MOST_MS)?;
        within("classes.hard_limit", c.hard_limit, least, MOST_MS)?;
        within("classes.window", c.window, 0.0, MOST_MS)?;
        within("classes.worth", c.worth, 0.0, f64::MAX)?;
    }
    if names.is_empty() {
        return Err(SettingsError::Value("classes", "[]".into()));
    }
    Ok(())
}

/// Reads the settings, a JSON object as the simulator's first message and the platform's file have it.
pub fn read(json: &str) -> Result<Site, SettingsError> {
    let raw: RawSettings =
        serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_str(json))?;
    // Waits and paces are worked out from it: 0 or an absurd number would stop them or let them grow for ever.
    if !(1..=MOST_COORDINATORS).contains(&raw.balancers) {
        return Err(SettingsError::Value("balancers", raw.balancers.to_string()));
    }
    check(&raw)?;
    let mut zones = Names::default();
    let family = &raw.family_info;
    let mut classes = Vec::new();
    for (n, c) in raw.classes.iter().enumerate() {
        let repeat = match c.idempotency.as_str() {
            "retryable" => Idempotency::Idempotent,
            "dedup" => Idempotency::Keyed(from_ms(c.window)),
            "fragile" => Idempotency::NotIdempotent,
            other => return Err(SettingsError::Value("idempotency", other.to_owned())),
        };
        let at = |v: &[f64]| v.get(n).copied().unwrap_or(1.0);
        classes.push(QueryClass {
            latency_target: from_ms(c.goal_time),
            client_timeout: from_ms(c.hard_limit),
            late_value: c.late_worth,
            value: c.worth,
            idempotency: repeat,
            complete_share: at(&family.class_need),
            min_share: at(&family.class_floor),
            partial_value: at(&family.partial_earns),
            second_step_parts: family.class_fetch.get(n).copied().unwrap_or(0),
        });
    }
    if family.sets == 0 || family.width == 0 {
        return Err(SettingsError::Layout);
    }
    let tenant = |t: &RawTenant| Tenant {
        share: t.portion,
        quota_per_s: t.quota_per_s.unwrap_or(f64::INFINITY),
    };
    let tenants = raw.tenants.iter().map(tenant).collect();
    let (s, caps) = (raw.safety, raw.caps);
    let budget = s
        .budget_share
        .zip(s.budget_span)
        .map(|(share, span)| RetryBudget {
            min_retries: s.free_resends,
            retry_share: share,
            window: from_ms(span),
        });
    let cold = s
        .cold_share
        .zip(s.ramp_time)
        .map(|(share, ramp)| SlowStart {
            initial_share: share,
            ramp: from_ms(ramp),
            overload_factor: s.fall_multiple.unwrap_or(1.0),
            overload_time: from_ms(s.tip_after.unwrap_or(0.0)),
        });
    let must_ask_in = (raw.registry_mode == "on_request")
        .then(|| s.must_ask_in.map_or(Duration::from_secs(10), from_ms));
    let talk = caps.may_tell.then_some(GossipSettings {
        coordinators: raw.balancers,
        rank: raw.rank,
        price: raw.costs.peer,
    });
    let settings = RouterSettings {
        classes,
        value_by_work: raw.worth_by == "work",
        tenants,
        routers: raw.balancers,
        zone: raw.az.map(|z| ZoneId(zones.number(&z))),
        cross_zone_cost: raw.costs.cross_zone > 0.0,
        shard_layout: ShardLayout {
            cells: family.sets,
            cells_per_shard: family.width,
        },
        max_parts_per_call: family.bundle_max.unwrap_or(1),
        call_overhead: from_ms(family.call_cost),
        max_attempts: caps.max_attempts.unwrap_or(1),
        hedging: caps.second_copies,
        cancellation: caps.may_cancel,
        probes: caps.probes,
        // A hint is worked out wherever there is a longest one: a front can always pass it on.
        max_retry_after: (caps.retry_after || caps.max_retry_after > 0.0)
            .then(|| from_ms(caps.max_retry_after)),
        retry_budget: budget,
        slow_start: cold,
        subscribe_within: must_ask_in,
        drain_grace: from_ms(s.drain_grace.unwrap_or(2000.0)),
        min_turn_interval: from_ms(raw.step),
    };
    Ok(Site {
        settings,
        classes: raw.classes.into_iter().map(|c| c.name).collect(),
        tenants: raw.tenants.into_iter().map(|t| t.name).collect(),
        zones,
        stats: raw.stats.names,
        marks_retry: raw.clients.marks_retry,
        talk,
        caps: Caps {
            open: caps.open_cap.unwrap_or(4096).max(1),
            conn_idle: from_ms(caps.conn_idle.unwrap_or(15_000.0)),
            connect_timeout: from_ms(caps.connect_timeout.unwrap_or(250.0)),
            streams: caps.streams_per_conn.unwrap_or(32).max(1),
            shards: family.shards,
            drain_grace: from_ms(s.drain_grace.unwrap_or(2000.0)),
            coordinators: raw.balancers,
        },
    })
}
