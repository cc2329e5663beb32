//! Range checks of the settings. They reject meaningless numbers, but accept unwise ones: other settings may justify
//! them.

use super::schema::{RawCaps, RawClass, RawFamily, RawSettings};
use super::SettingsError;
use std::collections::BTreeSet;

/// Largest number of coordinators; a larger one is a mistake in the settings.
const MAX_COORDINATORS: u32 = 100_000;
/// Longest time that any key may hold, in milliseconds (about 11 days); a longer one is a mistake in the settings.
const MAX_TIME_MS: f64 = 1e9;
/// Longest time between two turns, in milliseconds.
const MAX_TURN_INTERVAL_MS: f64 = 60_000.0;
/// Shortest time for keys where zero is meaningless, in milliseconds.
const MIN_TIME_MS: f64 = 1e-3;
/// Largest count that any key may hold.
const MAX_COUNT: f64 = 1e9;

type CheckResult = Result<(), SettingsError>;

/// Checks the ranges of all settings.
pub(super) fn check(raw: &RawSettings) -> CheckResult {
    // Waiting times and rates are derived from this number: with 0 or an absurd value they would be zero or grow
    // without bound.
    if !(1..=MAX_COORDINATORS).contains(&raw.coordinators) {
        return Err(SettingsError::Value(
            "balancers",
            raw.coordinators.to_string(),
        ));
    }
    check_times(raw)?;
    check_optional_range("safety.cold_share", raw.safety.cold_share, 0.0, 1.0)?;
    check_counts(&raw.caps, &raw.family_info)?;
    check_class_shares(&raw.family_info)?;
    check_classes(&raw.classes)
}

fn check_times(raw: &RawSettings) -> CheckResult {
    let (caps, safety) = (&raw.caps, &raw.safety);
    let idle_timeout = caps.connection_idle_timeout;
    let call_cost = raw.family_info.call_cost;
    check_range("step", raw.step, MIN_TIME_MS, MAX_TURN_INTERVAL_MS)?;
    check_optional_range("caps.conn_idle", idle_timeout, MIN_TIME_MS, MAX_TIME_MS)?;
    check_optional_range(
        "caps.connect_timeout",
        caps.connect_timeout,
        MIN_TIME_MS,
        MAX_TIME_MS,
    )?;
    check_range(
        "caps.max_retry_after",
        caps.max_retry_after,
        0.0,
        MAX_TIME_MS,
    )?;
    check_range("family_info.call_cost", call_cost, 0.0, MAX_TIME_MS)?;
    check_optional_range("safety.drain_grace", safety.drain_grace, 0.0, MAX_TIME_MS)?;
    check_optional_range(
        "safety.budget_span",
        safety.budget_span,
        MIN_TIME_MS,
        MAX_TIME_MS,
    )?;
    check_optional_range("safety.ramp_time", safety.ramp_time, 0.0, MAX_TIME_MS)?;
    check_optional_range("safety.tip_after", safety.tip_after, 0.0, MAX_TIME_MS)?;
    check_optional_range(
        "safety.must_ask_in",
        safety.must_ask_in,
        MIN_TIME_MS,
        MAX_TIME_MS,
    )
}

fn check_counts(caps: &RawCaps, family: &RawFamily) -> CheckResult {
    let as_count = |n: Option<u32>| n.map(|n| n as usize);
    check_count("caps.open_cap", caps.open_cap)?;
    check_count("caps.streams_per_conn", caps.streams_per_conn)?;
    check_count("caps.max_attempts", as_count(caps.max_attempts))?;
    check_count("family_info.bundle_max", as_count(family.bundle_max))?;
    check_count("family_info.shards", as_count(family.shards))
}

fn check_class_shares(family: &RawFamily) -> CheckResult {
    for share in &family.class_need {
        check_range("family_info.class_need", *share, 0.0, 1.0)?;
    }
    for share in &family.class_floor {
        check_range("family_info.class_floor", *share, 0.0, 1.0)?;
    }
    Ok(())
}

fn check_classes(classes: &[RawClass]) -> CheckResult {
    let mut names = BTreeSet::new();
    for class in classes {
        if !is_class_name(&class.name) || !names.insert(&class.name) {
            return Err(SettingsError::Value("classes.name", class.name.clone()));
        }
        check_range(
            "classes.goal_time",
            class.goal_time,
            MIN_TIME_MS,
            MAX_TIME_MS,
        )?;
        check_range(
            "classes.hard_limit",
            class.hard_limit,
            MIN_TIME_MS,
            MAX_TIME_MS,
        )?;
        check_range("classes.window", class.window, 0.0, MAX_TIME_MS)?;
        check_range("classes.worth", class.worth, 0.0, f64::MAX)?;
    }
    if names.is_empty() {
        return Err(SettingsError::Value("classes", "[]".into()));
    }
    Ok(())
}

/// Returns whether a name can serve as a class: class names are URL paths of one segment, and paths that begin with an
/// underscore are reserved.
fn is_class_name(name: &str) -> bool {
    !name.is_empty() && !name.contains('/') && !name.starts_with('_')
}

fn check_range(key: &'static str, value: f64, min: f64, max: f64) -> CheckResult {
    if (min..=max).contains(&value) {
        Ok(())
    } else {
        Err(SettingsError::Value(key, value.to_string()))
    }
}

fn check_optional_range(key: &'static str, value: Option<f64>, min: f64, max: f64) -> CheckResult {
    value.map_or(Ok(()), |value| check_range(key, value, min, max))
}

fn check_count(key: &'static str, value: Option<usize>) -> CheckResult {
    check_optional_range(key, value.map(|n| n as f64), 1.0, MAX_COUNT)
}
