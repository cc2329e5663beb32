//! The operator's address: readiness, counters and manual ejection, with misbehaving callers and a blocked core.
#![allow(
    clippy::too_many_lines,
    reason = "long scenarios, to be split: docs/ROADMAP.md"
)]

mod support;

use coordinator::counters::Counters;
use coordinator::ops::admin_server::AdminServer;
use coordinator::ops::hot_restart::never_restarted;
use coordinator::ops::Readiness;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::*;

/// Maximum time for a response.
const RESPONSE_DEADLINE: Duration = Duration::from_secs(1);

fn serve_value(seen: &Seen) -> Act {
    Act::Serve(format!("v{}", seen.shard))
}

fn start(members: &[Value], discovery: Option<&str>) -> Coordinator {
    let mut text: Value =
        serde_json::from_str(&config("127.0.0.1:1", members, &settings(), discovery)).unwrap();
    text["operator"] = json!("127.0.0.1:1");
    Coordinator::start(&text.to_string(), "")
}

/// Sends one request and checks that it is answered in time. Returns the status and the body.
fn call(operator_address: &str, method: &str, path: &str) -> (u16, String) {
    let begun = Instant::now();
    let (status, _, body) = Client::new(operator_address).ask(method, path, "", "");
    assert!(
        begun.elapsed() < RESPONSE_DEADLINE,
        "{path} took {:?}",
        begun.elapsed()
    );
    (status, body)
}

fn order(operator_address: &str, id: &str, what: &str) -> u16 {
    call(
        operator_address,
        "POST",
        &format!("/control/district-hosts/{id}/{what}"),
    )
    .0
}

fn counters_page(operator_address: &str) -> BTreeMap<String, u64> {
    let (status, text) = call(operator_address, "GET", "/control/counters");
    assert_eq!(status, 200);
    let line = |l: &str| {
        l.split_once('=')
            .map(|(n, v)| (n.to_owned(), v.parse().unwrap()))
            .unwrap()
    };
    text.lines().map(line).collect()
}

/// Waits until a counter has a value; those of the host list are updated a few times a second.
fn until_counter(operator_address: &str, name: &str, n: u64) {
    until(name, || counters_page(operator_address)[name] == n);
}

#[test]
fn a_hundred_stalled_callers_block_no_other_caller() {
    let ledger = Ledger::default();
    let h = host(0, false, &ledger, serve_value);
    let c = start(&[member(0, &h.addr, 0, "Ready")], None);
    until("ready", || call(&c.desk, "GET", "/control/ready").0 == 200);
    let stalled: Vec<TcpStream> = (0..100)
        .map(|n| {
            let mut s = TcpStream::connect(&c.desk).unwrap();
            s.write_all(&b"GET /control/ready HTTP/1.1\r\nX: "[..n % 30])
                .unwrap();
            s
        })
        .collect();
    assert_eq!(call(&c.desk, "GET", "/control/ready").0, 200);
    assert!(counters_page(&c.desk)["pool_size"] == 1);
    drop(stalled);
    // One request for each connection: a second one is not read.
    let mut two = Client::new(&c.desk);
    two.write(b"GET /control/ready HTTP/1.1\r\n\r\nGET /control/ready HTTP/1.1\r\n\r\n");
    assert_eq!(two.read().0, 200);
    assert!(two.ended());
    for (bytes, status) in [
        (&b"nonsense\r\n\r\n"[..], 400),
        (b"GET / HTTP/1.1\r\n\r\n", 404),
        (
            b"POST /control/ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
            405,
        ),
        (
            b"GET /control/district-hosts/s-0/offline HTTP/1.1\r\n\r\n",
            405,
        ),
        (
            b"POST /control/district-hosts/%ff%00/offline HTTP/1.1\r\n\r\n",
            404,
        ),
        (
            b"POST /control/district-hosts//offline HTTP/1.1\r\n\r\n",
            404,
        ),
        (
            b"POST /control/ready HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
            413,
        ),
    ] {
        let mut bad = Client::new(&c.desk);
        bad.write(bytes);
        assert_eq!(bad.read().0, status, "{}", String::from_utf8_lossy(bytes));
    }
    let long = format!("GET /{} HTTP/1.1\r\n", "x".repeat(40_000));
    let mut endless = TcpStream::connect(&c.desk).unwrap();
    let _ = endless.write_all(long.as_bytes());
    let mut said = String::new();
    let _ = endless.read_to_string(&mut said);
    assert!(
        said.is_empty() || said.starts_with("HTTP/1.1 431"),
        "{said}"
    );
    assert_eq!(order(&c.desk, &"y".repeat(300), "offline"), 404);
    assert_eq!(order(&c.desk, "nobody", "offline"), 404);
    assert_eq!(order(&c.desk, "nobody", "online"), 404);
}

/// With a core that reads no messages, counters and readiness are answered at once, and an order is refused in time.
#[test]
fn a_blocked_core_delays_no_response() {
    let counters = Counters::default();
    counters.of_classes(&["near".to_owned()]);
    let (_stop, stopping) = tokio::sync::watch::channel(false);
    let readiness = Readiness::new(stopping, never_restarted(), counters.clone());
    let (members, _never_read) = tokio::sync::mpsc::channel(2);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let operator_address = listener.local_addr().unwrap().to_string();
    AdminServer::new(readiness.clone(), counters, members)
        .serve(listener)
        .unwrap();
    assert_eq!(
        call(&operator_address, "GET", "/control/ready"),
        (503, "not accepting connections\n".into())
    );
    readiness.set_accepting();
    assert_eq!(
        call(&operator_address, "GET", "/control/ready"),
        (503, "no district host in service\n".into())
    );
    assert_eq!(counters_page(&operator_address)["responses.near.ok"], 0);
    assert_eq!(order(&operator_address, "s-0", "offline"), 503);
    assert_eq!(order(&operator_address, "s-0", "offline"), 503);
    // The queue of orders is full now, so this one is refused at once.
    assert_eq!(order(&operator_address, "s-0", "offline"), 503);
}

#[test]
fn counters_are_exact_after_requests_with_all_results() {
    let ledger = Ledger::default();
    let h = host(0, false, &ledger, |s| match s.text.as_str() {
        _ if s.id.starts_with("fail") => Act::Broke,
        _ if s.id.starts_with("gone") => Act::Silent,
        _ => serve_value(s),
    });
    let c = start(&[member(0, &h.addr, 0, "Ready")], None);
    let mut client = Client::new(&c.addr);
    for n in 0..5 {
        client.query("near", &format!("ok{n}"), 2000, &[0, 2]);
        assert_eq!(client.read().0, 200);
    }
    // A failure in an idempotent class may be answered as a refusal, as the client may retry.
    client.query("near", "fail1", 300, &[0]);
    let refused = client.read().0;
    assert!([429, 504].contains(&refused), "{refused}");
    // An invalid query, and one of a shard that no host holds.
    assert_eq!(client.ask("POST", "/near", "Req-Id: x\r\n", "{}").0, 400);
    client.query("book", "none", 2000, &[1]);
    assert_eq!(client.read().0, 429);
    // A query that its client abandons is active until then and counts as no answer.
    let mut abandoning_client = Client::new(&c.addr);
    abandoning_client.query("report", "gone1", 2500, &[0]);
    until_counter(&c.desk, "active", 1);
    drop(abandoning_client);
    until_counter(&c.desk, "active", 0);
    let f = counters_page(&c.desk);
    let of = |name: &str| f[&format!("responses.{name}")];
    assert_eq!(
        (of("near.ok"), of("near.shed") + of("near.errors")),
        (5, 1),
        "{f:?}"
    );
    assert_eq!(
        (of("book.ok"), of("book.shed"), of("book.errors")),
        (0, 1, 0)
    );
    assert_eq!(
        (of("report.ok"), of("report.shed"), of("report.errors")),
        (0, 0, 0)
    );
    // Every attempt that a host has read counts exactly once. A host may still be reading the last ones.
    until("each attempt is read", || {
        ledger.all().len() as u64 == f["tries"]
    });
    let page = Client::new(&c.addr).ask("GET", "/_counters", "", "").2;
    assert!(
        page.contains(&format!("tries {}\n", f["tries"])) && page.contains("responses.near.ok 5\n")
    );
}

/// An ejected host gets no new requests after the drain grace, whatever discovery reports; a restored one is used
/// again.
#[test]
fn an_ejected_host_gets_no_requests_until_it_is_restored() {
    let ledger = Ledger::default();
    let hosts = [
        host(0, false, &ledger, serve_value),
        host(1, false, &ledger, serve_value),
    ];
    let members: Vec<Value> = (0..2)
        .map(|n| member(n, &hosts[n].addr, 0, "Ready"))
        .collect();
    let (discovery, lines) = discovery();
    let c = start(&members, Some(&discovery));
    let id = members[0]["id"].as_str().unwrap().to_owned();
    let other = members[1]["id"].as_str().unwrap().to_owned();
    // Several queries at a time: a single one always finds the same host idle.
    let mut clients: Vec<Client> = (0..8).map(|_| Client::new(&c.addr)).collect();
    let mut asked = 0;
    let mut ask = |want: u16| {
        for client in &mut clients {
            asked += 1;
            client.query("near", &format!("q{asked}"), 2000, &[0]);
        }
        clients.iter_mut().for_each(|client| {
            assert_eq!(client.read().0, want, "of q{asked}: {}", c.counters.text());
        });
    };
    until("both are used", || {
        ask(200);
        [0, 1]
            .iter()
            .all(|n| ledger.all().iter().any(|s| s.host == *n))
    });
    assert_eq!(order(&c.desk, &id, "offline"), 200);
    assert_eq!(
        order(&c.desk, &id, "offline"),
        200,
        "a repeated order succeeds"
    );
    until_counter(&c.desk, "pool_ejected", 1);
    // Discovery reports the host as ready, drops it and lists it again.
    let whole = |revision: u64, members: &[Value]| {
        json!({"revision": revision, "complete": true, "members": members}).to_string()
    };
    lines.send(whole(5, &members)).unwrap();
    lines.send(whole(6, &members[1..])).unwrap();
    until_counter(&c.desk, "pool_size", 1);
    lines.send(whole(7, &members)).unwrap();
    until_counter(&c.desk, "pool_size", 2);
    // Listing it again starts no new drain grace: the grace counts from the order.
    std::thread::sleep(ms(2000));
    let before = ledger.all().iter().filter(|s| s.host == 0).count();
    (0..20).for_each(|_| ask(200));
    assert_eq!(ledger.all().iter().filter(|s| s.host == 0).count(), before);
    // The only other host is ejected too. After its grace no host is in service, which readiness reports.
    assert_eq!(order(&c.desk, &other, "offline"), 200);
    until("not ready", || {
        call(&c.desk, "GET", "/control/ready").0 == 503
    });
    assert_eq!(Client::new(&c.addr).ask("GET", "/_health", "", "").0, 503);
    assert_eq!(order(&c.desk, &other, "online"), 200);
    assert_eq!(order(&c.desk, &id, "online"), 200);
    assert_eq!(order(&c.desk, &id, "online"), 200);
    let restored_at = Instant::now();
    until("the restored host is used", || {
        ask(200);
        ledger.all().iter().filter(|s| s.host == 0).count() > before
    });
    assert!(
        restored_at.elapsed() < Duration::from_secs(5),
        "not used for {:?}",
        restored_at.elapsed()
    );
    until_counter(&c.desk, "pool_ejected", 0);
}

/// Under load, an ejected host gets no request after the order is confirmed and the drain grace is over.
#[test]
fn under_load_an_ejected_host_gets_no_request_after_the_grace() {
    let ledger = Ledger::default();
    let hosts = [
        host(0, false, &ledger, serve_value),
        host(1, false, &ledger, serve_value),
    ];
    let members: Vec<Value> = (0..2)
        .map(|n| member(n, &hosts[n].addr, 0, "Ready"))
        .collect();
    let c = start(&members, None);
    let over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..4)
        .map(|k| {
            let (addr, over) = (c.addr.clone(), over.clone());
            std::thread::spawn(move || {
                let mut client = Client::new(&addr);
                let mut n = 0;
                while !over.load(Ordering::Relaxed) {
                    n += 1;
                    client.query("book", &format!("c{k}-{n}"), 2000, &[0, 2, 4]);
                    assert!([200, 429].contains(&client.read().0));
                }
            })
        })
        .collect();
    until("both are used", || {
        [0, 1]
            .iter()
            .all(|n| ledger.all().iter().any(|s| s.host == *n))
    });
    assert_eq!(
        order(&c.desk, members[0]["id"].as_str().unwrap(), "offline"),
        200
    );
    std::thread::sleep(ms(2000));
    let count = || ledger.all().iter().filter(|s| s.host == 0).count();
    let before = count();
    let others = ledger.all().len();
    until("the other host serves more requests", || {
        ledger.all().len() > others + 200
    });
    assert_eq!(count(), before);
    over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| c.join().unwrap());
}
