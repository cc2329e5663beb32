//! A fleet of modelled hosts with their discovery, on threads of its own.

use crate::discovery::{Agent, Member};
use crate::frames;
use crate::host::{ConnSpec, Host, Mode};
use crate::ledger::{Epoch, Ledger, Phase};
use crate::model::HostSpec;
use crate::search;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
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

/// A host's place.
#[derive(Clone, Debug)]
pub struct Place {
    /// What it is made of.
    pub spec: HostSpec,
    /// Its cell.
    pub cell: u32,
    /// Its zone.
    pub zone: String,
}

/// How late the list hears of things, least and most, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct ListDelays {
    /// That a process started.
    pub add_ms: [u64; 2],
    /// That a process ended or drains.
    pub notice_ms: [u64; 2],
    /// That a machine went silent.
    pub silent_ms: [u64; 2],
}

/// A whole fleet.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// The hosts.
    pub hosts: Vec<Place>,
    /// How many coordinators there are.
    pub coordinators: u16,
    /// What hosts speak.
    pub dialect: Dialect,
    /// Limits on connections to one host.
    pub conn: ConnSpec,
    /// How late the list is.
    pub delays: ListDelays,
    /// Threads that hosts are spread over.
    pub threads: usize,
    /// The seed of all chance.
    pub seed: u64,
}

/// Something done to the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Command {
    /// A host's process dies.
    Crash(u16),
    /// A host's machine goes silent.
    Vanish(u16),
    /// A host's process starts, cold.
    Start(u16),
    /// A host drains: it is turned away at the host at once, and listed so after the list's delay.
    Drain(u16),
    /// A host is so many times slower than usual.
    Slow(u16, f64),
    /// Discovery falls silent, or speaks again.
    Discovery(bool),
}

/// Parts held and waiting at a host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HostState {
    /// Parts held.
    pub held: u32,
    /// Parts waiting.
    pub queued: u32,
    /// Whether it was pushed over.
    pub fallen: bool,
}

/// A fleet that runs. It ends when this is dropped.
pub struct Fleet {
    /// Where each coordinator reaches each host: by host, then coordinator.
    pub addrs: Vec<Vec<SocketAddr>>,
    /// Where each coordinator finds discovery.
    pub discovery: Vec<SocketAddr>,
    /// The list that coordinators start from, by coordinator.
    pub known: Vec<Vec<Member>>,
    /// What happened.
    pub ledger: Ledger,
    states: Arc<Mutex<Vec<HostState>>>,
    commands: Vec<mpsc::UnboundedSender<Command>>,
    threads: Vec<JoinHandle<()>>,
}

/// How often the hosts' states are looked at.
const LOOK: Duration = Duration::from_millis(100);

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

impl Fleet {
    /// Starts it. All sockets are on loopback, at ports that the system chooses.
    ///
    /// # Errors
    /// If a socket or a thread can't be had.
    pub fn start(spec: &FleetSpec, epoch: Epoch) -> std::io::Result<Self> {
        let ledger = Ledger::default();
        let loopback = |n: usize| {
            SocketAddr::from((
                Ipv4Addr::new(127, 21, (n / 250) as u8, (n % 250) as u8 + 1),
                0,
            ))
        };
        let mut doors: Vec<Vec<StdListener>> = Vec::new();
        for n in 0..spec.hosts.len() {
            doors.push(
                (0..spec.coordinators)
                    .map(|_| listener(loopback(n)))
                    .collect::<std::io::Result<_>>()?,
            );
        }
        let addr = |l: &StdListener| l.local_addr();
        let addrs: Vec<Vec<SocketAddr>> = doors
            .iter()
            .map(|d| d.iter().map(addr).collect())
            .collect::<std::io::Result<_>>()?;
        let member = |(n, p): (usize, &Place), c: usize| Member {
            host: n as u16,
            id: format!("h{n:03}"),
            addr: addrs[n][c].to_string(),
            zone: p.zone.clone(),
            cell: p.cell,
            phase: Phase::Ready,
            up_since_ms: 0,
        };
        let known: Vec<Vec<Member>> = (0..usize::from(spec.coordinators))
            .map(|c| {
                spec.hosts
                    .iter()
                    .enumerate()
                    .map(|p| member(p, c))
                    .collect()
            })
            .collect();
        let lists: Vec<StdListener> = (0..spec.coordinators)
            .map(|_| listener(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))))
            .collect::<std::io::Result<_>>()?;
        let discovery = lists.iter().map(addr).collect::<std::io::Result<_>>()?;
        let states = Arc::new(Mutex::new(vec![HostState::default(); spec.hosts.len()]));
        let count = spec.threads.clamp(1, spec.hosts.len().max(1));
        let mut shares: Vec<Vec<(u16, Vec<StdListener>)>> =
            (0..count).map(|_| Vec::new()).collect();
        for (n, d) in doors.into_iter().enumerate() {
            shares[n % count].push((n as u16, d));
        }
        let (mut commands, mut threads) = (Vec::new(), Vec::new());
        for (n, share) in shares.into_iter().enumerate() {
            let (tx, rx) = mpsc::unbounded_channel();
            commands.push(tx);
            let (spec, ledger, states) = (spec.clone(), ledger.clone(), states.clone());
            let work = move || host_thread(&spec, share, epoch, ledger, states, rx);
            threads.push(
                std::thread::Builder::new()
                    .name(format!("hosts-{n}"))
                    .spawn(work)?,
            );
        }
        let (tx, rx) = mpsc::unbounded_channel();
        commands.push(tx);
        let (delays, seed, listed, written) =
            (spec.delays, spec.seed, known.clone(), ledger.clone());
        let work = move || list_thread(delays, seed, lists, listed, epoch, written, rx);
        threads.push(
            std::thread::Builder::new()
                .name("list".into())
                .spawn(work)?,
        );
        Ok(Self {
            addrs,
            discovery,
            known,
            ledger,
            states,
            commands,
            threads,
        })
    }

    /// Does something to it; takes effect within a moment.
    pub fn command(&self, command: Command) {
        for c in &self.commands {
            // A thread that has ended has said why.
            let _ = c.send(command);
        }
    }

    /// How the hosts are, by number, as of the last 100 ms.
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
        Err(e) => log::error!(error:% = e; "no runtime for the stand-ins"),
    }
}

fn host_thread(
    spec: &FleetSpec,
    share: Vec<(u16, Vec<StdListener>)>,
    epoch: Epoch,
    ledger: Ledger,
    states: Arc<Mutex<Vec<HostState>>>,
    mut commands: mpsc::UnboundedReceiver<Command>,
) {
    in_thread(async move {
        let mut hosts: Vec<Rc<Host>> = Vec::new();
        for (n, doors) in share {
            let made = spec.hosts[usize::from(n)].spec.clone();
            let host = Host::new(n, made, spec.conn, spec.seed, epoch, ledger.clone());
            tokio::task::spawn_local(host.clone().run());
            for (c, door) in doors.into_iter().enumerate() {
                let (Ok(addr), Ok(door)) =
                    (door.local_addr(), tokio::net::TcpListener::from_std(door))
                else {
                    continue;
                };
                let (host, c) = (host.clone(), c as u16);
                match spec.dialect {
                    Dialect::Frames => {
                        tokio::task::spawn_local(host.listen(addr, c, door, frames::serve))
                    }
                    Dialect::OpenSearch => {
                        tokio::task::spawn_local(host.listen(addr, c, door, search::serve))
                    }
                };
            }
            hosts.push(host);
        }
        let mut look = tokio::time::interval(LOOK);
        loop {
            tokio::select! {
                command = commands.recv() => {
                    let Some(command) = command else { return };
                    let find = |n: u16| hosts.iter().find(|h| h.number == n);
                    match command {
                        Command::Crash(n) => find(n).into_iter().for_each(|h| h.down(Mode::Down)),
                        Command::Vanish(n) => find(n).into_iter().for_each(|h| h.down(Mode::Silent)),
                        Command::Start(n) => find(n).into_iter().for_each(|h| h.up()),
                        Command::Drain(n) => find(n).into_iter().for_each(|h| h.drain()),
                        Command::Slow(n, times) => find(n).into_iter().for_each(|h| h.slow_down(times)),
                        Command::Discovery(_) => {}
                    }
                }
                _ = look.tick() => {
                    let mut all = states.lock().unwrap_or_else(PoisonError::into_inner);
                    for h in &hosts {
                        let (held, queued, fallen) = h.state();
                        let state = HostState { held: held as u32, queued: queued as u32, fallen };
                        all[usize::from(h.number)] = state;
                    }
                }
            }
        }
    });
}

fn list_thread(
    delays: ListDelays,
    seed: u64,
    lists: Vec<StdListener>,
    known: Vec<Vec<Member>>,
    epoch: Epoch,
    ledger: Ledger,
    mut commands: mpsc::UnboundedReceiver<Command>,
) {
    in_thread(async move {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut agents = Vec::new();
        for (c, (listener, members)) in lists.into_iter().zip(known).enumerate() {
            let agent = Agent::new(c as u16, members, epoch, ledger.clone());
            if let Ok(l) = tokio::net::TcpListener::from_std(listener) {
                tokio::task::spawn_local(agent.clone().run(l));
            }
            agents.push(agent);
        }
        // Numbers each host's changes, so that a later one is not overtaken by an earlier one.
        let mut newest = std::collections::HashMap::<(usize, u16), Rc<std::cell::Cell<u64>>>::new();
        let mut number = 0;
        while let Some(command) = commands.recv().await {
            let (host, phase, span, up) = match command {
                Command::Crash(h) => (h, Phase::Gone, delays.notice_ms, None),
                Command::Vanish(h) => (h, Phase::Gone, delays.silent_ms, None),
                Command::Drain(h) => (h, Phase::Terminating, delays.notice_ms, None),
                Command::Start(h) => (h, Phase::Ready, delays.add_ms, Some(unix_ms())),
                Command::Discovery(silent) => {
                    agents.iter().for_each(|a| a.silence(silent));
                    continue;
                }
                Command::Slow(..) => continue,
            };
            number += 1;
            for (c, agent) in agents.iter().enumerate() {
                let delay = Duration::from_millis(rng.random_range(span[0]..=span[1].max(span[0])));
                let last = newest.entry((c, host)).or_default().clone();
                let (agent, number) = (agent.clone(), number);
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(delay).await;
                    if last.get() < number {
                        last.set(number);
                        agent.apply(host, phase, up);
                    }
                });
            }
        }
    });
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
