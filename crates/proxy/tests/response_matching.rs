//! Tests of matching responses to attempts, and of the response framing that clients get.

mod common;
use common::*;
use rstest::rstest;

const SEAL_FIELD: &str = "Fennelpin-Host-Seal: seal";

#[rstest]
fn interim_response_does_not_stop_the_request(
    #[values("", "Fennelpin-Attempt-Id: one\r\n")] id_field: &str,
) {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = proxy_with_wide_limits(ProxyOptions::default(), &[&host]).await;
        let mut client = proxy.client().await;
        client.send(&large_request("/once/a")).await;
        let mut conn = host.accept().await;
        conn.read_head().await.unwrap();
        conn.send(&format!("HTTP/1.1 100 Continue\r\n{id_field}\r\n"))
            .await;
        assert_eq!(
            conn.read_body_bytes(LARGE_BODY_BYTES).await.len(),
            LARGE_BODY_BYTES,
            "the rest of the body is sent"
        );
        conn.send(&ok_response("one", "done")).await;
        assert_eq!(client.read_message().await.unwrap().body, "done");
    });
}

#[test]
fn early_response_after_an_interim_one_is_forwarded() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = proxy_with_wide_limits(ProxyOptions::default(), &[&host]).await;
        let mut client = proxy.client().await;
        client.send(&large_request("/once/a")).await;
        let mut conn = host.accept().await;
        conn.read_head().await.unwrap();
        conn.send("HTTP/1.1 103 Early Hints\r\n\r\n").await;
        conn.send(
            "HTTP/1.1 413 Large\r\nFennelpin-Attempt-Id: one\r\nContent-Length: 3\r\n\r\nbig",
        )
        .await;
        assert_eq!(client.read_message().await.unwrap().body, "big");
        conn.wait_until_closed().await;
    });
}

/// A host that refuses a request with a large body stops reading it. A response that it sent before belongs to another
/// request.
#[rstest]
#[case::named("Fennelpin-Attempt-Id: one\r\n", 1)]
#[case::unnamed("", 0)]
fn early_refusal_is_handled_before_the_body_is_written(
    #[case] id_field: &str,
    #[case] stray_count: usize,
) {
    run_async_test(async {
        let mut host_1 = FakeHost::new("h1", "s").await;
        let mut host_2 = FakeHost::new("h2", "s").await;
        let proxy = proxy_with_wide_limits(ProxyOptions::default(), &[&host_1, &host_2]).await;
        let mut client = proxy.client().await;
        client.send(&large_request("/once/a")).await;
        let (mut first, other) = first_connection(&mut host_1, &mut host_2).await;
        first.read_head().await.unwrap();
        let refusal = format!(
            "HTTP/1.1 503 Full\r\n{id_field}Fennelpin-Not-Executed: full\r\nContent-Length: 2\r\n\r\nno"
        );
        first
            .send(&(ok_response("zero", "stray").repeat(stray_count) + &refusal))
            .await;
        // The host keeps the connection open but reads no more of the body.
        let mut second = other.accept().await;
        assert_eq!(
            second.respond_ok("second").await.body.len(),
            LARGE_BODY_BYTES
        );
        assert_eq!(client.read_message().await.unwrap().body, "second");
        first.wait_until_closed().await;
    });
}

/// Fields listed in `Connection` are not forwarded, except those that identify the request and the host of a response.
#[test]
fn attempt_id_and_seal_are_forwarded_despite_connection_lists() {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.client().await;
        let lists =
            "Connection: keep-alive, Fennelpin-Attempt-Id, Fennelpin-Host-Seal, X-Own\r\nX-Own: 1\r\n";
        client.send(&request("/once/a", "one", lists)).await;
        let mut conn = host.accept().await;
        let received = conn
            .respond(
                &format!("200 OK\r\n{SEAL_FIELD}\r\n{lists}Content-Length: 4"),
                "done",
            )
            .await;
        assert_eq!(
            (
                received.field("fennelpin-attempt-id"),
                received.field("x-own")
            ),
            (Some("one"), None)
        );
        let response = client.read_message().await.unwrap();
        assert_eq!((response.status(), response.body.as_str()), (200, "done"));
        assert_eq!(response.field("fennelpin-attempt-id"), Some("one"));
        assert_eq!(
            (
                response.field("fennelpin-host-seal"),
                response.field("x-own")
            ),
            (Some("seal"), None)
        );
    });
}

/// Once its first byte is written to a host, a request must not be reported as not run.
#[test]
fn partly_written_request_at_shutdown_may_have_run() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let mut proxy = proxy_with_wide_limits(
            ProxyOptions {
                grace_s: 1.0,
                ..ProxyOptions::default()
            },
            &[&host],
        )
        .await;
        let mut client = proxy.client().await;
        client.send(&large_request("/once/a")).await;
        let mut conn = host.accept().await;
        conn.read_head().await.unwrap();
        proxy.signal_stop();
        assert_eq!(client.read_message().await.unwrap().status(), 502);
    });
}

#[test]
fn response_with_two_attempt_ids_matches_no_attempt() {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.send_request("/once/a").await;
        let mut conn = host.accept().await;
        conn.respond(
            &format!("200 OK\r\nFennelpin-Attempt-Id: one\r\n{SEAL_FIELD}\r\nContent-Length: 1"),
            "x",
        )
        .await;
        drop(conn);
        assert_eq!(client.read_message().await.unwrap().status(), 502);
    });
}

#[test]
fn request_with_two_attempt_ids_reaches_no_host() {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.client().await;
        client
            .send(&request("/once/a", "one", "Fennelpin-Attempt-Id: two\r\n"))
            .await;
        assert_eq!(client.read_message().await.unwrap().status(), 400);
        assert!(host.has_no_connection());
    });
}

/// A request with a success status has run, even if the response has the field that says otherwise.
#[test]
fn success_status_is_never_a_refusal() {
    run_async_test(async {
        let (mut host_1, mut host_2, proxy) = Proxy::with_two_hosts().await;
        let mut client = proxy.send_request("/once/a").await;
        let (mut conn, other) = first_connection(&mut host_1, &mut host_2).await;
        conn.respond(
            &format!("200 OK\r\n{SEAL_FIELD}\r\nFennelpin-Not-Executed: full\r\nContent-Length: 3"),
            "ran",
        )
        .await;
        assert_eq!(client.read_message().await.unwrap().body, "ran");
        assert!(other.has_no_connection());
    });
}

/// Nothing may follow the head of such a response: the client would take it for the start of the next one.
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
fn response_without_a_body_is_forwarded_without_one(
    #[case] method: &str,
    #[case] head_lines: &str,
    #[values("/pure/a", "/once/a", "/live/a", "/more/a")] path: &str,
) {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.client().await;
        let request_without_body = format!(
            "{method} {path} HTTP/1.1\r\nHost: x.example\r\nFennelpin-Attempt-Id: zero\r\n\r\n"
        );
        client
            .send(&(request_without_body + &request("/once/a", "one", "")))
            .await;
        let mut conn = host.accept().await;
        conn.respond(&format!("{head_lines}\r\n{SEAL_FIELD}"), "")
            .await;
        let head = client.read_head().await.unwrap();
        assert!(
            head.starts_with(&format!("HTTP/1.1 {}", &head_lines[..3])),
            "{head}"
        );
        if method == "GET" {
            assert!(
                !head.to_ascii_lowercase().contains("content-length"),
                "{head}"
            );
        }
        conn.respond_ok("next").await;
        let next = client.read_message().await.unwrap();
        assert_eq!(
            (next.status(), next.body.as_str()),
            (200, "next"),
            "{}",
            next.head
        );
    });
}

/// The client's response stays chunked, as the first host's head announced it, even if the next host uses other
/// framing.
#[test]
fn resumed_response_keeps_the_framing_of_the_first_host() {
    run_async_test(async {
        let mut hosts = [
            FakeHost::new("h1", "s").await,
            FakeHost::new("h2", "s").await,
            FakeHost::new("h3", "s").await,
        ];
        let proxy = Proxy::new(&[&hosts[0], &hosts[1], &hosts[2]]).await;
        let mut client = proxy.send_request("/more/a").await;
        let [host_1, host_2, host_3] = &mut hosts;
        let mut conn = next_connection(&mut [host_1, host_2, host_3]).await;
        conn.start_stream("first", &[1, 2]).await;
        drop(conn);
        let mut conn = next_connection(&mut [host_1, host_2, host_3]).await;
        let received = conn
            .respond(
                &format!("200 OK\r\n{SEAL_FIELD}\r\nContent-Type: text/event-stream"),
                &event(3),
            )
            .await;
        for host in [&mut *host_1, host_2, host_3] {
            if received.field("fennelpin-expected-host") == Some(&*host.info.id) {
                host.stop_listening().await;
            }
        }
        drop(conn);
        // That host has crashed, so the stream is resumed at the third host, which marks its end.
        let mut conn = next_connection(&mut [host_1, host_2, host_3]).await;
        let received = conn.start_stream("third", &[]).await;
        assert_eq!(received.field("last-event-id"), Some("3"));
        conn.send("0\r\n\r\n").await;
        let response = client.read_message().await.unwrap();
        assert_eq!(
            (response.complete, response.body),
            (true, events([1, 2, 3]))
        );
    });
}

#[rstest]
#[case::data("data: piece\n\n", true)]
#[case::comment(": still here\n\n", false)]
fn stream_is_not_resumed_after_data_without_id(#[case] event: &str, #[case] truncated: bool) {
    run_async_test(async {
        let (mut host_1, mut host_2, proxy) = Proxy::with_two_hosts().await;
        let mut client = proxy.send_request("/more/a").await;
        let (mut conn, other) = first_connection(&mut host_1, &mut host_2).await;
        conn.start_stream("seal", &[1]).await;
        conn.send(&format!("{:x}\r\n{event}\r\n", event.len()))
            .await;
        client.read_until(event).await;
        drop(conn);
        if truncated {
            assert!(!client.read_message().await.unwrap().complete);
            assert!(other.has_no_connection());
        } else {
            let mut next = other.accept().await;
            assert_eq!(
                next.start_stream("seal", &[2]).await.field("last-event-id"),
                Some("1")
            );
            next.send("0\r\n\r\n").await;
            assert!(client.read_message().await.unwrap().complete);
        }
    });
}

/// A request that has arrived is not lost when its connection is about to be closed as an idle one.
#[test]
fn request_that_races_an_idle_eviction_is_answered() {
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
        // The limit is 60% of 16 descriptors: nine clients.
        let mut idle = Vec::new();
        for _ in 0..9 {
            idle.push(proxy.client().await);
        }
        assert_eq!(proxy.readiness_status().await, 200);
        let late = proxy.client().await;
        idle[0]
            .stream
            .try_write(request("/once/a", "one", "").as_bytes())
            .unwrap();
        host.accept().await.respond_ok("done").await;
        assert_eq!(
            idle[0].read_message().await.expect("a response").body,
            "done"
        );
        drop(late);
    });
}

/// Once the kernel has accepted a byte of it, a request that may run only once is not sent to another host.
#[rstest]
fn connection_that_breaks_during_a_write_is_retried_only_if_idempotent(
    #[values(false, true)] reused: bool,
    #[values(false, true)] orderly: bool,
    #[values("/once/a", "/live/a")] path: &str,
) {
    run_async_test(async {
        let mut host_1 = FakeHost::new("h1", "s").await;
        let mut host_2 = FakeHost::new("h2", "s").await;
        let proxy = proxy_with_wide_limits(ProxyOptions::default(), &[&host_1]).await;
        let mut client = proxy.client().await;
        let mut conn = None;
        if reused {
            client.send(&request("/once/a", "zero", "")).await;
            let mut first = host_1.accept().await;
            first.respond_ok("zero").await;
            assert_eq!(client.read_message().await.unwrap().body, "zero");
            conn = Some(first);
        }
        client.send(&large_request(path)).await;
        let mut conn = match conn {
            Some(conn) => conn,
            None => host_1.accept().await,
        };
        conn.read_head().await.unwrap();
        proxy
            .apply_fleet(
                configuration_with_wide_limits(),
                vec![host_1.info.clone(), host_2.info.clone()],
            )
            .await;
        // With unread bytes a plain close would also reset the connection, so the orderly case shuts down the write
        // side only.
        if orderly {
            rustix::net::shutdown(&conn.stream, rustix::net::Shutdown::Write).unwrap();
        } else {
            conn.reset();
        }
        assert_eq!(client.read_message().await.unwrap().status(), 502);
        assert_eq!(proxy.counters.get().attempts, if reused { 2 } else { 1 });
        assert!(host_1.has_no_connection() && host_2.has_no_connection());
    });
}

/// Bytes after a complete response belong to no request, and more of them may follow.
#[rstest]
fn connection_with_bytes_after_a_response_is_not_reused(
    #[values("H", "HTTP/1.1 200 OK\r\nFennelpin-Att", "\r\n")] trailing: &str,
) {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.send_request("/once/a").await;
        let mut conn = host.accept().await;
        conn.read_message().await.unwrap();
        conn.send(&(ok_response("one", "1") + trailing)).await;
        assert_eq!(client.read_message().await.unwrap().body, "1");
        client.send(&request("/once/b", "two", "")).await;
        host.accept().await.respond_ok("2").await;
        assert_eq!(client.read_message().await.unwrap().body, "2");
        conn.wait_until_closed().await;
    });
}

/// Connections belong to a host's id and not to its address.
#[test]
fn new_host_at_a_reused_address_gets_its_own_connections() {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.send_request("/once/a").await;
        let mut old = host.accept().await;
        assert_eq!(
            old.respond_ok("1").await.field("fennelpin-expected-host"),
            Some("h1")
        );
        assert_eq!(client.read_message().await.unwrap().body, "1");
        // A request to the old host is in flight when the fleet changes.
        let mut late = proxy.send_request("/once/a").await;
        old.read_message().await.unwrap();
        let other = balancing::HostInfo {
            id: "h2".into(),
            ..host.info.clone()
        };
        proxy
            .apply_fleet(configuration(1, ROUTES), vec![other])
            .await;
        old.send(&ok_response("one", "late")).await;
        assert_eq!(late.read_message().await.unwrap().body, "late");
        old.wait_until_closed().await;
        client.send(&request("/once/b", "two", "")).await;
        let mut new = host.accept().await;
        assert_eq!(
            new.respond_ok("2").await.field("fennelpin-expected-host"),
            Some("h2")
        );
        assert_eq!(client.read_message().await.unwrap().body, "2");
    });
}

/// A 421 says that another host now has the address, so no request is sent on the old connections.
#[test]
fn misdirected_status_closes_idle_connections_to_the_host() {
    run_async_test(async {
        let (mut host_1, mut host_2) = (
            FakeHost::new("h1", "s").await,
            FakeHost::new("h2", "s").await,
        );
        let proxy = Proxy::new(&[&host_1]).await;
        let mut clients = [
            proxy.send_request("/once/a").await,
            proxy.send_request("/once/a").await,
        ];
        let mut conns = [host_1.accept().await, host_1.accept().await];
        for conn in &mut conns {
            conn.respond_ok("1").await;
        }
        for client in &mut clients {
            assert_eq!(client.read_message().await.unwrap().body, "1");
        }
        let mut client = proxy.send_request("/once/b").await;
        let [first, second] = &mut conns;
        let (received, idle) = tokio::select! {
            head = first.read_head() => (head, (first, second)),
            head = second.read_head() => (head, (second, first)),
        };
        assert!(received.is_some());
        proxy
            .apply_fleet(
                configuration(1, ROUTES),
                vec![host_1.info.clone(), host_2.info.clone()],
            )
            .await;
        idle.0
            .send("HTTP/1.1 421 Other\r\nFennelpin-Attempt-Id: one\r\nContent-Length: 0\r\n\r\n")
            .await;
        host_2.accept().await.respond_ok("2").await;
        assert_eq!(client.read_message().await.unwrap().body, "2");
        idle.0.wait_until_closed().await;
        idle.1.wait_until_closed().await;
    });
}
