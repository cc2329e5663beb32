//! Streams: order, breaks, resumption.

mod common;
use common::*;
use rstest::rstest;

#[rstest]
#[case::in_an_event("30\r\nid: 3\ndata: ha")]
#[case::between_events("")]
#[case::in_a_chunk_s_size("3")]
#[case::garbage("zz\r\n")]
fn broken_stream_that_is_not_resumable_is_truncated(#[case] end: &str) {
    run_async_test(async {
        let (mut one, mut two) = (
            FakeHost::new("h1", "s").await,
            FakeHost::new("h2", "s").await,
        );
        let proxy = Proxy::new(&[&one, &two]).await;
        let mut client = proxy.send_request("/live/a").await;
        let (mut conn, other) = first_connection(&mut one, &mut two).await;
        conn.start_stream("seal", &[1, 2]).await;
        conn.send(end).await;
        drop(conn);
        let response = client.read_message().await.unwrap();
        assert!(!response.complete && response.body.starts_with(&events([1, 2])));
        assert!(other.has_no_connection());
    });
}

#[rstest]
#[case::in_an_event("30\r\nid: 3\ndata: ha")]
#[case::between_events("")]
#[case::in_a_chunk_s_size("3")]
#[case::garbage("zz\r\n")]
fn broken_resumable_stream_continues_without_gaps(#[case] end: &str) {
    run_async_test(async {
        let (mut one, mut two) = (
            FakeHost::new("h1", "s").await,
            FakeHost::new("h2", "s").await,
        );
        let proxy = Proxy::new(&[&one, &two]).await;
        let mut client = proxy.client().await;
        client
            .send(&request("/more/a", "one", "Last-Event-Id: 7\r\n"))
            .await;
        let (mut conn, other) = first_connection(&mut one, &mut two).await;
        let asked = conn.start_stream("first", &[8, 9]).await;
        assert_eq!(asked.field("last-event-id"), Some("7"));
        conn.send(end).await;
        drop(conn);
        let mut next = other.accept().await;
        let asked = next.start_stream("second", &[9, 10]).await;
        assert_eq!(asked.field("last-event-id"), Some("9"));
        assert_eq!(asked.field("fennelpin-attempt-id"), Some("one"));
        next.send("0\r\n\r\n").await;
        let response = client.read_message().await.unwrap();
        assert_eq!(response.field("fennelpin-host-seal"), Some("first"));
        assert_eq!(
            (response.complete, response.body),
            (true, events([8, 9, 10]))
        );
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
fn stream_broken_before_its_first_event_uses_the_next_host_head() {
    run_async_test(async {
        let (mut one, mut two) = (
            FakeHost::new("h1", "s").await,
            FakeHost::new("h2", "s").await,
        );
        let proxy = Proxy::new(&[&one, &two]).await;
        let mut client = proxy.send_request("/more/a").await;
        let (mut conn, other) = first_connection(&mut one, &mut two).await;
        conn.start_stream("first", &[]).await;
        drop(conn);
        let mut next = other.accept().await;
        assert_eq!(
            next.start_stream("second", &[1])
                .await
                .field("last-event-id"),
            None
        );
        next.send("0\r\n\r\n").await;
        let response = client.read_message().await.unwrap();
        assert_eq!(response.field("fennelpin-host-seal"), Some("second"));
        assert_eq!((response.complete, response.body), (true, events([1])));
    });
}

#[test]
fn resume_refused_by_all_hosts_truncates_the_stream() {
    run_async_test(async {
        let (mut one, mut two) = (
            FakeHost::new("h1", "s").await,
            FakeHost::new("h2", "s").await,
        );
        let proxy = Proxy::new(&[&one, &two]).await;
        let mut client = proxy.send_request("/more/a").await;
        let (mut conn, other) = first_connection(&mut one, &mut two).await;
        conn.start_stream("first", &[1, 2]).await;
        drop(conn);
        other.accept().await.respond_refusal().await;
        let response = client.read_message().await.unwrap();
        assert_eq!((response.complete, response.body), (false, events([1, 2])));
    });
}

/// Within a response that has begun, only events of a stream may follow.
#[rstest]
#[case("404 Not Found\r\nContent-Length: 4", "none")]
#[case("500 Own\r\nContent-Length: 4", "oops")]
fn response_that_is_no_stream_never_follows_one(#[case] lines: &str, #[case] body: &str) {
    run_async_test(async {
        let (mut one, mut two) = (
            FakeHost::new("h1", "s").await,
            FakeHost::new("h2", "s").await,
        );
        let proxy = Proxy::new(&[&one, &two]).await;
        let mut client = proxy.send_request("/more/a").await;
        let (mut conn, other) = first_connection(&mut one, &mut two).await;
        conn.start_stream("first", &[1, 2]).await;
        drop(conn);
        other.accept().await.respond(lines, body).await;
        let response = client.read_message().await.unwrap();
        assert_eq!((response.complete, response.body), (false, events([1, 2])));
    });
}

#[test]
fn resumable_stream_forwards_complete_events_only() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let mut client = proxy.send_request("/more/a").await;
        let mut conn = host.accept().await;
        conn.start_stream("seal", &[1]).await;
        conn.send("6\r\nid: 2\n\r\n").await;
        assert!(!client.read_until("piece 1\n\n").await.contains("id: 2"));
        conn.send("f\r\ndata: piece 2\n\n\r\n0\r\n\r\n").await;
        assert_eq!(client.read_message().await.unwrap().body, events([1, 2]));
        // The connection serves on.
        client.send(&request("/more/a", "two", "")).await;
        conn.start_stream("seal", &[1]).await;
        client.read_until("piece 1\n\n").await;
    });
}

#[test]
fn stalled_stream_is_resumed_before_its_client_gives_up() {
    run_async_test(async {
        let (mut one, mut two) = (
            FakeHost::new("h1", "s").await,
            FakeHost::new("h2", "s").await,
        );
        let proxy = Proxy::new(&[&one, &two]).await;
        let mut client = proxy.send_request("/more/a").await;
        let (mut conn, other) = first_connection(&mut one, &mut two).await;
        conn.start_stream("first", &[1]).await;
        client.read_until("piece 1\n\n").await;
        let silent = tokio::time::Instant::now();
        let mut next = other.accept().await;
        // Streams may be silent for two seconds at least.
        assert!((900..2000).contains(&silent.elapsed().as_millis()));
        conn.wait_until_closed().await;
        next.start_stream("second", &[2]).await;
        next.send("0\r\n\r\n").await;
        let response = client.read_message().await.unwrap();
        assert_eq!((response.complete, response.body), (true, events([1, 2])));
    });
}

#[test]
fn stalled_stream_is_waited_for_while_its_host_is_alive() {
    run_async_test(async {
        let (mut one, mut two) = (
            FakeHost::new("h1", "s").await,
            FakeHost::new("h2", "s").await,
        );
        let proxy = Proxy::new(&[&one]).await;
        let (mut still, mut going) = (
            proxy.send_request("/more/a").await,
            proxy.send_request("/more/b").await,
        );
        let (mut still_conn, mut going_conn) = (one.accept().await, one.accept().await);
        still_conn.start_stream("first", &[1]).await;
        going_conn.start_stream("first", &[1]).await;
        still.read_until("piece 1\n\n").await;
        let silent = tokio::time::Instant::now();
        proxy
            .apply_fleet(
                configuration(1, ROUTES),
                vec![one.info.clone(), two.info.clone()],
            )
            .await;
        for n in 2.. {
            going_conn.send_events(&[n]).await;
            going.read_until(&format!("piece {n}\n\n")).await;
            if silent.elapsed().as_millis() > 1500 {
                break;
            }
        }
        assert!(two.has_no_connection());
        // With the host silent on all connections, both streams go on elsewhere.
        let mut next = two.accept().await;
        next.start_stream("second", &[9_999_999]).await;
        let mut last = two.accept().await;
        last.start_stream("second", &[9_999_999]).await;
        for (client, conn) in [(&mut still, &mut next), (&mut going, &mut last)] {
            conn.send("0\r\n\r\n").await;
            client.read_until("piece 9999999\n\n").await;
        }
    });
}

#[test]
fn stalled_stream_is_waited_for_without_another_host() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let mut client = proxy.send_request("/more/a").await;
        let mut conn = host.accept().await;
        conn.start_stream("first", &[1]).await;
        let quiet = tokio::time::timeout(
            std::time::Duration::from_millis(1300),
            conn.wait_until_closed(),
        )
        .await;
        assert!(quiet.is_err(), "the connection stays");
        conn.send_events(&[2]).await;
        conn.send("0\r\n\r\n").await;
        let response = client.read_message().await.unwrap();
        assert_eq!((response.complete, response.body), (true, events([1, 2])));
    });
}

#[test]
fn stream_with_a_length_keeps_it() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let mut client = proxy.send_request("/live/a").await;
        let text = events([1, 2]);
        let lines = format!(
            "200 OK\r\nFennelpin-Host-Seal: s\r\nContent-Type: text/event-stream\r\nContent-Length: {}",
            text.len()
        );
        host.accept().await.respond(&lines, &text).await;
        let response = client.read_message().await.unwrap();
        assert_eq!((response.complete, response.body), (true, text));
    });
}

#[test]
fn load_in_a_stream_head_is_reported_at_once() {
    run_async_test(async {
        let (mut one, mut two) = (
            FakeHost::new("h1", "s").await,
            FakeHost::new("h2", "s").await,
        );
        let proxy = Proxy::new(&[&one, &two]).await;
        let mut first = proxy.send_request("/live/a").await;
        let (mut busy, other) = first_connection(&mut one, &mut two).await;
        busy.respond(
            "200 OK\r\nFennelpin-Host-Seal: s\r\nFennelpin-Host-Load: 4,3,4\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked",
            "",
        )
        .await;
        busy.send_events(&[1]).await;
        first.read_until("piece 1\n\n").await;
        // While that stream goes on, its host is known to be busy.
        for _ in 0..4 {
            let mut client = proxy.send_request("/pure/a").await;
            let lines =
                "200 OK\r\nFennelpin-Host-Seal: s\r\nConnection: close\r\nContent-Length: 1";
            other.accept().await.respond(lines, "x").await;
            assert_eq!(client.read_message().await.unwrap().body, "x");
        }
    });
}
