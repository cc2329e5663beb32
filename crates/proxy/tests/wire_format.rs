//! Wire format: the exact bytes of heads and local replies must match those recorded with the previous release.

mod common;
use common::*;

/// Heads and local replies recorded with the previous release, each under a title.
const RECORDED: &str = include_str!("fixtures/wire_format.txt");

/// Transcript of heads, in which values that change from run to run are replaced by placeholders.
#[derive(Default)]
struct Transcript(String);

impl Transcript {
    fn add(&mut self, title: &str, text: &str) {
        self.0.push_str(&format!("# {title}\n"));
        for line in text.split_inclusive("\r\n") {
            let line = match line.split_once(": ") {
                Some(("Fennelpin-Deadline-Ms", _)) => "Fennelpin-Deadline-Ms: (left)\r\n",
                _ => line,
            };
            self.0.push_str(&line.replace("\r\n", "\\r\\n\n"));
        }
        self.0.push('\n');
    }
}

const REQUEST_FIELDS: &str = "X-Own: a  b\r\nConnection: X-Hop, Fennelpin-Attempt-Id\r\nx-hop: 1\r\nKeep-Alive: timeout=9\r\n\
    TE: trailers\r\nPriority: 3\r\nLast-Event-ID: 7\r\nExpect-Version: v2\r\nFENNELPIN-DEADLINE-MS: 5000\r\n\
    Fennelpin-Expected-Host: other\r\nFennelpin-Prompt-Prefix: 1f:100,2a:7\r\nFennelpin-Token-Counts: 107,20\r\nX-Empty:\r\n";

async fn record_requests(transcript: &mut Transcript) {
    let (mut host, proxy) = Proxy::with_one_host().await;
    for (path, fields) in [
        ("/pure/a?b=c", REQUEST_FIELDS),
        ("/more/a", REQUEST_FIELDS),
        ("/once/a", "Content-Type: text/plain\r\nExpect: x\r\n"),
    ] {
        let mut client = proxy.client().await;
        client.send(&request(path, "one", fields)).await;
        let mut conn = host.accept().await;
        transcript.add(&format!("request {path}"), &conn.read_head().await.unwrap());
    }
    let mut client = proxy.client().await;
    client
        .send("GET http://x.example:80/pure/a HTTP/1.0\r\nFennelpin-Attempt-Id: two\r\n\r\n")
        .await;
    let mut conn = host.accept().await;
    transcript.add("request without a body", &conn.read_head().await.unwrap());
}

/// Exchanges: method, path and HTTP version of a request; status, framing field and body of the host's response.
const RESPONSES: [(&str, &str, &str, &str, &str); 10] = [
    (
        "POST",
        "/pure/a",
        "1.1",
        "200 Fine\r\nContent-Length: 2",
        "ok",
    ),
    (
        "POST",
        "/pure/a",
        "1.0",
        "404 Not Found\r\nContent-Length: 2",
        "no",
    ),
    (
        "POST",
        "/pure/a",
        "1.1",
        "204 No Content\r\nContent-Length: 2",
        "",
    ),
    ("HEAD", "/pure/a", "1.1", "200 OK\r\nContent-Length: 77", ""),
    ("POST", "/once/a", "1.1", "500 \r\nContent-Length: 2", "no"),
    (
        "POST",
        "/once/a",
        "1.1",
        "200 OK\r\nTransfer-Encoding: chunked",
        "2\r\nok\r\n0\r\n\r\n",
    ),
    (
        "POST",
        "/live/a",
        "1.1",
        "200 OK\r\nContent-Length: 2",
        "ok",
    ),
    (
        "POST",
        "/live/a",
        "1.1",
        "200 OK\r\nTransfer-Encoding: chunked",
        "2\r\nok\r\n0\r\n\r\n",
    ),
    (
        "POST",
        "/more/a",
        "1.1",
        "200 OK\r\nContent-Length: 8",
        "id: 1\r\n\n",
    ),
    (
        "POST",
        "/more/a",
        "1.0",
        "200 OK\r\nTransfer-Encoding: chunked",
        "2\r\n\n\n\r\n0\r\n\r\n",
    ),
];

async fn record_responses(transcript: &mut Transcript) {
    let (mut host, proxy) = Proxy::with_one_host().await;
    let fields = "X-Own: a  b\r\nConnection: X-Hop, Fennelpin-Host-Seal\r\nx-hop: 1\r\nKeep-Alive: timeout=5\r\n\
        Fennelpin-Host-Seal: seal\r\nFennelpin-Host-Load: 1,2,3\r\nServer: s";
    for (method, path, version, lines, body) in RESPONSES {
        for connection in ["", "Connection: close\r\n"] {
            let mut client = proxy.client().await;
            let client_request = format!(
                "{method} {path} HTTP/{version}\r\nHost: x.example\r\nFennelpin-Attempt-Id: one\r\n{connection}\r\n"
            );
            client.send(&client_request).await;
            let mut conn = host.accept().await;
            conn.respond(&format!("{lines}\r\n{fields}\r\nConnection: close"), body)
                .await;
            let title = format!("response {method} {path} {version} {lines:?} {connection:?}");
            let received = if connection.is_empty() {
                client.read_head().await.unwrap()
            } else {
                read_to_end(&mut client).await
            };
            transcript.add(&title, &received);
        }
    }
}

async fn read_to_end(client: &mut TestConnection) -> String {
    client.wait_until_closed().await;
    String::from_utf8(client.take_buffered(usize::MAX)).unwrap()
}

async fn record_local_replies(transcript: &mut Transcript) {
    let host = FakeHost::new("h1", "s").await;
    let unconfigured = Proxy::without_configuration().await;
    let without_hosts = Proxy::new(&[]).await;
    let configured = Proxy::new(&[&host]).await;
    let with_id = |path: &str, method: &str| {
        format!("{method} {path} HTTP/1.1\r\nHost: x.example\r\nFennelpin-Attempt-Id: one\r\nConnection: close\r\n\r\n")
    };
    let cases = [
        (
            "no configuration",
            &unconfigured,
            with_id("/pure/a", "POST"),
        ),
        ("no route", &configured, with_id("/none/a", "POST")),
        ("no route for HEAD", &configured, with_id("/none/a", "HEAD")),
        (
            "no id",
            &configured,
            "GET /pure/a HTTP/1.1\r\nHost: x.example\r\nConnection: close\r\n\r\n".to_owned(),
        ),
        (
            "two framings",
            &configured,
            request("/pure/a", "one", "Transfer-Encoding: chunked\r\n"),
        ),
        (
            "large body",
            &configured,
            request("/pure/a", "one", "").replace("Length: 2", "Length: 999999"),
        ),
        (
            "large head",
            &configured,
            request("/pure/a", "one", &format!("X: {}\r\n", "a".repeat(5000))),
        ),
        ("no host", &without_hosts, with_id("/pure/a", "POST")),
    ];
    for (title, proxy, text) in cases {
        let mut client = proxy.client().await;
        client.send(&text).await;
        let reply = read_to_end(&mut client).await;
        transcript.add(&format!("local reply: {title}"), &reply);
    }
    let mut client = configured.client().await;
    client.send(&request("/none/a", "one", "")).await;
    transcript.add(
        "local reply that keeps the connection",
        &client.read_head().await.unwrap(),
    );
}

async fn record_readiness(transcript: &mut Transcript) {
    let host = FakeHost::new("h1", "s").await;
    let unconfigured = Proxy::without_configuration().await;
    let configured = Proxy::new(&[&host]).await;
    for (title, proxy, path) in [
        ("not ready", &unconfigured, "/fennelpin/readiness"),
        ("ready", &configured, "/fennelpin/readiness"),
        ("unknown", &configured, "/fennelpin"),
    ] {
        for connection in ["", "Connection: close\r\n"] {
            let mut client = TestConnection::connect(proxy.readiness_address).await;
            client
                .send(&format!(
                    "GET {path} HTTP/1.1\r\nHost: x\r\n{connection}\r\n"
                ))
                .await;
            transcript.add(
                &format!("readiness: {title}"),
                &client.read_head().await.unwrap(),
            );
        }
    }
}

#[test]
fn heads_and_local_replies_match_the_recorded_release() {
    run_async_test(async {
        let mut transcript = Transcript::default();
        record_requests(&mut transcript).await;
        record_responses(&mut transcript).await;
        record_local_replies(&mut transcript).await;
        record_readiness(&mut transcript).await;
        assert_eq!(transcript.0, RECORDED);
    });
}
