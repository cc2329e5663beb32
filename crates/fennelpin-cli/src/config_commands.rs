//! The operators' commands about configurations.

use crate::command_line::{
    ApplyOptions, CheckOptions, DiffOptions, FileKind, RollbackOptions, ShowOptions,
};
use crate::control_client::{
    call_member, control_address, ControlAnswer, ControlCall, ControlClient,
};
use crate::error::{CliError, InvalidConfigurationSnafu, ReadFileSnafu};
use crate::operator_settings::OperatorSettings;
use crate::process_settings;
use configuration::{masked_tenant_json, Configuration, ConfigurationItem, HasName, ResultCode};
use serde_json::Value;
use snafu::ResultExt;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Exit code where two configurations differ.
pub const EXIT_DIFFERENT: u8 = 4;

/// Checks a file and prints what it is.
///
/// # Errors
/// Where it can't be read or is invalid.
pub fn check(options: &CheckOptions) -> Result<(), CliError> {
    let path = &options.file;
    let text = match options.kind {
        FileKind::ProcessSettings => {
            let settings = process_settings::read(path)?;
            format!("settings of {} ({})", settings.node_name, settings.role)
        }
        FileKind::OperatorSettings => OperatorSettings::read(Some(path))?.to_string(),
        FileKind::Configuration => {
            let configuration = read_configuration(path)?;
            print_warnings(&configuration);
            summary(&configuration)
        }
    };
    println!("{}: {text}", path.display());
    Ok(())
}

/// Prints a configuration as JSON, with the fingerprints of API keys in place of the keys.
///
/// # Errors
/// Where no member answers, the version isn't kept, or no configuration is in force.
pub fn show(options: &ShowOptions) -> Result<(), CliError> {
    let configuration = fetch(&options.members, options.version)?;
    if configuration.version == 0 {
        let none = ResultCode::NoConfiguration;
        return Err(CliError::Rejected {
            code: none.number(),
            reason: none.text().to_owned(),
        });
    }
    println!("{}", configuration.to_masked_json());
    Ok(())
}

/// Compares a file with a configuration and prints the differences. Whether they are equal but for their versions.
///
/// # Errors
/// Where the file is invalid, no member answers, or the version isn't kept.
pub fn diff(options: &DiffOptions) -> Result<bool, CliError> {
    let new = read_configuration(&options.file)?;
    let old = fetch(&options.members, options.version)?;
    let lines = differences(&old, &new);
    println!("{} -> {}", summary(&old), summary(&new));
    for line in &lines {
        println!("{line}");
    }
    Ok(lines.is_empty())
}

/// Applies a configuration or an amendment. The call is idempotent: without a conclusive answer it is repeated, and a
/// member that has taken the change already says so.
///
/// # Errors
/// Where the file is invalid, the change is rejected, or there is no conclusive answer in time.
pub fn apply(options: &ApplyOptions) -> Result<(), CliError> {
    let path = &options.file;
    let body = read_file(path)?;
    let in_force = fetch_in_force(&options.members)?;
    // An invalid file is found here, without a call.
    let new = if options.amend {
        in_force.amended(&body)
    } else {
        Configuration::read(&body, 0)
    };
    let new = new.context(InvalidConfigurationSnafu { path })?;
    print_warnings(&new);
    let base = options.base.unwrap_or(in_force.version);
    let call_name = if options.amend {
        "Configuration.Amend"
    } else {
        "Configuration.Replace"
    };
    send(&options.members, call_name, base, &body)?;
    println!("taken: {} (on version {base})", summary(&new));
    Ok(())
}

/// Applies an older configuration again, under a new version.
///
/// # Errors
/// Where the older version isn't kept, the change is rejected, or there is no conclusive answer in time.
pub fn rollback(options: &RollbackOptions) -> Result<(), CliError> {
    let mut older = match &options.file {
        Some(path) => read_configuration(path)?,
        None => fetch_kept(&options.members, options.to)?,
    };
    let in_force = fetch_in_force(&options.members)?;
    older.version = options.version.unwrap_or(in_force.version + 1);
    send(
        &options.members,
        "Configuration.Replace",
        in_force.version,
        older.to_json().as_bytes(),
    )?;
    println!(
        "taken: {} (version {} again, on version {})",
        summary(&older),
        options.to,
        in_force.version
    );
    Ok(())
}

/// A version in the history, and the members that keep its content.
struct HistoryEntry {
    /// As the member reports it that saw the version first.
    first_seen: Value,
    kept_by: Vec<String>,
}

/// Prints the versions that were applied, as far as the members that answer know them.
///
/// # Errors
/// Where no member answers.
pub fn history(members: &ControlClient) -> Result<(), CliError> {
    let mut versions = BTreeMap::new();
    for status in members.member_statuses()? {
        let node = status["node"].as_str().unwrap_or("?");
        for entry in fetch_history(members, &status) {
            add_history_entry(&mut versions, entry, node);
        }
    }
    print_history(&versions);
    Ok(())
}

/// The history that one member keeps; empty where it doesn't answer.
fn fetch_history(members: &ControlClient, status: &Value) -> Vec<Value> {
    let Some(control) = control_address(status) else {
        return Vec::new();
    };
    let call = ControlCall {
        name: "Configuration.History",
        ..ControlCall::default()
    };
    let Ok(answer) = call_member(control, &call, members.timeout) else {
        return Vec::new();
    };
    let mut history: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    match history["versions"].take() {
        Value::Array(versions) => versions,
        _ => Vec::new(),
    }
}

fn add_history_entry(versions: &mut BTreeMap<u64, HistoryEntry>, entry: Value, node: &str) {
    let Some(version) = entry["version"].as_u64() else {
        return;
    };
    let known = versions.entry(version).or_insert_with(|| HistoryEntry {
        first_seen: entry.clone(),
        kept_by: Vec::new(),
    });
    if entry["kept"] == true {
        known.kept_by.push(node.to_owned());
    }
    if entry["seen_ms"].as_u64() < known.first_seen["seen_ms"].as_u64() {
        known.first_seen = entry;
    }
}

fn print_history(versions: &BTreeMap<u64, HistoryEntry>) {
    println!(
        "{:>12}  {:>14}  {:>6}  {:>8}  kept at",
        "version", "seen (unix s)", "routes", "services"
    );
    for (version, entry) in versions {
        let first_seen = &entry.first_seen;
        let seen_s = first_seen["seen_ms"].as_u64().unwrap_or_default() as f64 / 1e3;
        println!(
            "{version:>12}  {seen_s:>14.3}  {:>6}  {:>8}  {}",
            first_seen["routes"],
            first_seen["services"],
            entry.kept_by.join(" ")
        );
    }
}

/// The differences between two configurations, one line each: `-` for removed, `+` for added, `~` for changed.
///
/// ```
/// use configuration::Configuration;
/// let read = |text: &str| Configuration::read(text.as_bytes(), 0).unwrap();
/// let old = read(r#"{"version":1,"routes":[],"services":[{"name":"a"},{"name":"b"}]}"#);
/// let new = read(r#"{"version":2,"routes":[],"services":[{"name":"b","conn_limit":7},{"name":"c"}]}"#);
/// assert_eq!(fennelpin_cli::config_commands::differences(&old, &new), [
///     "- service a",
///     "~ service b: {\"name\":\"b\"} -> {\"name\":\"b\",\"conn_limit\":7}",
///     "+ service c: {\"name\":\"c\"}",
/// ]);
/// ```
pub fn differences(old: &Configuration, new: &Configuration) -> Vec<String> {
    let (old, new) = (items_by_name(old), items_by_name(new));
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    names
        .into_iter()
        .filter_map(|name| difference(name, old.get(name), new.get(name)))
        .collect()
}

fn difference(name: &str, old: Option<&String>, new: Option<&String>) -> Option<String> {
    match (old, new) {
        (Some(_), None) => Some(format!("- {name}")),
        (None, Some(new)) => Some(format!("+ {name}: {new}")),
        (Some(old), Some(new)) if old != new => Some(format!("~ {name}: {old} -> {new}")),
        _ => None,
    }
}

/// The JSON text of all items of a configuration, by kind and name. Of API keys it shows fingerprints.
fn items_by_name(configuration: &Configuration) -> BTreeMap<String, String> {
    let routes = named_items("route", &configuration.routes);
    let services = named_items("service", &configuration.services);
    let limits = configuration.limits.iter();
    let limits = limits.map(|limits| ("limits".to_owned(), limits.raw.to_string()));
    let tenants = configuration.tenant_items().iter().map(|tenant| {
        let name = format!("tenant {}", tenant.value.name);
        (name, masked_tenant_json(tenant))
    });
    routes
        .chain(services)
        .chain(limits)
        .chain(tenants)
        .collect()
}

fn named_items<'a, T: HasName>(
    kind: &'a str,
    items: &'a [ConfigurationItem<T>],
) -> impl Iterator<Item = (String, String)> + 'a {
    items.iter().map(move |item| {
        let name = format!("{kind} {}", item.value.name());
        (name, item.raw.to_string())
    })
}

/// Prints what is valid in a configuration but hardly meant.
fn print_warnings(configuration: &Configuration) {
    for warning in configuration.warnings() {
        eprintln!("warning: {warning}");
    }
}

fn summary(configuration: &Configuration) -> String {
    let tenants = match &configuration.tenants {
        Some(tenants) => format!(", {} tenants", tenants.len()),
        None => String::new(),
    };
    format!(
        "version {}, {} routes, {} services{tenants}",
        configuration.version,
        configuration.routes.len(),
        configuration.services.len()
    )
}

fn read_file(path: &Path) -> Result<Vec<u8>, CliError> {
    std::fs::read(path).context(ReadFileSnafu { path })
}

fn read_configuration(path: &Path) -> Result<Configuration, CliError> {
    Configuration::read(&read_file(path)?, 0).context(InvalidConfigurationSnafu { path })
}

/// The configuration of a version; without one, that in force.
fn fetch(members: &ControlClient, version: Option<u64>) -> Result<Configuration, CliError> {
    match version {
        Some(version) => fetch_kept(members, version),
        None => fetch_in_force(members),
    }
}

/// The configuration in force; version 0 where there is none.
fn fetch_in_force(members: &ControlClient) -> Result<Configuration, CliError> {
    let answer = members.call(&ControlCall {
        name: "Configuration.Read",
        ..ControlCall::default()
    })?;
    if answer.result().0 == ResultCode::NoConfiguration.number() {
        return Ok(Configuration::default());
    }
    parse_answer(&answer, "the configuration in force")
}

/// An older configuration, from whichever member keeps it.
fn fetch_kept(members: &ControlClient, version: u64) -> Result<Configuration, CliError> {
    let name = format!("Configuration.History/{version}");
    let call = ControlCall {
        name: &name,
        ..ControlCall::default()
    };
    for status in members.member_statuses()? {
        let Some(control) = control_address(&status) else {
            continue;
        };
        match call_member(control, &call, members.timeout) {
            Ok(answer) if answer.status == 200 => {
                return parse_answer(&answer, &format!("version {version}"))
            }
            // Another member may keep it.
            _ => {}
        }
    }
    Err(CliError::VersionNotKept { version })
}

/// Parses an answer whose body is a configuration. `origin` names it in errors.
fn parse_answer(answer: &ControlAnswer, origin: &str) -> Result<Configuration, CliError> {
    if answer.status != 200 {
        return Err(rejected(answer));
    }
    Configuration::read(&answer.body, 0).context(InvalidConfigurationSnafu { path: origin })
}

fn send(
    members: &ControlClient,
    call_name: &str,
    base_version: u64,
    body: &[u8],
) -> Result<(), CliError> {
    let answer = members.call(&ControlCall {
        name: call_name,
        base_version: Some(base_version),
        body: Some(body),
    })?;
    match answer.status {
        200 => Ok(()),
        _ => Err(rejected(&answer)),
    }
}

/// The error for an answer with another status than 200.
pub(crate) fn rejected(answer: &ControlAnswer) -> CliError {
    let (code, reason) = answer.result();
    CliError::Rejected { code, reason }
}
