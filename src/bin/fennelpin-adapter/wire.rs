//! The wire: lines of text to events, actions to lines, the settings from JSON. Decides nothing.

use fennelpin::*;
use serde::Deserialize;
use std::collections::HashMap;
use std::fmt::Write;
use std::time::Duration;

/// A plain message on what is wrong with the input.
pub type Result<T> = std::result::Result<T, String>;

/// Milliseconds of the wire to a duration, at the wire's own resolution of a microsecond.
pub fn from_ms(ms: f64) -> Duration {
    Duration::from_micros((ms * 1000.0).round().max(0.0) as u64)
}

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
        let (what, rest) = line.split_once(' ').map_or((line, None), |(w, r)| (w, Some(r)));
        Self { what, rest }
    }

    /// The message's word.
    pub fn what(&self) -> &'a str {
        self.what
    }

    /// The next value as text; `None` if it is absent.
    pub fn optional(&mut self) -> Option<&'a str> {
        let (value, rest) = self.rest?.split_once(' ').map_or((self.rest?, None), |(v, r)| (v, Some(r)));
        self.rest = rest;
        (value != "-").then_some(value)
    }

    /// The next value as text.
    pub fn text(&mut self, name: &str) -> Result<&'a str> {
        let what = self.what;
        self.optional().ok_or_else(|| format!("{what}: '{name}' is missing"))
    }

    /// The next value, parsed.
    pub fn value<T: std::str::FromStr>(&mut self, name: &str) -> Result<T> {
        let what = self.what;
        let text = self.text(name)?;
        text.parse().map_err(|_| format!("{what}: '{name}' can't be read from '{text}'"))
    }

    /// The next value, a finite number.
    pub fn number(&mut self, name: &str) -> Result<f64> {
        let what = self.what;
        let n: f64 = self.value(name)?;
        n.is_finite().then_some(n).ok_or_else(|| format!("{what}: '{name}' is not a finite number"))
    }

    /// All that is left of the line.
    pub fn tail(&mut self, name: &str) -> Result<&'a str> {
        self.rest.take().ok_or_else(|| format!("{}: '{name}' is missing", self.what))
    }
}

#[derive(Deserialize)]
struct RawSettings {
    #[serde(default)]
    az: Option<String>,
    balancers: u32,
    #[serde(default)]
    caps: RawCaps,
    classes: Vec<RawClass>,
    #[serde(default)]
    clients: RawClients,
    #[serde(default)]
    costs: RawCosts,
    family_info: RawFamily,
    #[serde(default)]
    registry_mode: String,
    #[serde(default)]
    safety: RawSafety,
    #[serde(default)]
    stats: RawStats,
    step: f64,
    #[serde(default)]
    tenants: Vec<RawTenant>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawCaps {
    max_attempts: Option<u32>,
    max_retry_after: f64,
    may_cancel: bool,
    probes: bool,
    retry_after: bool,
    second_copies: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawClients {
    marks_retry: bool,
}

#[derive(Deserialize)]
struct RawClass {
    goal_time: f64,
    hard_limit: f64,
    idempotency: String,
    #[serde(default)]
    late_worth: f64,
    name: String,
    #[serde(default)]
    window: f64,
    #[serde(default = "one")]
    worth: f64,
}

fn one() -> f64 {
    1.0
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawCosts {
    cross_zone: f64,
}

#[derive(Deserialize)]
struct RawFamily {
    #[serde(default)]
    bundle_max: Option<u32>,
    #[serde(default)]
    call_cost: f64,
    #[serde(default)]
    class_fetch: Vec<u32>,
    #[serde(default)]
    class_floor: Vec<f64>,
    #[serde(default)]
    class_need: Vec<f64>,
    #[serde(default)]
    partial_earns: Vec<f64>,
    sets: u32,
    width: u32,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawSafety {
    budget_share: Option<f64>,
    budget_span: Option<f64>,
    free_resends: f64,
    cold_share: Option<f64>,
    ramp_time: Option<f64>,
    fall_multiple: Option<f64>,
    tip_after: Option<f64>,
    must_ask_in: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawStats {
    names: Vec<String>,
}

#[derive(Deserialize)]
struct RawTenant {
    name: String,
    #[serde(default)]
    portion: f64,
    #[serde(default)]
    quota_per_s: Option<f64>,
}

/// Names to numbers in the order of their first appearance, and back.
#[derive(Default)]
pub struct Names {
    numbers: HashMap<String, u32>,
    names: Vec<String>,
}

impl Names {
    /// The number of a name, given out if it is new.
    pub fn number(&mut self, name: &str) -> u32 {
        if let Some(n) = self.numbers.get(name) {
            return *n;
        }
        let n = self.names.len() as u32;
        self.names.push(name.to_owned());
        self.numbers.insert(name.to_owned(), n);
        n
    }

    /// The number of a name known already.
    pub fn find(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    fn name(&self, n: u32) -> &str {
        &self.names[n as usize]
    }
}

/// The words of one instance: nothing here is shared between instances.
#[derive(Default)]
pub struct Words {
    requests: Names,
    queries: HashMap<String, RequestId>,
    servers: Names,
    zones: Names,
    classes: Names,
    tenants: Names,
    stats: Vec<String>,
    marks_retry: bool,
}

/// Reads the settings of a `start`.
pub fn settings(json: &str) -> Result<(Settings, Words)> {
    let raw: RawSettings = serde_json::from_str(json).map_err(|e| format!("start: 'options': {e}"))?;
    let mut words =
        Words { stats: raw.stats.names, marks_retry: raw.clients.marks_retry, ..Words::default() };
    let family = &raw.family_info;
    let mut classes = Vec::new();
    for (n, c) in raw.classes.iter().enumerate() {
        let repeat = match c.idempotency.as_str() {
            "retryable" => Repeat::Safe,
            "dedup" => Repeat::Keyed(from_ms(c.window)),
            "fragile" => Repeat::Unsafe,
            other => return Err(format!("start: 'options': 'idempotency' can't be '{other}'")),
        };
        words.classes.number(&c.name);
        let at = |v: &[f64]| v.get(n).copied().unwrap_or(1.0);
        classes.push(Class {
            goal: from_ms(c.goal_time),
            limit: from_ms(c.hard_limit),
            late_worth: c.late_worth,
            worth: c.worth,
            repeat,
            need: at(&family.class_need),
            floor: at(&family.class_floor),
            partial_earns: at(&family.partial_earns),
            second_step: family.class_fetch.get(n).copied().unwrap_or(0),
        });
    }
    if family.sets == 0 || family.width == 0 {
        return Err("start: 'options': 'sets' and 'width' must be above 0".into());
    }
    let tenant = |t: &RawTenant| {
        words.tenants.number(&t.name);
        Tenant { portion: t.portion, quota_per_s: t.quota_per_s.unwrap_or(f64::INFINITY) }
    };
    let tenants = raw.tenants.iter().map(tenant).collect();
    let (s, caps) = (raw.safety, raw.caps);
    let budget = s.budget_share.zip(s.budget_span).map(|(share, span)| Budget {
        free: s.free_resends,
        share,
        span: from_ms(span),
    });
    let cold = s.cold_share.zip(s.ramp_time).map(|(share, ramp)| ColdRule {
        share,
        ramp: from_ms(ramp),
        fall_multiple: s.fall_multiple.unwrap_or(1.0),
        tip_after: from_ms(s.tip_after.unwrap_or(0.0)),
    });
    let must_ask_in =
        (raw.registry_mode == "on_request").then(|| s.must_ask_in.map_or(Duration::from_secs(10), from_ms));
    let settings = Settings {
        classes,
        tenants,
        routers: raw.balancers,
        zone: raw.az.map(|z| ZoneId(words.zones.number(&z))),
        zone_cost: raw.costs.cross_zone > 0.0,
        layout: Layout { cells: family.sets, width: family.width },
        bundle_max: family.bundle_max.unwrap_or(1),
        call_cost: from_ms(family.call_cost),
        max_attempts: caps.max_attempts.unwrap_or(1),
        second_copies: caps.second_copies,
        may_cancel: caps.may_cancel,
        probes: caps.probes,
        retry_after_max: caps.retry_after.then(|| from_ms(caps.max_retry_after)),
        budget,
        cold,
        must_ask_in,
        step: from_ms(raw.step),
    };
    Ok((settings, words))
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
        return Err(format!("snapshot_rows: an 'm' line is missing before '{}'", f.what()));
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
    let boot = f.optional().and_then(|b| b.parse().ok()).filter(|b| *b > 0.0);
    Ok(RawEntry { node, zone, cell, state, boot })
}

fn outcome(code: &str) -> Result<Outcome> {
    Ok(match code {
        "200" => Outcome::Ok,
        "500" => Outcome::Error,
        "503" => Outcome::Full,
        "504" => Outcome::Timeout,
        "502" => Outcome::ConnectFailed,
        "598" => Outcome::Reset,
        "499" => Outcome::Cancelled,
        "410" => Outcome::Moot,
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
                    server: ServerId(self.servers.number(&e.node)),
                    zone: ZoneId(self.zones.number(&e.zone)),
                    cell: e.cell,
                    state: e.state,
                    boot: e.boot.map(from_ms),
                });
            }
        }
        Ok(Event::List { kind, entries })
    }

    fn report(&self, row: Option<&str>) -> Option<LoadReport> {
        let mut report = LoadReport::default();
        for (name, value) in self.stats.iter().zip(row?.split(',')) {
            let value = value.parse().ok().filter(|v: &f64| v.is_finite());
            match name.as_str() {
                "busy_reqs" => report.inflight = value,
                "pending" => report.queue = value,
                "cpu_share" => report.busy = value,
                _ => {}
            }
        }
        Some(report)
    }

    /// Reads an event of a running instance; `None` for one that says nothing to the module.
    pub fn event(&mut self, f: &mut Fields) -> Result<Option<Event>> {
        Ok(Some(match f.what() {
            "job_in" => {
                let xid = f.text("xid")?;
                let band = f.text("band")?;
                let class = self.classes.find(band).map(ClassId);
                let class = class.ok_or_else(|| format!("job_in: 'band' names no class: '{band}'"))?;
                let tenant = f.optional().and_then(|t| self.tenants.find(t)).map(TenantId);
                f.optional();
                let deadline = from_ms(f.number("client_deadline")?);
                f.optional();
                let whole = f.text("whole_no")?.to_owned();
                let shard = f.number("shard")?;
                let id = RequestId(self.requests.number(xid));
                let weight = f.number("size_or_weight")?;
                if shard < 0.0 {
                    let bits = f.optional().and_then(|b| b.parse::<u32>().ok());
                    let repeat = bits.filter(|_| self.marks_retry).map(|b| b & 2 != 0);
                    self.queries.insert(whole, id);
                    Event::Query { id, class, tenant, deadline, repeat }
                } else {
                    let Some(query) = self.queries.get(&whole).copied() else { return Ok(None) };
                    Event::Part { id, query, shard: shard as u32, weight }
                }
            }
            "attempt_end" => {
                let part = self.requests.find(f.text("xid")?).map(RequestId);
                let attempt = f.value("hop")?;
                f.text("node")?;
                let outcome = outcome(f.text("how")?).map_err(|e| format!("attempt_end: {e}"))?;
                let latency = from_ms(f.number("latency")?);
                let closed = f.text("closed")? == "1";
                let report = self.report(f.optional());
                let Some(part) = part else { return Ok(None) };
                Event::AttemptEnd { part, attempt, outcome, latency, closed, report }
            }
            "withdrawn" => match self.requests.find(f.text("xid")?) {
                Some(n) => Event::Withdrawn { query: RequestId(n) },
                None => return Ok(None),
            },
            "check_result" => {
                let outcome = outcome(f.text("how")?).map_err(|e| format!("check_result: {e}"))?;
                f.number("latency")?;
                let server = self.servers.find(f.text("node")?).map(ServerId);
                let report = self.report(f.optional());
                let Some(server) = server else { return Ok(None) };
                Event::Probed { server, outcome, report }
            }
            "wake" => {
                f.text("handle")?;
                Event::Wake
            }
            "accepted" | "memo" => return Ok(None),
            other => return Err(format!("unknown event '{other}'")),
        }))
    }

    /// Writes an action of instance `who` as a line.
    pub fn action(&self, who: u32, action: &Action, out: &mut String) {
        let request = |id: &RequestId| self.requests.name(id.0);
        let written = match action {
            Action::Send { part, server, timeout } => {
                let node = self.servers.name(server.0);
                writeln!(out, "submit_to {who} {} {} {node}", request(part), to_ms(*timeout))
            }
            Action::Cancel { part, attempt } => writeln!(out, "withdraw {who} {} {attempt}", request(part)),
            Action::Answer { query, whole } => {
                writeln!(out, "wrap_up {who} {} {}", request(query), u8::from(*whole))
            }
            Action::Refuse { query, retry_after } => {
                let after = retry_after.map_or("-".to_owned(), |d| to_ms(d).to_string());
                writeln!(out, "push_back {who} {} {after}", request(query))
            }
            Action::Fail { query } => writeln!(out, "finish_error {who} {}", request(query)),
            Action::Probe { server } => writeln!(out, "sample {who} {}", self.servers.name(server.0)),
            Action::Release { server } => writeln!(out, "release {who} {}", self.servers.name(server.0)),
            Action::Subscribe => writeln!(out, "keep_informed {who} 1"),
            Action::Wake { after } => writeln!(out, "arm {who} {} tick", to_ms(*after)),
        };
        written.expect("writing to a string");
    }
}
