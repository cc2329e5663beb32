//! `status`: the system's state, put together from what its members report.

mod coordinators;
mod hosts;
mod members;
mod tenants;

pub use coordinators::{coordinators, CoordinatorState};

use crate::command_line::StatusOptions;
use crate::error::CliError;
use serde_json::Value;

/// Prints the system's state.
///
/// # Errors
/// Where no member answers.
pub fn run(options: &StatusOptions) -> Result<(), CliError> {
    let statuses = options.members.member_statuses()?;
    if options.json {
        println!("{}", Value::from(statuses));
    } else {
        println!("{}", report(&statuses, options.hosts));
    }
    Ok(())
}

/// The report as text, of all members' statuses. With `list_hosts` it names each host.
pub fn report(statuses: &[Value], list_hosts: bool) -> String {
    let Some(latest) = latest_status(statuses) else {
        return "no member".to_owned();
    };
    let newest_version = statuses
        .iter()
        .map(|status| number(status, "/ledger/version"))
        .max()
        .unwrap_or_default();
    let mut lines = members::membership_lines(statuses, latest);
    lines.push(configuration_line(latest, newest_version));
    lines.push(String::new());
    lines.extend(members::member_table(statuses, latest));
    lines.push(String::new());
    lines.extend(coordinators::coordinator_table(statuses, newest_version));
    let tenants = tenants::tenant_table(statuses);
    if !tenants.is_empty() {
        lines.push(String::new());
        lines.extend(tenants);
    }
    lines.push(String::new());
    lines.extend(hosts::host_lines(latest, list_hosts));
    lines.join("\n")
}

/// The status of the member with the highest epoch; among those, of the primary.
fn latest_status(statuses: &[Value]) -> Option<&Value> {
    statuses
        .iter()
        .max_by_key(|status| (number(status, "/member/view/epoch"), is_primary(status)))
}

fn configuration_line(latest: &Value, newest_version: u64) -> String {
    let state = latest.get("ledger").unwrap_or(&Value::Null);
    format!(
        "configuration: version {newest_version}, {} routes, {} services; {} drains",
        number(state, "/routes"),
        number(state, "/services"),
        number(state, "/drains")
    )
}

/// Whether a member reports that it is the primary and its lease lasts.
fn is_primary(status: &Value) -> bool {
    status.pointer("/member/acts") == Some(&true.into())
}

/// The text at a JSON pointer; "-" where there is none.
fn text<'a>(value: &'a Value, pointer: &str) -> &'a str {
    value
        .pointer(pointer)
        .and_then(Value::as_str)
        .unwrap_or("-")
}

/// The number at a JSON pointer; 0 where there is none.
fn number(value: &Value, pointer: &str) -> u64 {
    value
        .pointer(pointer)
        .and_then(Value::as_u64)
        .unwrap_or_default()
}
