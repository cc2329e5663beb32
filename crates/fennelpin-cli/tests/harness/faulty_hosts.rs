//! Hosts that fail in several ways by turns, and record which requests they received.

use super::heartbeat::{HostPhase, HostRecord, HEARTBEAT_INTERVAL};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Longest wait of a client for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(10);

/// What a host does with a request.
#[derive(Clone, Copy, Debug)]
pub enum HostBehaviour {
    Answer,
    /// The connection is reset once the request has been read.
    Reset,
    /// No answer until the other side has closed the connection; then the answer.
    Silence,
    /// Part of an answer, then the connection is closed.
    Half,
    /// The answer, and a second one behind it.
    TooMuch,
    /// The answer, then a connection that was to be kept is closed.
    Close,
    /// The connection is closed without an answer.
    End,
}

/// All behaviours, by turns.
pub const ALL_BEHAVIOURS: &[HostBehaviour] = &[
    HostBehaviour::Answer,
    HostBehaviour::Reset,
    HostBehaviour::Answer,
    HostBehaviour::TooMuch,
    HostBehaviour::Silence,
    HostBehaviour::Answer,
    HostBehaviour::Half,
    HostBehaviour::Answer,
    HostBehaviour::Close,
    HostBehaviour::End,
    HostBehaviour::Answer,
    HostBehaviour::Answer,
];

/// How often each request was received, by its body, over all hosts.
pub type ReceivedRequests = Arc<Mutex<BTreeMap<String, usize>>>;

/// Hosts of one service. Their heartbeats end when this is dropped.
pub struct Hosts {
    pub received: ReceivedRequests,
    _beats: Vec<Sender<()>>,
}

/// Starts hosts at these addresses. They send heartbeats to these members, and behave as `behaviours` says by turns.
pub fn start(
    addrs: &[SocketAddrV4],
    controls: &[SocketAddr],
    behaviours: &'static [HostBehaviour],
) -> Hosts {
    let received = ReceivedRequests::default();
    let request_count = Arc::new(AtomicUsize::new(0));
    let mut heartbeats = Vec::new();
    for (n, addr) in addrs.iter().enumerate() {
        let id = format!("i-{}-{n}", std::process::id());
        let listener = TcpListener::bind(addr).unwrap();
        let host = Host {
            id: id.clone(),
            received: received.clone(),
            behaviours,
            request_count: request_count.clone(),
        };
        std::thread::spawn(move || accept(&listener, &host));
        let (end, ended) = channel();
        let host_record = HostRecord {
            id,
            address: *addr,
            zone: "zone-1".into(),
            capacity: 8,
        };
        let controls = controls.to_vec();
        std::thread::spawn(move || {
            for seq in 1u64.. {
                host_record.send_heartbeat(HostPhase::Ready, seq, &controls);
                if ended.recv_timeout(HEARTBEAT_INTERVAL) != Err(RecvTimeoutError::Timeout) {
                    return;
                }
            }
        });
        heartbeats.push(end);
    }
    Hosts {
        received,
        _beats: heartbeats,
    }
}

#[derive(Clone)]
struct Host {
    id: String,
    received: ReceivedRequests,
    behaviours: &'static [HostBehaviour],
    request_count: Arc<AtomicUsize>,
}

fn accept(listener: &TcpListener, host: &Host) {
    while let Ok((stream, _)) = listener.accept() {
        let host = host.clone();
        // A connection may break at any time.
        std::thread::spawn(move || drop(host.serve(stream)));
    }
}

/// Opens a client's connection.
pub fn connect(to: SocketAddrV4) -> Option<TcpStream> {
    let stream = TcpStream::connect(to).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(CLIENT_TIMEOUT)).ok()?;
    Some(stream)
}

/// Attempt id of the request with this body.
pub fn attempt_id(body: &str) -> String {
    format!("{body}-id")
}

/// Sends a client's request; `None` where the connection has ended.
pub fn send(stream: &mut TcpStream, route: &str, body: &str) -> Option<()> {
    let (id, length) = (attempt_id(body), body.len());
    let text = format!(
        "POST /{route}/x HTTP/1.1\r\nHost: h.example\r\nFennelpin-Attempt-Id: {id}\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes()).ok()
}

/// Whether an idempotent request is served.
pub fn served(front: SocketAddrV4) -> bool {
    is_body_served(front, "first")
}

/// Whether an idempotent request with this body is served.
pub fn is_body_served(front: SocketAddrV4, body: &str) -> bool {
    let Some(mut stream) = connect(front) else {
        return false;
    };
    let answer = send(&mut stream, "pure", body)
        .and_then(|()| HttpMessage::read(&mut stream, &mut Vec::new()));
    answer.is_some_and(|a| a.status() == 200)
}

/// A complete message: its head in lower case, and its body.
#[derive(Debug)]
pub struct HttpMessage {
    pub head: String,
    pub body: String,
}

impl HttpMessage {
    /// The next message of a connection; `None` where the connection ends before.
    pub fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<HttpMessage> {
        let end = loop {
            if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            more(stream, buffer)?;
        };
        let head = String::from_utf8(buffer[..end].to_vec())
            .ok()?
            .to_ascii_lowercase();
        let text = HttpMessage {
            head,
            body: String::new(),
        };
        let length: usize = text
            .field("content-length")
            .map_or(Some(0), |l| l.parse().ok())?;
        while buffer.len() < end + length {
            more(stream, buffer)?;
        }
        let body = String::from_utf8(buffer[end..end + length].to_vec()).ok()?;
        buffer.drain(..end + length);
        Some(HttpMessage { body, ..text })
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        let mut lines = self
            .head
            .split("\r\n")
            .skip(1)
            .filter_map(|l| l.split_once(':'));
        lines.find(|l| l.0 == name).map(|l| l.1.trim())
    }

    pub fn status(&self) -> u16 {
        self.head
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads once; `None` at the end of the stream.
pub fn more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 4096];
    let n = stream.read(&mut chunk).ok().filter(|n| *n > 0)?;
    buffer.extend_from_slice(&chunk[..n]);
    Some(())
}

impl Host {
    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        while let Some(request) = HttpMessage::read(&mut stream, &mut buffer) {
            if request.head.starts_with("get ") {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nFennelpin-Host-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                stream.write_all(text.as_bytes())?;
                continue;
            }
            *self
                .received
                .lock()
                .unwrap()
                .entry(request.body.clone())
                .or_default() += 1;
            let behaviour = self.behaviours
                [self.request_count.fetch_add(1, Ordering::Relaxed) % self.behaviours.len()];
            let answer = self.answer(&request, &request.body);
            match behaviour {
                HostBehaviour::Answer => stream.write_all(answer.as_bytes())?,
                HostBehaviour::TooMuch => {
                    let more = self.answer(&request, "somebody else's");
                    stream.write_all([answer, more].concat().as_bytes())?;
                }
                HostBehaviour::Close => return stream.write_all(answer.as_bytes()),
                HostBehaviour::Half => {
                    return stream.write_all(&answer.as_bytes()[..answer.len() - 3])
                }
                HostBehaviour::End => return Ok(()),
                HostBehaviour::Reset => return reset(&stream),
                HostBehaviour::Silence => {
                    // Until the other side has given up. The answer comes too late then.
                    let _ = more(&mut stream, &mut buffer);
                    let _ = stream.write_all(answer.as_bytes());
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    fn answer(&self, request: &HttpMessage, body: &str) -> String {
        let id = request.field("fennelpin-attempt-id").unwrap_or("none");
        format!(
            "HTTP/1.1 200 OK\r\nFennelpin-Attempt-Id: {id}\r\nFennelpin-Host-Seal: {}.{body}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        )
    }
}

fn reset(stream: &TcpStream) -> std::io::Result<()> {
    Ok(rustix::net::sockopt::set_socket_linger(
        stream,
        Some(Duration::ZERO),
    )?)
}
