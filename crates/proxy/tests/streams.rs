//! Streams: order, breaks, resumption.

mod common;
use common::*;
use rstest::rstest;

#[rstest]
#[case::in_an_event("30\r\nid: 3\ndata: ha")]
#[case::between_events("")]
#[case::in_a_chunk_s_size("3")]
#[case::garbage("zz\r\n")]
fn a_stream_that_may_not_go_on_is_cut(#[case] end: &str) {
    story(async {
        let (mut one, mut two) = (Host::new("h1", "s").await, Host::new("h2", "s").await);
        let proxy = Proxy::new(&[&one, &two]).await;
        let mut client = proxy.ask("/live/a").await;
        let (mut conn, other) = first_of(&mut one, &mut two).await;
        conn.begin("seal", &[1, 2]).await;
        conn.send(end).await;
        drop(conn);
        let answer = client.message().await.unwrap();
        assert!(!answer.whole && answer.body.starts_with(&events([1, 2])));
        assert!(other.unasked());
    });
}

#[rstest]
#[case::in_an_event("30\r\nid: 3\ndata: ha")]
#[case::between_events("")]
#[case::in_a_chunk_s_size("3")]
#[case::garbage("zz\r\n")]
fn one_that_may_goes_on_at_another_host(#[case] end: &str) {
    story(async {
        let (mut one, mut two) = (Host::new("h1", "s").await, Host::new("h2", "s").await);
        let proxy = Proxy::new(&[&one, &two]).await;
        let mut client = proxy.client().await;
        client
            .send(&request("/more/a", "one", "Last-Event-Id: 7\r\n"))
            .await;
        let (mut conn, other) = first_of(&mut one, &mut two).await;
        let asked = conn.begin("first", &[8, 9]).await;
        assert_eq!(asked.field("last-event-id"), Some("7"));
        conn.send(end).await;
        drop(conn);
        let mut next = other.conn().await;
        let asked = next.begin("second", &[9, 10]).await;
        assert_eq!(asked.field("last-event-id"), Some("9"));
        assert_eq!(asked.field("fennelpin-attempt-id"), Some("one"));
        next.send("0\r\n\r\n").await;
        let answer = client.message().await.unwrap();
        assert_eq!(answer.field("fennelpin-host-seal"), Some("first"));
        assert_eq!((answer.whole, answer.body), (true, events([8, 9, 10])));
        assert_eq!(
            (
                proxy.counters.get().resumed_streams,
                proxy.counters.get().responses
            ),
            (1, 1)
        );
    });
}

#[test]
fn before_its_first_event_the_other_host_s_head_is_used() {
    story(async {
        let (mut one, mut two) = (Host::new("h1", "s").await, Host::new("h2", "s").await);
        let proxy = Proxy::new(&[&one, &two]).await;
        let mut client = proxy.ask("/more/a").await;
        let (mut conn, other) = first_of(&mut one, &mut two).await;
        conn.begin("first", &[]).await;
        drop(conn);
        let mut next = other.conn().await;
        assert_eq!(
            next.begin("second", &[1]).await.field("last-event-id"),
            None
        );
        next.send("0\r\n\r\n").await;
        let answer = client.message().await.unwrap();
        assert_eq!(answer.field("fennelpin-host-seal"), Some("second"));
        assert_eq!((answer.whole, answer.body), (true, events([1])));
    });
}

#[test]
fn refused_by_the_next_hosts_a_stream_stays_cut() {
    story(async {
        let (mut one, mut two) = (Host::new("h1", "s").await, Host::new("h2", "s").await);
        let proxy = Proxy::new(&[&one, &two]).await;
        let mut client = proxy.ask("/more/a").await;
        let (mut conn, other) = first_of(&mut one, &mut two).await;
        conn.begin("first", &[1, 2]).await;
        drop(conn);
        other.conn().await.refuse().await;
        let answer = client.message().await.unwrap();
        assert_eq!((answer.whole, answer.body), (false, events([1, 2])));
    });
}

/// Within an answer that has begun, only events of a stream may follow.
#[rstest]
#[case("404 Not Found\r\nContent-Length: 4", "none")]
#[case("500 Own\r\nContent-Length: 4", "oops")]
fn what_is_no_stream_never_follows_one(#[case] lines: &str, #[case] body: &str) {
    story(async {
        let (mut one, mut two) = (Host::new("h1", "s").await, Host::new("h2", "s").await);
        let proxy = Proxy::new(&[&one, &two]).await;
        let mut client = proxy.ask("/more/a").await;
        let (mut conn, other) = first_of(&mut one, &mut two).await;
        conn.begin("first", &[1, 2]).await;
        drop(conn);
        other.conn().await.reply(lines, body).await;
        let answer = client.message().await.unwrap();
        assert_eq!((answer.whole, answer.body), (false, events([1, 2])));
    });
}

#[test]
fn an_event_passes_only_once_it_is_whole_where_the_stream_may_go_on() {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let mut client = proxy.ask("/more/a").await;
        let mut conn = host.conn().await;
        conn.begin("seal", &[1]).await;
        conn.send("6\r\nid: 2\n\r\n").await;
        assert!(!client.until("piece 1\n\n").await.contains("id: 2"));
        conn.send("f\r\ndata: piece 2\n\n\r\n0\r\n\r\n").await;
        assert_eq!(client.message().await.unwrap().body, events([1, 2]));
        // The connection serves on.
        client.send(&request("/more/a", "two", "")).await;
        conn.begin("seal", &[1]).await;
        client.until("piece 1\n\n").await;
    });
}

#[test]
fn a_stream_that_falls_silent_goes_on_at_another_host_before_its_client_gives_up() {
    story(async {
        let (mut one, mut two) = (Host::new("h1", "s").await, Host::new("h2", "s").await);
        let proxy = Proxy::new(&[&one, &two]).await;
        let mut client = proxy.ask("/more/a").await;
        let (mut conn, other) = first_of(&mut one, &mut two).await;
        conn.begin("first", &[1]).await;
        client.until("piece 1\n\n").await;
        let silent = tokio::time::Instant::now();
        let mut next = other.conn().await;
        // Streams may be silent for two seconds at least.
        assert!((900..2000).contains(&silent.elapsed().as_millis()));
        conn.closed().await;
        next.begin("second", &[2]).await;
        next.send("0\r\n\r\n").await;
        let answer = client.message().await.unwrap();
        assert_eq!((answer.whole, answer.body), (true, events([1, 2])));
    });
}

#[test]
fn a_silent_stream_is_waited_for_while_its_host_is_alive() {
    story(async {
        let (mut one, mut two) = (Host::new("h1", "s").await, Host::new("h2", "s").await);
        let proxy = Proxy::new(&[&one]).await;
        let (mut still, mut going) = (proxy.ask("/more/a").await, proxy.ask("/more/b").await);
        let (mut still_conn, mut going_conn) = (one.conn().await, one.conn().await);
        still_conn.begin("first", &[1]).await;
        going_conn.begin("first", &[1]).await;
        still.until("piece 1\n\n").await;
        let silent = tokio::time::Instant::now();
        proxy
            .know(
                document(1, ROUTES),
                vec![one.info.clone(), two.info.clone()],
            )
            .await;
        for n in 2.. {
            going_conn.events(&[n]).await;
            going.until(&format!("piece {n}\n\n")).await;
            if silent.elapsed().as_millis() > 1500 {
                break;
            }
        }
        assert!(two.unasked());
        // With the host silent on all connections, both streams go on elsewhere.
        let mut next = two.conn().await;
        next.begin("second", &[9_999_999]).await;
        let mut last = two.conn().await;
        last.begin("second", &[9_999_999]).await;
        for (client, conn) in [(&mut still, &mut next), (&mut going, &mut last)] {
            conn.send("0\r\n\r\n").await;
            client.until("piece 9999999\n\n").await;
        }
    });
}

#[test]
fn with_nobody_else_a_silent_stream_is_waited_for() {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let mut client = proxy.ask("/more/a").await;
        let mut conn = host.conn().await;
        conn.begin("first", &[1]).await;
        let quiet =
            tokio::time::timeout(std::time::Duration::from_millis(1300), conn.closed()).await;
        assert!(quiet.is_err(), "the connection stays");
        conn.events(&[2]).await;
        conn.send("0\r\n\r\n").await;
        let answer = client.message().await.unwrap();
        assert_eq!((answer.whole, answer.body), (true, events([1, 2])));
    });
}

#[test]
fn a_stream_with_a_length_is_passed_on_with_it() {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let mut client = proxy.ask("/live/a").await;
        let text = events([1, 2]);
        let lines = format!(
            "200 OK\r\nFennelpin-Host-Seal: s\r\nContent-Type: text/event-stream\r\nContent-Length: {}",
            text.len()
        );
        host.conn().await.reply(&lines, &text).await;
        let answer = client.message().await.unwrap();
        assert_eq!((answer.whole, answer.body), (true, text));
    });
}

#[test]
fn the_load_in_a_stream_s_head_is_told_at_once() {
    story(async {
        let (mut one, mut two) = (Host::new("h1", "s").await, Host::new("h2", "s").await);
        let proxy = Proxy::new(&[&one, &two]).await;
        let mut first = proxy.ask("/live/a").await;
        let (mut busy, other) = first_of(&mut one, &mut two).await;
        busy.reply(
            "200 OK\r\nFennelpin-Host-Seal: s\r\nFennelpin-Host-Load: 4,3,4\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked",
            "",
        )
        .await;
        busy.events(&[1]).await;
        first.until("piece 1\n\n").await;
        // While that stream goes on, its host is known to be busy.
        for _ in 0..4 {
            let mut client = proxy.ask("/pure/a").await;
            let lines =
                "200 OK\r\nFennelpin-Host-Seal: s\r\nConnection: close\r\nContent-Length: 1";
            other.conn().await.reply(lines, "x").await;
            assert_eq!(client.message().await.unwrap().body, "x");
        }
    });
}
