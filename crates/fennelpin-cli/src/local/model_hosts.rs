//! Modelled hosts: they send heartbeats, run a few requests at a time, and answer after a little work, at once or as a
//! stream.

use super::cluster::ClusterPlan;
use crate::control_client::{call_member, ControlCall};
use serde_json::json;
use std::io;
use std::net::SocketAddrV4;
use std::sync::mpsc::{channel, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Time between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for the acknowledgement of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// Requests that a host runs at the same time.
const SLOTS: usize = 8;
/// Work on an answer, and after each event of a stream.
const WORK: Duration = Duration::from_millis(10);
/// Events of a stream.
const EVENTS_PER_STREAM: usize = 8;
/// Length of a body that isn't a stream.
const BODY_BYTES: usize = 800;
/// Largest head of a request.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Requests of one host.
#[derive(Debug, Default)]
struct RequestCounts {
    running: usize,
    served: u64,
}

#[derive(Debug)]
struct ModelHost {
    id: String,
    service: &'static str,
    addr: SocketAddrV4,
    zone: String,
    requests: Mutex<RequestCounts>,
}

/// The running hosts. Their heartbeats end when this is dropped; their tasks run on a `LocalSet`.
#[derive(Debug)]
pub struct ModelHosts {
    hosts: Vec<Arc<ModelHost>>,
    /// The thread of heartbeats ends when this is dropped.
    _heartbeats: Sender<()>,
}

impl ModelHosts {
    /// How many requests each host has run, as text.
    pub fn request_counts(&self) -> String {
        let counts = self.hosts.iter().map(|host| {
            let served = host.requests().served;
            format!("{} ({}) {served}", host.id, host.service)
        });
        counts.collect::<Vec<_>>().join(", ")
    }
}

/// Starts `count` hosts, of the services `ping` and `chat` in turn.
///
/// # Errors
/// Where an address or a thread isn't available.
pub async fn start(plan: &ClusterPlan, count: u8) -> io::Result<ModelHosts> {
    let mut hosts = Vec::new();
    for n in 1..=count {
        let addr = plan.host(n);
        let listener = TcpListener::bind(addr).await?;
        let host = Arc::new(ModelHost {
            id: format!("i-{}-{n}", std::process::id()),
            service: if n % 2 == 1 { "ping" } else { "chat" },
            addr,
            zone: plan.zone(n),
            requests: Mutex::default(),
        });
        tokio::task::spawn_local(accept(host.clone(), listener));
        hosts.push(host);
    }
    let heartbeats = start_heartbeats(hosts.clone(), plan.controls())?;
    Ok(ModelHosts {
        hosts,
        _heartbeats: heartbeats,
    })
}

/// Starts the thread that sends all hosts' heartbeats. It ends when the sender is dropped.
fn start_heartbeats(
    hosts: Vec<Arc<ModelHost>>,
    controls: Vec<SocketAddrV4>,
) -> io::Result<Sender<()>> {
    let (sender, ended) = channel::<()>();
    let send_heartbeats = move || {
        for sequence in 1u64.. {
            for host in &hosts {
                host.send_heartbeat(sequence, &controls);
            }
            if ended.recv_timeout(HEARTBEAT_INTERVAL) != Err(RecvTimeoutError::Timeout) {
                return;
            }
        }
    };
    std::thread::Builder::new()
        .name("beats".into())
        .spawn(send_heartbeats)?;
    Ok(sender)
}

impl ModelHost {
    fn requests(&self) -> MutexGuard<'_, RequestCounts> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a heartbeat to one member after the other until one acknowledges it.
    fn send_heartbeat(&self, sequence: u64, controls: &[SocketAddrV4]) {
        let name = format!("Hosts.Heartbeat/{}", self.id);
        let body = json!({"service": self.service, "address": self.addr, "zone": self.zone, "version": "v1",
            "capacity": SLOTS, "phase": "ready", "cold_left_ms": 0, "call_seq": sequence})
        .to_string();
        let call = ControlCall {
            name: &name,
            base_version: None,
            body: Some(body.as_bytes()),
        };
        // Hosts begin with different members.
        let first = self.addr.ip().octets()[3] as usize;
        for n in 0..controls.len() {
            let control = controls[(first + n) % controls.len()];
            let answer = call_member(control.into(), &call, HEARTBEAT_TIMEOUT);
            if answer.is_ok_and(|answer| answer.status == 200) {
                return;
            }
        }
    }

    /// A slot for a request; `None` where all are in use.
    fn take_slot(&self) -> Option<Slot<'_>> {
        let mut requests = self.requests();
        if requests.running >= SLOTS {
            return None;
        }
        requests.running += 1;
        requests.served += 1;
        Some(Slot {
            host: self,
            number: requests.served,
        })
    }
}

/// A slot in use. It is free again when this is dropped.
struct Slot<'a> {
    host: &'a ModelHost,
    /// Number of its request at the host.
    number: u64,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.host.requests().running -= 1;
    }
}

async fn accept(host: Arc<ModelHost>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let host = host.clone();
        tokio::task::spawn_local(async move {
            // A connection may break at any time.
            let _ = serve_connection(&host, stream).await;
        });
    }
}

async fn serve_connection(host: &ModelHost, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some(head) = read_request(&mut stream, &mut buffer).await? {
        answer(host, &head, &mut stream).await?;
    }
    Ok(())
}

/// The head of a request.
struct RequestHead {
    path: String,
    /// Names in lower case, and values.
    headers: Vec<(String, String)>,
}

impl RequestHead {
    fn parse(text: &str) -> Option<Self> {
        let mut lines = text.split("\r\n");
        let path = lines.next()?.split(' ').nth(1)?.to_owned();
        let headers = lines.filter_map(|line| {
            let (name, value) = line.split_once(':')?;
            Some((name.to_ascii_lowercase(), value.trim().to_owned()))
        });
        Some(Self {
            path,
            headers: headers.collect(),
        })
    }

    fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(other, _)| other == name)?;
        Some(&header.1)
    }

    fn content_length(&self) -> usize {
        self.header("content-length")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads a request and drops its body. `None` at the end of the connection, and where it isn't a request.
async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<RequestHead>> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break end;
        }
        if buffer.len() > MAX_HEAD_BYTES || stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    };
    let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let Some(head) = RequestHead::parse(&text) else {
        return Ok(None);
    };
    let request_bytes = end + 4 + head.content_length();
    while buffer.len() < request_bytes {
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
    buffer.drain(..request_bytes);
    Ok(Some(head))
}

async fn answer(host: &ModelHost, head: &RequestHead, stream: &mut TcpStream) -> io::Result<()> {
    if head.path == "/health" {
        let text = format!(
            "HTTP/1.1 200 OK\r\nFennelpin-Host-Id: {}\r\nContent-Length: 0\r\n\r\n",
            host.id
        );
        return stream.write_all(text.as_bytes()).await;
    }
    let attempt_id = head
        .header("fennelpin-attempt-id")
        .map_or_else(String::new, |id| format!("Fennelpin-Attempt-Id: {id}\r\n"));
    let is_for_another = head
        .header("fennelpin-expected-host")
        .is_some_and(|expected| expected != host.id);
    if is_for_another {
        return reject(stream, "421 Misdirected Request", &attempt_id).await;
    }
    let Some(slot) = host.take_slot() else {
        return reject(stream, "503 Service Unavailable", &attempt_id).await;
    };
    sleep(WORK).await;
    let other_requests = host.requests().running - 1;
    let headers = format!(
        "{attempt_id}Fennelpin-Host-Seal: {}.{}\r\nFennelpin-Host-Load: {other_requests},0,{SLOTS}\r\n",
        host.id, slot.number
    );
    match host.service {
        "ping" => send_body(stream, &headers).await,
        _ => send_stream(stream, &headers).await,
    }
}

/// Answers that the request was not run.
async fn reject(stream: &mut TcpStream, status: &str, attempt_id: &str) -> io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status}\r\n{attempt_id}Fennelpin-Not-Executed: true\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).await
}

async fn send_body(stream: &mut TcpStream, headers: &str) -> io::Result<()> {
    let body = "x".repeat(BODY_BYTES);
    let text = format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: {BODY_BYTES}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).await
}

async fn send_stream(stream: &mut TcpStream, headers: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    for event in 1..=EVENTS_PER_STREAM {
        let text = format!("id: {event}\ndata: word {event}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        stream.write_all(chunk.as_bytes()).await?;
        sleep(WORK).await;
    }
    stream.write_all(b"0\r\n\r\n").await
}
