//! Validation of an operator's configuration.

use crate::configuration::Configuration;
use crate::error::{invalid, InvalidConfiguration};
use crate::item::duplicate_name;
use crate::result_code::ResultCode;
use crate::schema::Route;
use std::collections::{HashMap, HashSet};

/// Validates a configuration that is to replace version `current_version` (0 if there is none). If several rules are
/// violated, the order of the checks determines which one is reported.
///
/// # Errors
/// The first violated rule, with the invalid item.
pub(crate) fn validate(
    configuration: &Configuration,
    current_version: u64,
) -> Result<(), InvalidConfiguration> {
    let duplicate = duplicate_name(&configuration.routes)
        .or(duplicate_name(&configuration.services))
        .or(duplicate_name(configuration.tenant_items()));
    if let Some(name) = duplicate {
        return invalid(ResultCode::SameName, name);
    }
    let services: HashSet<&str> = configuration
        .services
        .iter()
        .map(|service| service.value.name.as_str())
        .collect();
    let mut seen_hosts_and_prefixes = HashSet::new();
    for route in configuration.routes.iter().map(|route| &*route.value) {
        validate_targets_exist(route, &services)?;
        let host_and_prefix = (
            route.hostname.to_ascii_lowercase(),
            route.path_prefix.as_str(),
        );
        if !seen_hosts_and_prefixes.insert(host_and_prefix) {
            return invalid(ResultCode::SamePlace, &route.name);
        }
        validate_weights(route)?;
        validate_deadline(route)?;
        validate_path_prefix(route)?;
    }
    validate_keys_not_shared(configuration)?;
    if configuration.version <= current_version {
        let detail = format!("{} after {current_version}", configuration.version);
        return invalid(ResultCode::OldVersion, detail);
    }
    Ok(())
}

/// Checks that no two tenants have the same API key. The error names both tenants and the key's fingerprint.
fn validate_keys_not_shared(configuration: &Configuration) -> Result<(), InvalidConfiguration> {
    let mut owners = HashMap::new();
    for tenant in configuration.tenant_items() {
        let name = tenant.value.name.as_str();
        for key in &tenant.value.credentials {
            let owner = *owners.entry(key.digest()).or_insert(name);
            if owner != name {
                let detail = format!("tenants {owner} and {name}: key {key}");
                return invalid(ResultCode::SharedKey, detail);
            }
        }
    }
    Ok(())
}

fn validate_targets_exist(
    route: &Route,
    services: &HashSet<&str>,
) -> Result<(), InvalidConfiguration> {
    for (service, _) in route.targets() {
        if !services.contains(service) {
            let detail = format!("{}: {service}", route.name);
            return invalid(ResultCode::UnknownService, detail);
        }
    }
    Ok(())
}

fn validate_weights(route: &Route) -> Result<(), InvalidConfiguration> {
    let weights: Vec<f64> = route.targets().iter().map(|target| target.1).collect();
    if weights
        .iter()
        .any(|weight| !weight.is_finite() || *weight < 0.0)
    {
        return invalid(ResultCode::BadValue, format!("{}: a weight", route.name));
    }
    if weights.iter().sum::<f64>() <= 0.0 {
        return invalid(ResultCode::NoWeight, &route.name);
    }
    Ok(())
}

fn validate_deadline(route: &Route) -> Result<(), InvalidConfiguration> {
    if route.deadline_ms.is_nan() || route.deadline_ms <= 0.0 {
        return invalid(ResultCode::NoDeadline, &route.name);
    }
    Ok(())
}

fn validate_path_prefix(route: &Route) -> Result<(), InvalidConfiguration> {
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        return invalid(ResultCode::BadValue, format!("{}: path_prefix", route.name));
    }
    Ok(())
}
