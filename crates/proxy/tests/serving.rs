//! Requests from client to host and back.

mod common;
use common::*;

#[test]
fn a_plain_request_reaches_its_host_and_the_answer_comes_back_unchanged() {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        assert_eq!(proxy.ready().await, 200);
        let mut client = proxy.client().await;
        client
            .send(&request(
                "/pure/a?b=c",
                "one",
                "X-Own: 1\r\nConnection: keep-alive, x-hop\r\nX-Hop: 2\r\n",
            ))
            .await;
        let mut conn = host.conn().await;
        let asked = conn.answer("hello").await;
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
        let answer = client.message().await.unwrap();
        assert_eq!((answer.status(), answer.body.as_str()), (200, "hello"));
        assert_eq!(answer.field("fennelpin-host-seal"), Some("seal"));
        // Both connections serve again.
        client
            .send(&request("/pure/a", "two", "Fennelpin-Deadline-Ms: 500\r\n"))
            .await;
        let asked = conn.answer("again").await;
        assert!(
            asked
                .field("fennelpin-deadline-ms")
                .unwrap()
                .parse::<u64>()
                .unwrap()
                <= 500
        );
        assert_eq!(client.message().await.unwrap().body, "again");
    });
}

#[test]
fn a_refused_request_goes_to_another_host() {
    story(async {
        let (mut one, mut two) = (Host::new("h1", "s").await, Host::new("h2", "s").await);
        let proxy = Proxy::new(&[&one, &two]).await;
        let mut client = proxy.client().await;
        client.send(&request("/once/a", "one", "")).await;
        let (first, other) = tokio::select! {
            conn = one.conn() => (conn, &mut two),
            conn = two.conn() => (conn, &mut one),
        };
        let mut first = first;
        first.refuse().await;
        other.conn().await.answer("done").await;
        assert_eq!(client.message().await.unwrap().body, "done");
    });
}

#[test]
fn a_stream_is_passed_on_as_it_comes() {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        for path in ["/live/a", "/more/a"] {
            let mut client = proxy.client().await;
            client
                .send(&request(path, "one", "Connection: close\r\n"))
                .await;
            let mut conn = host.conn().await;
            conn.begin("seal", &[1]).await;
            client.until("piece 1\n\n").await;
            conn.events(&[2]).await;
            client.until("piece 2\n\n").await;
            conn.send("0\r\n\r\n").await;
            drop(conn);
            let answer = client.message().await.unwrap();
            assert_eq!((answer.whole, answer.body), (true, events([1, 2])));
        }
    });
}

#[test]
fn a_stream_that_breaks_goes_on_at_another_host() {
    story(async {
        let (mut one, mut two) = (Host::new("h1", "s").await, Host::new("h2", "s").await);
        let proxy = Proxy::new(&[&one, &two]).await;
        let mut client = proxy.client().await;
        client.send(&request("/more/a", "one", "")).await;
        let (mut first, other) = tokio::select! {
            conn = one.conn() => (conn, &mut two),
            conn = two.conn() => (conn, &mut one),
        };
        first.begin("first", &[1, 2]).await;
        first.send("30\r\nid: 3\ndata: ha").await;
        drop(first);
        let mut second = other.conn().await;
        let asked = second.begin("second", &[2, 3, 4]).await;
        assert_eq!(asked.field("last-event-id"), Some("2"));
        second.send("0\r\n\r\n").await;
        let answer = client.message().await.unwrap();
        assert_eq!(answer.field("fennelpin-host-seal"), Some("first"));
        assert_eq!((answer.whole, answer.body), (true, events([1, 2, 3, 4])));
    });
}
