//! Clients that leave: nothing reaches a host for them any more, and what hosts do for them is ended.

mod common;
use common::*;
use rstest::rstest;
use std::io::Write;
use std::net::SocketAddr;

/// A way is full once it has taken nothing for so many turns.
const REFUSED_IN_A_ROW: usize = 100;

/// Sends a request and closes before the proxy has had a turn.
fn ask_and_leave(proxy: &Proxy, path: &str, id: &str) {
    let mut client = std::net::TcpStream::connect(SocketAddr::V4(proxy.front)).unwrap();
    client.write_all(request(path, id, "").as_bytes()).unwrap();
}

/// An idle connection of the proxy to each of two hosts, in their order.
async fn idle_at_both(proxy: &Proxy, hosts: &mut [Host; 2]) -> [Peer; 2] {
    let mut conns = [None, None];
    while conns.iter().any(Option::is_none) {
        let mut clients = [proxy.ask("/pure/a").await, proxy.ask("/pure/a").await];
        let mut asked = Vec::new();
        for _ in &clients {
            let [one, two] = hosts;
            let [idle_one, idle_two] = &mut conns;
            let next = tokio::select! {
                conn = request_at(one, idle_one) => (0, conn),
                conn = request_at(two, idle_two) => (1, conn),
            };
            asked.push(next);
        }
        for (host, mut conn) in asked {
            conn.send(&good("one", "warm")).await;
            conns[host] = Some(conn);
        }
        for client in &mut clients {
            assert_eq!(client.message().await.unwrap().body, "warm");
        }
    }
    conns.map(Option::unwrap)
}

/// The connection of a host on which a request comes, new or used before.
async fn request_at(host: &mut Host, used: &mut Option<Peer>) -> Peer {
    let asked = match used {
        Some(conn) => {
            tokio::select! {
                new = host.conn() => Some(new),
                message = conn.message() => {
                    message.expect("a request");
                    None
                }
            }
        }
        None => Some(host.conn().await),
    };
    match asked {
        Some(mut new) => {
            new.message().await.expect("a request");
            new
        }
        None => used.take().expect("a connection"),
    }
}

#[rstest]
fn a_client_that_has_left_before_it_is_read_reaches_no_host(
    #[values("/pure/a", "/once/a", "/live/a", "/more/a")] path: &str,
) {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let mut client = proxy.ask("/pure/a").await;
        let mut conn = host.conn().await;
        conn.answer("warm").await;
        client.message().await.unwrap();
        ask_and_leave(&proxy, path, "gone");
        while proxy.counters.get().client_disconnects == 0 {
            tokio::task::yield_now().await;
        }
        // The idle connection is still there, and the next request is the first thing on it.
        client.send(&request("/once/a", "next", "")).await;
        assert_eq!(
            conn.answer("next").await.field("fennelpin-attempt-id"),
            Some("next")
        );
        assert_eq!(client.message().await.unwrap().body, "next");
        assert!(host.unasked());
        assert_eq!(proxy.counters.get().attempts, 2);
    });
}

/// The first host's end and the client's are there at once: the second host hears nothing.
#[rstest]
#[case::refused("/pure/a")]
#[case::refused_once("/once/a")]
#[case::resumed("/more/a")]
fn a_client_that_leaves_between_two_tries_reaches_no_second_host(#[case] path: &str) {
    story(async {
        let mut hosts = [Host::new("h1", "s").await, Host::new("h2", "s").await];
        let proxy = Proxy::new(&[&hosts[0], &hosts[1]]).await;
        let mut conns = idle_at_both(&proxy, &mut hosts).await;
        let before = proxy.counters.get().attempts;
        let mut client = proxy.client().await;
        client.send(&request(path, "gone", "")).await;
        let [one, two] = &mut conns;
        let (first, message) = tokio::select! {
            message = one.message() => (0, message),
            message = two.message() => (1, message),
        };
        assert_eq!(message.unwrap().field("fennelpin-attempt-id"), Some("gone"));
        let [one, two] = conns;
        let (mut asked, mut other) = if first == 0 { (one, two) } else { (two, one) };
        let refusal =
            "HTTP/1.1 503 Full\r\nFennelpin-Attempt-Id: gone\r\nFennelpin-Not-Executed: full\r\n\
                       Content-Length: 0\r\n\r\n";
        if path == "/more/a" {
            asked
                .send(&format!(
                    "HTTP/1.1 200 OK\r\nFennelpin-Attempt-Id: gone\r\nFennelpin-Host-Seal: seal\r\n\
                     Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n",
                    event(1).len(),
                    event(1)
                ))
                .await;
            client.until("piece 1\n\n").await;
            drop(asked);
        } else {
            asked.stream.try_write(refusal.as_bytes()).unwrap();
        }
        drop(client);
        while proxy.counters.get().client_disconnects == 0 {
            tokio::task::yield_now().await;
        }
        assert_eq!(
            proxy.counters.get().attempts,
            before + 1,
            "the second host heard of it"
        );
        // Its idle connection has stayed as it was.
        let mut next = proxy.client().await;
        next.send(&request("/once/a", "next", "")).await;
        tokio::select! {
            request = other.message() => {
                assert_eq!(request.unwrap().field("fennelpin-attempt-id"), Some("next"));
                other.send(&good("next", "next")).await;
            }
            mut conn = hosts[first].conn() => drop(conn.answer("next").await),
        }
        assert_eq!(next.message().await.unwrap().body, "next");
    });
}

/// A client that reads nothing holds up its stream; its end is seen all the same.
#[test]
fn a_client_that_leaves_while_its_answer_is_held_up_ends_the_host_s_work() {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let client = proxy.ask("/live/a").await;
        let mut conn = host.conn().await;
        conn.begin("seal", &[]).await;
        let event = format!("data: {}\n\n", "a".repeat(64 * 1024));
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        // Until the way to the client is full, the proxy's buffers with it.
        let mut refused = 0;
        while refused < REFUSED_IN_A_ROW {
            match conn.stream.try_write(chunk.as_bytes()) {
                Ok(_) => refused = 0,
                Err(e) => {
                    assert_eq!(e.kind(), std::io::ErrorKind::WouldBlock);
                    refused += 1;
                }
            }
            tokio::task::yield_now().await;
        }
        drop(client);
        conn.closed().await;
        assert_eq!(proxy.counters.get().responses, 0);
    });
}
