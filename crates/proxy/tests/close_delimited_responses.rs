//! Responses that end with their connection: complete after an orderly close, incomplete after a reset.

mod common;
use common::*;
use rstest::rstest;

const SEAL: &str = "Fennelpin-Host-Seal: seal";
const SMALL: usize = 40;
/// More than is held before it is passed on.
const LARGE: usize = 400_000;

fn body(length: usize) -> String {
    "0123456789".repeat(length / 10)
}

/// The client's request, and the host's connection once an answer without a length has begun on it.
async fn begun(
    host: &mut FakeHost,
    proxy: &Proxy,
    path: &str,
    length: usize,
) -> (TestConnection, TestConnection) {
    let client = proxy.send_request(path).await;
    let mut conn = host.accept().await;
    let body = body(length);
    let asked = conn.read_message().await.expect("a request");
    assert_eq!(asked.field("fennelpin-attempt-id"), Some("one"));
    let head = format!("HTTP/1.1 200 OK\r\nFennelpin-Attempt-Id: one\r\n{SEAL}\r\n\r\n");
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
    #[values(0, SMALL, LARGE)] length: usize,
) {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let (mut client, conn) = begun(&mut host, &proxy, path, length).await;
        drop(conn);
        let answer = client.read_message().await.expect("an answer");
        assert!(answer.complete && answer.status() == 200, "{}", answer.head);
        assert_eq!(answer.body.len(), length);
        assert!(answer.body == body(length));
    });
}

#[rstest]
fn close_delimited_response_with_a_reset_is_incomplete(
    #[values("/pure/a", "/once/a", "/live/a", "/more/a")] path: &str,
    #[values(0, SMALL, LARGE)] length: usize,
) {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let (mut client, conn) = begun(&mut host, &proxy, path, length).await;
        conn.reset();
        if let Some(answer) = client.read_message().await {
            assert!(
                answer.status() != 200 || !answer.complete,
                "{} {}",
                answer.head,
                answer.body.len()
            );
        }
    });
}

/// A process that is killed takes its connections along, and their ends may look as if they were in order: so what
/// is passed on shows its own end.
#[rstest]
#[case::large("/once/a", LARGE)]
#[case::stream("/live/a", SMALL)]
fn http11_client_can_tell_the_end_from_a_killed_proxy(#[case] path: &str, #[case] length: usize) {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let (mut client, conn) = begun(&mut host, &proxy, path, length).await;
        let head = client.read_head().await.expect("an answer");
        assert!(head.contains("Transfer-Encoding: chunked\r\n"), "{head}");
        assert!(!head.contains("Connection: close"), "{head}");
        drop(conn);
        client.read_until("0\r\n\r\n").await;
        client.send(&request("/pure/a", "two", "")).await;
        host.accept().await.respond_ok("next").await;
        client.read_until("next").await;
    });
}

/// A client that knows no chunks sees the end of its connection: in order, or a reset. `hosts.rs` has the same of
/// what is no stream.
#[rstest]
fn http10_client_sees_how_the_stream_ended(#[values(true, false)] reset: bool) {
    run_async_test(async {
        let mut host = FakeHost::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let mut client = proxy.client().await;
        client
            .send(&request("/live/a", "one", "").replace("HTTP/1.1", "HTTP/1.0"))
            .await;
        let mut conn = host.accept().await;
        let body = body(LARGE);
        let play = async {
            conn.respond(&format!("200 OK\r\n{SEAL}"), &body).await;
            conn
        };
        let (seen, conn) = tokio::join!(client.read_until(&body), play);
        assert!(!seen.contains("Transfer-Encoding"));
        if reset {
            conn.reset();
        } else {
            drop(conn);
        }
        assert_eq!(client.ends_without_reset().await, !reset);
    });
}
