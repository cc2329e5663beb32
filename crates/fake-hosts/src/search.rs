//! A modelled host's side of the OpenSearch dialect, from OpenSearch's published API: `_search` for one
//! shard, `_msearch` for several, each naming its shard by `preference=_shards:N`.

use crate::event_log::{reference, AttemptEnd};
use crate::host::{reset, ArrivingPart, Host};
use crate::open_attempts::{AnswerFormat, OpenAttempts};
use crate::wire_value::wire_value;
use bytes::{Buf, BytesMut};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Largest head and body that are taken.
const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Capacity for the input of a connection.
const INPUT_BUFFER_BYTES: usize = 16 * 1024;
/// Timeout of a search that names none, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 60_000;
/// Hits that a host has for a search, at most.
const HITS_PER_SHARD: u64 = 10;

struct SearchRequest {
    target: String,
    name: String,
    key: Option<String>,
    body: Vec<u8>,
}

/// Reads the next request; `None` at the connection's end or if it is no HTTP.
async fn request(stream: &mut TcpStream, input: &mut BytesMut) -> Option<SearchRequest> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let mut parsed = httparse::Request::new(&mut headers);
        if let httparse::Status::Complete(head) = parsed.parse(input).ok()? {
            let header = |name: &str| {
                let h = parsed
                    .headers
                    .iter()
                    .find(|h| h.name.eq_ignore_ascii_case(name))?;
                std::str::from_utf8(h.value).ok().map(str::to_owned)
            };
            let target = parsed.path?.to_owned();
            let (name, key) = (
                header("X-Opaque-Id").unwrap_or_default(),
                header("Idempotency-Key"),
            );
            let length: usize = header("Content-Length").map_or(Some(0), |l| l.parse().ok())?;
            if length > MAX_BODY_BYTES {
                return None;
            }
            input.advance(head);
            while input.len() < length {
                if stream.read_buf(input).await.ok()? == 0 {
                    return None;
                }
            }
            return Some(SearchRequest {
                target,
                name,
                key,
                body: input.split_to(length).to_vec(),
            });
        }
        if input.len() > MAX_HEAD_BYTES || stream.read_buf(input).await.ok()? == 0 {
            return None;
        }
    }
}

/// The searches of a request: shard, body and how long the sender waits.
fn searches(asked: &SearchRequest) -> Option<Vec<(u32, Value)>> {
    let shard = |p: &str| p.rsplit_once("_shards:").and_then(|(_, n)| n.parse().ok());
    if asked.target != "/_msearch" {
        let body = serde_json::from_slice(&asked.body).ok()?;
        return Some(vec![(shard(&asked.target)?, body)]);
    }
    let lines: Vec<&[u8]> = asked.body.trim_ascii_end().split(|b| *b == b'\n').collect();
    let pair = |p: &[&[u8]]| {
        let head: Value = serde_json::from_slice(p.first()?).ok()?;
        Some((
            shard(head["preference"].as_str()?)?,
            serde_json::from_slice(p.get(1)?).ok()?,
        ))
    };
    lines.chunks(2).map(pair).collect()
}

/// What a search wants of its shard.
pub(crate) fn form(shard: u32, body: &Value) -> AnswerFormat {
    AnswerFormat::Search(
        shard,
        body["size"]
            .as_u64()
            .unwrap_or(HITS_PER_SHARD)
            .min(HITS_PER_SHARD),
        body["sort"].is_array(),
    )
}

/// The status and body of an answer.
pub(crate) fn answer(form: AnswerFormat, end: AttemptEnd) -> (u16, Value) {
    let (AttemptEnd::Served(v), AnswerFormat::Search(shard, size, sorted)) = (end, form) else {
        let status = if end == AttemptEnd::Skipped { 429 } else { 500 };
        return (
            status,
            json!({"error": {"type": "exception", "reason": "stand-in"}, "status": status}),
        );
    };
    let hit = |n: u64| {
        // Scores are spread over shards, so that merged pages hold hits of several.
        let score = 1.0 / (1 + n * 97 + u64::from(shard) % 97) as f64;
        let mut hit = json!({"_index": "x", "_id": format!("{}-{n}", wire_value(v)), "_score": score, "_source": {}});
        if sorted {
            hit["sort"] = json!([n * 97 + u64::from(shard) % 97]);
        }
        hit
    };
    let hits: Vec<Value> = (0..size).map(hit).collect();
    let shards = json!({"total": 1, "successful": 1, "skipped": 0, "failed": 0});
    let hits = json!({"total": {"value": HITS_PER_SHARD, "relation": "eq"}, "hits": hits});
    (
        200,
        json!({"took": 1, "timed_out": false, "_shards": shards, "hits": hits, "status": 200}),
    )
}

fn text(status: u16, body: &Value) -> String {
    let body = body.to_string();
    format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Serves one connection, a request at a time, until it ends or the host's process does.
pub async fn serve(host: Rc<Host>, coordinator: u16, mut stream: TcpStream) {
    let mut process = host.process_run();
    let left = tokio::select! {
        biased;
        () = process.stops() => true,
        () = converse(&host, coordinator, &mut stream) => false,
    };
    if left {
        process.resets_connections().await;
        reset(stream);
    }
}

async fn converse(host: &Rc<Host>, coordinator: u16, stream: &mut TcpStream) {
    let mut input = BytesMut::with_capacity(INPUT_BUFFER_BYTES);
    loop {
        let next = tokio::time::timeout(host.conn.idle, request(stream, &mut input));
        let Ok(Some(asked)) = next.await else {
            return;
        };
        if asked.target == "/" {
            if send(stream, 200, &json!({})).await.is_err() {
                return;
            }
            continue;
        }
        let Some(searches) = searches(&asked) else {
            let _ = send(stream, 400, &json!({"status": 400})).await;
            return;
        };
        let mut open = OpenAttempts::new(host.clone(), coordinator);
        let Some(answers) = run_searches(&mut open, &asked, &searches, stream, &mut input).await
        else {
            return;
        };
        let (status, body) = combine(&asked, answers);
        if send(stream, status, &body).await.is_err() {
            return;
        }
    }
}

async fn send(stream: &mut TcpStream, status: u16, body: &Value) -> std::io::Result<()> {
    stream.write_all(text(status, body).as_bytes()).await
}

/// Runs the searches of a request; their answers in order, or `None` if the sender closes the connection first, which is
/// its only way to withdraw them.
async fn run_searches(
    open: &mut OpenAttempts,
    asked: &SearchRequest,
    searches: &[(u32, Value)],
    stream: &mut TcpStream,
    input: &mut BytesMut,
) -> Option<Vec<(u16, Value)>> {
    let (mut ended, mut order) = (HashMap::new(), Vec::new());
    for (n, (shard, body)) in searches.iter().enumerate() {
        let arrival = arriving_part(asked, *shard, body, n == 0);
        let (attempt, end) = open.arrive("", form(*shard, body), arrival);
        order.push(attempt);
        ended.extend(end.map(|e| (attempt, e)));
    }
    let outbox = open.outbox.clone();
    while ended.len() < order.len() {
        tokio::select! {
            () = outbox.wait() => for reply in outbox.take() {
                if open.answered(&reply).is_some() {
                    ended.insert(reply.attempt, reply.end);
                }
            },
            more = stream.read_buf(input) => if !more.is_ok_and(|n| n > 0) { return None },
        }
    }
    let answered = searches.iter().zip(&order);
    Some(
        answered
            .map(|((shard, body), attempt)| answer(form(*shard, body), ended[attempt]))
            .collect(),
    )
}

/// A search as a part of a query.
fn arriving_part<'a>(
    asked: &'a SearchRequest,
    shard: u32,
    body: &Value,
    first: bool,
) -> ArrivingPart<'a> {
    let timeout = body["timeout"].as_str();
    let wait_ms = timeout
        .and_then(|t| t.strip_suffix("ms"))
        .and_then(|t| t.parse().ok());
    ArrivingPart {
        name: &asked.name,
        shard,
        key: asked.key.as_deref(),
        wait: Duration::from_millis(wait_ms.unwrap_or(DEFAULT_TIMEOUT_MS)),
        // Parts of several queries may share a call; the text says whose a part is.
        marked: reference(&body.to_string(), shard),
        first,
    }
}

/// The answer to a request: that of its search, or the answers to several.
fn combine(asked: &SearchRequest, mut answers: Vec<(u16, Value)>) -> (u16, Value) {
    if asked.target != "/_msearch" && answers.len() == 1 {
        return answers.remove(0);
    }
    let bodies: Vec<Value> = answers.into_iter().map(|(_, body)| body).collect();
    (200, json!({"responses": bodies}))
}
