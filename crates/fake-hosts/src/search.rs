//! A modelled host's side of the OpenSearch dialect, from OpenSearch's published API: `_search` for one
//! shard, `_msearch` for several, each naming its shard by `preference=_shards:N`.

use crate::event_log::{reference, AttemptEnd};
use crate::host::{reset, AnswerFormat, ArrivingPart, Host, OpenAttempts};
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
    let mut input = BytesMut::with_capacity(16 * 1024);
    loop {
        let asked = match tokio::time::timeout(host.conn.idle, request(stream, &mut input)).await {
            Ok(Some(asked)) => asked,
            _ => return,
        };
        if asked.target == "/" {
            if stream
                .write_all(text(200, &json!({})).as_bytes())
                .await
                .is_err()
            {
                return;
            }
            continue;
        }
        let Some(searches) = searches(&asked) else {
            let _ = stream
                .write_all(text(400, &json!({"status": 400})).as_bytes())
                .await;
            return;
        };
        let mut open = OpenAttempts::new(host.clone(), coordinator);
        let (mut ended, mut order) = (HashMap::new(), Vec::new());
        for (n, (shard, body)) in searches.iter().enumerate() {
            let wait = body["timeout"]
                .as_str()
                .and_then(|t| t.strip_suffix("ms"))
                .and_then(|t| t.parse().ok());
            let wait = Duration::from_millis(wait.unwrap_or(60_000));
            // Parts of several queries may share a call; the text says whose a part is.
            let marked = reference(&body.to_string(), *shard);
            let (shard, key, first) = (*shard, asked.key.as_deref(), n == 0);
            let arrival = ArrivingPart {
                name: &asked.name,
                shard,
                key,
                wait,
                marked,
                first,
            };
            let (attempt, end) = open.arrive("", form(shard, body), arrival);
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
                // The sender's only way to give a part up is to close.
                more = stream.read_buf(&mut input) => if !more.is_ok_and(|n| n > 0) { return },
            }
        }
        let one = |((shard, body), attempt): (&(u32, Value), &u64)| {
            answer(form(*shard, body), ended[attempt])
        };
        let mut answers: Vec<(u16, Value)> = searches.iter().zip(&order).map(one).collect();
        let (status, body) = match &mut answers[..] {
            [_] if asked.target != "/_msearch" => answers.remove(0),
            _ => (
                200,
                json!({"responses": answers.into_iter().map(|(_, b)| b).collect::<Vec<_>>()}),
            ),
        };
        if stream
            .write_all(text(status, &body).as_bytes())
            .await
            .is_err()
        {
            return;
        }
    }
}
