//! Client connections: limits, keep-alive, pipelining and eviction.

mod common;
use common::*;
use rstest::rstest;

const SMALL_LIMITS: &str = r#""limits":{"max_header_bytes":1024,"max_body_bytes":100,"header_timeout_ms":60,"idle_timeout_ms":120}"#;

/// Starts a proxy with [`SMALL_LIMITS`].
async fn proxy_with_small_limits(host: &FakeHost) -> Proxy {
    let proxy = Proxy::without_configuration().await;
    let text = format!(
        r#"{{"version":1,"routes":[{ROUTES}],"services":[{{"name":"s"}}],{SMALL_LIMITS}}}"#
    );
    let document = configuration::Configuration::read(text.as_bytes(), 0).unwrap();
    proxy
        .apply_fleet(document.into(), vec![host.info.clone()])
        .await;
    proxy
}

#[rstest]
#[case::not_http("BREW /pure/ COFFEE/1.1\r\n\r\n".into(), 400)]
#[case::two_framings(head("Content-Length: 2\r\nTransfer-Encoding: chunked\r\n"), 400)]
#[case::invalid_length(head("Content-Length: two\r\n"), 400)]
#[case::bad_chunk(head("Transfer-Encoding: chunked\r\n") + "zz\r\n", 400)]
#[case::no_attempt_id("GET /pure/ HTTP/1.1\r\nHost: x.example\r\n\r\n".into(), 400)]
#[case::long_body(head("Content-Length: 101\r\n"), 413)]
#[case::length_overflow(head("Content-Length: 99999999999999999999999\r\n"), 413)]
#[case::long_chunks(head("Transfer-Encoding: chunked\r\n") + "65\r\n" + &"a".repeat(101), 413)]
#[case::long_head(head(&format!("X: {}\r\n", "a".repeat(1100))), 431)]
#[case::slow_head("GET /pure/ HTTP/1.1\r\nHost:".into(), 408)]
#[case::slow_body(head("Content-Length: 2\r\n") + "h", 408)]
#[case::no_route("GET /nowhere/ HTTP/1.1\r\nHost: x.example\r\nFennelpin-Attempt-Id: one\r\n\r\n".into(), 404)]
#[case::other_host("GET /pure/ HTTP/1.1\r\nHost: y.example\r\nFennelpin-Attempt-Id: one\r\n\r\n".into(), 404)]
fn invalid_request_gets_a_local_reply_with_its_status(#[case] text: String, #[case] status: u16) {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = proxy_with_small_limits(&host).await;
        let mut client = proxy.client().await;
        client.send(&text).await;
        let response = client.read_message().await.expect("a response");
        assert_eq!(response.status(), status);
        assert!(response.complete && host.has_no_connection());
        if status != 404 && !text.starts_with("GET /pure/ HTTP/1.1\r\nHost: x.example") {
            assert_eq!(response.field("connection"), Some("close"));
            client.wait_until_closed().await;
        }
    });
}

fn head(fields: &str) -> String {
    format!("POST /pure/a HTTP/1.1\r\nHost: x.example\r\nFennelpin-Attempt-Id: one\r\n{fields}\r\n")
}

#[test]
fn idle_client_connection_is_closed_without_a_reply() {
    run_async_test(async {
        let host = FakeHost::new("h1", "s").await;
        let proxy = proxy_with_small_limits(&host).await;
        let mut client = proxy.client().await;
        assert_eq!(client.read_message().await, None);
    });
}

#[test]
fn chunked_body_reaches_the_host_with_a_length() {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.client().await;
        client
            .send(&(head("Transfer-Encoding: chunked\r\n") + "3\r\nhel\r\n"))
            .await;
        client.send("2\r\nlo\r\n0\r\n\r\n").await;
        let host_request = host.accept().await.respond_ok("done").await;
        assert_eq!(
            (
                host_request.body.as_str(),
                host_request.field("content-length")
            ),
            ("hello", Some("5"))
        );
        assert_eq!(host_request.field("transfer-encoding"), None);
        assert_eq!(client.read_message().await.unwrap().body, "done");
    });
}

#[test]
fn expect_continue_gets_an_interim_response() {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.client().await;
        client
            .send(&head("Expect: 100-continue\r\nContent-Length: 2\r\n"))
            .await;
        assert!(client
            .read_head()
            .await
            .unwrap()
            .starts_with("HTTP/1.1 100 "));
        client.send("hi").await;
        let host_request = host.accept().await.respond_ok("done").await;
        assert_eq!(
            (host_request.body.as_str(), host_request.field("expect")),
            ("hi", None)
        );
        assert_eq!(client.read_message().await.unwrap().body, "done");
    });
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.client().await;
        client
            .send(&(request("/pure/a", "one", "") + &request("/once/b", "two", "")))
            .await;
        let mut conn = host.accept().await;
        assert_eq!(
            conn.respond_ok("first").await.field("fennelpin-attempt-id"),
            Some("one")
        );
        assert_eq!(client.read_message().await.unwrap().body, "first");
        assert_eq!(
            conn.respond_ok("second")
                .await
                .field("fennelpin-attempt-id"),
            Some("two")
        );
        assert_eq!(client.read_message().await.unwrap().body, "second");
    });
}

#[test]
fn request_without_configuration_gets_retry_after() {
    run_async_test(async {
        let mut proxy = Proxy::without_configuration().await;
        assert_eq!(proxy.readiness_status().await, 503);
        let response = proxy
            .send_request("/pure/a")
            .await
            .read_message()
            .await
            .unwrap();
        assert_eq!(response.status(), 503);
        let retry_after_s: f64 = response.field("retry-after").unwrap().parse().unwrap();
        assert!(retry_after_s > 0.0 && retry_after_s <= 1.0);
        proxy
            .apply_fleet(configuration(1, ROUTES), Vec::new())
            .await;
        assert_eq!(proxy.readiness_status().await, 503, "no hosts are known");
        assert_eq!(
            proxy
                .send_request("/pure/a")
                .await
                .read_message()
                .await
                .unwrap()
                .status(),
            503
        );
        let mut host = FakeHost::new("h1", "s").await;
        proxy
            .apply_fleet(configuration(1, ROUTES), vec![host.info.clone()])
            .await;
        assert_eq!(proxy.readiness_status().await, 200);
        let mut client = proxy.send_request("/pure/a").await;
        host.accept().await.respond_ok("done").await;
        assert_eq!(client.read_message().await.unwrap().status(), 200);
        proxy.signal_stop();
    });
}

#[test]
fn older_configuration_is_ignored() {
    run_async_test(async {
        let host = FakeHost::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        proxy
            .apply_fleet(
                configuration(5, &ROUTES.replace("/once/", "/other/")),
                vec![host.info.clone()],
            )
            .await;
        assert_eq!(
            proxy
                .send_request("/once/a")
                .await
                .read_message()
                .await
                .unwrap()
                .status(),
            404
        );
        proxy
            .apply_fleet(configuration(4, ROUTES), vec![host.info.clone()])
            .await;
        assert_eq!(
            proxy
                .send_request("/once/a")
                .await
                .read_message()
                .await
                .unwrap()
                .status(),
            404
        );
    });
}

#[test]
fn weighted_split_selects_the_service() {
    run_async_test(async {
        let (mut s, mut t) = (
            FakeHost::new("h1", "s").await,
            FakeHost::new("h2", "t").await,
        );
        let proxy = Proxy::without_configuration().await;
        let split_route = |share_s, share_t| {
            format!(
                r#"{{"name":"w","hostname":"x.example","path_prefix":"/w/","route_class":"pure","deadline_ms":8000,
                    "weighted_split":[{{"service":"s","share":{share_s}}},{{"service":"t","share":{share_t}}}]}}"#
            )
        };
        let hosts = vec![s.info.clone(), t.info.clone()];
        proxy
            .apply_fleet(configuration(1, &split_route(1, 0)), hosts.clone())
            .await;
        let mut client = proxy.send_request("/w/a").await;
        s.accept().await.respond_ok("s").await;
        assert_eq!(client.read_message().await.unwrap().body, "s");
        proxy
            .apply_fleet(configuration(2, &split_route(0, 1)), hosts)
            .await;
        let mut client = proxy.send_request("/w/a").await;
        t.accept().await.respond_ok("t").await;
        assert_eq!(client.read_message().await.unwrap().body, "t");
    });
}

#[rstest]
#[case("/quick/a")]
#[case("/once/a")]
#[case("/live/a")]
fn client_disconnect_closes_the_host_connection(#[case] path: &str) {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let client = proxy.send_request(path).await;
        let mut conn = host.accept().await;
        conn.read_message().await.unwrap();
        drop(client);
        conn.wait_until_closed().await;
        assert_eq!(proxy.counters.get().client_disconnects, 1);
    });
}

#[test]
fn client_disconnect_during_a_stream_closes_the_host_connection() {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.send_request("/more/a").await;
        let mut conn = host.accept().await;
        conn.start_stream("seal", &[1]).await;
        client.read_until("piece 1\n\n").await;
        drop(client);
        conn.wait_until_closed().await;
    });
}

#[test]
fn idle_client_is_evicted_before_a_new_one_is_rejected() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = Proxy::with_options(ProxyOptions {
            fd_limit: 260,
            ..ProxyOptions::default()
        })
        .await;
        proxy
            .apply_fleet(configuration(1, ROUTES), vec![host.info.clone()])
            .await;
        // 60 percent of the 16 file descriptors for connections allow nine clients.
        let mut idle = Vec::new();
        for _ in 0..8 {
            idle.push(proxy.client().await);
        }
        let mut busy = proxy.send_request("/pure/a").await;
        let mut conn = host.accept().await;
        conn.read_message().await.unwrap();
        let mut late = proxy.send_request("/pure/a").await;
        idle.remove(0).wait_until_closed().await;
        let mut other = host.accept().await;
        other.respond_ok("late").await;
        assert_eq!(late.read_message().await.unwrap().body, "late");
        conn.send(&ok_response("one", "busy")).await;
        assert_eq!(busy.read_message().await.unwrap().body, "busy");
        assert_eq!(proxy.counters.get().local_rejections, 0);
    });
}

#[test]
fn client_over_the_limit_is_rejected_when_no_client_is_idle() {
    run_async_test(async {
        let host = FakeHost::new("h1", "s").await;
        let proxy = Proxy::with_options(ProxyOptions {
            fd_limit: 260,
            ..ProxyOptions::default()
        })
        .await;
        proxy
            .apply_fleet(configuration(1, ROUTES), vec![host.info.clone()])
            .await;
        let mut busy = Vec::new();
        for _ in 0..9 {
            let mut client = proxy.client().await;
            client
                .send(&head("Expect: 100-continue\r\nContent-Length: 2\r\n"))
                .await;
            client.read_head().await.unwrap();
            busy.push(client);
        }
        let response = proxy
            .send_request("/once/a")
            .await
            .read_message()
            .await
            .unwrap();
        assert_eq!(
            (response.status(), response.field("connection")),
            (503, Some("close"))
        );
        assert!(response.field("retry-after").is_some());
    });
}

#[test]
fn body_over_the_memory_limit_is_rejected() {
    run_async_test(async {
        let host = FakeHost::new("h1", "s").await;
        let proxy = Proxy::with_options(ProxyOptions {
            memory_mb: 0,
            ..ProxyOptions::default()
        })
        .await;
        proxy
            .apply_fleet(configuration(1, ROUTES), vec![host.info.clone()])
            .await;
        let response = proxy
            .send_request("/once/a")
            .await
            .read_message()
            .await
            .unwrap();
        assert_eq!(
            (response.status(), response.field("fennelpin-attempt-id")),
            (503, Some("one"))
        );
    });
}

#[test]
fn response_to_head_has_no_body() {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.client().await;
        let head = |path: &str| {
            format!("HEAD {path} HTTP/1.1\r\nHost: x.example\r\nFennelpin-Attempt-Id: one\r\n\r\n")
        };
        client
            .send(&(head("/nowhere/") + &head("/pure/a") + &request("/once/a", "two", "")))
            .await;
        assert!(client
            .read_head()
            .await
            .unwrap()
            .starts_with("HTTP/1.1 404 "));
        let mut conn = host.accept().await;
        conn.respond("200 OK\r\nFennelpin-Host-Seal: s\r\nContent-Length: 7", "")
            .await;
        let response = client.read_head().await.unwrap();
        assert!(
            response.starts_with("HTTP/1.1 200 ") && response.contains("Content-Length: 7\r\n"),
            "{response}"
        );
        conn.respond_ok("body").await;
        assert_eq!(client.read_message().await.unwrap().body, "body");
    });
}

/// Guards against request smuggling: the body of a rejected request may look like further requests, which must not be
/// run.
#[rstest]
#[case::too_large("Content-Length: 101\r\n", 413)]
#[case::invalid_length("Content-Length: x\r\n", 400)]
#[case::two_framings("Content-Length: 0\r\nTransfer-Encoding: chunked\r\n", 400)]
#[case::chunk_without_size("Transfer-Encoding: chunked\r\n", 400)]
fn bytes_after_a_rejected_request_are_not_run(#[case] fields: &str, #[case] status: u16) {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = proxy_with_small_limits(&host).await;
        let mut client = proxy.client().await;
        client
            .send(&(head(fields) + &request("/once/a", "hidden", "")))
            .await;
        let response = client.read_message().await.unwrap();
        assert_eq!(
            (response.status(), response.field("connection")),
            (status, Some("close"))
        );
        assert_eq!(client.read_message().await, None);
        assert!(host.has_no_connection());
    });
}

#[test]
fn idle_timeout_is_taken_from_the_configuration() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = proxy_with_small_limits(&host).await;
        let mut client = proxy.send_request("/once/a").await;
        host.accept().await.respond_ok("1").await;
        assert_eq!(client.read_message().await.unwrap().body, "1");
        let idle_since = std::time::Instant::now();
        assert_eq!(client.read_message().await, None);
        // The proxy measures from writing its response, the test from reading it, which is later.
        assert!(
            idle_since.elapsed() >= std::time::Duration::from_millis(4 * 120 / 5),
            "{:?}",
            idle_since.elapsed()
        );
    });
}
