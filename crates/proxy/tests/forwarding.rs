//! Requests from client to host and back.

mod common;
use common::*;

#[test]
fn plain_request_and_response_are_forwarded_unchanged() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
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
        let asked = conn.respond_ok("hello").await;
        assert!(asked.head.starts_with("POST /pure/a?b=c HTTP/1.1\r\n"));
        assert_eq!(
            (asked.body.as_str(), asked.field("host")),
            ("hi", Some("x.example"))
        );
        assert_eq!(asked.field("fennelpin-attempt-id"), Some("one"));
        assert_eq!(asked.field("fennelpin-expected-host"), Some("h1"));
        assert_eq!(
            (
                asked.field("x-own"),
                asked.field("x-hop"),
                asked.field("connection")
            ),
            (Some("1"), None, None)
        );
        let left: u64 = asked
            .field("fennelpin-deadline-ms")
            .unwrap()
            .parse()
            .unwrap();
        assert!((7000..=8000).contains(&left));
        let response = client.read_message().await.unwrap();
        assert_eq!((response.status(), response.body.as_str()), (200, "hello"));
        assert_eq!(response.field("fennelpin-host-seal"), Some("seal"));
        // Both connections serve again.
        client
            .send(&request("/pure/a", "two", "Fennelpin-Deadline-Ms: 500\r\n"))
            .await;
        let asked = conn.respond_ok("again").await;
        assert!(
            asked
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
        let (mut one, mut two) = (
            FakeHost::new("h1", "s").await,
            FakeHost::new("h2", "s").await,
        );
        let proxy = Proxy::new(&[&one, &two]).await;
        let mut client = proxy.client().await;
        client.send(&request("/once/a", "one", "")).await;
        let (first, other) = tokio::select! {
            conn = one.accept() => (conn, &mut two),
            conn = two.accept() => (conn, &mut one),
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
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
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
        let (mut one, mut two) = (
            FakeHost::new("h1", "s").await,
            FakeHost::new("h2", "s").await,
        );
        let proxy = Proxy::new(&[&one, &two]).await;
        let mut client = proxy.client().await;
        client.send(&request("/more/a", "one", "")).await;
        let (mut first, other) = tokio::select! {
            conn = one.accept() => (conn, &mut two),
            conn = two.accept() => (conn, &mut one),
        };
        first.start_stream("first", &[1, 2]).await;
        first.send("30\r\nid: 3\ndata: ha").await;
        drop(first);
        let mut second = other.accept().await;
        let asked = second.start_stream("second", &[2, 3, 4]).await;
        assert_eq!(asked.field("last-event-id"), Some("2"));
        second.send("0\r\n\r\n").await;
        let response = client.read_message().await.unwrap();
        assert_eq!(response.field("fennelpin-host-seal"), Some("first"));
        assert_eq!(
            (response.complete, response.body),
            (true, events([1, 2, 3, 4]))
        );
    });
}
