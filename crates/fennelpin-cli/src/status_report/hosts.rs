//! The hosts, as one member knows them.

use super::text;
use serde_json::Value;
use std::collections::BTreeMap;

/// A line for each service with the number of its hosts by phase; with `list_hosts`, a line for each host too.
pub(super) fn host_lines(status: &Value, list_hosts: bool) -> Vec<String> {
    let hosts = status["hosts"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    let mut lines = service_table(hosts);
    if list_hosts {
        lines.push(String::new());
        lines.extend(host_table(hosts));
    }
    lines
}

fn service_table(hosts: &[Value]) -> Vec<String> {
    let mut counts: BTreeMap<&str, BTreeMap<&str, usize>> = BTreeMap::new();
    for host in hosts {
        let by_phase = counts.entry(text(host, "/service")).or_default();
        *by_phase.entry(phase_name(host)).or_default() += 1;
    }
    let mut lines = vec![format!("{:<20} hosts", "service")];
    for (service, by_phase) in counts {
        let counts: Vec<String> = by_phase
            .iter()
            .map(|(phase, count)| format!("{count} {phase}"))
            .collect();
        lines.push(format!("{service:<20} {}", counts.join(", ")));
    }
    lines
}

fn host_table(hosts: &[Value]) -> Vec<String> {
    let mut lines = vec![format!(
        "{:<24} {:<20} {:<22} {:<14} phase",
        "host", "service", "address", "zone"
    )];
    lines.extend(hosts.iter().map(|host| {
        format!(
            "{:<24} {:<20} {:<22} {:<14} {}",
            text(host, "/id"),
            text(host, "/service"),
            text(host, "/address"),
            text(host, "/zone"),
            phase_name(host)
        )
    }));
    lines
}

fn phase_name(host: &Value) -> &'static str {
    match (host["phase"].as_u64(), host["silent"] == true) {
        (Some(0), false) => "ready",
        (Some(0), true) => "silent",
        (Some(1), _) => "draining",
        _ => "gone",
    }
}
