//! The wire: lines of text to events, actions to lines, the settings from JSON. Decides nothing.

pub use coordinator::core::settings::from_ms;
use coordinator::core::{names::NameTable, settings::load_report};
use coordinator::{
    Action, ClassId, Event, ListKind, LoadReport, Outcome, RequestId, RouterSettings, ServerEntry,
    ServerId, ServerState, TenantId, ZoneId,
};
use std::collections::HashMap;
use std::fmt::Write;
use std::time::Duration;

/// A plain message on what is wrong with the input.
pub type Result<T> = std::result::Result<T, String>;

fn to_ms(d: Duration) -> f64 {
    d.as_micros() as f64 / 1000.0
}

/// The values of one line, taken in order.
pub struct Fields<'a> {
    what: &'a str,
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    /// Splits the message's word off a line.
    pub fn new(line: &'a str) -> Self {
        let (what, rest) = line
            .split_once(' ')
            .map_or((line, None), |(w, r)| (w, Some(r)));
        Self { what, rest }
    }

    /// The message's word.
    pub fn what(&self) -> &'a str {
        self.what
    }

    /// The next value as text; `None` if it is absent.
    pub fn optional(&mut self) -> Option<&'a str> {
        let (value, rest) = self
            .rest?
            .split_once(' ')
            .map_or((self.rest?, None), |(v, r)| (v, Some(r)));
        self.rest = rest;
        (value != "-").then_some(value)
    }

    /// The next value as text.
    pub fn text(&mut self, name: &str) -> Result<&'a str> {
        let what = self.what;
        self.optional()
            .ok_or_else(|| format!("{what}: '{name}' is missing"))
    }

    /// The next value, parsed.
    pub fn value<T: std::str::FromStr>(&mut self, name: &str) -> Result<T> {
        let what = self.what;
        let text = self.text(name)?;
        text.parse()
            .map_err(|_| format!("{what}: '{name}' can't be read from '{text}'"))
    }

    /// The next value, a finite number.
    pub fn number(&mut self, name: &str) -> Result<f64> {
        let what = self.what;
        let n: f64 = self.value(name)?;
        n.is_finite()
            .then_some(n)
            .ok_or_else(|| format!("{what}: '{name}' is not a finite number"))
    }

    /// All that is left of the line.
    pub fn tail(&mut self, name: &str) -> Result<&'a str> {
        self.rest
            .take()
            .ok_or_else(|| format!("{}: '{name}' is missing", self.what))
    }
}

/// The words of one instance: nothing here is shared between instances.
#[derive(Default)]
pub struct Words {
    requests: NameTable,
    queries: HashMap<String, RequestId>,
    servers: NameTable,
    zones: NameTable,
    classes: Vec<String>,
    tenants: Vec<String>,
    stats: Vec<String>,
    marks_retry: bool,
    /// How instances may tell each other, where they may.
    pub talk: Option<coordinator::peers::GossipSettings>,
}

/// Reads the settings of a `start`.
pub fn settings(json: &str) -> Result<(RouterSettings, Words)> {
    let site =
        coordinator::core::settings::read(json).map_err(|e| format!("start: 'options': {e}"))?;
    let words = Words {
        zones: site.zones,
        classes: site.classes,
        tenants: site.tenants,
        stats: site.report_values,
        marks_retry: site.clients_mark_retries,
        talk: site.talk,
        ..Words::default()
    };
    Ok((site.router, words))
}

/// One line of a server list, not yet in any instance's numbers.
pub struct RawEntry {
    node: String,
    zone: String,
    cell: u32,
    state: ServerState,
    boot: Option<f64>,
}

/// Reads an `m` line.
pub fn entry(f: &mut Fields) -> Result<RawEntry> {
    if f.what() != "m" {
        return Err(format!(
            "snapshot_rows: an 'm' line is missing before '{}'",
            f.what()
        ));
    }
    let node = f.text("node")?.to_owned();
    let zone = f.text("area")?.to_owned();
    f.optional();
    let cell = f.value("position")?;
    let state = match f.text("availability")? {
        "0" => ServerState::Gone,
        "1" => ServerState::Ready,
        "2" => ServerState::Draining,
        other => return Err(format!("m: 'availability' can't be '{other}'")),
    };
    f.optional();
    let boot = f
        .optional()
        .and_then(|b| b.parse().ok())
        .filter(|b| *b > 0.0);
    Ok(RawEntry {
        node,
        zone,
        cell,
        state,
        boot,
    })
}

fn outcome(code: &str) -> Result<Outcome> {
    Ok(match code {
        "200" => Outcome::Ok,
        "500" => Outcome::Error,
        "503" => Outcome::Rejected,
        "504" => Outcome::Timeout,
        "502" => Outcome::ConnectFailed,
        "598" => Outcome::Reset,
        "499" => Outcome::Cancelled,
        "410" => Outcome::NotSent,
        other => return Err(format!("'how' can't be '{other}'")),
    })
}

impl Words {
    /// The list event for this instance.
    pub fn list(&mut self, kind: &str, raw: &[RawEntry]) -> Result<Event> {
        let kind = match kind {
            "0" => ListKind::Changes,
            "1" => ListKind::Full,
            "2" => ListKind::Cached,
            "3" => ListKind::Failed,
            other => return Err(format!("roster_change: 'scope' can't be '{other}'")),
        };
        let mut entries = Vec::new();
        if kind != ListKind::Failed {
            for e in raw {
                entries.push(ServerEntry {
                    server: ServerId(self.servers.number_or_insert(&e.node)),
                    zone: ZoneId(self.zones.number_or_insert(&e.zone)),
                    cell: e.cell,
                    state: e.state,
                    started_at: e.boot.map(from_ms),
                });
            }
        }
        Ok(Event::ServerList { kind, entries })
    }

    fn report(&self, row: Option<&str>) -> Option<LoadReport> {
        load_report(self.stats.iter().map(String::as_str).zip(row?.split(',')))
    }

    /// The name of a server.
    pub fn server(&self, id: ServerId) -> &str {
        self.servers.name(id.0)
    }

    /// Reads an event of a running instance; `None` for one that says nothing to the module.
    pub fn event(&mut self, f: &mut Fields) -> Result<Option<Event>> {
        Ok(Some(match f.what() {
            "job_in" => {
                let xid = f.text("xid")?;
                let band = f.text("band")?;
                let class = self
                    .classes
                    .iter()
                    .position(|c| c == band)
                    .map(|n| ClassId(n as u32));
                let class =
                    class.ok_or_else(|| format!("job_in: 'band' names no class: '{band}'"))?;
                let tenant = f
                    .optional()
                    .and_then(|t| self.tenants.iter().position(|n| n == t))
                    .map(|n| TenantId(n as u32));
                f.optional();
                let deadline = from_ms(f.number("client_deadline")?);
                f.optional();
                let whole = f.text("whole_no")?.to_owned();
                let shard = f.number("shard")?;
                let id = RequestId(self.requests.number_or_insert(xid).into());
                let weight = f.number("size_or_weight")?;
                if shard < 0.0 {
                    let bits = f.optional().and_then(|b| b.parse::<u32>().ok());
                    let repeat = bits.filter(|_| self.marks_retry).map(|b| b & 2 != 0);
                    self.queries.insert(whole, id);
                    Event::Query {
                        id,
                        class,
                        tenant,
                        deadline,
                        is_retry: repeat,
                    }
                } else {
                    let Some(query) = self.queries.get(&whole).copied() else {
                        return Ok(None);
                    };
                    Event::Part {
                        id,
                        query,
                        shard: shard as u32,
                        weight,
                    }
                }
            }
            "attempt_end" => {
                let part = self
                    .requests
                    .number(f.text("xid")?)
                    .map(|n| RequestId(n.into()));
                let attempt = f.value("hop")?;
                f.text("node")?;
                let outcome = outcome(f.text("how")?).map_err(|e| format!("attempt_end: {e}"))?;
                let latency = from_ms(f.number("latency")?);
                let closed = f.text("closed")? == "1";
                let report = self.report(f.optional());
                let Some(part) = part else { return Ok(None) };
                Event::AttemptEnded {
                    part,
                    attempt,
                    outcome,
                    latency,
                    closed,
                    report,
                }
            }
            "withdrawn" => match self.requests.number(f.text("xid")?) {
                Some(n) => Event::ClientLeft {
                    query: RequestId(n.into()),
                },
                None => return Ok(None),
            },
            "check_result" => {
                let outcome = outcome(f.text("how")?).map_err(|e| format!("check_result: {e}"))?;
                f.number("latency")?;
                let server = self.servers.number(f.text("node")?).map(ServerId);
                let report = self.report(f.optional());
                let Some(server) = server else {
                    return Ok(None);
                };
                Event::ProbeEnded {
                    server,
                    outcome,
                    report,
                }
            }
            "wake" => {
                f.text("handle")?;
                Event::Wake
            }
            "accepted" => return Ok(None),
            other => return Err(format!("unknown event '{other}'")),
        }))
    }

    /// Writes an action of instance `who` as a line.
    pub fn action(&self, who: u32, action: &Action, out: &mut String) {
        // Numbers that were given out here, so they fit.
        let request = |id: &RequestId| u32::try_from(id.0).map_or("", |n| self.requests.name(n));
        let written = match action {
            Action::Send {
                part,
                server,
                timeout,
            } => {
                let node = self.servers.name(server.0);
                writeln!(
                    out,
                    "submit_to {who} {} {} {node}",
                    request(part),
                    to_ms(*timeout)
                )
            }
            Action::Cancel { part, attempt } => {
                writeln!(out, "withdraw {who} {} {attempt}", request(part))
            }
            Action::Answer {
                query,
                complete: whole,
            } => {
                writeln!(out, "wrap_up {who} {} {}", request(query), u8::from(*whole))
            }
            Action::Reject {
                query, retry_after, ..
            } => {
                let after = retry_after.map_or("-".to_owned(), |d| to_ms(d).to_string());
                writeln!(out, "push_back {who} {} {after}", request(query))
            }
            Action::Fail { query, .. } => writeln!(out, "finish_error {who} {}", request(query)),
            Action::Probe { server } => {
                writeln!(out, "sample {who} {}", self.servers.name(server.0))
            }
            Action::CloseIdleConnections { server } => {
                writeln!(out, "release {who} {}", self.servers.name(server.0))
            }
            Action::Subscribe => writeln!(out, "keep_informed {who} 1"),
            Action::Wake { after } => writeln!(out, "arm {who} {} tick", to_ms(*after)),
        };
        written.expect("writing to a string");
    }
}
