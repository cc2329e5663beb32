//! The actors for district hosts. Each owns the connections to one host and distributes calls over them.

use super::link::{ConnectionLoad, Dialect, LinkCommand, LinkSetup};
use super::stall_detector::StallDetector;
use crate::core::settings::CoordinatorLimits;
use crate::core::{CoreMessage, Endpoint, PartRequest, Transport};
use crate::counters::Counters;
use crate::interface::{Outcome, RequestId, ServerId};
use crate::ops::hot_restart::RestartRole;
use multi_core::drain_gates::{DrainGate, DrainGates};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::{mpsc, watch};

enum HostCommand {
    Endpoint(String, Option<Instant>),
    Call(Vec<PartRequest>),
    Cancel(RequestId, u32, Outcome),
    Retract(RequestId, u32),
    Probe,
    Release,
}

struct LinkHandle {
    /// Whether the link gets no new calls: it leads to an earlier address of the host, or is about to close. Parts that
    /// are in flight on it may still be answered.
    retired: bool,
    mail: mpsc::UnboundedSender<LinkCommand>,
    load: Arc<ConnectionLoad>,
}

struct HostActor {
    server: ServerId,
    addr: String,
    stop_at: Option<Instant>,
    gate: Option<(Arc<DrainGate>, Instant)>,
    links: Vec<LinkHandle>,
    stall_detector: Arc<StallDetector>,
    shared: Arc<SharedState>,
}

struct SharedState {
    dialect: Arc<dyn Dialect>,
    caps: CoordinatorLimits,
    /// Limit on the connections to all hosts. A host's first connection is always opened, further ones only below the
    /// limit.
    max_connections: usize,
    /// The role of this process in a hot restart: while there is another process, each has half of the connections.
    restart_role: watch::Receiver<RestartRole>,
    open_connections: Arc<AtomicUsize>,
    core: mpsc::UnboundedSender<CoreMessage>,
    counters: Counters,
    /// The drain gates that all cores share, with the origin of their times.
    gates: Option<(Arc<DrainGates>, Instant)>,
}

/// The transport of a core: the actors for all hosts.
pub struct HostConnections {
    shared: Arc<SharedState>,
    mailboxes: BTreeMap<ServerId, mpsc::UnboundedSender<HostCommand>>,
}

/// The parameters of [`HostConnections`].
pub struct HostConnectionsSetup {
    /// The wire protocol of the hosts.
    pub dialect: Arc<dyn Dialect>,
    /// The limits from the settings.
    pub caps: CoordinatorLimits,
    /// Limit on the connections to all hosts. A host's first connection is always opened.
    pub max_connections: usize,
    /// The mailbox of the core, which receives the answers.
    pub core: mpsc::UnboundedSender<CoreMessage>,
    /// The process's counters.
    pub counters: Counters,
    /// The drain gates that all cores share, with the origin of their times; `None` with a single core.
    pub gates: Option<(Arc<DrainGates>, Instant)>,
    /// The role of this process in a hot restart; while there is another process, each has half of the connections.
    pub restart_role: watch::Receiver<RestartRole>,
}

impl HostConnections {
    /// Creates the transport with no hosts yet.
    pub fn new(setup: HostConnectionsSetup) -> Self {
        let mut caps = setup.caps;
        // A host reads nothing more from a connection that is at its limit of parts, not even a cancellation, so that a
        // cancelled part that is sent again elsewhere would run twice. One place therefore stays free.
        caps.max_parts_per_connection = caps.max_parts_per_connection.saturating_sub(1).max(1);
        let shared = Arc::new(SharedState {
            dialect: setup.dialect,
            caps,
            max_connections: setup.max_connections,
            restart_role: setup.restart_role,
            open_connections: Arc::default(),
            core: setup.core,
            counters: setup.counters,
            gates: setup.gates,
        });
        Self {
            shared,
            mailboxes: BTreeMap::new(),
        }
    }

    fn send(&mut self, server: ServerId, command: HostCommand) {
        if let Some(mailbox) = self.mailboxes.get(&server) {
            // An actor ends only when its mailbox is dropped, which happens when the host is forgotten.
            let _ = mailbox.send(command);
        }
    }
}

impl Transport for HostConnections {
    fn host_listed(&mut self, server: ServerId, host: &Endpoint, stop_at: Option<Instant>) {
        let shared = self.shared.clone();
        let addr = host.addr.clone();
        self.mailboxes.entry(server).or_insert_with(|| {
            let (tx, rx) = mpsc::unbounded_channel();
            let gate = shared
                .gates
                .as_ref()
                .map(|(gates, origin)| (gates.gate(&host.id), *origin));
            let (links, stall_detector) = (
                Vec::new(),
                Arc::new(StallDetector::among(shared.caps.coordinators)),
            );
            let actor = HostActor {
                server,
                addr,
                stop_at,
                gate,
                links,
                stall_detector,
                shared,
            };
            tokio::spawn(actor.run(rx));
            tx
        });
        self.send(server, HostCommand::Endpoint(host.addr.clone(), stop_at));
    }

    fn send_call(&mut self, server: ServerId, parts: Vec<PartRequest>) {
        self.send(server, HostCommand::Call(parts));
    }

    fn cancel(&mut self, server: ServerId, part: RequestId, attempt: u32, outcome: Outcome) {
        self.send(server, HostCommand::Cancel(part, attempt, outcome));
    }

    fn retract(&mut self, server: ServerId, part: RequestId, attempt: u32) {
        self.send(server, HostCommand::Retract(part, attempt));
    }

    fn probe(&mut self, server: ServerId) {
        self.send(server, HostCommand::Probe);
    }

    fn close_idle_connections(&mut self, server: ServerId) {
        self.send(server, HostCommand::Release);
    }

    fn forget_host(&mut self, server: ServerId) {
        // The host's actor ends with its mailbox, and each link once nothing is in flight on it.
        self.mailboxes.remove(&server);
    }
}

impl HostActor {
    async fn run(mut self, mut mailbox: mpsc::UnboundedReceiver<HostCommand>) {
        while let Some(command) = mailbox.recv().await {
            self.links.retain(|l| !l.mail.is_closed());
            match command {
                HostCommand::Endpoint(addr, stop_at) => self.update_endpoint(addr, stop_at),
                HostCommand::Call(parts) => self.send_call(parts),
                // Only the link that has the part reports its end.
                HostCommand::Cancel(part, attempt, outcome) => {
                    self.links.iter().for_each(|l| {
                        let _ = l.mail.send(LinkCommand::Cancel(part, attempt, outcome));
                    });
                }
                HostCommand::Retract(part, attempt) => {
                    self.links
                        .iter()
                        .for_each(|l| drop(l.mail.send(LinkCommand::Retract(part, attempt))));
                }
                HostCommand::Probe => {
                    let link = self.select_link(0).unwrap_or_else(|| self.open_link());
                    if link.send(LinkCommand::Probe).is_err() {
                        let failed =
                            CoreMessage::ProbeEnded(self.server, Outcome::ConnectFailed, None);
                        let _ = self.shared.core.send(failed);
                    }
                }
                HostCommand::Release => {
                    // The link is retired at once, not only when it is closed: a call of the same turn must not be
                    // sent on a connection that is about to close, where it would count as refused by the host.
                    for l in self
                        .links
                        .iter_mut()
                        .filter(|l| l.load.parts.load(Ordering::Relaxed) == 0)
                    {
                        l.retired = true;
                        let _ = l.mail.send(LinkCommand::Release);
                    }
                }
            }
        }
    }

    fn update_endpoint(&mut self, addr: String, stop_at: Option<Instant>) {
        self.stop_at = stop_at;
        for l in &self.links {
            let _ = l.mail.send(LinkCommand::StopAt(stop_at));
        }
        if self.addr != addr {
            // New calls go to the new address; parts in flight on the old one may still be answered.
            self.links.iter_mut().for_each(|l| l.retired = true);
            self.addr = addr;
        }
    }

    /// Returns whether parts have been waiting on a link for longer than the host usually takes.
    fn is_stalled(&self, l: &LinkHandle) -> bool {
        self.stall_detector.is_stalled(
            l.load.waiting_since(),
            Instant::now(),
            self.shared.caps.connect_timeout,
        )
    }

    /// Returns the link for a call of `parts` parts; `None` if a further one should be opened, or if none has room.
    ///
    /// It is the link with the most parts that has room and is not silent, so that few links stay in use and the others
    /// become idle. A stalled link gets no calls, since they would be lost with it; but if two links are stalled, the
    /// host itself has stalled, and a further connection would not help. For a host that ends connections right after
    /// answers it is the link with the fewest parts, and none that carries parts while a further one may be opened.
    fn select_link(&self, parts: usize) -> Option<mpsc::UnboundedSender<LinkCommand>> {
        let now_stalled: Vec<bool> = self.links.iter().map(|l| self.is_stalled(l)).collect();
        let host_stalled = now_stalled.iter().filter(|s| **s).count() > 1;
        let room = |l: &&LinkHandle| {
            !l.retired
                && !l.load.silent.load(Ordering::Relaxed)
                && self.shared.dialect.room(
                    l.load.parts.load(Ordering::Relaxed),
                    parts,
                    self.shared.caps.max_parts_per_connection,
                )
        };
        let usable = self
            .links
            .iter()
            .zip(now_stalled)
            .filter(|(l, stalled)| room(l) && (host_stalled || !stalled));
        let load = |l: &LinkHandle| l.load.parts.load(Ordering::Relaxed);
        let spread = self
            .stall_detector
            .spread(self.shared.dialect.max_connections());
        if spread == 1 {
            return usable
                .max_by_key(|(l, stalled)| (!stalled, load(l)))
                .map(|(l, _)| l.mail.clone());
        }
        let emptiest = usable.min_by_key(|(l, stalled)| (*stalled, load(l)))?.0;
        let open_another =
            load(emptiest) > 0 && self.active_link_count() < spread && self.may_open_link();
        (!open_another).then(|| emptiest.mail.clone())
    }

    fn active_link_count(&self) -> usize {
        self.links.iter().filter(|l| !l.retired).count()
    }

    fn may_open_link(&self) -> bool {
        let own = self.active_link_count();
        let all = self.shared.open_connections.load(Ordering::Relaxed);
        own < self.shared.dialect.max_connections()
            && all
                < self
                    .shared
                    .restart_role
                    .borrow()
                    .share_of(self.shared.max_connections)
    }

    fn open_link(&mut self) -> mpsc::UnboundedSender<LinkCommand> {
        let (tx, mail) = mpsc::unbounded_channel();
        let load = Arc::new(ConnectionLoad::default());
        let setup = LinkSetup {
            server: self.server,
            addr: self.addr.clone(),
            streams: self.shared.caps.max_parts_per_connection,
            connect_timeout: self.shared.caps.connect_timeout,
            idle: self.shared.caps.connection_idle_timeout,
            stop_at: self.stop_at,
            gate: self.gate.clone(),
            mail,
            load: load.clone(),
            stall_detector: self.stall_detector.clone(),
            core: self.shared.core.clone(),
            counters: self.shared.counters.clone(),
        };
        let (task, links) = (
            self.shared.dialect.open(setup),
            self.shared.open_connections.clone(),
        );
        links.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            task.await;
            links.fetch_sub(1, Ordering::Relaxed);
        });
        self.links.push(LinkHandle {
            retired: false,
            mail: tx.clone(),
            load,
        });
        tx
    }

    fn send_call(&mut self, mut parts: Vec<PartRequest>) {
        loop {
            let link = match self.select_link(parts.len()) {
                Some(link) => link,
                None if self.may_open_link() => self.open_link(),
                // All links are full: the call waits on the one with the fewest parts, within its parts' timeouts.
                None => match self
                    .links
                    .iter()
                    .filter(|l| !l.retired)
                    .min_by_key(|l| l.load.parts.load(Ordering::Relaxed))
                {
                    Some(l) => l.mail.clone(),
                    None => self.open_link(),
                },
            };
            let load = self
                .links
                .iter()
                .find(|l| l.mail.same_channel(&link))
                .map(|l| l.load.clone());
            let n = parts.len();
            match link.send(LinkCommand::Call(parts)) {
                Ok(()) => {
                    load.into_iter().for_each(|g| {
                        g.parts.fetch_add(n, Ordering::Relaxed);
                    });
                    return;
                }
                // The link has closed in the meantime and nothing was sent; another link takes the call.
                Err(mpsc::error::SendError(LinkCommand::Call(back))) => {
                    parts = back;
                    self.links.retain(|l| !l.mail.is_closed());
                }
                Err(_) => return,
            }
        }
    }
}
