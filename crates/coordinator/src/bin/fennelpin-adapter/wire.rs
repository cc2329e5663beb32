//! The simulator's wire: lines of text to events, actions to lines, the settings from JSON. Decides
//! nothing.

use crate::error::WireError;
use crate::fields::Fields;
use coordinator::core::names::NameTable;
use coordinator::core::settings::{self, from_ms, load_report};
use coordinator::peers::GossipSettings;
use coordinator::{
    Action, ClassId, Event, ListKind, LoadReport, Outcome, RequestId, RouterSettings, ServerEntry,
    ServerId, ServerState, TenantId, ZoneId,
};
use std::collections::HashMap;
use std::fmt::Write;
use std::time::Duration;

/// Bit of a query's flags that marks a client's retry.
const RETRY_FLAG: u32 = 2;

/// The names on the wire of one instance and the numbers that the decision module knows them by.
/// Nothing here is shared between instances.
#[derive(Default)]
pub struct WireNames {
    requests: NameTable,
    /// Queries by their number on the wire.
    queries: HashMap<String, RequestId>,
    servers: NameTable,
    zones: NameTable,
    classes: Vec<String>,
    tenants: Vec<String>,
    report_values: Vec<String>,
    clients_mark_retries: bool,
    /// How instances may publish their load to each other, if they may.
    pub gossip: Option<GossipSettings>,
}

/// An entry of a server list, not yet in any instance's numbers.
pub struct RawEntry {
    node: String,
    zone: String,
    cell: u32,
    state: ServerState,
    started_at_ms: Option<f64>,
}

/// Reads the settings of a `start`.
///
/// # Errors
/// See [`settings::read`].
pub fn read_settings(json: &str) -> Result<(RouterSettings, WireNames), WireError> {
    let site = settings::read(json)?;
    let names = WireNames {
        zones: site.zones,
        classes: site.classes,
        tenants: site.tenants,
        report_values: site.report_values,
        clients_mark_retries: site.clients_mark_retries,
        gossip: site.gossip,
        ..WireNames::default()
    };
    Ok((site.router, names))
}

/// Reads an `m` line: an entry of a server list.
///
/// # Errors
/// If it is another line, or a value is missing or unreadable.
pub fn read_entry(fields: &mut Fields) -> Result<RawEntry, WireError> {
    if fields.word() != "m" {
        return Err(WireError::EntryExpected(fields.word().to_owned()));
    }
    let node = fields.text("node")?.to_owned();
    let zone = fields.text("area")?.to_owned();
    fields.skip();
    let cell = fields.value("position")?;
    let state = match fields.text("availability")? {
        "0" => ServerState::Gone,
        "1" => ServerState::Ready,
        "2" => ServerState::Draining,
        other => return Err(unknown("m", "availability", other)),
    };
    fields.skip();
    let started_at_ms = fields
        .optional()
        .and_then(|ms| ms.parse().ok())
        .filter(|ms| *ms > 0.0);
    Ok(RawEntry {
        node,
        zone,
        cell,
        state,
        started_at_ms,
    })
}

fn unknown(message: &'static str, field: &'static str, value: &str) -> WireError {
    WireError::Unknown {
        message,
        field,
        value: value.to_owned(),
    }
}

/// Reads how an attempt or a probe ended, a status code.
fn read_outcome(fields: &mut Fields, message: &'static str) -> Result<Outcome, WireError> {
    Ok(match fields.text("how")? {
        "200" => Outcome::Ok,
        "500" => Outcome::Error,
        "503" => Outcome::Rejected,
        "504" => Outcome::Timeout,
        "502" => Outcome::ConnectFailed,
        "598" => Outcome::Reset,
        "499" => Outcome::Cancelled,
        "410" => Outcome::NotSent,
        other => return Err(unknown(message, "how", other)),
    })
}

impl WireNames {
    /// The update of the server list for this instance.
    ///
    /// # Errors
    /// If the kind of list is unknown.
    pub fn server_list(&mut self, kind: &str, raw: &[RawEntry]) -> Result<Event, WireError> {
        let kind = match kind {
            "0" => ListKind::Changes,
            "1" => ListKind::Full,
            "2" => ListKind::Cached,
            "3" => ListKind::Failed,
            other => return Err(unknown("roster_change", "scope", other)),
        };
        let mut entries = Vec::new();
        if kind != ListKind::Failed {
            entries.extend(raw.iter().map(|entry| self.server_entry(entry)));
        }
        Ok(Event::ServerList { kind, entries })
    }

    fn server_entry(&mut self, raw: &RawEntry) -> ServerEntry {
        ServerEntry {
            server: ServerId(self.servers.number_or_insert(&raw.node)),
            zone: ZoneId(self.zones.number_or_insert(&raw.zone)),
            cell: raw.cell,
            state: raw.state,
            started_at: raw.started_at_ms.map(from_ms),
        }
    }

    /// The name of a server.
    pub fn server(&self, id: ServerId) -> &str {
        self.servers.name(id.0)
    }

    /// Reads an event of a running instance; `None` for one that doesn't concern the decision
    /// module.
    ///
    /// # Errors
    /// If the event is unknown, or a value is missing or unreadable.
    pub fn read_event(&mut self, fields: &mut Fields) -> Result<Option<Event>, WireError> {
        match fields.word() {
            "job_in" => self.read_query_or_part(fields),
            "attempt_end" => self.read_attempt_end(fields),
            "withdrawn" => {
                let query = self.known_request(fields.text("xid")?);
                Ok(query.map(|query| Event::ClientLeft { query }))
            }
            "check_result" => self.read_probe_end(fields),
            "wake" => {
                fields.text("handle")?;
                Ok(Some(Event::Wake))
            }
            "accepted" => Ok(None),
            other => Err(WireError::UnknownEvent(other.to_owned())),
        }
    }

    /// Reads a query, or with a shard of 0 and above a part of one.
    fn read_query_or_part(&mut self, fields: &mut Fields) -> Result<Option<Event>, WireError> {
        let xid = fields.text("xid")?;
        let class = self.class(fields.text("band")?)?;
        let tenant = fields.optional().and_then(|name| self.tenant(name));
        fields.skip();
        let deadline = from_ms(fields.number("client_deadline")?);
        fields.skip();
        let query_number = fields.text("whole_no")?.to_owned();
        let shard = fields.number("shard")?;
        let id = RequestId(self.requests.number_or_insert(xid).into());
        let weight = fields.number("size_or_weight")?;
        if shard >= 0.0 {
            let query = self.queries.get(&query_number).copied();
            return Ok(query.map(|query| Event::Part {
                id,
                query,
                shard: shard as u32,
                weight,
            }));
        }
        let flags = fields.optional().and_then(|bits| bits.parse::<u32>().ok());
        let is_retry = flags
            .filter(|_| self.clients_mark_retries)
            .map(|bits| bits & RETRY_FLAG != 0);
        self.queries.insert(query_number, id);
        Ok(Some(Event::Query {
            id,
            class,
            tenant,
            arrived_at: None,
            deadline,
            is_retry,
        }))
    }

    fn read_attempt_end(&self, fields: &mut Fields) -> Result<Option<Event>, WireError> {
        let part = self.known_request(fields.text("xid")?);
        let attempt = fields.value("hop")?;
        fields.text("node")?;
        let outcome = read_outcome(fields, "attempt_end")?;
        let latency = from_ms(fields.number("latency")?);
        let closed = fields.text("closed")? == "1";
        let report = self.load_report(fields.optional());
        Ok(part.map(|part| Event::AttemptEnded {
            part,
            attempt,
            outcome,
            latency,
            closed,
            report,
        }))
    }

    fn read_probe_end(&self, fields: &mut Fields) -> Result<Option<Event>, WireError> {
        let outcome = read_outcome(fields, "check_result")?;
        fields.number("latency")?;
        let server = self.servers.number(fields.text("node")?).map(ServerId);
        let report = self.load_report(fields.optional());
        Ok(server.map(|server| Event::ProbeEnded {
            server,
            outcome,
            report,
        }))
    }

    fn class(&self, name: &str) -> Result<ClassId, WireError> {
        self.classes
            .iter()
            .position(|class| class == name)
            .map(|index| ClassId(index as u32))
            .ok_or_else(|| WireError::UnknownClass(name.to_owned()))
    }

    fn tenant(&self, name: &str) -> Option<TenantId> {
        let index = self.tenants.iter().position(|tenant| tenant == name)?;
        Some(TenantId(index as u32))
    }

    fn known_request(&self, xid: &str) -> Option<RequestId> {
        self.requests
            .number(xid)
            .map(|number| RequestId(number.into()))
    }

    fn load_report(&self, row: Option<&str>) -> Option<LoadReport> {
        let names = self.report_values.iter().map(String::as_str);
        load_report(names.zip(row?.split(',')))
    }

    /// Writes an action of an instance as a line.
    pub fn write_action(&self, instance: u32, action: &Action, out: &mut String) {
        let who = instance;
        let written = match action {
            Action::Send {
                part,
                server,
                timeout,
            } => {
                let (xid, ms, node) = (self.request(*part), to_ms(*timeout), self.server(*server));
                writeln!(out, "submit_to {who} {xid} {ms} {node}")
            }
            Action::Cancel { part, attempt } => {
                writeln!(out, "withdraw {who} {} {attempt}", self.request(*part))
            }
            Action::Answer { query, complete } => {
                let complete = u8::from(*complete);
                writeln!(out, "wrap_up {who} {} {complete}", self.request(*query))
            }
            Action::Reject {
                query, retry_after, ..
            } => {
                let after = retry_after.map_or("-".to_owned(), |d| to_ms(d).to_string());
                writeln!(out, "push_back {who} {} {after}", self.request(*query))
            }
            Action::Fail { query, .. } => {
                writeln!(out, "finish_error {who} {}", self.request(*query))
            }
            Action::Probe { server } => writeln!(out, "sample {who} {}", self.server(*server)),
            Action::CloseIdleConnections { server } => {
                writeln!(out, "release {who} {}", self.server(*server))
            }
            Action::Subscribe => writeln!(out, "keep_informed {who} 1"),
            Action::Wake { after } => writeln!(out, "arm {who} {} tick", to_ms(*after)),
        };
        written.expect("writing to a string");
    }

    /// The name of a query or part. Its number was given out here, so it fits.
    fn request(&self, id: RequestId) -> &str {
        u32::try_from(id.0).map_or("", |number| self.requests.name(number))
    }
}

fn to_ms(time: Duration) -> f64 {
    time.as_micros() as f64 / 1000.0
}
