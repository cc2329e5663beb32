//! Modelled hosts on sockets: for each host a model, its listeners (one for each coordinator, so that a
//! sender is known by the address it came to) and its connections.

use crate::ledger::{End, Epoch, Event, Ledger, Ref, What, NOBODY};
use crate::model::{HostModel, HostSpec, How, Job, Micros, Verdict};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};

/// How a host's process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It runs.
    Up,
    /// It is dead: connections are reset, new ones refused.
    Down,
    /// Its machine says nothing: open connections stay silent, new ones never come up.
    Silent,
}

/// Limits on connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnSpec {
    /// Parts that one connection carries at once; further ones wait unread.
    pub streams: usize,
    /// Connections that a host accepts.
    pub most: usize,
    /// Idle connections are closed after this.
    pub idle: Duration,
}

/// An answer on its way to a connection.
#[derive(Debug)]
pub struct Reply {
    /// The attempt.
    pub attempt: u64,
    /// How it ended: served, broke or skipped.
    pub end: End,
}

/// What a connection and the host's ticker share.
#[derive(Default)]
pub struct Outbox {
    replies: RefCell<Vec<Reply>>,
    wake: Notify,
    open: Cell<bool>,
}

impl Outbox {
    /// An open one.
    pub fn new() -> Rc<Self> {
        let outbox = Self::default();
        outbox.open.set(true);
        Rc::new(outbox)
    }

    /// Waits for replies.
    pub async fn wait(&self) {
        while self.replies.borrow().is_empty() {
            self.wake.notified().await;
        }
    }

    /// Takes what there is.
    pub fn take(&self) -> Vec<Reply> {
        std::mem::take(&mut self.replies.borrow_mut())
    }
}

/// A part that has come.
pub struct Arrival<'a> {
    /// The query's name.
    pub name: &'a str,
    /// The shard.
    pub shard: u32,
    /// The key.
    pub key: Option<&'a str>,
    /// How long its sender waits.
    pub wait: Duration,
    /// The client's mark and the part's work.
    pub marked: Option<(Ref, Option<f64>)>,
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
    ledger: Ledger,
    model: RefCell<HostModel>,
    jobs: RefCell<HashMap<u64, Rc<Outbox>>>,
    changed: Notify,
    /// How it is, and how often the process has started.
    mode: watch::Sender<(Mode, u32)>,
    conns: Cell<usize>,
    next_attempt: Cell<u64>,
    /// Work of a part whose text bears no mark, in microseconds.
    unmarked_us: f64,
}

impl Host {
    /// A warm host that runs.
    pub fn new(
        number: u16,
        spec: HostSpec,
        conn: ConnSpec,
        seed: u64,
        epoch: Epoch,
        ledger: Ledger,
    ) -> Rc<Self> {
        let seed = seed
            .wrapping_add(u64::from(number))
            .wrapping_mul(0x9e37_79b9_7f4a_7c15);
        Rc::new(Self {
            number,
            conn,
            epoch,
            ledger,
            model: RefCell::new(HostModel::new(spec, seed, epoch.now())),
            jobs: RefCell::default(),
            changed: Notify::new(),
            mode: watch::channel((Mode::Up, 0)).0,
            conns: Cell::new(0),
            next_attempt: Cell::new((u64::from(number) + 1) << 40),
            unmarked_us: 100_000.0,
        })
    }

    fn write(&self, coordinator: u16, attempt: u64, what: What) {
        self.ledger.write(Event {
            at: self.epoch.now(),
            host: self.number,
            coordinator,
            attempt,
            what,
        });
    }

    /// Parts held and waiting, and whether it fell.
    pub fn state(&self) -> (usize, usize, bool) {
        let m = self.model.borrow();
        (m.held(), m.queued(), m.has_fallen())
    }

    /// The process as it runs now, for one connection.
    pub fn life(&self) -> Life {
        let mode = self.mode.subscribe();
        let start = mode.borrow().1;
        Life { mode, start }
    }

    /// Ends or silences the process.
    pub fn down(&self, mode: Mode) {
        if self.mode.borrow().0 == Mode::Up {
            self.write(NOBODY, 0, What::Down);
        }
        self.mode.send_modify(|m| m.0 = mode);
        self.jobs.borrow_mut().clear();
    }

    /// Starts the process anew, cold.
    pub fn up(&self) {
        self.model.borrow_mut().start_cold(self.epoch.now());
        self.jobs.borrow_mut().clear();
        // What a silent machine held open is reset once it is back.
        self.mode.send_modify(|m| *m = (Mode::Up, m.1 + 1));
        self.write(NOBODY, 0, What::Up);
        self.changed.notify_one();
    }

    /// Takes nothing new from now on.
    pub fn drain(&self) {
        self.model.borrow_mut().drain();
        self.write(NOBODY, 0, What::Draining);
    }

    /// Makes it so many times slower than usual.
    pub fn slow_down(&self, times: f64) {
        self.tick();
        self.model.borrow_mut().slow_down(times);
        self.changed.notify_one();
    }

    /// The load as a sender is told of it, in the frames' words; `-` for none.
    pub fn report(&self) -> String {
        match self.model.borrow_mut().report() {
            Some(l) => format!("inflight={},queue={},qps={:.1}", l.inflight, l.queue, l.qps),
            None => "-".to_owned(),
        }
    }

    /// Takes a part in. One that ends at once is told at once, the others by the outbox.
    pub fn arrive(&self, coordinator: u16, a: Arrival, outbox: &Rc<Outbox>) -> (u64, Option<End>) {
        let attempt = self.next_attempt.get();
        self.next_attempt.set(attempt + 1);
        let reference = a.marked.map(|(r, _)| r);
        let (name, key) = (a.name.into(), a.key.map(Into::into));
        self.write(
            coordinator,
            attempt,
            What::Arrived {
                name,
                shard: a.shard,
                key,
                reference,
            },
        );
        self.tick();
        let mut model = self.model.borrow_mut();
        let work_us = a.marked.and_then(|(_, w)| w).unwrap_or(self.unmarked_us);
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
            self.write(coordinator, attempt, What::Fell);
            log::warn!(host = self.number; "pushed over while cold");
            self.down(Mode::Down);
            return (attempt, None);
        }
        match verdict {
            Verdict::Taken => {
                self.jobs.borrow_mut().insert(attempt, outbox.clone());
                self.changed.notify_one();
                (attempt, None)
            }
            Verdict::Served => (
                attempt,
                Some(self.ended(coordinator, attempt, End::Served(attempt))),
            ),
            Verdict::Full => (
                attempt,
                Some(self.ended(coordinator, attempt, End::Skipped)),
            ),
        }
    }

    /// Writes down how an attempt ended.
    pub fn ended(&self, coordinator: u16, attempt: u64, end: End) -> End {
        self.write(coordinator, attempt, What::Ended(end));
        end
    }

    /// Brings the model up to now and hands out what ended.
    fn tick(&self) {
        let mut ended = Vec::new();
        self.model
            .borrow_mut()
            .advance(self.epoch.now(), &mut ended);
        for (attempt, how) in ended {
            let end = match how {
                How::Served => End::Served(attempt),
                How::Broke => End::Broke,
                How::Expired => End::Skipped,
            };
            // What was cut off has nobody to tell.
            if let Some(outbox) = self
                .jobs
                .borrow_mut()
                .remove(&attempt)
                .filter(|o| o.open.get())
            {
                outbox.replies.borrow_mut().push(Reply { attempt, end });
                outbox.wake.notify_one();
            }
        }
    }

    /// Ends parts when their time has come, for ever.
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

    /// Listens at one address for one coordinator, for ever: opens and shuts the door as the mode says.
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
                            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
                        }
                        continue;
                    };
                    let accepted = tokio::select! {
                        a = l.accept() => a,
                        _ = mode.changed() => continue,
                    };
                    match accepted {
                        Ok((stream, _)) if self.conns.get() < self.conn.most => {
                            let _ = stream.set_nodelay(true);
                            self.conns.set(self.conns.get() + 1);
                            let (host, served) =
                                (self.clone(), serve(self.clone(), coordinator, stream));
                            tokio::task::spawn_local(async move {
                                served.await;
                                host.conns.set(host.conns.get() - 1);
                            });
                        }
                        Ok((stream, _)) => reset(stream),
                        Err(e) => {
                            log::warn!(host = self.number, error:% = e; "accept");
                            tokio::time::sleep(Duration::from_millis(20)).await;
                        }
                    }
                }
                Mode::Down => {
                    listener = None;
                    let _ = mode.changed().await;
                }
                Mode::Silent => {
                    if let Some(l) = &listener {
                        let _ = socket2::SockRef::from(l).listen(0);
                        while let Ok(Ok(s)) = tokio::time::timeout(
                            Duration::from_millis(20),
                            TcpStream::connect(addr),
                        )
                        .await
                        {
                            fillers.push(s);
                            if fillers.len() > 8 {
                                break;
                            }
                        }
                    }
                    let _ = mode.changed().await;
                    listener = None;
                }
            }
        }
    }
}

/// One start of a host's process, as a connection lives in it.
pub struct Life {
    mode: watch::Receiver<(Mode, u32)>,
    start: u32,
}

impl Life {
    fn over(&mut self, silent_counts: bool) -> bool {
        let (mode, start) = *self.mode.borrow_and_update();
        start != self.start || mode == Mode::Down || (silent_counts && mode == Mode::Silent)
    }

    /// Waits until the process no longer runs, or its machine is silent.
    pub async fn leaves(&mut self) {
        while !self.over(true) && self.mode.changed().await.is_ok() {}
    }

    /// Waits until the connection is to be reset: at once, or once a silent machine is back.
    pub async fn ends(&mut self) {
        while !self.over(false) && self.mode.changed().await.is_ok() {}
    }
}

/// Binds with room for many that come at once.
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

/// The attempts that are out on a connection; whatever is left at its end was cut.
pub struct Open {
    host: Rc<Host>,
    coordinator: u16,
    /// The replies' way back.
    pub outbox: Rc<Outbox>,
    attempts: HashMap<u64, (String, Form)>,
}

/// What a part's value is made as.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Form {
    /// The attempt's number in hex.
    Plain,
    /// Hits for a search of this shard: how many at most, and whether it is sorted.
    Search(u32, u64, bool),
}

impl Open {
    /// Nothing out yet.
    pub fn new(host: Rc<Host>, coordinator: u16) -> Self {
        Self {
            host,
            coordinator,
            outbox: Outbox::new(),
            attempts: HashMap::new(),
        }
    }

    /// How many are out, given-up ones included: their work still stands on this connection.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether nothing is out.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// A part comes in by its name on the wire; told at once if it ends at once.
    pub fn arrive(&mut self, id: &str, form: Form, arrival: Arrival) -> (u64, Option<End>) {
        let (attempt, end) = self.host.arrive(self.coordinator, arrival, &self.outbox);
        if end.is_none() {
            self.attempts.insert(attempt, (id.to_owned(), form));
        }
        (attempt, end)
    }

    /// A part is given up.
    pub fn withdraw(&self, id: &str) {
        for (attempt, _) in self.attempts.iter().filter(|(_, (i, _))| *i == id) {
            self.host.ended(self.coordinator, *attempt, End::Withdrawn);
        }
    }

    /// An answer goes out; its name on the wire and its value's form, if it is one of these.
    pub fn answered(&mut self, reply: &Reply) -> Option<(String, Form)> {
        let known = self.attempts.remove(&reply.attempt)?;
        self.host.ended(self.coordinator, reply.attempt, reply.end);
        Some(known)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.outbox.open.set(false);
        for attempt in self.attempts.keys() {
            self.host.ended(self.coordinator, *attempt, End::Cut);
        }
    }
}
