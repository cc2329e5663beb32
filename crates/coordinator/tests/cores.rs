//! Several cores in one process. The tests' logger blocks or ends a core: at the trace line of a query whose name
//! starts with `stall` or `panic`, the thread sleeps or panics.
#![allow(
    clippy::too_many_lines,
    reason = "long scenarios, to be split: docs/ROADMAP.md"
)]

mod support;

use serde_json::{json, Value};
use std::sync::{Mutex, MutexGuard, Once, PoisonError};
use std::time::Instant;
use support::*;

struct FaultInjectingLogger;

impl log::Log for FaultInjectingLogger {
    fn enabled(&self, _: &log::Metadata) -> bool {
        true
    }

    fn log(&self, record: &log::Record) {
        let line = record.args().to_string();
        if line.starts_with("query stall") {
            std::thread::sleep(ms(1500));
        }
        assert!(!line.starts_with("query panic"), "an injected panic");
    }

    fn flush(&self) {}
}

/// Installs the logger and returns a lock, so that these tests, which depend on timing, run one at a time.
fn run_alone() -> MutexGuard<'static, ()> {
    static START: Once = Once::new();
    static LOCK: Mutex<()> = Mutex::new(());
    START.call_once(|| {
        log::set_logger(&FaultInjectingLogger).unwrap();
        log::set_max_level(log::LevelFilter::Trace);
    });
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The operator's file for `n` cores.
fn operator_file(n: usize) -> String {
    format!("[cores]\ncount = {n}\n")
}

fn start(members: &[Value], settings: &Value, discovery: Option<&str>, n: usize) -> Coordinator {
    Coordinator::start(
        &config("127.0.0.1:0", members, settings, discovery),
        &operator_file(n),
    )
}

/// Opens `n` connections, which are assigned to the cores in turn, as each goes to the core with the fewest.
fn connect_clients(c: &Coordinator, n: usize) -> Vec<Client> {
    (0..n)
        .map(|_| {
            let mut client = Client::new(&c.addr);
            assert_eq!(client.ask("GET", "/_health", "", "").0, 200);
            client
        })
        .collect()
}

/// The headers and the body of a booking with an idempotency key.
fn keyed_booking(id: &str, key: &str, shard: u32) -> (String, String) {
    let headers = format!(
        "Req-Id: {id}\r\nReq-Kind: book\r\nReq-Deadline-Ms: 3000\r\nIdempotency-Key: {key}\r\n"
    );
    let body =
        json!({"tablets": [{"tablet": shard, "fraction": 1.0}], "statement": "what"}).to_string();
    (headers, body)
}

/// An idempotency key that the first core owns, found by sending bookings through a client.
fn key_of_first_core(c: &Coordinator, client: &mut Client) -> String {
    let is_owned_by_first_core = |key: &String| {
        let before = c.counters.on_core(0, "taken.queries");
        let (headers, body) = keyed_booking(&format!("probe-{key}"), key, 0);
        assert_eq!(client.ask("POST", "/book", &headers, &body).0, 200);
        c.counters.on_core(0, "taken.queries") > before
    };
    (0..100)
        .map(|n| format!("key{n}"))
        .find(is_owned_by_first_core)
        .expect("a key of the first core")
}

#[test]
fn queries_are_served_on_all_cores_and_counted_by_core_and_in_sum() {
    let _alone = run_alone();
    let ledger = Ledger::default();
    let h = host(0, false, &ledger, |s| Act::Serve(format!("v{}", s.shard)));
    let mut c = start(&[member(0, &h.addr, 0, "Ready")], &settings(), None, 4);
    let mut all = connect_clients(&c, 8);
    for (n, client) in all.iter_mut().enumerate() {
        client.query("near", &format!("q{n}"), 3000, &[0]);
        assert_eq!(client.read().0, 200);
    }
    assert_eq!(c.counters.get("answered.served.full"), 8);
    assert_eq!(
        [0, 1, 2, 3].map(|n| c.counters.on_core(n, "taken.queries")),
        [2; 4]
    );
    let text = all[0].ask("GET", "/_counters", "", "").2;
    assert!(
        text.contains("\ntaken.queries 8\n") && text.contains("core.3.taken.queries 2\n"),
        "{text}"
    );
    drop(all);
    c.join();
}

/// The drain grace is 600 ms, and the core is blocked for 1.5 s with queries in its mailbox.
#[test]
fn a_drain_is_in_force_on_a_blocked_core() {
    let _alone = run_alone();
    let ledger = Ledger::default();
    let serve = |s: &Seen| Act::Serve(format!("v{}", s.shard));
    let (old, new) = (
        host(0, false, &ledger, serve),
        host(1, false, &ledger, serve),
    );
    let (discovery, lines) = discovery();
    let mut quick = settings();
    quick["safety"]["drain_grace"] = json!(600.0);
    let members = [member(0, &old.addr, 0, "Ready")];
    let mut c = start(&members, &quick, Some(&discovery), 2);
    let mut all = connect_clients(&c, 6);
    // Both cores know the host and have a connection to it.
    for (n, client) in all.iter_mut().enumerate() {
        client.query("near", &format!("w{n}"), 3000, &[0]);
        assert_eq!(client.read().0, 200);
    }
    all[0].query("near", "stall-a", 5000, &[0]);
    until("a core holds the query that stalls it", || {
        c.counters.get("taken.queries") == 7
    });
    let changes = [
        member(0, &old.addr, 0, "Terminating"),
        member(1, &new.addr, 0, "Ready"),
    ];
    let news = c.counters.on_core(1, "list.news");
    lines
        .send(json!({"revision": 2, "complete": false, "members": changes}).to_string())
        .unwrap();
    until("the other core has read it", || {
        c.counters.on_core(1, "list.news") > news
    });
    let told = Instant::now();
    // Queries sent to the stalled core are handled only once it continues.
    for n in [2, 4] {
        all[n].query("near", &format!("late{n}"), 5000, &[0]);
    }
    for n in [0, 2, 4] {
        // Its latency target may have passed meanwhile; then it is refused, which is a final answer too.
        let status = all[n].read().0;
        assert!([200, 429].contains(&status), "{status}");
        // The successor is in slow start: until it has served a part, further ones are refused.
        let mut tries = 0;
        until("the successor serves", || {
            tries += 1;
            all[n].query("near", &format!("then{n}-{tries}"), 3000, &[0]);
            all[n].read().0 == 200
        });
    }
    let late: Vec<Seen> = ledger
        .all()
        .into_iter()
        .filter(|s| s.host == 0 && s.at > told + ms(650))
        .collect();
    assert!(
        late.is_empty(),
        "new work for a draining host after its grace: {late:?}"
    );
    assert!(
        ledger.all().iter().any(|s| s.host == 1),
        "its successor has the work"
    );
    drop(all);
    c.join();
}

#[test]
fn a_query_name_can_be_open_on_one_core_only() {
    let _alone = run_alone();
    let ledger = Ledger::default();
    let h = host(0, false, &ledger, |s| {
        std::thread::sleep(ms(400));
        Act::Serve(format!("v{}", s.shard))
    });
    let mut c = start(&[member(0, &h.addr, 0, "Ready")], &settings(), None, 2);
    let mut all = connect_clients(&c, 2);
    all[0].query("near", "same", 3000, &[0]);
    until("the first is out", || ledger.all().len() == 1);
    all[1].query("near", "same", 3000, &[0]);
    assert_eq!(all[1].read().0, 409, "in use, whichever core holds it");
    assert_eq!(all[0].read().0, 200);
    all[1].query("near", "same", 3000, &[0]);
    assert_eq!(all[1].read().0, 200, "free again");
    assert_eq!(
        [0, 1].map(|n| c.counters.on_core(n, "taken.queries")),
        [1, 1]
    );
    drop(all);
    c.join();
}

/// Bookings with one key run on the key's core, so that two cores can't both use the attempts that its class allows.
#[test]
fn bookings_with_one_key_on_several_connections_run_on_one_core() {
    let _alone = run_alone();
    let ledger = Ledger::default();
    let h = host(0, false, &ledger, |_| Act::Broke);
    let mut c = start(&[member(0, &h.addr, 0, "Ready")], &settings(), None, 4);
    let mut all = connect_clients(&c, 4);
    for (n, client) in all.iter_mut().enumerate() {
        let (headers, body) = keyed_booking(&format!("b{n}"), "one-key", 0);
        client.send("POST", "/book", &headers, &body);
    }
    for client in &mut all {
        assert_ne!(client.read().0, 200);
    }
    let by_core = [0, 1, 2, 3].map(|n| c.counters.on_core(n, "taken.queries"));
    assert_eq!(by_core.iter().max(), Some(&4), "{by_core:?}");
    // No part had more attempts than its class allows, nor an attempt after its window.
    let parts = ledger.attempts(3, ms(1000));
    assert_eq!(parts.len(), 4);
    drop(all);
    c.join();
}

#[test]
fn a_core_with_all_the_clients_hands_queries_to_an_idle_one() {
    let _alone = run_alone();
    let ledger = Ledger::default();
    let h = host(0, false, &ledger, |s| {
        std::thread::sleep(ms(5));
        Act::Serve(format!("v{}", s.shard))
    });
    let mut c = start(&[member(0, &h.addr, 0, "Ready")], &settings(), None, 2);
    let mut all = connect_clients(&c, 80);
    // Every second connection belongs to the other core; these are closed.
    let mut n = 0;
    all.retain(|_| {
        n += 1;
        n % 2 == 1
    });
    until("half the connections have ended", || {
        c.counters.get("clients.ended") == 40
    });
    for (n, client) in all.iter_mut().enumerate() {
        client.query("near", &format!("q{n}"), 3000, &[0]);
    }
    let statuses: Vec<u16> = all.iter_mut().map(|client| client.read().0).collect();
    assert!(
        statuses.iter().all(|s| [200, 429].contains(s)),
        "{statuses:?}"
    );
    assert!(c.counters.get("cores.handed_over") > 0);
    let by_core = [0, 1].map(|n| c.counters.on_core(n, "taken.queries"));
    assert!(
        by_core[0].min(by_core[1]) > 0 && by_core[0] + by_core[1] == 40,
        "{by_core:?}"
    );
    drop(all);
    c.join();
}

#[test]
fn the_limit_on_open_parts_is_shared_by_all_cores() {
    let _alone = run_alone();
    let ledger = Ledger::default();
    let h = host(0, false, &ledger, |_| Act::Silent);
    let mut small = settings();
    small["caps"]["open_cap"] = json!(20);
    let mut c = start(&[member(0, &h.addr, 0, "Ready")], &small, None, 4);
    let mut all = connect_clients(&c, 20);
    for (n, client) in all.iter_mut().enumerate() {
        // Two units each: the query and its part.
        client.query("near", &format!("q{n}"), 3000, &[0]);
    }
    let statuses: Vec<u16> = all.iter_mut().map(|client| client.read().0).collect();
    assert_eq!(statuses.len(), 20);
    let over = c.counters.get("answered.refused.open_cap");
    // Ten queries fit. While several cores acquire units at once, each may refuse one more.
    assert!((10..=14).contains(&over), "{over} refused for the limit");
    assert_eq!(c.counters.get("taken.queries"), 20);
    drop(all);
    c.join();
}

#[test]
fn a_core_that_panics_fails_its_queries_at_once_and_the_others_serve_on() {
    let _alone = run_alone();
    let ledger = Ledger::default();
    let h = host(0, false, &ledger, |s| match s.text.as_str() {
        "what" if s.id.starts_with("slow") => Act::Silent,
        _ => Act::Serve(format!("v{}", s.shard)),
    });
    let mut c = start(&[member(0, &h.addr, 0, "Ready")], &settings(), None, 2);
    let mut all = connect_clients(&c, 4);
    // A booking from another core's client that is handled by the core that will panic.
    let key = key_of_first_core(&c, &mut all[1]);
    let (headers, body) = keyed_booking("slow", &key, 0);
    all[1].send("POST", "/book", &headers, &body);
    until("the booking is out", || {
        ledger.all().iter().any(|s| s.id.starts_with("slow"))
    });
    all[0].query("near", "panic-now", 3000, &[0]);
    assert!(all[0].ended(), "its own clients lose their connections");
    // If it had waited for its deadline, the status would be 504.
    assert_eq!(all[1].read().0, 500, "a final answer at once");
    until("the main thread was notified", || {
        c.counters.get("cores.ended") == 1
    });
    // The key and new connections are now assigned to another core, and the query names are free again.
    let (headers, body) = keyed_booking("again", &key, 0);
    assert_eq!(all[3].ask("POST", "/book", &headers, &body).0, 200);
    let mut more = connect_clients(&c, 3);
    for (n, client) in more.iter_mut().enumerate() {
        client.query("near", &format!("after{n}"), 3000, &[0]);
        assert_eq!(client.read().0, 200);
    }
    drop((all, more));
    c.join();
}

#[test]
fn a_query_owned_by_a_stalled_core_fails_at_once() {
    let _alone = run_alone();
    let ledger = Ledger::default();
    let h = host(0, false, &ledger, |s| Act::Serve(format!("v{}", s.shard)));
    let mut c = start(&[member(0, &h.addr, 0, "Ready")], &settings(), None, 2);
    let mut all = connect_clients(&c, 4);
    let key = key_of_first_core(&c, &mut all[1]);
    let taken = c.counters.get("taken.queries");
    all[0].query("near", "stall-b", 5000, &[0]);
    until("the core stands still", || {
        c.counters.get("taken.queries") == taken + 1
    });
    let (headers, body) = keyed_booking("held", &key, 0);
    // If it had waited for the other core, the status would be 200.
    assert_eq!(all[1].ask("POST", "/book", &headers, &body).0, 500);
    // The core continues: its pending queries are answered, and it serves new ones.
    assert!([200, 429].contains(&all[0].read().0));
    let (headers, body) = keyed_booking("after", &key, 0);
    assert_eq!(all[3].ask("POST", "/book", &headers, &body).0, 200);
    drop(all);
    c.join();
}

#[test]
fn an_unreachable_host_is_reported_to_the_other_cores() {
    let _alone = run_alone();
    let ledger = Ledger::default();
    let good = host(0, false, &ledger, |s| {
        std::thread::sleep(ms(20));
        Act::Serve(format!("v{}", s.shard))
    });
    let gone = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .to_string();
    let members = [
        member(0, &good.addr, 0, "Ready"),
        member(1, &gone, 0, "Ready"),
    ];
    let mut c = start(&members, &settings(), None, 2);
    let mut all = connect_clients(&c, 8);
    // Only the first core's clients send queries, until a part and a probe have both failed to connect to the host.
    let begun = Instant::now();
    while c.counters.get("cores.told_unreached") == 0 && begun.elapsed() < PATIENCE {
        for n in [0, 2, 4, 6] {
            all[n].query("near", &format!("q{n}"), 3000, &[0]);
        }
        for n in [0, 2, 4, 6] {
            assert!([200, 429].contains(&all[n].read().0));
        }
    }
    assert_eq!(
        c.counters.on_core(0, "cores.told_unreached"),
        1,
        "{}",
        c.counters.text()
    );
    drop(all);
    c.join();
}

/// Each connection has a pending query, so that none ends or is closed as idle before all are open. Each core sends at
/// most five parts to a host that has not answered yet.
#[test]
fn five_hundred_connections_are_distributed_evenly() {
    let _alone = run_alone();
    let ledger = Ledger::default();
    let hosts: Vec<Host> = (0..40)
        .map(|n| host(n, false, &ledger, |_| Act::Silent))
        .collect();
    let members: Vec<Value> = (0..40)
        .map(|n| member(n, &hosts[n].addr, 0, "Ready"))
        .collect();
    let mut patient = settings();
    patient["caps"]["open_cap"] = json!(4000);
    for limit in ["goal_time", "hard_limit"] {
        patient["classes"][0][limit] = json!(60_000.0);
    }
    let text = config("127.0.0.1:0", &members, &patient, None);
    let mut text: Value = serde_json::from_str(&text).unwrap();
    text["limits"] = json!({"sockets": 2048, "memory_mb": 512});
    let mut c = Coordinator::start(&text.to_string(), &operator_file(4));
    let mut all: Vec<Client> = Vec::new();
    for n in 0..500 {
        let mut client = Client::new(&c.addr);
        let health = request("GET", "/_health", "", "");
        client.write((health + &query("near", &format!("q{n}"), 60_000, &[0])).as_bytes());
        all.push(client);
    }
    assert!(all.iter_mut().all(|client| client.read().0 == 200));
    until("all have their query out", || {
        c.counters.get("sent.first") == 500
    });
    assert_eq!(c.counters.get("clients.ended"), 0, "{}", c.counters.text());
    drop(all);
    until("all have ended", || c.counters.get("clients.ended") == 500);
    let by_core = [0, 1, 2, 3].map(|n| c.counters.on_core(n, "clients.ended"));
    assert!(by_core.iter().all(|n| *n == 125), "{by_core:?}");
    c.join();
}
