//! Races between two events at the HTTP server, with both orders of each forced. Input that is in a socket before the
//! server runs is available to it at once; the tests wait for events instead of sleeping.

mod support;

use coordinator::counters::Counters;
use coordinator::net::http::{
    self, GatedListener, Incoming, Limits, Request, Response, ResponseFuture, Service,
};
use coordinator::ops::hot_restart::never_restarted;
use socket2::SockRef;
use std::future::Future;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use support::{ms, PATIENCE};
use tokio::sync::{watch, Notify};

/// The counts of requests that the service started, and of those that were dropped without an answer.
#[derive(Default)]
struct ServiceState {
    begun: AtomicUsize,
    dropped: AtomicUsize,
    changed: Notify,
}

/// A service that answers a `GET` at once and never answers a `POST`.
struct Scripted(Arc<ServiceState>);

struct OpenRequest(Arc<ServiceState>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.dropped.fetch_add(1, Ordering::SeqCst);
        self.0.changed.notify_one();
    }
}

impl Service for Scripted {
    fn answer(&self, request: Request) -> ResponseFuture {
        self.0.begun.fetch_add(1, Ordering::SeqCst);
        self.0.changed.notify_one();
        if request.method == "GET" {
            let length = request.body.len();
            return Box::pin(async move { Response::text(200, format!("{length}")) });
        }
        let open = OpenRequest(self.0.clone());
        Box::pin(async move {
            let _open = open;
            std::future::pending().await
        })
    }

    fn error(&self, status: u16, reason: &str) -> Response {
        Response::text(status, reason.to_owned())
    }
}

fn limits() -> Limits {
    Limits {
        max_clients: 8,
        max_connections: 8,
        serve_on: ms(3000),
        answer_within: ms(3300),
        request_timeout_when_full: http::REQUEST_TIMEOUT_WHEN_FULL,
        one_request_per_connection: false,
        restart_role: never_restarted(),
    }
}

/// A server whose listener exists before the server runs, so that clients can connect and leave in the meantime.
struct TestServer {
    runtime: tokio::runtime::Runtime,
    listener: Option<tokio::net::TcpListener>,
    addr: std::net::SocketAddr,
    state: Arc<ServiceState>,
    counters: Counters,
    stop: watch::Sender<bool>,
}

impl TestServer {
    fn new() -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        let listener = runtime
            .block_on(tokio::net::TcpListener::bind("127.0.0.1:0"))
            .unwrap();
        let (addr, listener) = (listener.local_addr().unwrap(), Some(listener));
        let (state, counters, stop) =
            (Arc::default(), Counters::default(), watch::channel(false).0);
        Self {
            runtime,
            listener,
            addr,
            state,
            counters,
            stop,
        }
    }

    fn client(&self) -> TcpStream {
        let stream = TcpStream::connect(self.addr).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream
    }

    /// Runs the server until `scenario` is complete.
    fn serve<T>(&mut self, scenario: impl Future<Output = T>) -> T {
        self.serve_within(limits(), scenario)
    }

    /// Runs the server with these limits until `scenario` is complete.
    fn serve_within<T>(&mut self, limits: Limits, scenario: impl Future<Output = T>) -> T {
        let listener = self.listener.take().expect("served once");
        let incoming = Incoming::Listener(GatedListener {
            listener,
            restart_role: never_restarted(),
        });
        let service = Arc::new(Scripted(self.state.clone()));
        let served = http::serve(
            incoming,
            service,
            limits,
            self.counters.clone(),
            self.stop.subscribe(),
        );
        self.runtime.block_on(async {
            tokio::select! {
                result = async { tokio::time::timeout(PATIENCE, scenario).await.expect("in time") } => result,
                () = served => panic!("it stopped"),
            }
        })
    }
}

impl ServiceState {
    async fn until(&self, is_reached: impl Fn(&Self) -> bool) {
        while !is_reached(self) {
            self.changed.notified().await;
        }
    }
}

async fn ended(counters: &Counters, clients: u64) {
    while counters.get("clients.ended") < clients {
        tokio::time::sleep(ms(1)).await;
    }
}

fn post(body: usize) -> Vec<u8> {
    let head = format!("POST /near HTTP/1.1\r\nHost: x\r\nContent-Length: {body}\r\n\r\n");
    [head.as_bytes(), &vec![b'x'; body]].concat()
}

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Closes,
    ShutsDownSending,
    Resets,
}

const DISCONNECTS: [Disconnect; 3] = [
    Disconnect::Closes,
    Disconnect::ShutsDownSending,
    Disconnect::Resets,
];

fn disconnect(client: TcpStream, how: Disconnect) -> Option<TcpStream> {
    match how {
        Disconnect::Closes => None,
        Disconnect::ShutsDownSending => {
            client.shutdown(Shutdown::Write).unwrap();
            Some(client)
        }
        Disconnect::Resets => {
            SockRef::from(&client).set_linger(Some(ms(0))).unwrap();
            None
        }
    }
}

/// The request and the end of the stream are both in the socket, as after a stall of this process: the query is not
/// started.
#[test]
fn a_client_that_left_before_its_request_is_read_has_nothing_forwarded() {
    for how in DISCONNECTS {
        let mut server = TestServer::new();
        let mut client = server.client();
        client.write_all(&post(10)).unwrap();
        let _kept = disconnect(client, how);
        let counters = server.counters.clone();
        server.serve(ended(&counters, 1));
        assert_eq!(server.state.begun.load(Ordering::SeqCst), 0, "{how:?}");
    }
}

/// The other order: the client leaves after its request was started, and the request is dropped.
#[test]
fn a_client_that_leaves_while_its_request_waits_has_it_dropped() {
    for how in DISCONNECTS {
        let mut server = TestServer::new();
        let mut client = server.client();
        client.write_all(&post(10)).unwrap();
        let state = server.state.clone();
        server.serve(async {
            state.until(|m| m.begun.load(Ordering::SeqCst) == 1).await;
            let _kept = disconnect(client, how);
            state.until(|m| m.dropped.load(Ordering::SeqCst) == 1).await;
        });
    }
}

/// A client sends more input after its request than the server reads, and leaves. The end of its stream comes after the
/// unread input, and must still be detected while the request is being answered.
#[test]
fn a_client_that_leaves_unread_input_behind_is_seen_to_leave() {
    let mut server = TestServer::new();
    let mut client = server.client();
    client
        .write_all(&[post(10), vec![b'x'; 4 * http::INPUT_BUFFER_BYTES]].concat())
        .unwrap();
    let state = server.state.clone();
    server.serve(async {
        state.until(|m| m.begun.load(Ordering::SeqCst) == 1).await;
        drop(client);
        state.until(|m| m.dropped.load(Ordering::SeqCst) == 1).await;
    });
}

/// Pipelined requests of any size are not lost when the server checks for a disconnect.
#[test]
fn requests_sent_ahead_are_answered_in_their_order() {
    let mut server = TestServer::new();
    let mut client = server.client();
    let lengths = [3, 3 * http::INPUT_BUFFER_BYTES, 60_000, 0];
    for n in lengths {
        let head = format!("GET /x HTTP/1.1\r\nHost: x\r\nContent-Length: {n}\r\n\r\n");
        client
            .write_all(&[head.as_bytes(), &vec![b'x'; n]].concat())
            .unwrap();
    }
    let state = server.state.clone();
    let reader = std::thread::spawn(move || {
        let mut text = String::new();
        while text.matches("HTTP/1.1 200").count() < 4 || !text.ends_with("\r\n\r\n0") {
            let mut bytes = [0; 4096];
            let n = client.read(&mut bytes).unwrap();
            text.push_str(std::str::from_utf8(&bytes[..n]).unwrap());
        }
        text
    });
    let text = server.serve(async {
        state.until(|m| m.begun.load(Ordering::SeqCst) == 4).await;
        tokio::task::spawn_blocking(|| reader.join().unwrap())
            .await
            .unwrap()
    });
    let bodies: Vec<&str> = text
        .split("\r\n\r\n")
        .skip(1)
        .map(|b| b.split("HTTP").next().unwrap())
        .collect();
    assert_eq!(bodies, lengths.map(|n| n.to_string()));
}

/// The only slot is taken by a client whose request timeout is over but whose request is in the socket, as after a
/// stall of this process, when another client connects: the first keeps its slot and the other gets a retry response.
#[test]
fn a_client_whose_request_waits_unread_keeps_its_slot() {
    let mut server = TestServer::new();
    let (mut first, mut second) = (server.client(), server.client());
    first.write_all(&post(10)).unwrap();
    second
        .write_all(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
        .unwrap();
    let result = std::thread::spawn(move || {
        let mut text = String::new();
        second.read_to_string(&mut text).unwrap();
        text
    });
    let one_slot = Limits {
        max_clients: 1,
        max_connections: 2,
        request_timeout_when_full: ms(0),
        ..limits()
    };
    let text = server.serve_within(one_slot, async {
        tokio::task::spawn_blocking(|| result.join().unwrap())
            .await
            .unwrap()
    });
    assert!(
        text.starts_with("HTTP/1.1 503") && text.contains("Connection: close"),
        "{text}"
    );
    assert_eq!(
        server.state.begun.load(Ordering::SeqCst),
        1,
        "the first is served"
    );
    assert_eq!(server.counters.get("answered.refused.client_cap"), 1);
    assert_eq!(server.counters.get("clients.made_room"), 0);
}

/// The same race with a first client whose request is incomplete: it is disconnected, and the other is served.
#[test]
fn a_client_whose_request_fails_leaves_its_slot_to_the_next() {
    let mut server = TestServer::new();
    let (mut first, mut second) = (server.client(), server.client());
    first
        .write_all(b"POST /near HTTP/1.1\r\nContent-Length: 5\r\n\r\n12")
        .unwrap();
    second
        .write_all(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
        .unwrap();
    let read = std::thread::spawn(move || {
        let mut start = [0; 12];
        second.read_exact(&mut start).unwrap();
        let mut rest = Vec::new();
        let ended = first.read_to_end(&mut rest).is_ok_and(|length| length == 0);
        (start, ended)
    });
    let one_slot = Limits {
        max_clients: 1,
        max_connections: 2,
        request_timeout_when_full: ms(0),
        ..limits()
    };
    let (start, first_ended) = server.serve_within(one_slot, async {
        tokio::task::spawn_blocking(|| read.join().unwrap())
            .await
            .unwrap()
    });
    assert_eq!(&start, b"HTTP/1.1 200");
    assert!(first_ended);
    assert_eq!(server.counters.get("clients.made_room"), 1);
}
