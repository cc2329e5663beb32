//! A fleet of modelled hosts with their discovery, on threads of its own.

use crate::discovery::{DiscoveryAgent, ListEntry};
use crate::event_log::{Epoch, EventLog, Phase};
use crate::frames;
use crate::host::{ConnSpec, Host, HostState, Mode};
use crate::model::HostSpec;
use crate::search;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::Cell;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;

/// What hosts speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dialect {
    /// Frames, as on the platform.
    Frames,
    /// OpenSearch's API.
    OpenSearch,
}

/// A host of the fleet and where it stands.
#[derive(Clone, Debug)]
pub struct HostPlacement {
    /// Its hardware and behaviour.
    pub spec: HostSpec,
    /// Its cell.
    pub cell: u32,
    /// Its zone.
    pub zone: String,
}

/// Delays until the list shows a change: shortest and longest, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct ListDelays {
    /// A process started.
    pub add_ms: [u64; 2],
    /// A process ended or drains.
    pub notice_ms: [u64; 2],
    /// A machine went silent.
    pub silent_ms: [u64; 2],
}

/// Description of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// The hosts.
    pub hosts: Vec<HostPlacement>,
    /// Number of coordinators.
    pub coordinators: u16,
    /// What hosts speak.
    pub dialect: Dialect,
    /// Limits on connections to one host.
    pub conn: ConnSpec,
    /// Delays of the list.
    pub delays: ListDelays,
    /// Number of threads for the hosts.
    pub threads: usize,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// A fault, or its end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Command {
    /// A host's process crashes.
    Crash(u16),
    /// A host's machine goes silent.
    Vanish(u16),
    /// A host's process starts, cold.
    Start(u16),
    /// A host drains: it rejects new parts at once, and the list says so after its delay.
    Drain(u16),
    /// A host is this many times slower than usual.
    Slow(u16, f64),
    /// Discovery stops answering, or answers again.
    Discovery(bool),
}

/// A fleet that runs. It ends when this is dropped.
pub struct Fleet {
    /// Where each coordinator reaches each host: by host, then coordinator.
    pub addrs: Vec<Vec<SocketAddr>>,
    /// Where each coordinator finds discovery.
    pub discovery: Vec<SocketAddr>,
    /// The list that coordinators start from, by coordinator.
    pub known: Vec<Vec<ListEntry>>,
    /// What hosts and discovery observed.
    pub event_log: EventLog,
    states: Arc<Mutex<Vec<HostState>>>,
    commands: Vec<mpsc::UnboundedSender<Command>>,
    threads: Vec<JoinHandle<()>>,
}

/// Time between two samples of the hosts' states.
const STATE_INTERVAL: Duration = Duration::from_millis(100);

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// The listeners of one host, by coordinator.
type HostListeners = Vec<StdListener>;

/// An address of a host's own on loopback, at a port that the system chooses.
fn host_addr(n: usize) -> SocketAddr {
    let ip = Ipv4Addr::new(127, 21, (n / 250) as u8, (n % 250) as u8 + 1);
    SocketAddr::from((ip, 0))
}

/// Binds a listener for each host and coordinator.
fn bind_hosts(spec: &FleetSpec) -> std::io::Result<Vec<HostListeners>> {
    let bind_host = |n| {
        (0..spec.coordinators)
            .map(|_| listener(host_addr(n)))
            .collect()
    };
    (0..spec.hosts.len()).map(bind_host).collect()
}

fn local_addrs(listeners: &HostListeners) -> std::io::Result<Vec<SocketAddr>> {
    listeners.iter().map(StdListener::local_addr).collect()
}

/// The list that a coordinator starts from: all hosts, at the addresses made for this coordinator.
fn initial_list(spec: &FleetSpec, addrs: &[Vec<SocketAddr>], coordinator: usize) -> Vec<ListEntry> {
    let hosts = spec.hosts.iter().zip(addrs).enumerate();
    hosts
        .map(|(n, (placement, addrs))| ListEntry {
            host: n as u16,
            id: format!("h{n:03}"),
            addr: addrs[coordinator].to_string(),
            zone: placement.zone.clone(),
            cell: placement.cell,
            phase: Phase::Ready,
            up_since_ms: 0,
        })
        .collect()
}

impl Fleet {
    /// Starts it. All sockets are on loopback, at ports that the system chooses.
    ///
    /// # Errors
    /// If a socket or a thread can't be had.
    pub fn start(spec: &FleetSpec, epoch: Epoch) -> std::io::Result<Self> {
        let event_log = EventLog::default();
        let host_listeners = bind_hosts(spec)?;
        let addrs: Vec<Vec<SocketAddr>> = host_listeners
            .iter()
            .map(local_addrs)
            .collect::<std::io::Result<_>>()?;
        let known: Vec<Vec<ListEntry>> = (0..usize::from(spec.coordinators))
            .map(|c| initial_list(spec, &addrs, c))
            .collect();
        let discovery_listeners: Vec<StdListener> = (0..spec.coordinators)
            .map(|_| listener(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))))
            .collect::<std::io::Result<_>>()?;
        let discovery = local_addrs(&discovery_listeners)?;
        let mut fleet = Self {
            addrs,
            discovery,
            known,
            event_log,
            states: Arc::new(Mutex::new(vec![HostState::default(); spec.hosts.len()])),
            commands: Vec::new(),
            threads: Vec::new(),
        };
        fleet.start_hosts(spec, host_listeners, epoch)?;
        fleet.start_discovery(spec, discovery_listeners, epoch)?;
        Ok(fleet)
    }

    /// Starts the hosts' threads; hosts are dealt out to them in turn.
    fn start_hosts(
        &mut self,
        spec: &FleetSpec,
        listeners: Vec<HostListeners>,
        epoch: Epoch,
    ) -> std::io::Result<()> {
        let count = spec.threads.clamp(1, spec.hosts.len().max(1));
        let mut shares: Vec<Vec<(u16, HostListeners)>> = (0..count).map(|_| Vec::new()).collect();
        for (n, listeners) in listeners.into_iter().enumerate() {
            shares[n % count].push((n as u16, listeners));
        }
        for (n, share) in shares.into_iter().enumerate() {
            let (tx, rx) = mpsc::unbounded_channel();
            let thread = HostThread {
                spec: spec.clone(),
                epoch,
                event_log: self.event_log.clone(),
                states: self.states.clone(),
            };
            self.spawn(format!("hosts-{n}"), tx, move || thread.run(share, rx))?;
        }
        Ok(())
    }

    /// Starts discovery's thread.
    fn start_discovery(
        &mut self,
        spec: &FleetSpec,
        listeners: Vec<StdListener>,
        epoch: Epoch,
    ) -> std::io::Result<()> {
        let (tx, rx) = mpsc::unbounded_channel();
        let thread = DiscoveryThread {
            delays: spec.delays,
            seed: spec.seed,
            known: self.known.clone(),
            epoch,
            event_log: self.event_log.clone(),
        };
        self.spawn("list".into(), tx, move || thread.run(listeners, rx))
    }

    fn spawn(
        &mut self,
        name: String,
        commands: mpsc::UnboundedSender<Command>,
        work: impl FnOnce() + Send + 'static,
    ) -> std::io::Result<()> {
        self.commands.push(commands);
        let thread = std::thread::Builder::new().name(name).spawn(work)?;
        self.threads.push(thread);
        Ok(())
    }

    /// Sends a command to the threads, which apply it at once.
    pub fn command(&self, command: Command) {
        for c in &self.commands {
            // A thread that has ended has said why.
            let _ = c.send(command);
        }
    }

    /// States of the hosts by number, at most 100 ms old.
    pub fn states(&self) -> Vec<HostState> {
        self.states
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.commands.clear();
        for t in self.threads.drain(..) {
            let _ = t.join();
        }
    }
}

fn in_thread(work: impl std::future::Future<Output = ()>) {
    match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => tokio::task::LocalSet::new().block_on(&runtime, work),
        Err(e) => log::error!(error:% = e; "no runtime for the fake hosts"),
    }
}

/// A thread that runs some of the hosts.
struct HostThread {
    spec: FleetSpec,
    epoch: Epoch,
    event_log: EventLog,
    states: Arc<Mutex<Vec<HostState>>>,
}

impl HostThread {
    /// Runs hosts, by number, until the fleet is dropped.
    fn run(self, share: Vec<(u16, HostListeners)>, mut commands: mpsc::UnboundedReceiver<Command>) {
        in_thread(async move {
            let hosts: Vec<Rc<Host>> = share
                .into_iter()
                .map(|(n, listeners)| self.start_host(n, listeners))
                .collect();
            let mut sample = tokio::time::interval(STATE_INTERVAL);
            loop {
                tokio::select! {
                    command = commands.recv() => {
                        let Some(command) = command else { return };
                        apply_to_host(&hosts, command);
                    }
                    _ = sample.tick() => self.sample(&hosts),
                }
            }
        });
    }

    fn start_host(&self, n: u16, listeners: HostListeners) -> Rc<Host> {
        let spec = &self.spec;
        let host_spec = spec.hosts[usize::from(n)].spec.clone();
        let event_log = self.event_log.clone();
        let host = Host::new(n, host_spec, spec.conn, spec.seed, self.epoch, event_log);
        tokio::task::spawn_local(host.clone().run());
        for (c, listener) in listeners.into_iter().enumerate() {
            let addr = listener.local_addr();
            let listener = tokio::net::TcpListener::from_std(listener);
            let (Ok(addr), Ok(listener)) = (addr, listener) else {
                continue;
            };
            let (host, c) = (host.clone(), c as u16);
            match spec.dialect {
                Dialect::Frames => {
                    tokio::task::spawn_local(host.listen(addr, c, listener, frames::serve));
                }
                Dialect::OpenSearch => {
                    tokio::task::spawn_local(host.listen(addr, c, listener, search::serve));
                }
            }
        }
        host
    }

    /// Publishes the states of the hosts.
    fn sample(&self, hosts: &[Rc<Host>]) {
        let mut states = self.states.lock().unwrap_or_else(PoisonError::into_inner);
        for host in hosts {
            states[usize::from(host.number)] = host.state();
        }
    }
}

/// Applies a command to the host that it names, if that is one of these.
fn apply_to_host(hosts: &[Rc<Host>], command: Command) {
    let number = match command {
        Command::Crash(n) | Command::Vanish(n) | Command::Start(n) | Command::Drain(n) => n,
        Command::Slow(n, _) => n,
        Command::Discovery(_) => return,
    };
    let Some(host) = hosts.iter().find(|h| h.number == number) else {
        return;
    };
    match command {
        Command::Crash(_) => host.down(Mode::Down),
        Command::Vanish(_) => host.down(Mode::Silent),
        Command::Start(_) => host.up(),
        Command::Drain(_) => host.drain(),
        Command::Slow(_, times) => host.slow_down(times),
        Command::Discovery(_) => {}
    }
}

/// The thread that runs discovery.
struct DiscoveryThread {
    delays: ListDelays,
    seed: u64,
    known: Vec<Vec<ListEntry>>,
    epoch: Epoch,
    event_log: EventLog,
}

/// A change of a host's entry in the list.
#[derive(Clone, Copy)]
struct ListChange {
    host: u16,
    phase: Phase,
    /// Shortest and longest delay until the list has it, in milliseconds.
    delay_ms: [u64; 2],
    up_since_ms: Option<u64>,
}

impl DiscoveryThread {
    /// Runs discovery until the fleet is dropped.
    fn run(self, listeners: Vec<StdListener>, mut commands: mpsc::UnboundedReceiver<Command>) {
        in_thread(async move {
            let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
            let agents = self.start_agents(listeners);
            // Numbers each host's changes, so that a later one is not overtaken by an earlier one.
            let mut newest = HashMap::<(usize, u16), Rc<Cell<u64>>>::new();
            let mut number = 0;
            while let Some(command) = commands.recv().await {
                if let Command::Discovery(silent) = command {
                    agents.iter().for_each(|a| a.silence(silent));
                    continue;
                }
                let Some(change) = self.list_change(command) else {
                    continue;
                };
                number += 1;
                let [min, max] = change.delay_ms;
                for (c, agent) in agents.iter().enumerate() {
                    let delay = Duration::from_millis(rng.random_range(min..=max.max(min)));
                    let last = newest.entry((c, change.host)).or_default().clone();
                    let agent = agent.clone();
                    tokio::task::spawn_local(async move {
                        tokio::time::sleep(delay).await;
                        if last.get() < number {
                            last.set(number);
                            agent.apply(change.host, change.phase, change.up_since_ms);
                        }
                    });
                }
            }
        });
    }

    fn start_agents(&self, listeners: Vec<StdListener>) -> Vec<Rc<DiscoveryAgent>> {
        let mut agents = Vec::new();
        for (c, (listener, entries)) in listeners.into_iter().zip(&self.known).enumerate() {
            let event_log = self.event_log.clone();
            let agent = DiscoveryAgent::new(c as u16, entries.clone(), self.epoch, event_log);
            if let Ok(listener) = tokio::net::TcpListener::from_std(listener) {
                tokio::task::spawn_local(agent.clone().run(listener));
            }
            agents.push(agent);
        }
        agents
    }

    /// The change that a command brings about in the list.
    fn list_change(&self, command: Command) -> Option<ListChange> {
        let delays = self.delays;
        let (host, phase, delay_ms, up_since_ms) = match command {
            Command::Crash(host) => (host, Phase::Gone, delays.notice_ms, None),
            Command::Vanish(host) => (host, Phase::Gone, delays.silent_ms, None),
            Command::Drain(host) => (host, Phase::Terminating, delays.notice_ms, None),
            Command::Start(host) => (host, Phase::Ready, delays.add_ms, Some(unix_ms())),
            Command::Discovery(_) | Command::Slow(..) => return None,
        };
        Some(ListChange {
            host,
            phase,
            delay_ms,
            up_since_ms,
        })
    }
}

/// Binds a free loopback port and lets it go again: an address for a process that is started later.
///
/// # Errors
/// If no port can be had.
pub fn free_addr() -> std::io::Result<SocketAddr> {
    StdListener::bind(SocketAddr::from((Ipv4Addr::new(127, 22, 0, 1), 0)))?.local_addr()
}

/// A listener with a long queue, ready for a runtime.
///
/// # Errors
/// If the address can't be had.
pub fn listener(addr: SocketAddr) -> std::io::Result<StdListener> {
    let l = StdListener::bind(addr)?;
    l.set_nonblocking(true)?;
    // The library's own queue holds 128: a burst of connections beyond it waits a second for its next SYN.
    socket2::SockRef::from(&l).listen(4096)?;
    Ok(l)
}
