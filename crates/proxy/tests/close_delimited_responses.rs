//! Tests of responses that end with their connection: complete after an orderly close, incomplete after a reset.

mod common;
use common::*;
use rstest::rstest;

const SEAL_FIELD: &str = "Fennelpin-Host-Seal: seal";
const BUFFERED_BODY_BYTES: usize = 40;
/// More than the proxy buffers before it relays a response.
const STREAMED_BODY_BYTES: usize = 400_000;

fn response_body(length: usize) -> String {
    "0123456789".repeat(length / 10)
}

/// Sends a request and starts a response without a length. Returns the connections of the client and of the host.
async fn start_response(
    host: &mut FakeHost,
    proxy: &Proxy,
    path: &str,
    length: usize,
) -> (TestConnection, TestConnection) {
    let client = proxy.send_request(path).await;
    let mut conn = host.accept().await;
    let body = response_body(length);
    let received = conn.read_message().await.expect("a request");
    assert_eq!(received.field("fennelpin-attempt-id"), Some("one"));
    let head = format!("HTTP/1.1 200 OK\r\nFennelpin-Attempt-Id: one\r\n{SEAL_FIELD}\r\n\r\n");
    let text = head + &body;
    let mut rest = text.as_bytes();
    while !rest.is_empty() {
        match conn.stream.try_write(rest) {
            Ok(n) => rest = &rest[n..],
            Err(e) => assert_eq!(e.kind(), std::io::ErrorKind::WouldBlock),
        }
        tokio::task::yield_now().await;
    }
    (client, conn)
}

#[rstest]
fn close_delimited_response_with_an_orderly_end_is_complete(
    #[values("/pure/a", "/once/a", "/live/a")] path: &str,
    #[values(0, BUFFERED_BODY_BYTES, STREAMED_BODY_BYTES)] length: usize,
) {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let (mut client, conn) = start_response(&mut host, &proxy, path, length).await;
        drop(conn);
        let response = client.read_message().await.expect("a response");
        assert!(
            response.complete && response.status() == 200,
            "{}",
            response.head
        );
        assert_eq!(response.body.len(), length);
        assert!(response.body == response_body(length));
    });
}

/// Guards against ORDER and MIXED: a response that its host's crash cuts was ended as complete while it was relayed.
#[rstest]
#[case::large("/pure/a", STREAMED_BODY_BYTES)]
#[case::large_to_run_once("/once/a", STREAMED_BODY_BYTES)]
#[case::stream("/live/a", BUFFERED_BODY_BYTES)]
fn close_delimited_response_whose_host_crashes_is_truncated(
    #[case] path: &str,
    #[case] length: usize,
) {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let (mut client, conn) = start_response(&mut host, &proxy, path, length).await;
        host.stop_listening().await;
        drop(conn);
        let response = client.read_message().await.expect("a response");
        assert_eq!((response.status(), response.complete), (200, false));
        assert_eq!(proxy.counters.get().bodies_ended_by_crash, 1);
    });
}

#[rstest]
fn close_delimited_response_with_a_reset_is_incomplete(
    #[values("/pure/a", "/once/a", "/live/a", "/more/a")] path: &str,
    #[values(0, BUFFERED_BODY_BYTES, STREAMED_BODY_BYTES)] length: usize,
) {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let (mut client, conn) = start_response(&mut host, &proxy, path, length).await;
        conn.reset();
        if let Some(response) = client.read_message().await {
            assert!(
                response.status() != 200 || !response.complete,
                "{} {}",
                response.head,
                response.body.len()
            );
        }
    });
}

/// The connections of a killed process may look as if they had been closed in order. The relayed response therefore
/// marks its own end.
#[rstest]
#[case::large("/once/a", STREAMED_BODY_BYTES)]
#[case::stream("/live/a", BUFFERED_BODY_BYTES)]
fn http11_client_can_tell_a_complete_response_from_a_killed_proxy(
    #[case] path: &str,
    #[case] length: usize,
) {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let (mut client, conn) = start_response(&mut host, &proxy, path, length).await;
        let head = client.read_head().await.expect("a response");
        assert!(head.contains("Transfer-Encoding: chunked\r\n"), "{head}");
        assert!(!head.contains("Connection: close"), "{head}");
        drop(conn);
        client.read_until("0\r\n\r\n").await;
        client.send(&request("/pure/a", "two", "")).await;
        host.accept().await.respond_ok("next").await;
        client.read_until("next").await;
    });
}

/// An HTTP/1.0 client, which does not support chunked encoding, can tell by the end of its connection, an orderly close
/// or a reset, whether the stream is complete. `host_failures.rs` tests the same for other responses.
#[rstest]
fn http10_client_sees_how_the_stream_ended(#[values(true, false)] reset: bool) {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.client().await;
        client
            .send(&request("/live/a", "one", "").replace("HTTP/1.1", "HTTP/1.0"))
            .await;
        let mut conn = host.accept().await;
        let body = response_body(STREAMED_BODY_BYTES);
        let respond = async {
            conn.respond(&format!("200 OK\r\n{SEAL_FIELD}"), &body)
                .await;
            conn
        };
        let (received_text, conn) = tokio::join!(client.read_until(&body), respond);
        assert!(!received_text.contains("Transfer-Encoding"));
        if reset {
            conn.reset();
        } else {
            drop(conn);
        }
        assert_eq!(client.ends_without_reset().await, !reset);
    });
}
