//! Tests of the host list actor: silence, restarts and moves of discovery, in the order that each test sets. The tests
//! use tokio's paused clock, which advances only when no task can run.

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

/// Time after a watch's last line from which the coordinator counts as informed of what the watch missed.
const MISSED_UPDATE_DEADLINE: Duration = Duration::from_secs(6);

/// The watch under test and the messages that it sends.
struct WatchFixture {
    messages: mpsc::UnboundedReceiver<CoreMessage>,
    new_addresses: mpsc::UnboundedSender<String>,
    counters: Counters,
    started: Instant,
}

impl WatchFixture {
    fn new(addr: &str, backoff: DiscoveryBackoff) -> Self {
        let (core, messages) = mpsc::unbounded_channel();
        let (new_addresses, addresses) = mpsc::unbounded_channel();
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
        tokio::spawn(watch.follow_moves(addresses));
        Self {
            messages,
            new_addresses,
            counters,
            started: Instant::now(),
        }
    }

    /// Returns the host of the next list that the watch sends.
    async fn host(&mut self) -> String {
        match timeout(Duration::from_secs(60), self.messages.recv())
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

/// A discovery server that handles one call after another.
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

    /// Reads the next call without answering it.
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

    /// Reads the next call and answers with the head of a response.
    async fn watch(&self) -> TcpStream {
        let mut stream = self.call().await;
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .await
            .unwrap();
        stream
    }
}

async fn send_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream
        .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
        .await
}

/// A watch sends a line and then slowly parts of another: it counts as silent from the last complete line.
#[tokio::test(start_paused = true)]
async fn a_watch_that_slowly_sends_half_a_line_counts_as_silent() {
    let discovery = Discovery::new().await;
    let mut fixture = WatchFixture::new(&discovery.addr, agent(2000));
    let mut watch = discovery.watch().await;
    send_chunk(&mut watch, &format!("{}\n\n", object("h1")))
        .await
        .unwrap();
    assert_eq!(fixture.host().await, "h1");
    let last = Instant::now();
    let drip = async {
        for piece in ["{\"revision\"", ":", " ", " ", " ", "2", "3", "4", "5"] {
            if send_chunk(&mut watch, piece).await.is_err() {
                break;
            }
            sleep(ms(900)).await;
        }
        std::future::pending::<()>().await;
    };
    let next = async {
        let mut watch = discovery.watch().await;
        send_chunk(&mut watch, &format!("{}\n", object("h2")))
            .await
            .unwrap();
        assert_eq!(fixture.host().await, "h2");
    };
    tokio::select! { _ = drip => {} _ = next => {} }
    assert!(
        last.elapsed() < MISSED_UPDATE_DEADLINE,
        "{:?}",
        last.elapsed()
    );
}

/// Discovery becomes silent, and then accepts calls without answering. What it knows on its return counts as known at
/// once, so an unanswered call must not be waited for longer than a drain's grace.
#[tokio::test(start_paused = true)]
async fn calls_that_stay_unanswered_are_made_again_within_a_drains_grace() {
    for grace in [1000, 2000, 4000] {
        for head in [false, true] {
            let discovery = Discovery::new().await;
            let mut fixture = WatchFixture::new(&discovery.addr, agent(grace));
            let mut watch = discovery.watch().await;
            send_chunk(&mut watch, &format!("{}\n", object("h1")))
                .await
                .unwrap();
            assert_eq!(fixture.host().await, "h1");
            // The call after the silence gets no head, or a head without a first object.
            let stuck = if head {
                discovery.watch().await
            } else {
                discovery.call().await
            };
            let back = Instant::now();
            let mut watch = discovery.watch().await;
            send_chunk(&mut watch, &format!("{}\n", object("h2")))
                .await
                .unwrap();
            assert_eq!(fixture.host().await, "h2");
            assert!(
                back.elapsed() < ms(grace),
                "{:?} with a grace of {grace}",
                back.elapsed()
            );
            drop(stuck);
        }
    }
}

/// A shared discovery becomes silent for many coordinators: each calls again before the missed changes count as known,
/// however long it would wait after a failed call.
#[tokio::test(start_paused = true)]
async fn after_silence_each_of_a_large_fleet_calls_before_the_deadline() {
    for seed in 1..40 {
        let discovery = Discovery::new().await;
        let shared = Some((300, Duration::from_secs(12)));
        let mut fixture = WatchFixture::new(
            &discovery.addr,
            DiscoveryBackoff {
                seed,
                shared,
                grace: ms(1000),
            },
        );
        let mut watch = discovery.watch().await;
        send_chunk(&mut watch, &format!("{}\n", object("h1")))
            .await
            .unwrap();
        assert_eq!(fixture.host().await, "h1");
        let last = Instant::now();
        discovery.call().await;
        assert!(
            last.elapsed() < MISSED_UPDATE_DEADLINE,
            "seed {seed}: {:?}",
            last.elapsed()
        );
        // Only the silent watch has ended.
        assert_eq!(fixture.counters.get("list.ended"), 1);
    }
}

/// A list may be indented over many lines, arrive in any pieces, and have empty lines around it.
#[tokio::test(start_paused = true)]
async fn an_indented_list_is_read_like_one_on_a_line() {
    let discovery = Discovery::new().await;
    let mut fixture = WatchFixture::new(&discovery.addr, agent(2000));
    let mut watch = discovery.watch().await;
    for host in ["h1", "h2"] {
        let value: serde_json::Value = serde_json::from_str(&object(host)).unwrap();
        let text = format!("\n{}\n\n", serde_json::to_string_pretty(&value).unwrap());
        for piece in text.as_bytes().chunks(7) {
            send_chunk(&mut watch, std::str::from_utf8(piece).unwrap())
                .await
                .unwrap();
        }
        assert_eq!(fixture.host().await, host);
    }
    assert_eq!(
        (
            fixture.counters.get("list.ended"),
            fixture.started.elapsed()
        ),
        (0, ms(0))
    );
}

/// An empty line after an incomplete one shows that the line was cut off. The watch is ended at once, not after the
/// silence timeout.
#[tokio::test(start_paused = true)]
async fn half_a_line_before_an_empty_one_ends_the_watch_at_once() {
    let discovery = Discovery::new().await;
    let fixture = WatchFixture::new(&discovery.addr, agent(2000));
    let mut watch = discovery.watch().await;
    send_chunk(&mut watch, "{\"revision\": 7,\n\n")
        .await
        .unwrap();
    let _again = discovery.watch().await;
    assert_eq!(fixture.counters.get("list.ended"), 1);
    assert!(
        fixture.started.elapsed() <= ms(500),
        "{:?}",
        fixture.started.elapsed()
    );
}

/// Discovery moves to a new address and back before the new one has sent an update. Whichever address sends updates in
/// between, the last one takes over, and updates from earlier ones are ignored after that.
#[tokio::test(start_paused = true)]
async fn moves_back_and_forth_end_at_the_last_address() {
    for second_sends_update in [false, true] {
        let (a, b) = (Discovery::new().await, Discovery::new().await);
        let mut fixture = WatchFixture::new(&a.addr, agent(2000));
        let mut first = a.watch().await;
        send_chunk(&mut first, &format!("{}\n", object("a1")))
            .await
            .unwrap();
        assert_eq!(fixture.host().await, "a1");
        fixture.new_addresses.send(b.addr.clone()).unwrap();
        let mut second = b.watch().await;
        fixture.new_addresses.send(a.addr.clone()).unwrap();
        let mut third = a.watch().await;
        if second_sends_update {
            // The second watch receives an update, which ends the first one; the third has yet to receive one.
            send_chunk(&mut second, &format!("{}\n", object("b1")))
                .await
                .unwrap();
            assert_eq!(fixture.host().await, "b1");
        } else {
            // The first watch continues until another one receives an update.
            send_chunk(&mut first, &format!("{}\n", object("a2")))
                .await
                .unwrap();
            assert_eq!(fixture.host().await, "a2");
        }
        // All watches get an update at once; that of the third may arrive before or after the others.
        let _ = send_chunk(&mut first, &format!("{}\n", object("old"))).await;
        let _ = send_chunk(&mut second, &format!("{}\n", object("old"))).await;
        send_chunk(&mut third, &format!("{}\n", object("a3")))
            .await
            .unwrap();
        while fixture.host().await != "a3" {}
        let _ = send_chunk(&mut first, &format!("{}\n", object("old"))).await;
        let _ = send_chunk(&mut second, &format!("{}\n", object("old"))).await;
        send_chunk(&mut third, &format!("{}\n", object("a4")))
            .await
            .unwrap();
        assert_eq!(
            fixture.host().await,
            "a4",
            "an earlier place was heard after the last one"
        );
    }
}

/// A new address that never sends an update leaves the old one in use, even through a silence.
#[tokio::test(start_paused = true)]
async fn a_silent_new_address_leaves_the_old_one_in_use() {
    let (a, b) = (Discovery::new().await, Discovery::new().await);
    let mut fixture = WatchFixture::new(&a.addr, agent(2000));
    let mut watch = a.watch().await;
    send_chunk(&mut watch, &format!("{}\n", object("a1")))
        .await
        .unwrap();
    assert_eq!(fixture.host().await, "a1");
    fixture.new_addresses.send(b.addr.clone()).unwrap();
    let _silent = b.call().await;
    let mut again = a.watch().await;
    send_chunk(&mut again, &format!("{}\n", object("a2")))
        .await
        .unwrap();
    assert_eq!(fixture.host().await, "a2");
}
