//! From the settings and the disk to a member that runs: what listens, what is connected, and in which order.

use super::control_server::{ControlCounters, ControlServer};
use super::event_loop::{EventLoop, Services};
use super::identity::{Identity, StartContext};
use super::peer_connections::{PeerConnections, PeerEvent};
use super::request_handler::{OpenMember, RequestHandler};
use super::storage::{self, StorageEvent};
use super::transitions::TransitionLog;
use super::{host_cache, inbound, seeds};
use super::{
    Event, Events, ListenSnafu, NoControlSnafu, NoDiskSnafu, RuntimeError, RuntimeSettings,
    ThreadSnafu,
};
use crate::configuration_history::ConfigurationHistory;
use crate::member::{Member, MemberConfig};
use crate::registry_publisher::RegistryPublisher;
use configuration::ProcessSettings;
use protocol::MemberInfo;
use replication::{client, Mirror, Puller, SharedMirror};
use snafu::{OptionExt, ResultExt};
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddrV4;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// Longest wait for a listener's port.
const BIND_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two attempts to listen on a port that is in use.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for the handing over at the end, if the platform's `grace_s` leaves so much.
const MAX_LEAVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Shortest time between the end of the handing over and the platform's SIGKILL.
const MIN_TIME_BEFORE_KILL: Duration = Duration::from_millis(1500);
/// File descriptors that are kept for files, peers and subscribers.
const OTHER_DESCRIPTORS: u64 = 400;
/// Bounds of the control API's connections.
const MIN_CONTROL_CONNECTIONS: usize = 64;
const MAX_CONTROL_CONNECTIONS: usize = 2048;
/// How often hosts' records are looked at in the time between two heartbeats.
const REGISTRY_TICKS_PER_HEARTBEAT: u32 = 4;
/// Time for replies that are under way at the end.
const LAST_REPLIES_TIME: Duration = Duration::from_millis(200);

/// What the disk held at the start.
struct StoredState {
    identity: Identity,
    records: Vec<Vec<u8>>,
    host_cache: Option<Vec<u8>>,
}

/// The control API, which answers from the start.
struct ControlApi {
    counters: Rc<ControlCounters>,
    shutdown: watch::Sender<bool>,
    opened: watch::Sender<Option<Rc<OpenMember>>>,
}

/// Starts a member, runs it until `shutdown`, and ends it.
///
/// # Errors
/// As [`super::run`].
pub(super) async fn run_member(
    process: ProcessSettings,
    settings: RuntimeSettings,
    seeds: watch::Receiver<Vec<SocketAddrV4>>,
    shutdown: impl Future<Output = ()>,
) -> Result<(), RuntimeError> {
    let origin = Instant::now();
    let control_addr = process.bind.control.context(NoControlSnafu)?;
    let state_dir = process.state_dir.clone().context(NoDiskSnafu)?;
    let (events, mut queue) = unbounded_channel();
    let context = start_context(&process, control_addr)?;
    // The API is there before the disk is: a disk that stalls holds up no caller.
    let listener = listen(control_addr).await?;
    let api = ControlApi::start(&process, listener, events.clone(), settings.command_timeout);
    let storage =
        storage::start(state_dir, context, report_storage_to(&events)).context(ThreadSnafu)?;
    let mut shutdown = pin!(shutdown);
    let Some(stored) = stored_state(&mut queue, shutdown.as_mut()).await? else {
        return Ok(());
    };
    let me = member_info(&process, control_addr, stored.identity.id);
    log_starting(&stored);
    let mirror = mirror(&process, &stored, origin);
    let history = Rc::new(RefCell::new(ConfigurationHistory::default()));
    let connections = Connections {
        process: &process,
        me: &me,
        incarnation: stored.identity.incarnation,
        mirror: &mirror,
        history: &history,
    };
    let peers = connections
        .start(&events, &api, seeds, settings.lease_duration)
        .await?;
    spawn_local(host_cache::store_changes(mirror.clone(), storage.clone()));
    let started_at = origin.elapsed();
    let member = member(&process, settings, me, &stored, started_at)?;
    let services = Services {
        storage,
        peers,
        mirror,
        shutdown: api.shutdown,
        history,
        counters_interval: settings.counters_interval,
        leave_timeout: leave_timeout(process.bounds.grace_s),
    };
    let transition_log = TransitionLog::new(process.node_name.clone());
    let mut event_loop = EventLoop::new(member, transition_log, origin, started_at, services);
    event_loop.run(&mut queue, shutdown, &api.counters).await;
    sleep(LAST_REPLIES_TIME).await;
    event_loop.log_counters(&api.counters);
    Ok(())
}

impl ControlApi {
    fn start(
        process: &ProcessSettings,
        listener: TcpListener,
        events: Events,
        command_timeout: Duration,
    ) -> Self {
        let counters = Rc::new(ControlCounters::default());
        let (shutdown, is_shutting_down) = watch::channel(false);
        let (opened, is_opened) = watch::channel(None);
        let handler = RequestHandler::new(
            process.node_name.clone(),
            events,
            command_timeout,
            is_shutting_down.clone(),
            is_opened,
        );
        let server = ControlServer::new(
            handler,
            max_control_connections(process),
            counters.clone(),
            is_shutting_down,
        );
        spawn_local(server.listen(listener));
        Self {
            counters,
            shutdown,
            opened,
        }
    }
}

/// What the connections to other processes are made from.
struct Connections<'a> {
    process: &'a ProcessSettings,
    me: &'a MemberInfo,
    incarnation: u64,
    mirror: &'a Arc<SharedMirror>,
    history: &'a Rc<RefCell<ConfigurationHistory>>,
}

impl Connections<'_> {
    /// Listens for other processes, connects to the other members, pulls from them, and opens the control API.
    async fn start(
        &self,
        events: &Events,
        api: &ControlApi,
        seeds: watch::Receiver<Vec<SocketAddrV4>>,
        announce_interval: Duration,
    ) -> Result<PeerConnections, RuntimeError> {
        let peers = PeerConnections::new(self.me.clone(), report_peers_to(events));
        let heartbeat_interval = Duration::from_millis(self.process.beat_period_ms);
        let publisher = RegistryPublisher::new(
            self.me.id,
            self.incarnation,
            heartbeat_interval,
            self.mirror.clone(),
        );
        let member_address = SocketAddrV4::from(&self.me.addr);
        let listener = listen(self.process.bind.member.unwrap_or(member_address)).await?;
        api.opened.send_replace(Some(Rc::new(OpenMember {
            me: self.me.clone(),
            incarnation: self.incarnation,
            peers: peers.clone(),
            publisher: publisher.clone(),
            history: self.history.clone(),
        })));
        spawn_local(inbound::accept(listener, peers.clone(), publisher.clone()));
        spawn_local(announce_reachable(
            peers.clone(),
            events.clone(),
            announce_interval,
        ));
        spawn_local(tick_registry(
            publisher,
            self.history.clone(),
            heartbeat_interval / REGISTRY_TICKS_PER_HEARTBEAT,
        ));
        self.start_pulling(&peers, seeds);
        Ok(peers)
    }

    /// What other members were told comes by pulls, as for an agent.
    fn start_pulling(&self, peers: &PeerConnections, seeds: watch::Receiver<Vec<SocketAddrV4>>) {
        let (puller_control, control_addr) = unbounded_channel();
        let puller = Puller::new(&self.process.node_name, usize::MAX, Some(self.me.addr));
        spawn_local(client::run(
            puller,
            self.me.clone(),
            replication::subscriber(self.process, self.me.id),
            self.mirror.clone(),
            control_addr,
        ));
        spawn_local(seeds::follow(
            peers.clone(),
            puller_control,
            seeds,
            self.process.port_range.0,
        ));
    }
}

/// The state machine on what the disk held.
fn member(
    process: &ProcessSettings,
    settings: RuntimeSettings,
    me: MemberInfo,
    stored: &StoredState,
    now: Duration,
) -> Result<Member, RuntimeError> {
    let initial_voters = stored.identity.initial_voters.clone();
    let config = MemberConfig {
        local_member: me,
        bootstrap_voters: Some(initial_voters).filter(|voters| !voters.is_empty()),
        fault_budget: process.fault_budget,
        lease_duration: settings.lease_duration,
        request_timeout: settings.command_timeout,
        disk_stall_timeout: settings.disk_stall_timeout,
    };
    let member = Member::new(config, &stored.records, now, random()?);
    if let Some(error) = member.replay_error() {
        log::error!(error:% = snafu::Report::from_error(error); "corrupt log: no vote, no replica");
    }
    Ok(member)
}

/// The mirror with the hosts as last known.
fn mirror(process: &ProcessSettings, stored: &StoredState, origin: Instant) -> Arc<SharedMirror> {
    let heartbeat_interval = Duration::from_millis(process.beat_period_ms);
    let mirror = Mirror::new(stored.identity.id, heartbeat_interval);
    let mirror = SharedMirror::since(mirror, origin);
    host_cache::restore(&mirror, &stored.identity, stored.host_cache.clone());
    mirror
}

fn log_starting(stored: &StoredState) {
    log::info!(
        id = stored.identity.id,
        incarnation = stored.identity.incarnation,
        records = stored.records.len(),
        initial_voter = !stored.identity.initial_voters.is_empty();
        "member starting"
    );
}

fn start_context(
    process: &ProcessSettings,
    control_addr: SocketAddrV4,
) -> Result<StartContext, RuntimeError> {
    Ok(StartContext {
        control: control_addr,
        seeds: process.seed_nodes.clone(),
        port: process.port_range.0,
        bootstrap: process.bootstrap,
        random: random()?,
        clock_ms: SystemTime::UNIX_EPOCH
            .elapsed()
            .map_or(0, |time| time.as_millis() as u64),
    })
}

fn member_info(process: &ProcessSettings, control_addr: SocketAddrV4, id: u64) -> MemberInfo {
    MemberInfo {
        id,
        name: process.node_name.clone(),
        addr: SocketAddrV4::new(process.ip_addr, process.port_range.0).into(),
        control_addr: control_addr.into(),
        zone: process.zone.clone(),
        region: process.region.clone(),
    }
}

/// How many connections the control API takes at once: what the descriptors allow beside all else that needs one.
fn max_control_connections(process: &ProcessSettings) -> usize {
    let descriptors = process.limits.fd_limit.saturating_sub(OTHER_DESCRIPTORS);
    (descriptors as usize).clamp(MIN_CONTROL_CONNECTIONS, MAX_CONTROL_CONNECTIONS)
}

fn report_storage_to(events: &Events) -> impl Fn(StorageEvent) + Send + 'static {
    let events = events.clone();
    // Without a receiver the process is about to end.
    move |event| drop(events.send(Event::Storage(event)))
}

fn report_peers_to(events: &Events) -> impl Fn(PeerEvent) + 'static {
    let events = events.clone();
    move |event| drop(events.send(Event::Peer(event)))
}

/// Lets time pass for the host registry, and records which configurations were in force.
async fn tick_registry(
    publisher: Arc<RegistryPublisher>,
    history: Rc<RefCell<ConfigurationHistory>>,
    interval: Duration,
) {
    loop {
        sleep(interval).await;
        publisher.tick();
        let configuration = publisher.mirror().snapshot().configuration.clone();
        history
            .borrow_mut()
            .record(&configuration, SystemTime::now());
    }
}

/// Tells the state machine again and again who can be reached.
///
/// Members that are no voters send it nothing. One that came while it couldn't join would count as gone.
async fn announce_reachable(peers: PeerConnections, events: Events, interval: Duration) {
    loop {
        sleep(interval).await;
        for member in peers.reachable_members().into_iter().skip(1) {
            let event = Event::Peer(PeerEvent::Connected(member));
            if events.send(event).is_err() {
                return;
            }
        }
    }
}

/// Waits until the files are open; `None` if `shutdown` comes first.
///
/// # Errors
/// If the storage thread has ended.
async fn stored_state(
    queue: &mut UnboundedReceiver<Event>,
    shutdown: Pin<&mut impl Future<Output = ()>>,
) -> Result<Option<StoredState>, RuntimeError> {
    let opened = tokio::select! {
        opened = files_open(queue) => opened,
        () = shutdown => return Ok(None),
    };
    let stored = opened
        .ok_or_else(|| std::io::Error::from(std::io::ErrorKind::BrokenPipe))
        .context(ThreadSnafu)?;
    Ok(Some(stored))
}

/// Waits until the files are open; `None` if the storage thread has ended. Logs the first failure.
async fn files_open(queue: &mut UnboundedReceiver<Event>) -> Option<StoredState> {
    let mut has_failed = false;
    loop {
        match queue.recv().await? {
            Event::Storage(StorageEvent::Open {
                identity,
                records,
                host_cache,
            }) => {
                return Some(StoredState {
                    identity,
                    records,
                    host_cache,
                });
            }
            Event::Storage(StorageEvent::NotOpen { detail }) if !has_failed => {
                has_failed = true;
                log::error!(detail; "state directory can't be opened yet");
            }
            _ => {}
        }
    }
}

/// Listens, once the port is free: the incarnation before may not be gone quite yet.
async fn listen(addr: SocketAddrV4) -> Result<TcpListener, RuntimeError> {
    let deadline = Instant::now() + BIND_TIMEOUT;
    loop {
        match TcpListener::bind(addr).await {
            Err(error)
                if error.kind() == std::io::ErrorKind::AddrInUse && Instant::now() < deadline =>
            {
                sleep(BIND_RETRY_INTERVAL).await;
            }
            bound => return bound.context(ListenSnafu { addr }),
        }
    }
}

fn random() -> Result<u64, RuntimeError> {
    getrandom::u64().map_err(|error| RuntimeError::Random {
        detail: error.to_string(),
    })
}

/// How long a member that is asked to end may take to hand over what it holds.
fn leave_timeout(grace_s: f64) -> Duration {
    let grace = Duration::try_from_secs_f64(grace_s).unwrap_or_default();
    grace
        .saturating_sub(MIN_TIME_BEFORE_KILL)
        .min(MAX_LEAVE_TIMEOUT)
}
