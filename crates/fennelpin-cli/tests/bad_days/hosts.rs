//! Hosts that break off, fall silent, say too much, or answer late, by turns; they note which requests they heard.

use fennelpin_cli::control_client::{call_member, ControlCall};
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time between heartbeats.
const BEAT: Duration = Duration::from_millis(500);
/// An operator's wait for one member.
const SECOND: Duration = Duration::from_secs(1);

/// A client's wait for an answer.
const CLIENT_WAIT: Duration = Duration::from_secs(10);

/// What a host does with a request.
#[derive(Clone, Copy, Debug)]
pub enum Turn {
    Answer,
    /// The connection is reset once the request has been read.
    Reset,
    /// Nothing is said for as long as the connection lasts; then the answer, to whoever is there.
    Silence,
    /// Half an answer, and the end.
    Half,
    /// The answer, and another one behind it that nobody asked for.
    TooMuch,
    /// The answer, and the end of a connection that was to be kept.
    Close,
    /// The end before any answer.
    End,
}

/// All of it, by turns.
pub const ALL_TURNS: &[Turn] = &[
    Turn::Answer,
    Turn::Reset,
    Turn::Answer,
    Turn::TooMuch,
    Turn::Silence,
    Turn::Answer,
    Turn::Half,
    Turn::Answer,
    Turn::Close,
    Turn::End,
    Turn::Answer,
    Turn::Answer,
];

/// How often each request's body was heard, over all hosts.
pub type Heard = Arc<Mutex<BTreeMap<String, usize>>>;

/// Hosts of one service; their heartbeats end with this.
pub struct Hosts {
    pub heard: Heard,
    _beats: Vec<Sender<()>>,
}

/// Starts hosts at these addresses, which beat at these members and do with their requests what `turns` says.
pub fn start(addrs: &[SocketAddrV4], controls: &[SocketAddr], turns: &'static [Turn]) -> Hosts {
    let heard = Heard::default();
    let taken = Arc::new(AtomicUsize::new(0));
    let mut beats = Vec::new();
    for (n, addr) in addrs.iter().enumerate() {
        let id = format!("i-{}-{n}", std::process::id());
        let listener = TcpListener::bind(addr).unwrap();
        let host = Host {
            id: id.clone(),
            heard: heard.clone(),
            turns,
            taken: taken.clone(),
        };
        std::thread::spawn(move || accept(&listener, &host));
        let (end, ended) = channel();
        let (addr, controls) = (*addr, controls.to_vec());
        std::thread::spawn(move || {
            for seq in 1u64.. {
                beat(&id, addr, seq, &controls);
                if ended.recv_timeout(BEAT) != Err(RecvTimeoutError::Timeout) {
                    return;
                }
            }
        });
        beats.push(end);
    }
    Hosts {
        heard,
        _beats: beats,
    }
}

fn beat(id: &str, addr: SocketAddrV4, seq: u64, controls: &[SocketAddr]) {
    let name = format!("Hosts.Heartbeat/{id}");
    let body =
        json!({"service": "s", "address": addr, "zone": "zone-1", "version": "v1", "capacity": 8,
        "phase": "ready", "cold_left_ms": 0, "call_seq": seq})
        .to_string();
    let call = ControlCall {
        name: &name,
        base_version: None,
        body: Some(body.as_bytes()),
    };
    let _ = controls
        .iter()
        .any(|c| call_member(*c, &call, SECOND).is_ok_and(|a| a.status == 200));
}

#[derive(Clone)]
struct Host {
    id: String,
    heard: Heard,
    turns: &'static [Turn],
    taken: Arc<AtomicUsize>,
}

fn accept(listener: &TcpListener, host: &Host) {
    while let Ok((stream, _)) = listener.accept() {
        let host = host.clone();
        // Whoever breaks off has its reasons.
        std::thread::spawn(move || drop(host.serve(stream)));
    }
}

/// A client's connection.
pub fn connect(to: SocketAddrV4) -> Option<TcpStream> {
    let stream = TcpStream::connect(to).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(CLIENT_WAIT)).ok()?;
    Some(stream)
}

/// The identity of the request with this body.
pub fn attempt_id(body: &str) -> String {
    format!("{body}-id")
}

/// Sends a client's request; none where the connection has ended.
pub fn send(stream: &mut TcpStream, route: &str, body: &str) -> Option<()> {
    let (id, length) = (attempt_id(body), body.len());
    let text = format!(
        "POST /{route}/x HTTP/1.1\r\nHost: h.example\r\nFennelpin-Attempt-Id: {id}\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes()).ok()
}

/// Whether a request that may run twice is served.
pub fn served(front: SocketAddrV4) -> bool {
    let Some(mut stream) = connect(front) else {
        return false;
    };
    let answer =
        send(&mut stream, "pure", "first").and_then(|()| Text::read(&mut stream, &mut Vec::new()));
    answer.is_some_and(|a| a.status() == 200)
}

/// A message read whole: its head in lower case and its body.
#[derive(Debug)]
pub struct Text {
    pub head: String,
    pub body: String,
}

impl Text {
    /// The next message of a connection; none where it ends without one.
    pub fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Text> {
        let end = loop {
            if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            more(stream, buffer)?;
        };
        let head = String::from_utf8(buffer[..end].to_vec())
            .ok()?
            .to_ascii_lowercase();
        let text = Text {
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
        Some(Text { body, ..text })
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

fn more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut some = [0; 4096];
    let n = stream.read(&mut some).ok().filter(|n| *n > 0)?;
    buffer.extend_from_slice(&some[..n]);
    Some(())
}

impl Host {
    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        while let Some(request) = Text::read(&mut stream, &mut buffer) {
            if request.head.starts_with("get ") {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nFennelpin-Host-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                stream.write_all(text.as_bytes())?;
                continue;
            }
            *self
                .heard
                .lock()
                .unwrap()
                .entry(request.body.clone())
                .or_default() += 1;
            let turn = self.turns[self.taken.fetch_add(1, Ordering::Relaxed) % self.turns.len()];
            let answer = self.answer(&request, &request.body);
            match turn {
                Turn::Answer => stream.write_all(answer.as_bytes())?,
                Turn::TooMuch => {
                    let more = self.answer(&request, "somebody else's");
                    stream.write_all([answer, more].concat().as_bytes())?;
                }
                Turn::Close => return stream.write_all(answer.as_bytes()),
                Turn::Half => return stream.write_all(&answer.as_bytes()[..answer.len() - 3]),
                Turn::End => return Ok(()),
                Turn::Reset => return reset(&stream),
                Turn::Silence => {
                    // Until the other side has had enough; what is said then comes too late.
                    let _ = more(&mut stream, &mut buffer);
                    let _ = stream.write_all(answer.as_bytes());
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    fn answer(&self, request: &Text, body: &str) -> String {
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
