//! The control plane's members.

use super::{is_primary, number, text};
use serde_json::Value;
use std::collections::BTreeMap;

/// The epoch with its primary, replicas and voters.
pub(super) fn membership_lines(statuses: &[Value], latest: &Value) -> Vec<String> {
    let view = latest.pointer("/member/view").unwrap_or(&Value::Null);
    let names = Names::new(statuses);
    let primary = statuses.iter().find(|status| is_primary(status));
    let primary = primary.map_or("none acts now", |status| text(status, "/node"));
    let stability = if view["settled"] == true {
        ""
    } else {
        " (its voters are changing)"
    };
    let replicas = entries(view, "replicas").filter_map(Value::as_str);
    let voters = entries(view, "voters").filter_map(|voter| voter["id"].as_str());
    vec![
        format!(
            "epoch {}{stability}; primary: {primary}",
            number(view, "/epoch")
        ),
        format!("replicas: {}", names.join(replicas)),
        format!("voters: {}", names.join(voters)),
    ]
}

/// Names of the members that answered, by id.
struct Names<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Names<'a> {
    fn new(statuses: &'a [Value]) -> Self {
        let name = |status: &'a Value| (text(status, "/id"), text(status, "/node"));
        Self(statuses.iter().map(name).collect())
    }

    fn name(&self, id: &str) -> String {
        match self.0.get(id) {
            Some(name) => (*name).to_owned(),
            None => format!("{id} (no answer)"),
        }
    }

    fn join<'b>(&self, ids: impl Iterator<Item = &'b str>) -> String {
        let names: Vec<String> = ids.map(|id| self.name(id)).collect();
        names.join(" ")
    }
}

/// A table with a line for each member that answered.
pub(super) fn member_table(statuses: &[Value], latest: &Value) -> Vec<String> {
    let view = latest.pointer("/member/view").unwrap_or(&Value::Null);
    let mut lines = vec![format!(
        "{:<20} {:<14} {:<22} {:<10} {:>9} {:>9} {:>8}  disk",
        "member", "zone", "control", "role", "change", "version", "age ms"
    )];
    lines.extend(statuses.iter().map(|status| member_line(status, view)));
    lines
}

fn member_line(status: &Value, view: &Value) -> String {
    let age = status.pointer("/member/age_ms").and_then(Value::as_u64);
    let age = age.map_or("-".to_owned(), |age_ms| age_ms.to_string());
    let disk = match status.pointer("/member/disk_fit") {
        Some(Value::Bool(true)) => "takes writes",
        Some(Value::Bool(false)) => "refuses or stalls",
        _ => "hasn't answered",
    };
    format!(
        "{:<20} {:<14} {:<22} {:<10} {:>9} {:>9} {:>8}  {disk}",
        text(status, "/node"),
        text(status, "/zone"),
        text(status, "/control"),
        role(status, view),
        number(status, "/ledger/seq"),
        number(status, "/ledger/version"),
        age,
    )
}

fn role(status: &Value, view: &Value) -> String {
    let id = text(status, "/id");
    let is_replica = entries(view, "replicas").any(|replica| replica == id);
    let is_voter = entries(view, "voters").any(|voter| voter["id"] == id);
    let role = if status["opening"] == true {
        "opening"
    } else if is_primary(status) {
        "primary"
    } else if is_replica {
        "replica"
    } else if is_voter {
        "witness"
    } else {
        "joining"
    };
    let leaving = if status["leaving"] == true {
        ", leaving"
    } else {
        ""
    };
    format!("{role}{leaving}")
}

/// The entries of a list in a membership configuration; none where there is no list.
fn entries<'a>(view: &'a Value, key: &str) -> impl Iterator<Item = &'a Value> {
    view[key].as_array().into_iter().flatten()
}
