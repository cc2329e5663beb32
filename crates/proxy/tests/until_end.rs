//! Answers of hosts without a length, which end with their connection: whole where it ends in order, and not where
//! it is reset.

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
async fn begun(host: &mut Host, proxy: &Proxy, path: &str, length: usize) -> (Peer, Peer) {
    let client = proxy.ask(path).await;
    let mut conn = host.conn().await;
    let body = body(length);
    let asked = conn.message().await.expect("a request");
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
fn one_that_ends_in_order_is_whole(
    #[values("/pure/a", "/once/a", "/live/a")] path: &str,
    #[values(0, SMALL, LARGE)] length: usize,
) {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let (mut client, conn) = begun(&mut host, &proxy, path, length).await;
        drop(conn);
        let answer = client.message().await.expect("an answer");
        assert!(answer.whole && answer.status() == 200, "{}", answer.head);
        assert_eq!(answer.body.len(), length);
        assert!(answer.body == body(length));
    });
}

#[rstest]
fn one_that_is_reset_is_not(
    #[values("/pure/a", "/once/a", "/live/a", "/more/a")] path: &str,
    #[values(0, SMALL, LARGE)] length: usize,
) {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let (mut client, conn) = begun(&mut host, &proxy, path, length).await;
        conn.reset();
        if let Some(answer) = client.message().await {
            assert!(
                answer.status() != 200 || !answer.whole,
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
fn a_client_of_today_can_tell_its_end_from_a_killed_proxy_s(
    #[case] path: &str,
    #[case] length: usize,
) {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let (mut client, conn) = begun(&mut host, &proxy, path, length).await;
        let head = client.head().await.expect("an answer");
        assert!(head.contains("Transfer-Encoding: chunked\r\n"), "{head}");
        assert!(!head.contains("Connection: close"), "{head}");
        drop(conn);
        client.until("0\r\n\r\n").await;
        client.send(&request("/pure/a", "two", "")).await;
        host.conn().await.answer("next").await;
        client.until("next").await;
    });
}

/// A client that knows no chunks sees the end of its connection: in order, or a reset. `hosts.rs` has the same of
/// what is no stream.
#[rstest]
fn an_old_client_sees_how_its_stream_ended(#[values(true, false)] reset: bool) {
    story(async {
        let mut host = Host::new("h1", "s").await;
        let proxy = Proxy::new(&[&host]).await;
        let mut client = proxy.client().await;
        client
            .send(&request("/live/a", "one", "").replace("HTTP/1.1", "HTTP/1.0"))
            .await;
        let mut conn = host.conn().await;
        let body = body(LARGE);
        let play = async {
            conn.reply(&format!("200 OK\r\n{SEAL}"), &body).await;
            conn
        };
        let (seen, conn) = tokio::join!(client.until(&body), play);
        assert!(!seen.contains("Transfer-Encoding"));
        if reset {
            conn.reset();
        } else {
            drop(conn);
        }
        assert_eq!(client.ends_in_order().await, !reset);
    });
}
