//! OpenSearch's protocol with district hosts: `_search` for a call of one part, `_msearch` for a call of several. Each
//! search names its shard by `preference`.

use crate::core::{AttemptEnd, CoreMessage, PartRequest};
use crate::interface::{Outcome, RequestId};
use crate::net::buffered_stream::BufferedStream;
use crate::net::http::{response_head, Body, HttpError};
use crate::net::link::{
    remove_queued_attempt, Dialect, LinkCommand, LinkSetup, LinkTask, CANCEL_REPORT_DELAY,
};
use bytes::Bytes;
use serde::de::IgnoredAny;
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{json, Map, Value};
use std::collections::VecDeque;
use std::time::Instant;

/// Size of a connection's input buffer, in bytes.
const INPUT_BUFFER_BYTES: usize = 32 * 1024;
/// Size of a connection's output buffer, in bytes.
const OUTPUT_BUFFER_BYTES: usize = 32 * 1024;
/// Maximum size of a host's response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 512 * 1024;

/// The payload of a part: the index on the first line, the search as JSON on the second.
pub fn payload(index: &str, search: &Map<String, Value>) -> Bytes {
    let body = serde_json::to_string(search).unwrap_or_default();
    Bytes::from(format!("{index}\n{body}"))
}

/// Parses a part's payload into its index and search, with the remaining time added as the search's `timeout`.
fn parse_payload(part: &PartRequest, now: Instant) -> Option<(String, String)> {
    let (index, body) = std::str::from_utf8(&part.payload).ok()?.split_once('\n')?;
    let mut body: Map<String, Value> = serde_json::from_str(body).ok()?;
    let left = part
        .times_out_at
        .saturating_duration_since(now)
        .as_millis()
        .max(1);
    body.insert("timeout".into(), format!("{left}ms").into());
    Some((index.to_owned(), Value::Object(body).to_string()))
}

/// The HTTP request for a call; `None` if a payload can't be parsed. All its parts have the same idempotency key, if
/// any.
fn request_bytes(parts: &[PartRequest], host: &str, now: Instant) -> Option<Vec<u8>> {
    let (target, kind, body) = match parts {
        [part] => {
            let (index, body) = parse_payload(part, now)?;
            (
                format!("/{index}/_search?preference=_shards:{}", part.shard),
                "json",
                body,
            )
        }
        parts => {
            let mut lines = String::new();
            for p in parts {
                let (index, body) = parse_payload(p, now)?;
                let head = json!({"index": index, "preference": format!("_shards:{}", p.shard)});
                lines.push_str(&format!("{head}\n{body}\n"));
            }
            ("/_msearch".to_owned(), "x-ndjson", lines)
        }
    };
    let first = parts.first()?;
    let key = first
        .idempotency_key
        .as_ref()
        .map_or(String::new(), |k| format!("Idempotency-Key: {k}\r\n"));
    let head = format!(
        "POST {target} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/{kind}\r\n\
         X-Opaque-Id: {}\r\n{key}Content-Length: {}\r\n\r\n",
        first.query_name,
        body.len()
    );
    Some([head.into_bytes(), body.into_bytes()].concat())
}

#[derive(Deserialize)]
struct MultiSearchResponse<'a> {
    #[serde(borrow)]
    responses: Vec<&'a RawValue>,
}

/// The fields of a search response that show whether it is complete.
#[derive(Deserialize)]
struct ResponseStatus {
    status: Option<u16>,
    #[serde(default)]
    timed_out: bool,
    #[serde(default, rename = "_shards")]
    shards: ShardCounts,
    hits: Option<IgnoredAny>,
}

#[derive(Deserialize, Default)]
struct ShardCounts {
    #[serde(default)]
    failed: u64,
}

/// The outcome of a part by the response's status. Only status 429 proves that the part never ran.
fn outcome_of_status(status: u16) -> Outcome {
    match status {
        200 => Outcome::Ok,
        429 => Outcome::Rejected,
        _ => Outcome::Error,
    }
}

/// The outcome and value of one part. A response without hits, or marked as incomplete by the host, must not count as
/// the district's whole answer: it is an error, after which another host may be call_parts.
fn read_part(status: u16, body: &[u8]) -> (Outcome, Option<Bytes>) {
    let response = serde_json::from_slice::<ResponseStatus>(body).ok();
    let status = response.as_ref().and_then(|c| c.status).unwrap_or(status);
    let is_complete = |c: &ResponseStatus| c.hits.is_some() && !c.timed_out && c.shards.failed == 0;
    match outcome_of_status(status) {
        Outcome::Ok if response.as_ref().is_some_and(is_complete) => {
            (Outcome::Ok, Some(Bytes::copy_from_slice(body)))
        }
        Outcome::Ok => (Outcome::Error, None),
        other => (other, None),
    }
}

/// The outcome and value of each part of a call.
fn read_parts(parts: usize, status: u16, body: &Bytes) -> Vec<(Outcome, Option<Bytes>)> {
    if parts == 1 {
        return vec![read_part(status, body)];
    }
    let many = serde_json::from_slice::<MultiSearchResponse>(body)
        .ok()
        .filter(|m| m.responses.len() == parts);
    match many {
        Some(many) if status == 200 => many
            .responses
            .iter()
            .map(|r| read_part(500, r.get().as_bytes()))
            .collect(),
        _ if status == 200 => vec![(Outcome::Error, None); parts],
        _ => vec![(outcome_of_status(status), None); parts],
    }
}

/// The [`Dialect`] of OpenSearch's HTTP API.
pub struct OpenSearchHosts;

impl Dialect for OpenSearchHosts {
    fn open(&self, setup: LinkSetup) -> LinkTask {
        Box::pin(run(setup))
    }

    /// Allows one call at a time, as HTTP/1.1 responses are sent in the order of the requests.
    fn room(&self, out: usize, _parts: usize, _streams: usize) -> bool {
        out == 0
    }

    fn max_connections(&self) -> usize {
        10
    }
}

/// One connection to a host.
struct HostLink {
    setup: LinkSetup,
    queue: VecDeque<Vec<PartRequest>>,
    /// Parts of the current request that are not cancelled.
    in_flight: Vec<PartRequest>,
    /// Whether the last byte of the current request was written.
    request_written: bool,
    /// Number of probes that are queued or wait for their response.
    probes: usize,
    /// Cancelled attempts, whose end is reported to the core once the connection is closed.
    cancelled: Vec<(RequestId, u32, Outcome)>,
}

async fn run(setup: LinkSetup) {
    let (addr, within) = (setup.addr.clone(), setup.connect_timeout);
    let mut link = HostLink {
        setup,
        queue: VecDeque::new(),
        in_flight: Vec::new(),
        request_written: false,
        probes: 0,
        cancelled: Vec::new(),
    };
    let (code, detail) =
        match BufferedStream::connect(&addr, within, INPUT_BUFFER_BYTES, OUTPUT_BUFFER_BYTES).await
        {
            Ok(conn) => {
                link.setup.counters.inc("links.opened");
                link.serve(conn).await
            }
            Err(e) => ("connect_failed", e.to_string()),
        };
    link.setup.log_end(code, &detail);
    link.setup.mail.close();
    if !link.cancelled.is_empty() {
        tokio::time::sleep(CANCEL_REPORT_DELAY).await;
    }
    for (part, attempt, outcome) in std::mem::take(&mut link.cancelled) {
        link.setup.ended(part, attempt, outcome);
    }
    // If the connection broke before the last byte was written, the parts never ran; after it, they may have run.
    let outcome = if link.request_written {
        Outcome::Reset
    } else {
        Outcome::ConnectFailed
    };
    for p in std::mem::take(&mut link.in_flight) {
        link.setup.ended(p.part, p.attempt, outcome);
    }
    while let Ok(mail) = link.setup.mail.try_recv() {
        link.handle(mail);
    }
    for p in link.queue.drain(..).flatten() {
        link.setup.ended(p.part, p.attempt, Outcome::ConnectFailed);
    }
    // A probe without a response must not count as answered: the decision module would send parts to the host again.
    if link.probes > 0 {
        link.report_probe(if code == "probe_timeout" {
            Outcome::Timeout
        } else {
            Outcome::ConnectFailed
        });
    }
}

impl HostLink {
    /// Handles one message; returns false if the connection must be closed.
    fn handle(&mut self, mail: LinkCommand) -> bool {
        match mail {
            LinkCommand::Call(mut parts) => {
                // A request has one idempotency key header, so parts with different keys go into separate requests.
                while let Some(first) = parts.first() {
                    let key = first.idempotency_key.clone();
                    let (same, rest) = parts.into_iter().partition(|p| p.idempotency_key == key);
                    self.queue.push_back(same);
                    parts = rest;
                }
            }
            LinkCommand::Cancel(part, attempt, outcome) => {
                let is_cancelled = |p: &PartRequest| (p.part, p.attempt) == (part, attempt);
                if remove_queued_attempt(&mut self.queue, part, attempt) {
                    let unsent_outcome = if outcome == Outcome::Timeout {
                        Outcome::NotSent
                    } else {
                        outcome
                    };
                    self.setup.ended(part, attempt, unsent_outcome);
                }
                if self.in_flight.iter().any(is_cancelled) {
                    self.in_flight.retain(|p| !is_cancelled(p));
                    // HTTP/1.1 requests are cancelled only by closing the connection; the core is told after that.
                    self.cancelled.push((part, attempt, outcome));
                    return false;
                }
            }
            LinkCommand::Retract(part, attempt) => {
                if remove_queued_attempt(&mut self.queue, part, attempt) {
                    self.setup.ended(part, attempt, Outcome::NotSent);
                }
            }
            LinkCommand::Probe => self.probes += 1,
            LinkCommand::StopAt(at) => self.setup.stop_at = at,
            LinkCommand::Release => return !(self.in_flight.is_empty() && self.queue.is_empty()),
        }
        true
    }

    fn report_probe(&mut self, outcome: Outcome) {
        self.probes = 0;
        let _ = self
            .setup
            .core
            .send(CoreMessage::ProbeEnded(self.setup.server, outcome, None));
    }

    /// Requests the host's root path, the cheapest request; any response counts as success.
    async fn probe(&mut self, conn: &mut BufferedStream) -> Result<(), (&'static str, String)> {
        let probe_request = format!("GET / HTTP/1.1\r\nHost: {}\r\n\r\n", self.setup.addr);
        let within = self.setup.connect_timeout;
        match tokio::time::timeout(within, self.exchange(conn, probe_request.as_bytes())).await {
            Ok(Ok(Some(_))) => {
                self.request_written = false;
                self.report_probe(Outcome::Ok);
                Ok(())
            }
            Ok(Ok(None)) => Err(("withdrawn", String::new())),
            Ok(Err(e)) => Err((e.code(), e.to_string())),
            Err(_) => Err(("probe_timeout", String::new())),
        }
    }

    async fn serve(&mut self, mut conn: BufferedStream) -> (&'static str, String) {
        loop {
            let idle = self.setup.idle_limit();
            while self.queue.is_empty() && self.probes == 0 {
                tokio::select! {
                    biased;
                    mail = self.setup.mail.recv() => match mail {
                        Some(mail) => if !self.handle(mail) { return ("released", String::new()) },
                        None => return ("peer_gone", String::new()),
                    },
                    _ = conn.fill() => return ("host_closed", String::new()),
                    _ = tokio::time::sleep(idle) => return ("idle", String::new()),
                }
            }
            // Queued messages are handled before the next byte is sent, so that no call starts whose cancellation has
            // already arrived.
            while let Ok(mail) = self.setup.mail.try_recv() {
                if !self.handle(mail) {
                    return ("released", String::new());
                }
            }
            if self.probes > 0 {
                if let Err(end) = self.probe(&mut conn).await {
                    return end;
                }
                continue;
            }
            let Some(call) = self.queue.pop_front() else {
                continue;
            };
            let now = Instant::now();
            self.in_flight = self.setup.sendable(call, now);
            if self.in_flight.is_empty() {
                continue;
            }
            let call_parts = self.in_flight.clone();
            let Some(bytes) = request_bytes(&call_parts, &self.setup.addr, now) else {
                return ("bad_payload", String::new());
            };
            self.request_written = false;
            let end = match self.exchange(&mut conn, &bytes).await {
                Ok(Some((status, body))) => {
                    self.in_flight.clear();
                    self.request_written = false;
                    self.report_answers(&call_parts, status, &body);
                    continue;
                }
                Ok(None) => ("withdrawn", String::new()),
                Err(e) => (e.code(), e.to_string()),
            };
            return end;
        }
    }

    fn report_answers(&self, parts: &[PartRequest], status: u16, body: &Bytes) {
        for (part, (outcome, value)) in parts.iter().zip(read_parts(parts.len(), status, body)) {
            self.setup.report(AttemptEnd {
                part: part.part,
                attempt: part.attempt,
                outcome,
                value,
                report: None,
            });
        }
    }

    /// Sends one request and reads its response. Returns `None` if the connection must be closed for a message from the
    /// core, such as a cancellation.
    async fn exchange(
        &mut self,
        conn: &mut BufferedStream,
        bytes: &[u8],
    ) -> Result<Option<(u16, Bytes)>, HttpError> {
        let mut sent = 0;
        while sent < bytes.len() || !conn.output.is_empty() {
            sent += conn.output.put(&bytes[sent..]);
            conn.push()?;
            if conn.output.is_empty() {
                continue;
            }
            tokio::select! {
                ready = conn.stream.writable() => ready?,
                mail = self.setup.mail.recv() => if !mail.is_some_and(|m| self.handle(m)) { return Ok(None) },
            }
        }
        self.request_written = true;
        self.setup
            .counters
            .add("tries", self.in_flight.len() as u64);
        let answer = async {
            let (status, headers) = response_head(conn).await?;
            let body = Body::of_response(&headers)?
                .read_all(conn, MAX_RESPONSE_BYTES)
                .await?;
            Ok((status, body))
        };
        tokio::pin!(answer);
        loop {
            tokio::select! {
                biased;
                done = &mut answer => return done.map(Some),
                mail = self.setup.mail.recv() => if !mail.is_some_and(|m| self.handle(m)) { return Ok(None) },
            }
        }
    }
}
