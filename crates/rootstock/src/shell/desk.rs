//! Runs the calls of hosts and operators: what is about hosts against the roster, the rest by the member.

use super::call::Call;
use super::control::{Desk, Reply};
use super::links::Links;
use super::{command, Events, CONFIGURE};
use crate::feed::Feed;
use crate::roster::beat_target;
use almanac::Code;
use graft::{Command, Seat};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Longest time that a host waits for its drain.
const DRAIN: Duration = Duration::from_millis(800);

/// What a member answers a command: its result and what goes with it.
pub(super) type Answered = (Code, Vec<u8>);

/// What calls are run against.
#[derive(Clone)]
pub(super) struct FrontDesk {
    pub(super) me: Seat,
    pub(super) life: u64,
    pub(super) events: Events,
    pub(super) links: Links,
    pub(super) feed: Arc<Feed>,
    /// The process is about to end: nothing new is taken.
    pub(super) leaving: watch::Receiver<bool>,
}

impl FrontDesk {
    /// A host is leaving or gone: acknowledged once that is kept as safely as the configuration is.
    async fn drain(&self, host: &str) -> Reply {
        if self.feed.shared().snapshot().drains.contains(host) {
            return Reply::json("{}");
        }
        let asked = Command::Drain { host: host.to_owned() };
        match command(&self.events, asked, DRAIN).await {
            (Code::Ok, _) => Reply::json("{}"),
            (code, text) => Reply::detailed(code, &String::from_utf8_lossy(&text)),
        }
    }

    fn status(&self) -> String {
        let links = self.links.counters();
        let known = self.feed.shared().snapshot();
        let (lowest, pulling) = self.feed.in_force();
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
            "leaving": *self.leaving.borrow(),
            "ledger": {"seq": known.ledger, "version": known.document.version, "drains": known.drains.len()},
            "fleet": {
                "epoch": known.fleet.epoch,
                "primary": format!("{:016x}", known.fleet.primary),
                "members": known.fleet.members.len(),
            },
            "hosts": known.hosts.len(),
            "coordinators": known.coordinators.len(),
            "in_force": {"lowest_version": lowest, "coordinators_here": pulling},
            "members": seats,
            "links": {"up": links.connected, "down": links.broken, "sent": links.sent, "dropped": links.dropped},
        });
        status.to_string()
    }
}

impl Desk for FrontDesk {
    async fn run(&self, call: Call) -> Reply {
        if *self.leaving.borrow() && call != Call::Status {
            return Reply::of(Code::Leaving);
        }
        match call {
            Call::Status => Reply::json(self.status()),
            Call::Read => match command(&self.events, Command::Read { reserved: 0 }, CONFIGURE).await {
                (Code::Ok, document) => Reply::json(document),
                (code, text) => Reply::detailed(code, &String::from_utf8_lossy(&text)),
            },
            Call::Configure { base, amend, body } => {
                let asked = Command::Configure { base, amend, body: body.into() };
                let (code, text) = command(&self.events, asked, CONFIGURE).await;
                Reply::detailed(code, &String::from_utf8_lossy(&text))
            }
            Call::Host(call) => {
                let (feed, links) = (self.feed.clone(), self.links.clone());
                // Proxies hear of a drain at once, whatever becomes of it in the ledger.
                feed.call(&call);
                if call.leaves() {
                    return self.drain(call.host()).await;
                }
                match beat_target(call.host(), self.me.id, &links.seats()) {
                    Some(seat) => {
                        let target = SocketAddrV4::from(&seat.control);
                        Reply::json(serde_json::json!({"beat_target": target.to_string()}).to_string())
                    }
                    None => Reply::json("{}"),
                }
            }
        }
    }
}
