//! Tests of the host connections, which get calls as from the core.

mod support;

use coordinator::core::{settings, AttemptEnd, CoreMessage, Endpoint, PartRequest, Transport};
use coordinator::counters::Counters;
use coordinator::front::opensearch::hosts::{payload, OpenSearchHosts};
use coordinator::net::hosts::{HostConnections, HostConnectionsSetup};
use coordinator::net::link::{Dialect, Frames};
use coordinator::{Outcome, RequestId, ServerId, ServerState};
use std::sync::Arc;
use std::time::Instant;
use support::*;
use tokio::sync::mpsc;

const HOST: ServerId = ServerId(0);

struct ConnectionsFixture {
    runtime: tokio::runtime::Runtime,
    connections: HostConnections,
    messages: mpsc::UnboundedReceiver<CoreMessage>,
    host: Endpoint,
}

impl ConnectionsFixture {
    fn new(dialect: Arc<dyn Dialect>, addr: &str) -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        let caps = settings::read(&settings().to_string()).unwrap().limits;
        let (core, messages) = mpsc::unbounded_channel();
        let connections = HostConnections::new(HostConnectionsSetup {
            dialect,
            caps,
            max_connections: 64,
            core,
            counters: Counters::default(),
            gates: None,
            restart_role: coordinator::ops::hot_restart::never_restarted(),
        });
        let (addr, zone) = (addr.to_owned(), "a".to_owned());
        let host = Endpoint {
            id: "h".into(),
            addr,
            zone,
            cell: 0,
            state: ServerState::Ready,
            up_since_ms: 0,
        };
        let mut fixture = Self {
            runtime,
            connections,
            messages,
            host,
        };
        fixture.act(|p, host| p.host_listed(HOST, host, None));
        fixture
    }

    fn act(&mut self, act: impl FnOnce(&mut HostConnections, &Endpoint)) {
        let _inside = self.runtime.enter();
        act(&mut self.connections, &self.host);
    }

    fn call(&mut self, n: u64) {
        self.call_before(n, None);
    }

    /// Sends a call that must not be written after `send_before`.
    fn call_before(&mut self, n: u64, send_before: Option<Instant>) {
        let give_up = Instant::now() + PATIENCE;
        let payload = payload("taxis", &Default::default());
        let name = format!("q{n}").into();
        let part = PartRequest {
            part: RequestId(n),
            attempt: 0,
            query_name: name,
            shard: 0,
            times_out_at: give_up,
            send_before,
            idempotency_key: None,
            payload,
        };
        self.act(|p, _| p.send_call(HOST, vec![part]));
    }

    fn cancel(&mut self, n: u64) {
        self.act(|p, _| p.cancel(HOST, RequestId(n), 0, Outcome::Cancelled));
    }

    fn next(&mut self) -> CoreMessage {
        let Self {
            runtime, messages, ..
        } = self;
        runtime.block_on(async {
            tokio::time::timeout(PATIENCE, messages.recv())
                .await
                .unwrap()
                .unwrap()
        })
    }

    fn ended(&mut self) -> (u64, Outcome) {
        let AttemptEnd { part, outcome, .. } = self.end();
        (part.0, outcome)
    }

    fn end(&mut self) -> AttemptEnd {
        match self.next() {
            CoreMessage::AttemptEnded(ended) => ended,
            _ => panic!("not the end of an attempt"),
        }
    }
}

/// A release and a call in the same turn: the call uses a new connection, not the one that is closing.
#[test]
fn a_call_right_after_a_release_is_served() {
    let ledger = Ledger::default();
    let host = host(0, false, &ledger, |_| Act::Serve("v".into()));
    let mut fixture = ConnectionsFixture::new(Arc::new(Frames), &host.addr);
    fixture.call(1);
    assert_eq!(fixture.ended(), (1, Outcome::Ok));
    fixture.act(|p, _| p.close_idle_connections(HOST));
    fixture.call(2);
    assert_eq!(fixture.ended(), (2, Outcome::Ok));
}

/// A call and its cancellation both arrive before the connection is established, or both wait in the mailbox of an
/// established one: the call is not sent, in either protocol, and the next call is.
#[test]
fn a_call_cancelled_before_it_begins_is_never_sent() {
    for (dialect, http) in [
        (Arc::new(Frames) as Arc<dyn Dialect>, false),
        (Arc::new(OpenSearchHosts), true),
    ] {
        let ledger = Ledger::default();
        let answer = if http { r#"{"hits":{}}"# } else { "v" };
        let host = host(0, http, &ledger, move |_| Act::Serve(answer.into()));
        let mut fixture = ConnectionsFixture::new(dialect, &host.addr);
        for (gone, stays) in [(1, 2), (3, 4)] {
            // None of the actors runs between these: all are in their mailboxes when they do.
            fixture.call(gone);
            fixture.cancel(gone);
            fixture.call(stays);
            let mut ends = [fixture.ended(), fixture.ended()];
            ends.sort_by_key(|e| e.0);
            assert_eq!(ends, [(gone, Outcome::Cancelled), (stays, Outcome::Ok)]);
            assert!(
                ledger.all().iter().all(|s| s.id != format!("q{gone}.0")),
                "q{gone} was sent"
            );
        }
    }
}

/// Retracting a part stops it only if it was not sent yet; a part on the wire completes normally.
#[test]
fn a_retracted_part_is_stopped_unless_it_was_sent() {
    for (dialect, http) in [
        (Arc::new(Frames) as Arc<dyn Dialect>, false),
        (Arc::new(OpenSearchHosts), true),
    ] {
        let ledger = Ledger::default();
        let (met, go) = std::sync::mpsc::channel();
        let (go, met) = (std::sync::Mutex::new(go), std::sync::Mutex::new(met));
        let answer = if http { r#"{"hits":{}}"# } else { "v" };
        let host = host(0, http, &ledger, move |_| {
            go.lock().unwrap().recv().unwrap();
            Act::Serve(answer.into())
        });
        let mut fixture = ConnectionsFixture::new(dialect, &host.addr);
        fixture.call(1);
        fixture.act(|p, _| p.retract(HOST, RequestId(1), 0));
        assert_eq!(fixture.ended(), (1, Outcome::NotSent));
        fixture.call(2);
        fixture.runtime.block_on(async {
            while ledger.all().is_empty() {
                tokio::time::sleep(ms(1)).await;
            }
        });
        fixture.act(|p, _| p.retract(HOST, RequestId(2), 0));
        met.lock().unwrap().send(()).unwrap();
        assert_eq!(fixture.ended(), (2, Outcome::Ok));
        assert_eq!(ledger.all().len(), 1);
    }
}

/// A part is cancelled while its host does not read the rest of the frame: the connection is closed within the timeout
/// for a cancellation, since the rest would otherwise be sent whenever the host continues to read. The part has not
/// run.
#[test]
fn a_partly_written_call_that_is_cancelled_is_never_finished() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut fixture = ConnectionsFixture::new(
        Arc::new(Frames),
        &listener.local_addr().unwrap().to_string(),
    );
    let (give_up, name, payload) = (
        Instant::now() + PATIENCE,
        "q1".into(),
        vec![b'x'; 64 << 20].into(),
    );
    let part = PartRequest {
        part: RequestId(1),
        attempt: 0,
        query_name: name,
        shard: 0,
        times_out_at: give_up,
        send_before: None,
        idempotency_key: None,
        payload,
    };
    fixture.act(|p, _| p.send_call(HOST, vec![part]));
    let (tx, accepted) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let stream = listener.accept().unwrap().0;
        // A blocking peek would stop the only thread, which also writes the call.
        stream.set_nonblocking(true).unwrap();
        tx.send(stream)
    });
    let begun = |s: &std::net::TcpStream| matches!(s.peek(&mut [0]), Ok(1));
    let ConnectionsFixture { runtime, .. } = &fixture;
    let host = runtime.block_on(async {
        loop {
            tokio::time::sleep(ms(1)).await;
            if let Ok(stream) = accepted.try_recv() {
                while !begun(&stream) {
                    tokio::time::sleep(ms(1)).await;
                }
                break stream;
            }
        }
    });
    fixture.cancel(1);
    assert_eq!(fixture.ended(), (1, Outcome::ConnectFailed));
    drop(host);
}

/// A part that is cancelled during connection setup ends at once, since its resend waits for that.
#[test]
fn a_part_cancelled_while_connecting_ends_at_once() {
    let stuck = Stuck::new();
    let mut fixture = ConnectionsFixture::new(Arc::new(Frames), &stuck.addr);
    fixture.act(|p, _| p.probe(HOST));
    fixture.call(1);
    fixture.cancel(1);
    assert_eq!(
        fixture.ended(),
        (1, Outcome::Cancelled),
        "before the connection's time is over"
    );
    assert!(matches!(
        fixture.next(),
        CoreMessage::ProbeEnded(HOST, Outcome::ConnectFailed, None)
    ));
}

/// No call starts after the grace of a drain, and a withheld part is reported as one that never ran.
#[test]
fn a_call_after_the_grace_is_withheld() {
    let ledger = Ledger::default();
    let host = host(0, false, &ledger, |_| Act::Serve("v".into()));
    let mut fixture = ConnectionsFixture::new(Arc::new(Frames), &host.addr);
    fixture.act(|p, host| p.host_listed(HOST, host, Some(Instant::now())));
    fixture.call(1);
    let (_, outcome) = fixture.ended();
    assert!(
        outcome.never_ran() && ledger.all().is_empty(),
        "{outcome:?}"
    );
}

/// A repeated part that waits for its connection beyond the window of its key is withheld: the host would run it again.
#[test]
fn a_repeat_after_the_window_of_its_key_is_withheld() {
    for (dialect, http) in [
        (Arc::new(Frames) as Arc<dyn Dialect>, false),
        (Arc::new(OpenSearchHosts), true),
    ] {
        let ledger = Ledger::default();
        let answer = if http { r#"{"hits":{}}"# } else { "v" };
        let host = host(0, http, &ledger, move |_| Act::Serve(answer.into()));
        let mut fixture = ConnectionsFixture::new(dialect, &host.addr);
        fixture.call_before(1, Some(Instant::now()));
        assert_eq!(fixture.ended(), (1, Outcome::NotSent));
        assert!(ledger.all().is_empty(), "sent though it was too late");
        fixture.call_before(2, Some(Instant::now() + PATIENCE));
        assert_eq!(fixture.ended(), (2, Outcome::Ok));
    }
}

/// A part with a malformed answer has run, and its connection can't be used further: the part ends at once with an
/// error instead of a timeout, and the host does not count as dead. No buffer is allocated for an invalid length.
#[test]
fn a_malformed_answer_ends_its_part_and_its_connection_at_once() {
    let malformed: [fn(&str) -> Vec<u8>; 8] = [
        |_| b"\xd1y\x89\x80Qo%*5\r\n".to_vec(),
        |_| [&3_000_000_000u32.to_be_bytes()[..], b"a"].concat(),
        |id| frame('z', &format!("{id} served 1 -\nv")),
        |id| frame('a', &format!("{id} ? 1 -\nv")),
        |_| frame('a', "never-asked.0 served 1 -\nv"),
        |_| vec![b'x'; 3000],
        |_| frame('a', &"x".repeat(3000)),
        // The declared length is larger than the content.
        |id| {
            [
                &900u32.to_be_bytes()[..],
                format!("a{id} served 1 -\nv").as_bytes(),
            ]
            .concat()
        },
    ];
    for (n, bytes) in malformed.into_iter().enumerate() {
        let ledger = Ledger::default();
        let h = host(0, false, &ledger, move |s| match s.id.as_str() {
            "q1.0" => Act::Raw(bytes(&s.id)),
            _ => Act::Serve("v".into()),
        });
        let mut fixture = ConnectionsFixture::new(Arc::new(Frames), &h.addr);
        let asked = Instant::now();
        fixture.call(1);
        assert_eq!(fixture.ended(), (1, Outcome::Error), "{n}");
        assert!(asked.elapsed() < PATIENCE / 4, "{n}");
        fixture.call(2);
        assert_eq!(fixture.ended(), (2, Outcome::Ok), "{n}");
        assert_eq!(h.conns.lock().unwrap().len(), 2, "{n}");
    }
}

/// Extra bytes after a valid answer end the connection and leave the answer valid. An unreadable load report is
/// ignored, and is not mistaken for that of an idle host.
#[test]
fn extra_bytes_end_the_connection_and_keep_the_answer() {
    let extra: [fn(&str) -> Vec<u8>; 3] = [
        |id| frame('a', &format!("{id} served 1 -\nv")),
        |_| b"\xb2\xb4\x03N<\xed".to_vec(),
        |_| b"\0\0\0\x40a".to_vec(),
    ];
    for (n, more) in extra.into_iter().enumerate() {
        let ledger = Ledger::default();
        let h = host(0, false, &ledger, move |s| {
            let good = frame('a', &format!("{} served 1 nan\nvalue", s.id));
            Act::Raw([good, if s.id == "q1.0" { more(&s.id) } else { vec![] }].concat())
        });
        let mut fixture = ConnectionsFixture::new(Arc::new(Frames), &h.addr);
        for q in [1, 2] {
            fixture.call(q);
            let AttemptEnd {
                part,
                outcome,
                value,
                report,
                ..
            } = fixture.end();
            assert_eq!(
                (part.0, outcome, value.as_deref()),
                (q, Outcome::Ok, Some(&b"value"[..])),
                "{n}"
            );
            assert_eq!(report, None);
            // Gives the host time to notice the end of the connection before the next call.
            std::thread::sleep(ms(30));
            fixture
                .runtime
                .block_on(async { tokio::time::sleep(ms(30)).await });
        }
        assert_eq!(h.conns.lock().unwrap().len(), 2, "{n}");
    }
}

/// The answer to a cancelled part may still arrive: it is counted as late and ignored.
#[test]
fn a_late_answer_is_distinguished_from_an_unknown_one() {
    let ledger = Ledger::default();
    let h = host(0, false, &ledger, |s| {
        if s.id == "q1.0" {
            std::thread::sleep(ms(300));
        }
        Act::Serve("v".into())
    });
    let mut fixture = ConnectionsFixture::new(Arc::new(Frames), &h.addr);
    fixture.call(1);
    fixture
        .runtime
        .block_on(async { tokio::time::sleep(ms(100)).await });
    fixture.act(|p, _| p.cancel(HOST, RequestId(1), 0, Outcome::Cancelled));
    assert_eq!(fixture.ended(), (1, Outcome::Cancelled));
    fixture.call(2);
    assert_eq!(fixture.ended(), (2, Outcome::Ok));
    assert_eq!(h.conns.lock().unwrap().len(), 1);
}

/// A host at the limit of parts on a connection reads nothing more from it, and cancelled parts count as long as it
/// holds them: a resend would become a second copy if the cancellation stayed unread.
#[test]
fn cancelled_parts_count_on_their_connection_and_one_place_stays_free() {
    let ledger = Ledger::default();
    let h = host(0, false, &ledger, |_| Act::Silent);
    let mut fixture = ConnectionsFixture::new(Arc::new(Frames), &h.addr);
    let sent = |fixture: &mut ConnectionsFixture, n: usize| {
        fixture.runtime.block_on(async {
            tokio::time::timeout(PATIENCE, wait_for(&ledger, n))
                .await
                .unwrap();
        });
    };
    // One part stays in flight; otherwise the connection would be closed because of its cancelled parts.
    fixture.call(0);
    for n in 1..=29 {
        fixture.call(n);
        sent(&mut fixture, n as usize + 1);
        fixture.act(|p, _| p.cancel(HOST, RequestId(n), 0, Outcome::Cancelled));
        assert_eq!(fixture.ended(), (n, Outcome::Cancelled));
    }
    assert_eq!(h.conns.lock().unwrap().len(), 1);
    // Two parts in flight and the cancelled ones fill the first connection, except for the place that stays free.
    for (n, conns) in [(30, 1), (31, 2)] {
        fixture.call(n);
        sent(&mut fixture, n as usize + 1);
        assert_eq!(h.conns.lock().unwrap().len(), conns);
    }
}

async fn wait_for(ledger: &Ledger, n: usize) {
    while ledger.all().len() < n {
        tokio::time::sleep(ms(2)).await;
    }
}

/// A probe over HTTP, too, needs an answer: an unreachable or silent host must not count as healthy.
#[test]
fn a_probe_over_http_distinguishes_live_from_dead_hosts() {
    let ledger = Ledger::default();
    let alive = host(0, true, &ledger, |_| Act::Silent);
    let gone = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .to_string();
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    for (addr, outcome) in [
        (alive.addr.clone(), Outcome::Ok),
        (gone, Outcome::ConnectFailed),
        (silent.local_addr().unwrap().to_string(), Outcome::Timeout),
    ] {
        let mut fixture = ConnectionsFixture::new(Arc::new(OpenSearchHosts), &addr);
        fixture.act(|p, _| p.probe(HOST));
        assert!(
            matches!(fixture.next(), CoreMessage::ProbeEnded(HOST, got, _) if got == outcome),
            "{outcome:?}"
        );
    }
}

impl ConnectionsFixture {
    /// Sleeps for much longer than the stall timeout of a host that answers at once.
    fn pause(&mut self) {
        self.runtime
            .block_on(async { tokio::time::sleep(ms(1000)).await });
    }
}

/// Guards against a silently dead connection that collects parts: the link with the most parts got every call, so that
/// 31 parts waited on a dead connection until the end of their queries.
#[test]
fn a_silently_dead_connection_gets_no_calls_and_returns_its_parts() {
    let ledger = Ledger::default();
    let h = host(0, false, &ledger, |s| {
        if s.id == "q2.0" {
            Act::Silent
        } else {
            Act::Serve("v".into())
        }
    });
    let mut fixture = ConnectionsFixture::new(Arc::new(Frames), &h.addr);
    fixture.call(1);
    assert_eq!(fixture.ended(), (1, Outcome::Ok));
    fixture.call(2);
    fixture.pause();
    fixture.call(3);
    assert_eq!(fixture.ended(), (3, Outcome::Ok));
    assert_eq!(h.conns.lock().unwrap().len(), 2, "a connection of its own");
    // Answers on another connection show that the first one is lost; its part may have run.
    assert_eq!(fixture.ended(), (2, Outcome::Reset));
    fixture.call(4);
    assert_eq!(fixture.ended(), (4, Outcome::Ok));
    assert_eq!(h.conns.lock().unwrap().len(), 2);
}

/// A stalled host is silent on every connection: one more connection is tried and no further ones, and the waiting
/// parts are not ended by the stall detection.
#[test]
fn a_stalled_host_is_distinguished_from_a_dead_connection() {
    let ledger = Ledger::default();
    let h = host(0, false, &ledger, |s| {
        if s.id == "q1.0" {
            Act::Serve("v".into())
        } else {
            Act::Silent
        }
    });
    let mut fixture = ConnectionsFixture::new(Arc::new(Frames), &h.addr);
    fixture.call(1);
    assert_eq!(fixture.ended(), (1, Outcome::Ok));
    for (n, conns) in [(2, 1), (3, 2), (4, 2), (5, 2)] {
        fixture.call(n);
        fixture.pause();
        assert_eq!(
            (ledger.all().len(), h.conns.lock().unwrap().len()),
            (n as usize, conns)
        );
    }
    assert!(fixture.messages.try_recv().is_err(), "nothing has ended");
}

/// Guards against the loss of many parts with one connection: hosts ended connections right after answers, each with up
/// to 30 waiting parts, which used up their attempts within 30 ms although the hosts kept serving.
#[test]
fn calls_to_a_host_that_ends_connections_are_spread_over_a_few() {
    let ledger = Ledger::default();
    let h = host(0, false, &ledger, |s| match s.id.as_str() {
        "q1.0" => Act::Serve("v".into()),
        "q2.0" => Act::Break,
        _ => Act::Silent,
    });
    let mut fixture = ConnectionsFixture::new(Arc::new(Frames), &h.addr);
    fixture.call(1);
    assert_eq!(fixture.ended(), (1, Outcome::Ok));
    fixture.call(2);
    assert_eq!(fixture.ended(), (2, Outcome::Reset));
    (3..=20).for_each(|n| fixture.call(n));
    fixture.runtime.block_on(wait_for(&ledger, 20));
    let most = Frames.max_connections();
    assert_eq!(h.conns.lock().unwrap().len(), 1 + most);
}
