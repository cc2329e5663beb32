//! Tests of hosts in trouble whose responses have a malformed head. No client gets such a response, nor any part of it.

mod common;
use common::*;
use rstest::rstest;

/// How a host marks the end of its response, after the fields that identify it.
const LENGTH: (&str, &str) = ("Content-Length: 6\r\n", "broken");
const CHUNKS: (&str, &str) = ("Transfer-Encoding: chunked\r\n", "6\r\nbroken\r\n0\r\n\r\n");
const CLOSE_DELIMITED: (&str, &str) = ("", "broken");

/// A response that would be valid if the status line and these field lines were.
fn response_with(status_line: &str, lines: &str, id: &str, framing: (&str, &str)) -> String {
    let (framing_line, body) = framing;
    format!(
        "{status_line}\r\nFennelpin-Attempt-Id: {id}\r\nFennelpin-Host-Seal: seal\r\n{lines}{framing_line}\r\n{body}"
    )
}

/// Checks what the client got after one host's broken response: the other host's if the request may run again, and
/// otherwise a 502 that nothing of the broken one has gone into.
fn check_client_response(path: &str, response: &Message) {
    let head = response.head.to_ascii_lowercase();
    let traces = ["broken", "x-", "seal: seal\r\nx", "\0", "\t"];
    assert!(response.complete, "{response:?}");
    if may_run_again(path) {
        assert_eq!((response.status(), response.body.as_str()), (200, "second"));
    } else {
        assert_eq!(response.status(), 502, "{response:?}");
        assert!(!response.body.contains("broken"), "{response:?}");
        assert!(!head.contains("host-seal"), "{response:?}");
    }
    for trace in traces {
        assert!(!head.contains(trace), "{trace:?} in {response:?}");
    }
}

fn may_run_again(path: &str) -> bool {
    matches!(path, "/pure/a" | "/more/a")
}

/// Sends a request, answers it by one host with this text and a closed connection, and by the other one properly.
async fn check_malformed_response(path: &str, text: &str) {
    let first_host = async |mut conn: TestConnection| {
        conn.read_message().await.expect("a request");
        conn.send(text).await;
    };
    let response = request_with_two_hosts(path, first_host, may_run_again(path)).await;
    check_client_response(path, &response);
}

/// Guards against MIXED: an answer with the status 000 reached the client.
#[rstest]
fn response_with_an_invalid_status_reaches_no_client(
    #[values("/pure/a", "/once/a", "/live/a", "/more/a")] path: &str,
    #[values("000", "001", "020", "099", "600", "999")] status: &str,
    #[values(LENGTH, CHUNKS, CLOSE_DELIMITED)] framing: (&str, &str),
    #[values("HTTP/1.1", "HTTP/1.0")] version: &str,
) {
    run_async_test(async {
        let status_line = format!("{version} {status} OK");
        check_malformed_response(path, &response_with(&status_line, "", "one", framing)).await;
    });
}

/// The same with nothing but the status: no field tells whose response it is.
#[rstest]
fn bare_invalid_status_reaches_no_client(
    #[values("/pure/a", "/once/a", "/live/a", "/more/a")] path: &str,
    #[values(
        "HTTP/1.1 000\r\n\r\n",
        "HTTP/1.1 000 \r\nFennelpin-Not-Executed: full\r\nContent-Length: 0\r\n\r\n"
    )]
    text: &str,
) {
    run_async_test(check_malformed_response(path, text));
}

/// An invalid status is charged to its host like any response that is none.
#[test]
fn invalid_status_counts_as_a_broken_response() {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.send_request("/once/a").await;
        let mut conn = host.accept().await;
        conn.read_message().await.expect("a request");
        conn.send(&response_with("HTTP/1.1 000 OK", "", "one", LENGTH))
            .await;
        let response = client.read_message().await.expect("a response");
        assert_eq!(response.status(), 502);
        assert_eq!(proxy.counters.get().broken_responses, 1);
        conn.wait_until_closed().await;
    });
}

/// On a connection that has carried a sound response before.
#[test]
fn invalid_status_on_a_reused_connection_reaches_no_client() {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.send_request("/once/a").await;
        let mut conn = host.accept().await;
        conn.respond_ok("sound").await;
        assert_eq!(client.read_message().await.unwrap().body, "sound");
        client.send(&request("/once/b", "two", "")).await;
        conn.read_message().await.expect("a request");
        conn.send(&response_with("HTTP/1.1 000 OK", "", "two", LENGTH))
            .await;
        check_client_response("/once/b", &client.read_message().await.unwrap());
    });
}

/// In the place of the rest of a stream that another host has begun.
#[test]
fn invalid_status_does_not_continue_a_resumed_stream() {
    run_async_test(async {
        let (mut host_1, mut host_2, proxy) = Proxy::with_two_hosts().await;
        let mut client = proxy.send_request("/more/a").await;
        let (mut first, other) = first_connection(&mut host_1, &mut host_2).await;
        first.start_stream("seal", &[1]).await;
        client.read_until(&event(1)).await;
        first.reset();
        let mut second = other.accept().await;
        second.read_message().await.expect("a request");
        let text = response_with("HTTP/1.1 000 OK", "", "one", CHUNKS);
        second.send(&text).await;
        client.wait_until_closed().await;
        let received = String::from_utf8(client.take_buffered(usize::MAX)).unwrap();
        assert!(!received.contains("broken"), "{received}");
        assert!(
            !received.ends_with("0\r\n\r\n"),
            "looks complete: {received}"
        );
    });
}

/// A malformed head ends the writing of a long request: its host may read no more of it.
#[rstest]
fn invalid_status_ends_an_unfinished_request(#[values("/pure/a", "/once/a")] path: &str) {
    run_async_test(async {
        let mut host_1 = FakeHost::new("h1", "s").await;
        let mut host_2 = FakeHost::new("h2", "s").await;
        let proxy = proxy_with_wide_limits(ProxyOptions::default(), &[&host_1, &host_2]).await;
        let mut client = proxy.client().await;
        client.send(&large_request(path)).await;
        let (mut first, other) = first_connection(&mut host_1, &mut host_2).await;
        first.read_head().await.expect("a request");
        first
            .send(&response_with("HTTP/1.1 000 OK", "", "one", LENGTH))
            .await;
        // The host keeps its connection and reads no more.
        if may_run_again(path) {
            other.accept().await.respond_ok("second").await;
        }
        check_client_response(path, &client.read_message().await.unwrap());
        first.wait_until_closed().await;
    });
}

/// Guards against MIXED: a field whose name holds a blank or a control byte reached the client, or its line was left out
/// and with it what it said about the body.
#[rstest]
fn response_with_a_malformed_field_name_reaches_no_client(
    #[values("/pure/a", "/once/a", "/live/a", "/more/a")] path: &str,
    #[values(
        "X-Field : 1\r\n",
        "X-Field\t: 1\r\n",
        "X Field: 1\r\n",
        "X\tField: 1\r\n",
        " X-Field: 1\r\n",
        "\tX-Field: 1\r\n",
        "X-\u{0}Field: 1\r\n",
        "X-Field\u{1}: 1\r\n",
        "\u{b}X-Field: 1\r\n",
        "X-Field\u{7f}: 1\r\n",
        "X-\rField: 1\r\n",
        "X-F\u{ef}eld: 1\r\n",
        ": 1\r\n",
        "X-Field\r\n",
        "Content-Length : 3\r\n",
        "Content-Length\u{0}: 3\r\n",
        "Transfer-Encoding : chunked\r\n",
        "\u{1f}Transfer-Encoding: chunked\r\n",
        "Fennelpin-Host-Seal : other\r\n",
        "Connection : close\r\n"
    )]
    line: &str,
    #[values(LENGTH, CHUNKS, CLOSE_DELIMITED)] framing: (&str, &str),
    #[values("HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 404 Not Found")] status_line: &str,
) {
    run_async_test(async {
        check_malformed_response(path, &response_with(status_line, line, "one", framing)).await;
    });
}

/// What a field says that is the only one about the body, or about whose response it is, isn't guessed.
#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nFennelpin-Attempt-Id: one\r\nFennelpin-Host-Seal: s\r\nContent-Length : 6\r\n\r\nbroken")]
#[case::first_line("HTTP/1.1 200 OK\r\nContent-Length : 6\r\nFennelpin-Attempt-Id: one\r\nFennelpin-Host-Seal: s\r\n\r\nbroken")]
#[case::chunks("HTTP/1.1 200 OK\r\nFennelpin-Attempt-Id: one\r\nFennelpin-Host-Seal: s\r\nTransfer-Encoding\u{0}: chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n")]
#[case::id("HTTP/1.1 200 OK\r\nFennelpin-Attempt-Id : one\r\nFennelpin-Host-Seal: s\r\nContent-Length: 6\r\n\r\nbroken")]
#[case::seal("HTTP/1.1 200 OK\r\nFennelpin-Attempt-Id: one\r\nFennelpin-Host-Seal : s\r\nContent-Length: 6\r\n\r\nbroken")]
#[case::interim("HTTP/1.1 103 Early Hints\r\nX Field: 1\r\n\r\nHTTP/1.1 200 OK\r\nFennelpin-Attempt-Id: one\r\nFennelpin-Host-Seal: s\r\nContent-Length: 6\r\n\r\nbroken")]
#[case::response_to_another_request("HTTP/1.1 200 OK\r\nFennelpin-Attempt-Id: zero\r\nX\tField: 1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nFennelpin-Attempt-Id: one\r\nFennelpin-Host-Seal: s\r\nContent-Length: 6\r\n\r\nbroken")]
fn malformed_name_of_a_needed_field_reaches_no_client(
    #[case] text: &str,
    #[values("/pure/a", "/once/a", "/live/a", "/more/a")] path: &str,
) {
    run_async_test(check_malformed_response(path, text));
}

/// Status codes that no page names, but that are valid, are the host's own.
#[rstest]
fn unusual_but_valid_status_is_forwarded(
    #[values(200, 299, 300, 399, 400, 418, 499, 500, 599)] status: u16,
    #[values(LENGTH, CHUNKS, CLOSE_DELIMITED)] framing: (&str, &str),
) {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.send_request("/once/a").await;
        let mut conn = host.accept().await;
        conn.read_message().await.expect("a request");
        conn.send(&response_with(
            &format!("HTTP/1.1 {status} X"),
            "",
            "one",
            framing,
        ))
        .await;
        drop(conn);
        let response = client.read_message().await.unwrap();
        assert!(response.complete);
        assert_eq!(
            (response.status(), response.body.as_str()),
            (status, "broken")
        );
    });
}
