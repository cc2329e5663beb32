//! A host that breaks at each byte of reading a request and of writing its response, for each kind of route, on new and on
//! reused connections: how many hosts get the request, and what the client gets.

mod common;
use common::*;
use rstest::rstest;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

const BODY: &str = "the host's whole body";
const LAST_EVENT: u64 = 3;

/// Where the first host that hears of the attempt breaks.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Break {
    /// After so many bytes of the request were read.
    Reading(usize),
    /// After so many bytes of the answer were written.
    Answering(usize),
}

/// How its connection ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    InOrder,
    Reset,
}

/// What a connection of a host got of the attempt.
#[derive(Clone, Debug, PartialEq)]
struct Heard {
    bytes: usize,
    whole: bool,
    /// Whether the connection had served a request before.
    used: bool,
}

#[derive(Default)]
struct Stage {
    /// Set while a break is due; the first connection that gets to it takes it.
    due: Option<(Break, End)>,
    /// Whether the attempt under test is out, and not one that opens connections.
    watching: bool,
    heard: Vec<Heard>,
    /// Requests that each host has answered.
    served: [usize; 2],
}

fn is_whole(request: &[u8]) -> bool {
    let text = String::from_utf8_lossy(request);
    text.split_once("\r\n\r\n")
        .is_some_and(|(_, body)| body.len() == 2)
}

fn value<'a>(request: &'a str, name: &str) -> Option<&'a str> {
    request.lines().find_map(|l| {
        l.split_once(": ")
            .filter(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v)
    })
}

/// The whole answer to a request: a body with a length, or a stream in chunks from its place on.
fn answer_to(request: &str) -> String {
    let id = value(request, "fennelpin-attempt-id").unwrap();
    let head =
        format!("HTTP/1.1 200 OK\r\nFennelpin-Attempt-Id: {id}\r\nFennelpin-Host-Seal: seal\r\n");
    if !request.contains("/live/") && !request.contains("/more/") {
        return format!("{head}Content-Length: {}\r\n\r\n{BODY}", BODY.len());
    }
    let from = value(request, "last-event-id").map_or(0, |v| v.parse().unwrap());
    let chunks: String = (from + 1..=LAST_EVENT)
        .map(|n| {
            let event = event(n);
            format!("{:x}\r\n{event}\r\n", event.len())
        })
        .collect();
    format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n")
}

fn end(stream: TcpStream, end: End) {
    if end == End::Reset {
        rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
    }
}

async fn write(stream: &TcpStream, mut bytes: &[u8]) {
    while !bytes.is_empty() {
        stream.writable().await.unwrap();
        match stream.try_write(bytes) {
            Ok(n) => bytes = &bytes[n..],
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

enum Read {
    Some,
    Nothing,
    Ended,
    Breaks(End),
}

/// Reads what has come, and no more than up to a break that is due.
fn read_once(stream: &TcpStream, request: &mut Vec<u8>, stage: &RefCell<Stage>) -> Read {
    let mut stage = stage.borrow_mut();
    let mut some = [0; 4096];
    let mut room = some.len();
    if let Some((Break::Reading(most), how)) = stage.due {
        room = most - request.len();
        if room == 0 {
            stage.due = None;
            return Read::Breaks(how);
        }
    }
    match stream.try_read(&mut some[..room]) {
        Ok(0) => Read::Ended,
        Ok(n) => {
            request.extend_from_slice(&some[..n]);
            Read::Some
        }
        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => Read::Nothing,
        Err(_) => Read::Ended,
    }
}

/// Serves one connection, and breaks where that is due.
async fn serve(stream: TcpStream, host: usize, stage: Rc<RefCell<Stage>>) {
    let mut used = false;
    loop {
        let mut request = Vec::new();
        let mut entry = None;
        while !is_whole(&request) {
            let at_start = used || !request.is_empty();
            if at_start && stream.readable().await.is_err() {
                return;
            }
            match read_once(&stream, &mut request, &stage) {
                Read::Some => {}
                Read::Nothing => {
                    if stream.readable().await.is_err() {
                        return;
                    }
                    continue;
                }
                Read::Ended => return,
                Read::Breaks(how) => return end(stream, how),
            }
            let mut stage = stage.borrow_mut();
            if stage.watching {
                let heard = Heard {
                    bytes: request.len(),
                    whole: is_whole(&request),
                    used,
                };
                let number = *entry.get_or_insert(stage.heard.len());
                stage.heard.truncate(number);
                stage.heard.push(heard);
            }
        }
        let answer = answer_to(&String::from_utf8(request).unwrap());
        let due = stage.borrow_mut().due.take();
        if let Some((Break::Answering(most), how)) = due {
            write(&stream, &answer.as_bytes()[..most.min(answer.len())]).await;
            return end(stream, how);
        }
        write(&stream, answer.as_bytes()).await;
        stage.borrow_mut().served[host] += 1;
        used = true;
    }
}

async fn host(number: usize, stage: &Rc<RefCell<Stage>>) -> balancing::HostInfo {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string().parse().unwrap();
    let stage = stage.clone();
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).unwrap();
            tokio::task::spawn_local(serve(stream, number, stage.clone()));
        }
    });
    host_info(&format!("h{number}"), "s", addr)
}

/// What came of one break.
struct Played {
    heard: Vec<Heard>,
    /// Connections that a byte of the attempt was given to.
    sent: u64,
    answer: Option<Message>,
}

/// Plays one break; what the hosts heard of the attempt, and the client's answer.
async fn play(path: &str, reused: bool, due: Break, how: End) -> Played {
    let stage = Rc::new(RefCell::new(Stage::default()));
    let hosts = vec![host(0, &stage).await, host(1, &stage).await];
    let proxy = Proxy::without_configuration().await;
    proxy.apply_fleet(configuration(1, ROUTES), hosts).await;
    let mut client = proxy.client().await;
    while reused && stage.borrow().served.contains(&0) {
        client.send(&request("/pure/a", "zero", "")).await;
        assert_eq!(client.read_message().await.unwrap().status(), 200);
    }
    {
        let mut stage = stage.borrow_mut();
        stage.due = Some((due, how));
        stage.watching = true;
    }
    let before = proxy.counters.get().attempts;
    client.send(&request(path, "one", "")).await;
    let answer = client.read_message().await;
    let heard = stage.borrow().heard.clone();
    Played {
        heard,
        sent: proxy.counters.get().attempts - before,
        answer,
    }
}

fn check(
    path: &str,
    case: &str,
    Played {
        heard,
        sent,
        answer,
    }: Played,
) {
    let idempotent = matches!(path, "/pure/a" | "/more/a");
    let most = if idempotent { 3 } else { 1 };
    assert!(
        heard.len() <= most && sent <= most as u64,
        "{case}: {sent} sent, {heard:?}"
    );
    let answer = answer.unwrap_or_else(|| panic!("{case}: no answer"));
    let all = events(1..=LAST_EVENT);
    let right = match path {
        "/pure/a" | "/once/a" => answer.body == BODY,
        _ => answer.body == all,
    };
    let good = answer.status() == 200 && answer.complete && right;
    match path {
        // It may run again: some host gives the whole answer.
        "/pure/a" | "/more/a" => assert!(good, "{case}: {answer:?}"),
        "/once/a" => assert!(
            good || (answer.status() == 502 && answer.complete),
            "{case}: {answer:?}"
        ),
        _ => {
            let cut = answer.status() == 200 && !answer.complete && all.starts_with(&answer.body);
            assert!(good || cut || answer.status() == 502, "{case}: {answer:?}");
        }
    }
    // Whoever ran it has been heard, or the client was promised nothing.
    if answer.status() == 200 {
        assert!(heard.iter().any(|h| h.whole), "{case}: {heard:?}");
    }
}

#[rstest]
fn connection_that_breaks_at_any_byte_runs_a_request_at_most_once(
    #[values("/pure/a", "/once/a", "/live/a", "/more/a")] path: &str,
    #[values(false, true)] reused: bool,
) {
    let mut played = 0;
    let mut once = |due: Break, how: End| {
        let case = format!("{path} {due:?} {how:?} reused {reused}");
        let mut came = None;
        run_async_test(async { came = Some(play(path, reused, due, how).await) });
        let came = came.unwrap();
        if let (true, Break::Answering(_)) = (reused, due) {
            assert!(came.heard[0].used, "{case}: not on a used connection");
        }
        played += 1;
        let bytes = came.heard.first().map_or(0, |h| h.bytes);
        check(path, &case, came);
        bytes
    };
    let request = once(Break::Answering(0), End::InOrder);
    for how in [End::InOrder, End::Reset] {
        for n in 0..request {
            once(Break::Reading(n), how);
        }
        let longest = answer_to(&format!("{path}\nfennelpin-attempt-id: one\n")).len();
        for n in 0..=longest {
            once(Break::Answering(n), how);
        }
    }
    println!("{played} breaks");
}
