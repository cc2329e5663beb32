//! The OpenSearch dialect towards district hosts: `_search` for one part, `_msearch` for a call of
//! several, each naming its shard by `preference`.

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

const INPUT: usize = 32 * 1024;
const OUTPUT: usize = 32 * 1024;
/// Largest answer taken from a host.
const MOST_ANSWER: usize = 512 * 1024;

/// What a part carries for any dialect: the index on one line, the search on the next.
pub fn payload(index: &str, search: &Map<String, Value>) -> Bytes {
    let body = serde_json::to_string(search).unwrap_or_default();
    Bytes::from(format!("{index}\n{body}"))
}

/// Reads a payload back, adding the time left as the host's own `timeout`.
fn search_of(part: &PartRequest, now: Instant) -> Option<(String, String)> {
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

/// The request for a call. All its parts have the same key, if any.
fn request(parts: &[PartRequest], host: &str, now: Instant) -> Option<Vec<u8>> {
    let (target, kind, body) = match parts {
        [part] => {
            let (index, body) = search_of(part, now)?;
            (
                format!("/{index}/_search?preference=_shards:{}", part.shard),
                "json",
                body,
            )
        }
        parts => {
            let mut lines = String::new();
            for p in parts {
                let (index, body) = search_of(p, now)?;
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
struct Many<'a> {
    #[serde(borrow)]
    responses: Vec<&'a RawValue>,
}

/// What a host's answer says of its own worth.
#[derive(Deserialize)]
struct Checked {
    status: Option<u16>,
    #[serde(default)]
    timed_out: bool,
    #[serde(default, rename = "_shards")]
    shards: Shards,
    hits: Option<IgnoredAny>,
}

#[derive(Deserialize, Default)]
struct Shards {
    #[serde(default)]
    failed: u64,
}

/// How a host's status ends a part: only a refusal at its door proves that the part never ran.
fn outcome(status: u16) -> Outcome {
    match status {
        200 => Outcome::Ok,
        429 => Outcome::Rejected,
        _ => Outcome::Error,
    }
}

/// One part's outcome and value. An answer without hits, or one that the host itself marks as cut short,
/// must not pass for the whole of its district: it counts as an error, and another host may be asked.
fn part(status: u16, body: &[u8]) -> (Outcome, Option<Bytes>) {
    let checked = serde_json::from_slice::<Checked>(body).ok();
    let status = checked.as_ref().and_then(|c| c.status).unwrap_or(status);
    let whole = |c: &Checked| c.hits.is_some() && !c.timed_out && c.shards.failed == 0;
    match outcome(status) {
        Outcome::Ok if checked.as_ref().is_some_and(whole) => {
            (Outcome::Ok, Some(Bytes::copy_from_slice(body)))
        }
        Outcome::Ok => (Outcome::Error, None),
        other => (other, None),
    }
}

/// The outcome and value of each part of a call.
fn read(parts: usize, status: u16, body: &Bytes) -> Vec<(Outcome, Option<Bytes>)> {
    if parts == 1 {
        return vec![part(status, body)];
    }
    let many = serde_json::from_slice::<Many>(body)
        .ok()
        .filter(|m| m.responses.len() == parts);
    match many {
        Some(many) if status == 200 => many
            .responses
            .iter()
            .map(|r| part(500, r.get().as_bytes()))
            .collect(),
        _ if status == 200 => vec![(Outcome::Error, None); parts],
        _ => vec![(outcome(status), None); parts],
    }
}

/// The dialect of OpenSearch.
pub struct OpenSearchHosts;

impl Dialect for OpenSearchHosts {
    fn open(&self, setup: LinkSetup) -> LinkTask {
        Box::pin(run(setup))
    }

    /// One call at a time: an answer in HTTP/1.1 waits for the one before it.
    fn room(&self, out: usize, _parts: usize, _streams: usize) -> bool {
        out == 0
    }

    fn max_connections(&self) -> usize {
        10
    }
}

struct Http {
    setup: LinkSetup,
    queue: VecDeque<Vec<PartRequest>>,
    /// Parts whose request has begun and which are not given up.
    out: Vec<PartRequest>,
    /// Whether the request's last byte is written.
    written: bool,
    /// Probes that wait for their turn, or for their answer.
    probes: usize,
    /// Attempts given up, told to the core once the connection is closed.
    leaving: Vec<(RequestId, u32, Outcome)>,
}

async fn run(setup: LinkSetup) {
    let (addr, within) = (setup.addr.clone(), setup.connect_timeout);
    let mut link = Http {
        setup,
        queue: VecDeque::new(),
        out: Vec::new(),
        written: false,
        probes: 0,
        leaving: Vec::new(),
    };
    let (code, detail) = match BufferedStream::connect(&addr, within, INPUT, OUTPUT).await {
        Ok(conn) => {
            link.setup.counters.inc("links.opened");
            link.serve(conn).await
        }
        Err(e) => ("connect_failed", e.to_string()),
    };
    link.setup.log_end(code, &detail);
    link.setup.mail.close();
    if !link.leaving.is_empty() {
        tokio::time::sleep(CANCEL_REPORT_DELAY).await;
    }
    for (part, attempt, outcome) in std::mem::take(&mut link.leaving) {
        link.setup.ended(part, attempt, outcome);
    }
    // A break before the last byte was written: never ran. After it: it may have.
    let outcome = if link.written {
        Outcome::Reset
    } else {
        Outcome::ConnectFailed
    };
    for p in std::mem::take(&mut link.out) {
        link.setup.ended(p.part, p.attempt, outcome);
    }
    while let Ok(mail) = link.setup.mail.try_recv() {
        link.take(mail);
    }
    for p in link.queue.drain(..).flatten() {
        link.setup.ended(p.part, p.attempt, Outcome::ConnectFailed);
    }
    // A probe that got no answer must not pass for one that did: the module would send parts again.
    if link.probes > 0 {
        link.probed(if code == "probe_timeout" {
            Outcome::Timeout
        } else {
            Outcome::ConnectFailed
        });
    }
}

impl Http {
    /// Takes one message; false if the connection has to be closed for it.
    fn take(&mut self, mail: LinkCommand) -> bool {
        match mail {
            LinkCommand::Call(mut parts) => {
                // A request has one header for the key, so parts with different keys go apart.
                while let Some(first) = parts.first() {
                    let key = first.idempotency_key.clone();
                    let (same, rest) = parts.into_iter().partition(|p| p.idempotency_key == key);
                    self.queue.push_back(same);
                    parts = rest;
                }
            }
            LinkCommand::Cancel(part, attempt, outcome) => {
                let this = |p: &PartRequest| (p.part, p.attempt) == (part, attempt);
                if remove_queued_attempt(&mut self.queue, part, attempt) {
                    let never = if outcome == Outcome::Timeout {
                        Outcome::NotSent
                    } else {
                        outcome
                    };
                    self.setup.ended(part, attempt, never);
                }
                if self.out.iter().any(this) {
                    self.out.retain(|p| !this(p));
                    // HTTP has no withdrawal but the connection's end; the core hears of it after that.
                    self.leaving.push((part, attempt, outcome));
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
            LinkCommand::Release => return !(self.out.is_empty() && self.queue.is_empty()),
        }
        true
    }

    fn probed(&mut self, outcome: Outcome) {
        self.probes = 0;
        let _ = self
            .setup
            .core
            .send(CoreMessage::ProbeEnded(self.setup.server, outcome, None));
    }

    /// Asks for the host's root, the cheapest request there is; any answer will do.
    async fn probe(&mut self, conn: &mut BufferedStream) -> Result<(), (&'static str, String)> {
        let ask = format!("GET / HTTP/1.1\r\nHost: {}\r\n\r\n", self.setup.addr);
        let within = self.setup.connect_timeout;
        match tokio::time::timeout(within, self.exchange(conn, ask.as_bytes())).await {
            Ok(Ok(Some(_))) => {
                self.written = false;
                self.probed(Outcome::Ok);
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
                        Some(mail) => if !self.take(mail) { return ("released", String::new()) },
                        None => return ("peer_gone", String::new()),
                    },
                    _ = conn.fill() => return ("host_closed", String::new()),
                    _ = tokio::time::sleep(idle) => return ("idle", String::new()),
                }
            }
            // All that waits comes before the next byte goes out: a call must not begin of which the
            // withdrawal is here already.
            while let Ok(mail) = self.setup.mail.try_recv() {
                if !self.take(mail) {
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
            self.out = self.setup.sendable(call, now);
            if self.out.is_empty() {
                continue;
            }
            let asked = self.out.clone();
            let Some(bytes) = request(&asked, &self.setup.addr, now) else {
                return ("bad_payload", String::new());
            };
            self.written = false;
            let end = match self.exchange(&mut conn, &bytes).await {
                Ok(Some((status, body))) => {
                    self.out.clear();
                    self.written = false;
                    self.report_answers(&asked, status, &body);
                    continue;
                }
                Ok(None) => ("withdrawn", String::new()),
                Err(e) => (e.code(), e.to_string()),
            };
            return end;
        }
    }

    fn report_answers(&self, parts: &[PartRequest], status: u16, body: &Bytes) {
        for (part, (outcome, value)) in parts.iter().zip(read(parts.len(), status, body)) {
            self.setup.report(AttemptEnd {
                part: part.part,
                attempt: part.attempt,
                outcome,
                value,
                report: None,
            });
        }
    }

    /// One request and its answer; `None` if a part of it was given up.
    async fn exchange(
        &mut self,
        conn: &mut BufferedStream,
        bytes: &[u8],
    ) -> Result<Option<(u16, Bytes)>, HttpError> {
        let mut at = 0;
        while at < bytes.len() || !conn.output.is_empty() {
            at += conn.output.put(&bytes[at..]);
            conn.push()?;
            if conn.output.is_empty() {
                continue;
            }
            tokio::select! {
                ready = conn.stream.writable() => ready?,
                mail = self.setup.mail.recv() => if !mail.is_some_and(|m| self.take(m)) { return Ok(None) },
            }
        }
        self.written = true;
        self.setup.counters.add("tries", self.out.len() as u64);
        let answer = async {
            let (status, headers) = response_head(conn).await?;
            let body = Body::of_response(&headers)?
                .read_all(conn, MOST_ANSWER)
                .await?;
            Ok((status, body))
        };
        tokio::pin!(answer);
        loop {
            tokio::select! {
                biased;
                done = &mut answer => return done.map(Some),
                mail = self.setup.mail.recv() => if !mail.is_some_and(|m| self.take(m)) { return Ok(None) },
            }
        }
    }
}
