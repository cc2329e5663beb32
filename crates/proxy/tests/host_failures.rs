//! Tests of hosts that refuse requests, fail, close their connection, are silent or send invalid responses.

mod common;
use common::*;
use rstest::rstest;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

const SEAL_FIELD: &str = "Fennelpin-Host-Seal: seal";

/// After an invalid response an idempotent request is retried at the next host, and any other request ends with an
/// error.
#[rstest]
#[case::no_seal("200 OK\r\nContent-Length: 2", "ok")]
#[case::encoded(
    "200 OK\r\nFennelpin-Host-Seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 2",
    "ok"
)]
#[case::bare_408("408 Request Timeout\r\nContent-Length: 0", "")]
#[case::bare_429("429 Too Many Requests\r\nContent-Length: 0", "")]
#[case::bare_503("503 Service Unavailable\r\nContent-Length: 0", "")]
#[case::cut_length("200 OK\r\nFennelpin-Host-Seal: s\r\nContent-Length: 9", "ok")]
#[case::cut_chunks(
    "200 OK\r\nFennelpin-Host-Seal: s\r\nTransfer-Encoding: chunked",
    "2\r\nok\r\n"
)]
#[case::bad_chunks(
    "200 OK\r\nFennelpin-Host-Seal: s\r\nTransfer-Encoding: chunked",
    "zz\r\n"
)]
#[case::bad_trailer(
    "200 OK\r\nFennelpin-Host-Seal: s\r\nTransfer-Encoding: chunked",
    "2\r\nok\r\n0\r\nX Field: 1\r\n\r\n"
)]
#[case::response_in_place_of_a_trailer(
    "200 OK\r\nFennelpin-Host-Seal: s\r\nTransfer-Encoding: chunked",
    "2\r\nok\r\n0\r\nHTTP/1.1 500 Failed: x\r\n\r\n"
)]
#[case::two_framings(
    "200 OK\r\nFennelpin-Host-Seal: s\r\nContent-Length: 2\r\nTransfer-Encoding: chunked",
    "ok"
)]
#[case::garbage("\u{1}\u{2}\u{3}", "")]
fn invalid_response_is_retried_only_if_idempotent(
    #[case] lines: &str,
    #[case] body: &str,
    #[values("/pure/a", "/once/a")] path: &str,
) {
    run_async_test(async {
        let is_idempotent = path == "/pure/a";
        let respond = async |mut conn: TestConnection| {
            conn.respond(lines, body).await;
        };
        let response = request_with_two_hosts(path, respond, is_idempotent).await;
        assert!(response.complete);
        assert_eq!(response.field("content-encoding"), None);
        if is_idempotent {
            assert_eq!((response.status(), response.body.as_str()), (200, "second"));
        } else {
            assert_eq!(response.status(), 502);
        }
    });
}

#[rstest]
fn closed_connection_is_retried_only_if_idempotent(
    #[values("/pure/a", "/once/a", "/live/a")] path: &str,
) {
    run_async_test(async {
        let is_idempotent = path == "/pure/a";
        let respond = async |mut conn: TestConnection| {
            conn.read_message().await.unwrap();
        };
        let response = request_with_two_hosts(path, respond, is_idempotent).await;
        assert_eq!(response.status(), if is_idempotent { 200 } else { 502 });
        assert_eq!(
            response.field("retry-after"),
            None,
            "a request that may have run must not be reported as retryable"
        );
    });
}

/// If a host states that it did not run a request, the request is retried, idempotent or not.
#[rstest]
#[case(
    "503 Service Unavailable\r\nFennelpin-Not-Executed: full\r\nContent-Length: 2",
    "no"
)]
#[case(
    "429 Too Many Requests\r\nFennelpin-Not-Executed: rate\r\nContent-Length: 0",
    ""
)]
#[case("421 Misdirected Request\r\nContent-Length: 0", "")]
#[case(
    "400 Bad Request\r\nFennelpin-Not-Executed: id\r\nTransfer-Encoding: chunked",
    "0\r\n\r\n"
)]
fn refused_request_goes_to_another_host(
    #[case] lines: &str,
    #[case] body: &str,
    #[values("/pure/a", "/once/a", "/live/a")] path: &str,
) {
    run_async_test(async {
        let respond = async |mut conn: TestConnection| {
            conn.respond(lines, body).await;
        };
        let response = request_with_two_hosts(path, respond, true).await;
        assert_eq!((response.status(), response.body.as_str()), (200, "second"));
    });
}

#[test]
fn request_refused_by_all_hosts_gets_retry_after() {
    run_async_test(async {
        let (mut host_1, mut host_2, proxy) = Proxy::with_two_hosts().await;
        let mut client = proxy.send_request("/once/a").await;
        let (mut first, other) = first_connection(&mut host_1, &mut host_2).await;
        first.respond_refusal().await;
        other.accept().await.respond_refusal().await;
        let response = client.read_message().await.unwrap();
        assert_eq!(
            (response.status(), response.field("fennelpin-attempt-id")),
            (503, Some("one"))
        );
        assert!(response.field("retry-after").is_some());
    });
}

#[test]
fn refusal_body_is_not_waited_for() {
    run_async_test(async {
        let (mut host_1, mut host_2, proxy) = Proxy::with_two_hosts().await;
        let mut client = proxy.client().await;
        client
            .send(&request("/once/a", "one", "Fennelpin-Deadline-Ms: 40\r\n"))
            .await;
        let (mut first, other) = first_connection(&mut host_1, &mut host_2).await;
        first
            .respond(
                "503 Full\r\nFennelpin-Not-Executed: full\r\nContent-Length: 9",
                "part",
            )
            .await;
        other.accept().await.respond_ok("second").await;
        assert_eq!(client.read_message().await.unwrap().body, "second");
    });
}

#[test]
fn max_tries_limits_the_hosts_that_get_a_request() {
    run_async_test(async {
        let mut hosts = [
            FakeHost::new("h1", "s").await,
            FakeHost::new("h2", "s").await,
        ];
        let proxy = Proxy::without_configuration().await;
        let routes = ROUTES.replace("\"max_tries\":3", "\"max_tries\":1");
        proxy
            .apply_fleet(
                configuration(1, &routes),
                hosts.iter().map(|h| h.info.clone()).collect(),
            )
            .await;
        let mut client = proxy.send_request("/pure/a").await;
        let [host_1, host_2] = &mut hosts;
        let (mut conn, other) = first_connection(host_1, host_2).await;
        conn.respond_refusal().await;
        assert_eq!(client.read_message().await.unwrap().status(), 503);
        assert!(other.has_no_connection());
    });
}

#[test]
fn retry_without_budget_is_rejected() {
    run_async_test(async {
        let (mut host_1, mut host_2) = (
            FakeHost::new("h1", "s").await,
            FakeHost::new("h2", "s").await,
        );
        let proxy = Proxy::with_options(ProxyOptions {
            retry_slack: 0.0,
            ..ProxyOptions::default()
        })
        .await;
        proxy
            .apply_fleet(
                configuration(1, ROUTES),
                vec![host_1.info.clone(), host_2.info.clone()],
            )
            .await;
        let mut client = proxy.send_request("/pure/a").await;
        let (mut conn, other) = first_connection(&mut host_1, &mut host_2).await;
        conn.respond_refusal().await;
        let response = client.read_message().await.unwrap();
        assert!(response.body.starts_with("402 "), "{}", response.body);
        assert!(response.field("retry-after").is_some() && other.has_no_connection());
    });
}

#[rstest]
fn unreachable_hosts_cost_no_retry_budget(#[values("/pure/a", "/once/a", "/live/a")] path: &str) {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = Proxy::with_options(ProxyOptions {
            retry_slack: 0.0,
            ..ProxyOptions::default()
        })
        .await;
        let unreachable = [
            host_info("d1", "s", unused_address().await),
            host_info("d2", "s", unused_address().await),
        ];
        proxy
            .apply_fleet(
                configuration(1, ROUTES),
                [&unreachable[..], &[host.info.clone()]].concat(),
            )
            .await;
        for _ in 0..4 {
            let mut client = proxy.send_request(path).await;
            host.accept()
                .await
                .respond(
                    &format!("200 OK\r\n{SEAL_FIELD}\r\nConnection: close\r\nContent-Length: 1"),
                    "x",
                )
                .await;
            assert_eq!(client.read_message().await.unwrap().body, "x");
        }
        assert_eq!(
            (proxy.counters.get().attempts, proxy.counters.get().retries),
            (4, 0)
        );
    });
}

/// A listener that accepts no connection and does not refuse any either, as its backlog is full.
async fn unresponsive_listener() -> (
    SocketAddrV4,
    tokio::net::TcpListener,
    Vec<std::net::TcpStream>,
) {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let SocketAddr::V4(addr) = listener.local_addr().unwrap() else {
        unreachable!("the listener has an IPv4 address")
    };
    let connect =
        || std::net::TcpStream::connect_timeout(&SocketAddr::V4(addr), Duration::from_millis(60));
    let waiting = std::iter::from_fn(|| connect().ok()).collect();
    (addr, listener, waiting)
}

#[rstest]
fn host_that_accepts_no_connection_is_replaced(#[values("/pure/a", "/once/a")] path: &str) {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = Proxy::without_configuration().await;
        let (addr, _listener, _waiting) = unresponsive_listener().await;
        let distant = balancing::HostInfo {
            zone: "b".into(),
            ..host.info.clone()
        };
        proxy
            .apply_fleet(
                configuration(1, ROUTES),
                vec![host_info("dark", "s", addr), distant],
            )
            .await;
        let started_at = tokio::time::Instant::now();
        let mut client = proxy.send_request(path).await;
        host.accept().await.respond_ok("done").await;
        assert_eq!(client.read_message().await.unwrap().body, "done");
        assert!(
            started_at.elapsed() < Duration::from_millis(900),
            "{:?}",
            started_at.elapsed()
        );
        let counters = proxy.counters.get();
        assert_eq!(
            (
                counters.host_connect_failures,
                counters.attempts,
                counters.retries
            ),
            (1, 1, 0)
        );
    });
}

#[rstest]
fn host_error_is_retried_only_if_idempotent(
    #[values("/pure/a", "/once/a")] path: &str,
    #[values(500, 504, 507)] status: u16,
) {
    run_async_test(async {
        let is_idempotent = path == "/pure/a";
        let respond = async |mut conn: TestConnection| {
            conn.respond(
                &format!("{status} Own\r\n{SEAL_FIELD}\r\nX-Own: 1\r\nContent-Length: 4"),
                "oops",
            )
            .await;
        };
        let response = request_with_two_hosts(path, respond, is_idempotent).await;
        if is_idempotent {
            assert_eq!((response.status(), response.body.as_str()), (200, "second"));
        } else {
            assert_eq!(
                (response.status(), response.body.as_str()),
                (status, "oops")
            );
            assert_eq!(
                (
                    response.field("x-own"),
                    response.field("fennelpin-host-seal")
                ),
                (Some("1"), Some("seal"))
            );
        }
    });
}

#[test]
fn last_host_error_is_forwarded_when_all_fail() {
    run_async_test(async {
        let (mut host_1, mut host_2, proxy) = Proxy::with_two_hosts().await;
        let mut client = proxy.send_request("/pure/a").await;
        let (mut first, other) = first_connection(&mut host_1, &mut host_2).await;
        first.respond("500 Own\r\nContent-Length: 5", "first").await;
        other
            .accept()
            .await
            .respond("500 Own\r\nContent-Length: 4", "last")
            .await;
        let response = client.read_message().await.unwrap();
        assert_eq!((response.status(), response.body.as_str()), (500, "last"));
    });
}

#[rstest]
#[case("404 Not Found\r\nContent-Length: 2", "no")]
#[case(
    "400 Bad Request\r\nTransfer-Encoding: chunked",
    "2\r\nno\r\n0\r\n\r\n"
)]
#[case("302 Found\r\nLocation: /x\r\nContent-Length: 2", "no")]
fn other_responses_are_forwarded_unchanged(#[case] lines: &str, #[case] body: &str) {
    run_async_test(async {
        let respond = async |mut conn: TestConnection| {
            conn.respond(lines, body).await;
        };
        let response = request_with_two_hosts("/pure/a", respond, false).await;
        assert_eq!(
            (&response.head[9..12], response.body.as_str()),
            (&lines[..3], "no")
        );
    });
}

/// A proxy with one host and one idle connection to it, after a response with these additional field lines.
async fn proxy_with_idle_connection(
    lines: &str,
) -> (FakeHost, Proxy, TestConnection, TestConnection) {
    let (mut host, proxy) = Proxy::with_one_host().await;
    let mut client = proxy.send_request("/once/a").await;
    let mut conn = host.accept().await;
    conn.respond(
        &format!("200 OK\r\n{SEAL_FIELD}\r\nContent-Length: 1{lines}"),
        "1",
    )
    .await;
    assert_eq!(client.read_message().await.unwrap().body, "1");
    (host, proxy, client, conn)
}

async fn send_second_request(client: &mut TestConnection) {
    client.send(&request("/once/b", "two", "")).await;
}

#[test]
fn connection_closed_by_the_host_is_not_reused() {
    run_async_test(async {
        let (mut host, _proxy, mut client, conn) = proxy_with_idle_connection("").await;
        drop(conn);
        send_second_request(&mut client).await;
        host.accept().await.respond_ok("2").await;
        assert_eq!(client.read_message().await.unwrap().body, "2");
    });
}

#[test]
fn connection_with_stray_bytes_is_not_reused() {
    run_async_test(async {
        let (mut host, _proxy, mut client, mut conn) = proxy_with_idle_connection("").await;
        conn.send(&ok_response("two", "stray")).await;
        send_second_request(&mut client).await;
        host.accept().await.respond_ok("2").await;
        assert_eq!(client.read_message().await.unwrap().body, "2");
        conn.wait_until_closed().await;
    });
}

#[rstest]
#[case("\r\nConnection: close")]
#[case("\r\nKeep-Alive: timeout=0")]
fn connection_that_a_response_closes_is_not_reused(#[case] lines: &str) {
    run_async_test(async {
        let (mut host, _proxy, mut client, mut conn) = proxy_with_idle_connection(lines).await;
        send_second_request(&mut client).await;
        host.accept().await.respond_ok("2").await;
        assert_eq!(client.read_message().await.unwrap().body, "2");
        conn.wait_until_closed().await;
    });
}

#[test]
fn idle_connections_to_a_draining_host_are_closed() {
    run_async_test(async {
        let (host, proxy, mut client, mut conn) = proxy_with_idle_connection("").await;
        let mut next = FakeHost::new("h2", "s").await;
        let draining_host = balancing::HostInfo {
            draining: true,
            ..host.info.clone()
        };
        proxy
            .apply_fleet(
                configuration(1, ROUTES),
                vec![draining_host, next.info.clone()],
            )
            .await;
        conn.wait_until_closed().await;
        send_second_request(&mut client).await;
        next.accept().await.respond_ok("2").await;
        assert_eq!(client.read_message().await.unwrap().body, "2");
    });
}

#[rstest]
#[case(
    "good",
    "200 OK\r\nFennelpin-Host-Seal: seal\r\nContent-Length: 5",
    "stray"
)]
#[case(
    "refusal",
    "503 Service Unavailable\r\nFennelpin-Not-Executed: full\r\nContent-Length: 0",
    ""
)]
#[case("other host", "421 Misdirected Request\r\nContent-Length: 0", "")]
#[case(
    "failure",
    "500 Own\r\nTransfer-Encoding: chunked",
    "2\r\nno\r\n0\r\n\r\n"
)]
fn response_to_another_request_is_skipped(
    #[case] stray_kind: &str,
    #[case] lines: &str,
    #[case] body: &str,
) {
    run_async_test(async {
        let (mut host, proxy, mut client, mut conn) = proxy_with_idle_connection("").await;
        send_second_request(&mut client).await;
        conn.read_message().await.unwrap();
        conn.send(&format!(
            "HTTP/1.1 {lines}\r\nFennelpin-Attempt-Id: one\r\n\r\n{body}"
        ))
        .await;
        conn.send(&ok_response("two", "ours")).await;
        assert_eq!(
            client.read_message().await.unwrap().body,
            "ours",
            "after a {stray_kind}"
        );
        assert_eq!(proxy.counters.get().stray_responses, 1);
        // Another stray response may still arrive, so the connection is not reused.
        conn.wait_until_closed().await;
        client.send(&request("/once/c", "three", "")).await;
        host.accept().await.respond_ok("3").await;
        assert_eq!(client.read_message().await.unwrap().body, "3");
    });
}

#[test]
fn refusal_without_id_on_a_reused_connection_is_invalid() {
    run_async_test(async {
        let (_host, _proxy, mut client, mut conn) = proxy_with_idle_connection("").await;
        send_second_request(&mut client).await;
        conn.read_message().await.unwrap();
        conn.send("HTTP/1.1 503 No\r\nFennelpin-Not-Executed: full\r\nContent-Length: 0\r\n\r\n")
            .await;
        drop(conn);
        assert_eq!(client.read_message().await.unwrap().status(), 502);
    });
}

#[rstest]
fn early_response_is_forwarded_before_the_body_is_written(
    #[values("", "closes", "stray")] extra: &str,
) {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = Proxy::without_configuration().await;
        let text = format!(
            r#"{{"version":1,"routes":[{ROUTES}],"services":[{{"name":"s"}}],"limits":{{"max_body_bytes":9000000}}}}"#
        );
        let document = configuration::Configuration::read(text.as_bytes(), 0).unwrap();
        proxy
            .apply_fleet(document.into(), vec![host.info.clone()])
            .await;
        let mut client = proxy.client().await;
        let body = "a".repeat(8_000_000);
        let head = format!(
            "POST /once/a HTTP/1.1\r\nHost: x.example\r\nFennelpin-Attempt-Id: one\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        client.send(&(head + &body)).await;
        let mut conn = host.accept().await;
        conn.read_head().await.unwrap();
        if extra == "stray" {
            // A response to another request does not stop the proxy from sending the rest of this one.
            conn.send(&ok_response("zero", "stray")).await;
            assert_eq!(conn.read_body_bytes(body.len()).await, body);
        }
        conn.send(
            "HTTP/1.1 413 Content Too Large\r\nFennelpin-Attempt-Id: one\r\nContent-Length: 3\r\n\r\nbig",
        )
        .await;
        let conn = (extra != "closes").then_some(conn);
        let response = client.read_message().await.unwrap();
        assert_eq!((response.status(), response.body.as_str()), (413, "big"));
        if let Some(mut conn) = conn {
            conn.wait_until_closed().await;
        }
    });
}

#[test]
fn large_response_is_streamed_through() {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let body = "0123456789".repeat(100_000);
        for _ in 0..2 {
            let mut client = proxy.send_request("/pure/a").await;
            let respond = async {
                let mut conn = host.accept().await;
                let lines = format!(
                    "200 OK\r\n{SEAL_FIELD}\r\nConnection: close\r\nContent-Length: {}",
                    body.len()
                );
                conn.respond(&lines, &body).await;
            };
            let (response, ()) = tokio::join!(client.read_message(), respond);
            let response = response.unwrap();
            assert!(response.complete && response.body == body);
        }
    });
}

#[rstest]
#[case::length("Content-Length: 900000", "")]
#[case::chunks("Transfer-Encoding: chunked", "80e80\r\n")]
fn truncated_large_response_looks_incomplete(#[case] framing: &str, #[case] start: &str) {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.send_request("/pure/a").await;
        let body = start.to_owned() + &"0123456789".repeat(40_000);
        let respond = async {
            let mut conn = host.accept().await;
            conn.respond(&format!("200 OK\r\n{SEAL_FIELD}\r\n{framing}"), &body)
                .await;
        };
        let (response, ()) = tokio::join!(client.read_message(), respond);
        assert!(!response.unwrap().complete);
        assert_eq!(proxy.counters.get().truncated_responses, 1);
    });
}

#[rstest]
fn truncated_close_delimited_response_ends_with_a_reset(#[values(true, false)] reset: bool) {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        // An HTTP/1.0 client does not support chunked encoding, so only the connection shows it the end of the
        // response.
        let mut client = proxy.client().await;
        client
            .send(&request("/once/a", "one", "").replace("HTTP/1.1", "HTTP/1.0"))
            .await;
        let mut conn = host.accept().await;
        let body = "0123456789".repeat(40_000);
        let respond = async {
            conn.respond(&format!("200 OK\r\n{SEAL_FIELD}"), &body)
                .await;
            conn
        };
        let (_, conn) = tokio::join!(client.read_until(&body), respond);
        if reset {
            conn.reset();
        } else {
            drop(conn);
        }
        assert_eq!(client.ends_without_reset().await, !reset);
    });
}

#[test]
fn connections_to_a_host_are_limited_to_the_share_of_the_proxy() {
    run_async_test(async {
        let (mut host_1, mut host_2) = (
            FakeHost::new("h1", "s").await,
            FakeHost::new("h2", "s").await,
        );
        let proxy = Proxy::without_configuration().await;
        // Of the eight connections to a host this proxy may use four, as there are two proxies.
        let text = format!(
            r#"{{"version":1,"routes":[{ROUTES}],"services":[{{"name":"s","conn_limit":8}}]}}"#
        );
        let document = configuration::Configuration::read(text.as_bytes(), 0).unwrap();
        let info = |h: &FakeHost| balancing::HostInfo {
            capacity: 99,
            ..h.info.clone()
        };
        proxy
            .apply_fleet(document.into(), vec![info(&host_1), info(&host_2)])
            .await;
        let (mut clients, mut conns) = (Vec::new(), Vec::new());
        for _ in 0..8 {
            clients.push(proxy.send_request("/once/a").await);
            let (mut conn, _) = first_connection(&mut host_1, &mut host_2).await;
            conn.read_message().await.unwrap();
            conns.push(conn);
        }
        let response = proxy
            .send_request("/once/a")
            .await
            .read_message()
            .await
            .unwrap();
        assert_eq!(
            (response.status(), proxy.counters.get().host_connects),
            (503, 8)
        );
        drop(conns);
        for mut client in clients {
            assert_eq!(client.read_message().await.unwrap().status(), 502);
        }
    });
}

#[rstest]
#[case::not_sent("/quick/once/a", false, 503)]
#[case::once("/quick/once/a", true, 504)]
#[case::pure("/quick/a", true, 504)]
fn status_at_the_deadline_tells_whether_the_request_may_have_run(
    #[case] path: &str,
    #[case] sent: bool,
    #[case] status: u16,
) {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.client().await;
        let deadline = if sent {
            ""
        } else {
            "Fennelpin-Deadline-Ms: 0\r\n"
        };
        client.send(&request(path, "one", deadline)).await;
        let conn = if sent {
            Some(host.accept().await)
        } else {
            None
        };
        let response = client.read_message().await.unwrap();
        assert_eq!(response.status(), status);
        assert!(host.has_no_connection());
        if let Some(mut conn) = conn {
            conn.wait_until_closed().await;
        }
    });
}

#[test]
fn host_response_at_the_deadline_is_forwarded() {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.send_request("/quick/once/a").await;
        let mut conn = host.accept().await;
        let received = conn.read_message().await.unwrap();
        let left: u64 = received
            .field("fennelpin-deadline-ms")
            .unwrap()
            .parse()
            .unwrap();
        assert!(left <= 150);
        conn.send("HTTP/1.1 504 Own\r\nFennelpin-Attempt-Id: one\r\nContent-Length: 4\r\n\r\nlate")
            .await;
        let response = client.read_message().await.unwrap();
        assert_eq!((response.status(), response.body.as_str()), (504, "late"));
    });
}

#[rstest]
fn request_fails_over_from_a_silent_host(#[values("/pure/a", "/more/a")] path: &str) {
    run_async_test(async {
        let (mut host_1, mut host_2, proxy) = Proxy::with_two_hosts().await;
        let mut client = proxy.send_request(path).await;
        let (mut silent, other) = first_connection(&mut host_1, &mut host_2).await;
        silent.read_message().await.unwrap();
        let mut conn = other.accept().await;
        silent.wait_until_closed().await;
        if path == "/pure/a" {
            conn.respond_ok("second").await;
            assert_eq!(client.read_message().await.unwrap().body, "second");
        } else {
            conn.start_stream("seal", &[1]).await;
            conn.send("0\r\n\r\n").await;
            assert_eq!(client.read_message().await.unwrap().body, events([1]));
        }
        assert_eq!(
            (proxy.counters.get().failovers, proxy.counters.get().retries),
            (1, 1)
        );
    });
}

#[test]
fn non_idempotent_request_waits_for_a_silent_host() {
    run_async_test(async {
        let (mut host_1, mut host_2, proxy) = Proxy::with_two_hosts().await;
        let mut client = proxy.client().await;
        client
            .send(&request("/once/a", "one", "Fennelpin-Deadline-Ms: 900\r\n"))
            .await;
        let (mut silent, other) = first_connection(&mut host_1, &mut host_2).await;
        silent.read_message().await.unwrap();
        let response = client.read_message().await.unwrap();
        assert_eq!(response.status(), 504);
        assert!(other.has_no_connection());
    });
}

/// A host that closes connections is counted as ejected once, regardless of the number of failed requests, and as
/// reinstated once after a response.
#[test]
fn ejection_and_reinstatement_of_a_host_are_counted_once() {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.send_request("/pure/a").await;
        drop(host.accept().await);
        assert_ne!(client.read_message().await.unwrap().status(), 200);
        let counters = proxy.counters.get();
        assert_eq!((counters.hosts_ejected, counters.hosts_reinstated), (1, 0));
        // The only host gets requests again once its ejection has ended.
        loop {
            let mut client = proxy.send_request("/pure/a").await;
            let mut conn = tokio::select! {
                conn = host.accept() => conn,
                _ = client.read_message() => continue,
            };
            conn.respond_ok("one").await;
            if client.read_message().await.unwrap().status() == 200 {
                break;
            }
        }
        let counters = proxy.counters.get();
        assert_eq!((counters.hosts_ejected, counters.hosts_reinstated), (1, 1));
    });
}
