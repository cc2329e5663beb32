//! Runs the calls of hosts and operators: what is about hosts against the roster, the rest by the member.

use super::control_request::Call;
use super::control_server::{HandleRequest, Reply};
use super::peer_connections::PeerConnections;
use super::{command, Event, Events, MemberStatus};
use crate::configuration_history::ConfigurationHistory;
use crate::host_registry::{heartbeat_target, HostRequest};
use crate::registry_publisher::RegistryPublisher;
use configuration::ResultCode;
use protocol::{Command, MemberInfo};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::sync::{oneshot, watch};
use tokio::time::{timeout, Instant};

/// Longest wait for what a member's state machine says of itself.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time that a host waits for its drain.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest time that a call waits for the disk at the start.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// What a member answers a command: its result and what goes with it.
pub(super) type CommandReply = (ResultCode, Vec<u8>);

/// What is there once the disk has told who this member is.
pub(super) struct OpenMember {
    pub(super) me: MemberInfo,
    pub(super) life: u64,
    pub(super) links: PeerConnections,
    pub(super) feed: Arc<RegistryPublisher>,
    pub(super) history: Rc<RefCell<ConfigurationHistory>>,
}

/// What calls are run against.
#[derive(Clone)]
pub(super) struct RequestHandler {
    node: Rc<str>,
    events: Events,
    patience: Duration,
    /// The process is about to end: nothing new is taken.
    leaving: watch::Receiver<bool>,
    opened: watch::Receiver<Option<Rc<OpenMember>>>,
}

impl RequestHandler {
    /// A desk whose calls wait a little until `opened` brings what they are run against.
    pub(super) fn new(
        node: String,
        events: Events,
        patience: Duration,
        leaving: watch::Receiver<bool>,
        opened: watch::Receiver<Option<Rc<OpenMember>>>,
    ) -> Self {
        Self {
            node: node.into(),
            events,
            patience,
            leaving,
            opened,
        }
    }

    async fn opened(&self) -> Result<Rc<OpenMember>, ResultCode> {
        let mut opened = self.opened.clone();
        let ready = timeout(OPEN_TIMEOUT, opened.wait_for(Option::is_some)).await;
        ready
            .ok()
            .and_then(Result::ok)
            .and_then(|o| o.clone())
            .ok_or(ResultCode::Opening)
    }

    /// A host is leaving or gone: acknowledged once that is kept as safely as the configuration is.
    async fn drain(&self, opened: &OpenMember, host: &str) -> Reply {
        if opened.feed.shared().snapshot().drains.contains(host) {
            return Reply::json("{}");
        }
        let asked = Command::Drain {
            host: host.to_owned(),
        };
        match command(&self.events, asked, DRAIN_TIMEOUT).await {
            (ResultCode::Ok, _) => Reply::json("{}"),
            (code, text) => Reply::detailed(code, &String::from_utf8_lossy(&text)),
        }
    }

    async fn host(&self, opened: &OpenMember, call: &HostRequest) -> Reply {
        // Proxies hear of a drain at once, whatever becomes of it in the ledger.
        opened.feed.call(call);
        if call.leaves() {
            return self.drain(opened, call.host()).await;
        }
        match heartbeat_target(call.host(), opened.me.id, &opened.links.seats()) {
            Some(seat) => {
                let target = SocketAddrV4::from(&seat.control);
                Reply::json(json!({"beat_target": target.to_string()}).to_string())
            }
            None => Reply::json("{}"),
        }
    }

    async fn status(&self) -> String {
        let leaving = *self.leaving.borrow();
        let opened = self.opened.borrow().clone();
        let Some(opened) = opened else {
            return json!({"node": &*self.node, "opening": true, "leaving": leaving}).to_string();
        };
        let (asker, told) = oneshot::channel();
        let asked = self.events.send(Event::MemberStatus(asker)).is_ok();
        let status = if asked {
            timeout(STATUS_TIMEOUT, told)
                .await
                .ok()
                .and_then(Result::ok)
        } else {
            None
        };
        let (me, links) = (&opened.me, opened.links.counters());
        let known = opened.feed.shared().snapshot();
        let (lowest, pulling) = opened.feed.in_force();
        let history = opened.history.borrow();
        let coordinators: Vec<_> = opened
            .feed
            .coordinators()
            .into_iter()
            .map(|(c, since_pull)| {
                json!({"name": c.name, "zone": c.zone, "region": c.region, "gone": c.gone, "version": c.configuration_version,
                    "pulled_ms_ago": since_pull.as_millis() as u64,
                    "behind_ms": history.behind(c.configuration_version, SystemTime::now()).map(|d| d.as_millis() as u64)})
            })
            .collect();
        let hosts = known.hosts.values().map(|h| {
            json!({"id": h.id, "service": h.service, "address": SocketAddrV4::from(&h.addr).to_string(),
                "zone": h.zone, "capacity": h.capacity, "phase": h.phase, "silent": h.heartbeat_expired})
        });
        let status = json!({
            "node": me.name,
            "id": hex(me.id),
            "life": opened.life,
            "zone": me.zone,
            "region": me.region,
            "opening": false,
            "leaving": leaving,
            "ledger": {"seq": known.ledger, "version": known.document.version, "drains": known.drains.len(),
                "routes": known.document.routes.len(), "services": known.document.services.len()},
            "fleet": {
                "epoch": known.fleet.epoch,
                "primary": hex(known.fleet.primary),
                "members": known.fleet.members.len(),
            },
            "member": status.as_ref().map(status_json),
            "hosts": hosts.collect::<Vec<_>>(),
            "coordinators": coordinators,
            "in_force": {"lowest_version": lowest, "coordinators_here": pulling},
            "members": opened.links.seats().iter().map(member_json).collect::<Vec<_>>(),
            "links": {"up": links.connected, "down": links.broken, "sent": links.sent, "dropped": links.dropped},
        });
        status.to_string()
    }

    /// The versions taken, newest last, as far as this member knows them.
    fn history(&self, opened: &OpenMember, version: Option<u64>) -> Reply {
        let history = opened.history.borrow();
        match version {
            None => Reply::json(json!({"versions": history.entries()}).to_string()),
            Some(version) => match history.document(version) {
                Some(document) => Reply::json(document.to_json()),
                None => Reply::detailed(ResultCode::NoSuchVersion, &version.to_string()),
            },
        }
    }
}

fn hex(id: u64) -> String {
    format!("{id:016x}")
}

fn member_json(seat: &MemberInfo) -> Value {
    json!({"id": hex(seat.id), "name": seat.name, "zone": seat.zone, "region": seat.region,
        "control": SocketAddrV4::from(&seat.control).to_string()})
}

fn status_json(status: &MemberStatus) -> Value {
    let view = status.view.as_ref().map(|v| {
        json!({"epoch": v.epoch, "primary": hex(v.primary),
            "replicas": v.replicas.iter().map(|c| hex(*c)).collect::<Vec<_>>(),
            "voters": v.voters.iter().map(member_json).collect::<Vec<_>>(), "settled": v.is_stable()})
    });
    json!({"view": view, "acts": status.acts, "primary": status.primary.as_ref().map(|s| hex(s.id)),
        "promised": status.promised, "disk_fit": status.fit, "age_ms": status.age.map(|age| age.as_millis() as u64)})
}

/// Logs what became of a configuration order here, also where its caller has gone before the answer.
struct ConfigurationRequestLog {
    base: u64,
    bytes: usize,
    since: Instant,
    code: Option<ResultCode>,
}

impl ConfigurationRequestLog {
    fn new(base: u64, bytes: usize) -> Self {
        Self {
            base,
            bytes,
            since: Instant::now(),
            code: None,
        }
    }
}

impl Drop for ConfigurationRequestLog {
    fn drop(&mut self) {
        let waited_ms = self.since.elapsed().as_millis() as u64;
        let result = self.code.map_or("the caller has gone", ResultCode::text);
        log::info!(base = self.base, bytes = self.bytes, waited_ms, result; "order");
    }
}

impl HandleRequest for RequestHandler {
    async fn run(&self, call: Call) -> Reply {
        if call == Call::Status {
            return Reply::json(self.status().await);
        }
        if *self.leaving.borrow() {
            return Reply::of(ResultCode::Leaving);
        }
        let opened = match self.opened().await {
            Ok(opened) => opened,
            Err(code) => return Reply::of(code),
        };
        match call {
            Call::Status => Reply::json(self.status().await),
            Call::ConfigurationHistory(version) => self.history(&opened, version),
            Call::Read => {
                match command(&self.events, Command::Read { reserved: 0 }, self.patience).await {
                    (ResultCode::Ok, document) => Reply::json(document),
                    (code, text) => Reply::detailed(code, &String::from_utf8_lossy(&text)),
                }
            }
            Call::Configure { base, amend, body } => {
                let mut trace = ConfigurationRequestLog::new(base, body.len());
                let asked = Command::Configure {
                    base,
                    amend,
                    body: body.into(),
                };
                let (code, text) = command(&self.events, asked, self.patience).await;
                trace.code = Some(code);
                Reply::detailed(code, &String::from_utf8_lossy(&text))
            }
            Call::Host(call) => self.host(&opened, &call).await,
        }
    }
}
