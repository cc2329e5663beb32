//! How tenants use their quotas, put together from what the members grant.

use super::text;
use serde_json::Value;
use std::collections::BTreeMap;

/// One tenant, over all members: after a home was lost, two may have decided for it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct TenantUse {
    rate_per_s: f64,
    burst_size: f64,
    /// Units at hand at the member that has granted most; below 0 in debt.
    level: f64,
    most_granted: u64,
    granted: u64,
    refused: u64,
}

impl TenantUse {
    fn add(&mut self, report: &Value) {
        let count = |name: &str| report[name].as_u64().unwrap_or_default();
        let figure = |name: &str| report[name].as_f64().unwrap_or_default();
        let granted = count("granted");
        if self.granted == 0 || granted > self.most_granted {
            self.rate_per_s = figure("rate_per_s");
            self.burst_size = figure("burst_size");
            self.level = figure("level");
            self.most_granted = granted;
        }
        self.granted += granted;
        self.refused += count("refused");
    }

    fn state(&self) -> &'static str {
        if self.level < 0.0 {
            "at its limit"
        } else {
            "below its limit"
        }
    }
}

/// A table with a line for each tenant that has a limit and has sent requests; empty if there is none.
pub(super) fn tenant_table(statuses: &[Value]) -> Vec<String> {
    let reports = statuses
        .iter()
        .filter_map(|status| status["quotas"].as_array())
        .flatten();
    let mut tenants: BTreeMap<&str, TenantUse> = BTreeMap::new();
    for report in reports {
        tenants
            .entry(text(report, "/tenant"))
            .or_default()
            .add(report);
    }
    if tenants.is_empty() {
        return Vec::new();
    }
    let mut lines = vec![format!(
        "{:<20} {:>12} {:>12} {:>12} {:>10} {:>10}  state",
        "tenant", "rate/s", "burst", "at hand", "granted", "refused"
    )];
    for (name, tenant) in tenants {
        lines.push(format!(
            "{name:<20} {:>12.0} {:>12.0} {:>12.0} {:>10} {:>10}  {}",
            tenant.rate_per_s,
            tenant.burst_size,
            tenant.level,
            tenant.granted,
            tenant.refused,
            tenant.state()
        ));
    }
    lines
}
