//! Handles requests of hosts, operators and applications: those about hosts with the host registry, the rest with the
//! member.

use super::control_request::ControlRequest;
use super::control_server::{HandleRequest, Reply};
use super::peer_connections::PeerConnections;
use super::quota_server::SharedQuotas;
use super::status_page::{self, StatusPage};
use super::{run_command, CommandReply, Event, Events, MemberStatus};
use crate::configuration_history::ConfigurationHistory;
use crate::host_registry::{heartbeat_target, heartbeat_target_elsewhere, HostRequest};
use crate::registry_publisher::RegistryPublisher;
use bytes::Bytes;
use configuration::ResultCode;
use protocol::{Command, CoordinationRequest, MemberInfo};
use serde_json::json;
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::{timeout, Instant};

/// Longest wait for the state machine's status.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time that a host waits for its drain.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest time that a call for locks, numbers or cells takes, and a watch beyond the time that it waits.
const COORDINATION_TIMEOUT: Duration = Duration::from_millis(950);
/// Longest time that a request waits for the disk at the start.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// What exists once the identity is read from the disk.
pub(super) struct OpenMember {
    pub(super) me: MemberInfo,
    pub(super) incarnation: u64,
    pub(super) peers: PeerConnections,
    pub(super) publisher: Arc<RegistryPublisher>,
    pub(super) history: Rc<RefCell<ConfigurationHistory>>,
    pub(super) quotas: SharedQuotas,
}

/// Handles requests.
#[derive(Clone)]
pub(super) struct RequestHandler {
    node_name: Rc<str>,
    events: Events,
    command_timeout: Duration,
    /// The process is about to end: nothing new is taken.
    shutdown: watch::Receiver<bool>,
    opened: watch::Receiver<Option<Rc<OpenMember>>>,
}

impl RequestHandler {
    /// A handler whose requests wait a little until `opened` brings the member.
    pub(super) fn new(
        node_name: String,
        events: Events,
        command_timeout: Duration,
        shutdown: watch::Receiver<bool>,
        opened: watch::Receiver<Option<Rc<OpenMember>>>,
    ) -> Self {
        Self {
            node_name: node_name.into(),
            events,
            command_timeout,
            shutdown,
            opened,
        }
    }

    async fn opened(&self) -> Result<Rc<OpenMember>, ResultCode> {
        let mut opened = self.opened.clone();
        let is_open = timeout(OPEN_TIMEOUT, opened.wait_for(Option::is_some)).await;
        let member = is_open.ok().and_then(Result::ok);
        member
            .and_then(|member| member.clone())
            .ok_or(ResultCode::Opening)
    }

    async fn read(&self) -> Reply {
        let read = Command::Read { reserved: 0 };
        let reply = run_command(&self.events, read, self.command_timeout).await;
        match reply.code {
            ResultCode::Ok => Reply::json(reply.body),
            _ => detailed(&reply),
        }
    }

    async fn configure(&self, base: u64, amend: bool, body: Bytes) -> Reply {
        let mut trace = ConfigurationRequestTrace::new(base, body.len());
        let configure = Command::Configure {
            base,
            amend,
            body: body.into(),
        };
        let reply = run_command(&self.events, configure, self.command_timeout).await;
        trace.code = Some(reply.code);
        detailed(&reply)
    }

    async fn host(&self, opened: &OpenMember, request: &HostRequest) -> Reply {
        // Proxies hear of a drain at once, whatever becomes of it in the replicated state.
        opened.publisher.handle(request);
        if request.is_leaving() {
            return self.drain(opened, request.host()).await;
        }
        let call_seq = request
            .heartbeat()
            .map_or(0, |heartbeat| heartbeat.call_seq);
        match next_heartbeat_target(opened, request.host(), call_seq) {
            Some(member) => {
                let target = SocketAddrV4::from(&member.control_addr);
                Reply::json(json!({"beat_target": target.to_string()}).to_string())
            }
            None => Reply::json("{}"),
        }
    }

    /// A host is draining or gone: acknowledged once that is as durable as the configuration.
    async fn drain(&self, opened: &OpenMember, host: &str) -> Reply {
        let known = opened.publisher.mirror().snapshot();
        if known.draining_hosts.contains(host) {
            return Reply::json("{}");
        }
        let drain = Command::Drain {
            host: host.to_owned(),
        };
        let reply = run_command(&self.events, drain, DRAIN_TIMEOUT).await;
        match reply.code {
            ResultCode::Ok => Reply::json("{}"),
            _ => detailed(&reply),
        }
    }

    /// A call for locks, numbers, cells or watches. One that may take effect without the caller's knowing gets no
    /// promise that it doesn't.
    async fn coordinate(&self, request: CoordinationRequest) -> Reply {
        let wait_ms = match &request {
            CoordinationRequest::Watch { wait_ms, .. } => *wait_ms,
            _ => 0,
        };
        if let CoordinationRequest::FreeLock { name } = &request {
            log::warn!(lock = name.as_str(); "an operator frees a lock");
        }
        let is_watch = wait_ms > 0;
        let wait = Duration::from_millis(u64::from(wait_ms)) + COORDINATION_TIMEOUT;
        let command = Command::Coordinate { request };
        let mut shutdown = self.shutdown.clone();
        let reply = tokio::select! {
            reply = run_command(&self.events, command, wait) => reply,
            _ = shutdown.wait_for(|shutdown| *shutdown), if is_watch => {
                return Reply::from_code(ResultCode::Leaving);
            }
        };
        match reply.code {
            ResultCode::Unclear => Reply::from_code(ResultCode::OutcomeUnknown),
            code if reply.body.is_empty() => Reply::from_code(code),
            code => Reply {
                code,
                body: Some(reply.body.into()),
            },
        }
    }

    async fn status(&self) -> Reply {
        let is_leaving = *self.shutdown.borrow();
        let opened = self.opened.borrow().clone();
        let Some(opened) = opened else {
            let page = status_page::before_open(&self.node_name, is_leaving);
            return Reply::json(page.to_string());
        };
        let page = StatusPage {
            is_leaving,
            member: self.member_status().await,
            opened: &opened,
        };
        Reply::json(page.json().to_string())
    }

    /// The state machine's status; `None` if it doesn't answer in time.
    async fn member_status(&self) -> Option<MemberStatus> {
        let (asker, status) = oneshot::channel();
        self.events.send(Event::Status(asker)).ok()?;
        timeout(STATUS_TIMEOUT, status).await.ok()?.ok()
    }
}

/// The member that a host's later heartbeats should go to; `None` if that is this one.
fn next_heartbeat_target(opened: &OpenMember, host: &str, call_seq: u64) -> Option<MemberInfo> {
    let own_id = opened.me.id;
    if let Some(members) = opened.publisher.members_when_contact_is_lost() {
        return heartbeat_target_elsewhere(host, call_seq, own_id, &members).cloned();
    }
    let reachable = opened.peers.reachable_members();
    heartbeat_target(host, own_id, &reachable).cloned()
}

/// The versions that this member saw in force, newest last, or the configuration of one of them.
fn history(opened: &OpenMember, version: Option<u64>) -> Reply {
    let history = opened.history.borrow();
    let Some(version) = version else {
        return Reply::json(json!({"versions": history.entries()}).to_string());
    };
    match history.configuration(version) {
        Some(configuration) => Reply::json(configuration.to_json()),
        None => Reply::with_detail(ResultCode::NoSuchVersion, &version.to_string()),
    }
}

fn detailed(reply: &CommandReply) -> Reply {
    Reply::with_detail(reply.code, &String::from_utf8_lossy(&reply.body))
}

/// Logs what became of a configuration request, also if its caller has gone before the reply.
struct ConfigurationRequestTrace {
    base: u64,
    bytes: usize,
    started_at: Instant,
    code: Option<ResultCode>,
}

impl ConfigurationRequestTrace {
    fn new(base: u64, bytes: usize) -> Self {
        Self {
            base,
            bytes,
            started_at: Instant::now(),
            code: None,
        }
    }
}

impl Drop for ConfigurationRequestTrace {
    fn drop(&mut self) {
        let waited_ms = self.started_at.elapsed().as_millis() as u64;
        let result = self.code.map_or("the caller has gone", ResultCode::text);
        log::info!(base = self.base, bytes = self.bytes, waited_ms, result; "configuration request");
    }
}

impl HandleRequest for RequestHandler {
    async fn handle(&self, request: ControlRequest) -> Reply {
        if request == ControlRequest::Status {
            return self.status().await;
        }
        if *self.shutdown.borrow() {
            return Reply::from_code(ResultCode::Leaving);
        }
        let opened = match self.opened().await {
            Ok(opened) => opened,
            Err(code) => return Reply::from_code(code),
        };
        match request {
            ControlRequest::Status => self.status().await,
            ControlRequest::History(version) => history(&opened, version),
            ControlRequest::Read => self.read().await,
            ControlRequest::Configure { base, amend, body } => {
                self.configure(base, amend, body).await
            }
            ControlRequest::Host(request) => self.host(&opened, &request).await,
            ControlRequest::Coordinate(request) => self.coordinate(request).await,
        }
    }
}
