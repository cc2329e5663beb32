//! Tests of streams: order of events, broken connections and resumption.

mod common;
use common::*;
use rstest::rstest;

#[rstest]
#[case::in_an_event("30\r\nid: 3\ndata: ha")]
#[case::between_events("")]
#[case::in_a_chunk_size("3")]
#[case::garbage("zz\r\n")]
fn broken_stream_that_is_not_resumable_is_truncated(#[case] ending: &str) {
    run_async_test(async {
        let (mut host_1, mut host_2, proxy) = Proxy::with_two_hosts().await;
        let mut client = proxy.send_request("/live/a").await;
        let (mut conn, other) = first_connection(&mut host_1, &mut host_2).await;
        conn.start_stream("seal", &[1, 2]).await;
        conn.send(ending).await;
        drop(conn);
        let response = client.read_message().await.unwrap();
        assert!(!response.complete && response.body.starts_with(&events([1, 2])));
        assert!(other.has_no_connection());
    });
}

#[rstest]
#[case::in_an_event("30\r\nid: 3\ndata: ha")]
#[case::between_events("")]
#[case::in_a_chunk_size("3")]
#[case::garbage("zz\r\n")]
fn broken_resumable_stream_continues_without_gaps(#[case] ending: &str) {
    run_async_test(async {
        let (mut host_1, mut host_2, proxy) = Proxy::with_two_hosts().await;
        let mut client = proxy.client().await;
        client
            .send(&request("/more/a", "one", "Last-Event-Id: 7\r\n"))
            .await;
        let (mut conn, other) = first_connection(&mut host_1, &mut host_2).await;
        let received = conn.start_stream("first", &[8, 9]).await;
        assert_eq!(received.field("last-event-id"), Some("7"));
        conn.send(ending).await;
        drop(conn);
        let mut next = other.accept().await;
        let received = next.start_stream("second", &[9, 10]).await;
        assert_eq!(received.field("last-event-id"), Some("9"));
        assert_eq!(received.field("fennelpin-attempt-id"), Some("one"));
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
        let (mut host_1, mut host_2, proxy) = Proxy::with_two_hosts().await;
        let mut client = proxy.send_request("/more/a").await;
        let (mut conn, other) = first_connection(&mut host_1, &mut host_2).await;
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
        let (mut host_1, mut host_2, proxy) = Proxy::with_two_hosts().await;
        let mut client = proxy.send_request("/more/a").await;
        let (mut conn, other) = first_connection(&mut host_1, &mut host_2).await;
        conn.start_stream("first", &[1, 2]).await;
        drop(conn);
        other.accept().await.respond_refusal().await;
        let response = client.read_message().await.unwrap();
        assert_eq!((response.complete, response.body), (false, events([1, 2])));
    });
}

/// A stream that has started can only be continued by events of another stream.
#[rstest]
#[case("404 Not Found\r\nContent-Length: 4", "none")]
#[case("500 Own\r\nContent-Length: 4", "oops")]
fn started_stream_is_not_continued_by_another_kind_of_response(
    #[case] head_lines: &str,
    #[case] body: &str,
) {
    run_async_test(async {
        let (mut host_1, mut host_2, proxy) = Proxy::with_two_hosts().await;
        let mut client = proxy.send_request("/more/a").await;
        let (mut conn, other) = first_connection(&mut host_1, &mut host_2).await;
        conn.start_stream("first", &[1, 2]).await;
        drop(conn);
        other.accept().await.respond(head_lines, body).await;
        let response = client.read_message().await.unwrap();
        assert_eq!((response.complete, response.body), (false, events([1, 2])));
    });
}

#[test]
fn resumable_stream_forwards_complete_events_only() {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.send_request("/more/a").await;
        let mut conn = host.accept().await;
        conn.start_stream("seal", &[1]).await;
        conn.send("6\r\nid: 2\n\r\n").await;
        assert!(!client.read_until("piece 1\n\n").await.contains("id: 2"));
        conn.send("f\r\ndata: piece 2\n\n\r\n0\r\n\r\n").await;
        assert_eq!(client.read_message().await.unwrap().body, events([1, 2]));
        // Both connections are reused.
        client.send(&request("/more/a", "two", "")).await;
        conn.start_stream("seal", &[1]).await;
        client.read_until("piece 1\n\n").await;
    });
}

#[test]
fn stalled_stream_is_resumed_before_its_client_gives_up() {
    run_async_test(async {
        let (mut host_1, mut host_2, proxy) = Proxy::with_two_hosts().await;
        let mut client = proxy.send_request("/more/a").await;
        let (mut conn, other) = first_connection(&mut host_1, &mut host_2).await;
        conn.start_stream("first", &[1]).await;
        client.read_until("piece 1\n\n").await;
        let silent_since = tokio::time::Instant::now();
        let mut next = other.accept().await;
        // Clients tolerate at least two seconds without data.
        assert!((900..2000).contains(&silent_since.elapsed().as_millis()));
        // The silent host keeps its request until the other one goes on with the stream.
        next.start_stream("second", &[2]).await;
        conn.wait_until_closed().await;
        next.send("0\r\n\r\n").await;
        let response = client.read_message().await.unwrap();
        assert_eq!((response.complete, response.body), (true, events([1, 2])));
    });
}

#[test]
fn stalled_stream_is_waited_for_while_its_host_is_alive() {
    run_async_test(async {
        let (mut host_1, mut host_2) = (
            FakeHost::new("h1", "s").await,
            FakeHost::new("h2", "s").await,
        );
        let proxy = Proxy::new(&[&host_1]).await;
        let (mut stalled_client, mut active_client) = (
            proxy.send_request("/more/a").await,
            proxy.send_request("/more/b").await,
        );
        let (mut stalled_conn, mut active_conn) = (host_1.accept().await, host_1.accept().await);
        stalled_conn.start_stream("first", &[1]).await;
        active_conn.start_stream("first", &[1]).await;
        stalled_client.read_until("piece 1\n\n").await;
        let silent_since = tokio::time::Instant::now();
        proxy
            .apply_fleet(
                configuration(1, ROUTES),
                vec![host_1.info.clone(), host_2.info.clone()],
            )
            .await;
        for n in 2.. {
            active_conn.send_events(&[n]).await;
            active_client.read_until(&format!("piece {n}\n\n")).await;
            if silent_since.elapsed().as_millis() > 1500 {
                break;
            }
        }
        assert!(host_2.has_no_connection());
        // Once the host is silent on all connections, both streams are resumed at the other host.
        let mut next = host_2.accept().await;
        next.start_stream("second", &[9_999_999]).await;
        let mut last = host_2.accept().await;
        last.start_stream("second", &[9_999_999]).await;
        for (client, conn) in [
            (&mut stalled_client, &mut next),
            (&mut active_client, &mut last),
        ] {
            conn.send("0\r\n\r\n").await;
            client.read_until("piece 9999999\n\n").await;
        }
    });
}

#[test]
fn stalled_stream_is_waited_for_without_another_host() {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.send_request("/more/a").await;
        let mut conn = host.accept().await;
        conn.start_stream("first", &[1]).await;
        let closed = tokio::time::timeout(
            std::time::Duration::from_millis(1300),
            conn.wait_until_closed(),
        )
        .await;
        assert!(closed.is_err(), "the connection stays open");
        conn.send_events(&[2]).await;
        conn.send("0\r\n\r\n").await;
        let response = client.read_message().await.unwrap();
        assert_eq!((response.complete, response.body), (true, events([1, 2])));
    });
}

#[test]
fn stream_with_a_content_length_is_forwarded() {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
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
        let (mut host_1, mut host_2, proxy) = Proxy::with_two_hosts().await;
        let mut first = proxy.send_request("/live/a").await;
        let (mut busy, other) = first_connection(&mut host_1, &mut host_2).await;
        busy.respond(
            "200 OK\r\nFennelpin-Host-Seal: s\r\nFennelpin-Host-Load: 4,3,4\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked",
            "",
        )
        .await;
        busy.send_events(&[1]).await;
        first.read_until("piece 1\n\n").await;
        // While that stream is open, its host is known to be busy.
        for _ in 0..4 {
            let mut client = proxy.send_request("/pure/a").await;
            let lines =
                "200 OK\r\nFennelpin-Host-Seal: s\r\nConnection: close\r\nContent-Length: 1";
            other.accept().await.respond(lines, "x").await;
            assert_eq!(client.read_message().await.unwrap().body, "x");
        }
    });
}
