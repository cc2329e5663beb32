//! Whose answer is whose, and what a client can tell of its end.

mod common;
use common::*;
use rstest::rstest;

const SEAL: &str = "Fennelpin-Host-Seal: seal";

fn wide_document() -> std::sync::Arc<configuration::Configuration> {
    let text = format!(
        r#"{{"version":1,"routes":[{ROUTES}],"services":[{{"name":"s"}}],"limits":{{"max_body_bytes":9000000}}}}"#
    );
    configuration::Configuration::read(text.as_bytes(), 0)
        .unwrap()
        .into()
}

/// A proxy that takes large bodies, so that a host can answer before all is written.
async fn wide(setup: Setup, hosts: &[&Host]) -> Proxy {
    let proxy = Proxy::set_up(setup).await;
    proxy
        .know(
            wide_document(),
            hosts.iter().map(|h| h.info.clone()).collect(),
        )
        .await;
    proxy
}

const LARGE: usize = 8_000_000;

fn large_request(path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: x.example\r\nFennelpin-Attempt-Id: one\r\nContent-Length: {LARGE}\r\n\r\n{}",
        "a".repeat(LARGE)
    )
}

#[rstest]
fn an_interim_answer_does_not_end_the_request(
    #[values("", "Fennelpin-Attempt-Id: one\r\n")] id: &str,
) {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = wide(Setup::default(), &[&host]).await;
        let mut client = proxy.client().await;
        client.send(&large_request("/once/a")).await;
        let mut conn = host.conn().await;
        conn.head().await.unwrap();
        conn.send(&format!("HTTP/1.1 100 Continue\r\n{id}\r\n"))
            .await;
        assert_eq!(conn.take_body(LARGE).await.len(), LARGE, "the body goes on");
        conn.send(&good("one", "done")).await;
        assert_eq!(client.message().await.unwrap().body, "done");
    });
}

#[test]
fn an_early_answer_behind_an_interim_one_counts() {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = wide(Setup::default(), &[&host]).await;
        let mut client = proxy.client().await;
        client.send(&large_request("/once/a")).await;
        let mut conn = host.conn().await;
        conn.head().await.unwrap();
        conn.send("HTTP/1.1 103 Early Hints\r\n\r\n").await;
        conn.send(
            "HTTP/1.1 413 Large\r\nFennelpin-Attempt-Id: one\r\nContent-Length: 3\r\n\r\nbig",
        )
        .await;
        assert_eq!(client.message().await.unwrap().body, "big");
        conn.closed().await;
    });
}

/// A host that turns a long body away reads no more of it, and what it said before belongs to another.
#[rstest]
#[case::named("Fennelpin-Attempt-Id: one\r\n", 1)]
#[case::unnamed("", 0)]
fn an_early_refusal_is_seen_before_the_body_is_written(#[case] id: &str, #[case] strays: usize) {
    story(async {
        let mut one = Host::new("h1", "s").await;
        let mut two = Host::new("h2", "s").await;
        let proxy = wide(Setup::default(), &[&one, &two]).await;
        let mut client = proxy.client().await;
        client.send(&large_request("/once/a")).await;
        let (mut first, other) = first_of(&mut one, &mut two).await;
        first.head().await.unwrap();
        let refusal = format!(
            "HTTP/1.1 503 Full\r\n{id}Fennelpin-Not-Executed: full\r\nContent-Length: 2\r\n\r\nno"
        );
        first
            .send(&(good("zero", "stray").repeat(strays) + &refusal))
            .await;
        // The host keeps the connection, and reads no more of it.
        let mut second = other.conn().await;
        assert_eq!(second.answer("second").await.body.len(), LARGE);
        assert_eq!(client.message().await.unwrap().body, "second");
        first.closed().await;
    });
}

/// What a head lists as its connection's own concerns is left out, but never what ties an answer to its request.
#[test]
fn what_ties_an_answer_to_its_request_is_passed_on_whatever_the_connection_lists() {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let mut client = proxy.client().await;
        let lists =
            "Connection: keep-alive, Fennelpin-Attempt-Id, Fennelpin-Host-Seal, X-Own\r\nX-Own: 1\r\n";
        client.send(&request("/once/a", "one", lists)).await;
        let mut conn = host.conn().await;
        let asked = conn
            .reply(
                &format!("200 OK\r\n{SEAL}\r\n{lists}Content-Length: 4"),
                "done",
            )
            .await;
        assert_eq!(
            (asked.field("fennelpin-attempt-id"), asked.field("x-own")),
            (Some("one"), None)
        );
        let answer = client.message().await.unwrap();
        assert_eq!((answer.status(), answer.body.as_str()), (200, "done"));
        assert_eq!(answer.field("fennelpin-attempt-id"), Some("one"));
        assert_eq!(
            (answer.field("fennelpin-host-seal"), answer.field("x-own")),
            (Some("seal"), None)
        );
    });
}

/// From the first byte on no promise can be given that a request has not run.
#[test]
fn half_written_at_the_process_s_end_it_may_have_run() {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let mut proxy = wide(
            Setup {
                grace_s: 1.0,
                ..Setup::default()
            },
            &[&host],
        )
        .await;
        let mut client = proxy.client().await;
        client.send(&large_request("/once/a")).await;
        let mut conn = host.conn().await;
        conn.head().await.unwrap();
        proxy.tell_to_stop();
        assert_eq!(client.message().await.unwrap().status(), 502);
    });
}

#[test]
fn an_answer_that_names_two_attempts_belongs_to_neither() {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let mut client = proxy.ask("/once/a").await;
        let mut conn = host.conn().await;
        conn.reply(
            &format!("200 OK\r\nFennelpin-Attempt-Id: one\r\n{SEAL}\r\nContent-Length: 1"),
            "x",
        )
        .await;
        drop(conn);
        assert_eq!(client.message().await.unwrap().status(), 502);
    });
}

#[test]
fn a_request_that_names_two_attempts_goes_to_no_host() {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let mut client = proxy.client().await;
        client
            .send(&request("/once/a", "one", "Fennelpin-Attempt-Id: two\r\n"))
            .await;
        assert_eq!(client.message().await.unwrap().status(), 400);
        assert!(host.unasked());
    });
}

/// A success has run, whatever else its head says.
#[test]
fn a_success_is_no_refusal() {
    story(async {
        let (mut one, mut two) = (Host::new("h1", "s").await, Host::new("h2", "s").await);
        let proxy = Proxy::new(&[&one, &two]).await;
        let mut client = proxy.ask("/once/a").await;
        let (mut conn, other) = first_of(&mut one, &mut two).await;
        conn.reply(
            &format!("200 OK\r\n{SEAL}\r\nFennelpin-Not-Executed: full\r\nContent-Length: 3"),
            "ran",
        )
        .await;
        assert_eq!(client.message().await.unwrap().body, "ran");
        assert!(other.unasked());
    });
}

/// Nothing follows the head of such an answer: what did would be taken for the next one's start.
#[rstest]
#[case::head(
    "HEAD",
    "200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 7"
)]
#[case::head_in_chunks(
    "HEAD",
    "200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked"
)]
#[case::no_content("GET", "204 No Content\r\nContent-Type: text/event-stream")]
#[case::no_content_with_a_length("GET", "204 No Content\r\nContent-Length: 7")]
fn an_answer_without_a_body_has_none(
    #[case] method: &str,
    #[case] lines: &str,
    #[values("/pure/a", "/once/a", "/live/a", "/more/a")] path: &str,
) {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let mut client = proxy.client().await;
        let bare = format!(
            "{method} {path} HTTP/1.1\r\nHost: x.example\r\nFennelpin-Attempt-Id: zero\r\n\r\n"
        );
        client.send(&(bare + &request("/once/a", "one", ""))).await;
        let mut conn = host.conn().await;
        conn.reply(&format!("{lines}\r\n{SEAL}"), "").await;
        let head = client.head().await.unwrap();
        assert!(
            head.starts_with(&format!("HTTP/1.1 {}", &lines[..3])),
            "{head}"
        );
        if method == "GET" {
            assert!(
                !head.to_ascii_lowercase().contains("content-length"),
                "{head}"
            );
        }
        conn.answer("next").await;
        let next = client.message().await.unwrap();
        assert_eq!(
            (next.status(), next.body.as_str()),
            (200, "next"),
            "{}",
            next.head
        );
    });
}

/// The client was told of chunks: they go on, whatever the next host's framing is.
#[test]
fn the_first_host_s_framing_holds_for_the_whole_answer() {
    story(async {
        let mut hosts = [
            Host::new("h1", "s").await,
            Host::new("h2", "s").await,
            Host::new("h3", "s").await,
        ];
        let proxy = Proxy::new(&[&hosts[0], &hosts[1], &hosts[2]]).await;
        let mut client = proxy.ask("/more/a").await;
        let [one, two, three] = &mut hosts;
        let mut conn = next_of(&mut [one, two, three]).await;
        conn.begin("first", &[1, 2]).await;
        drop(conn);
        let mut conn = next_of(&mut [one, two, three]).await;
        conn.reply(
            &format!("200 OK\r\n{SEAL}\r\nContent-Type: text/event-stream"),
            &event(3),
        )
        .await;
        drop(conn);
        // Its end might be a cut: the third host says that there is no more.
        let mut conn = next_of(&mut [one, two, three]).await;
        let asked = conn.begin("third", &[]).await;
        assert_eq!(asked.field("last-event-id"), Some("3"));
        conn.send("0\r\n\r\n").await;
        let answer = client.message().await.unwrap();
        assert_eq!((answer.whole, answer.body), (true, events([1, 2, 3])));
    });
}

#[rstest]
#[case::none("data: piece\n\n", true)]
#[case::comment(": still here\n\n", false)]
fn behind_data_without_an_identity_a_stream_does_not_go_on(#[case] event: &str, #[case] cut: bool) {
    story(async {
        let (mut one, mut two) = (Host::new("h1", "s").await, Host::new("h2", "s").await);
        let proxy = Proxy::new(&[&one, &two]).await;
        let mut client = proxy.ask("/more/a").await;
        let (mut conn, other) = first_of(&mut one, &mut two).await;
        conn.begin("seal", &[1]).await;
        conn.send(&format!("{:x}\r\n{event}\r\n", event.len()))
            .await;
        client.until(event).await;
        drop(conn);
        if cut {
            assert!(!client.message().await.unwrap().whole);
            assert!(other.unasked());
        } else {
            let mut next = other.conn().await;
            assert_eq!(
                next.begin("seal", &[2]).await.field("last-event-id"),
                Some("1")
            );
            next.send("0\r\n\r\n").await;
            assert!(client.message().await.unwrap().whole);
        }
    });
}

/// A request that has come is not lost with a connection that would have gone as an idle one.
#[test]
fn a_request_on_a_connection_that_makes_room_is_answered() {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::set_up(Setup {
            fd_limit: 260,
            ..Setup::default()
        })
        .await;
        proxy
            .know(document(1, ROUTES), vec![host.info.clone()])
            .await;
        // 60 in 100 of 16 descriptors: nine clients.
        let mut idle = Vec::new();
        for _ in 0..9 {
            idle.push(proxy.client().await);
        }
        assert_eq!(proxy.ready().await, 200);
        let late = proxy.client().await;
        idle[0]
            .stream
            .try_write(request("/once/a", "one", "").as_bytes())
            .unwrap();
        host.conn().await.answer("done").await;
        assert_eq!(idle[0].message().await.expect("an answer").body, "done");
        drop(late);
    });
}

/// Once the system has taken a byte of it, a request that may run once goes nowhere else.
#[rstest]
fn a_connection_that_breaks_while_a_request_is_written(
    #[values(false, true)] used: bool,
    #[values(false, true)] in_order: bool,
    #[values("/once/a", "/live/a")] path: &str,
) {
    story(async {
        let mut one = Host::new("h1", "s").await;
        let mut two = Host::new("h2", "s").await;
        let proxy = wide(Setup::default(), &[&one]).await;
        let mut client = proxy.client().await;
        let mut conn = None;
        if used {
            client.send(&request("/once/a", "zero", "")).await;
            let mut first = one.conn().await;
            first.answer("zero").await;
            assert_eq!(client.message().await.unwrap().body, "zero");
            conn = Some(first);
        }
        client.send(&large_request(path)).await;
        let mut conn = match conn {
            Some(conn) => conn,
            None => one.conn().await,
        };
        conn.head().await.unwrap();
        proxy
            .know(wide_document(), vec![one.info.clone(), two.info.clone()])
            .await;
        // Unread bytes make the system reset it at a plain close too; in order it ends its own side only.
        if in_order {
            rustix::net::shutdown(&conn.stream, rustix::net::Shutdown::Write).unwrap();
        } else {
            conn.reset();
        }
        assert_eq!(client.message().await.unwrap().status(), 502);
        assert_eq!(proxy.counters.get().attempts, if used { 2 } else { 1 });
        assert!(one.unasked() && two.unasked());
    });
}

/// What came behind a whole answer belongs to no request, and the rest of it may still come.
#[rstest]
fn a_connection_with_bytes_behind_an_answer_is_not_used_again(
    #[values("H", "HTTP/1.1 200 OK\r\nFennelpin-Att", "\r\n")] behind: &str,
) {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let mut client = proxy.ask("/once/a").await;
        let mut conn = host.conn().await;
        conn.message().await.unwrap();
        conn.send(&(good("one", "1") + behind)).await;
        assert_eq!(client.message().await.unwrap().body, "1");
        client.send(&request("/once/b", "two", "")).await;
        host.conn().await.answer("2").await;
        assert_eq!(client.message().await.unwrap().body, "2");
        conn.closed().await;
    });
}

/// Connections belong to a host's identity and not to its address.
#[test]
fn another_host_at_the_old_address_gets_connections_of_its_own() {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let mut client = proxy.ask("/once/a").await;
        let mut old = host.conn().await;
        assert_eq!(
            old.answer("1").await.field("fennelpin-expected-host"),
            Some("h1")
        );
        assert_eq!(client.message().await.unwrap().body, "1");
        // A request to the old one is out as the news come.
        let mut late = proxy.ask("/once/a").await;
        old.message().await.unwrap();
        let other = balancing::HostInfo {
            id: "h2".into(),
            ..host.info.clone()
        };
        proxy.know(document(1, ROUTES), vec![other]).await;
        old.send(&good("one", "late")).await;
        assert_eq!(late.message().await.unwrap().body, "late");
        old.closed().await;
        client.send(&request("/once/b", "two", "")).await;
        let mut new = host.conn().await;
        assert_eq!(
            new.answer("2").await.field("fennelpin-expected-host"),
            Some("h2")
        );
        assert_eq!(client.message().await.unwrap().body, "2");
    });
}

/// Told by the host that stands there now that it is another, nothing is sent over old connections.
#[test]
fn after_421_the_idle_connections_of_that_host_are_closed() {
    story(async {
        let (mut one, mut two) = (Host::new("h1", "s").await, Host::new("h2", "s").await);
        let proxy = Proxy::new(&[&one]).await;
        let mut clients = [proxy.ask("/once/a").await, proxy.ask("/once/a").await];
        let mut conns = [one.conn().await, one.conn().await];
        for conn in &mut conns {
            conn.answer("1").await;
        }
        for client in &mut clients {
            assert_eq!(client.message().await.unwrap().body, "1");
        }
        let mut client = proxy.ask("/once/b").await;
        let [first, second] = &mut conns;
        let (asked, idle) = tokio::select! {
            head = first.head() => (head, (first, second)),
            head = second.head() => (head, (second, first)),
        };
        assert!(asked.is_some());
        proxy
            .know(
                document(1, ROUTES),
                vec![one.info.clone(), two.info.clone()],
            )
            .await;
        idle.0
            .send("HTTP/1.1 421 Other\r\nFennelpin-Attempt-Id: one\r\nContent-Length: 0\r\n\r\n")
            .await;
        two.conn().await.answer("2").await;
        assert_eq!(client.message().await.unwrap().body, "2");
        idle.0.closed().await;
        idle.1.closed().await;
    });
}
