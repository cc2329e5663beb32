//! Tests of forwarding requests to hosts and their responses to clients.

mod common;
use common::*;

#[test]
fn plain_request_and_response_are_forwarded_unchanged() {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        assert_eq!(proxy.readiness_status().await, 200);
        let mut client = proxy.client().await;
        client
            .send(&request(
                "/pure/a?b=c",
                "one",
                "X-Own: 1\r\nConnection: keep-alive, x-hop\r\nX-Hop: 2\r\n",
            ))
            .await;
        let mut conn = host.accept().await;
        let received = conn.respond_ok("hello").await;
        assert!(received.head.starts_with("POST /pure/a?b=c HTTP/1.1\r\n"));
        assert_eq!(
            (received.body.as_str(), received.field("host")),
            ("hi", Some("x.example"))
        );
        assert_eq!(received.field("fennelpin-attempt-id"), Some("one"));
        assert_eq!(received.field("fennelpin-expected-host"), Some("h1"));
        assert_eq!(
            (
                received.field("x-own"),
                received.field("x-hop"),
                received.field("connection")
            ),
            (Some("1"), None, None)
        );
        let left: u64 = received
            .field("fennelpin-deadline-ms")
            .unwrap()
            .parse()
            .unwrap();
        assert!((7000..=8000).contains(&left));
        let response = client.read_message().await.unwrap();
        assert_eq!((response.status(), response.body.as_str()), (200, "hello"));
        assert_eq!(response.field("fennelpin-host-seal"), Some("seal"));
        // Both connections are reused.
        client
            .send(&request("/pure/a", "two", "Fennelpin-Deadline-Ms: 500\r\n"))
            .await;
        let received = conn.respond_ok("again").await;
        assert!(
            received
                .field("fennelpin-deadline-ms")
                .unwrap()
                .parse::<u64>()
                .unwrap()
                <= 500
        );
        assert_eq!(client.read_message().await.unwrap().body, "again");
    });
}

#[test]
fn refused_request_is_retried_at_another_host() {
    run_async_test(async {
        let (mut host_1, mut host_2, proxy) = Proxy::with_two_hosts().await;
        let mut client = proxy.client().await;
        client.send(&request("/once/a", "one", "")).await;
        let (first, other) = tokio::select! {
            conn = host_1.accept() => (conn, &mut host_2),
            conn = host_2.accept() => (conn, &mut host_1),
        };
        let mut first = first;
        first.respond_refusal().await;
        other.accept().await.respond_ok("done").await;
        assert_eq!(client.read_message().await.unwrap().body, "done");
    });
}

#[test]
fn stream_is_forwarded_as_it_comes() {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        for path in ["/live/a", "/more/a"] {
            let mut client = proxy.client().await;
            client
                .send(&request(path, "one", "Connection: close\r\n"))
                .await;
            let mut conn = host.accept().await;
            conn.start_stream("seal", &[1]).await;
            client.read_until("piece 1\n\n").await;
            conn.send_events(&[2]).await;
            client.read_until("piece 2\n\n").await;
            conn.send("0\r\n\r\n").await;
            drop(conn);
            let response = client.read_message().await.unwrap();
            assert_eq!((response.complete, response.body), (true, events([1, 2])));
        }
    });
}

#[test]
fn broken_resumable_stream_is_resumed_at_another_host() {
    run_async_test(async {
        let (mut host_1, mut host_2, proxy) = Proxy::with_two_hosts().await;
        let mut client = proxy.client().await;
        client.send(&request("/more/a", "one", "")).await;
        let (mut first, other) = tokio::select! {
            conn = host_1.accept() => (conn, &mut host_2),
            conn = host_2.accept() => (conn, &mut host_1),
        };
        first.start_stream("first", &[1, 2]).await;
        first.send("30\r\nid: 3\ndata: ha").await;
        drop(first);
        let mut second = other.accept().await;
        let received = second.start_stream("second", &[2, 3, 4]).await;
        assert_eq!(received.field("last-event-id"), Some("2"));
        second.send("0\r\n\r\n").await;
        let response = client.read_message().await.unwrap();
        assert_eq!(response.field("fennelpin-host-seal"), Some("first"));
        assert_eq!(
            (response.complete, response.body),
            (true, events([1, 2, 3, 4]))
        );
    });
}
