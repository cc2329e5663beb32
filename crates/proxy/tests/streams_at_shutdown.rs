//! Tests of streams during a graceful shutdown: started streams are completed if possible, and a truncated one is
//! visible as such to its client and in the counters.

mod common;
use common::*;
use rstest::rstest;
use std::time::{Duration, Instant};

/// Less than the routes' deadlines of 8 s.
const GRACE_S: f64 = 1.5;
/// Longest time before the platform kills the process at which a stream in flight is truncated.
const MAX_TRUNCATION_MARGIN: Duration = Duration::from_millis(350);

#[test]
fn stream_started_before_the_signal_that_outlasts_the_grace_is_truncated_and_counted() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let mut proxy = Proxy::with_grace(GRACE_S, &host).await;
        let mut client = proxy.send_request("/live/a").await;
        let mut stream = host.accept().await;
        stream.start_stream("seal", &[1]).await;
        client.read_until("piece 1\n\n").await;
        proxy.signal_stop();
        let response = client.read_message().await.unwrap();
        assert!(
            !response.complete,
            "a truncated stream must not look complete"
        );
        let counters = proxy.serving.await.unwrap().unwrap();
        assert_eq!(
            (counters.truncated_at_shutdown, counters.truncated_responses),
            (1, 0)
        );
    });
}

/// Returns the response to a request with a deadline of `deadline_ms` that is sent right after the signal, on a
/// connection that was open before it or on a new one. The host never ends the stream by itself.
async fn request_after_signal(
    host: &mut FakeHost,
    path: &str,
    deadline_ms: u64,
    on_open_connection: bool,
) -> Message {
    let mut proxy = Proxy::with_grace(GRACE_S, host).await;
    let mut open_client = proxy.client().await;
    open_client.send(&request("/quick/a", "early", "")).await;
    let mut conn = host.accept().await;
    conn.respond_ok("early").await;
    assert_eq!(open_client.read_message().await.unwrap().body, "early");
    proxy.signal_stop();
    while proxy.readiness_status().await == 200 {}
    let mut client = if on_open_connection {
        open_client
    } else {
        proxy.client().await
    };
    let deadline = format!("Fennelpin-Deadline-Ms: {deadline_ms}\r\n");
    client.send(&request(path, "late", &deadline)).await;
    let (sent, response) = tokio::join!(conn.read_message(), client.read_message());
    let response = response.expect("a response or a rejection");
    assert_eq!(
        sent.is_some(),
        response.status() != 503,
        "{}",
        response.head
    );
    response
}

#[rstest]
#[case::stream("/live/a")]
#[case::resumable_stream("/more/a")]
fn stream_after_the_signal_that_may_outlast_the_grace_is_rejected(
    #[case] path: &str,
    #[values(false, true)] on_open_connection: bool,
) {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let response = request_after_signal(&mut host, path, 8000, on_open_connection).await;
        assert_eq!(response.status(), 503, "{}", response.head);
        assert_eq!(response.field("connection"), Some("close"));
        assert!(response.field("retry-after").is_some());
        assert!(response.complete);
    });
}

#[test]
fn stream_in_flight_at_the_signal_is_served_until_shortly_before_the_kill() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let mut proxy = Proxy::with_grace(GRACE_S, &host).await;
        let mut client = proxy.send_request("/live/a").await;
        let mut stream = host.accept().await;
        stream.start_stream("seal", &[1]).await;
        client.read_until("piece 1\n\n").await;
        let signalled_at = Instant::now();
        proxy.signal_stop();
        stream.wait_until_closed().await;
        let served_for = signalled_at.elapsed();
        let grace = Duration::from_secs_f64(GRACE_S);
        assert!(
            served_for >= grace - MAX_TRUNCATION_MARGIN,
            "{served_for:?}"
        );
        proxy.serving.await.unwrap().unwrap();
        assert!(signalled_at.elapsed() < grace, "killed");
    });
}

/// Larger than the limit on buffered responses outside of a shutdown.
const LARGE_BODY_BYTES: usize = 400_000;

#[rstest]
#[case::stalls(LARGE_BODY_BYTES - 1, 502)]
#[case::ends(LARGE_BODY_BYTES, 200)]
fn large_response_in_a_shutdown_is_started_only_when_it_is_complete(
    #[case] sent_bytes: usize,
    #[case] status: u16,
) {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let mut proxy = Proxy::with_grace(GRACE_S, &host).await;
        proxy.signal_stop();
        while proxy.readiness_status().await == 200 {}
        let mut client = proxy.send_request("/pure/a").await;
        let mut conn = host.accept().await;
        conn.read_message().await.unwrap();
        let body = "x".repeat(sent_bytes);
        conn.send(&format!(
            "HTTP/1.1 200 OK\r\nFennelpin-Attempt-Id: one\r\nFennelpin-Host-Seal: seal\r\n\
             Content-Length: {LARGE_BODY_BYTES}\r\n\r\n{body}"
        ))
        .await;
        let response = client
            .read_message()
            .await
            .expect("a response or a rejection");
        assert_eq!((response.status(), response.complete), (status, true));
    });
}

/// Largest response, in bytes, that the proxy buffers during a shutdown.
const MAX_BUFFERED_BYTES: usize = 4 * 1024 * 1024;

/// If a response can't be buffered until it is complete, the client gets an error instead of its first bytes: once
/// started, it would be truncated by the end of the process.
#[rstest]
#[case::too_large("/pure/a", MAX_BUFFERED_BYTES + LARGE_BODY_BYTES, 256)]
#[case::too_large_mutating("/once/a", MAX_BUFFERED_BYTES + LARGE_BODY_BYTES, 256)]
#[case::without_memory("/pure/a", LARGE_BODY_BYTES, 8)]
fn large_response_in_a_shutdown_that_cannot_be_buffered_is_not_started(
    #[case] path: &str,
    #[case] body_bytes: usize,
    #[case] memory_mb: u64,
) {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let options = ProxyOptions {
            grace_s: GRACE_S,
            memory_mb,
            ..ProxyOptions::default()
        };
        let mut proxy = Proxy::with_options(options).await;
        proxy
            .apply_fleet(configuration(1, ROUTES), vec![host.info.clone()])
            .await;
        proxy.signal_stop();
        while proxy.readiness_status().await == 200 {}
        let mut client = proxy.send_request(path).await;
        let mut conn = host.accept().await;
        conn.read_message().await.unwrap();
        // Sends all but the last byte, which never follows.
        let head = format!(
            "HTTP/1.1 200 OK\r\nFennelpin-Attempt-Id: one\r\nFennelpin-Host-Seal: seal\r\n\
             Content-Length: {body_bytes}\r\n\r\n"
        );
        let body = "x".repeat(body_bytes - 1);
        // The proxy may close the connection before it has read everything, which ends this task.
        tokio::task::spawn_local(async move { conn.send(&format!("{head}{body}")).await });
        let response = client
            .read_message()
            .await
            .expect("a response or a rejection");
        assert_eq!((response.status(), response.complete), (502, true));
    });
}

/// A host may respond with an event stream on a route that is not a streaming route.
#[rstest]
#[case::mutating("/once/a")]
#[case::pure("/pure/a")]
fn event_stream_on_another_route_that_may_outlast_the_grace_is_not_started(#[case] path: &str) {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let mut proxy = Proxy::with_grace(GRACE_S, &host).await;
        proxy.signal_stop();
        while proxy.readiness_status().await == 200 {}
        let mut client = proxy.send_request(path).await;
        let mut conn = host.accept().await;
        conn.start_stream("seal", &[1]).await;
        let response = client
            .read_message()
            .await
            .expect("a response or a rejection");
        assert_eq!((response.status(), response.complete), (502, true));
    });
}

#[test]
fn event_stream_on_another_route_in_a_shutdown_is_relayed_once_it_is_complete() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let mut proxy = Proxy::with_grace(GRACE_S, &host).await;
        proxy.signal_stop();
        while proxy.readiness_status().await == 200 {}
        let mut client = proxy.send_request("/pure/a").await;
        let mut conn = host.accept().await;
        conn.start_stream("seal", &[1, 2]).await;
        conn.send("0\r\n\r\n").await;
        let response = client.read_message().await.expect("a response");
        assert_eq!((response.complete, response.body), (true, events([1, 2])));
    });
}

/// Longest uninterrupted pause of a process by the CPU quota that the kernel enforces.
const MAX_CPU_THROTTLING_PAUSE: Duration = Duration::from_millis(100);

/// Blocks this thread, which the proxy runs on too, for the longest such pause.
fn pause_process() {
    let started_at = Instant::now();
    while started_at.elapsed() < MAX_CPU_THROTTLING_PAUSE {
        std::hint::spin_loop();
    }
}

/// The platform counts the grace period from sending the signal, and the kernel may pause the process both before it
/// notices the signal and right before the kill.
#[test]
fn process_paused_at_the_signal_exits_early_enough_for_another_pause() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let mut proxy = Proxy::with_grace(GRACE_S, &host).await;
        let mut client = proxy.send_request("/live/a").await;
        let mut stream = host.accept().await;
        stream.start_stream("seal", &[1]).await;
        client.read_until("piece 1\n\n").await;
        let signalled_at = Instant::now();
        proxy.signal_stop();
        pause_process();
        proxy.serving.await.unwrap().unwrap();
        let time_left = Duration::from_secs_f64(GRACE_S).saturating_sub(signalled_at.elapsed());
        assert!(
            time_left >= MAX_CPU_THROTTLING_PAUSE,
            "{time_left:?} before the kill"
        );
    });
}

#[test]
fn requests_that_a_shutdown_rejects_are_counted() {
    run_async_test(async {
        let host = FakeHost::new("h1", "s").await;
        let mut proxy = Proxy::with_grace(GRACE_S, &host).await;
        proxy.signal_stop();
        while proxy.readiness_status().await == 200 {}
        for rejected in 1..=2 {
            let mut client = proxy.send_request("/live/a").await;
            assert_eq!(client.read_message().await.unwrap().status(), 503);
            assert_eq!(proxy.counters.get().rejected_at_shutdown, rejected);
        }
    });
}
