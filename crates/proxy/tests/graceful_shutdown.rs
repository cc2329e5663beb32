//! Tests of the graceful shutdown: requests in flight get a response, and clients are told in time to close their
//! connections.

mod common;
use common::*;
use tokio::net::TcpStream;

/// Grace period in seconds, shorter than the full service after the signal.
const SHORT_GRACE_S: f64 = 1.7;

#[test]
fn stopping_proxy_is_not_ready_but_still_serves() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let mut proxy = Proxy::with_grace(SHORT_GRACE_S, &host).await;
        let mut existing = proxy.send_request("/pure/a").await;
        let mut conn = host.accept().await;
        conn.respond_ok("before").await;
        assert_eq!(
            existing.read_message().await.unwrap().field("connection"),
            None
        );
        proxy.signal_stop();
        while proxy.readiness_status().await == 200 {}
        // The platform still opens connections, and existing ones may still send requests. Each gets a response that
        // closes its connection.
        let mut later = proxy.send_request("/once/a").await;
        conn.respond_ok("new").await;
        let response = later.read_message().await.unwrap();
        assert_eq!(
            (response.body.as_str(), response.field("connection")),
            ("new", Some("close"))
        );
        later.wait_until_closed().await;
        existing.send(&request("/once/a", "two", "")).await;
        conn.respond_ok("old").await;
        let response = existing.read_message().await.unwrap();
        assert_eq!(
            (response.body.as_str(), response.field("connection")),
            ("old", Some("close"))
        );
        existing.wait_until_closed().await;
    });
}

#[test]
fn requests_in_flight_are_answered_before_the_process_ends() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let mut proxy = Proxy::with_grace(4.5, &host).await;
        let mut idle = proxy.client().await;
        let mut busy = proxy.send_request("/live/a").await;
        let mut conn = host.accept().await;
        conn.start_stream("seal", &[1]).await;
        busy.read_until("piece 1\n\n").await;
        let signalled_at = std::time::Instant::now();
        proxy.signal_stop();
        // The idle connection is closed once the platform has noticed the shutdown; the stream stays open.
        idle.wait_until_closed().await;
        let waited = signalled_at.elapsed().as_millis();
        assert!((2000..3600).contains(&waited), "{waited} ms");
        conn.send_events(&[2]).await;
        conn.send("0\r\n\r\n").await;
        let response = busy.read_message().await.unwrap();
        assert_eq!((response.complete, response.body), (true, events([1, 2])));
        let counters_at_exit = proxy.serving.await.unwrap().unwrap();
        assert_eq!(
            (
                counters_at_exit.responses,
                counters_at_exit.truncated_responses
            ),
            (1, 0)
        );
        assert!(
            signalled_at.elapsed().as_millis() < 4000,
            "the process exits early when nothing is left to wait for"
        );
    });
}

#[test]
fn late_request_that_may_outlast_the_process_is_rejected() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let mut proxy = Proxy::with_grace(6.0, &host).await;
        let mut idle = proxy.client().await;
        let mut late = proxy.send_request("/live/a").await;
        let mut stream = host.accept().await;
        stream.start_stream("seal", &[1]).await;
        late.read_until("piece 1\n\n").await;
        proxy.signal_stop();
        // Idle connections are closed once the platform has noticed the shutdown.
        idle.wait_until_closed().await;
        // Requests with a deadline of eight seconds may outlast the process, so they are rejected before a host
        // receives them.
        for path in ["/live/b", "/once/b", "/more/b"] {
            let response = proxy.send_request(path).await.read_message().await.unwrap();
            assert_eq!(
                (response.status(), response.field("connection")),
                (503, Some("close")),
                "{path}"
            );
            assert!(
                response.field("retry-after").is_some(),
                "{path}: {}",
                response.head
            );
        }
        assert!(host.has_no_connection());
        // An idempotent request is served: if the process ended first, it would be rejected and the client could retry
        // it.
        let mut pure = proxy.send_request("/pure/b").await;
        host.accept().await.respond_ok("once more").await;
        assert_eq!(pure.read_message().await.unwrap().body, "once more");
        // Requests that end before the process does are still served, and so are requests admitted before the signal.
        let mut short = proxy.client().await;
        short
            .send(&request(
                "/once/c",
                "short",
                "Fennelpin-Deadline-Ms: 700\r\n",
            ))
            .await;
        host.accept().await.respond_ok("in time").await;
        let response = short.read_message().await.unwrap();
        assert_eq!(
            (response.body.as_str(), response.field("connection")),
            ("in time", Some("close"))
        );
        stream.send_events(&[2]).await;
        stream.send("0\r\n\r\n").await;
        let response = late.read_message().await.unwrap();
        assert_eq!((response.complete, response.body), (true, events([1, 2])));
        let counters_at_exit = proxy.serving.await.unwrap().unwrap();
        assert_eq!(
            (
                counters_at_exit.responses,
                counters_at_exit.truncated_responses
            ),
            (3, 0)
        );
    });
}

#[test]
fn request_in_flight_at_shutdown_is_not_reported_as_not_run() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let mut proxy = Proxy::with_grace(SHORT_GRACE_S, &host).await;
        let mut sent = proxy.send_request("/once/a").await;
        let mut conn = host.accept().await;
        conn.read_message().await.unwrap();
        let mut incomplete = proxy.client().await;
        incomplete
            .send("POST /once/a HTTP/1.1\r\nHost: x.example\r\nFennelpin-Attempt-Id: two\r\n")
            .await;
        let signalled_at = std::time::Instant::now();
        proxy.signal_stop();
        let response = sent.read_message().await.unwrap();
        assert_eq!(
            (response.status(), response.field("connection")),
            (502, Some("close")),
            "it may have run"
        );
        conn.wait_until_closed().await;
        proxy.serving.await.unwrap().unwrap();
        assert!(
            signalled_at.elapsed().as_millis() < 1700,
            "the process exits before the grace period ends: {:?}",
            signalled_at.elapsed()
        );
        incomplete.wait_until_closed().await;
    });
}

#[test]
fn counters_are_returned_at_the_end() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = Proxy::with_grace(0.8, &host).await;
        let mut client = proxy.send_request("/pure/a").await;
        let mut conn = host.accept().await;
        conn.respond_ok("done").await;
        client.read_message().await.unwrap();
        let counters = proxy.counters.clone();
        let counters_at_exit = proxy.stop().await;
        assert_eq!(counters_at_exit, counters.get());
        assert_eq!(
            (
                counters_at_exit.requests,
                counters_at_exit.attempts,
                counters_at_exit.responses,
                counters_at_exit.host_connects
            ),
            (1, 1, 1, 1)
        );
    });
}

/// A request whose response can no longer be awaited is rejected before a host receives it. Once sent and abandoned, it
/// could neither be answered nor retried.
#[test]
fn request_shortly_before_the_end_is_rejected_before_it_reaches_a_host() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let mut proxy = Proxy::with_grace(SHORT_GRACE_S, &host).await;
        // Clients keep sending requests until the end, and the host responds to each at once.
        let clients: Vec<_> = (0..8)
            .map(|n| tokio::task::spawn_local(send_requests_until_refused(proxy.client_address, n)))
            .collect();
        let responses = tokio::task::spawn_local(async move {
            loop {
                let mut conn = host.accept().await;
                tokio::task::spawn_local(async move {
                    while let Some(request) = conn.read_message().await {
                        let id = request.field("fennelpin-attempt-id").unwrap_or("none");
                        conn.send(&ok_response(id, "done")).await;
                    }
                });
            }
        });
        proxy.signal_stop();
        let mut rejected_count = 0;
        for client in clients {
            for status in client.await.unwrap() {
                assert!(
                    [200, 503].contains(&status),
                    "neither a response nor a promise that the request did not run: {status}"
                );
                rejected_count += usize::from(status == 503);
            }
        }
        assert!(rejected_count > 0, "the last requests are rejected");
        responses.abort();
        proxy.serving.await.unwrap().unwrap();
    });
}

/// Sends requests one after the other, each on a new connection, until connections are refused. Returns the status of
/// each response.
async fn send_requests_until_refused(
    proxy_address: std::net::SocketAddrV4,
    client: usize,
) -> Vec<u16> {
    let mut statuses = Vec::new();
    for n in 0.. {
        let Ok(stream) = TcpStream::connect(std::net::SocketAddr::V4(proxy_address)).await else {
            break;
        };
        let mut connection = TestConnection::new(stream);
        connection
            .send(&request("/once/a", &format!("{client}-{n}"), ""))
            .await;
        // A request that is still unread when the process exits gets no response.
        if let Some(response) = connection.read_message().await {
            statuses.push(response.status());
        }
    }
    statuses
}
