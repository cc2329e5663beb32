//! Text protocol of the simulator: parses lines into events and settings from JSON, and writes
//! actions as lines.

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

/// Bit in the flags of a query that marks a client's retry.
const RETRY_FLAG: u32 = 2;

/// Mapping between the names that the simulator uses for the objects of one instance and the ids that
/// the decision module uses. It is not shared between instances.
#[derive(Default)]
pub struct WireNames {
    requests: NameTable,
    /// Ids of queries by the simulator's query number.
    queries: HashMap<String, RequestId>,
    servers: NameTable,
    zones: NameTable,
    classes: Vec<String>,
    tenants: Vec<String>,
    report_values: Vec<String>,
    clients_mark_retries: bool,
    /// Settings for publishing load to other instances; `None` if that is off.
    pub gossip: Option<GossipSettings>,
}

/// An entry of a server list, with the simulator's names.
pub struct RawServerEntry {
    node: String,
    zone: String,
    cell: u32,
    state: ServerState,
    started_at_ms: Option<f64>,
}

/// Reads the settings of a `start` message.
///
/// # Errors
/// See [`settings::read`].
pub fn read_settings(json: &str) -> Result<(RouterSettings, WireNames), WireError> {
    let parsed = settings::read(json)?;
    let names = WireNames {
        zones: parsed.zones,
        classes: parsed.classes,
        tenants: parsed.tenants,
        report_values: parsed.report_values,
        clients_mark_retries: parsed.clients_mark_retries,
        gossip: parsed.gossip,
        ..WireNames::default()
    };
    Ok((parsed.router, names))
}

/// Reads an `m` message: an entry of a server list.
///
/// # Errors
/// If it is another message, or a value is missing or invalid.
pub fn read_server_entry(fields: &mut Fields) -> Result<RawServerEntry, WireError> {
    if fields.message_type() != "m" {
        return Err(WireError::EntryExpected(fields.message_type().to_owned()));
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
    Ok(RawServerEntry {
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

/// Reads the outcome of an attempt or a probe from its status code.
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
    /// Builds an update of the server list for this instance.
    ///
    /// # Errors
    /// If the kind of update is unknown.
    pub fn server_list(
        &mut self,
        kind: &str,
        raw_entries: &[RawServerEntry],
    ) -> Result<Event, WireError> {
        let kind = match kind {
            "0" => ListKind::Changes,
            "1" => ListKind::Full,
            "2" => ListKind::Cached,
            "3" => ListKind::Failed,
            other => return Err(unknown("roster_change", "scope", other)),
        };
        let mut entries = Vec::new();
        if kind != ListKind::Failed {
            entries.extend(raw_entries.iter().map(|entry| self.server_entry(entry)));
        }
        Ok(Event::ServerList { kind, entries })
    }

    fn server_entry(&mut self, raw_entry: &RawServerEntry) -> ServerEntry {
        ServerEntry {
            server: ServerId(self.servers.number_or_insert(&raw_entry.node)),
            zone: ZoneId(self.zones.number_or_insert(&raw_entry.zone)),
            cell: raw_entry.cell,
            state: raw_entry.state,
            started_at: raw_entry.started_at_ms.map(from_ms),
        }
    }

    /// Returns the simulator's name of a server.
    pub fn server(&self, id: ServerId) -> &str {
        self.servers.name(id.0)
    }

    /// Reads an event of a running instance; `None` if it doesn't concern the decision module.
    ///
    /// # Errors
    /// If the event is unknown, or a value is missing or invalid.
    pub fn read_event(&mut self, fields: &mut Fields) -> Result<Option<Event>, WireError> {
        match fields.message_type() {
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

    /// Reads a query, or a part of one if the shard is not negative.
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

    /// Appends an action of an instance to `out` as a line.
    pub fn write_action(&self, instance_id: u32, action: &Action, out: &mut String) {
        let instance = instance_id;
        let written = match action {
            Action::Send {
                part,
                server,
                timeout,
            } => {
                let (xid, ms, node) = (self.request(*part), to_ms(*timeout), self.server(*server));
                writeln!(out, "submit_to {instance} {xid} {ms} {node}")
            }
            Action::Cancel { part, attempt } => {
                writeln!(out, "withdraw {instance} {} {attempt}", self.request(*part))
            }
            Action::Answer { query, complete } => {
                let complete = u8::from(*complete);
                writeln!(
                    out,
                    "wrap_up {instance} {} {complete}",
                    self.request(*query)
                )
            }
            Action::Reject {
                query, retry_after, ..
            } => {
                let after = retry_after.map_or("-".to_owned(), |d| to_ms(d).to_string());
                writeln!(out, "push_back {instance} {} {after}", self.request(*query))
            }
            Action::Fail { query, .. } => {
                writeln!(out, "finish_error {instance} {}", self.request(*query))
            }
            Action::Probe { server } => writeln!(out, "sample {instance} {}", self.server(*server)),
            Action::CloseIdleConnections { server } => {
                writeln!(out, "release {instance} {}", self.server(*server))
            }
            Action::Subscribe => writeln!(out, "keep_informed {instance} 1"),
            Action::Wake { after } => writeln!(out, "arm {instance} {} tick", to_ms(*after)),
        };
        written.expect("writing to a string");
    }

    /// Returns the simulator's name of a query or part. Its id was assigned here, so it is in range.
    fn request(&self, id: RequestId) -> &str {
        u32::try_from(id.0).map_or("", |number| self.requests.name(number))
    }
}

fn to_ms(time: Duration) -> f64 {
    time.as_micros() as f64 / 1000.0
}
