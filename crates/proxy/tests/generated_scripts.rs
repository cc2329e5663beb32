//! Property tests with generated input: arbitrary output of hosts around a response, and pipelined input of clients.

mod common;
use common::*;
use proptest::prelude::*;

/// Piece of output that a host sends when a response is due.
#[derive(Clone, Debug)]
enum HostOutput {
    /// A response to an earlier attempt.
    Stray {
        status: u16,
        chunked: bool,
    },
    /// An interim response, with or without the attempt's id.
    Interim {
        with_id: bool,
    },
    /// A refusal without an attempt id.
    WithoutId,
    Garbage(Vec<u8>),
    /// The attempt's own response.
    Valid {
        chunked: bool,
    },
    /// At most this number of bytes of the attempt's own response, followed by the end of the connection.
    Truncated(usize),
}

fn host_output() -> impl Strategy<Value = HostOutput> {
    let status = prop_oneof![Just(200), Just(404), Just(500), Just(503)];
    prop_oneof![
        2 => (status, any::<bool>()).prop_map(|(status, chunked)| HostOutput::Stray { status, chunked }),
        1 => any::<bool>().prop_map(|with_id| HostOutput::Interim { with_id }),
        1 => Just(HostOutput::WithoutId),
        1 => prop::collection::vec(any::<u8>(), 1..40).prop_map(HostOutput::Garbage),
        4 => any::<bool>().prop_map(|chunked| HostOutput::Valid { chunked }),
        1 => (0usize..100).prop_map(HostOutput::Truncated),
    ]
}

fn response_body(id: &str) -> String {
    format!("the answer to {id}")
}

fn response_text(status: u16, id: &str, chunked: bool) -> String {
    let body = response_body(id);
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

/// Returns the bytes of a script, and whether the connection ends after them.
fn script_bytes(script: &[HostOutput], id: &str) -> (Vec<u8>, bool) {
    let mut out = Vec::new();
    for output in script {
        match output {
            HostOutput::Stray { status, chunked } => {
                out.extend(response_text(*status, "earlier", *chunked).bytes());
            }
            HostOutput::Interim { with_id: true } => {
                out.extend(
                    format!("HTTP/1.1 103 Hints\r\nFennelpin-Attempt-Id: {id}\r\n\r\n").bytes(),
                );
            }
            HostOutput::Interim { with_id: false } => out.extend(b"HTTP/1.1 100 Continue\r\n\r\n"),
            HostOutput::WithoutId => {
                out.extend(b"HTTP/1.1 503 Full\r\nFennelpin-Not-Executed: full\r\nContent-Length: 0\r\n\r\n");
            }
            HostOutput::Garbage(bytes) => out.extend(bytes),
            HostOutput::Valid { chunked } => out.extend(response_text(200, id, *chunked).bytes()),
            HostOutput::Truncated(max_bytes) => {
                let response = response_text(200, id, false);
                out.extend(response.bytes().take((*max_bytes).min(response.len() - 1)));
                return (out, true);
            }
        }
    }
    (out, false)
}

/// Runs a host that responds to the second request of the test with the script's output, after which it closes the
/// connection, and to all other requests immediately and correctly. Sends the ids of the requests that it ran to `ran`.
async fn run_scripted_host(
    mut host: FakeHost,
    script: Vec<HostOutput>,
    ran: tokio::sync::mpsc::UnboundedSender<String>,
) {
    let mut script = Some(script);
    let mut request_count = 0;
    loop {
        let mut conn = host.accept().await;
        while let Some(request) = conn.read_message().await {
            let id = request.field("fennelpin-attempt-id").unwrap().to_owned();
            let _ = ran.send(id.clone());
            request_count += 1;
            if request_count != 2 {
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
            tokio::task::spawn_local(run_scripted_host(host, script.clone(), ran));
            for id in ["first", "second", "third", "fourth"] {
                let mut client = proxy.client().await;
                client.send(&request(path, id, "")).await;
                let response = client.read_message().await.expect("a response");
                assert!(response.complete, "{script:?}: {response:?}");
                match response.status() {
                    200 => assert_eq!(response.body, response_body(id), "{script:?}"),
                    status => assert!(id == "second" && [502, 503].contains(&status), "{script:?}: {id} {response:?}"),
                }
                if id != "second" {
                    assert_eq!(response.field("fennelpin-attempt-id"), Some(id));
                }
            }
            drop(proxy);
            let mut run_ids = Vec::new();
            while let Ok(id) = runs.try_recv() {
                run_ids.push(id);
            }
            assert_eq!(run_ids, ["first", "second", "third", "fourth"], "each request is run once, in order");
        });
    }
}

/// Valid request that a client sends.
#[derive(Clone, Debug)]
struct ClientInput {
    body: Vec<u8>,
    /// Sizes of the body's chunks, used in turn; if empty, the body is sent with `Content-Length`.
    chunk_sizes: Vec<usize>,
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
        .prop_map(|(body, chunk_sizes)| ClientInput { body, chunk_sizes })
}

/// Generates malformed requests. Nothing that follows one on the connection may be run.
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

fn request_bytes(input: &ClientInput, id: usize) -> Vec<u8> {
    let mut out =
        format!("POST /once/a HTTP/1.1\r\nHost: x.example\r\nFennelpin-Attempt-Id: {id}\r\n")
            .into_bytes();
    if input.chunk_sizes.is_empty() {
        out.extend(format!("Content-Length: {}\r\n\r\n", input.body.len()).bytes());
        out.extend(&input.body);
        return out;
    }
    out.extend(b"Transfer-Encoding: chunked\r\n\r\n");
    let mut rest = &input.body[..];
    let mut sizes = input.chunk_sizes.iter().cycle();
    while !rest.is_empty() {
        let (chunk, remaining) = rest.split_at((*sizes.next().unwrap()).min(rest.len()));
        out.extend(format!("{:x}\r\n", chunk.len()).bytes());
        out.extend(chunk);
        out.extend(b"\r\n");
        rest = remaining;
    }
    out.extend(b"0\r\n\r\n");
    out
}

/// Runs a host that parses requests without a parser of its own, and sends the id and body of each request that it ran
/// to `ran`.
async fn run_recording_host(
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
                    let value = head
                        .lines()
                        .find_map(|line| line.strip_prefix(name))
                        .unwrap();
                    value.trim().to_owned()
                };
                let id = field("Fennelpin-Attempt-Id:");
                let mut body = vec![0; field("Content-Length:").parse().unwrap()];
                let buffered = conn.take_buffered(body.len());
                body[..buffered.len()].copy_from_slice(&buffered);
                if conn
                    .stream
                    .read_exact(&mut body[buffered.len()..])
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
        valid_inputs in prop::collection::vec(client_input(), 0..5),
        malformed in prop::option::of(malformed_request()),
        piece_sizes in prop::collection::vec(1usize..90, 1..12),
    ) {
        run_async_test(async {
            let host = FakeHost::new("h1", "s").await;
            let proxy = Proxy::new(&[&host]).await;
            let (ran, mut runs) = tokio::sync::mpsc::unbounded_channel();
            tokio::task::spawn_local(run_recording_host(host, ran));
            let mut client_bytes: Vec<u8> = valid_inputs.iter().enumerate().flat_map(|(id, input)| request_bytes(input, id)).collect();
            if let Some(malformed) = &malformed {
                client_bytes.extend(malformed.bytes());
                // Nothing after a malformed request may be run.
                client_bytes.extend(request_bytes(&ClientInput { body: b"hidden".to_vec(), chunk_sizes: vec![] }, 99));
            }
            let mut client = proxy.client().await;
            let mut rest = &client_bytes[..];
            let mut sizes = piece_sizes.iter().cycle();
            while !rest.is_empty() {
                let (piece, remaining) = rest.split_at((*sizes.next().unwrap()).min(rest.len()));
                use tokio::io::AsyncWriteExt;
                if client.stream.write_all(piece).await.is_err() {
                    break;
                }
                tokio::task::yield_now().await;
                rest = remaining;
            }
            for id in 0..valid_inputs.len() {
                let response = client.read_message().await.expect("a response");
                assert_eq!((response.status(), response.body), (200, response_body(&id.to_string())));
            }
            if malformed.is_some() {
                let response = client.read_message().await.expect("a response");
                assert_eq!((response.status(), response.field("connection")), (400, Some("close")));
                assert_eq!(client.read_message().await, None);
            }
            let mut run_requests = Vec::new();
            while let Ok(run) = runs.try_recv() {
                run_requests.push(run);
            }
            let sent: Vec<_> =
                valid_inputs.iter().enumerate().map(|(id, input)| (id.to_string(), input.body.clone())).collect();
            assert_eq!(run_requests, sent, "each valid request is run once, with its body");
        });
    }
}
