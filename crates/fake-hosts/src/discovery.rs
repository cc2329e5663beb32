//! A fake discovery: an agent for each coordinator, which has the list so far and serves
//! it as `GET /catalog/members`, whole or as a watch.

use crate::event_log::{Epoch, Event, EventKind, EventLog, Phase};
use bytes::{Buf, BytesMut};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// An empty line comes this often as long as nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// One host as the list has it for one coordinator.
#[derive(Clone, Debug)]
pub struct ListEntry {
    /// Its number.
    pub host: u16,
    /// Its name.
    pub id: String,
    /// Where this coordinator reaches it.
    pub addr: String,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u32,
    /// Its phase.
    pub phase: Phase,
    /// Its last start in Unix milliseconds; 0 for long ago.
    pub up_since_ms: u64,
}

impl ListEntry {
    /// The entry in discovery's form.
    pub fn json(&self) -> Value {
        json!({"id": self.id, "host_port": self.addr, "locality": self.zone, "flavor": "small-2c",
               "cell": self.cell, "phase": self.phase.word(), "size": 1.0, "up_since_ms": self.up_since_ms})
    }
}

/// The agent of one coordinator.
pub struct DiscoveryAgent {
    coordinator: u16,
    epoch: Epoch,
    event_log: EventLog,
    members: RefCell<BTreeMap<u16, (u64, ListEntry)>>,
    revision: watch::Sender<u64>,
    silent: Cell<bool>,
}

impl DiscoveryAgent {
    /// An agent that has these.
    pub fn new(
        coordinator: u16,
        members: Vec<ListEntry>,
        epoch: Epoch,
        event_log: EventLog,
    ) -> Rc<Self> {
        let members = members.into_iter().map(|m| (m.host, (1, m))).collect();
        let (members, revision) = (RefCell::new(members), watch::channel(1).0);
        Rc::new(Self {
            coordinator,
            epoch,
            event_log,
            members,
            revision,
            silent: Cell::new(false),
        })
    }

    /// A change has come.
    pub fn apply(&self, host: u16, phase: Phase, up_since_ms: Option<u64>) {
        let revision = *self.revision.borrow() + 1;
        if let Some((at, m)) = self.members.borrow_mut().get_mut(&host) {
            *at = revision;
            m.phase = phase;
            m.up_since_ms = up_since_ms.unwrap_or(m.up_since_ms);
        }
        self.revision.send_replace(revision);
    }

    /// Whether discovery is down: nothing is said, no connection ends.
    pub fn silence(&self, silent: bool) {
        self.silent.set(silent);
        self.revision.send_modify(|_| ());
    }

    /// What has changed after a revision; all of it where that is 0.
    fn since(&self, since: u64) -> (Vec<(u16, Phase)>, String) {
        let members = self.members.borrow();
        let new = members
            .values()
            .filter(|(at, m)| *at > since && (since > 0 || m.phase != Phase::Gone));
        let (told, list): (Vec<_>, Vec<_>) =
            new.map(|(_, m)| ((m.host, m.phase), m.json())).unzip();
        let revision = *self.revision.borrow();
        (
            told,
            json!({"revision": revision, "complete": since == 0, "members": list}).to_string(),
        )
    }

    fn told(&self, all: Vec<(u16, Phase)>) {
        let at = self.epoch.now();
        for (host, phase) in all {
            let (coordinator, kind) = (self.coordinator, EventKind::ListUpdateSent(phase));
            self.event_log.write(Event {
                at,
                host,
                coordinator,
                attempt: 0,
                kind,
            });
        }
    }

    /// Serves for ever.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    let agent = self.clone();
                    tokio::task::spawn_local(async move {
                        let _ = agent.serve(stream).await;
                    });
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
    }

    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut input = BytesMut::new();
        loop {
            let target = loop {
                let mut headers = [httparse::EMPTY_HEADER; 32];
                let mut parsed = httparse::Request::new(&mut headers);
                match parsed.parse(&input) {
                    Ok(httparse::Status::Complete(head)) => {
                        let target = parsed.path.unwrap_or("/").to_owned();
                        input.advance(head);
                        break target;
                    }
                    Ok(_) if input.len() < 16 * 1024 => {}
                    _ => return Ok(()),
                }
                if stream.read_buf(&mut input).await? == 0 {
                    return Ok(());
                }
            };
            let mut changed = self.revision.subscribe();
            while self.silent.get() {
                let _ = changed.changed().await;
            }
            let Some(query) = target.strip_prefix("/catalog/members") else {
                stream
                    .write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    .await?;
                continue;
            };
            if !query.contains("follow=1") {
                let (told, body) = self.since(0);
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                stream.write_all(format!("{head}{body}").as_bytes()).await?;
                self.told(told);
                continue;
            }
            let since = query
                .split(['?', '&'])
                .find_map(|p| p.strip_prefix("since=")?.parse().ok());
            return self.watch(stream, since.unwrap_or(0)).await;
        }
    }

    async fn watch(&self, mut stream: TcpStream, mut since: u64) -> std::io::Result<()> {
        let mut changed = self.revision.subscribe();
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .await?;
        let mut first = true;
        loop {
            let now = *changed.borrow_and_update();
            if !self.silent.get() && (now > since || first) {
                first = false;
                // A version of another life of discovery counts for nothing.
                let (told, line) = self.since(if since > now { 0 } else { since });
                since = now;
                stream
                    .write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())
                    .await?;
                self.told(told);
            }
            tokio::select! {
                _ = changed.changed() => {}
                end = stream.read_u8() => return end.map(drop),
                () = tokio::time::sleep(HEARTBEAT_INTERVAL) => if !self.silent.get() {
                    stream.write_all(b"1\r\n\n\r\n").await?;
                }
            }
        }
    }
}
