//! The list's actor between two events: silence, restarts and moves of discovery, each in the order that the
//! test sets. Time is tokio's own, paused: it goes on only when nobody has anything to do.

mod support;

use coordinator::core::CoreMessage;
use coordinator::counters::Counters;
use coordinator::interface::ListKind;
use coordinator::net::discovery_watch::{DiscoveryBackoff, Watch};
use serde_json::json;
use std::time::Duration;
use support::ms;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Instant};

/// Where a lists' rule counts from: what a watch missed counts as told 6 s after its last line.
const TOLD: Duration = Duration::from_secs(6);

/// The watch under test and what it tells.
struct Bench {
    news: mpsc::UnboundedReceiver<CoreMessage>,
    moves: mpsc::UnboundedSender<String>,
    counters: Counters,
    started: Instant,
}

impl Bench {
    fn new(addr: &str, backoff: DiscoveryBackoff) -> Self {
        let (core, news) = mpsc::unbounded_channel();
        let (moves, moved) = mpsc::unbounded_channel();
        let counters = Counters::default();
        let (addr, count) = (addr.to_owned(), counters.clone());
        let watch = Watch {
            addr,
            revision: None,
            core,
            counters: count,
            backoff,
            replaces: Vec::new(),
        };
        tokio::spawn(watch.follow_moves(moved));
        Self {
            news,
            moves,
            counters,
            started: Instant::now(),
        }
    }

    /// The host of the next list that is told.
    async fn host(&mut self) -> String {
        match timeout(Duration::from_secs(60), self.news.recv())
            .await
            .expect("a list in time")
        {
            Some(CoreMessage::HostList(kind, members)) => {
                assert!(matches!(kind, ListKind::Full | ListKind::Changes));
                members[0].id.clone()
            }
            _ => panic!("no list"),
        }
    }
}

fn agent(grace: u64) -> DiscoveryBackoff {
    DiscoveryBackoff {
        seed: 1,
        shared: None,
        grace: ms(grace),
    }
}

fn object(host: &str) -> String {
    let member = json!({"id": host, "host_port": "127.0.0.1:1", "cell": 0, "phase": "Ready"});
    json!({"revision": 1, "complete": true, "members": [member]}).to_string()
}

/// Discovery, one call after another.
struct Discovery {
    listener: TcpListener,
    addr: String,
}

impl Discovery {
    async fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap().to_string();
        Self { listener, addr }
    }

    /// The next call, read and not answered.
    async fn call(&self) -> TcpStream {
        let (mut stream, _) = self.listener.accept().await.unwrap();
        let (mut text, mut bytes) = (Vec::new(), [0; 1024]);
        while !text.ends_with(b"\r\n\r\n") {
            let n = stream.read(&mut bytes).await.unwrap();
            assert!(n > 0, "a call that was cut");
            text.extend_from_slice(&bytes[..n]);
        }
        stream
    }

    /// The next call, answered up to its head.
    async fn watch(&self) -> TcpStream {
        let mut stream = self.call().await;
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .await
            .unwrap();
        stream
    }
}

async fn say(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream
        .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
        .await
}

/// A watch that speaks and then drips, never a whole line: it counts as silent from its last whole one.
#[tokio::test(start_paused = true)]
async fn a_watch_that_drips_half_a_line_is_left_like_a_silent_one() {
    let discovery = Discovery::new().await;
    let mut bench = Bench::new(&discovery.addr, agent(2000));
    let mut watch = discovery.watch().await;
    say(&mut watch, &format!("{}\n\n", object("h1")))
        .await
        .unwrap();
    assert_eq!(bench.host().await, "h1");
    let last = Instant::now();
    let drip = async {
        for piece in ["{\"revision\"", ":", " ", " ", " ", "2", "3", "4", "5"] {
            if say(&mut watch, piece).await.is_err() {
                break;
            }
            sleep(ms(900)).await;
        }
        std::future::pending::<()>().await;
    };
    let next = async {
        let mut watch = discovery.watch().await;
        say(&mut watch, &format!("{}\n", object("h2")))
            .await
            .unwrap();
        assert_eq!(bench.host().await, "h2");
    };
    tokio::select! { _ = drip => {} _ = next => {} }
    assert!(last.elapsed() < TOLD, "{:?}", last.elapsed());
}

/// Silence, and then a discovery that takes calls and says nothing: what it has at its return counts at once,
/// so a call that was made before must not be waited for beyond a drain's grace.
#[tokio::test(start_paused = true)]
async fn calls_that_stay_unanswered_are_made_again_within_a_drains_grace() {
    for grace in [1000, 2000, 4000] {
        for head in [false, true] {
            let discovery = Discovery::new().await;
            let mut bench = Bench::new(&discovery.addr, agent(grace));
            let mut watch = discovery.watch().await;
            say(&mut watch, &format!("{}\n", object("h1")))
                .await
                .unwrap();
            assert_eq!(bench.host().await, "h1");
            // The call after the silence stays without its head, or with it but without a first object.
            let stuck = if head {
                discovery.watch().await
            } else {
                discovery.call().await
            };
            let back = Instant::now();
            let mut watch = discovery.watch().await;
            say(&mut watch, &format!("{}\n", object("h2")))
                .await
                .unwrap();
            assert_eq!(bench.host().await, "h2");
            assert!(
                back.elapsed() < ms(grace),
                "{:?} with a grace of {grace}",
                back.elapsed()
            );
            drop(stuck);
        }
    }
}

/// One silence of many that ask one discovery: each calls anew before what it missed counts as told, whatever
/// it would wait after a call that failed.
#[tokio::test(start_paused = true)]
async fn after_silence_each_of_a_large_fleet_calls_before_it_counts_as_told() {
    for seed in 1..40 {
        let discovery = Discovery::new().await;
        let shared = Some((300, Duration::from_secs(12)));
        let mut bench = Bench::new(
            &discovery.addr,
            DiscoveryBackoff {
                seed,
                shared,
                grace: ms(1000),
            },
        );
        let mut watch = discovery.watch().await;
        say(&mut watch, &format!("{}\n", object("h1")))
            .await
            .unwrap();
        assert_eq!(bench.host().await, "h1");
        let last = Instant::now();
        discovery.call().await;
        assert!(last.elapsed() < TOLD, "seed {seed}: {:?}", last.elapsed());
        // One that can't be reached at all is a service in need.
        assert_eq!(bench.counters.get("list.ended"), 1);
    }
}

/// A list may come indented over many lines, in whatever pieces, and empty lines between.
#[tokio::test(start_paused = true)]
async fn an_indented_list_is_read_like_one_on_a_line() {
    let discovery = Discovery::new().await;
    let mut bench = Bench::new(&discovery.addr, agent(2000));
    let mut watch = discovery.watch().await;
    for host in ["h1", "h2"] {
        let value: serde_json::Value = serde_json::from_str(&object(host)).unwrap();
        let text = format!("\n{}\n\n", serde_json::to_string_pretty(&value).unwrap());
        for piece in text.as_bytes().chunks(7) {
            say(&mut watch, std::str::from_utf8(piece).unwrap())
                .await
                .unwrap();
        }
        assert_eq!(bench.host().await, host);
    }
    assert_eq!(
        (bench.counters.get("list.ended"), bench.started.elapsed()),
        (0, ms(0))
    );
}

/// Half a line, and then an empty one: the line was never ended. The watch is left at once, not after silence.
#[tokio::test(start_paused = true)]
async fn half_a_line_before_an_empty_one_costs_the_watch_at_once() {
    let discovery = Discovery::new().await;
    let bench = Bench::new(&discovery.addr, agent(2000));
    let mut watch = discovery.watch().await;
    say(&mut watch, "{\"revision\": 7,\n\n").await.unwrap();
    let _again = discovery.watch().await;
    assert_eq!(bench.counters.get("list.ended"), 1);
    assert!(
        bench.started.elapsed() <= ms(500),
        "{:?}",
        bench.started.elapsed()
    );
}

/// Discovery moves to and fro before the new place has spoken. Whichever of the places speaks in between, the
/// last one named has the last word, and no earlier one is heard after it.
#[tokio::test(start_paused = true)]
async fn moves_to_and_fro_end_with_the_place_named_last() {
    for speaks_between in [false, true] {
        let (a, b) = (Discovery::new().await, Discovery::new().await);
        let mut bench = Bench::new(&a.addr, agent(2000));
        let mut first = a.watch().await;
        say(&mut first, &format!("{}\n", object("a1")))
            .await
            .unwrap();
        assert_eq!(bench.host().await, "a1");
        bench.moves.send(b.addr.clone()).unwrap();
        let mut second = b.watch().await;
        bench.moves.send(a.addr.clone()).unwrap();
        let mut third = a.watch().await;
        if speaks_between {
            // The place in the middle speaks: the first is over, the last still to come.
            say(&mut second, &format!("{}\n", object("b1")))
                .await
                .unwrap();
            assert_eq!(bench.host().await, "b1");
        } else {
            // The first goes on for as long as nobody else speaks.
            say(&mut first, &format!("{}\n", object("a2")))
                .await
                .unwrap();
            assert_eq!(bench.host().await, "a2");
        }
        // All speak at once; the last one's word comes first in its turn, or after theirs.
        let _ = say(&mut first, &format!("{}\n", object("old"))).await;
        let _ = say(&mut second, &format!("{}\n", object("old"))).await;
        say(&mut third, &format!("{}\n", object("a3")))
            .await
            .unwrap();
        while bench.host().await != "a3" {}
        let _ = say(&mut first, &format!("{}\n", object("old"))).await;
        let _ = say(&mut second, &format!("{}\n", object("old"))).await;
        say(&mut third, &format!("{}\n", object("a4")))
            .await
            .unwrap();
        assert_eq!(
            bench.host().await,
            "a4",
            "an earlier place was heard after the last one"
        );
    }
}

/// A new place that never speaks: the old one's word goes on, through silence and all.
#[tokio::test(start_paused = true)]
async fn a_new_place_that_never_speaks_leaves_the_old_one_in_force() {
    let (a, b) = (Discovery::new().await, Discovery::new().await);
    let mut bench = Bench::new(&a.addr, agent(2000));
    let mut watch = a.watch().await;
    say(&mut watch, &format!("{}\n", object("a1")))
        .await
        .unwrap();
    assert_eq!(bench.host().await, "a1");
    bench.moves.send(b.addr.clone()).unwrap();
    let _mute = b.call().await;
    let mut again = a.watch().await;
    say(&mut again, &format!("{}\n", object("a2")))
        .await
        .unwrap();
    assert_eq!(bench.host().await, "a2");
}
