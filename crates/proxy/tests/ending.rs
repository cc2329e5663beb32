//! The end of the process: what it has taken is answered, and clients learn in time.

mod common;
use common::*;
use tokio::net::TcpStream;

fn short() -> Setup {
    Setup {
        grace_s: 1.7,
        ..Setup::default()
    }
}

async fn proxy(setup: Setup, host: &Host) -> Proxy {
    let proxy = Proxy::set_up(setup).await;
    proxy
        .know(document(1, ROUTES), vec![host.info.clone()])
        .await;
    proxy
}

#[test]
fn told_to_stop_it_is_not_ready_and_serves_on() {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let mut proxy = proxy(short(), &host).await;
        let mut old = proxy.ask("/pure/a").await;
        let mut conn = host.conn().await;
        conn.answer("before").await;
        assert_eq!(old.message().await.unwrap().field("connection"), None);
        proxy.tell_to_stop();
        while proxy.ready().await == 200 {}
        // The platform still sends connections, and old ones may still ask: each gets its answer, the last there.
        let mut new = proxy.ask("/once/a").await;
        conn.answer("new").await;
        let answer = new.message().await.unwrap();
        assert_eq!(
            (answer.body.as_str(), answer.field("connection")),
            ("new", Some("close"))
        );
        new.closed().await;
        old.send(&request("/once/a", "two", "")).await;
        conn.answer("old").await;
        let answer = old.message().await.unwrap();
        assert_eq!(
            (answer.body.as_str(), answer.field("connection")),
            ("old", Some("close"))
        );
        old.closed().await;
    });
}

#[test]
fn what_runs_is_answered_before_the_process_ends() {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let mut proxy = proxy(
            Setup {
                grace_s: 4.5,
                ..Setup::default()
            },
            &host,
        )
        .await;
        let mut idle = proxy.client().await;
        let mut busy = proxy.ask("/live/a").await;
        let mut conn = host.conn().await;
        conn.begin("seal", &[1]).await;
        busy.until("piece 1\n\n").await;
        let told = std::time::Instant::now();
        proxy.tell_to_stop();
        // The idle connection goes once the platform has noticed; the stream stays.
        idle.closed().await;
        let waited = told.elapsed().as_millis();
        assert!((2000..3600).contains(&waited), "{waited} ms");
        conn.events(&[2]).await;
        conn.send("0\r\n\r\n").await;
        let answer = busy.message().await.unwrap();
        assert_eq!((answer.whole, answer.body), (true, events([1, 2])));
        let counted = proxy.done.await.unwrap().unwrap();
        assert_eq!((counted.responses, counted.truncated_responses), (1, 0));
        assert!(
            told.elapsed().as_millis() < 4000,
            "nothing is left to wait for"
        );
    });
}

#[test]
fn what_could_not_be_over_before_the_end_is_sent_on_in_time() {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let mut proxy = proxy(
            Setup {
                grace_s: 6.0,
                ..Setup::default()
            },
            &host,
        )
        .await;
        let mut idle = proxy.client().await;
        let mut late = proxy.ask("/live/a").await;
        let mut stream = host.conn().await;
        stream.begin("seal", &[1]).await;
        late.until("piece 1\n\n").await;
        proxy.tell_to_stop();
        // Once the platform has noticed, connections that stand idle go.
        idle.closed().await;
        // A stream of eight seconds would be cut by the process's end: it is refused before any host hears of it.
        for path in ["/live/b", "/once/b", "/more/b"] {
            let answer = proxy.ask(path).await.message().await.unwrap();
            assert_eq!(
                (answer.status(), answer.field("connection")),
                (503, Some("close")),
                "{path}"
            );
            assert!(
                answer.field("retry-after").is_some(),
                "{path}: {}",
                answer.head
            );
        }
        assert!(host.unasked());
        // One that may run twice is told to come again if need be: it is served.
        let mut pure = proxy.ask("/pure/b").await;
        host.conn().await.answer("once more").await;
        assert_eq!(pure.message().await.unwrap().body, "once more");
        // What is over before the process is, is still served, and so is what was taken before.
        let mut short = proxy.client().await;
        short
            .send(&request(
                "/once/c",
                "short",
                "Fennelpin-Deadline-Ms: 700\r\n",
            ))
            .await;
        host.conn().await.answer("in time").await;
        let answer = short.message().await.unwrap();
        assert_eq!(
            (answer.body.as_str(), answer.field("connection")),
            ("in time", Some("close"))
        );
        stream.events(&[2]).await;
        stream.send("0\r\n\r\n").await;
        let answer = late.message().await.unwrap();
        assert_eq!((answer.whole, answer.body), (true, events([1, 2])));
        let counted = proxy.done.await.unwrap().unwrap();
        assert_eq!((counted.responses, counted.truncated_responses), (3, 0));
    });
}

#[test]
fn what_is_still_out_at_the_end_is_told_the_truth() {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let mut proxy = proxy(short(), &host).await;
        let mut sent = proxy.ask("/once/a").await;
        let mut conn = host.conn().await;
        conn.message().await.unwrap();
        let mut half = proxy.client().await;
        half.send("POST /once/a HTTP/1.1\r\nHost: x.example\r\nFennelpin-Attempt-Id: two\r\n")
            .await;
        let told = std::time::Instant::now();
        proxy.tell_to_stop();
        let answer = sent.message().await.unwrap();
        assert_eq!(
            (answer.status(), answer.field("connection")),
            (502, Some("close")),
            "it may have run"
        );
        conn.closed().await;
        proxy.done.await.unwrap().unwrap();
        assert!(
            told.elapsed().as_millis() < 1700,
            "before the grace is over: {:?}",
            told.elapsed()
        );
        half.closed().await;
    });
}

#[test]
fn the_end_is_counted() {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = proxy(
            Setup {
                grace_s: 0.8,
                ..Setup::default()
            },
            &host,
        )
        .await;
        let mut client = proxy.ask("/pure/a").await;
        let mut conn = host.conn().await;
        conn.answer("done").await;
        client.message().await.unwrap();
        let counters = proxy.counters.clone();
        let counted = proxy.stop().await;
        assert_eq!(counted, counters.get());
        assert_eq!(
            (
                counted.requests,
                counted.attempts,
                counted.responses,
                counted.host_connects
            ),
            (1, 1, 1, 1)
        );
    });
}

/// A request whose answer can't be awaited any more is refused before a host hears of it: sent out and given up, it
/// could neither be answered nor sent again.
#[test]
fn a_request_that_comes_in_the_last_moments_is_refused_and_not_given_up() {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let mut proxy = proxy(short(), &host).await;
        // The platform's clients keep coming to the end, and the host answers each at once.
        let clients: Vec<_> = (0..8)
            .map(|n| tokio::task::spawn_local(keep_asking(proxy.front, n)))
            .collect();
        let answers = tokio::task::spawn_local(async move {
            loop {
                let mut conn = host.conn().await;
                tokio::task::spawn_local(async move {
                    while let Some(request) = conn.message().await {
                        let id = request.field("fennelpin-attempt-id").unwrap_or("none");
                        conn.send(&good(id, "done")).await;
                    }
                });
            }
        });
        proxy.tell_to_stop();
        let mut refused = 0;
        for client in clients {
            for status in client.await.unwrap() {
                assert!(
                    [200, 503].contains(&status),
                    "neither an answer nor a promise: {status}"
                );
                refused += usize::from(status == 503);
            }
        }
        assert!(refused > 0, "the last ones are refused");
        answers.abort();
        proxy.done.await.unwrap().unwrap();
    });
}

/// Sends one request after the other, each on a connection of its own, until nobody listens; the answers' statuses.
async fn keep_asking(front: std::net::SocketAddrV4, client: usize) -> Vec<u16> {
    let mut statuses = Vec::new();
    for n in 0.. {
        let Ok(stream) = TcpStream::connect(std::net::SocketAddr::V4(front)).await else {
            break;
        };
        let mut peer = Peer::new(stream);
        peer.send(&request("/once/a", &format!("{client}-{n}"), ""))
            .await;
        // One that the end of the process meets unread has no answer.
        if let Some(answer) = peer.message().await {
            statuses.push(answer.status());
        }
    }
    statuses
}
