//! Tests of hosts that respond while a long request is still being written to them: what they end in order reaches the
//! client complete, and what a reset cuts off reaches it as broken.

mod common;
use common::*;
use rstest::rstest;
use rustix::net::{shutdown, Shutdown};
use std::io::{Read, Write};
use std::time::Duration;

/// Number of events in a whole response, and in the part that a host sends of it.
const WHOLE: u64 = 20;
const PART: u64 = 10;

/// How the host marks the end of its response.
#[derive(Clone, Copy, Debug, PartialEq)]
enum HostFraming {
    Length,
    Chunked,
    CloseDelimited,
}

/// How the host's connection ends while the request is still being written.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CloseKind {
    /// By the end of what the host sends. It keeps the connection, but reads no more.
    EndOfStream,
    /// The same, and then a reset, as the host closes the connection with unread bytes.
    EndOfStreamThenReset,
    /// By a reset alone.
    Reset,
}

/// What the client gets.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outcome {
    /// What the first host sent, complete.
    Complete,
    /// A complete response with a part, or all, of another host.
    Continued,
    /// A part, with an end that shows it.
    Truncated,
    /// A 502.
    Failed,
}

/// A response that its host sends before it has read the request.
#[derive(Clone, Copy, Debug)]
struct EarlyResponse {
    path: &'static str,
    framing: HostFraming,
    event_count: u64,
    close_kind: CloseKind,
    /// Whether the host has read the head of the request.
    reads_head: bool,
}

impl EarlyResponse {
    fn is_streamed(self) -> bool {
        matches!(self.path, "/live/a" | "/more/a")
    }

    fn body(self) -> String {
        events(1..=self.event_count)
    }

    fn text(self) -> String {
        let body = self.body();
        let media_type = if self.is_streamed() {
            "text/event-stream"
        } else {
            "text/plain"
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nFennelpin-Attempt-Id: one\r\nFennelpin-Host-Seal: seal\r\nContent-Type: {media_type}\r\n"
        );
        match self.framing {
            HostFraming::Length => {
                let length = events(1..=WHOLE).len();
                format!("{head}Content-Length: {length}\r\n\r\n{body}")
            }
            HostFraming::Chunked => {
                let end = if self.event_count == WHOLE {
                    "0\r\n\r\n"
                } else {
                    ""
                };
                let length = body.len();
                format!("{head}Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n{end}")
            }
            HostFraming::CloseDelimited => format!("{head}\r\n{body}"),
        }
    }

    fn expected_outcome(self) -> Outcome {
        let is_complete = match self.framing {
            HostFraming::Length | HostFraming::Chunked => self.event_count == WHOLE,
            // Nothing but the end of the stream marks the end of the body.
            HostFraming::CloseDelimited => self.close_kind != CloseKind::Reset,
        };
        match self.path {
            _ if is_complete => Outcome::Complete,
            "/pure/a" | "/more/a" => Outcome::Continued,
            "/live/a" => Outcome::Truncated,
            _ => Outcome::Failed,
        }
    }

    /// Sends the response and ends the connection at once, so that the proxy's next write meets both. Returns the
    /// connection if the host keeps it.
    async fn send(self, mut conn: TestConnection) -> Option<TestConnection> {
        if self.reads_head {
            conn.read_head().await.expect("a request");
        }
        conn.send(&self.text()).await;
        if self.close_kind != CloseKind::Reset {
            shutdown(&conn.stream, Shutdown::Write).unwrap();
        }
        if self.close_kind == CloseKind::EndOfStream {
            return Some(conn);
        }
        conn.reset();
        None
    }

    /// Plays the response, and another host that answers what the proxy asks of it, and checks what the client gets.
    async fn check(self) {
        let mut host_1 = FakeHost::new("h1", "s").await;
        let mut host_2 = FakeHost::new("h2", "s").await;
        let proxy = proxy_with_wide_limits(ProxyOptions::default(), &[&host_1, &host_2]).await;
        let mut client = proxy.client().await;
        client.send(&large_request(self.path)).await;
        let (conn, other) = first_connection(&mut host_1, &mut host_2).await;
        let kept = self.send(conn).await;
        let answer_elsewhere = async {
            let mut conn = other.accept().await;
            respond_with_rest(&mut conn).await;
            std::future::pending::<()>().await;
        };
        let response = tokio::select! {
            response = client.read_message() => response.expect("a response"),
            () = answer_elsewhere => unreachable!(),
        };
        drop(kept);
        let counters = proxy.counters.get();
        let outcome = match (response.status(), response.complete, counters.attempts) {
            (502, true, 1) => Outcome::Failed,
            (200, false, 1) => Outcome::Truncated,
            (200, true, 1) => Outcome::Complete,
            (200, true, 2) => Outcome::Continued,
            other => panic!("{other:?}"),
        };
        assert_eq!(outcome, self.expected_outcome());
        let is_broken = outcome != Outcome::Complete;
        assert_eq!(counters.broken_responses, u64::from(is_broken));
        match outcome {
            Outcome::Complete => assert_eq!(response.body, self.body()),
            Outcome::Continued => assert_eq!(response.body, events(1..=WHOLE)),
            Outcome::Truncated => assert!(self.body().starts_with(&response.body)),
            Outcome::Failed => {}
        }
    }
}

/// Answers a request with the events that its client does not have yet.
async fn respond_with_rest(conn: &mut TestConnection) {
    let request = conn.read_message().await.expect("a request");
    let last_event_id = request.field("last-event-id").unwrap_or("0");
    let first: u64 = last_event_id.parse::<u64>().unwrap() + 1;
    conn.send(&ok_response("one", &events(first..=WHOLE))).await;
}

/// Guards against MIXED and LOST: part of a 200 without a length was taken for the whole, as the write of the request
/// met the reset before the read could. A response that ended in order is not given up with the write.
#[rstest]
fn end_of_an_early_response_reaches_the_client_as_it_was(
    #[values("/pure/a", "/once/a", "/live/a", "/more/a")] path: &'static str,
    #[values(HostFraming::Length, HostFraming::Chunked, HostFraming::CloseDelimited)]
    framing: HostFraming,
    #[values(
        CloseKind::EndOfStream,
        CloseKind::EndOfStreamThenReset,
        CloseKind::Reset
    )]
    close_kind: CloseKind,
    #[values(PART, WHOLE)] event_count: u64,
    #[values(true, false)] reads_head: bool,
) {
    let response = EarlyResponse {
        path,
        framing,
        event_count,
        close_kind,
        reads_head,
    };
    run_async_test(response.check());
}

/// A client of HTTP/1.0 is told by the end of its connection alone.
#[rstest]
fn http10_client_sees_a_reset_of_an_early_response(
    #[values("/live/a", "/more/a")] path: &'static str,
    #[values(CloseKind::EndOfStream, CloseKind::Reset)] close_kind: CloseKind,
) {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = proxy_with_wide_limits(ProxyOptions::default(), &[&host]).await;
        let mut client = proxy.client().await;
        let request = large_request(path).replace("HTTP/1.1", "HTTP/1.0");
        client.send(&request).await;
        let response = EarlyResponse {
            path,
            framing: HostFraming::CloseDelimited,
            event_count: PART,
            close_kind,
            reads_head: true,
        };
        let _kept = response.send(host.accept().await).await;
        client.read_until(&event(PART)).await;
        let is_complete = client.ends_without_reset().await;
        assert_eq!(is_complete, close_kind == CloseKind::EndOfStream);
    });
}

/// The response is larger than what is read completely before it is forwarded, and than the buffers of a connection.
#[rstest]
fn large_early_response_that_ends_in_order_is_complete(
    #[values("/pure/a", "/once/a", "/live/a", "/more/a")] path: &'static str,
    #[values(true, false)] has_length: bool,
    #[values(true, false)] reads_head: bool,
) {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = proxy_with_wide_limits(ProxyOptions::default(), &[&host]).await;
        let mut client = proxy.client().await;
        client.send(&large_request(path)).await;
        let body = events(1..=200_000);
        let mut conn = host.accept().await;
        let respond = async {
            if reads_head {
                conn.read_head().await.expect("a request");
            }
            let length = if has_length {
                format!("Content-Length: {}\r\n", body.len())
            } else {
                String::new()
            };
            let head =
                format!("HTTP/1.1 200 OK\r\nFennelpin-Attempt-Id: one\r\nFennelpin-Host-Seal: seal\r\n{length}\r\n");
            conn.send(&(head + &body)).await;
            shutdown(&conn.stream, Shutdown::Write).unwrap();
        };
        let (response, ()) = tokio::join!(client.read_message(), respond);
        let response = response.expect("a response");
        assert!(response.complete);
        assert_eq!(response.status(), 200);
        assert!(response.body == body, "{} bytes", response.body.len());
    });
}

/// A reset behind the part that the client has already cuts its response off.
#[rstest]
fn large_early_response_that_is_reset_is_truncated(
    #[values("/pure/a", "/once/a", "/live/a")] path: &'static str,
) {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = proxy_with_wide_limits(ProxyOptions::default(), &[&host]).await;
        let mut client = proxy.client().await;
        client.send(&large_request(path)).await;
        let mut conn = host.accept().await;
        let respond = async {
            conn.read_head().await.expect("a request");
            let head =
                "HTTP/1.1 200 OK\r\nFennelpin-Attempt-Id: one\r\nFennelpin-Host-Seal: seal\r\n\r\n";
            conn.send(&(head.to_owned() + &events(1..=200_000))).await;
            conn.reset();
        };
        let (response, ()) = tokio::join!(client.read_message(), respond);
        assert!(!response.expect("a response").complete);
        assert_eq!(proxy.counters.get().broken_responses, 1);
    });
}

/// Sends a response without a length, reads as many bytes of the request, and resets the connection, after it has ended
/// its side in order if `ends_in_order`. It runs on a thread of its own, so that the reset may meet a write of the proxy
/// or a read.
fn respond_read_and_reset(mut stream: std::net::TcpStream, byte_count: usize, ends_in_order: bool) {
    let head = "HTTP/1.1 200 OK\r\nFennelpin-Attempt-Id: one\r\nFennelpin-Host-Seal: seal\r\n\r\n";
    stream
        .write_all(format!("{head}{}", event(1)).as_bytes())
        .unwrap();
    let mut request_part = vec![0; byte_count];
    stream.read_exact(&mut request_part).unwrap();
    if ends_in_order {
        shutdown(&stream, Shutdown::Write).unwrap();
    }
    rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
}

/// Guards against MIXED and LOST: what is left of the request is written while the response is read, and that write may
/// meet the reset as well. Behind an end in order the reset says nothing about the response.
#[rstest]
fn reset_while_the_request_is_written_on_is_told_from_an_end(
    #[values("/pure/a", "/once/a", "/live/a")] path: &'static str,
    #[values(true, false)] ends_in_order: bool,
) {
    run_async_test(async {
        for number in 1..=30 {
            let mut host = FakeHost::new("h1", "s").await;
            let proxy = proxy_with_wide_limits(ProxyOptions::default(), &[&host]).await;
            let mut client = proxy.client().await;
            client.send(&large_request(path)).await;
            let mut conn = host.accept().await;
            conn.read_head().await.expect("a request");
            let stream = conn.stream.into_std().unwrap();
            stream.set_nonblocking(false).unwrap();
            let byte_count = number * (LARGE_BODY_BYTES / 40);
            let host_side = std::thread::spawn(move || {
                respond_read_and_reset(stream, byte_count, ends_in_order);
            });
            let response = client.read_message().await.expect("a response");
            host_side.join().unwrap();
            let looks_complete = response.status() == 200 && response.complete;
            assert_eq!(
                looks_complete, ends_in_order,
                "after {byte_count} bytes: {response:?}"
            );
            if ends_in_order {
                assert_eq!(response.body, event(1));
            } else if path == "/once/a" {
                assert_eq!(response.status(), 502);
            }
            let broken = proxy.counters.get().broken_responses;
            assert_eq!(broken, u64::from(!ends_in_order));
        }
    });
}

/// How far a host goes with its response before it reads the rest of the request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SentFirst {
    Head,
    HeadAndPart,
    /// All but the end that its connection marks, or that no byte marks.
    Whole,
}

/// Guards against LOST: a host may begin its response at once, and read the rest of the request before it ends it.
#[rstest]
fn host_that_reads_the_rest_before_it_ends_its_response_gets_it(
    #[values("/pure/a", "/once/a", "/live/a", "/more/a")] path: &'static str,
    #[values(HostFraming::Length, HostFraming::Chunked, HostFraming::CloseDelimited)]
    framing: HostFraming,
    #[values(SentFirst::Head, SentFirst::HeadAndPart, SentFirst::Whole)] sent_first: SentFirst,
) {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = proxy_with_wide_limits(ProxyOptions::default(), &[&host]).await;
        let mut client = proxy.client().await;
        client.send(&large_request(path)).await;
        let response = EarlyResponse {
            path,
            framing,
            event_count: WHOLE,
            close_kind: CloseKind::EndOfStream,
            reads_head: true,
        };
        let text = response.text();
        let head_length = text.find("\r\n\r\n").unwrap() + 4;
        let first_length = match sent_first {
            SentFirst::Head => head_length,
            SentFirst::HeadAndPart => head_length.midpoint(text.len()),
            SentFirst::Whole => text.len(),
        };
        let respond = async {
            let mut conn = host.accept().await;
            conn.read_head().await.expect("a request");
            conn.send(&text[..first_length]).await;
            // With a length or chunks a whole response is complete, and the proxy need not write on.
            if sent_first != SentFirst::Whole || framing == HostFraming::CloseDelimited {
                let rest = conn.read_body_bytes(LARGE_BODY_BYTES).await;
                assert!(rest.bytes().all(|byte| byte == b'a'));
            }
            conn.send(&text[first_length..]).await;
            shutdown(&conn.stream, Shutdown::Write).unwrap();
            conn
        };
        let (response_read, _conn) = tokio::join!(client.read_message(), respond);
        let read = response_read.expect("a response");
        assert_eq!((read.status(), read.complete), (200, true));
        assert_eq!(read.body, response.body());
        assert_eq!(proxy.counters.get().attempts, 1);
    });
}

/// What is left of a refused request is not written on, although its connection stays open while the refusal is read.
#[test]
fn refused_request_is_not_written_on() {
    run_async_test(async {
        let mut host_1 = FakeHost::new("h1", "s").await;
        let mut host_2 = FakeHost::new("h2", "s").await;
        let proxy = proxy_with_wide_limits(ProxyOptions::default(), &[&host_1, &host_2]).await;
        let mut client = proxy.client().await;
        client.send(&large_request("/once/a")).await;
        let (mut first, other) = first_connection(&mut host_1, &mut host_2).await;
        first.read_head().await.expect("a request");
        first
            .send("HTTP/1.1 503 Full\r\nFennelpin-Attempt-Id: one\r\nFennelpin-Not-Executed: full\r\nContent-Length: 9\r\n\r\npart")
            .await;
        let mut second = other.accept().await;
        second.respond_ok("second").await;
        assert_eq!(client.read_message().await.unwrap().body, "second");
        first.wait_until_closed().await;
        let received = first.take_buffered(usize::MAX).len();
        assert!(received < LARGE_BODY_BYTES, "{received} bytes");
    });
}
