//! Modelled hosts: they beat, take requests on their slots, and answer after a little work, at once or as a stream.

use super::fleet::Plan;
use super::Shared;
use crate::control::{self, Call};
use serde_json::json;
use std::io;
use std::net::SocketAddrV4;
use std::sync::mpsc::{channel, RecvTimeoutError, Sender};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Time between heartbeats.
const BEAT: Duration = Duration::from_secs(1);
/// Requests that one works on at once.
const SLOTS: usize = 8;
/// Work on an answer, and before each event of a stream.
const WORK: Duration = Duration::from_millis(10);
/// Events of a stream.
const EVENTS: usize = 8;
/// Largest head that is read.
const HEAD: usize = 64 << 10;

#[derive(Debug)]
struct Host {
    id: String,
    service: &'static str,
    addr: SocketAddrV4,
    zone: String,
    running: Shared<usize>,
    served: Shared<u64>,
}

/// Hosts that run until this goes; their tasks run on a `LocalSet`.
#[derive(Debug)]
pub struct Hosts {
    hosts: Vec<Arc<Host>>,
    /// The thread of heartbeats ends with it.
    _beats: Sender<()>,
}

impl Hosts {
    /// How many requests each host has run.
    pub fn shares(&self) -> String {
        let share = |h: &Arc<Host>| format!("{} ({}) {}", h.id, h.service, *lock(&h.served));
        self.hosts.iter().map(share).collect::<Vec<_>>().join(", ")
    }
}

fn lock<T>(shared: &Shared<T>) -> std::sync::MutexGuard<'_, T> {
    shared
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Starts `count` hosts, of the services `ping` and `chat` in turn.
///
/// # Errors
/// Where an address or a thread can't be had.
pub async fn start(plan: &Plan, count: u8) -> io::Result<Hosts> {
    let mut hosts = Vec::new();
    for n in 1..=count {
        let addr = plan.host(n);
        let listener = TcpListener::bind(addr).await?;
        let host = Arc::new(Host {
            id: format!("i-{}-{n}", std::process::id()),
            service: if n % 2 == 1 { "ping" } else { "chat" },
            addr,
            zone: plan.zone(n),
            running: Shared::default(),
            served: Shared::default(),
        });
        tokio::task::spawn_local(listen(host.clone(), listener));
        hosts.push(host);
    }
    let (beats, ended) = channel::<()>();
    let (beating, controls) = (hosts.clone(), plan.controls());
    std::thread::Builder::new()
        .name("beats".into())
        .spawn(move || {
            for seq in 1u64.. {
                beating.iter().for_each(|h| beat(h, seq, &controls));
                if ended.recv_timeout(BEAT) != Err(RecvTimeoutError::Timeout) {
                    return;
                }
            }
        })?;
    Ok(Hosts {
        hosts,
        _beats: beats,
    })
}

/// Tells one member after the other until one acknowledges.
fn beat(host: &Host, seq: u64, controls: &[SocketAddrV4]) {
    let name = format!("Hosts.Heartbeat/{}", host.id);
    let body =
        json!({"service": host.service, "address": host.addr, "zone": host.zone, "version": "v1",
        "capacity": SLOTS, "phase": "ready", "cold_left_ms": 0, "call_seq": seq})
        .to_string();
    let call = Call {
        name: &name,
        base: None,
        body: Some(body.as_bytes()),
    };
    let first = host.addr.ip().octets()[3] as usize;
    for n in 0..controls.len() {
        let control = controls[(first + n) % controls.len()];
        if control::ask(control.into(), &call, Duration::from_secs(1))
            .is_ok_and(|a| a.status == 200)
        {
            return;
        }
    }
}

async fn listen(host: Arc<Host>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let host = host.clone();
        tokio::task::spawn_local(async move {
            // Who breaks off has its reasons.
            let _ = serve(&host, stream).await;
        });
    }
}

struct Head {
    path: String,
    headers: Vec<(String, String)>,
}

impl Head {
    fn of(text: &str) -> Option<Head> {
        let mut lines = text.split("\r\n");
        let path = lines.next()?.split(' ').nth(1)?.to_owned();
        let header = |l: &str| {
            l.split_once(':')
                .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()))
        };
        Some(Head {
            path,
            headers: lines.filter_map(header).collect(),
        })
    }

    fn get(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }
}

async fn serve(host: &Host, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    loop {
        let end = loop {
            if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if buffer.len() > HEAD || stream.read_buf(&mut buffer).await? == 0 {
                return Ok(());
            }
        };
        let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
        let Some(head) = Head::of(&text) else {
            return Ok(());
        };
        let length: usize = head
            .get("content-length")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        while buffer.len() < end + 4 + length {
            if stream.read_buf(&mut buffer).await? == 0 {
                return Ok(());
            }
        }
        buffer.drain(..end + 4 + length);
        answer(host, &head, &mut stream).await?;
    }
}

/// A slot in use.
struct Slot<'a>(&'a Host);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        *lock(&self.0.running) -= 1;
    }
}

impl Host {
    fn slot(&self) -> Option<Slot<'_>> {
        let mut running = lock(&self.running);
        (*running < SLOTS).then(|| {
            *running += 1;
            Slot(self)
        })
    }
}

async fn answer(host: &Host, head: &Head, stream: &mut TcpStream) -> io::Result<()> {
    let id = head
        .get("fennelpin-attempt-id")
        .map_or_else(String::new, |id| format!("Fennelpin-Attempt-Id: {id}\r\n"));
    let not_run = |status: &str| {
        format!(
            "HTTP/1.1 {status}\r\n{id}Fennelpin-Not-Executed: true\r\nContent-Length: 0\r\n\r\n"
        )
    };
    if head.path == "/health" {
        let text = format!(
            "HTTP/1.1 200 OK\r\nFennelpin-Host-Id: {}\r\nContent-Length: 0\r\n\r\n",
            host.id
        );
        return stream.write_all(text.as_bytes()).await;
    }
    if head
        .get("fennelpin-expected-host")
        .is_some_and(|e| e != host.id)
    {
        return stream
            .write_all(not_run("421 Misdirected Request").as_bytes())
            .await;
    }
    let Some(_slot) = host.slot() else {
        return stream
            .write_all(not_run("503 Service Unavailable").as_bytes())
            .await;
    };
    let number = {
        let mut served = lock(&host.served);
        *served += 1;
        *served
    };
    sleep(WORK).await;
    let load = format!("{},0,{SLOTS}", *lock(&host.running) - 1);
    let common = format!(
        "{id}Fennelpin-Host-Seal: {}.{number}\r\nFennelpin-Host-Load: {load}\r\n",
        host.id
    );
    if host.service == "ping" {
        let body = "x".repeat(800);
        let text = format!(
            "HTTP/1.1 200 OK\r\n{common}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        return stream.write_all(text.as_bytes()).await;
    }
    let text = format!(
        "HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).await?;
    for event in 1..=EVENTS {
        let text = format!("id: {event}\ndata: word {event}\n\n");
        stream
            .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
            .await?;
        sleep(WORK).await;
    }
    stream.write_all(b"0\r\n\r\n").await
}
