//! The operators' commands about configurations.

use crate::control::{Answer, Call, Members};
use crate::failure::{ConfigurationSnafu, Failure, UnreadableSnafu};
use crate::operator::Operator;
use crate::options::{Apply, Check, Diff, Rollback, Show, Sort};
use crate::settings;
use configuration::{Configuration, ResultCode};
use serde_json::Value;
use snafu::ResultExt;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Exit code where two configurations differ.
pub const DIFFERS: u8 = 4;

fn read_file(path: &Path) -> Result<Vec<u8>, Failure> {
    std::fs::read(path).context(UnreadableSnafu { path })
}

fn read_document(path: &Path) -> Result<Configuration, Failure> {
    Configuration::read(&read_file(path)?, 0).context(ConfigurationSnafu { path })
}

fn size(document: &Configuration) -> String {
    let Configuration {
        version,
        routes,
        services,
        ..
    } = document;
    format!(
        "version {version}, {} routes, {} services",
        routes.len(),
        services.len()
    )
}

/// Checks a file.
///
/// # Errors
/// Where it is invalid.
pub fn check(asked: &Check) -> Result<(), Failure> {
    let path = &asked.file;
    match asked.sort {
        Sort::Settings => {
            let boot = settings::read(path)?;
            println!(
                "{}: settings of {} ({})",
                path.display(),
                boot.node_name,
                boot.role
            );
        }
        Sort::Operator => println!("{}: {:?}", path.display(), Operator::read(Some(path))?),
        Sort::Configuration => println!("{}: {}", path.display(), size(&read_document(path)?)),
    }
    Ok(())
}

fn refused<T>(answer: &Answer) -> Result<T, Failure> {
    let (code, reason) = answer.result();
    Err(Failure::Refused { code, reason })
}

fn document(answer: &Answer, from: &str) -> Result<Configuration, Failure> {
    if answer.status != 200 {
        return refused(answer);
    }
    Configuration::read(&answer.body, 0).context(ConfigurationSnafu { path: from })
}

/// The configuration in force; version 0 where there is none.
fn in_force(members: &Members) -> Result<Configuration, Failure> {
    let answer = members.ask(&Call {
        name: "Configuration.Read",
        ..Call::default()
    })?;
    if answer.result().0 == ResultCode::NoConfiguration.number() {
        return Ok(Configuration::default());
    }
    document(&answer, "the configuration in force")
}

/// An older configuration, from whichever member keeps it.
fn kept(members: &Members, version: u64) -> Result<Configuration, Failure> {
    let name = format!("Configuration.History/{version}");
    for status in members.statuses()? {
        let Some(control) = status["control"]
            .as_str()
            .and_then(|c| c.parse::<SocketAddr>().ok())
        else {
            continue;
        };
        let call = Call {
            name: &name,
            ..Call::default()
        };
        match crate::control::ask(control, &call, members.wait) {
            Ok(answer) if answer.status == 200 => {
                return document(&answer, &format!("version {version}"))
            }
            // Another member may keep it.
            _ => {}
        }
    }
    Err(Failure::NotKept { version })
}

fn of_version(members: &Members, version: Option<u64>) -> Result<Configuration, Failure> {
    version.map_or_else(|| in_force(members), |version| kept(members, version))
}

/// Prints a configuration.
///
/// # Errors
/// Where it can't be had.
pub fn show(asked: &Show) -> Result<(), Failure> {
    let document = of_version(&asked.members, asked.version)?;
    if document.version == 0 {
        let none = ResultCode::NoConfiguration;
        return Err(Failure::Refused {
            code: none.number(),
            reason: none.text().to_owned(),
        });
    }
    println!("{}", document.to_json());
    Ok(())
}

/// Lines that tell what leads from one configuration to another: `-` went, `+` came, `~` changed.
///
/// ```
/// use configuration::Configuration;
/// let read = |text: &str| Configuration::read(text.as_bytes(), 0).unwrap();
/// let old = read(r#"{"version":1,"routes":[],"services":[{"name":"a"},{"name":"b"}]}"#);
/// let new = read(r#"{"version":2,"routes":[],"services":[{"name":"b","conn_limit":7},{"name":"c"}]}"#);
/// assert_eq!(fennelpin_cli::config::differences(&old, &new), [
///     "- service a",
///     "~ service b: {\"name\":\"b\"} -> {\"name\":\"b\",\"conn_limit\":7}",
///     "+ service c: {\"name\":\"c\"}",
/// ]);
/// ```
pub fn differences(old: &Configuration, new: &Configuration) -> Vec<String> {
    fn items<T: configuration::HasName>(
        sort: &str,
        list: &[configuration::ConfigurationItem<T>],
    ) -> BTreeMap<String, String> {
        list.iter()
            .map(|i| (format!("{sort} {}", i.value.name()), i.raw.to_string()))
            .collect()
    }
    let all = |document: &Configuration| {
        let mut all = items("route", &document.routes);
        all.extend(items("service", &document.services));
        all.extend(
            document
                .limits
                .iter()
                .map(|l| ("limits".to_owned(), l.raw.to_string())),
        );
        all
    };
    let (old, new) = (all(old), all(new));
    let names: std::collections::BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let line = |name: &&String| match (old.get(*name), new.get(*name)) {
        (Some(_), None) => Some(format!("- {name}")),
        (None, Some(new)) => Some(format!("+ {name}: {new}")),
        (Some(old), Some(new)) if old != new => Some(format!("~ {name}: {old} -> {new}")),
        _ => None,
    };
    names.iter().filter_map(line).collect()
}

/// Compares a file with what is in force. True where they say the same, their versions aside.
///
/// # Errors
/// Where one of them can't be had.
pub fn diff(asked: &Diff) -> Result<bool, Failure> {
    let new = read_document(&asked.file)?;
    let old = of_version(&asked.members, asked.version)?;
    let lines = differences(&old, &new);
    println!("{} -> {}", size(&old), size(&new));
    lines.iter().for_each(|l| println!("{l}"));
    Ok(lines.is_empty())
}

fn send(members: &Members, name: &str, base: u64, body: &[u8]) -> Result<(), Failure> {
    let answer = members.ask(&Call {
        name,
        base: Some(base),
        body: Some(body),
    })?;
    match answer.status {
        200 => Ok(()),
        _ => refused(&answer),
    }
}

/// Has a configuration taken. Where there is no clear answer the call is made again, unchanged, of the next
/// member: one that was taken already is answered as such.
///
/// # Errors
/// Where it is invalid, refused, or there is no clear answer in time.
pub fn apply(asked: &Apply) -> Result<(), Failure> {
    let path: &PathBuf = &asked.file;
    let body = read_file(path)?;
    let old = in_force(&asked.members)?;
    // What is wrong by itself needs no member to say so.
    let new = if asked.amend {
        old.amended(&body)
    } else {
        Configuration::read(&body, 0)
    };
    let new = new.context(ConfigurationSnafu { path })?;
    let base = asked.base.unwrap_or(old.version);
    let name = if asked.amend {
        "Configuration.Amend"
    } else {
        "Configuration.Replace"
    };
    send(&asked.members, name, base, &body)?;
    println!("taken: {} (on version {base})", size(&new));
    Ok(())
}

/// Lists the versions taken, as far as the members that answer know them.
///
/// # Errors
/// Where none can be asked.
pub fn history(members: &Members) -> Result<(), Failure> {
    let mut versions: BTreeMap<u64, (Value, Vec<String>)> = BTreeMap::new();
    for status in members.statuses()? {
        let Some(control) = status["control"]
            .as_str()
            .and_then(|c| c.parse::<SocketAddr>().ok())
        else {
            continue;
        };
        let call = Call {
            name: "Configuration.History",
            ..Call::default()
        };
        let Ok(answer) = crate::control::ask(control, &call, members.wait) else {
            continue;
        };
        let told: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        for entry in told["versions"].as_array().into_iter().flatten() {
            let Some(version) = entry["version"].as_u64() else {
                continue;
            };
            let (first, kept) = versions
                .entry(version)
                .or_insert_with(|| (entry.clone(), Vec::new()));
            if entry["seen_ms"].as_u64() < first["seen_ms"].as_u64() {
                *first = entry.clone();
            }
            if entry["kept"] == true {
                kept.push(status["node"].as_str().unwrap_or("?").to_owned());
            }
        }
    }
    println!(
        "{:>12}  {:>14}  {:>6}  {:>8}  kept at",
        "version", "seen (unix s)", "routes", "services"
    );
    for (version, (entry, kept)) in versions {
        let seen = entry["seen_ms"].as_u64().unwrap_or_default() as f64 / 1e3;
        println!(
            "{version:>12}  {seen:>14.3}  {:>6}  {:>8}  {}",
            entry["routes"],
            entry["services"],
            kept.join(" ")
        );
    }
    Ok(())
}

/// Has an older configuration taken again, under a new version.
///
/// # Errors
/// Where it can't be had, is refused, or there is no clear answer in time.
pub fn rollback(asked: &Rollback) -> Result<(), Failure> {
    let mut older = match &asked.file {
        Some(path) => read_document(path)?,
        None => kept(&asked.members, asked.to)?,
    };
    let old = in_force(&asked.members)?;
    older.version = asked.version.unwrap_or(old.version + 1);
    send(
        &asked.members,
        "Configuration.Replace",
        old.version,
        older.to_json().as_bytes(),
    )?;
    println!(
        "taken: {} (version {} again, on version {})",
        size(&older),
        asked.to,
        old.version
    );
    Ok(())
}
