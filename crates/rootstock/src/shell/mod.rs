//! The member's process: all I/O round the state machine, on one thread, with a second one for the disk.

pub mod call;
pub mod control;
mod desk;
pub mod disk;
pub mod frames;
pub mod identity;
pub mod links;

use crate::member::{Config, Input, Member, Output};
use almanac::{Boot, Code};
use control::{Control, ControlCounters};
use desk::{Answered, FrontDesk};
use disk::Told;
use frames::Frames;
use graft::{Command, Message, Seat};
use identity::{inner, Birth, Identity};
use links::{Heard, Links};
use snafu::{OptionExt, ResultExt, Snafu};
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddrV4;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Length of a primary's lease.
const LEASE: Duration = Duration::from_millis(1000);
/// Longest time for a configuration call, from its last byte to the answer.
pub const CONFIGURE: Duration = Duration::from_millis(3500);
/// A write that takes longer than this means that the disk stalls.
const STALL: Duration = Duration::from_millis(600);
/// Longest wait for a listener's port.
const BIND: Duration = Duration::from_secs(3);
/// Longest wait for the handing over at the end.
const LEAVE: Duration = Duration::from_secs(2);
/// Time for answers that are under way at the end.
const LAST_ANSWERS: Duration = Duration::from_millis(200);
/// Time for the first messages on a connection.
const FIRST: Duration = Duration::from_secs(3);
/// Time between two lines of counters.
const COUNTERS: Duration = Duration::from_secs(60);
/// Inputs that are taken before other tasks run again.
const TURN: usize = 64;

/// Why the process ends with a failure.
#[derive(Debug, Snafu)]
pub enum Failure {
    /// The settings name no address for `control`.
    #[snafu(display("bind.control is missing: the role has to serve control"))]
    NoControl,
    /// The settings name no disk.
    #[snafu(display("state_dir is missing: members keep their word on a disk"))]
    NoDisk,
    /// An address can't be listened on.
    #[snafu(display("cannot listen on {addr}"))]
    Listen {
        /// The address.
        addr: SocketAddrV4,
        /// Why.
        source: std::io::Error,
    },
    /// No thread for the disk can be started, or it has ended.
    #[snafu(display("the disk's thread"))]
    Thread {
        /// Why.
        source: std::io::Error,
    },
    /// There are no random numbers.
    #[snafu(display("no random numbers: {detail}"))]
    Random {
        /// Why.
        detail: String,
    },
}

enum Event {
    Heard(Heard),
    Disk(Told),
    Command(Command, oneshot::Sender<Answered>),
}

/// Runs a member until `stop` is done and all is handed over. `seeds` brings the seeds' `control` addresses
/// whenever they change. Runs on a `LocalSet` of a current-thread runtime.
///
/// # Errors
/// Where the settings don't fit, or an address or the disk's thread can't be had.
pub async fn run(
    boot: Boot,
    seeds: watch::Receiver<Vec<SocketAddrV4>>,
    stop: impl Future<Output = ()>,
) -> Result<(), Failure> {
    let origin = Instant::now();
    let control = boot.bind.control.context(NoControlSnafu)?;
    let dir = boot.state_dir.clone().context(NoDiskSnafu)?;
    let (events, mut queue) = unbounded_channel();
    let birth = Birth {
        control,
        seeds: boot.seed_nodes.clone(),
        port: boot.port_range.0,
        bootstrap: boot.bootstrap,
        random: random()?,
        clock_ms: SystemTime::UNIX_EPOCH.elapsed().map_or(0, |d| d.as_millis() as u64),
    };
    let tell = {
        let events = events.clone();
        // No receiver: the process is about to end.
        move |told| drop(events.send(Event::Disk(told)))
    };
    let disk = disk::start(dir, birth, tell).context(ThreadSnafu)?;
    let mut stop = pin!(stop);
    let opened = tokio::select! {
        opened = open(&mut queue) => opened,
        () = stop.as_mut() => return Ok(()),
    };
    let Some((identity, records)) = opened else {
        return Err(std::io::Error::from(std::io::ErrorKind::BrokenPipe)).context(ThreadSnafu);
    };
    let me = Seat {
        id: identity.id,
        name: boot.node_name.clone(),
        addr: SocketAddrV4::new(boot.ip_addr, boot.port_range.0).into(),
        control: control.into(),
        zone: boot.zone.clone(),
        region: boot.region.clone(),
    };
    log::info!(id = identity.id, life = identity.life, records = records.len(), founder = !identity.founders.is_empty(); "member starts");

    let links = Links::new(me.clone(), {
        let events = events.clone();
        move |heard| drop(events.send(Event::Heard(heard)))
    });
    let counters = Rc::new(ControlCounters::default());
    let (stopping, stopped) = watch::channel(false);
    let desk = FrontDesk::new(&boot, me.clone(), identity.life, events, links.clone());
    let most = (boot.limits.fd_limit.saturating_sub(400) as usize).clamp(64, 2048);
    let api = Control::new(desk.clone(), most, counters.clone(), stopped);
    tokio::task::spawn_local(api.listen(listen(control).await?));
    let inside = listen(SocketAddrV4::new(boot.ip_addr, boot.port_range.0)).await?;
    tokio::task::spawn_local(accept(inside, links.clone(), desk.clone()));
    tokio::task::spawn_local(follow_seeds(links.clone(), seeds, boot.port_range.0));

    let config = Config {
        me,
        bootstrap_voters: Some(identity.founders).filter(|f| !f.is_empty() && records.is_empty()),
        budget: boot.fault_budget,
        lease: LEASE,
        patience: CONFIGURE,
        stall: STALL,
    };
    let now = origin.elapsed();
    let mut shell = Shell {
        member: Member::new(config, &records, now, random()?),
        outputs: Vec::new(),
        origin,
        wake: Some(now),
        callers: HashMap::new(),
        tickets: 0,
        left: false,
        steps: 0,
        disk,
        links,
        desk,
    };
    shell.run(&mut queue, stop, &counters).await;
    let _ = stopping.send(true);
    sleep(LAST_ANSWERS).await;
    shell.count(&counters);
    Ok(())
}

struct Shell {
    member: Member,
    outputs: Vec<Output>,
    origin: Instant,
    wake: Option<Duration>,
    callers: HashMap<u64, oneshot::Sender<Answered>>,
    tickets: u64,
    left: bool,
    steps: u64,
    disk: std::sync::mpsc::Sender<disk::Write>,
    links: Links,
    desk: Rc<RefCell<FrontDesk>>,
}

impl Shell {
    async fn run(
        &mut self,
        queue: &mut UnboundedReceiver<Event>,
        mut stop: impl Future<Output = ()> + Unpin,
        counters: &ControlCounters,
    ) {
        let mut end: Option<Instant> = None;
        let mut line = Instant::now() + COUNTERS;
        while !self.left && end.is_none_or(|end| Instant::now() < end) {
            let wake = self.origin + self.wake.unwrap_or(Duration::from_secs(1 << 30));
            let wake = end.map_or(wake, |end| wake.min(end)).min(line);
            tokio::select! {
                biased;
                () = &mut stop, if end.is_none() => {
                    log::info!("member leaves");
                    end = Some(Instant::now() + LEAVE);
                    self.desk.borrow_mut().leave();
                    self.step(Input::Leave);
                }
                event = queue.recv() => {
                    // The desk holds a sender.
                    let Some(event) = event else { return };
                    self.take(event);
                    for _ in 1..TURN {
                        let Ok(event) = queue.try_recv() else { break };
                        self.take(event);
                    }
                }
                () = sleep_until(wake) => {
                    if line <= Instant::now() {
                        line += COUNTERS;
                        self.count(counters);
                    }
                    let now = self.origin.elapsed();
                    if self.wake.is_some_and(|at| at <= now) {
                        self.wake = None;
                        self.step(Input::Tick);
                    }
                }
            }
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Heard(Heard::Hello(seat)) => self.step(Input::Reachable { seat }),
            Event::Heard(Heard::Message(from, message)) => self.step(Input::Message { from, message }),
            Event::Disk(Told::Wrote { ticket, result }) => self.step(Input::Wrote { ticket, result }),
            Event::Disk(Told::Open { .. } | Told::NotOpen { .. }) => {}
            Event::Command(command, caller) => {
                // Whoever stopped waiting may have been answered elsewhere, but what it asked for still holds.
                self.callers.retain(|_, caller| !caller.is_closed());
                self.tickets += 1;
                self.callers.insert(self.tickets, caller);
                self.step(Input::Command { ticket: self.tickets, command });
            }
        }
    }

    fn step(&mut self, input: Input) {
        self.steps += 1;
        let mut outputs = std::mem::take(&mut self.outputs);
        self.member.step(self.origin.elapsed(), input, &mut outputs);
        for output in outputs.drain(..) {
            match output {
                Output::Send { to, message } => self.links.send(&to, &message),
                Output::Write { ticket, records, rewrite } => {
                    // The thread ends with the process only.
                    let _ = self.disk.send(disk::Write { ticket, records, rewrite });
                }
                Output::Answer { ticket, code, body } => {
                    if let Some(caller) = self.callers.remove(&ticket) {
                        // A caller that has gone gets no answer.
                        let _ = caller.send((code, body));
                    }
                }
                Output::Publish { seq, document, drains } => {
                    self.desk.borrow_mut().publish(self.origin.elapsed(), seq, document, drains);
                }
                Output::Wake { at } => self.wake = Some(self.wake.map_or(at, |w| w.min(at))),
                Output::Left => self.left = true,
            }
        }
        self.outputs = outputs;
    }

    fn count(&self, control: &ControlCounters) {
        let links = self.links.counters();
        log::info!(
            steps = self.steps,
            connections = control.connections.get(),
            crowded = control.crowded.get(),
            done = control.done.get(),
            refused = control.refused.get(),
            failed = control.failed.get(),
            links_up = links.connected,
            links_down = links.broken,
            sent = links.sent,
            sent_bytes = links.sent_bytes,
            dropped = links.dropped,
            heard = links.heard;
            "counters"
        );
    }
}

fn random() -> Result<u64, Failure> {
    getrandom::u64().map_err(|e| Failure::Random { detail: e.to_string() })
}

async fn open(queue: &mut UnboundedReceiver<Event>) -> Option<(Identity, Vec<Vec<u8>>)> {
    let mut refused = false;
    loop {
        match queue.recv().await? {
            Event::Disk(Told::Open { identity, records }) => return Some((identity, records)),
            Event::Disk(Told::NotOpen { detail }) if !refused => {
                refused = true;
                log::error!(detail; "the disk's files can't be opened yet");
            }
            _ => {}
        }
    }
}

/// Listens, once the port is free: the life before may not be gone quite yet.
async fn listen(addr: SocketAddrV4) -> Result<TcpListener, Failure> {
    let until = Instant::now() + BIND;
    loop {
        match TcpListener::bind(addr).await {
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse && Instant::now() < until => {
                sleep(Duration::from_millis(50)).await;
            }
            done => return done.context(ListenSnafu { addr }),
        }
    }
}

async fn accept(listener: TcpListener, links: Links, desk: Rc<RefCell<FrontDesk>>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (links, desk) = (links.clone(), desk.clone());
                tokio::task::spawn_local(async move {
                    if let Err(e) = inbound(stream, links, desk).await {
                        log::debug!(error:% = e; "inbound connection ended");
                    }
                });
            }
            // No descriptor is left, or the caller is gone already.
            Err(e) => {
                log::debug!(error:% = e; "accept");
                sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

/// A connection from another process: its first messages tell what it is for.
async fn inbound(stream: TcpStream, links: Links, desk: Rc<RefCell<FrontDesk>>) -> std::io::Result<()> {
    frames::ready(&stream)?;
    let (input, output) = stream.into_split();
    let mut frames = Frames::new(input);
    let Some(first) = timeout(FIRST, frames.next()).await?? else { return Ok(()) };
    let (seat, first) = match first {
        Message::Hello { seat } => match timeout(FIRST, frames.next()).await?? {
            Some(first) => (seat, first),
            None => return Ok(()),
        },
        first => (Seat::default(), first),
    };
    match first {
        pull @ Message::Pull { .. } => desk::serve_pulls(desk, pull, frames, output).await,
        first if seat.id != 0 => links.serve(seat, first, frames, output).await,
        _ => Ok(()),
    }
}

async fn follow_seeds(links: Links, mut seeds: watch::Receiver<Vec<SocketAddrV4>>, port: u16) {
    loop {
        let now: Vec<SocketAddrV4> = seeds.borrow_and_update().iter().map(|s| inner(*s, port)).collect();
        links.set_seeds(&now);
        if seeds.changed().await.is_err() {
            return;
        }
    }
}

type Events = UnboundedSender<Event>;

/// Hands a command to the member and waits for its answer.
async fn command(events: Events, command: Command, wait: Duration) -> Answered {
    let (caller, answer) = oneshot::channel();
    if events.send(Event::Command(command, caller)).is_err() {
        return (Code::Leaving, Vec::new());
    }
    match timeout(wait, answer).await {
        Ok(Ok(answered)) => answered,
        _ => (Code::Unclear, Vec::new()),
    }
}
