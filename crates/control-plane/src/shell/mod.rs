//! The member's process: all I/O round the state machine, on one thread, with a second one for the disk.

pub mod call;
mod call_runner;
pub mod connection;
pub mod control;
pub mod disk;
pub mod identity;
pub mod links;
mod roster;

use crate::feed::Feed;
use crate::history::History;
use crate::member::{Config, Input, Member, Output};
use call_runner::{Answered, CallRunner, OpenMember};
use configuration::{Boot, Code};
use control::{Control, ControlCounters};
use disk::DiskEvent;
use identity::{inner, Identity, StartFacts};
use links::{LinkEvent, Links};
use protocol::{Command, MemberInfo, Message, View};
use replication::{client, FrameReader, Mirror, Puller, SharedMirror};
use snafu::{OptionExt, ResultExt, Snafu};
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddrV4;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Longest wait for what a member's state machine says of itself.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for a listener's port.
const BIND_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest wait for the handing over at the end, where the platform's `grace_s` leaves so much.
const MAX_LEAVE_TIME: Duration = Duration::from_secs(5);
/// Time between the end of the handing over and the platform's SIGKILL, at least.
const BEFORE_KILL: Duration = Duration::from_millis(1500);
/// Time for answers that are under way at the end.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(200);
/// Time for the first messages on a connection.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Inputs that are taken before other tasks run again.
const INPUTS_PER_TURN: usize = 64;

/// What an operator may set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// Length of a primary's lease; the same at all members.
    pub lease: Duration,
    /// Longest time for a configuration call, from its last byte to the answer.
    pub patience: Duration,
    /// A write that takes longer than this means that the disk stalls.
    pub stall: Duration,
    /// Time between two lines of counters.
    pub counters: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(1000),
            patience: Duration::from_millis(3500),
            stall: Duration::from_millis(600),
            counters: Duration::from_secs(60),
        }
    }
}

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
    LinkEvent(LinkEvent),
    Disk(DiskEvent),
    Command(Command, oneshot::Sender<Answered>),
    /// Asks what the state machine says of itself.
    MemberStatus(oneshot::Sender<MemberStatus>),
}

/// Runs a member until `stop` is done and all is handed over. `seeds` brings the seeds' `control` addresses
/// whenever they change. For a current-thread runtime; all that was started ends with it.
///
/// Calls are answered from the start on: until the disk has told who this member is, by 503 and
/// [`Code::Opening`].
///
/// # Errors
/// Where the settings don't fit, or an address or the disk's thread can't be had.
pub async fn run(
    boot: Boot,
    tuning: Tuning,
    seeds: watch::Receiver<Vec<SocketAddrV4>>,
    stop: impl Future<Output = ()>,
) -> Result<(), Failure> {
    let tasks = LocalSet::new();
    tasks.run_until(work(boot, tuning, seeds, stop)).await
}

async fn work(
    boot: Boot,
    tuning: Tuning,
    seeds: watch::Receiver<Vec<SocketAddrV4>>,
    stop: impl Future<Output = ()>,
) -> Result<(), Failure> {
    let origin = Instant::now();
    let control = boot.bind.control.context(NoControlSnafu)?;
    let dir = boot.state_dir.clone().context(NoDiskSnafu)?;
    let (events, mut queue) = unbounded_channel();
    let birth = StartFacts {
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
    // A disk that stalls holds up no caller.
    let api = listen(control).await?;
    let counters = Rc::new(ControlCounters::default());
    let (leave, leaving) = watch::channel(false);
    let (open_desk, opened) = watch::channel(None);
    let name = boot.node_name.clone();
    let desk = CallRunner::new(name, events.clone(), tuning.patience, leaving.clone(), opened);
    let most = (boot.limits.fd_limit.saturating_sub(400) as usize).clamp(64, 2048);
    spawn_local(Control::new(desk, most, counters.clone(), leaving).listen(api));
    let disk = disk::start(dir, birth, tell).context(ThreadSnafu)?;
    let mut stop = pin!(stop);
    let opened = tokio::select! {
        opened = open(&mut queue) => opened,
        () = stop.as_mut() => return Ok(()),
    };
    let Some((identity, records, roster)) = opened else {
        return Err(std::io::Error::from(std::io::ErrorKind::BrokenPipe)).context(ThreadSnafu);
    };
    let me = MemberInfo {
        id: identity.id,
        name: boot.node_name.clone(),
        addr: SocketAddrV4::new(boot.ip_addr, boot.port_range.0).into(),
        control: control.into(),
        zone: boot.zone.clone(),
        region: boot.region.clone(),
    };
    log::info!(id = identity.id, life = identity.life, records = records.len(), founder = !identity.initial_voters.is_empty(); "member starts");

    let announced = events.clone();
    let links = Links::new(me.clone(), move |heard| drop(events.send(Event::LinkEvent(heard))));
    let beat = Duration::from_millis(boot.beat_period_ms);
    let mirror = SharedMirror::since(Mirror::new(identity.id, beat), origin);
    roster::recall(&mirror, &identity, roster);
    let feed = Feed::new(identity.id, identity.life, beat, mirror.clone());
    let history = Rc::new(RefCell::new(History::default()));
    let inside = listen(SocketAddrV4::from(&me.addr)).await?;
    open_desk.send_replace(Some(Rc::new(OpenMember {
        me: me.clone(),
        life: identity.life,
        links: links.clone(),
        feed: feed.clone(),
        history: history.clone(),
    })));
    spawn_local(accept(inside, links.clone(), feed.clone()));
    spawn_local(announce(links.clone(), announced, tuning.lease));
    spawn_local({
        let history = history.clone();
        async move {
            loop {
                sleep(beat / 4).await;
                feed.tick();
                history.borrow_mut().note(&feed.shared().snapshot().document, SystemTime::now());
            }
        }
    });
    // What other members were told comes by pulls, like an agent's.
    let (pulls, told) = unbounded_channel();
    let puller = Puller::new(&boot.node_name, usize::MAX, Some(me.addr));
    let caller = replication::caller(&boot, identity.id);
    spawn_local(client::run(puller, me.clone(), caller, mirror.clone(), told));
    spawn_local(roster::keep(mirror.clone(), disk.clone()));
    spawn_local(follow_seeds(links.clone(), pulls, seeds, boot.port_range.0));

    let config = Config {
        me,
        bootstrap_voters: Some(identity.initial_voters).filter(|f| !f.is_empty() && records.is_empty()),
        budget: boot.fault_budget,
        lease: tuning.lease,
        patience: tuning.patience,
        stall: tuning.stall,
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
        committed: 0,
        known: ShownFleet::default(),
        disk,
        links,
        mirror,
        leave,
        history,
        period: tuning.counters,
        leave_time: leave_time(boot.bounds.grace_s),
    };
    shell.run(&mut queue, stop, &counters).await;
    sleep(LAST_ANSWERS_TIME).await;
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
    /// Number of the last change that the primary told to be acknowledged.
    committed: u64,
    /// What the mirror was told of the control plane.
    known: ShownFleet,
    disk: std::sync::mpsc::Sender<disk::Write>,
    links: Links,
    mirror: Arc<SharedMirror>,
    leave: watch::Sender<bool>,
    history: Rc<RefCell<History>>,
    /// Time between two lines of counters.
    period: Duration,
    /// Longest wait for the handing over at the end.
    leave_time: Duration,
}

#[derive(Default, PartialEq)]
struct ShownFleet {
    epoch: u64,
    primary: u64,
    members: Vec<MemberInfo>,
}

impl Shell {
    async fn run(
        &mut self,
        queue: &mut UnboundedReceiver<Event>,
        mut stop: impl Future<Output = ()> + Unpin,
        counters: &ControlCounters,
    ) {
        let mut end: Option<Instant> = None;
        let mut line = Instant::now() + self.period;
        while !self.left && end.is_none_or(|end| Instant::now() < end) {
            let wake = self.origin + self.wake.unwrap_or(Duration::from_secs(1 << 30));
            let wake = end.map_or(wake, |end| wake.min(end)).min(line);
            tokio::select! {
                biased;
                () = &mut stop, if end.is_none() => {
                    log::info!("member leaves");
                    end = Some(Instant::now() + self.leave_time);
                    self.leave.send_replace(true);
                    self.step(Input::Leave);
                }
                event = queue.recv() => {
                    // The desk holds a sender.
                    let Some(event) = event else { return };
                    self.take(event);
                    for _ in 1..INPUTS_PER_TURN {
                        let Ok(event) = queue.try_recv() else { break };
                        self.take(event);
                    }
                    self.show();
                }
                () = sleep_until(wake) => {
                    if line <= Instant::now() {
                        line += self.period;
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
            Event::LinkEvent(LinkEvent::Hello(seat)) => self.step(Input::Reachable { seat }),
            Event::LinkEvent(LinkEvent::Message(from, message)) => {
                if let Message::RenewLease { committed, .. } = &*message {
                    self.committed = self.committed.max(*committed);
                }
                self.step(Input::Message { from, message: *message });
            }
            Event::Disk(DiskEvent::Wrote { ticket, result }) => self.step(Input::Wrote { ticket, result }),
            Event::Disk(DiskEvent::Open { .. } | DiskEvent::NotOpen { .. }) => {}
            Event::Command(command, caller) => {
                self.mirror.update(|mirror, _| {
                    let fleet = mirror.fleet();
                    let primary = fleet.members.iter().find(|s| s.id == fleet.primary);
                    if let Some(primary) = primary {
                        self.member.learn_primary(fleet.epoch, primary.clone());
                    }
                });
                // Whoever stopped waiting may have been answered elsewhere, but what it asked for still holds.
                self.callers.retain(|_, caller| !caller.is_closed());
                self.tickets += 1;
                self.callers.insert(self.tickets, caller);
                self.step(Input::Command { ticket: self.tickets, command });
            }
            // Whoever asked may have stopped waiting.
            Event::MemberStatus(asker) => drop(asker.send(self.status())),
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
                    let _ =
                        self.disk.send(disk::Write { ticket, records, rewrite, file: disk::File::Ledger });
                }
                Output::Answer { ticket, code, body } => {
                    if let Some(caller) = self.callers.remove(&ticket) {
                        // A caller that has gone gets no answer.
                        let _ = caller.send((code, body));
                    }
                }
                Output::Publish { seq, document, drains } | Output::Restore { seq, document, drains } => {
                    self.history.borrow_mut().note(&document, SystemTime::now());
                    self.mirror.update(|mirror, _| mirror.set_ledger(seq, document, &drains));
                }
                Output::Wake { at } => self.wake = Some(self.wake.map_or(at, |w| w.min(at))),
                Output::Left => self.left = true,
            }
        }
        self.outputs = outputs;
    }

    fn status(&self) -> MemberStatus {
        let now = self.origin.elapsed();
        MemberStatus {
            view: self.member.view().cloned(),
            acts: self.member.acts(),
            primary: self.member.primary(),
            promised: self.member.promised(),
            fit: self.member.fit(),
            age: self.member.age(now),
        }
    }

    /// Tells the mirror who is in the control plane, and how fresh what it has is.
    fn show(&mut self) {
        let now = self.origin.elapsed();
        let age = self.member.age(now);
        let committed = self.committed;
        let Some(view) = self.member.view().filter(|v| v.epoch > 0) else { return };
        let reached = self.links.seats();
        let seat = |voter: &MemberInfo| reached.iter().find(|s| s.id == voter.id).unwrap_or(voter).clone();
        let others = reached.iter().filter(|s| view.seat(s.id).is_none()).cloned();
        let members = view.voters.iter().map(seat).chain(others).collect();
        let known = ShownFleet { epoch: view.epoch, primary: view.primary, members };
        let news = known != self.known;
        self.mirror.update(|mirror, _| {
            if news {
                mirror.set_fleet(known.epoch, known.primary, known.members.clone());
            }
            // A lease granted lately proves nothing about changes that haven't come yet.
            if let Some(at) = now.checked_sub(age).filter(|_| mirror.ledger() >= committed) {
                mirror.proved(at);
            }
        });
        self.known = known;
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

/// What a member's state machine says of itself.
#[derive(Debug)]
struct MemberStatus {
    view: Option<View>,
    acts: bool,
    primary: Option<MemberInfo>,
    promised: u64,
    fit: bool,
    age: Duration,
}

fn random() -> Result<u64, Failure> {
    getrandom::u64().map_err(|e| Failure::Random { detail: e.to_string() })
}

async fn open(queue: &mut UnboundedReceiver<Event>) -> Option<(Identity, Vec<Vec<u8>>, Option<Vec<u8>>)> {
    let mut refused = false;
    loop {
        match queue.recv().await? {
            Event::Disk(DiskEvent::Open { identity, records, roster }) => {
                return Some((identity, records, roster));
            }
            Event::Disk(DiskEvent::NotOpen { detail }) if !refused => {
                refused = true;
                log::error!(detail; "the disk's files can't be opened yet");
            }
            _ => {}
        }
    }
}

/// Listens, once the port is free: the life before may not be gone quite yet.
async fn listen(addr: SocketAddrV4) -> Result<TcpListener, Failure> {
    let until = Instant::now() + BIND_TIMEOUT;
    loop {
        match TcpListener::bind(addr).await {
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse && Instant::now() < until => {
                sleep(Duration::from_millis(50)).await;
            }
            done => return done.context(ListenSnafu { addr }),
        }
    }
}

async fn accept(listener: TcpListener, links: Links, feed: Arc<Feed>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (links, feed) = (links.clone(), feed.clone());
                spawn_local(async move {
                    if let Err(e) = inbound(stream, links, feed).await {
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
async fn inbound(stream: TcpStream, links: Links, feed: Arc<Feed>) -> std::io::Result<()> {
    connection::ready(&stream)?;
    let mut frames = FrameReader::new(stream, Vec::new());
    let Some(first) = timeout(FIRST_MESSAGE_TIMEOUT, frames.next()).await?? else { return Ok(()) };
    let (seat, first) = match first {
        Message::Hello { seat } => match timeout(FIRST_MESSAGE_TIMEOUT, frames.next()).await?? {
            Some(first) => (seat, first),
            None => return Ok(()),
        },
        first => (MemberInfo::default(), first),
    };
    let (stream, rest) = frames.into_parts();
    match first {
        pull @ Message::Pull { .. } => {
            let buffer = [protocol::encode(&pull), rest].concat();
            replication::serve(stream, buffer, feed.shared().clone(), |caller| feed.pulled(caller)).await
        }
        first if seat.id != 0 => {
            let (input, output) = stream.into_split();
            links.serve(seat, first, FrameReader::new(input, rest), output).await
        }
        _ => Ok(()),
    }
}

/// How long a member that is asked to end may wait for others to hold what it holds.
fn leave_time(grace_s: f64) -> Duration {
    let grace = Duration::try_from_secs_f64(grace_s).unwrap_or_default();
    grace.saturating_sub(BEFORE_KILL).min(MAX_LEAVE_TIME)
}

/// Tells the member again and again who is in touch: members without a say send it nothing, and one that came while
/// it couldn't join would be taken for gone.
async fn announce(links: Links, events: Events, period: Duration) {
    loop {
        sleep(period).await;
        for seat in links.seats().into_iter().skip(1) {
            if events.send(Event::LinkEvent(LinkEvent::Hello(seat))).is_err() {
                return;
            }
        }
    }
}

async fn follow_seeds(
    links: Links,
    pulls: UnboundedSender<client::Control>,
    mut seeds: watch::Receiver<Vec<SocketAddrV4>>,
    port: u16,
) {
    loop {
        let now: Vec<SocketAddrV4> = seeds.borrow_and_update().iter().map(|s| inner(*s, port)).collect();
        links.set_seeds(&now);
        // The puller ends with the process.
        let _ = pulls.send(client::Control::Seeds(now.iter().map(|s| (*s).into()).collect()));
        if seeds.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

type Events = UnboundedSender<Event>;

/// Hands a command to the member and waits for its answer.
async fn command(events: &Events, command: Command, wait: Duration) -> Answered {
    let (caller, answer) = oneshot::channel();
    if events.send(Event::Command(command, caller)).is_err() {
        return (Code::Leaving, Vec::new());
    }
    match timeout(wait, answer).await {
        Ok(Ok(answered)) => answered,
        _ => (Code::Unclear, Vec::new()),
    }
}
