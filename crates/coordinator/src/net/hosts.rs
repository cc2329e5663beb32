//! The actor of a district host: it owns the host's connections and hands calls to them.

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

enum PeerMail {
    Endpoint(String, Option<Instant>),
    Call(Vec<PartRequest>),
    Cancel(RequestId, u32, Outcome),
    Retract(RequestId, u32),
    Probe,
    Release,
}

struct LinkRef {
    /// Whether it leads to an address that the host has left: it still answers for what is out on it.
    old: bool,
    mail: mpsc::UnboundedSender<LinkCommand>,
    load: Arc<ConnectionLoad>,
}

struct Peer {
    server: ServerId,
    addr: String,
    stop_at: Option<Instant>,
    gate: Option<(Arc<DrainGate>, Instant)>,
    links: Vec<LinkRef>,
    stall_detector: Arc<StallDetector>,
    shared: Arc<Shared>,
}

struct Shared {
    dialect: Arc<dyn Dialect>,
    caps: CoordinatorLimits,
    /// Limit on the connections to all hosts: a host's first one is always opened, further ones only below this.
    max_connections: usize,
    /// Of that another process of the coordinator has half, while there is one.
    restart_role: watch::Receiver<RestartRole>,
    open_connections: Arc<AtomicUsize>,
    core: mpsc::UnboundedSender<CoreMessage>,
    counters: Counters,
    /// The gates that all cores share, and the origin of their times.
    gates: Option<(Arc<DrainGates>, Instant)>,
}

/// The hosts' actors, as the core's transport.
pub struct HostConnections {
    shared: Arc<Shared>,
    mailboxes: BTreeMap<ServerId, mpsc::UnboundedSender<PeerMail>>,
}

/// What the hosts' actors need.
pub struct HostConnectionsSetup {
    /// How hosts are spoken to.
    pub dialect: Arc<dyn Dialect>,
    /// The limits of the settings.
    pub caps: CoordinatorLimits,
    /// Limit on the connections to all hosts. A host's first one is always opened.
    pub max_connections: usize,
    /// The core's mailbox, where answers go.
    pub core: mpsc::UnboundedSender<CoreMessage>,
    /// The counters.
    pub counters: Counters,
    /// The drain gates that all cores share, and the origin of their times; `None` with one core.
    pub gates: Option<(Arc<DrainGates>, Instant)>,
    /// The role of this process in a hot restart: while there is another process each has half of the connections.
    pub restart_role: watch::Receiver<RestartRole>,
}

impl HostConnections {
    /// Creates the transport with no hosts yet.
    pub fn new(setup: HostConnectionsSetup) -> Self {
        let mut caps = setup.caps;
        // A host whose connection carries all that it may reads nothing more on it, not even a cancellation: a
        // part sent elsewhere would then run twice. So one place stays free.
        caps.max_parts_per_connection = caps.max_parts_per_connection.saturating_sub(1).max(1);
        let shared = Arc::new(Shared {
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

    fn tell(&mut self, server: ServerId, mail: PeerMail) {
        if let Some(mailbox) = self.mailboxes.get(&server) {
            // An actor ends only with its mailbox, that with the host.
            let _ = mailbox.send(mail);
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
            let peer = Peer {
                server,
                addr,
                stop_at,
                gate,
                links,
                stall_detector,
                shared,
            };
            tokio::spawn(peer.run(rx));
            tx
        });
        self.tell(server, PeerMail::Endpoint(host.addr.clone(), stop_at));
    }

    fn send_call(&mut self, server: ServerId, parts: Vec<PartRequest>) {
        self.tell(server, PeerMail::Call(parts));
    }

    fn cancel(&mut self, server: ServerId, part: RequestId, attempt: u32, outcome: Outcome) {
        self.tell(server, PeerMail::Cancel(part, attempt, outcome));
    }

    fn retract(&mut self, server: ServerId, part: RequestId, attempt: u32) {
        self.tell(server, PeerMail::Retract(part, attempt));
    }

    fn probe(&mut self, server: ServerId) {
        self.tell(server, PeerMail::Probe);
    }

    fn close_idle_connections(&mut self, server: ServerId) {
        self.tell(server, PeerMail::Release);
    }

    fn forget_host(&mut self, server: ServerId) {
        // Its actor ends with its mailbox, and each link once nothing is out on it.
        self.mailboxes.remove(&server);
    }
}

impl Peer {
    async fn run(mut self, mut mail: mpsc::UnboundedReceiver<PeerMail>) {
        while let Some(mail) = mail.recv().await {
            self.links.retain(|l| !l.mail.is_closed());
            match mail {
                PeerMail::Endpoint(addr, stop_at) => self.listed(addr, stop_at),
                PeerMail::Call(parts) => self.call(parts),
                // The one that has the part answers for it.
                PeerMail::Cancel(part, attempt, outcome) => {
                    self.links.iter().for_each(|l| {
                        let _ = l.mail.send(LinkCommand::Cancel(part, attempt, outcome));
                    });
                }
                PeerMail::Retract(part, attempt) => {
                    self.links
                        .iter()
                        .for_each(|l| drop(l.mail.send(LinkCommand::Retract(part, attempt))));
                }
                PeerMail::Probe => {
                    let link = self.sound_link(0).unwrap_or_else(|| self.open());
                    if link.send(LinkCommand::Probe).is_err() {
                        let failed =
                            CoreMessage::ProbeEnded(self.server, Outcome::ConnectFailed, None);
                        let _ = self.shared.core.send(failed);
                    }
                }
                PeerMail::Release => {
                    // Old from now on, not only once it is closed: a call of the same turn must not land
                    // on a connection that is about to close, and count as refused by the host.
                    for l in self
                        .links
                        .iter_mut()
                        .filter(|l| l.load.parts.load(Ordering::Relaxed) == 0)
                    {
                        l.old = true;
                        let _ = l.mail.send(LinkCommand::Release);
                    }
                }
            }
        }
    }

    fn listed(&mut self, addr: String, stop_at: Option<Instant>) {
        self.stop_at = stop_at;
        for l in &self.links {
            let _ = l.mail.send(LinkCommand::StopAt(stop_at));
        }
        if self.addr != addr {
            // Calls go to the new address; what is out on the old one may still come in.
            self.links.iter_mut().for_each(|l| l.old = true);
            self.addr = addr;
        }
    }

    /// Whether a link has kept parts waiting in silence for longer than the host usually takes.
    fn stalled(&self, l: &LinkRef) -> bool {
        self.stall_detector.is_stalled(
            l.load.waits(),
            Instant::now(),
            self.shared.caps.connect_timeout,
        )
    }

    /// The fullest link that has room and is not silent: few links stay in use, the others go idle. One that
    /// is stalled gets nothing more, as all that it collects would be lost with it; where two are it is the
    /// host that stands still, and a further connection would not help. Of a host that ends connections right
    /// after answers the emptiest, and none that carries parts already while a further one is to be opened.
    fn sound_link(&self, parts: usize) -> Option<mpsc::UnboundedSender<LinkCommand>> {
        let now_stalled: Vec<bool> = self.links.iter().map(|l| self.stalled(l)).collect();
        let still = now_stalled.iter().filter(|s| **s).count() > 1;
        let room = |l: &&LinkRef| {
            !l.old
                && !l.load.silent.load(Ordering::Relaxed)
                && self.shared.dialect.room(
                    l.load.parts.load(Ordering::Relaxed),
                    parts,
                    self.shared.caps.max_parts_per_connection,
                )
        };
        let able = self
            .links
            .iter()
            .zip(now_stalled)
            .filter(|(l, stalled)| room(l) && (still || !stalled));
        let load = |l: &LinkRef| l.load.parts.load(Ordering::Relaxed);
        let spread = self
            .stall_detector
            .spread(self.shared.dialect.max_connections());
        if spread == 1 {
            return able
                .max_by_key(|(l, stalled)| (!stalled, load(l)))
                .map(|(l, _)| l.mail.clone());
        }
        let emptiest = able.min_by_key(|(l, stalled)| (*stalled, load(l)))?.0;
        let more = load(emptiest) > 0 && self.own_links() < spread && self.may_open();
        (!more).then(|| emptiest.mail.clone())
    }

    fn own_links(&self) -> usize {
        self.links.iter().filter(|l| !l.old).count()
    }

    fn may_open(&self) -> bool {
        let own = self.own_links();
        let all = self.shared.open_connections.load(Ordering::Relaxed);
        own < self.shared.dialect.max_connections()
            && all
                < self
                    .shared
                    .restart_role
                    .borrow()
                    .share_of(self.shared.max_connections)
    }

    fn open(&mut self) -> mpsc::UnboundedSender<LinkCommand> {
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
        self.links.push(LinkRef {
            old: false,
            mail: tx.clone(),
            load,
        });
        tx
    }

    fn call(&mut self, mut parts: Vec<PartRequest>) {
        loop {
            let link = match self.sound_link(parts.len()) {
                Some(link) => link,
                None if self.may_open() => self.open(),
                // All full: the call waits on the emptiest one, within its parts' time.
                None => match self
                    .links
                    .iter()
                    .filter(|l| !l.old)
                    .min_by_key(|l| l.load.parts.load(Ordering::Relaxed))
                {
                    Some(l) => l.mail.clone(),
                    None => self.open(),
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
                // Closed meanwhile: nothing was sent, another link takes it.
                Err(mpsc::error::SendError(LinkCommand::Call(back))) => {
                    parts = back;
                    self.links.retain(|l| !l.mail.is_closed());
                }
                Err(_) => return,
            }
        }
    }
}
