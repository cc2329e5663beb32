//! Handles the requests of hosts, operators and applications. Host requests update the host registry. Drains,
//! configuration requests and coordination requests become commands for the state machine.

use super::control_request::ControlRequest;
use super::control_server::{HandleRequest, Reply};
use super::peer_connections::PeerConnections;
use super::quota_server::SharedQuotas;
use super::status_page::{self, StatusPage};
use super::{run_command, CommandReply, Event, EventSender, MemberStatus};
use crate::configuration_history::ConfigurationHistory;
use crate::host_registry::{heartbeat_target, heartbeat_target_without_contact, HostRequest};
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
/// Longest wait for a drain to be committed.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest wait for the reply to a coordination request; a watch adds its own wait to it.
const COORDINATION_TIMEOUT: Duration = Duration::from_millis(950);
/// Longest time that a request waits for the state directory to be opened.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// The parts of a member that exist once its identity has been read from the disk.
pub(super) struct OpenMember {
    pub(super) local_member: MemberInfo,
    pub(super) incarnation: u64,
    pub(super) peers: PeerConnections,
    pub(super) publisher: Arc<RegistryPublisher>,
    pub(super) history: Rc<RefCell<ConfigurationHistory>>,
    pub(super) quotas: SharedQuotas,
}

/// Handles the control API's requests.
#[derive(Clone)]
pub(super) struct RequestHandler {
    node_name: Rc<str>,
    events: EventSender,
    command_timeout: Duration,
    /// Whether the process is shutting down and rejects new requests.
    shutdown: watch::Receiver<bool>,
    opened: watch::Receiver<Option<Rc<OpenMember>>>,
}

impl RequestHandler {
    /// Creates a handler whose requests wait up to [`OPEN_TIMEOUT`] for `opened` to hold the member.
    pub(super) fn new(
        node_name: String,
        events: EventSender,
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

    async fn wait_until_open(&self) -> Result<Rc<OpenMember>, ResultCode> {
        let mut opened = self.opened.clone();
        let is_open = timeout(OPEN_TIMEOUT, opened.wait_for(Option::is_some)).await;
        let member = is_open.ok().and_then(Result::ok);
        member
            .and_then(|member| member.clone())
            .ok_or(ResultCode::Opening)
    }

    async fn read_configuration(&self) -> Reply {
        let read = Command::Read { reserved: 0 };
        let reply = run_command(&self.events, read, self.command_timeout).await;
        match reply.code {
            ResultCode::Ok => Reply::json(reply.body),
            _ => reply_with_detail(&reply),
        }
    }

    async fn change_configuration(&self, base: u64, amend: bool, body: Bytes) -> Reply {
        let mut trace = ConfigurationRequestTrace::new(base, body.len());
        let configure = Command::Configure {
            base,
            amend,
            body: body.into(),
        };
        let reply = run_command(&self.events, configure, self.command_timeout).await;
        trace.code = Some(reply.code);
        reply_with_detail(&reply)
    }

    async fn handle_host_request(&self, opened: &OpenMember, request: &HostRequest) -> Reply {
        // Proxies learn of a drain at once, even if its command fails to commit.
        opened.publisher.handle(request);
        if request.is_leaving() {
            return self.commit_drain(opened, request.host()).await;
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

    /// Commits the drain of a host that is draining or gone, so that it is as durable as the configuration before it is
    /// acknowledged.
    async fn commit_drain(&self, opened: &OpenMember, host: &str) -> Reply {
        let snapshot = opened.publisher.mirror().snapshot();
        if snapshot.draining_hosts.contains(host) {
            return Reply::json("{}");
        }
        let drain = Command::Drain {
            host: host.to_owned(),
        };
        let reply = run_command(&self.events, drain, DRAIN_TIMEOUT).await;
        match reply.code {
            ResultCode::Ok => Reply::json("{}"),
            _ => reply_with_detail(&reply),
        }
    }

    /// Handles a request for locks, numbers, cells or watches. A request without a clear result is answered with
    /// [`ResultCode::OutcomeUnknown`], as it may still take effect.
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
        let is_shutting_down = *self.shutdown.borrow();
        let opened = self.opened.borrow().clone();
        let Some(opened) = opened else {
            let page = status_page::opening_page(&self.node_name, is_shutting_down);
            return Reply::json(page.to_string());
        };
        let page = StatusPage {
            is_shutting_down,
            member: self.member_status().await,
            opened: &opened,
        };
        Reply::json(page.json().to_string())
    }

    /// Returns the state machine's status, or `None` if it doesn't reply within [`STATUS_TIMEOUT`].
    async fn member_status(&self) -> Option<MemberStatus> {
        let (status_sender, status) = oneshot::channel();
        self.events.send(Event::Status(status_sender)).ok()?;
        timeout(STATUS_TIMEOUT, status).await.ok()?.ok()
    }
}

/// Returns the member that the host should send its next heartbeats to, or `None` if that is this member.
fn next_heartbeat_target(opened: &OpenMember, host: &str, call_seq: u64) -> Option<MemberInfo> {
    let own_id = opened.local_member.id;
    if let Some(members) = opened.publisher.members_when_contact_is_lost() {
        return heartbeat_target_without_contact(host, call_seq, own_id, &members).cloned();
    }
    let reachable = opened.peers.reachable_members();
    heartbeat_target(host, own_id, &reachable).cloned()
}

/// Replies with the versions that this member saw in force, newest last, or with the configuration of `version`.
fn history_reply(opened: &OpenMember, version: Option<u64>) -> Reply {
    let history = opened.history.borrow();
    let Some(version) = version else {
        return Reply::json(json!({"versions": history.entries()}).to_string());
    };
    match history.configuration(version) {
        Some(configuration) => Reply::json(configuration.to_json()),
        None => Reply::with_detail(ResultCode::NoSuchVersion, &version.to_string()),
    }
}

fn reply_with_detail(reply: &CommandReply) -> Reply {
    Reply::with_detail(reply.code, &String::from_utf8_lossy(&reply.body))
}

/// Logs the result of a configuration request when dropped, including when the caller disconnects before the reply.
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
        let opened = match self.wait_until_open().await {
            Ok(opened) => opened,
            Err(code) => return Reply::from_code(code),
        };
        match request {
            ControlRequest::Status => self.status().await,
            ControlRequest::History(version) => history_reply(&opened, version),
            ControlRequest::Read => self.read_configuration().await,
            ControlRequest::Configure { base, amend, body } => {
                self.change_configuration(base, amend, body).await
            }
            ControlRequest::Host(request) => self.handle_host_request(&opened, &request).await,
            ControlRequest::Coordinate(request) => self.coordinate(request).await,
        }
    }
}
