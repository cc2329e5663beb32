//! How the system is: what its members say, put together.

use crate::failure::Failure;
use crate::options::Status;
use serde_json::Value;
use std::collections::BTreeMap;

/// An agent that hasn't pulled for longer, in ms, is cut off or stands still: a pull waits for 2 s at most.
const QUIET_MS: u64 = 5000;
/// So long, in ms, a new configuration is merely on its way.
const UNDER_WAY_MS: u64 = 2000;

/// A coordinator as the members that it pulls from see it, put together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Coordinator {
    /// Its zone.
    pub zone: String,
    /// The version that it has in force.
    pub version: u64,
    /// Time since its latest pull, in ms.
    pub pulled_ms_ago: u64,
    /// Since when it has lacked a newer version, in ms.
    pub behind_ms: Option<u64>,
    /// Whether it pulls nowhere any more.
    pub gone: bool,
}

impl Coordinator {
    /// Why it hasn't the newest version in force; none where it has.
    ///
    /// ```
    /// use fennelpin_cli::status::Coordinator;
    /// let late = Coordinator { version: 3, behind_ms: Some(9000), ..Coordinator::default() };
    /// assert!(late.lag(3).is_none());
    /// assert!(late.lag(4).unwrap().contains("its proxy hasn't taken it"));
    /// ```
    pub fn lag(&self, newest: u64) -> Option<String> {
        if self.version >= newest {
            return None;
        }
        let why = match (self.gone, self.behind_ms) {
            (true, _) => {
                "its agent has stopped pulling: machine down, cut off, or replaced".to_owned()
            }
            _ if self.pulled_ms_ago > QUIET_MS => {
                format!(
                    "its agent hasn't pulled for {} ms: cut off or standing still",
                    self.pulled_ms_ago
                )
            }
            (_, Some(ms)) if ms <= UNDER_WAY_MS => "it is on its way".to_owned(),
            _ if self.version == 0 => {
                "its agent pulls, its proxy hasn't taken any version: is it up?".to_owned()
            }
            _ => "its agent pulls, its proxy hasn't taken it: see the proxy's log".to_owned(),
        };
        let since = self
            .behind_ms
            .map_or_else(String::new, |ms| format!(" for {ms} ms"));
        Some(format!("behind{since}: {why}"))
    }
}

/// The coordinators that the members name, by name.
pub fn coordinators(statuses: &[Value]) -> BTreeMap<String, Coordinator> {
    let mut all: BTreeMap<String, Coordinator> = BTreeMap::new();
    for told in statuses
        .iter()
        .filter_map(|s| s["coordinators"].as_array())
        .flatten()
    {
        let Some(name) = told["name"].as_str() else {
            continue;
        };
        let this = Coordinator {
            zone: told["zone"].as_str().unwrap_or_default().to_owned(),
            version: told["version"].as_u64().unwrap_or_default(),
            pulled_ms_ago: told["pulled_ms_ago"].as_u64().unwrap_or_default(),
            behind_ms: told["behind_ms"].as_u64(),
            gone: told["gone"] == true,
        };
        match all.get_mut(name) {
            None => drop(all.insert(name.to_owned(), this)),
            Some(known) => {
                known.gone &= this.gone;
                known.pulled_ms_ago = known.pulled_ms_ago.min(this.pulled_ms_ago);
                if this.version >= known.version {
                    let longest = known
                        .behind_ms
                        .filter(|_| known.version == this.version)
                        .max(this.behind_ms);
                    (known.version, known.behind_ms) = (this.version, longest);
                }
            }
        }
    }
    all
}

fn text<'a>(value: &'a Value, path: &str) -> &'a str {
    value.pointer(path).and_then(Value::as_str).unwrap_or("-")
}

fn number(value: &Value, path: &str) -> u64 {
    value
        .pointer(path)
        .and_then(Value::as_u64)
        .unwrap_or_default()
}

/// The status of the member that sees the highest epoch.
fn best(statuses: &[Value]) -> Option<&Value> {
    let rank = |s: &&Value| {
        (
            number(s, "/member/view/epoch"),
            s.pointer("/member/acts") == Some(&true.into()),
        )
    };
    statuses.iter().max_by_key(rank)
}

fn role(status: &Value, view: &Value) -> String {
    let id = text(status, "/id");
    let copy = view["replicas"]
        .as_array()
        .is_some_and(|c| c.iter().any(|c| c == id));
    let voter = view["voters"]
        .as_array()
        .is_some_and(|v| v.iter().any(|v| v["id"] == id));
    let word = match (
        status["opening"] == true,
        status.pointer("/member/acts") == Some(&true.into()),
    ) {
        (true, _) => "opening",
        (_, true) => "primary",
        _ if copy => "replica",
        _ if voter => "witness",
        _ => "joining",
    };
    let leaving = if status["leaving"] == true {
        ", leaving"
    } else {
        ""
    };
    format!("{word}{leaving}")
}

/// The report as text.
pub fn report(statuses: &[Value], with_hosts: bool) -> String {
    let mut lines = Vec::new();
    let Some(best) = best(statuses) else {
        return "no member".to_owned();
    };
    let view = best.pointer("/member/view").unwrap_or(&Value::Null);
    let names: BTreeMap<&str, &str> = statuses
        .iter()
        .map(|s| (text(s, "/id"), text(s, "/node")))
        .collect();
    let name = |id: &str| {
        names
            .get(id)
            .map_or_else(|| format!("{id} (no answer)"), |n| (*n).to_owned())
    };
    let acting = statuses
        .iter()
        .find(|s| s.pointer("/member/acts") == Some(&true.into()));
    let primary = acting.map_or_else(
        || "none acts now".to_owned(),
        |s| text(s, "/node").to_owned(),
    );
    let list = |path: &str, of: fn(&Value) -> Option<&str>| {
        let all = view.pointer(path).and_then(Value::as_array);
        all.into_iter()
            .flatten()
            .filter_map(of)
            .map(name)
            .collect::<Vec<_>>()
            .join(" ")
    };
    let settled = if view["settled"] == true {
        ""
    } else {
        " (its voters are changing)"
    };
    lines.push(format!(
        "epoch {}{settled}; primary: {primary}",
        number(view, "/epoch")
    ));
    lines.push(format!("replicas: {}", list("/replicas", Value::as_str)));
    lines.push(format!("voters: {}", list("/voters", |v| v["id"].as_str())));
    let newest = statuses
        .iter()
        .map(|s| number(s, "/ledger/version"))
        .max()
        .unwrap_or_default();
    let ledger = best.get("ledger").unwrap_or(&Value::Null);
    lines.push(format!(
        "configuration: version {newest}, {} routes, {} services; {} drains",
        number(ledger, "/routes"),
        number(ledger, "/services"),
        number(ledger, "/drains")
    ));
    lines.push(String::new());
    lines.push(format!(
        "{:<20} {:<14} {:<22} {:<10} {:>9} {:>9} {:>8}  disk",
        "member", "zone", "control", "role", "change", "version", "age ms"
    ));
    for status in statuses {
        let disk = match status.pointer("/member/disk_fit") {
            Some(Value::Bool(true)) => "takes writes",
            Some(Value::Bool(false)) => "refuses or stalls",
            _ => "hasn't answered",
        };
        lines.push(format!(
            "{:<20} {:<14} {:<22} {:<10} {:>9} {:>9} {:>8}  {disk}",
            text(status, "/node"),
            text(status, "/zone"),
            text(status, "/control"),
            role(status, view),
            number(status, "/ledger/seq"),
            number(status, "/ledger/version"),
            status
                .pointer("/member/age_ms")
                .and_then(Value::as_u64)
                .map_or("-".to_owned(), |age| age.to_string()),
        ));
    }
    lines.push(String::new());
    lines.push(format!(
        "{:<20} {:<14} {:>9}  state",
        "coordinator", "zone", "version"
    ));
    for (name, coordinator) in coordinators(statuses) {
        let state = coordinator
            .lag(newest)
            .unwrap_or_else(|| "in force".to_owned());
        lines.push(format!(
            "{name:<20} {:<14} {:>9}  {state}",
            coordinator.zone, coordinator.version
        ));
    }
    lines.push(String::new());
    lines.extend(roster(best, with_hosts));
    lines.join("\n")
}

fn phase(host: &Value) -> &'static str {
    match (host["phase"].as_u64(), host["silent"] == true) {
        (Some(0), false) => "ready",
        (Some(0), true) => "silent",
        (Some(1), _) => "draining",
        _ => "gone",
    }
}

fn roster(status: &Value, one_by_one: bool) -> Vec<String> {
    let hosts = status["hosts"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    let mut services: BTreeMap<&str, BTreeMap<&str, usize>> = BTreeMap::new();
    for host in hosts {
        *services
            .entry(text(host, "/service"))
            .or_default()
            .entry(phase(host))
            .or_default() += 1;
    }
    let counts = |c: &BTreeMap<&str, usize>| {
        c.iter()
            .map(|(p, n)| format!("{n} {p}"))
            .collect::<Vec<_>>()
            .join(", ")
    };
    let mut lines = vec![format!("{:<20} hosts", "service")];
    lines.extend(
        services
            .iter()
            .map(|(service, c)| format!("{service:<20} {}", counts(c))),
    );
    if one_by_one {
        lines.push(String::new());
        lines.push(format!(
            "{:<24} {:<20} {:<22} {:<14} phase",
            "host", "service", "address", "zone"
        ));
        lines.extend(hosts.iter().map(|h| {
            let (id, service, address, zone) = (
                text(h, "/id"),
                text(h, "/service"),
                text(h, "/address"),
                text(h, "/zone"),
            );
            format!(
                "{id:<24} {service:<20} {address:<22} {zone:<14} {}",
                phase(h)
            )
        }));
    }
    lines
}

/// Prints how the system is.
///
/// # Errors
/// Where no member can be asked.
pub fn run(asked: &Status) -> Result<(), Failure> {
    let statuses = asked.members.statuses()?;
    if asked.json {
        println!("{}", Value::from(statuses))
    } else {
        println!("{}", report(&statuses, asked.hosts))
    }
    Ok(())
}
