//! Where two events cross at the clients' door: both orders of each, forced. What stands in the socket before
//! the server runs comes to it at once; what it waits for is watched, not slept for.

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

/// What the service met: requests begun, and those that were dropped unanswered.
#[derive(Default)]
struct Met {
    begun: AtomicUsize,
    dropped: AtomicUsize,
    changed: Notify,
}

/// Answers a `GET` at once and a `POST` never.
struct Scripted(Arc<Met>);

struct Open(Arc<Met>);

impl Drop for Open {
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
        let open = Open(self.0.clone());
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

/// A server whose listener is there before it runs: clients come and go meanwhile.
struct Door {
    runtime: tokio::runtime::Runtime,
    listener: Option<tokio::net::TcpListener>,
    addr: std::net::SocketAddr,
    met: Arc<Met>,
    counters: Counters,
    stop: watch::Sender<bool>,
}

impl Door {
    fn new() -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        let listener = runtime
            .block_on(tokio::net::TcpListener::bind("127.0.0.1:0"))
            .unwrap();
        let (addr, listener) = (listener.local_addr().unwrap(), Some(listener));
        let (met, counters, stop) = (Arc::default(), Counters::default(), watch::channel(false).0);
        Self {
            runtime,
            listener,
            addr,
            met,
            counters,
            stop,
        }
    }

    fn client(&self) -> TcpStream {
        let stream = TcpStream::connect(self.addr).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream
    }

    /// Serves, for as long as `story` takes.
    fn serve<T>(&mut self, story: impl Future<Output = T>) -> T {
        self.serve_within(limits(), story)
    }

    /// The same within other limits.
    fn serve_within<T>(&mut self, limits: Limits, story: impl Future<Output = T>) -> T {
        let listener = self.listener.take().expect("served once");
        let incoming = Incoming::Listener(GatedListener {
            listener,
            restart_role: never_restarted(),
        });
        let service = Arc::new(Scripted(self.met.clone()));
        let served = http::serve(
            incoming,
            service,
            limits,
            self.counters.clone(),
            self.stop.subscribe(),
        );
        self.runtime.block_on(async {
            tokio::select! {
                told = async { tokio::time::timeout(PATIENCE, story).await.expect("in time") } => told,
                () = served => panic!("it stopped"),
            }
        })
    }
}

impl Met {
    async fn until(&self, is: impl Fn(&Self) -> bool) {
        while !is(self) {
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

/// How a client goes.
#[derive(Clone, Copy, Debug)]
enum Leave {
    Closes,
    EndsItsSide,
    Resets,
}

const LEAVES: [Leave; 3] = [Leave::Closes, Leave::EndsItsSide, Leave::Resets];

fn leave(client: TcpStream, how: Leave) -> Option<TcpStream> {
    match how {
        Leave::Closes => None,
        Leave::EndsItsSide => {
            client.shutdown(Shutdown::Write).unwrap();
            Some(client)
        }
        Leave::Resets => {
            SockRef::from(&client).set_linger(Some(ms(0))).unwrap();
            None
        }
    }
}

/// Request and end wait in the socket together, as after a standstill or a pause: the query is not begun.
#[test]
fn a_client_that_left_before_its_request_is_read_has_nothing_forwarded() {
    for how in LEAVES {
        let mut door = Door::new();
        let mut client = door.client();
        client.write_all(&post(10)).unwrap();
        let _kept = leave(client, how);
        let counters = door.counters.clone();
        door.serve(ended(&counters, 1));
        assert_eq!(door.met.begun.load(Ordering::SeqCst), 0, "{how:?}");
    }
}

/// The other order: it leaves once its request is begun, which is dropped then.
#[test]
fn a_client_that_leaves_while_its_request_waits_has_it_dropped() {
    for how in LEAVES {
        let mut door = Door::new();
        let mut client = door.client();
        client.write_all(&post(10)).unwrap();
        let met = door.met.clone();
        door.serve(async {
            met.until(|m| m.begun.load(Ordering::SeqCst) == 1).await;
            let _kept = leave(client, how);
            met.until(|m| m.dropped.load(Ordering::SeqCst) == 1).await;
        });
    }
}

/// A client that has sent more behind its request than is taken, and leaves: its end stands behind what nobody
/// reads, and is seen all the same, before the request is begun and while it waits.
#[test]
fn a_client_that_leaves_unread_input_behind_is_seen_to_leave() {
    let mut door = Door::new();
    let mut client = door.client();
    client
        .write_all(&[post(10), vec![b'x'; 4 * http::INPUT_BUFFER_BYTES]].concat())
        .unwrap();
    let met = door.met.clone();
    door.serve(async {
        met.until(|m| m.begun.load(Ordering::SeqCst) == 1).await;
        drop(client);
        met.until(|m| m.dropped.load(Ordering::SeqCst) == 1).await;
    });
}

/// What a client sends ahead of its answers is not lost over the look for its end, whatever its size.
#[test]
fn requests_sent_ahead_are_answered_in_their_order() {
    let mut door = Door::new();
    let mut client = door.client();
    let lengths = [3, 3 * http::INPUT_BUFFER_BYTES, 60_000, 0];
    for n in lengths {
        let head = format!("GET /x HTTP/1.1\r\nHost: x\r\nContent-Length: {n}\r\n\r\n");
        client
            .write_all(&[head.as_bytes(), &vec![b'x'; n]].concat())
            .unwrap();
    }
    let met = door.met.clone();
    let reader = std::thread::spawn(move || {
        let mut text = String::new();
        while text.matches("HTTP/1.1 200").count() < 4 || !text.ends_with("\r\n\r\n0") {
            let mut bytes = [0; 4096];
            let n = client.read(&mut bytes).unwrap();
            text.push_str(std::str::from_utf8(&bytes[..n]).unwrap());
        }
        text
    });
    let text = door.serve(async {
        met.until(|m| m.begun.load(Ordering::SeqCst) == 4).await;
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

/// The one seat is taken, its patience over and its request waiting unread, as after a standstill, when
/// another client comes: the first keeps its seat and the other is told to come back.
#[test]
fn a_client_whose_request_waits_unread_keeps_its_slot() {
    let mut door = Door::new();
    let (mut first, mut second) = (door.client(), door.client());
    first.write_all(&post(10)).unwrap();
    second
        .write_all(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
        .unwrap();
    let told = std::thread::spawn(move || {
        let mut text = String::new();
        second.read_to_string(&mut text).unwrap();
        text
    });
    let one_seat = Limits {
        max_clients: 1,
        max_connections: 2,
        request_timeout_when_full: ms(0),
        ..limits()
    };
    let text = door.serve_within(one_seat, async {
        tokio::task::spawn_blocking(|| told.join().unwrap())
            .await
            .unwrap()
    });
    assert!(
        text.starts_with("HTTP/1.1 503") && text.contains("Connection: close"),
        "{text}"
    );
    assert_eq!(
        door.met.begun.load(Ordering::SeqCst),
        1,
        "the first is served"
    );
    assert_eq!(door.counters.get("answered.refused.client_cap"), 1);
    assert_eq!(door.counters.get("clients.made_room"), 0);
}

/// The same crossing with a first client that has nothing to say: it goes, and the other is served.
#[test]
fn a_client_whose_request_fails_leaves_its_slot_to_the_next() {
    let mut door = Door::new();
    let (mut first, mut second) = (door.client(), door.client());
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
    let one_seat = Limits {
        max_clients: 1,
        max_connections: 2,
        request_timeout_when_full: ms(0),
        ..limits()
    };
    let (start, first_ended) = door.serve_within(one_seat, async {
        tokio::task::spawn_blocking(|| read.join().unwrap())
            .await
            .unwrap()
    });
    assert_eq!(&start, b"HTTP/1.1 200");
    assert!(first_ended);
    assert_eq!(door.counters.get("clients.made_room"), 1);
}
