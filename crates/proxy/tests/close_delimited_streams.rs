//! Tests of event streams that end with their host's connection. A crash of the host ends it in an orderly way too, so a
//! stream is incomplete that stops inside an event (incident `docs/incidents/stream-ends.md`) or whose host then refuses
//! connections (`docs/incidents/crash-between-events.md`).

mod common;
use common::*;
use rstest::rstest;

const SEAL_FIELD: &str = "Fennelpin-Host-Seal: seal";
const EVENT_STREAM: &str = "text/event-stream";
const GRACE_S: f64 = 1.5;

/// Lines of two events, without their ends.
const EVENT_LINES: [&str; 6] = ["id: 1", "data: a", "", "id: 2", "data: b", ""];

/// Joins the lines of the two events. Returns the stream and the lengths at which no event is incomplete.
fn stream_with_line_end(line_end: &str) -> (String, Vec<usize>) {
    let mut stream = String::new();
    let mut boundaries = vec![0];
    for line in EVENT_LINES {
        stream += line;
        if line.is_empty() && line_end == "\r\n" {
            // The CR alone already ends the blank line.
            boundaries.push(stream.len() + 1);
        }
        stream += line_end;
        if line.is_empty() {
            boundaries.push(stream.len());
        }
    }
    (stream, boundaries)
}

/// Reads a request, responds with a body that only the end of the connection ends, and closes it in an orderly way.
async fn respond_and_close(mut conn: TestConnection, content_type: &str, body: &str) -> Message {
    let lines = format!("200 OK\r\n{SEAL_FIELD}\r\nContent-Type: {content_type}");
    conn.respond(&lines, body).await
}

/// Guards against ORDER: a stream that its host's crash cuts inside an event was ended as complete.
#[rstest]
fn stream_closed_at_any_byte_is_complete_only_between_events(
    #[values("/live/a", "/once/a", "/pure/a")] path: &str,
    #[values("\n", "\r\n", "\r")] line_end: &str,
) {
    run_async_test(async {
        let (stream, boundaries) = stream_with_line_end(line_end);
        for length in 0..=stream.len() {
            let (mut host, proxy) = Proxy::with_one_host().await;
            let mut client = proxy.send_request(path).await;
            respond_and_close(host.accept().await, EVENT_STREAM, &stream[..length]).await;
            let response = client.read_message().await.expect("a response");
            let complete = boundaries.contains(&length);
            assert_eq!(
                (response.status(), response.complete, response.body.as_str()),
                (200, complete, &stream[..length]),
                "closed after {length} bytes"
            );
            let counters = proxy.counters.get();
            let interrupted = u64::from(!complete);
            assert_eq!(
                (counters.responses, counters.truncated_responses),
                (1 - interrupted, interrupted)
            );
            assert_eq!(counters.interrupted_events, interrupted);
        }
    });
}

/// Guards against ORDER for a client that only the end of its connection tells the end of the stream.
#[rstest]
#[case::between_events("id: 1\ndata: a\n\n", true)]
#[case::inside_an_event("id: 1\ndata: a\n\nid: 2\nda", false)]
fn http10_client_sees_a_reset_only_inside_an_event(#[case] body: &str, #[case] complete: bool) {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.client().await;
        client
            .send(&request("/live/a", "one", "").replace("HTTP/1.1", "HTTP/1.0"))
            .await;
        respond_and_close(host.accept().await, EVENT_STREAM, body).await;
        assert_eq!(client.ends_without_reset().await, complete);
    });
}

/// Guards against ORDER on a resumable route, where the client gets the rest of the stream from another host.
#[rstest]
fn resumable_stream_closed_inside_an_event_continues_at_another_host(
    #[values("HTTP/1.1", "HTTP/1.0")] version: &str,
    #[values("\n", "\r\n", "\r")] line_end: &str,
) {
    run_async_test(async {
        let (mut host_1, mut host_2, proxy) = Proxy::with_two_hosts().await;
        let mut client = proxy.client().await;
        client
            .send(&request("/more/a", "one", "").replace("HTTP/1.1", version))
            .await;
        let (conn, other) = first_connection(&mut host_1, &mut host_2).await;
        let start = [event(1), event(2), "id: 3\ndata: pi".to_owned()].concat();
        respond_and_close(conn, EVENT_STREAM, &start.replace('\n', line_end)).await;
        let mut next = other.accept().await;
        let received = next.start_stream("second", &[3]).await;
        assert_eq!(received.field("last-event-id"), Some("2"));
        next.send("0\r\n\r\n").await;
        let response = client.read_message().await.expect("a response");
        assert!(response.complete);
        let expected = events([1, 2]).replace('\n', line_end) + &event(3);
        assert_eq!(response.body, expected);
        assert_eq!(proxy.counters.get().interrupted_events, 1);
    });
}

/// Guards against ORDER: a stream that its host's crash cuts between two events was ended as complete.
#[rstest]
fn stream_whose_host_crashes_between_events_is_truncated(
    #[values("/live/a", "/once/a", "/pure/a")] path: &str,
    #[values("\n", "\r\n", "\r")] line_end: &str,
    #[values("HTTP/1.1", "HTTP/1.0")] version: &str,
) {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.client().await;
        client
            .send(&request(path, "one", "").replace("HTTP/1.1", version))
            .await;
        let mut conn = host.accept().await;
        let part = event(1).replace('\n', line_end);
        let lines = format!("200 OK\r\n{SEAL_FIELD}\r\nContent-Type: {EVENT_STREAM}");
        conn.respond(&lines, &part).await;
        client.read_until(&part).await;
        host.stop_listening().await;
        drop(conn);
        if version == "HTTP/1.0" {
            assert!(!client.ends_without_reset().await);
        } else {
            let response = client.read_message().await.expect("a response");
            assert_eq!((response.complete, response.body), (false, part));
        }
        let counters = proxy.counters.get();
        assert_eq!((counters.responses, counters.truncated_responses), (0, 1));
        assert_eq!(counters.bodies_ended_by_crash, 1);
    });
}

/// What a host's registration says when its process ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Announcement {
    Draining,
    Departed,
}

/// Guards against LOST: a host that leaves as planned may end its process right after its last stream.
#[rstest]
fn stream_whose_host_leaves_as_planned_is_complete(
    #[values("/live/a", "/once/a", "/pure/a")] path: &str,
    #[values(Announcement::Draining, Announcement::Departed)] announcement: Announcement,
) {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.send_request(path).await;
        let mut conn = host.accept().await;
        let lines = format!("200 OK\r\n{SEAL_FIELD}\r\nContent-Type: {EVENT_STREAM}");
        conn.respond(&lines, &event(1)).await;
        let mut hosts = vec![host.info.clone()];
        match announcement {
            Announcement::Draining => hosts[0].draining = true,
            Announcement::Departed => hosts.clear(),
        }
        proxy.apply_fleet(configuration(1, ROUTES), hosts).await;
        host.stop_listening().await;
        conn.send(&event(2)).await;
        drop(conn);
        let response = client.read_message().await.expect("a response");
        assert_eq!((response.complete, response.body), (true, events([1, 2])));
        assert_eq!(proxy.counters.get().broken_responses, 0);
    });
}

/// Guards against MIXED: a stream that a shutdown buffers was sent with the length of what came before its host crashed.
#[test]
fn buffered_stream_whose_host_crashes_between_events_is_not_forwarded() {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let mut proxy = Proxy::with_grace(GRACE_S, &host).await;
        proxy.signal_stop();
        while proxy.readiness_status().await == 200 {}
        let mut client = proxy.send_request("/once/a").await;
        let mut conn = host.accept().await;
        let lines = format!("200 OK\r\n{SEAL_FIELD}\r\nContent-Type: {EVENT_STREAM}");
        conn.respond(&lines, &event(1)).await;
        host.stop_listening().await;
        drop(conn);
        let response = client.read_message().await.expect("a response");
        assert_eq!((response.status(), response.complete), (502, true));
    });
}

/// Guards against MIXED: during a shutdown such a stream is buffered, and was sent with the length of what had arrived.
#[rstest]
#[case::complete("id: 1\ndata: a\n\n", 200)]
#[case::interrupted("id: 1\ndata: a\n\nid: 2\n", 502)]
fn buffered_stream_in_a_shutdown_is_forwarded_only_if_it_ends_between_events(
    #[case] body: &str,
    #[case] status: u16,
) {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let mut proxy = Proxy::with_grace(GRACE_S, &host).await;
        proxy.signal_stop();
        while proxy.readiness_status().await == 200 {}
        let mut client = proxy.send_request("/once/a").await;
        respond_and_close(host.accept().await, EVENT_STREAM, body).await;
        let response = client.read_message().await.expect("a response");
        assert_eq!((response.status(), response.complete), (status, true));
        assert_eq!(response.body == body, status == 200);
    });
}

/// The media type decides whether a body consists of events: any other body that its host closes is complete.
#[rstest]
#[case::parameter("text/event-stream; charset=utf-8", false)]
#[case::upper_case("Text/Event-Stream", false)]
#[case::json("application/json", true)]
#[case::json_lines("application/x-ndjson", true)]
#[case::similar_name("text/event-stream-list", true)]
fn only_event_streams_are_incomplete_without_a_blank_line(
    #[case] content_type: &str,
    #[case] complete: bool,
) {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.send_request("/live/a").await;
        respond_and_close(host.accept().await, content_type, r#"{"a":1}"#).await;
        let response = client.read_message().await.expect("a response");
        assert_eq!(
            (response.complete, response.body.as_str()),
            (complete, r#"{"a":1}"#)
        );
    });
}

/// Events that no buffer of the proxy could hold are forwarded, and the end of the last one is still found.
#[rstest]
#[case::complete("\n\n", true)]
#[case::interrupted("\n", false)]
fn end_of_an_event_of_several_megabytes_is_found(#[case] ending: &str, #[case] complete: bool) {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.send_request("/live/a").await;
        let conn = host.accept().await;
        let body = format!("data: {}{ending}", "0123456789".repeat(300_000));
        let respond = respond_and_close(conn, EVENT_STREAM, &body);
        let (response, _) = tokio::join!(client.read_message(), respond);
        let response = response.expect("a response");
        assert!(response.body == body);
        assert_eq!(response.complete, complete);
    });
}
