//! The hosts' actors alone, handed calls as the core hands them.

mod support;

use fennelpin::core::{settings, CallPart, Ended, Listed, Mail, Transport};
use fennelpin::counters::Counters;
use fennelpin::front::opensearch::hosts::{payload, OpenSearchHosts};
use fennelpin::net::link::{Dialect, Frames};
use fennelpin::net::peer::Peers;
use fennelpin::{Outcome, RequestId, ServerId, ServerState};
use std::sync::Arc;
use std::time::Instant;
use support::*;
use tokio::sync::mpsc;

const HOST: ServerId = ServerId(0);

struct Bench {
    runtime: tokio::runtime::Runtime,
    peers: Peers,
    mail: mpsc::UnboundedReceiver<Mail>,
    host: Listed,
}

impl Bench {
    fn new(dialect: Arc<dyn Dialect>, addr: &str) -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let caps = settings::read(&settings().to_string()).unwrap().caps;
        let (core, mail) = mpsc::unbounded_channel();
        let peers = Peers::new(dialect, caps, 64, core, Counters::default());
        let (addr, zone) = (addr.to_owned(), "a".to_owned());
        let host = Listed { id: "h".into(), addr, zone, cell: 0, state: ServerState::Ready, up_since_ms: 0 };
        let mut bench = Self { runtime, peers, mail, host };
        bench.act(|p, host| p.listed(HOST, host, None));
        bench
    }

    fn act(&mut self, act: impl FnOnce(&mut Peers, &Listed)) {
        let _inside = self.runtime.enter();
        act(&mut self.peers, &self.host);
    }

    fn call(&mut self, n: u32) {
        let give_up = Instant::now() + PATIENCE;
        let payload = payload("taxis", &Default::default());
        let name = format!("q{n}").into();
        let part = CallPart { part: RequestId(n), attempt: 0, name, shard: 0, give_up, key: None, payload };
        self.act(|p, _| p.call(HOST, vec![part]));
    }

    fn next(&mut self) -> Mail {
        let Self { runtime, mail, .. } = self;
        runtime.block_on(async { tokio::time::timeout(PATIENCE, mail.recv()).await.unwrap().unwrap() })
    }

    fn ended(&mut self) -> (u32, Outcome) {
        match self.next() {
            Mail::Ended(Ended { part, outcome, .. }) => (part.0, outcome),
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
    bench.act(|p, _| p.release(HOST));
    bench.call(2);
    assert_eq!(bench.ended(), (2, Outcome::Ok));
}

/// No call starts once a drain's grace is over, and what is withheld is proved never to have run.
#[test]
fn a_call_after_the_grace_is_withheld() {
    let ledger = Ledger::default();
    let host = host(0, false, &ledger, |_| Act::Serve("v".into()));
    let mut bench = Bench::new(Arc::new(Frames), &host.addr);
    bench.act(|p, host| p.listed(HOST, host, Some(Instant::now())));
    bench.call(1);
    let (_, outcome) = bench.ended();
    assert!(outcome.never_ran() && ledger.all().is_empty(), "{outcome:?}");
}

/// Over HTTP too a probe is a question: a host that is gone or silent must not pass for a sound one.
#[test]
fn a_probe_over_http_tells_the_living_from_the_dead() {
    let ledger = Ledger::default();
    let alive = host(0, true, &ledger, |_| Act::Silent);
    let gone = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    for (addr, outcome) in [
        (alive.addr.clone(), Outcome::Ok),
        (gone, Outcome::ConnectFailed),
        (silent.local_addr().unwrap().to_string(), Outcome::Timeout),
    ] {
        let mut bench = Bench::new(Arc::new(OpenSearchHosts), &addr);
        bench.act(|p, _| p.probe(HOST));
        assert!(matches!(bench.next(), Mail::Probed(HOST, got, _) if got == outcome), "{outcome:?}");
    }
}
