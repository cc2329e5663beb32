//! Stories on the platform's protocol: the coordinator between scripted hosts, discovery and clients.

mod support;

use serde_json::Value;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, RwLock};
use std::time::Instant;
use support::*;

fn value(seen: &Seen) -> Act {
    Act::Serve(format!("v{}", seen.shard))
}

/// Two hosts for the one cell 0, the first with its own script.
fn pair(
    ledger: &Ledger,
    first: impl Fn(&Seen) -> Act + Send + Sync + 'static,
) -> (Vec<Host>, Vec<Value>) {
    let hosts = vec![host(0, false, ledger, first), host(1, false, ledger, value)];
    let members = (0..2)
        .map(|n| member(n, &hosts[n].addr, 0, "Ready"))
        .collect();
    (hosts, members)
}

fn start(members: &[Value]) -> Coordinator {
    Coordinator::start(&config("127.0.0.1:1", members, &settings(), None), "")
}

#[test]
fn a_query_is_split_asked_and_answered_whole() {
    let ledger = Ledger::default();
    let (a, b) = (
        host(0, false, &ledger, value),
        host(1, false, &ledger, value),
    );
    let c = start(&[
        member(0, &a.addr, 0, "Ready"),
        member(1, &b.addr, 1, "Ready"),
    ]);
    let mut client = Client::new(&c.addr);
    assert_eq!(client.ask("GET", "/_health", "", "").0, 200);
    client.query("book", "q1", 2000, &[0, 2, 1]);
    let (status, _, body) = client.read();
    let body: Value = serde_json::from_str(&body).unwrap();
    assert_eq!((status, &body["full"]), (200, &Value::Bool(true)));
    let mut pieces: Vec<String> = body["pieces"]
        .as_array()
        .unwrap()
        .iter()
        .map(std::string::ToString::to_string)
        .collect();
    pieces.sort();
    assert_eq!(
        pieces,
        [0, 1, 2].map(|s| format!(r#"{{"cell":"v{s}","tablet":{s}}}"#))
    );
    let seen = ledger.all();
    assert!(seen
        .iter()
        .all(|s| s.key.as_deref() == Some("k-q1") && s.text == "what"));
    assert!(
        seen.iter().all(|s| s.host as u32 == s.shard % 2),
        "a part went to a host without its shard"
    );
    // The two parts of one turn to one host are one call.
    assert_eq!((seen.len(), c.counters.get("sent.calls")), (3, 2));
}

/// A part that times out is withdrawn before it is sent again, so that its attempts never overlap.
#[test]
fn a_silent_host_is_told_before_another_is_asked() {
    let ledger = Ledger::default();
    let (_hosts, members) = pair(&ledger, |_| Act::Silent);
    let c = start(&members);
    let mut client = Client::new(&c.addr);
    for n in 0..6 {
        client.query("near", &format!("q{n}"), 3000, &[0]);
        assert_eq!(client.read().0, 200);
    }
    let attempts = ledger.attempts(3, PATIENCE);
    assert!(
        attempts.values().any(|n| *n > 1),
        "the silent host was never asked"
    );
    assert_eq!(
        c.counters.get("ended.timeout"),
        c.counters.get("sent.resends")
    );
}

/// A break after the frame's last byte, an error and a frame that can't be read may all have run;
/// none of them costs more than that connection.
#[test]
fn broken_hosts_cost_their_parts_and_no_more() {
    for act in [Act::Break, Act::Broke, Act::Garbage, Act::Skip] {
        let ledger = Ledger::default();
        let bad = act.clone();
        let (_hosts, members) = pair(&ledger, move |_| bad.clone());
        let c = start(&members);
        let mut client = Client::new(&c.addr);
        for n in 0..6 {
            client.query("book", &format!("q{n}"), 3000, &[0]);
            let (status, _, body) = client.read();
            assert!(
                status == 200 && body.contains("\"full\":true"),
                "{status} {body}"
            );
        }
        let attempts = ledger.attempts(3, ms(1000));
        assert!(
            attempts.values().any(|n| *n > 1),
            "the bad host was never asked"
        );
        let name = match act {
            Act::Broke | Act::Garbage => "ended.error",
            Act::Skip => "ended.full",
            _ => "ended.reset",
        };
        assert_eq!(
            c.counters.get(name),
            c.counters.get("sent.resends"),
            "{name}"
        );
    }
}

/// Two queries by one name at once: each still gets its one answer, in its time.
#[test]
fn a_name_used_twice_at_once_costs_no_answer() {
    let ledger = Ledger::default();
    let slow = host(0, false, &ledger, |s| {
        std::thread::sleep(ms(150));
        value(s)
    });
    let c = start(&[member(0, &slow.addr, 0, "Ready")]);
    let mut clients: Vec<Client> = (0..3).map(|_| Client::new(&c.addr)).collect();
    clients
        .iter_mut()
        .for_each(|c| c.query("near", "same", 3000, &[0, 2]));
    assert!(clients.iter_mut().all(|c| c.read().0 > 0));
    until("all attempts end", || {
        let text = c.counters.text();
        let ended = text
            .lines()
            .filter_map(|l| l.strip_prefix("ended.")?.split_once(' '));
        let ended: u64 = ended.map(|(_, n)| n.parse::<u64>().unwrap()).sum();
        c.counters.get("sent.first") + c.counters.get("sent.resends") == ended
    });
}

/// A keyed part that may have run is not repeated once its window is over, and what can't be served is
/// answered at once with the time to come back.
#[test]
fn a_keyed_part_out_past_its_window_is_not_repeated() {
    let ledger = Ledger::default();
    let silent = host(0, false, &ledger, |_| Act::Silent);
    let c = start(&[member(0, &silent.addr, 0, "Ready")]);
    let mut client = Client::new(&c.addr);
    client.query("book", "q", 3000, &[0]);
    let (status, headers, _) = client.read();
    assert!(
        status != 200 && headers.contains_key("retry-after"),
        "{status}"
    );
    ledger.attempts(3, ms(1000));
}

#[test]
fn a_client_that_closes_withdraws_its_parts() {
    let ledger = Ledger::default();
    let silent = host(0, false, &ledger, |_| Act::Silent);
    let c = start(&[member(0, &silent.addr, 0, "Ready")]);
    let mut client = Client::new(&c.addr);
    client.query("near", "q", 3000, &[0]);
    until("the part is out", || ledger.all().len() == 1);
    drop(client);
    until("the host is told", || ledger.all()[0].over.is_some());
    assert_eq!(c.counters.get("answered.none.client_gone"), 1);
}

/// Nothing listens: every send proves that it never ran, and the query is answered in its time.
#[test]
fn refused_connections_are_answered_in_time() {
    let gone = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .to_string();
    let c = start(&[member(0, &gone, 0, "Ready")]);
    let mut client = Client::new(&c.addr);
    let asked = Instant::now();
    client.query("book", "q", 2000, &[0]);
    let (status, headers, _) = client.read();
    assert!(
        status == 429 && headers.contains_key("retry-after"),
        "{status}"
    );
    assert!(asked.elapsed() < ms(2000) && c.counters.get("ended.connect_failed") > 0);
}

/// The list of a restart may be stale; a drain told by discovery stops new work, a line that can't be
/// read costs the watch and nothing else.
#[test]
fn drains_are_kept_and_a_bad_line_costs_only_the_watch() {
    let ledger = Ledger::default();
    let (_hosts, members) = pair(&ledger, value);
    let (addr, lines) = discovery();
    let c = Coordinator::start(
        &config("127.0.0.1:1", &members, &settings(), Some(&addr)),
        "",
    );
    let change = |revision: u64, m: Value| {
        lines
            .send(
                serde_json::json!({"revision": revision, "complete": false, "members": [m]})
                    .to_string(),
            )
            .unwrap();
    };
    lines.send("{nonsense".into()).unwrap();
    until("the watch ends", || c.counters.get("list.ended") == 1);
    let mut draining = members[0].clone();
    draining["phase"] = "Terminating".into();
    change(2, draining);
    until("the drain is told", || c.counters.get("list.news") == 2);
    let mut client = Client::new(&c.addr);
    for n in 0..20 {
        client.query("near", &format!("q{n}"), 3000, &[0]);
        assert_eq!(client.read().0, 200);
    }
    assert!(ledger.all().iter().all(|s| s.host == 1));
    change(3, members[0].clone());
    until("the host is back", || c.counters.get("list.news") == 3);
    // With the one idle host taken, others go to the one that is back.
    let mut clients: Vec<Client> = (0..4).map(|_| Client::new(&c.addr)).collect();
    let mut round = 0;
    until("it gets work again", || {
        round += 1;
        clients
            .iter_mut()
            .enumerate()
            .for_each(|(n, c)| c.query("near", &format!("r{round}-{n}"), 3000, &[0]));
        assert!(clients.iter_mut().all(|c| c.read().0 == 200));
        ledger.all().iter().any(|s| s.host == 0)
    });
}

#[test]
fn what_is_no_query_gets_its_status() {
    let c = start(&[]);
    let ask = |bytes: &[u8]| {
        let mut client = Client::new(&c.addr);
        client.write(bytes);
        client.read().0
    };
    let post = |path: &str, length: usize| {
        format!("POST {path} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n")
    };
    assert_eq!(ask(b"nonsense\r\n\r\n"), 400);
    assert_eq!(ask(format!("{}{{}}", post("/near", 2)).as_bytes()), 400);
    assert_eq!(ask(format!("{}{{}}", post("/far", 2)).as_bytes()), 404);
    assert_eq!(ask(b"GET /near HTTP/1.1\r\n\r\n"), 405);
    assert_eq!(ask(post("/near", 64 * 1024 + 1).as_bytes()), 413);
    assert_eq!(
        ask(b"POST /near HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}"),
        400
    );
    let chunked = "POST /near HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(ask(format!("{chunked}zz\r\n").as_bytes()), 400);
    assert_eq!(
        ask(format!("{chunked}2\r\n{{}}\r\n0\r\n\r\n").as_bytes()),
        400
    );
    let chunk = format!("8000\r\n{}\r\n", "x".repeat(0x8000));
    assert_eq!(
        ask(format!("{chunked}{chunk}{chunk}1\r\nx\r\n0\r\n\r\n").as_bytes()),
        413
    );
    assert_eq!(
        ask(format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "x".repeat(20_000)).as_bytes()),
        431
    );
    let mut client = Client::new(&c.addr);
    client.query("near", "q", 3000, &[0]);
    assert_eq!(client.read().0, 429, "no host holds the shard");
}

/// What hosts would turn away, or take for a copy of another's part, is an error to its client alone: sent
/// on, it could cost others on that host's connection, and serving it would answer what was not asked.
#[test]
fn what_no_host_could_use_is_turned_down_before_it_costs_others() {
    let ledger = Ledger::default();
    let h = host(0, false, &ledger, |s| match s.id.as_str() {
        "held.0" => Act::Silent,
        _ => value(s),
    });
    let c = start(&[member(0, &h.addr, 0, "Ready")]);
    let mut client = Client::new(&c.addr);
    client.query("near", "held", 3000, &[0]);
    until("the part is out", || ledger.all().len() == 1);
    let ask = |headers: &str, parts: &str| {
        let body = format!(r#"{{"tablets":[{parts}],"statement":"x"}}"#);
        Client::new(&c.addr).ask("POST", "/near", headers, &body).0
    };
    let good = "Req-Id: a\r\nReq-Deadline-Ms: 3000\r\n";
    let part = r#"{"tablet":0,"fraction":1.0}"#;
    assert_eq!(ask(good, part), 200);
    for (headers, parts) in [
        (good, r#"{"tablet":100,"fraction":1.0}"#),
        (good, r#"{"tablet":0,"fraction":1.5}"#),
        (
            good,
            r#"{"tablet":0,"fraction":0.5},{"tablet":2,"fraction":0.0},{"tablet":4,"fraction":0.5}"#,
        ),
        (
            good,
            r#"{"tablet":0,"fraction":0.5},{"tablet":2,"fraction":0.4}"#,
        ),
        (
            good,
            r#"{"tablet":0,"fraction":0.5},{"tablet":0,"fraction":0.5}"#,
        ),
        ("Req-Id: b\r\nReq-Deadline-Ms: soon\r\n", part),
        ("Req-Deadline-Ms: 3000\r\n", part),
    ] {
        assert_eq!(ask(headers, parts), 400, "{headers} {parts}");
    }
    assert_eq!(ask("Req-Id: held\r\nReq-Deadline-Ms: 3000\r\n", part), 409);
    assert_eq!(
        Client::new(&c.addr)
            .ask(
                "POST",
                "/book",
                good,
                &format!(r#"{{"tablets":[{part}],"statement":"x"}}"#)
            )
            .0,
        400
    );
    assert_eq!(ledger.all().len(), 2);
}

/// Connections that say nothing, or half of something, are let go in time, and while there are more of
/// them than there are seats the usual clients still get theirs.
#[test]
fn silent_and_half_sent_connections_go_and_keep_nobody_out() {
    let ledger = Ledger::default();
    let h = host(0, false, &ledger, value);
    let text = config(
        "127.0.0.1:1",
        &[member(0, &h.addr, 0, "Ready")],
        &settings(),
        None,
    );
    let mut small: Value = serde_json::from_str(&text).unwrap();
    small["limits"] = serde_json::json!({"memory_mb": 32, "sockets": 128});
    let c = Coordinator::start(&small.to_string(), "");
    let mut half = Client::new(&c.addr);
    half.write(b"POST /near HTTP/1.1\r\nContent-Length: 5\r\n\r\n12");
    let started = Instant::now();
    let mut silent: Vec<Client> = (0..60).map(|_| Client::new(&c.addr)).collect();
    std::thread::sleep(ms(200));
    silent.extend((0..60).map(|_| Client::new(&c.addr)));
    std::thread::sleep(ms(200));
    for n in 0..10 {
        let mut usual = Client::new(&c.addr);
        usual.query("near", &format!("q{n}"), 3000, &[0]);
        assert_eq!(usual.read().0, 200);
    }
    assert!(c.counters.get("clients.made_room") > 0);
    assert!(half.ended() && silent.iter_mut().all(Client::ended) && started.elapsed() < ms(3000));
}

/// Clients that ask once and stay go, the longest idle first, long before all seats are taken: those who
/// want to ask are given only so many connections.
#[test]
fn clients_that_stay_after_one_request_go_before_it_is_full() {
    let text = config("127.0.0.1:1", &[], &settings(), None);
    let mut small: Value = serde_json::from_str(&text).unwrap();
    small["limits"] = serde_json::json!({"memory_mb": 32, "sockets": 128});
    let c = Coordinator::start(&small.to_string(), "");
    let mut stay: Vec<Client> = (0..24).map(|_| Client::new(&c.addr)).collect();
    assert!(stay
        .iter_mut()
        .all(|c| c.ask("GET", "/_health", "", "").0 == 200));
    std::thread::sleep(ms(200));
    let mut fresh: Vec<Client> = (0..4).map(|_| Client::new(&c.addr)).collect();
    assert!(fresh
        .iter_mut()
        .all(|c| c.ask("GET", "/_health", "", "").0 == 200));
    assert!(stay[..4].iter_mut().all(Client::ended));
    assert_eq!(c.counters.get("clients.made_room"), 4);
}

/// A request that could hide another one is refused, and nothing behind it is read as a request.
#[test]
fn a_request_with_two_lengths_ends_its_connection() {
    let ledger = Ledger::default();
    let h = host(0, false, &ledger, value);
    let c = start(&[member(0, &h.addr, 0, "Ready")]);
    let body = r#"{"tablets":[{"tablet":0,"fraction":1.0}],"statement":"x"}"#;
    let head = "Req-Id: hidden\r\nReq-Deadline-Ms: 3000\r\nContent-Length";
    let hidden = format!(
        "POST /near HTTP/1.1\r\n{head}: {}\r\n\r\n{body}",
        body.len()
    );
    for coding in [
        "Transfer-Encoding: chunked",
        "Transfer-Encoding: identity",
        "transfer-encoding: x, chunked",
    ] {
        let mut client = Client::new(&c.addr);
        let outer = format!(
            "POST /near HTTP/1.1\r\nContent-Length: {}\r\n{coding}\r\n\r\n",
            hidden.len()
        );
        client.write(format!("{outer}0\r\n\r\n{hidden}").as_bytes());
        let (status, headers, _) = client.read();
        assert!(status == 400 && headers["connection"] == "close" && client.ended());
    }
    assert!(ledger.all().is_empty());
}

/// One that asks for nonsense again and again is answered, but read less and less often.
#[test]
fn a_client_that_errs_again_and_again_is_slowed_down() {
    let c = start(&[]);
    let mut client = Client::new(&c.addr);
    let started = Instant::now();
    assert!((0..8).all(|_| client.ask("POST", "/far", "", "{}").0 == 404));
    assert!(started.elapsed() > ms(700));
}

/// Discovery moves: the known list stays until the new place speaks, whatever version it counts by.
#[test]
fn a_new_discovery_is_followed_once_it_speaks() {
    let ledger = Ledger::default();
    let (hosts, members) = pair(&ledger, value);
    let (old, _old_lines) = discovery();
    let (new, lines) = discovery();
    let c = Coordinator::start(
        &config("127.0.0.1:1", &members, &settings(), Some(&old)),
        "",
    );
    c.moves.send(new).unwrap();
    until("it has moved", || c.counters.get("list.moved") == 1);
    let mut client = Client::new(&c.addr);
    let mut ask = |n: usize| {
        client.query("near", &format!("q{n}"), 3000, &[0]);
        assert_eq!(client.read().0, 200, "the known list is gone");
    };
    ask(0);
    let list = serde_json::json!({"revision": 0, "complete": true, "members": [members[1]]});
    lines.send(list.to_string()).unwrap();
    until("the new place has spoken", || {
        c.counters.get("list.news") == 2
    });
    (1..8).for_each(&mut ask);
    assert!(
        ledger.all()[1..].iter().all(|s| s.host == 1),
        "{}",
        hosts.len()
    );
}

/// At the cap on open queries and parts new ones are refused, with the time to come back.
#[test]
fn a_full_coordinator_refuses() {
    let ledger = Ledger::default();
    let silent = host(0, false, &ledger, |_| Act::Silent);
    let mut small = settings();
    small["caps"]["open_cap"] = 3.into();
    let members = [member(0, &silent.addr, 0, "Ready")];
    let c = Coordinator::start(&config("127.0.0.1:1", &members, &small, None), "");
    let mut first = Client::new(&c.addr);
    first.query("near", "q1", 3000, &[0]);
    until("the first is out", || ledger.all().len() == 1);
    let mut second = Client::new(&c.addr);
    second.query("near", "q2", 3000, &[0]);
    let (status, headers, _) = second.read();
    assert_eq!(
        (status, c.counters.get("answered.refused.open_cap")),
        (429, 1)
    );
    assert!(headers.contains_key("retry-after"));
}

/// Beyond the cap on clients, which follows from memory and descriptors, a request is refused and not
/// left to wait; but a connection that stands idle goes first.
#[test]
fn a_client_beyond_the_cap_is_told_to_come_back() {
    let ledger = Ledger::default();
    // Nothing is answered or refused while the clients come, however long that takes: a host without an
    // answer yet is given five parts, and one whose query is refused stands idle and makes room.
    let gate = Arc::new(RwLock::new(()));
    let shut = gate.write().unwrap();
    let hosts_gate = gate.clone();
    let held = move |seen: &Seen| {
        drop(hosts_gate.read());
        value(seen)
    };
    let hosts: Vec<Host> = (0..20)
        .map(|n| host(n, false, &ledger, held.clone()))
        .collect();
    let members: Vec<Value> = (0..20)
        .map(|n| member(n, &hosts[n].addr, 0, "Ready"))
        .collect();
    let mut patient = settings();
    for limit in ["goal_time", "hard_limit"] {
        patient["classes"][0][limit] = 60_000.0.into();
    }
    let text = config("127.0.0.1:1", &members, &patient, None);
    let mut small: Value = serde_json::from_str(&text).unwrap();
    small["limits"] = serde_json::json!({"memory_mb": 32, "sockets": 128});
    let c = Coordinator::start(&small.to_string(), "");
    let mut clients: Vec<Client> = Vec::new();
    for n in 0..80 {
        let mut client = Client::new(&c.addr);
        client.query("near", &format!("q{n}"), 60_000, &[0]);
        clients.push(client);
    }
    until("all seats are those of queries", || {
        c.counters.get("sent.first") == 80
    });
    let (status, headers, _) = Client::new(&c.addr).ask("GET", "/_health", "", "");
    assert!(
        status == 503 && headers.contains_key("retry-after"),
        "{status}"
    );
    assert_eq!(c.counters.get("answered.refused.client_cap"), 1);
    drop(shut);
    assert!(
        clients.iter_mut().all(|c| c.read().0 == 200),
        "those who had a seat keep it"
    );
    assert_eq!(c.counters.get("clients.made_room"), 0);
    until("idle ones make room", || {
        Client::new(&c.addr).ask("GET", "/_health", "", "").0 == 200
    });
    assert!(c.counters.get("clients.made_room") > 0);
}

/// A host closes what stands idle; a call written just then would be lost, so links close first.
#[test]
fn unused_links_close_before_the_host_does() {
    let ledger = Ledger::default();
    let h = host(0, false, &ledger, value);
    let mut quick = settings();
    quick["caps"]["conn_idle"] = 300.0.into();
    let members = [member(0, &h.addr, 0, "Ready")];
    let c = Coordinator::start(&config("127.0.0.1:1", &members, &quick, None), "");
    let mut client = Client::new(&c.addr);
    client.query("near", "q1", 3000, &[0]);
    assert_eq!(client.read().0, 200);
    until("the link is closed", || c.counters.get("links.ended") == 1);
    client.query("near", "q2", 3000, &[0]);
    assert_eq!((client.read().0, c.counters.get("links.opened")), (200, 2));
}

/// What was taken before the stop, and what comes on open connections just after, is answered.
#[test]
fn a_stop_answers_all_that_was_taken() {
    let ledger = Ledger::default();
    let slow = AtomicUsize::new(0);
    let h = host(0, false, &ledger, move |s| {
        if slow.fetch_add(1, Ordering::Relaxed) == 0 {
            std::thread::sleep(ms(900));
        }
        value(s)
    });
    let mut c = start(&[member(0, &h.addr, 0, "Ready")]);
    let (mut first, mut second) = (Client::new(&c.addr), Client::new(&c.addr));
    first.query("near", "q1", 3000, &[0]);
    until("the first is out", || ledger.all().len() == 1);
    c.stop();
    second.query("near", "q2", 3000, &[0]);
    assert_eq!((first.read().0, second.read().0), (200, 200));
    // Clients use the connections they have for as long as these stay open: closing them early would send
    // them to others that may be down as well.
    std::thread::sleep(ms(800));
    second.query("near", "q3", 3000, &[0]);
    let (status, headers, _) = second.read();
    assert!(status == 200 && !headers.contains_key("connection"));
    c.join();
    assert!(first.ended() && second.ended());
}
