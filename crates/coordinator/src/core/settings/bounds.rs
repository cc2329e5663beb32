//! Bounds of the settings. Numbers that mean nothing are refused. What is merely unwise is taken:
//! other settings may make sense of it.

use super::schema::{RawCaps, RawClass, RawFamily, RawSettings};
use super::SettingsError;
use std::collections::BTreeSet;

/// More coordinators than this are a mistake in the settings.
const MAX_COORDINATORS: u32 = 100_000;
/// Longest time that any key may name, in milliseconds: some days. Beyond it a number is a mistake.
const MAX_MS: f64 = 1e9;
/// Longest time between two turns, in milliseconds.
const MAX_STEP_MS: f64 = 60_000.0;
/// Shortest time where zero means nothing, in milliseconds.
const MIN_MS: f64 = 1e-3;
/// Largest count that any key may name.
const MAX_COUNT: f64 = 1e9;

type Checked = Result<(), SettingsError>;

/// Checks every bound.
pub(super) fn check(raw: &RawSettings) -> Checked {
    // Waits and rates are worked out from it: 0 or an absurd number would stop them or let them
    // grow for ever.
    if !(1..=MAX_COORDINATORS).contains(&raw.coordinators) {
        return Err(SettingsError::Value(
            "balancers",
            raw.coordinators.to_string(),
        ));
    }
    check_times(raw)?;
    within_if("safety.cold_share", raw.safety.cold_share, 0.0, 1.0)?;
    check_counts(&raw.caps, &raw.family_info)?;
    check_class_shares(&raw.family_info)?;
    check_classes(&raw.classes)
}

fn check_times(raw: &RawSettings) -> Checked {
    let (caps, safety) = (&raw.caps, &raw.safety);
    let idle_timeout = caps.connection_idle_timeout;
    let call_cost = raw.family_info.call_cost;
    within("step", raw.step, MIN_MS, MAX_STEP_MS)?;
    within_if("caps.conn_idle", idle_timeout, MIN_MS, MAX_MS)?;
    within_if("caps.connect_timeout", caps.connect_timeout, MIN_MS, MAX_MS)?;
    within("caps.max_retry_after", caps.max_retry_after, 0.0, MAX_MS)?;
    within("family_info.call_cost", call_cost, 0.0, MAX_MS)?;
    within_if("safety.drain_grace", safety.drain_grace, 0.0, MAX_MS)?;
    within_if("safety.budget_span", safety.budget_span, MIN_MS, MAX_MS)?;
    within_if("safety.ramp_time", safety.ramp_time, 0.0, MAX_MS)?;
    within_if("safety.tip_after", safety.tip_after, 0.0, MAX_MS)?;
    within_if("safety.must_ask_in", safety.must_ask_in, MIN_MS, MAX_MS)
}

fn check_counts(caps: &RawCaps, family: &RawFamily) -> Checked {
    let as_count = |n: Option<u32>| n.map(|n| n as usize);
    count("caps.open_cap", caps.open_cap)?;
    count("caps.streams_per_conn", caps.streams_per_conn)?;
    count("caps.max_attempts", as_count(caps.max_attempts))?;
    count("family_info.bundle_max", as_count(family.bundle_max))?;
    count("family_info.shards", as_count(family.shards))
}

fn check_class_shares(family: &RawFamily) -> Checked {
    for share in &family.class_need {
        within("family_info.class_need", *share, 0.0, 1.0)?;
    }
    for share in &family.class_floor {
        within("family_info.class_floor", *share, 0.0, 1.0)?;
    }
    Ok(())
}

fn check_classes(classes: &[RawClass]) -> Checked {
    let mut names = BTreeSet::new();
    for class in classes {
        if !is_class_name(&class.name) || !names.insert(&class.name) {
            return Err(SettingsError::Value("classes.name", class.name.clone()));
        }
        within("classes.goal_time", class.goal_time, MIN_MS, MAX_MS)?;
        within("classes.hard_limit", class.hard_limit, MIN_MS, MAX_MS)?;
        within("classes.window", class.window, 0.0, MAX_MS)?;
        within("classes.worth", class.worth, 0.0, f64::MAX)?;
    }
    if names.is_empty() {
        return Err(SettingsError::Value("classes", "[]".into()));
    }
    Ok(())
}

/// A class is a path of one segment, beside the paths that begin with an underscore.
fn is_class_name(name: &str) -> bool {
    !name.is_empty() && !name.contains('/') && !name.starts_with('_')
}

fn within(key: &'static str, value: f64, min: f64, max: f64) -> Checked {
    if (min..=max).contains(&value) {
        Ok(())
    } else {
        Err(SettingsError::Value(key, value.to_string()))
    }
}

fn within_if(key: &'static str, value: Option<f64>, min: f64, max: f64) -> Checked {
    value.map_or(Ok(()), |value| within(key, value, min, max))
}

fn count(key: &'static str, value: Option<usize>) -> Checked {
    within_if(key, value.map(|n| n as f64), 1.0, MAX_COUNT)
}
