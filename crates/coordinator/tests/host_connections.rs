//! The hosts' actors alone, handed calls as the core hands them.

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

struct Bench {
    runtime: tokio::runtime::Runtime,
    peers: HostConnections,
    mail: mpsc::UnboundedReceiver<CoreMessage>,
    host: Endpoint,
}

impl Bench {
    fn new(dialect: Arc<dyn Dialect>, addr: &str) -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        let caps = settings::read(&settings().to_string()).unwrap().limits;
        let (core, mail) = mpsc::unbounded_channel();
        let peers = HostConnections::new(HostConnectionsSetup {
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
        let mut bench = Self {
            runtime,
            peers,
            mail,
            host,
        };
        bench.act(|p, host| p.host_listed(HOST, host, None));
        bench
    }

    fn act(&mut self, act: impl FnOnce(&mut HostConnections, &Endpoint)) {
        let _inside = self.runtime.enter();
        act(&mut self.peers, &self.host);
    }

    fn call(&mut self, n: u64) {
        self.call_before(n, None);
    }

    /// A call that is not to be sent any more after this.
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
        let Self { runtime, mail, .. } = self;
        runtime.block_on(async {
            tokio::time::timeout(PATIENCE, mail.recv())
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

/// A release and a call of one turn: the call goes to a new connection, not to the one that closes.
#[test]
fn a_call_right_after_a_release_is_served() {
    let ledger = Ledger::default();
    let host = host(0, false, &ledger, |_| Act::Serve("v".into()));
    let mut bench = Bench::new(Arc::new(Frames), &host.addr);
    bench.call(1);
    assert_eq!(bench.ended(), (1, Outcome::Ok));
    bench.act(|p, _| p.close_idle_connections(HOST));
    bench.call(2);
    assert_eq!(bench.ended(), (2, Outcome::Ok));
}

/// A call and its withdrawal that both come before the connection is up, or that both wait in the mailbox of
/// one that is: nothing of it goes out, in either dialect, and what comes behind it does.
#[test]
fn a_call_withdrawn_before_it_begins_is_never_sent() {
    for (dialect, http) in [
        (Arc::new(Frames) as Arc<dyn Dialect>, false),
        (Arc::new(OpenSearchHosts), true),
    ] {
        let ledger = Ledger::default();
        let answer = if http { r#"{"hits":{}}"# } else { "v" };
        let host = host(0, http, &ledger, move |_| Act::Serve(answer.into()));
        let mut bench = Bench::new(dialect, &host.addr);
        for (gone, stays) in [(1, 2), (3, 4)] {
            // None of the actors runs between these: all are in their mailboxes when they do.
            bench.call(gone);
            bench.cancel(gone);
            bench.call(stays);
            let mut ends = [bench.ended(), bench.ended()];
            ends.sort_by_key(|e| e.0);
            assert_eq!(ends, [(gone, Outcome::Cancelled), (stays, Outcome::Ok)]);
            assert!(
                ledger.all().iter().all(|s| s.id != format!("q{gone}.0")),
                "q{gone} was sent"
            );
        }
    }
}

/// Taking a part back stops what has not begun, and nothing else: what is on the wire runs its course.
#[test]
fn a_part_taken_back_is_stopped_unless_it_has_begun() {
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
        let mut bench = Bench::new(dialect, &host.addr);
        bench.call(1);
        bench.act(|p, _| p.retract(HOST, RequestId(1), 0));
        assert_eq!(bench.ended(), (1, Outcome::NotSent));
        bench.call(2);
        bench.runtime.block_on(async {
            while ledger.all().is_empty() {
                tokio::time::sleep(ms(1)).await;
            }
        });
        bench.act(|p, _| p.retract(HOST, RequestId(2), 0));
        met.lock().unwrap().send(()).unwrap();
        assert_eq!(bench.ended(), (2, Outcome::Ok));
        assert_eq!(ledger.all().len(), 1);
    }
}

/// A frame that its host does not read to the end, of which a part is given up: the connection is closed within
/// the time for a withdrawal, or the rest would go out whenever the host reads on. Nothing of it has run.
#[test]
fn a_half_written_call_that_is_given_up_is_never_finished() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut bench = Bench::new(
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
    bench.act(|p, _| p.send_call(HOST, vec![part]));
    let (tx, accepted) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let stream = listener.accept().unwrap().0;
        // A peek that blocked would hold up the one thread that writes the call.
        stream.set_nonblocking(true).unwrap();
        tx.send(stream)
    });
    let begun = |s: &std::net::TcpStream| matches!(s.peek(&mut [0]), Ok(1));
    let Bench { runtime, .. } = &bench;
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
    bench.cancel(1);
    assert_eq!(bench.ended(), (1, Outcome::ConnectFailed));
    drop(host);
}

/// A part given up while its connection does not come up is over at once: its resend waits for that alone.
#[test]
fn a_part_given_up_while_connecting_is_over_at_once() {
    let stuck = Stuck::new();
    let mut bench = Bench::new(Arc::new(Frames), &stuck.addr);
    bench.act(|p, _| p.probe(HOST));
    bench.call(1);
    bench.cancel(1);
    assert_eq!(
        bench.ended(),
        (1, Outcome::Cancelled),
        "before the connection's time is over"
    );
    assert!(matches!(
        bench.next(),
        CoreMessage::ProbeEnded(HOST, Outcome::ConnectFailed, None)
    ));
}

/// No call starts once a drain's grace is over, and what is withheld is proved never to have run.
#[test]
fn a_call_after_the_grace_is_withheld() {
    let ledger = Ledger::default();
    let host = host(0, false, &ledger, |_| Act::Serve("v".into()));
    let mut bench = Bench::new(Arc::new(Frames), &host.addr);
    bench.act(|p, host| p.host_listed(HOST, host, Some(Instant::now())));
    bench.call(1);
    let (_, outcome) = bench.ended();
    assert!(
        outcome.never_ran() && ledger.all().is_empty(),
        "{outcome:?}"
    );
}

/// A part that has waited for its connection until its key no longer holds is withheld: the host would run it again.
#[test]
fn a_repeat_after_the_window_of_its_key_is_withheld() {
    for (dialect, http) in [
        (Arc::new(Frames) as Arc<dyn Dialect>, false),
        (Arc::new(OpenSearchHosts), true),
    ] {
        let ledger = Ledger::default();
        let answer = if http { r#"{"hits":{}}"# } else { "v" };
        let host = host(0, http, &ledger, move |_| Act::Serve(answer.into()));
        let mut bench = Bench::new(dialect, &host.addr);
        bench.call_before(1, Some(Instant::now()));
        assert_eq!(bench.ended(), (1, Outcome::NotSent));
        assert!(ledger.all().is_empty(), "sent though it was too late");
        bench.call_before(2, Some(Instant::now() + PATIENCE));
        assert_eq!(bench.ended(), (2, Outcome::Ok));
    }
}

/// An answer that can't be read has run, and its connection is of no further use: the part ends at once as
/// an error, not at its time-out, and the host is not taken for dead. No such length gets a buffer.
#[test]
fn a_spoilt_answer_ends_its_part_and_its_connection_at_once() {
    let spoilt: [fn(&str) -> Vec<u8>; 8] = [
        |_| b"\xd1y\x89\x80Qo%*5\r\n".to_vec(),
        |_| [&3_000_000_000u32.to_be_bytes()[..], b"a"].concat(),
        |id| frame('z', &format!("{id} served 1 -\nv")),
        |id| frame('a', &format!("{id} ? 1 -\nv")),
        |_| frame('a', "never-asked.0 served 1 -\nv"),
        |_| vec![b'x'; 3000],
        |_| frame('a', &"x".repeat(3000)),
        // Its length is for more than comes.
        |id| {
            [
                &900u32.to_be_bytes()[..],
                format!("a{id} served 1 -\nv").as_bytes(),
            ]
            .concat()
        },
    ];
    for (n, bytes) in spoilt.into_iter().enumerate() {
        let ledger = Ledger::default();
        let h = host(0, false, &ledger, move |s| match s.id.as_str() {
            "q1.0" => Act::Raw(bytes(&s.id)),
            _ => Act::Serve("v".into()),
        });
        let mut bench = Bench::new(Arc::new(Frames), &h.addr);
        let asked = Instant::now();
        bench.call(1);
        assert_eq!(bench.ended(), (1, Outcome::Error), "{n}");
        assert!(asked.elapsed() < PATIENCE / 4, "{n}");
        bench.call(2);
        assert_eq!(bench.ended(), (2, Outcome::Ok), "{n}");
        assert_eq!(h.conns.lock().unwrap().len(), 2, "{n}");
    }
}

/// What comes behind a good answer spoils the connection, not the answer; and a report that can't be read
/// is no report, least of all one of an idle host.
#[test]
fn extra_bytes_cost_the_connection_and_not_the_answer() {
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
        let mut bench = Bench::new(Arc::new(Frames), &h.addr);
        for q in [1, 2] {
            bench.call(q);
            let AttemptEnd {
                part,
                outcome,
                value,
                report,
                ..
            } = bench.end();
            assert_eq!(
                (part.0, outcome, value.as_deref()),
                (q, Outcome::Ok, Some(&b"value"[..])),
                "{n}"
            );
            assert_eq!(report, None);
            // The host notices the end of a spoilt connection before it is asked again.
            std::thread::sleep(ms(30));
            bench
                .runtime
                .block_on(async { tokio::time::sleep(ms(30)).await });
        }
        assert_eq!(h.conns.lock().unwrap().len(), 2, "{n}");
    }
}

/// The answer to a part given up may still come: it is late, and costs nothing.
#[test]
fn a_late_answer_is_told_from_one_never_asked_for() {
    let ledger = Ledger::default();
    let h = host(0, false, &ledger, |s| {
        if s.id == "q1.0" {
            std::thread::sleep(ms(300));
        }
        Act::Serve("v".into())
    });
    let mut bench = Bench::new(Arc::new(Frames), &h.addr);
    bench.call(1);
    bench
        .runtime
        .block_on(async { tokio::time::sleep(ms(100)).await });
    bench.act(|p, _| p.cancel(HOST, RequestId(1), 0, Outcome::Cancelled));
    assert_eq!(bench.ended(), (1, Outcome::Cancelled));
    bench.call(2);
    assert_eq!(bench.ended(), (2, Outcome::Ok));
    assert_eq!(h.conns.lock().unwrap().len(), 1);
}

/// A host reads nothing behind the parts that a connection can carry, and parts given up are among them for
/// as long as it holds them: withdrawals unread behind those let a resend become a second copy.
#[test]
fn parts_given_up_count_on_their_connection_and_one_place_stays_free() {
    let ledger = Ledger::default();
    let h = host(0, false, &ledger, |_| Act::Silent);
    let mut bench = Bench::new(Arc::new(Frames), &h.addr);
    let sent = |bench: &mut Bench, n: usize| {
        bench.runtime.block_on(async {
            tokio::time::timeout(PATIENCE, wait_for(&ledger, n))
                .await
                .unwrap();
        });
    };
    // One that stays out, or the connection would be closed for what was given up on it.
    bench.call(0);
    for n in 1..=29 {
        bench.call(n);
        sent(&mut bench, n as usize + 1);
        bench.act(|p, _| p.cancel(HOST, RequestId(n), 0, Outcome::Cancelled));
        assert_eq!(bench.ended(), (n, Outcome::Cancelled));
    }
    assert_eq!(h.conns.lock().unwrap().len(), 1);
    // Two out and those given up fill the first connection, but for the place that stays free.
    for (n, conns) in [(30, 1), (31, 2)] {
        bench.call(n);
        sent(&mut bench, n as usize + 1);
        assert_eq!(h.conns.lock().unwrap().len(), conns);
    }
}

async fn wait_for(ledger: &Ledger, n: usize) {
    while ledger.all().len() < n {
        tokio::time::sleep(ms(2)).await;
    }
}

/// Over HTTP too a probe is a question: a host that is gone or silent must not pass for a sound one.
#[test]
fn a_probe_over_http_tells_the_living_from_the_dead() {
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
        let mut bench = Bench::new(Arc::new(OpenSearchHosts), &addr);
        bench.act(|p, _| p.probe(HOST));
        assert!(
            matches!(bench.next(), CoreMessage::ProbeEnded(HOST, got, _) if got == outcome),
            "{outcome:?}"
        );
    }
}

impl Bench {
    /// Lets far more time pass than a host that answers at once is given.
    fn pause(&mut self) {
        self.runtime
            .block_on(async { tokio::time::sleep(ms(1000)).await });
    }
}

/// Found on rate+silent+leave of caerdydd-plans: the fullest link took every call, so a connection that had
/// died without a word collected 31 parts, each of which waited for its query's end.
#[test]
fn a_connection_that_died_silently_gets_no_more_and_gives_its_parts_back() {
    let ledger = Ledger::default();
    let h = host(0, false, &ledger, |s| {
        if s.id == "q2.0" {
            Act::Silent
        } else {
            Act::Serve("v".into())
        }
    });
    let mut bench = Bench::new(Arc::new(Frames), &h.addr);
    bench.call(1);
    assert_eq!(bench.ended(), (1, Outcome::Ok));
    bench.call(2);
    bench.pause();
    bench.call(3);
    assert_eq!(bench.ended(), (3, Outcome::Ok));
    assert_eq!(h.conns.lock().unwrap().len(), 2, "a connection of its own");
    // What the host answers elsewhere tells that the first is lost; the part may have run there.
    assert_eq!(bench.ended(), (2, Outcome::Reset));
    bench.call(4);
    assert_eq!(bench.ended(), (4, Outcome::Ok));
    assert_eq!(h.conns.lock().unwrap().len(), 2);
}

/// A host that stands still is silent on every connection: one more is tried, no further ones, and what
/// waits there is not given up by the network's judgement.
#[test]
fn a_host_that_stands_still_is_told_from_a_connection_that_died() {
    let ledger = Ledger::default();
    let h = host(0, false, &ledger, |s| {
        if s.id == "q1.0" {
            Act::Serve("v".into())
        } else {
            Act::Silent
        }
    });
    let mut bench = Bench::new(Arc::new(Frames), &h.addr);
    bench.call(1);
    assert_eq!(bench.ended(), (1, Outcome::Ok));
    for (n, conns) in [(2, 1), (3, 2), (4, 2), (5, 2)] {
        bench.call(n);
        bench.pause();
        assert_eq!(
            (ledger.all().len(), h.conns.lock().unwrap().len()),
            (n as usize, conns)
        );
    }
    assert!(bench.mail.try_recv().is_err(), "nothing has ended");
}

/// Found on wide+reset+stale of caerdydd-plans: hosts ended connections right after answers, and with each all
/// that waited on it, up to 30 parts; each had spent its attempts within 30 ms, at hosts that served on.
#[test]
fn calls_to_a_host_that_ends_connections_are_spread_over_a_few() {
    let ledger = Ledger::default();
    let h = host(0, false, &ledger, |s| match s.id.as_str() {
        "q1.0" => Act::Serve("v".into()),
        "q2.0" => Act::Break,
        _ => Act::Silent,
    });
    let mut bench = Bench::new(Arc::new(Frames), &h.addr);
    bench.call(1);
    assert_eq!(bench.ended(), (1, Outcome::Ok));
    bench.call(2);
    assert_eq!(bench.ended(), (2, Outcome::Reset));
    (3..=20).for_each(|n| bench.call(n));
    bench.runtime.block_on(wait_for(&ledger, 20));
    let most = Frames.max_connections();
    assert_eq!(h.conns.lock().unwrap().len(), 1 + most);
}
