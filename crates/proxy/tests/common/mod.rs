//! A proxy with hosts that follow a script, in one process on 127.0.0.1.
#![allow(dead_code, reason = "each test file uses a part of this")]

use balancing::HostInfo;
use configuration::{Configuration, ProcessSettings};
use proxy::counters::{Counters, SharedCounters};
use proxy::{Error, FleetSnapshot};
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

/// Runs a test's story on one thread.
pub fn story(work: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let guard = async {
        tokio::time::timeout(Duration::from_secs(20), work)
            .await
            .expect("too long");
    };
    tokio::task::LocalSet::new().block_on(&runtime, guard);
}

fn v4(addr: SocketAddr) -> SocketAddrV4 {
    match addr {
        SocketAddr::V4(addr) => addr,
        SocketAddr::V6(_) => unreachable!("only IPv4 here"),
    }
}

/// An address on which nothing listens, and nothing else will: each has an IP number of its own, so that no
/// other test's port can fall on it before it is used.
pub async fn free_addr() -> SocketAddrV4 {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(
        127,
        high | 128,
        low,
        1 + NEXT.fetch_add(1, Ordering::Relaxed) % 254,
    );
    v4(TcpListener::bind((ip, 0))
        .await
        .unwrap()
        .local_addr()
        .unwrap())
}

/// A host: its connections are handed to the test, which plays it.
pub struct Host {
    pub info: HostInfo,
    conns: mpsc::UnboundedReceiver<TcpStream>,
}

impl Host {
    pub async fn new(id: &str, service: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = v4(listener.local_addr().unwrap());
        let (send, conns) = mpsc::unbounded_channel();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                if send.send(stream).is_err() {
                    return;
                }
            }
        });
        Self {
            info: info(id, service, addr),
            conns,
        }
    }

    pub async fn conn(&mut self) -> Peer {
        Peer::new(self.conns.recv().await.unwrap())
    }

    /// Whether nobody has connected.
    pub fn unasked(&mut self) -> bool {
        self.conns.try_recv().is_err()
    }
}

pub fn info(id: &str, service: &str, addr: SocketAddrV4) -> HostInfo {
    HostInfo {
        id: id.into(),
        service: service.into(),
        addr,
        zone: "a".into(),
        capacity: 4,
        draining: false,
        heartbeat_expired: false,
        slow_start_remaining: Duration::ZERO,
    }
}

/// One end of a connection, read message by message.
pub struct Peer {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

/// A message: its head as text and its body with chunks put together.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    pub head: String,
    pub body: String,
    /// Whether the body came to its proper end.
    pub whole: bool,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|l| {
            let (n, v) = l.split_once(':')?;
            n.eq_ignore_ascii_case(name).then(|| v.trim())
        })
    }

    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).unwrap().parse().unwrap()
    }
}

impl Peer {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    pub async fn connect(addr: SocketAddrV4) -> Self {
        let stream = TcpStream::connect(SocketAddr::V4(addr)).await.unwrap();
        stream.set_nodelay(true).unwrap();
        Self::new(stream)
    }

    pub async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    async fn more(&mut self) -> bool {
        let mut some = [0; 4096];
        match self.stream.read(&mut some).await {
            Ok(n) if n > 0 => {
                self.buf.extend_from_slice(&some[..n]);
                true
            }
            _ => false,
        }
    }

    /// Reads on; whether the connection then ends in order, and not with a reset.
    pub async fn ends_in_order(&mut self) -> bool {
        let mut rest = Vec::new();
        self.stream.read_to_end(&mut rest).await.is_ok()
    }

    /// Ends the connection with a reset.
    pub fn reset(self) {
        rustix::net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).unwrap();
    }

    /// Resolves once the other side has closed; what it sent before stays.
    pub async fn closed(&mut self) {
        while self.more().await {}
    }

    /// Reads until what has come ends with this text, from the last message on.
    pub async fn until(&mut self, text: &str) -> String {
        while !String::from_utf8_lossy(&self.buf).contains(text) {
            assert!(
                self.more().await,
                "closed after {:?}",
                String::from_utf8_lossy(&self.buf)
            );
        }
        String::from_utf8_lossy(&self.buf).into_owned()
    }

    pub async fn head(&mut self) -> Option<String> {
        loop {
            if let Some(n) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let head = String::from_utf8(self.buf.drain(..n + 4).collect()).unwrap();
                return Some(head);
            }
            if !self.more().await {
                return None;
            }
        }
    }

    /// The next message, or `None` where the connection ends without one.
    pub async fn message(&mut self) -> Option<Message> {
        let head = self.head().await?;
        let mut message = Message {
            head,
            body: String::new(),
            whole: true,
        };
        if message.field("transfer-encoding").is_some() {
            loop {
                let line = match self.line().await {
                    Some(line) => line,
                    None => {
                        return Some(Message {
                            whole: false,
                            ..message
                        })
                    }
                };
                let size = usize::from_str_radix(line.trim(), 16).unwrap();
                match self.take(size + 2).await {
                    Some(data) if size > 0 => message.body.push_str(&data[..size]),
                    Some(_) => return Some(message),
                    None => {
                        return Some(Message {
                            whole: false,
                            ..message
                        })
                    }
                }
            }
        }
        let length = message.field("content-length").map(|l| l.parse().unwrap());
        match length {
            Some(n) => {
                if let Some(body) = self.take(n).await {
                    message.body = body;
                } else {
                    message.body = String::from_utf8(std::mem::take(&mut self.buf)).unwrap();
                    message.whole = false;
                }
            }
            None if message.head.starts_with("HTTP/") && message.status() != 204 => {
                self.closed().await;
                message.body = String::from_utf8(std::mem::take(&mut self.buf)).unwrap();
            }
            None => {}
        }
        Some(message)
    }

    async fn line(&mut self) -> Option<String> {
        loop {
            if let Some(n) = self.buf.windows(2).position(|w| w == b"\r\n") {
                return Some(String::from_utf8(self.buf.drain(..n + 2).collect()).unwrap());
            }
            if !self.more().await {
                return None;
            }
        }
    }

    /// Bytes that were read along with what came before, up to so many.
    pub fn take_held(&mut self, most: usize) -> Vec<u8> {
        let held = most.min(self.buf.len());
        self.buf.drain(..held).collect()
    }

    /// The next bytes of a body.
    pub async fn take_body(&mut self, n: usize) -> String {
        self.take(n).await.expect("so many bytes")
    }

    async fn take(&mut self, n: usize) -> Option<String> {
        while self.buf.len() < n {
            if !self.more().await {
                return None;
            }
        }
        Some(String::from_utf8(self.buf.drain(..n).collect()).unwrap())
    }

    /// Reads a request and answers it with these lines of a head, its id beside them, and a body.
    pub async fn reply(&mut self, lines: &str, body: &str) -> Message {
        let request = self.message().await.expect("a request");
        let id = request
            .field("fennelpin-attempt-id")
            .unwrap_or("none")
            .to_owned();
        self.send(&format!(
            "HTTP/1.1 {lines}\r\nFennelpin-Attempt-Id: {id}\r\n\r\n{body}"
        ))
        .await;
        request
    }

    /// Reads a request and answers it with a body.
    pub async fn answer(&mut self, body: &str) -> Message {
        let request = self.message().await.expect("a request");
        let id = request
            .field("fennelpin-attempt-id")
            .unwrap_or("none")
            .to_owned();
        self.send(&good(&id, body)).await;
        request
    }

    /// Reads a request and refuses it.
    pub async fn refuse(&mut self) -> Message {
        let request = self.message().await.expect("a request");
        let id = request
            .field("fennelpin-attempt-id")
            .unwrap_or("none")
            .to_owned();
        self.send(&format!(
            "HTTP/1.1 503 Service Unavailable\r\nFennelpin-Attempt-Id: {id}\r\nFennelpin-Not-Executed: full\r\n\
             Content-Length: 0\r\n\r\n"
        ))
        .await;
        request
    }

    /// Reads a request and begins a stream with these events.
    pub async fn begin(&mut self, seal: &str, events: &[u64]) -> Message {
        let request = self.message().await.expect("a request");
        let id = request
            .field("fennelpin-attempt-id")
            .unwrap_or("none")
            .to_owned();
        self.send(&format!(
            "HTTP/1.1 200 OK\r\nFennelpin-Attempt-Id: {id}\r\nFennelpin-Host-Seal: {seal}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        ))
        .await;
        self.events(events).await;
        request
    }

    pub async fn events(&mut self, events: &[u64]) {
        for id in events {
            let event = event(*id);
            self.send(&format!("{:x}\r\n{event}\r\n", event.len()))
                .await;
        }
    }
}

pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

pub fn events(ids: impl IntoIterator<Item = u64>) -> String {
    ids.into_iter().map(event).collect()
}

/// A good answer.
pub fn good(id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nFennelpin-Attempt-Id: {id}\r\nFennelpin-Host-Seal: seal\r\nContent-Length: {}\r\n\
         Keep-Alive: timeout=5\r\n\r\n{body}",
        body.len()
    )
}

/// A request to a path.
pub fn request(path: &str, id: &str, more: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: x.example\r\nFennelpin-Attempt-Id: {id}\r\n{more}Content-Length: 2\r\n\r\nhi")
}

/// The proxy under test: `/pure/`, `/once/` (mutating), `/live/` (stream), `/more/` (stream that may be
/// resumed), all of service `s` with three tries.
pub struct Proxy {
    pub front: SocketAddrV4,
    pub readiness: SocketAddrV4,
    pub fleet: watch::Sender<Option<Arc<FleetSnapshot>>>,
    pub stop: Option<oneshot::Sender<()>>,
    pub done: JoinHandle<Result<Counters, Error>>,
    pub counters: Rc<SharedCounters>,
}

pub const ROUTES: &str = r#"
    {"name":"p","hostname":"x.example","path_prefix":"/pure/","route_class":"pure","deadline_ms":8000,"target_ms":100,"service":"s","max_tries":3},
    {"name":"o","hostname":"x.example","path_prefix":"/once/","route_class":"mutating","deadline_ms":8000,"service":"s","max_tries":3},
    {"name":"l","hostname":"x.example","path_prefix":"/live/","route_class":"streaming","deadline_ms":8000,"service":"s","max_tries":3},
    {"name":"m","hostname":"x.example","path_prefix":"/more/","route_class":"streaming","deadline_ms":8000,"service":"s","max_tries":3,"resumable":true},
    {"name":"q","hostname":"x.example","path_prefix":"/quick/","route_class":"pure","deadline_ms":150,"service":"s","max_tries":3},
    {"name":"d","hostname":"x.example","path_prefix":"/quick/once/","route_class":"mutating","deadline_ms":150,"service":"s","max_tries":3}"#;

pub fn document(version: u64, routes: &str) -> Arc<Configuration> {
    let text = format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"s"}},{{"name":"t"}}],"limits":{{"max_header_bytes":4096,"max_body_bytes":100000}}}}"#
    );
    Arc::new(Configuration::read(text.as_bytes(), version - 1).unwrap())
}

/// Settings of the process that a story may change.
pub struct Setup {
    pub grace_s: f64,
    pub retry_slack: f64,
    pub fd_limit: u64,
    pub memory_mb: u64,
    /// Where the proxy takes hints; nowhere by default.
    pub hints: Option<SocketAddrV4>,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            grace_s: 8.0,
            retry_slack: 1000.0,
            fd_limit: 1024,
            memory_mb: 256,
            hints: None,
            bootstrap: false,
        }
    }
}

impl Proxy {
    /// A proxy that knows nothing yet.
    pub async fn blank() -> Self {
        Self::set_up(Setup::default()).await
    }

    /// A proxy with other settings that knows nothing yet.
    pub async fn set_up(setup: Setup) -> Self {
        let Setup {
            grace_s,
            retry_slack,
            fd_limit,
            memory_mb,
            hints,
            bootstrap,
        } = setup;
        // Hints are taken at the third port of the range.
        let (ip, ports) = hints.map_or((Ipv4Addr::LOCALHOST, (7000, 7001)), |h| {
            (*h.ip(), (h.port() - 2, h.port()))
        });
        let (front, readiness) = (free_addr().await, free_addr().await);
        let text = format!(
            r#"{{"node_name":"n","role":"r","ip_addr":"{ip}","zone":"a","port_range":[{},{}],"bootstrap":{bootstrap},
                "bind":{{"front":"{front}","readiness":"{readiness}"}},"bounds":{{"grace_s":{grace_s},"retry_slack":{retry_slack}}},
                "limits":{{"memory_mb":{memory_mb},"fd_limit":{fd_limit}}}}}"#,
            ports.0, ports.1
        );
        let boot = ProcessSettings::read(&text).unwrap();
        let (fleet, updates) = watch::channel(None);
        let (stop, stopped) = oneshot::channel::<()>();
        let stopped = async move {
            if stopped.await.is_err() {
                std::future::pending::<()>().await;
            }
        };
        let counters = Rc::new(SharedCounters::default());
        let done = tokio::task::spawn_local(proxy::serve_with_counters(
            boot,
            updates,
            counters.clone(),
            stopped,
        ));
        // The listeners are bound once the task has run.
        while !done.is_finished() && TcpStream::connect(SocketAddr::V4(readiness)).await.is_err() {
            tokio::task::yield_now().await;
        }
        Self {
            front,
            readiness,
            fleet,
            stop: Some(stop),
            done,
            counters,
        }
    }

    pub async fn new(hosts: &[&Host]) -> Self {
        let proxy = Self::blank().await;
        proxy
            .know(
                document(1, ROUTES),
                hosts.iter().map(|h| h.info.clone()).collect(),
            )
            .await;
        proxy
    }

    pub async fn know(&self, document: Arc<Configuration>, hosts: Vec<HostInfo>) {
        self.know_others(document, hosts, vec![]).await;
    }

    /// Knows other proxies too, by where they take hints.
    pub async fn know_others(
        &self,
        document: Arc<Configuration>,
        hosts: Vec<HostInfo>,
        others: Vec<SocketAddrV4>,
    ) {
        self.fleet
            .send(Some(Arc::new(FleetSnapshot {
                configuration: document,
                hosts,
                proxy_count: 2,
                peer_hint_addresses: others,
            })))
            .unwrap();
        for _ in 0..4 {
            tokio::task::yield_now().await;
        }
    }

    pub async fn client(&self) -> Peer {
        Peer::connect(self.front).await
    }

    pub async fn ready(&self) -> u16 {
        let mut peer = Peer::connect(self.readiness).await;
        peer.send("GET /fennelpin/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            .await;
        peer.message().await.unwrap().status()
    }

    /// Sends a request on a connection of its own.
    pub async fn ask(&self, path: &str) -> Peer {
        let mut client = self.client().await;
        client.send(&request(path, "one", "")).await;
        client
    }

    /// Tells it to end.
    pub fn tell_to_stop(&mut self) {
        self.stop.take().unwrap().send(()).unwrap();
    }

    /// Ends it and gives what it counted.
    pub async fn stop(mut self) -> Counters {
        self.stop.take().unwrap().send(()).unwrap();
        self.done.await.unwrap().unwrap()
    }
}

/// The connection of whichever host is asked first, and the other host.
pub async fn first_of<'a>(one: &'a mut Host, two: &'a mut Host) -> (Peer, &'a mut Host) {
    tokio::select! {
        stream = one.conns.recv() => (Peer::new(stream.unwrap()), two),
        stream = two.conns.recv() => (Peer::new(stream.unwrap()), one),
    }
}

/// The next connection at any of these hosts.
pub async fn next_of(hosts: &mut [&mut Host]) -> Peer {
    std::future::poll_fn(|cx| {
        for host in hosts.iter_mut() {
            if let std::task::Poll::Ready(Some(stream)) = host.conns.poll_recv(cx) {
                return std::task::Poll::Ready(Peer::new(stream));
            }
        }
        std::task::Poll::Pending
    })
    .await
}
