//! Tests of resumable streams that only the end of their host's connection ends (incident
//! `docs/incidents/resumable-ends.md`). A host that runs has ended them; a host that has crashed refuses connections.

mod common;
use common::*;
use rstest::rstest;

const HEAD_LINES: &str = "200 OK\r\nFennelpin-Host-Seal: seal\r\nContent-Type: text/event-stream";
const GRACE_S: f64 = 1.5;
/// A resumable stream that may be sent to one host only.
const ONE_ATTEMPT_ROUTE: &str = r#"
    {"name":"m","hostname":"x.example","path_prefix":"/more/","route_class":"streaming","deadline_ms":8000,"service":"s","max_tries":1,"resumable":true}"#;

/// Sends a request of this version on a resumable route, and returns the client's connection.
async fn request_stream(proxy: &Proxy, version: &str) -> TestConnection {
    let mut client = proxy.client().await;
    let text = request("/more/a", "one", "").replace("HTTP/1.1", version);
    client.send(&text).await;
    client
}

/// Checks that the client gets this stream, complete.
async fn check_complete(client: &mut TestConnection, stream: &str) {
    let response = client.read_message().await.expect("a response");
    assert_eq!(
        (response.status(), response.complete, &*response.body),
        (200, true, stream)
    );
}

/// Checks that each request ran once, at a host that counts as sound.
fn check_ran_once(proxy: &Proxy, requests: u64) {
    let counters = proxy.counters.get();
    assert_eq!((counters.attempts, counters.retries), (requests, 0));
    assert_eq!(
        (counters.responses, counters.truncated_responses),
        (requests, 0)
    );
    assert_eq!((counters.broken_responses, counters.hosts_ejected), (0, 0));
}

/// Guards against LOST: a sound host's stream was asked for again at other hosts, and its end never came.
#[rstest]
fn stream_that_its_host_ends_in_order_is_complete_and_runs_once(
    #[values("HTTP/1.1", "HTTP/1.0")] version: &str,
    #[values("\n", "\r\n", "\r")] line_end: &str,
    #[values(0, 1, 3)] event_count: u64,
) {
    run_async_test(async {
        let (mut host_1, mut host_2, proxy) = Proxy::with_two_hosts().await;
        let mut client = request_stream(&proxy, version).await;
        let (mut conn, other) = first_connection(&mut host_1, &mut host_2).await;
        let stream = events(1..=event_count).replace('\n', line_end);
        conn.respond(HEAD_LINES, &stream).await;
        drop(conn);
        check_complete(&mut client, &stream).await;
        check_ran_once(&proxy, 1);
        assert!(other.has_no_connection());
    });
}

/// Guards against the ejection of sound hosts: each end in order counted as a lost connection, until no host was left.
#[test]
fn hosts_that_end_their_streams_in_order_are_not_ejected() {
    run_async_test(async {
        let (mut host_1, mut host_2, proxy) = Proxy::with_two_hosts().await;
        for _ in 0..24 {
            let mut client = request_stream(&proxy, "HTTP/1.1").await;
            let (mut conn, _) = first_connection(&mut host_1, &mut host_2).await;
            conn.respond(HEAD_LINES, &events([1])).await;
            drop(conn);
            check_complete(&mut client, &events([1])).await;
        }
        check_ran_once(&proxy, 24);
    });
}

/// Guards against LOST around a SIGTERM, where no other host may be asked any more.
#[rstest]
fn stream_that_ends_in_order_during_a_shutdown_is_complete(
    #[values("HTTP/1.1", "HTTP/1.0")] version: &str,
) {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let mut proxy = Proxy::with_grace(GRACE_S, &host).await;
        let mut client = request_stream(&proxy, version).await;
        let mut conn = host.accept().await;
        conn.respond(HEAD_LINES, &event(1)).await;
        client.read_until("piece 1\n\n").await;
        proxy.signal_stop();
        while proxy.readiness_status().await == 200 {}
        conn.send(&event(2)).await;
        drop(conn);
        check_complete(&mut client, &events([1, 2])).await;
        check_ran_once(&proxy, 1);
    });
}

/// Guards against LOST where a stream can't be resumed: its route allows one attempt, or its events have no ids.
#[rstest]
#[case::one_attempt(ONE_ATTEMPT_ROUTE, "id: 1\ndata: a\n\n")]
#[case::no_event_ids(ROUTES, "data: a\n\ndata: b\n\n")]
fn stream_that_ends_in_order_is_complete_where_no_host_can_resume_it(
    #[case] routes: &str,
    #[case] stream: &str,
) {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        proxy
            .apply_fleet(configuration(2, routes), vec![host.info.clone()])
            .await;
        let mut client = request_stream(&proxy, "HTTP/1.1").await;
        let mut conn = host.accept().await;
        conn.respond(HEAD_LINES, stream).await;
        drop(conn);
        check_complete(&mut client, stream).await;
        check_ran_once(&proxy, 1);
    });
}

/// Guards against LOST in the second half of a resumed stream, whose host ends it in order.
#[test]
fn resumed_stream_that_its_next_host_ends_in_order_is_complete() {
    run_async_test(async {
        let (mut host_1, mut host_2, proxy) = Proxy::with_two_hosts().await;
        let mut client = request_stream(&proxy, "HTTP/1.1").await;
        let (mut conn, other) = first_connection(&mut host_1, &mut host_2).await;
        conn.start_stream("first", &[1, 2]).await;
        drop(conn);
        let mut next = other.accept().await;
        let received = next.respond(HEAD_LINES, &event(3)).await;
        assert_eq!(received.field("last-event-id"), Some("2"));
        drop(next);
        check_complete(&mut client, &events([1, 2, 3])).await;
        let counters = proxy.counters.get();
        assert_eq!((counters.attempts, counters.broken_responses), (2, 1));
    });
}

/// Guards against ORDER: the kernel closes the connections of a crashed host in order too, between two events as well.
#[rstest]
#[case::between_two_events(2)]
#[case::behind_the_last_event(0)]
fn stream_whose_host_crashed_is_resumed_at_another_host(
    #[case] missing_events: u64,
    #[values("HTTP/1.1", "HTTP/1.0")] version: &str,
    #[values("\n", "\r\n", "\r")] line_end: &str,
) {
    run_async_test(async {
        let (mut host_1, mut host_2, proxy) = Proxy::with_two_hosts().await;
        let mut client = request_stream(&proxy, version).await;
        let (mut conn, host, other) = first_connection_by_host(&mut host_1, &mut host_2).await;
        conn.respond(HEAD_LINES, &events([1, 2]).replace('\n', line_end))
            .await;
        host.stop_listening().await;
        drop(conn);
        let mut next = other.accept().await;
        let rest = events(3..3 + missing_events).replace('\n', line_end);
        let received = next.respond(HEAD_LINES, &rest).await;
        assert_eq!(received.field("last-event-id"), Some("2"));
        drop(next);
        let whole = events(1..3 + missing_events).replace('\n', line_end);
        check_complete(&mut client, &whole).await;
        let counters = proxy.counters.get();
        assert_eq!((counters.attempts, counters.broken_responses), (2, 1));
    });
}

/// Guards against ORDER: a process that ends closes its connections before its listening socket, and its kernel still
/// accepts connections in between; and its address may have been handed to another host.
#[rstest]
fn stream_whose_host_ends_while_it_is_checked_is_resumed_at_another_host(
    #[values(
        HealthCheckReaction::EndProcess,
        HealthCheckReaction::AnswerAsAnotherHost
    )]
    reaction: HealthCheckReaction,
) {
    run_async_test(async {
        let (mut host_1, mut host_2, proxy) = Proxy::with_two_hosts().await;
        let mut client = request_stream(&proxy, "HTTP/1.1").await;
        let (mut conn, host, other) = first_connection_by_host(&mut host_1, &mut host_2).await;
        conn.respond(HEAD_LINES, &events([1, 2])).await;
        host.react_to_health_checks(reaction);
        drop(conn);
        let mut next = other.accept().await;
        let received = next.respond(HEAD_LINES, &event(3)).await;
        assert_eq!(received.field("last-event-id"), Some("2"));
        drop(next);
        check_complete(&mut client, &events([1, 2, 3])).await;
    });
}

/// Guards against LOST: a busy host resets connections over its limit, or lets a health check wait.
#[rstest]
fn stream_whose_busy_host_does_not_answer_health_checks_is_complete(
    #[values(HealthCheckReaction::Reset, HealthCheckReaction::StaySilent)]
    reaction: HealthCheckReaction,
) {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        host.react_to_health_checks(reaction);
        let mut client = request_stream(&proxy, "HTTP/1.1").await;
        let mut conn = host.accept().await;
        conn.respond(HEAD_LINES, &events([1, 2])).await;
        drop(conn);
        check_complete(&mut client, &events([1, 2])).await;
        check_ran_once(&proxy, 1);
    });
}

/// Guards against ORDER: a host that leaves as planned may end its process in the middle of a stream that lasts too long.
#[test]
fn stream_whose_draining_host_ends_is_resumed_at_another_host() {
    run_async_test(async {
        let (mut host_1, mut host_2, proxy) = Proxy::with_two_hosts().await;
        let mut client = request_stream(&proxy, "HTTP/1.1").await;
        let (mut conn, host, other) = first_connection_by_host(&mut host_1, &mut host_2).await;
        conn.respond(HEAD_LINES, &events([1, 2])).await;
        let mut draining = host.info.clone();
        draining.draining = true;
        let hosts = vec![draining, other.info.clone()];
        proxy.apply_fleet(configuration(1, ROUTES), hosts).await;
        host.stop_listening().await;
        drop(conn);
        let mut next = other.accept().await;
        let received = next.respond(HEAD_LINES, &event(3)).await;
        assert_eq!(received.field("last-event-id"), Some("2"));
        drop(next);
        check_complete(&mut client, &events([1, 2, 3])).await;
    });
}

/// Guards against ORDER where nobody can tell whether the host had more to send.
#[test]
fn stream_whose_host_crashed_is_truncated_without_another_host() {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = request_stream(&proxy, "HTTP/1.1").await;
        let mut conn = host.accept().await;
        conn.respond(HEAD_LINES, &events([1, 2])).await;
        host.stop_listening().await;
        drop(conn);
        let response = client.read_message().await.expect("a response");
        assert_eq!((response.complete, response.body), (false, events([1, 2])));
    });
}
