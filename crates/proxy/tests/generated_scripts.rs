//! Generated scripts: what hosts send around a response, and what clients send on one connection.

mod common;
use common::*;
use proptest::prelude::*;

/// Something that a host sends when a response is due.
#[derive(Clone, Debug)]
enum HostOutput {
    /// A response to an earlier attempt.
    Stray {
        status: u16,
        chunked: bool,
    },
    Interim {
        named: bool,
    },
    /// A refusal that names no attempt.
    WithoutId,
    Garbage(Vec<u8>),
    /// The attempt's own response.
    Valid {
        chunked: bool,
    },
    /// The first bytes of the attempt's own response, and the end.
    Truncated(usize),
}

fn host_output() -> impl Strategy<Value = HostOutput> {
    let status = prop_oneof![Just(200), Just(404), Just(500), Just(503)];
    prop_oneof![
        2 => (status, any::<bool>()).prop_map(|(status, chunked)| HostOutput::Stray { status, chunked }),
        1 => any::<bool>().prop_map(|named| HostOutput::Interim { named }),
        1 => Just(HostOutput::WithoutId),
        1 => prop::collection::vec(any::<u8>(), 1..40).prop_map(HostOutput::Garbage),
        4 => any::<bool>().prop_map(|chunked| HostOutput::Valid { chunked }),
        1 => (0usize..100).prop_map(HostOutput::Truncated),
    ]
}

fn body_of(id: &str) -> String {
    format!("the answer to {id}")
}

fn response_text(status: u16, id: &str, chunked: bool) -> String {
    let body = body_of(id);
    let head = format!(
        "HTTP/1.1 {status} X\r\nFennelpin-Attempt-Id: {id}\r\nFennelpin-Host-Seal: seal\r\n"
    );
    if chunked {
        format!(
            "{head}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
            body.len()
        )
    } else {
        format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
    }
}

/// The bytes of a script, and whether the connection ends behind them.
fn script_bytes(script: &[HostOutput], id: &str) -> (Vec<u8>, bool) {
    let mut out = Vec::new();
    for sends in script {
        match sends {
            HostOutput::Stray { status, chunked } => {
                out.extend(response_text(*status, "earlier", *chunked).bytes());
            }
            HostOutput::Interim { named: true } => {
                out.extend(
                    format!("HTTP/1.1 103 Hints\r\nFennelpin-Attempt-Id: {id}\r\n\r\n").bytes(),
                );
            }
            HostOutput::Interim { named: false } => out.extend(b"HTTP/1.1 100 Continue\r\n\r\n"),
            HostOutput::WithoutId => {
                out.extend(b"HTTP/1.1 503 Full\r\nFennelpin-Not-Executed: full\r\nContent-Length: 0\r\n\r\n");
            }
            HostOutput::Garbage(bytes) => out.extend(bytes),
            HostOutput::Valid { chunked } => out.extend(response_text(200, id, *chunked).bytes()),
            HostOutput::Truncated(most) => {
                let own = response_text(200, id, false);
                out.extend(own.bytes().take((*most).min(own.len() - 1)));
                return (out, true);
            }
        }
    }
    (out, false)
}

/// A host that responds to the second request of the test by the script, and to all others at once and correctly. It
/// ends a connection that it has nothing more to say on.
async fn play_script(
    mut host: FakeHost,
    script: Vec<HostOutput>,
    ran: tokio::sync::mpsc::UnboundedSender<String>,
) {
    let mut script = Some(script);
    let mut answered = 0;
    loop {
        let mut conn = host.accept().await;
        while let Some(asked) = conn.read_message().await {
            let id = asked.field("fennelpin-attempt-id").unwrap().to_owned();
            let _ = ran.send(id.clone());
            answered += 1;
            if answered != 2 {
                conn.send(&response_text(200, &id, false)).await;
                continue;
            }
            let (bytes, _) = script_bytes(&script.take().unwrap(), &id);
            use tokio::io::AsyncWriteExt;
            let _ = conn.stream.write_all(&bytes).await;
            break;
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_host_output_never_reaches_the_wrong_client(
        script in prop::collection::vec(host_output(), 0..6),
        path in prop_oneof![Just("/pure/a"), Just("/once/a")],
    ) {
        run_async_test(async {
            let host = FakeHost::new("h1", "s").await;
            let proxy = Proxy::new(&[&host]).await;
            let (ran, mut runs) = tokio::sync::mpsc::unbounded_channel();
            tokio::task::spawn_local(play_script(host, script.clone(), ran));
            for id in ["first", "second", "third", "fourth"] {
                let mut client = proxy.client().await;
                client.send(&request(path, id, "")).await;
                let response = client.read_message().await.expect("an answer");
                assert!(response.complete, "{script:?}: {response:?}");
                match response.status() {
                    200 => assert_eq!(response.body, body_of(id), "{script:?}"),
                    status => assert!(id == "second" && [502, 503].contains(&status), "{script:?}: {id} {response:?}"),
                }
                if id != "second" {
                    assert_eq!(response.field("fennelpin-attempt-id"), Some(id));
                }
            }
            drop(proxy);
            let mut seen = Vec::new();
            while let Ok(id) = runs.try_recv() {
                seen.push(id);
            }
            assert_eq!(seen, ["first", "second", "third", "fourth"], "each once, in order");
        });
    }
}

/// A request as a client sends it.
#[derive(Clone, Debug)]
struct ClientInput {
    body: Vec<u8>,
    /// Sizes of its chunks; with a length where there are none.
    chunks: Vec<usize>,
}

fn client_input() -> impl Strategy<Value = ClientInput> {
    let body = prop::collection::vec(
        prop_oneof![
            Just(b'\r'),
            Just(b'\n'),
            Just(b'0'),
            Just(b'G'),
            any::<u8>()
        ],
        0..60,
    );
    (body, prop::collection::vec(1usize..20, 0..4))
        .prop_map(|(body, chunks)| ClientInput { body, chunks })
}

/// What no request is: nothing that follows may be run.
fn malformed_request() -> impl Strategy<Value = String> {
    let head = |fields: &str| {
        format!(
            "POST /pure/a HTTP/1.1\r\nHost: x.example\r\nFennelpin-Attempt-Id: bad\r\n{fields}\r\n"
        )
    };
    prop_oneof![
        Just(head("Content-Length: 2\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n"),
        Just(head("Content-Length: 2\r\nContent-Length: 3\r\n") + "abc"),
        Just(head("Content-Length: 0\r\n Folded: 1\r\n")),
        Just(head("Transfer-Encoding: chunked\r\n") + "2\nab\r\n0\r\n\r\n"),
        Just(head("Transfer-Encoding: chunked\r\n") + "2;a\nb\r\nab\r\n0\r\n\r\n"),
        Just(head("Transfer-Encoding: chunked\r\n") + "\r\n\r\n"),
        Just(head("Transfer-Encoding: chunked\r\n") + "0x2\r\nab\r\n0\r\n\r\n"),
        Just(head("Transfer-Encoding: chunked\r\n") + "2\r\nabc\r\n0\r\n\r\n"),
        Just(head("Transfer-Encoding: xchunked\r\n") + "0\r\n\r\n"),
        Just(head("Transfer-Encoding: chunked, identity\r\n") + "0\r\n\r\n"),
        Just(head("").replace("Host: x.example\r\n", "Host: x.example\nX: y\r\n")),
        Just(head("Content-Length : 5\r\n") + "hello"),
    ]
}

fn input_bytes(asks: &ClientInput, id: usize) -> Vec<u8> {
    let mut out =
        format!("POST /once/a HTTP/1.1\r\nHost: x.example\r\nFennelpin-Attempt-Id: {id}\r\n")
            .into_bytes();
    if asks.chunks.is_empty() {
        out.extend(format!("Content-Length: {}\r\n\r\n", asks.body.len()).bytes());
        out.extend(&asks.body);
        return out;
    }
    out.extend(b"Transfer-Encoding: chunked\r\n\r\n");
    let mut rest = &asks.body[..];
    let mut sizes = asks.chunks.iter().cycle();
    while !rest.is_empty() {
        let (now, later) = rest.split_at((*sizes.next().unwrap()).min(rest.len()));
        out.extend(format!("{:x}\r\n", now.len()).bytes());
        out.extend(now);
        out.extend(b"\r\n");
        rest = later;
    }
    out.extend(b"0\r\n\r\n");
    out
}

/// A host that reads requests byte by byte and tells what it ran.
async fn record_requests(
    mut host: FakeHost,
    ran: tokio::sync::mpsc::UnboundedSender<(String, Vec<u8>)>,
) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    loop {
        let mut conn = host.accept().await;
        let ran = ran.clone();
        tokio::task::spawn_local(async move {
            while let Some(head) = conn.read_head().await {
                let field = |name: &str| {
                    let value = head.lines().find_map(|l| l.strip_prefix(name)).unwrap();
                    value.trim().to_owned()
                };
                let id = field("Fennelpin-Attempt-Id:");
                let mut body = vec![0; field("Content-Length:").parse().unwrap()];
                let held = conn.take_buffered(body.len());
                body[..held.len()].copy_from_slice(&held);
                if conn
                    .stream
                    .read_exact(&mut body[held.len()..])
                    .await
                    .is_err()
                {
                    return;
                }
                let _ = ran.send((id.clone(), body));
                if conn
                    .stream
                    .write_all(response_text(200, &id, false).as_bytes())
                    .await
                    .is_err()
                {
                    return;
                }
            }
        });
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_pipelined_input_runs_only_valid_requests(
        good in prop::collection::vec(client_input(), 0..5),
        bad in prop::option::of(malformed_request()),
        cuts in prop::collection::vec(1usize..90, 1..12),
    ) {
        run_async_test(async {
            let host = FakeHost::new("h1", "s").await;
            let proxy = Proxy::new(&[&host]).await;
            let (ran, mut runs) = tokio::sync::mpsc::unbounded_channel();
            tokio::task::spawn_local(record_requests(host, ran));
            let mut all: Vec<u8> = good.iter().enumerate().flat_map(|(id, asks)| input_bytes(asks, id)).collect();
            if let Some(bad) = &bad {
                all.extend(bad.bytes());
                // Behind what can't be read nothing is a request.
                all.extend(input_bytes(&ClientInput { body: b"hidden".to_vec(), chunks: vec![] }, 99));
            }
            let mut client = proxy.client().await;
            let mut rest = &all[..];
            let mut sizes = cuts.iter().cycle();
            while !rest.is_empty() {
                let (now, later) = rest.split_at((*sizes.next().unwrap()).min(rest.len()));
                use tokio::io::AsyncWriteExt;
                if client.stream.write_all(now).await.is_err() {
                    break;
                }
                tokio::task::yield_now().await;
                rest = later;
            }
            for id in 0..good.len() {
                let response = client.read_message().await.expect("an answer");
                assert_eq!((response.status(), response.body), (200, body_of(&id.to_string())));
            }
            if bad.is_some() {
                let response = client.read_message().await.expect("an answer");
                assert_eq!((response.status(), response.field("connection")), (400, Some("close")));
                assert_eq!(client.read_message().await, None);
            }
            let mut seen = Vec::new();
            while let Ok(run) = runs.try_recv() {
                seen.push(run);
            }
            let sent: Vec<_> =
                good.iter().enumerate().map(|(id, asks)| (id.to_string(), asks.body.clone())).collect();
            assert_eq!(seen, sent, "each once, with its body");
        });
    }
}
