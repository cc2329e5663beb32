//! Tests of a host that closes its connection at each byte of reading a request and of writing its response, for each
//! kind of route, on new and on reused connections. They check how many hosts receive the request and what the client
//! gets.

mod common;
use common::*;
use rstest::rstest;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

const BODY: &str = "the host's whole body";
const LAST_EVENT_ID: u64 = 3;

/// Where the first host that receives the attempt closes its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum BreakPoint {
    /// After this many bytes of the request were read.
    DuringRequest(usize),
    /// After this many bytes of the response were written.
    DuringResponse(usize),
}

/// How the host closes its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CloseKind {
    Orderly,
    Reset,
}

/// The part of the attempt that one connection of a host received.
#[derive(Clone, Debug, PartialEq)]
struct ReceivedRequest {
    byte_count: usize,
    complete: bool,
    /// Whether the connection had carried a request before.
    reused_connection: bool,
}

#[derive(Default)]
struct Scenario {
    /// The break to perform; taken by the first connection that reaches it.
    pending_break: Option<(BreakPoint, CloseKind)>,
    /// Whether requests are recorded: true for the attempt under test, false for those that only open connections.
    recording_attempt: bool,
    received: Vec<ReceivedRequest>,
    /// Number of requests that each host has responded to.
    served: [usize; 2],
}

fn is_complete(request: &[u8]) -> bool {
    let text = String::from_utf8_lossy(request);
    text.split_once("\r\n\r\n")
        .is_some_and(|(_, body)| body.len() == 2)
}

fn field_value<'a>(request: &'a str, name: &str) -> Option<&'a str> {
    request.lines().find_map(|l| {
        l.split_once(": ")
            .filter(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v)
    })
}

/// Builds the complete response to a request: a body with a length, or a chunked stream that starts after the event in
/// `Last-Event-Id`.
fn response_to(request: &str) -> String {
    let id = field_value(request, "fennelpin-attempt-id").unwrap();
    let head =
        format!("HTTP/1.1 200 OK\r\nFennelpin-Attempt-Id: {id}\r\nFennelpin-Host-Seal: seal\r\n");
    if !request.contains("/live/") && !request.contains("/more/") {
        return format!("{head}Content-Length: {}\r\n\r\n{BODY}", BODY.len());
    }
    let from = field_value(request, "last-event-id").map_or(0, |v| v.parse().unwrap());
    let chunks: String = (from + 1..=LAST_EVENT_ID)
        .map(|n| {
            let event = event(n);
            format!("{:x}\r\n{event}\r\n", event.len())
        })
        .collect();
    format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n")
}

fn close(stream: TcpStream, kind: CloseKind) {
    if kind == CloseKind::Reset {
        rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
    }
}

async fn write_all_bytes(stream: &TcpStream, mut bytes: &[u8]) {
    while !bytes.is_empty() {
        stream.writable().await.unwrap();
        match stream.try_write(bytes) {
            Ok(n) => bytes = &bytes[n..],
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

enum ReadResult {
    Read,
    WouldBlock,
    PeerClosed,
    BreakNow(CloseKind),
}

/// Reads the available bytes, but not beyond the next break.
fn read_once(
    stream: &TcpStream,
    request: &mut Vec<u8>,
    scenario: &RefCell<Scenario>,
) -> ReadResult {
    let mut scenario = scenario.borrow_mut();
    let mut buffer = [0; 4096];
    let mut readable_bytes = buffer.len();
    if let Some((BreakPoint::DuringRequest(limit), close_kind)) = scenario.pending_break {
        readable_bytes = limit - request.len();
        if readable_bytes == 0 {
            scenario.pending_break = None;
            return ReadResult::BreakNow(close_kind);
        }
    }
    match stream.try_read(&mut buffer[..readable_bytes]) {
        Ok(0) => ReadResult::PeerClosed,
        Ok(n) => {
            request.extend_from_slice(&buffer[..n]);
            ReadResult::Read
        }
        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => ReadResult::WouldBlock,
        Err(_) => ReadResult::PeerClosed,
    }
}

/// Serves requests on one connection until the break point, where it closes the connection.
async fn serve_as_host(stream: TcpStream, host: usize, scenario: Rc<RefCell<Scenario>>) {
    let mut reused_connection = false;
    loop {
        let mut request = Vec::new();
        let mut entry_index = None;
        while !is_complete(&request) {
            let at_start = reused_connection || !request.is_empty();
            if at_start && stream.readable().await.is_err() {
                return;
            }
            match read_once(&stream, &mut request, &scenario) {
                ReadResult::Read => {}
                ReadResult::WouldBlock => {
                    if stream.readable().await.is_err() {
                        return;
                    }
                    continue;
                }
                ReadResult::PeerClosed => return,
                ReadResult::BreakNow(close_kind) => return close(stream, close_kind),
            }
            let mut scenario = scenario.borrow_mut();
            if scenario.recording_attempt {
                let received = ReceivedRequest {
                    byte_count: request.len(),
                    complete: is_complete(&request),
                    reused_connection,
                };
                let number = *entry_index.get_or_insert(scenario.received.len());
                scenario.received.truncate(number);
                scenario.received.push(received);
            }
        }
        let response = response_to(&String::from_utf8(request).unwrap());
        let pending_break = scenario.borrow_mut().pending_break.take();
        if let Some((BreakPoint::DuringResponse(limit), close_kind)) = pending_break {
            write_all_bytes(&stream, &response.as_bytes()[..limit.min(response.len())]).await;
            return close(stream, close_kind);
        }
        write_all_bytes(&stream, response.as_bytes()).await;
        scenario.borrow_mut().served[host] += 1;
        reused_connection = true;
    }
}

async fn start_host(number: usize, scenario: &Rc<RefCell<Scenario>>) -> balancing::HostInfo {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string().parse().unwrap();
    let scenario = scenario.clone();
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).unwrap();
            tokio::task::spawn_local(serve_as_host(stream, number, scenario.clone()));
        }
    });
    host_info(&format!("h{number}"), "s", addr)
}

/// The result of a request whose first host breaks.
struct BreakResult {
    received: Vec<ReceivedRequest>,
    /// Number of connections on which at least one byte of the attempt was sent.
    sent_count: u64,
    response: Option<Message>,
}

/// Sends a request to a proxy whose first host breaks. Returns what the hosts received and the client's response.
async fn run_break(
    path: &str,
    reused: bool,
    break_point: BreakPoint,
    close_kind: CloseKind,
) -> BreakResult {
    let scenario = Rc::new(RefCell::new(Scenario::default()));
    let hosts = vec![
        start_host(0, &scenario).await,
        start_host(1, &scenario).await,
    ];
    let proxy = Proxy::without_configuration().await;
    proxy.apply_fleet(configuration(1, ROUTES), hosts).await;
    let mut client = proxy.client().await;
    while reused && scenario.borrow().served.contains(&0) {
        client.send(&request("/pure/a", "zero", "")).await;
        assert_eq!(client.read_message().await.unwrap().status(), 200);
    }
    {
        let mut scenario = scenario.borrow_mut();
        scenario.pending_break = Some((break_point, close_kind));
        scenario.recording_attempt = true;
    }
    let before = proxy.counters.get().attempts;
    client.send(&request(path, "one", "")).await;
    let response = client.read_message().await;
    let received = scenario.borrow().received.clone();
    BreakResult {
        received,
        sent_count: proxy.counters.get().attempts - before,
        response,
    }
}

fn assert_break_is_safe(
    path: &str,
    case: &str,
    BreakResult {
        received,
        sent_count,
        response,
    }: BreakResult,
) {
    let idempotent = matches!(path, "/pure/a" | "/more/a");
    let limit = if idempotent { 3 } else { 1 };
    assert!(
        received.len() <= limit && sent_count <= limit as u64,
        "{case}: {sent_count} sent, {received:?}"
    );
    let response = response.unwrap_or_else(|| panic!("{case}: no response"));
    let all = events(1..=LAST_EVENT_ID);
    let has_expected_body = match path {
        "/pure/a" | "/once/a" => response.body == BODY,
        _ => response.body == all,
    };
    let complete_response = response.status() == 200 && response.complete && has_expected_body;
    match path {
        // The request is idempotent, so another host gives the complete response.
        "/pure/a" | "/more/a" => assert!(complete_response, "{case}: {response:?}"),
        "/once/a" => assert!(
            complete_response || (response.status() == 502 && response.complete),
            "{case}: {response:?}"
        ),
        _ => {
            let is_truncated =
                response.status() == 200 && !response.complete && all.starts_with(&response.body);
            assert!(
                complete_response || is_truncated || response.status() == 502,
                "{case}: {response:?}"
            );
        }
    }
    // A success requires that some host received the complete request.
    if response.status() == 200 {
        assert!(received.iter().any(|h| h.complete), "{case}: {received:?}");
    }
}

#[rstest]
fn connection_that_breaks_at_any_byte_runs_a_request_at_most_once(
    #[values("/pure/a", "/once/a", "/live/a", "/more/a")] path: &str,
    #[values(false, true)] reused: bool,
) {
    let mut break_count = 0;
    let mut check_break = |break_point: BreakPoint, kind: CloseKind| {
        let case = format!("{path} {break_point:?} {kind:?} reused {reused}");
        let mut result = None;
        run_async_test(async { result = Some(run_break(path, reused, break_point, kind).await) });
        let result = result.unwrap();
        if let (true, BreakPoint::DuringResponse(_)) = (reused, break_point) {
            assert!(
                result.received[0].reused_connection,
                "{case}: not on a reused connection"
            );
        }
        break_count += 1;
        let received_bytes = result.received.first().map_or(0, |h| h.byte_count);
        assert_break_is_safe(path, &case, result);
        received_bytes
    };
    let request_bytes = check_break(BreakPoint::DuringResponse(0), CloseKind::Orderly);
    for kind in [CloseKind::Orderly, CloseKind::Reset] {
        for n in 0..request_bytes {
            check_break(BreakPoint::DuringRequest(n), kind);
        }
        let response_bytes = response_to(&format!("{path}\nfennelpin-attempt-id: one\n")).len();
        for n in 0..=response_bytes {
            check_break(BreakPoint::DuringResponse(n), kind);
        }
    }
    println!("{break_count} breaks");
}
