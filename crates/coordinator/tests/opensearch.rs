//! Stories on the OpenSearch-style front, between clients and stand-in hosts that speak its dialect.
#![allow(
    clippy::too_many_lines,
    reason = "long scenarios, to be split: docs/ROADMAP.md"
)]

mod support;

use rstest::rstest;
use serde_json::{json, Value};
use std::collections::HashSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;
use support::*;

const OPERATOR: &str = r#"
hosts = "opensearch"
[opensearch]
scroll_contexts = 2
[[opensearch.index]]
name = "free-taxis"
class = "near"
tenant = "coop"
[opensearch.index.districts]
anfa = 0
maarif = 1
medina = 2
[[opensearch.index]]
name = "fleet"
class = "report"
[opensearch.index.districts]
anfa = 0
maarif = 1
medina = 2
ain-chock = 3
[[opensearch.index]]
name = "bookings"
class = "book"
key_header = "Idempotency-Key"
[opensearch.index.districts]
anfa = 0
maarif = 1
"#;

/// A host's answer for a shard: two taxis, so far from the pickup.
fn taxis(seen: &Seen) -> Act {
    let hit = |n: u32| {
        let far = 100 * n + 10 * seen.shard;
        json!({"_index": "free-taxis", "_id": format!("t{}-{n}", seen.shard), "_score": null,
               "_source": {"free": true}, "sort": [far]})
    };
    let size = serde_json::from_str::<Value>(&seen.text).unwrap()["size"]
        .as_u64()
        .unwrap() as usize;
    let hits: Vec<Value> = [1, 2].map(hit).into_iter().take(size).collect();
    let hits = json!({"total": {"value": 2, "relation": "eq"}, "max_score": null, "hits": hits});
    Act::Serve(json!({"took": 1, "timed_out": false, "hits": hits}).to_string())
}

/// Two hosts a cell, in OpenSearch's dialect, with one script each.
fn fleet(
    ledger: &Ledger,
    script: impl Fn(&Seen) -> Act + Clone + Send + Sync + 'static,
) -> (Vec<Host>, Vec<Value>) {
    let hosts: Vec<Host> = (0..4)
        .map(|n| host(n, true, ledger, script.clone()))
        .collect();
    let members = (0..4)
        .map(|n| member(n, &hosts[n].addr, n as u32 % 2, "Ready"))
        .collect();
    (hosts, members)
}

fn start(members: &[Value]) -> Coordinator {
    Coordinator::start(&config("127.0.0.1:1", members, &settings(), None), OPERATOR)
}

fn ask(client: &mut Client, method: &str, target: &str, body: Value) -> (u16, Value) {
    let (status, _, body) = client.ask(method, target, "", &body.to_string());
    (status, serde_json::from_str(&body).unwrap())
}

fn near(districts: &[&str]) -> Value {
    let point = json!({"lat": 33.59, "lon": -7.61});
    json!({"query": {"bool": {"filter": [{"terms": {"district": districts}},
                                         {"geo_distance": {"distance": "2km", "location": point}}]}},
           "sort": [{"_geo_distance": {"location": point, "order": "asc"}}], "size": 3})
}

fn error(answer: &Value) -> (&str, u64) {
    (
        answer["error"]["root_cause"][0]["type"].as_str().unwrap(),
        answer["status"].as_u64().unwrap(),
    )
}

#[test]
fn a_search_goes_from_request_to_merged_answer() {
    let ledger = Ledger::default();
    let (_hosts, members) = fleet(&ledger, taxis);
    let c = start(&members);
    let mut client = Client::new(&c.addr);
    let (status, answer) = ask(
        &mut client,
        "POST",
        "/free-taxis/_search",
        near(&["anfa", "medina", "maarif"]),
    );
    let ids: Vec<&str> = answer["hits"]["hits"]
        .as_array()
        .unwrap()
        .iter()
        .map(|h| h["_id"].as_str().unwrap())
        .collect();
    assert_eq!((status, ids), (200, vec!["t0-1", "t1-1", "t2-1"]));
    assert_eq!(
        answer["hits"]["total"],
        json!({"value": 6, "relation": "eq"})
    );
    assert_eq!(
        answer["_shards"],
        json!({"total": 3, "successful": 3, "skipped": 0, "failed": 0})
    );
    assert_eq!(answer["timed_out"], false);
    // Hosts got the client's own clauses, and each shard went to a host of its cell.
    let seen = ledger.all();
    assert_eq!(seen.len(), 3);
    assert!(seen
        .iter()
        .all(|s| s.text.contains("geo_distance") && s.host as u32 % 2 == s.shard % 2));
    // A district that is not configured has no documents; none at all asks nobody.
    let (_, answer) = ask(
        &mut client,
        "GET",
        "/free-taxis/_search",
        near(&["atlantis"]),
    );
    assert_eq!(
        (
            answer["hits"]["total"]["value"].as_u64(),
            ledger.all().len()
        ),
        (Some(0), 3)
    );
    let (_, answer) = ask(&mut client, "POST", "/free-taxis/_count", json!({}));
    assert_eq!(answer["count"], 6);
    let lines = [
        json!({}),
        near(&["anfa"]),
        json!({"index": "nowhere"}),
        json!({}),
        json!({"index": "fleet"}),
        json!({"suggest": {}}),
    ];
    let body: String = lines.iter().map(|l| format!("{l}\n")).collect();
    let (_, _, body) = client.ask("POST", "/free-taxis/_msearch", "", &body);
    let answers: Value = serde_json::from_str(&body).unwrap();
    let statuses: Vec<u64> = answers["responses"]
        .as_array()
        .unwrap()
        .iter()
        .map(|r| r["status"].as_u64().unwrap())
        .collect();
    assert_eq!(statuses, [200, 404, 400]);
}

/// Every answer, every resend and every partial mark of a run against hosts that fail in all ways.
#[test]
fn answers_resends_and_partial_marks_are_counted() {
    let ledger = Ledger::default();
    let calls = AtomicUsize::new(0);
    let calls = std::sync::Arc::new(calls);
    let (_hosts, members) = fleet(&ledger, move |seen| {
        match calls.fetch_add(1, Ordering::Relaxed) % 16 {
            2 => Act::Broke,
            5 => Act::Garbage,
            8 => Act::Skip,
            11 => Act::Break,
            14 if seen.shard == 3 => Act::Silent,
            _ => taxis(seen),
        }
    });
    let c = start(&members);
    let (mut answers, mut partial) = (0, 0);
    let mut client = Client::new(&c.addr);
    for n in 0..90 {
        let (index, headers) = match n % 3 {
            0 => ("free-taxis", String::new()),
            1 => ("fleet", String::new()),
            _ => ("bookings", format!("Idempotency-Key: k{n}\r\n")),
        };
        let asked = Instant::now();
        let (status, headers, body) = client.ask(
            "POST",
            &format!("/{index}/_search?timeout=3s"),
            &headers,
            "{}",
        );
        let answer: Value = serde_json::from_str(&body).unwrap();
        answers += 1;
        assert!(
            asked.elapsed() < ms(3500),
            "an answer after the client's time"
        );
        if status == 200 {
            let shards = &answer["_shards"];
            let (total, good) = (
                shards["total"].as_u64().unwrap(),
                shards["successful"].as_u64().unwrap(),
            );
            if good < total {
                partial += 1;
                assert!(
                    index == "fleet" && 2 * good >= total,
                    "{index} answered from {good} of {total}"
                );
            }
        } else {
            assert!([429, 503, 504].contains(&status), "{status} {body}");
            assert!(status != 429 || headers.contains_key("retry-after"));
            assert_eq!(answer["status"], status);
        }
    }
    let n = |name| c.counters.get(name);
    let outcomes = c.counters.text();
    let sum: u64 = outcomes
        .lines()
        .filter_map(|l| {
            l.strip_prefix("answered.")?
                .split_once(' ')?
                .1
                .parse::<u64>()
                .ok()
        })
        .sum();
    assert_eq!(
        (answers, n("taken.queries"), sum),
        (90, 90, 90),
        "{outcomes}"
    );
    assert_eq!(
        (partial, n("opensearch.partial")),
        (n("answered.served.partial"), partial)
    );
    let attempts = ledger.attempts(3, ms(1000));
    let resends: usize = attempts.values().map(|n| n - 1).sum();
    assert!(resends > 10);
    // A call that never reached its host is a send that no host has seen.
    assert_eq!(
        ledger.all().len() as u64,
        n("sent.first") + n("sent.resends") - n("ended.moot") - n("ended.connect_failed")
    );
}

/// Districts that no sound host holds: at once an error, or a partial answer where class, floor and
/// client allow one.
#[test]
fn districts_without_a_sound_host_are_told_apart() {
    let ledger = Ledger::default();
    let (_hosts, members) = fleet(&ledger, taxis);
    let c = start(&[members[0].clone()]);
    let mut client = Client::new(&c.addr);
    let asked = Instant::now();
    let (status, answer) = ask(
        &mut client,
        "POST",
        "/free-taxis/_search",
        near(&["maarif"]),
    );
    assert_eq!(
        (status, error(&answer)),
        (503, ("no_shard_available_action_exception", 503))
    );
    assert!(
        asked.elapsed() < ms(500),
        "an answer that was certain was held back"
    );
    assert!(ledger.all().is_empty());
    let (status, answer) = ask(&mut client, "POST", "/fleet/_search", json!({}));
    assert_eq!(
        (status, &answer["_shards"]["failed"]),
        (200, &json!(2)),
        "{answer}"
    );
    assert!(
        asked.elapsed() < ms(1000),
        "a partial answer waited for what could not come"
    );
    let failures = answer["_shards"]["failures"].as_array().unwrap();
    let shards: HashSet<u64> = failures
        .iter()
        .map(|f| f["shard"].as_u64().unwrap())
        .collect();
    assert_eq!(shards, [1, 3].into());
    let target = "/fleet/_search?allow_partial_search_results=false";
    let (status, answer) = ask(&mut client, "POST", target, json!({}));
    assert_eq!(
        (status, error(&answer).0),
        (503, "search_phase_execution_exception")
    );
    // One district of four in: under the floor.
    let only = json!({"query": {"terms": {"district": ["anfa", "maarif", "ain-chock"]}}});
    assert_eq!(ask(&mut client, "POST", "/fleet/_search", only).0, 503);
}

/// Hosts that are still listed but refuse every connection are no sound hosts either.
#[test]
fn districts_whose_hosts_are_dead_but_listed_are_told_apart_too() {
    let ledger = Ledger::default();
    let (_hosts, mut members) = fleet(&ledger, taxis);
    let gone = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .to_string();
    [1, 3]
        .iter()
        .for_each(|n| members[*n]["host_port"] = gone.clone().into());
    let c = start(&members);
    let mut client = Client::new(&c.addr);
    let (status, answer) = ask(
        &mut client,
        "POST",
        "/free-taxis/_search?timeout=1s",
        near(&["anfa", "maarif"]),
    );
    assert_eq!(
        (status, error(&answer).0),
        (503, "no_shard_available_action_exception")
    );
    let (status, answer) = ask(&mut client, "POST", "/fleet/_search?timeout=1s", json!({}));
    assert_eq!(
        (status, &answer["_shards"]["failed"]),
        (200, &json!(2)),
        "{answer}"
    );
    assert!(
        ledger.all().iter().all(|s| s.host % 2 == 0) && c.counters.get("ended.connect_failed") > 0
    );
}

/// Guards against MIXED: what a host in trouble sends in place of an answer is none, whatever its body says.
#[rstest]
#[case::status_000("HTTP/1.1 000 OK\r\nContent-Length: LENGTH\r\n\r\n")]
#[case::status_over_599("HTTP/1.1 999 OK\r\nContent-Length: LENGTH\r\n\r\n")]
#[case::blank_in_a_name("HTTP/1.1 200 OK\r\nX Field: 1\r\nContent-Length: LENGTH\r\n\r\n")]
#[case::blank_behind_a_name("HTTP/1.1 200 OK\r\nContent-Length : LENGTH\r\n\r\n")]
#[case::control_byte_in_a_name("HTTP/1.1 200 OK\r\nX\u{1}: 1\r\nContent-Length: LENGTH\r\n\r\n")]
fn a_malformed_answer_of_a_host_is_none(#[case] head: &'static str) {
    let ledger = Ledger::default();
    let (_hosts, members) = fleet(&ledger, move |seen| {
        let Act::Serve(value) = taxis(seen) else {
            unreachable!("taxis are served");
        };
        let body = value.replacen('{', "{\"status\":200,", 1);
        let head = head.replace("LENGTH", &body.len().to_string());
        Act::Raw((head + &body).into_bytes())
    });
    let c = start(&members);
    let mut client = Client::new(&c.addr);
    let (status, answer) = ask(&mut client, "POST", "/free-taxis/_search", near(&["anfa"]));
    assert!(
        status >= 500 && !ledger.all().is_empty(),
        "{status} {answer}"
    );
}

#[test]
fn a_host_that_keeps_silent_is_a_timeout() {
    let ledger = Ledger::default();
    let (_hosts, members) = fleet(&ledger, |_| Act::Silent);
    let c = start(&members);
    let mut client = Client::new(&c.addr);
    let mut body = near(&["anfa"]);
    body["timeout"] = "400ms".into();
    let (status, answer) = ask(&mut client, "POST", "/free-taxis/_search", body);
    assert_eq!((status, error(&answer).0), (504, "timeout_exception"));
}

#[test]
fn a_scroll_pages_to_its_end_and_does_not_outlive_its_coordinator() {
    let ledger = Ledger::default();
    let (_hosts, members) = fleet(&ledger, taxis);
    let (first, second) = (start(&members), start(&members));
    let mut client = Client::new(&first.addr);
    let (_, page) = ask(
        &mut client,
        "POST",
        "/free-taxis/_search?scroll=1m&size=4",
        json!({}),
    );
    let id = page["_scroll_id"].as_str().unwrap().to_owned();
    let sent = ledger.all().len();
    let count = |p: &Value| p["hits"]["hits"].as_array().unwrap().len();
    let next = json!({"scroll_id": id, "scroll": "1m"});
    let (_, rest) = ask(&mut client, "POST", "/_search/scroll", next.clone());
    let (_, end) = ask(&mut client, "GET", "/_search/scroll", next.clone());
    assert_eq!(
        (count(&page), count(&rest), count(&end), ledger.all().len()),
        (4, 2, 0, sent)
    );
    // The same id at another incarnation, and a freed one, are missing at once.
    let mut other = Client::new(&second.addr);
    let missing = ("search_context_missing_exception", 404);
    let asked = Instant::now();
    assert_eq!(
        error(&ask(&mut other, "POST", "/_search/scroll", next.clone()).1),
        missing
    );
    assert!(asked.elapsed() < ms(500));
    let free = json!({"scroll_id": [id]});
    assert_eq!(
        ask(&mut client, "DELETE", "/_search/scroll", free.clone()).1["num_freed"],
        1
    );
    assert_eq!(ask(&mut client, "DELETE", "/_search/scroll", free).0, 404);
    assert_eq!(
        error(&ask(&mut client, "POST", "/_search/scroll", next).1),
        missing
    );
    // So is an expired one; contexts are capped.
    let (_, page) = ask(
        &mut client,
        "POST",
        "/free-taxis/_search?scroll=50ms",
        json!({}),
    );
    std::thread::sleep(ms(60));
    let expired = json!({"scroll_id": page["_scroll_id"]});
    assert_eq!(
        error(&ask(&mut client, "POST", "/_search/scroll", expired).1),
        missing
    );
    let open =
        |client: &mut Client| ask(client, "POST", "/free-taxis/_search?scroll=1m", json!({})).0;
    assert_eq!(
        [open(&mut client), open(&mut client), open(&mut client)],
        [200, 200, 429]
    );
    assert_eq!(
        ask(
            &mut client,
            "POST",
            "/_search/scroll",
            json!({"scroll_id": "bm9uZQ"})
        )
        .0,
        400
    );
}

/// A drain that discovery tells stops new searches to that host within the grace of 2 s.
#[test]
fn a_drain_is_honoured() {
    let ledger = Ledger::default();
    let (_hosts, members) = fleet(&ledger, taxis);
    let (addr, lines) = discovery();
    let c = Coordinator::start(
        &config("127.0.0.1:1", &members, &settings(), Some(&addr)),
        OPERATOR,
    );
    let mut draining = members[0].clone();
    draining["phase"] = "Terminating".into();
    lines
        .send(json!({"revision": 2, "complete": false, "members": [draining]}).to_string())
        .unwrap();
    until("the drain is told", || c.counters.get("list.news") == 2);
    let told = Instant::now();
    let mut client = Client::new(&c.addr);
    while told.elapsed() < ms(2300) {
        let (status, _) = ask(
            &mut client,
            "POST",
            "/free-taxis/_search",
            near(&["anfa", "medina"]),
        );
        assert_eq!(status, 200);
    }
    let late = ledger
        .all()
        .into_iter()
        .filter(|s| s.host == 0 && s.at > told + ms(2000))
        .count();
    assert!(late == 0 && ledger.all().len() > 10);
}

#[test]
fn errors_come_in_opensearch_form() {
    let c = start(&[]);
    let mut client = Client::new(&c.addr);
    let mut expect =
        |method: &str, target: &str, body: Value, status: u16, kind: &str, names: &str| {
            let (got, answer) = ask(&mut client, method, target, body);
            assert_eq!(
                (got, error(&answer)),
                (status, (kind, u64::from(status))),
                "{target}"
            );
            let reason = answer["error"]["reason"].as_str().unwrap();
            assert!(reason.contains(names), "{reason}");
        };
    let (parse, illegal) = ("parsing_exception", "illegal_argument_exception");
    expect(
        "POST",
        "/free-taxis/_search",
        json!({"aggs": {}}),
        400,
        parse,
        "[aggs]",
    );
    expect(
        "POST",
        "/free-taxis/_search",
        json!([]),
        400,
        parse,
        "[request]",
    );
    expect(
        "POST",
        "/free-taxis/_search?routing=x",
        json!({}),
        400,
        illegal,
        "[routing]",
    );
    expect(
        "POST",
        "/nowhere/_search",
        json!({}),
        404,
        "index_not_found_exception",
        "[nowhere]",
    );
    expect(
        "PUT",
        "/free-taxis/_search",
        json!({}),
        405,
        "method_not_allowed_exception",
        "[PUT]",
    );
    expect(
        "POST",
        "/bookings/_search",
        json!({}),
        400,
        illegal,
        "[Idempotency-Key]",
    );
    expect(
        "POST",
        "/free-taxis/_search?scroll=1h",
        json!({}),
        400,
        illegal,
        "too large",
    );
    expect(
        "POST",
        "/free-taxis/_search",
        json!({"query": {"match": {"a": "b"}}}),
        400,
        parse,
        "[match]",
    );
    expect(
        "POST",
        "/free-taxis/_search",
        near(&["anfa"]),
        503,
        "no_shard_available_action_exception",
        "no host",
    );
    let mut big = Client::new(&c.addr);
    big.write(b"POST /free-taxis/_search HTTP/1.1\r\nContent-Length: 70000\r\n\r\n");
    let (status, _, body) = big.read();
    assert_eq!(
        (
            status,
            serde_json::from_str::<Value>(&body).unwrap()["status"].as_u64()
        ),
        (413, Some(413))
    );
}
