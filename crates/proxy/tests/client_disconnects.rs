//! Clients that disconnect: nothing more is sent to a host for them, and their requests in flight are cancelled.

mod common;
use common::*;
use rstest::rstest;
use std::io::Write;
use std::net::SocketAddr;

/// Number of consecutive blocked writes after which the path to the client counts as full.
const BLOCKED_WRITES_IN_A_ROW: usize = 100;

/// Sends a request and closes the connection before the proxy's task has run.
fn send_and_disconnect(proxy: &Proxy, path: &str, id: &str) {
    let mut client = std::net::TcpStream::connect(SocketAddr::V4(proxy.client_address)).unwrap();
    client.write_all(request(path, id, "").as_bytes()).unwrap();
}

/// Makes the proxy open an idle connection to each of two hosts. Returns them in the order of the hosts.
async fn open_idle_connections(proxy: &Proxy, hosts: &mut [FakeHost; 2]) -> [TestConnection; 2] {
    let mut conns = [None, None];
    while conns.iter().any(Option::is_none) {
        let mut clients = [
            proxy.send_request("/pure/a").await,
            proxy.send_request("/pure/a").await,
        ];
        let mut requested = Vec::new();
        for _ in &clients {
            let [one, two] = hosts;
            let [idle_one, idle_two] = &mut conns;
            let next = tokio::select! {
                conn = next_request_connection(one, idle_one) => (0, conn),
                conn = next_request_connection(two, idle_two) => (1, conn),
            };
            requested.push(next);
        }
        for (host, mut conn) in requested {
            conn.send(&ok_response("one", "warm")).await;
            conns[host] = Some(conn);
        }
        for client in &mut clients {
            assert_eq!(client.read_message().await.unwrap().body, "warm");
        }
    }
    conns.map(Option::unwrap)
}

/// Waits for a request to a host and returns its connection: a new one, or the one used before.
async fn next_request_connection(
    host: &mut FakeHost,
    used: &mut Option<TestConnection>,
) -> TestConnection {
    let new_connection = match used {
        Some(conn) => {
            tokio::select! {
                new = host.accept() => Some(new),
                message = conn.read_message() => {
                    message.expect("a request");
                    None
                }
            }
        }
        None => Some(host.accept().await),
    };
    match new_connection {
        Some(mut new) => {
            new.read_message().await.expect("a request");
            new
        }
        None => used.take().expect("a connection"),
    }
}

#[rstest]
fn request_of_a_disconnected_client_reaches_no_host(
    #[values("/pure/a", "/once/a", "/live/a", "/more/a")] path: &str,
) {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let mut client = proxy.send_request("/pure/a").await;
        let mut conn = host.accept().await;
        conn.respond_ok("warm").await;
        client.read_message().await.unwrap();
        send_and_disconnect(&proxy, path, "gone");
        while proxy.counters.get().client_disconnects == 0 {
            tokio::task::yield_now().await;
        }
        // The idle connection is still open, and the next request is the first one on it.
        client.send(&request("/once/a", "next", "")).await;
        assert_eq!(
            conn.respond_ok("next").await.field("fennelpin-attempt-id"),
            Some("next")
        );
        assert_eq!(client.read_message().await.unwrap().body, "next");
        assert!(host.has_no_connection());
        assert_eq!(proxy.counters.get().attempts, 2);
    });
}

/// The first host fails and the client disconnects at the same time. Guards against a retry being sent to the second
/// host.
#[rstest]
#[case::refused("/pure/a")]
#[case::refused_once("/once/a")]
#[case::resumed("/more/a")]
fn client_disconnect_between_attempts_prevents_the_retry(#[case] path: &str) {
    run_async_test(async {
        let mut hosts = [
            FakeHost::new("h1", "s").await,
            FakeHost::new("h2", "s").await,
        ];
        let proxy = Proxy::new(&[&hosts[0], &hosts[1]]).await;
        let mut conns = open_idle_connections(&proxy, &mut hosts).await;
        let attempts_before = proxy.counters.get().attempts;
        let mut client = proxy.client().await;
        client.send(&request(path, "gone", "")).await;
        let [one, two] = &mut conns;
        let (first, message) = tokio::select! {
            message = one.read_message() => (0, message),
            message = two.read_message() => (1, message),
        };
        assert_eq!(message.unwrap().field("fennelpin-attempt-id"), Some("gone"));
        let [one, two] = conns;
        let (mut first_conn, mut other) = if first == 0 { (one, two) } else { (two, one) };
        let refusal =
            "HTTP/1.1 503 Full\r\nFennelpin-Attempt-Id: gone\r\nFennelpin-Not-Executed: full\r\n\
                       Content-Length: 0\r\n\r\n";
        if path == "/more/a" {
            first_conn
                .send(&format!(
                    "HTTP/1.1 200 OK\r\nFennelpin-Attempt-Id: gone\r\nFennelpin-Host-Seal: seal\r\n\
                     Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n",
                    event(1).len(),
                    event(1)
                ))
                .await;
            client.read_until("piece 1\n\n").await;
            drop(first_conn);
        } else {
            first_conn.stream.try_write(refusal.as_bytes()).unwrap();
        }
        drop(client);
        while proxy.counters.get().client_disconnects == 0 {
            tokio::task::yield_now().await;
        }
        assert_eq!(
            proxy.counters.get().attempts,
            attempts_before + 1,
            "the request was retried on the second host"
        );
        // The second host's idle connection is unchanged.
        let mut next = proxy.client().await;
        next.send(&request("/once/a", "next", "")).await;
        tokio::select! {
            request = other.read_message() => {
                assert_eq!(request.unwrap().field("fennelpin-attempt-id"), Some("next"));
                other.send(&ok_response("next", "next")).await;
            }
            mut conn = hosts[first].accept() => drop(conn.respond_ok("next").await),
        }
        assert_eq!(next.read_message().await.unwrap().body, "next");
    });
}

/// A client that reads nothing blocks its stream. Guards against its disconnect being missed meanwhile.
#[test]
fn client_disconnect_under_backpressure_closes_the_host_connection() {
    run_async_test(async {
        let (mut host, proxy) = Proxy::with_one_host().await;
        let client = proxy.send_request("/live/a").await;
        let mut conn = host.accept().await;
        conn.start_stream("seal", &[]).await;
        let event = format!("data: {}\n\n", "a".repeat(64 * 1024));
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        // Writes until the path to the client is full, including the proxy's buffers.
        let mut blocked_writes = 0;
        while blocked_writes < BLOCKED_WRITES_IN_A_ROW {
            match conn.stream.try_write(chunk.as_bytes()) {
                Ok(_) => blocked_writes = 0,
                Err(e) => {
                    assert_eq!(e.kind(), std::io::ErrorKind::WouldBlock);
                    blocked_writes += 1;
                }
            }
            tokio::task::yield_now().await;
        }
        drop(client);
        conn.wait_until_closed().await;
        assert_eq!(proxy.counters.get().responses, 0);
    });
}
