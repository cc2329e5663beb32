//! Runs the calls of hosts and operators: what is about hosts against the roster, the rest by the member.

use super::call::Call;
use super::control::{Desk, Reply};
use super::frames::Frames;
use super::links::Links;
use super::{command, Events, CONFIGURE};
use almanac::{Boot, Code, Document};
use graft::{Command, Message, Seat};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};

/// Longest time that a host waits for its drain.
const DRAIN: Duration = Duration::from_millis(800);

/// What a member answers a command: its result and what goes with it.
pub(super) type Answered = (Code, Vec<u8>);

/// What calls are run against.
pub(super) struct FrontDesk {
    me: Seat,
    life: u64,
    events: Events,
    links: Links,
    seq: u64,
    document: Arc<Document>,
    drains: BTreeSet<String>,
    leaving: bool,
}

impl FrontDesk {
    pub(super) fn new(_boot: &Boot, me: Seat, life: u64, events: Events, links: Links) -> Rc<RefCell<Self>> {
        let (document, drains) = Default::default();
        Rc::new(RefCell::new(Self { me, life, events, links, seq: 0, document, drains, leaving: false }))
    }

    /// The process is about to end: nothing new is taken.
    pub(super) fn leave(&mut self) {
        self.leaving = true;
    }

    /// Takes note of the newest acknowledged ledger.
    pub(super) fn publish(&mut self, _now: Duration, seq: u64, document: Arc<Document>, drains: Vec<String>) {
        self.seq = seq;
        self.document = document;
        self.drains = drains.into_iter().collect();
    }

    fn status(&self) -> String {
        let links = self.links.counters();
        let seats: Vec<_> = self
            .links
            .seats()
            .iter()
            .map(|s| serde_json::json!({"id": format!("{:016x}", s.id), "name": s.name, "zone": s.zone}))
            .collect();
        let status = serde_json::json!({
            "node": self.me.name,
            "id": format!("{:016x}", self.me.id),
            "life": self.life,
            "zone": self.me.zone,
            "region": self.me.region,
            "leaving": self.leaving,
            "ledger": {"seq": self.seq, "version": self.document.version, "drains": self.drains.len()},
            "members": seats,
            "links": {"up": links.connected, "down": links.broken, "sent": links.sent, "dropped": links.dropped},
        });
        status.to_string()
    }
}

impl Desk for Rc<RefCell<FrontDesk>> {
    async fn run(&self, call: Call) -> Reply {
        let events = self.borrow().events.clone();
        if self.borrow().leaving && call != Call::Status {
            return Reply::of(Code::Leaving);
        }
        match call {
            Call::Status => Reply::json(self.borrow().status()),
            Call::Read => match command(events, Command::Read { reserved: 0 }, CONFIGURE).await {
                (Code::Ok, document) => Reply::json(document),
                (code, text) => Reply::detailed(code, &String::from_utf8_lossy(&text)),
            },
            Call::Configure { base, amend, body } => {
                let asked = Command::Configure { base, amend, body: body.into() };
                let (code, text) = command(events, asked, CONFIGURE).await;
                Reply::detailed(code, &String::from_utf8_lossy(&text))
            }
            Call::Heartbeat { host, body } => {
                let body: serde_json::Value = match serde_json::from_slice(&body) {
                    Ok(body) => body,
                    Err(e) => return Reply::detailed(Code::Unreadable, &e.to_string()),
                };
                match body["phase"] == "draining" {
                    true => drain(self, events, host).await,
                    false => Reply::json("{}"),
                }
            }
            Call::Depart { host, .. } => drain(self, events, host).await,
        }
    }
}

/// A host is leaving or gone: acknowledged once that is kept as safely as the configuration is.
async fn drain(desk: &RefCell<FrontDesk>, events: Events, host: String) -> Reply {
    if desk.borrow().drains.contains(&host) {
        return Reply::json("{}");
    }
    match command(events, Command::Drain { host }, DRAIN).await {
        (Code::Ok, _) => Reply::json("{}"),
        (code, text) => Reply::detailed(code, &String::from_utf8_lossy(&text)),
    }
}

/// Serves a connection that pulls, whose first pull has been read.
pub(super) async fn serve_pulls(
    _desk: Rc<RefCell<FrontDesk>>,
    _pull: Message,
    _frames: Frames<impl AsyncRead + Unpin>,
    _output: impl AsyncWrite + Unpin,
) -> std::io::Result<()> {
    Ok(())
}
