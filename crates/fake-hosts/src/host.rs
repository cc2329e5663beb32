//! Modelled hosts on sockets: for each host a model, its listeners and its connections. There is one listener for each
//! coordinator, so that a sender is known by the address that it connects to.

use crate::event_log::{AttemptEnd, AttemptRef, Epoch, Event, EventKind, EventLog, NO_COORDINATOR};
use crate::model::{Admission, HostModel, HostSpec, Job, JobEnd, Micros};
use crate::outbox::{Outbox, Reply};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};

/// Pause before a port that is in use is bound again.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// A connection that takes longer doesn't come up: the backlog is full.
const FILL_TIMEOUT: Duration = Duration::from_millis(20);
/// A backlog takes no more connections than this.
const MAX_FILLERS: usize = 8;
/// Work of a part whose text has no mark, in microseconds.
const UNMARKED_WORK_US: f64 = 100_000.0;

/// State of a host's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It runs.
    Up,
    /// It has ended: connections are reset, new ones refused.
    Down,
    /// Its machine doesn't answer: open connections stay silent, new ones never come up.
    Silent,
}

/// Load of a host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HostState {
    /// Parts held: running and waiting.
    pub held: u32,
    /// Parts waiting.
    pub queued: u32,
    /// Whether the host fell over while warming up.
    pub fallen: bool,
}

/// Limits on connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnSpec {
    /// Parts in flight on one connection at most; further ones wait unread.
    pub streams: usize,
    /// Connections that a host accepts.
    pub most: usize,
    /// Idle connections are closed after this.
    pub idle: Duration,
}

/// A part of a query that has arrived.
pub struct ArrivingPart<'a> {
    /// The query's name.
    pub name: &'a str,
    /// The shard.
    pub shard: u32,
    /// The key.
    pub key: Option<&'a str>,
    /// How long its sender waits.
    pub wait: Duration,
    /// The client's mark, and the work of the part in microseconds.
    pub marked: Option<(AttemptRef, Option<f64>)>,
    /// Whether it is the first part of its call.
    pub first: bool,
}

/// A host: shared by its ticker, listeners and connections, all on one thread.
pub struct Host {
    /// Its number.
    pub number: u16,
    /// Limits on its connections.
    pub conn: ConnSpec,
    epoch: Epoch,
    event_log: EventLog,
    model: RefCell<HostModel>,
    jobs: RefCell<HashMap<u64, Rc<Outbox>>>,
    changed: Notify,
    /// State of the process, and how often it has started.
    mode: watch::Sender<(Mode, u32)>,
    conns: Cell<usize>,
    next_attempt: Cell<u64>,
}

impl Host {
    /// A running host that has warmed up.
    pub fn new(
        number: u16,
        spec: HostSpec,
        conn: ConnSpec,
        seed: u64,
        epoch: Epoch,
        event_log: EventLog,
    ) -> Rc<Self> {
        let seed = seed
            .wrapping_add(u64::from(number))
            .wrapping_mul(0x9e37_79b9_7f4a_7c15);
        Rc::new(Self {
            number,
            conn,
            epoch,
            event_log,
            model: RefCell::new(HostModel::new(spec, seed, epoch.now())),
            jobs: RefCell::default(),
            changed: Notify::new(),
            mode: watch::channel((Mode::Up, 0)).0,
            conns: Cell::new(0),
            next_attempt: Cell::new((u64::from(number) + 1) << 40),
        })
    }

    fn record(&self, coordinator: u16, attempt: u64, kind: EventKind) {
        self.event_log.write(Event {
            at: self.epoch.now(),
            host: self.number,
            coordinator,
            attempt,
            kind,
        });
    }

    /// The host's load.
    pub fn state(&self) -> HostState {
        let model = self.model.borrow();
        HostState {
            held: model.held() as u32,
            queued: model.queued() as u32,
            fallen: model.has_fallen(),
        }
    }

    /// The current run of the process, for one connection.
    pub fn process_run(&self) -> ProcessRun {
        let mode = self.mode.subscribe();
        let start = mode.borrow().1;
        ProcessRun { mode, start }
    }

    /// Ends the process, or makes its machine silent.
    pub fn down(&self, mode: Mode) {
        if self.mode.borrow().0 == Mode::Up {
            self.record(NO_COORDINATOR, 0, EventKind::ProcessEnded);
        }
        self.mode.send_modify(|m| m.0 = mode);
        self.jobs.borrow_mut().clear();
    }

    /// Starts the process again; it warms up from cold.
    pub fn up(&self) {
        self.model.borrow_mut().start_cold(self.epoch.now());
        self.jobs.borrow_mut().clear();
        // What a silent machine held open is reset once it is back.
        self.mode.send_modify(|m| *m = (Mode::Up, m.1 + 1));
        self.record(NO_COORDINATOR, 0, EventKind::ProcessStarted);
        self.changed.notify_one();
    }

    /// Rejects new parts from now on.
    pub fn drain(&self) {
        self.model.borrow_mut().drain();
        self.record(NO_COORDINATOR, 0, EventKind::Draining);
    }

    /// Makes the host this many times slower than usual.
    pub fn slow_down(&self, times: f64) {
        self.tick();
        self.model.borrow_mut().slow_down(times);
        self.changed.notify_one();
    }

    /// The load as it is reported to senders, in the frame protocol's form; `-` for none.
    pub fn report(&self) -> String {
        match self.model.borrow_mut().report() {
            Some(l) => format!("inflight={},queue={},qps={:.1}", l.inflight, l.queue, l.qps),
            None => "-".to_owned(),
        }
    }

    /// A part arrives: its attempt number, and its end if it ends at once. Otherwise the end comes by the outbox.
    pub fn arrive(
        &self,
        coordinator: u16,
        a: ArrivingPart,
        outbox: &Rc<Outbox>,
    ) -> (u64, Option<AttemptEnd>) {
        let attempt = self.next_attempt.get();
        self.next_attempt.set(attempt + 1);
        let reference = a.marked.map(|(r, _)| r);
        let (name, key) = (a.name.into(), a.key.map(Into::into));
        self.record(
            coordinator,
            attempt,
            EventKind::Arrived {
                name,
                shard: a.shard,
                key,
                reference,
            },
        );
        self.tick();
        let mut model = self.model.borrow_mut();
        let work_us = a.marked.and_then(|(_, w)| w).unwrap_or(UNMARKED_WORK_US);
        let expires = self.epoch.now() + a.wait.as_micros() as Micros;
        let fell = model.has_fallen();
        let verdict = model.offer(
            Job {
                id: attempt,
                work_us,
                expires,
            },
            a.first,
        );
        if model.has_fallen() && !fell {
            drop(model);
            self.record(coordinator, attempt, EventKind::FellOver);
            log::warn!(host = self.number; "pushed over while cold");
            self.down(Mode::Down);
            return (attempt, None);
        }
        match verdict {
            Admission::Accepted => {
                self.jobs.borrow_mut().insert(attempt, outbox.clone());
                self.changed.notify_one();
                (attempt, None)
            }
            Admission::Served => (
                attempt,
                Some(self.ended(coordinator, attempt, AttemptEnd::Served(attempt))),
            ),
            Admission::Rejected => (
                attempt,
                Some(self.ended(coordinator, attempt, AttemptEnd::Skipped)),
            ),
        }
    }

    /// Records the end of an attempt.
    pub fn ended(&self, coordinator: u16, attempt: u64, end: AttemptEnd) -> AttemptEnd {
        self.record(coordinator, attempt, EventKind::Ended(end));
        end
    }

    /// Advances the model to now and sends the ends of parts to their connections.
    fn tick(&self) {
        let mut ended = Vec::new();
        self.model
            .borrow_mut()
            .advance(self.epoch.now(), &mut ended);
        for (attempt, how) in ended {
            let end = match how {
                JobEnd::Served => AttemptEnd::Served(attempt),
                JobEnd::Broke => AttemptEnd::Broke,
                JobEnd::Expired => AttemptEnd::Skipped,
            };
            // A closed connection gets no replies.
            if let Some(outbox) = self
                .jobs
                .borrow_mut()
                .remove(&attempt)
                .filter(|o| o.is_open())
            {
                outbox.push(Reply { attempt, end });
            }
        }
    }

    /// Ends parts when they are due, for ever.
    pub async fn run(self: Rc<Self>) {
        loop {
            self.tick();
            let next = self.model.borrow().next();
            match next {
                Some(at) => tokio::select! {
                    () = tokio::time::sleep_until(self.epoch.instant(at).into()) => {}
                    () = self.changed.notified() => {}
                },
                None => self.changed.notified().await,
            }
        }
    }

    /// Listens at one address for one coordinator, for ever: accepts or refuses connections as the mode says.
    pub async fn listen<F, T>(
        self: Rc<Self>,
        addr: SocketAddr,
        coordinator: u16,
        first: TcpListener,
        serve: F,
    ) where
        F: Fn(Rc<Host>, u16, TcpStream) -> T,
        T: std::future::Future<Output = ()> + 'static,
    {
        let mut mode = self.mode.subscribe();
        let mut listener = Some(first);
        // Connections that fill a silent machine's backlog, so that no others come up.
        let mut fillers = Vec::new();
        loop {
            let now = mode.borrow_and_update().0;
            match now {
                Mode::Up => {
                    fillers.clear();
                    let Some(l) = listener.as_ref() else {
                        match bind(addr) {
                            Ok(l) => listener = Some(l),
                            // Somebody's outgoing connection may sit on the port for a moment.
                            Err(_) => tokio::time::sleep(BIND_RETRY_DELAY).await,
                        }
                        continue;
                    };
                    let accepted = tokio::select! {
                        accepted = l.accept() => accepted,
                        _ = mode.changed() => continue,
                    };
                    match accepted {
                        Ok((stream, _)) => self.accept(coordinator, stream, &serve),
                        Err(e) => {
                            log::warn!(host = self.number, error:% = e; "accept");
                            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                        }
                    }
                }
                Mode::Down => {
                    listener = None;
                    let _ = mode.changed().await;
                }
                Mode::Silent => {
                    if let Some(l) = &listener {
                        fill_backlog(l, addr, &mut fillers).await;
                    }
                    let _ = mode.changed().await;
                    listener = None;
                }
            }
        }
    }

    /// Serves a new connection, or resets it if there are too many.
    fn accept<F, T>(self: &Rc<Self>, coordinator: u16, stream: TcpStream, serve: &F)
    where
        F: Fn(Rc<Host>, u16, TcpStream) -> T,
        T: std::future::Future<Output = ()> + 'static,
    {
        if self.conns.get() >= self.conn.most {
            return reset(stream);
        }
        let _ = stream.set_nodelay(true);
        self.conns.set(self.conns.get() + 1);
        let (host, served) = (self.clone(), serve(self.clone(), coordinator, stream));
        tokio::task::spawn_local(async move {
            served.await;
            host.conns.set(host.conns.get() - 1);
        });
    }
}

/// Fills the backlog of a listener, so that no further connections come up.
async fn fill_backlog(listener: &TcpListener, addr: SocketAddr, fillers: &mut Vec<TcpStream>) {
    let _ = socket2::SockRef::from(listener).listen(0);
    while let Ok(Ok(stream)) = tokio::time::timeout(FILL_TIMEOUT, TcpStream::connect(addr)).await {
        fillers.push(stream);
        if fillers.len() > MAX_FILLERS {
            break;
        }
    }
}

/// One run of a host's process, as seen by a connection.
pub struct ProcessRun {
    mode: watch::Receiver<(Mode, u32)>,
    start: u32,
}

impl ProcessRun {
    fn is_over(&mut self, silent_counts: bool) -> bool {
        let (mode, start) = *self.mode.borrow_and_update();
        start != self.start || mode == Mode::Down || (silent_counts && mode == Mode::Silent)
    }

    /// Waits until the process no longer runs, or its machine is silent.
    pub async fn stops(&mut self) {
        while !self.is_over(true) && self.mode.changed().await.is_ok() {}
    }

    /// Waits until the connection has to be reset: at the end of the process, or once a silent machine is back.
    pub async fn resets_connections(&mut self) {
        while !self.is_over(false) && self.mode.changed().await.is_ok() {}
    }
}

/// Binds a listener with a long backlog.
///
/// # Errors
/// If the address can't be bound.
pub fn bind(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(1024)
}

/// Ends a connection with a reset.
pub fn reset(stream: TcpStream) {
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}
