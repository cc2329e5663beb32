//! One connection to a district host: calls out, answers in. Every part handed to a link is reported
//! to the core once, whatever becomes of the connection.

use super::conn::Conn;
use super::frames::{self, Reply};
use super::silence::Pace;
use crate::core::{CallPart, Ended, Mail};
use crate::counters::Counters;
use crate::interface::{Outcome, RequestId, ServerId};
use bytes::{Buf, Bytes, BytesMut};
use fennelpin_shared::gates::Gate;
use std::collections::{HashMap, HashSet, VecDeque};
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncWriteExt, Interest};
use tokio::sync::mpsc;

const INPUT: usize = 16 * 1024;
const OUTPUT: usize = 16 * 1024;
/// Share of the host's own idle time after which a link closes: before the host does, so that no call
/// is written to a connection that is being closed.
const IDLE_SHARE: f64 = 0.7;
/// A withdrawal that can't be written within this closes the connection, which withdraws as well.
const CANCEL_WAIT: Duration = Duration::from_millis(100);
/// A withdrawal is told to the core so long after it was written, or the connection closed: the host reads
/// its connections in no common order, and a resend to another must not come to light before it.
pub const CANCEL_HEAD: Duration = Duration::from_millis(3);
/// A frame that has begun to come and does not go on for so long will not.
const FRAME_WAIT: Duration = Duration::from_millis(250);
/// Names of parts answered, and of parts given up, that are remembered: an answer to one of these is a copy
/// or late, one to any other name was never asked for.
const REMEMBERED: (usize, usize) = (32, 256);

/// Reason codes of connections that ended over what the host sent.
const SPOILT: [&str; 3] = ["bad_frame", "unknown_part", "host_refused_frame"];

/// What a link is told.
pub enum LinkMail {
    /// Send these parts as one call.
    Call(Vec<CallPart>),
    /// Give an attempt up.
    Cancel(RequestId, u32, Outcome),
    /// Take an attempt back if it has not begun.
    Retract(RequestId, u32),
    /// Probe the host.
    Probe,
    /// Start no more calls after this; `None` lifts it.
    StopAt(Option<Instant>),
    /// Close if nothing is out.
    Release,
}

/// What a link shows its peer actor.
#[derive(Default)]
pub struct Gauge {
    /// Parts handed over and not ended.
    pub parts: AtomicUsize,
    /// Whether it keeps a part waiting in silence: new calls go elsewhere.
    pub silent: AtomicBool,
    /// Since when it has kept parts waiting and said nothing; `None` with none out.
    waits: Mutex<Option<Instant>>,
}

impl Gauge {
    /// Since when the link has kept parts waiting and said nothing; `None` with none out.
    pub fn waits(&self) -> Option<Instant> {
        *self.waits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets since when parts wait.
    pub fn set_waits(&self, since: Option<Instant>) {
        *self.waits.lock().unwrap_or_else(PoisonError::into_inner) = since;
    }
}

/// All that a link needs.
pub struct LinkSetup {
    /// The host.
    pub server: ServerId,
    /// Its address.
    pub addr: String,
    /// Parts that a connection carries at once.
    pub streams: usize,
    /// Time in which a connection must be up.
    pub connect_timeout: Duration,
    /// Time after which hosts close an idle connection.
    pub idle: Duration,
    /// No call starts after this.
    pub stop_at: Option<Instant>,
    /// The host's gate, which closes for all cores at once, and the origin of its times.
    pub gate: Option<(Arc<Gate>, Instant)>,
    /// Its mailbox.
    pub mail: mpsc::UnboundedReceiver<LinkMail>,
    /// What its peer sees of it.
    pub gauge: Arc<Gauge>,
    /// How fast the host answers, over all its links.
    pub pace: Arc<Pace>,
    /// The core's mailbox.
    pub core: mpsc::UnboundedSender<Mail>,
    /// The counters.
    pub counters: Counters,
}

/// A link at work.
pub type LinkTask = Pin<Box<dyn Future<Output = ()> + Send>>;

/// How a kind of host is spoken to.
pub trait Dialect: Send + Sync + 'static {
    /// Opens a link; it lives until its connection ends.
    fn open(&self, setup: LinkSetup) -> LinkTask;

    /// Whether a link with `out` parts on it has room for `parts` more.
    fn room(&self, out: usize, parts: usize, streams: usize) -> bool {
        out + parts <= streams
    }

    /// Connections to one host at once. Descriptors are few.
    fn most_links(&self) -> usize {
        6
    }
}

/// The dialect of frames.
pub struct Frames;

impl Dialect for Frames {
    fn open(&self, setup: LinkSetup) -> LinkTask {
        Box::pin(run(setup))
    }
}

impl LinkSetup {
    /// Reports the end of a part that was handed to this link.
    pub fn ended(&self, part: RequestId, attempt: u32, outcome: Outcome) {
        self.report(Ended { part, attempt, outcome, value: None, report: None });
    }

    /// The same with all that came along.
    pub fn report(&self, ended: Ended) {
        self.gauge.parts.fetch_sub(1, Ordering::Relaxed);
        let _ = self.core.send(Mail::Ended(ended));
    }

    /// Time without use after which the link closes by itself.
    pub fn idle_limit(&self) -> Duration {
        self.idle.mul_f64(IDLE_SHARE)
    }

    /// The parts of a call that may still be sent; the others end here, never sent. Waiting in our own
    /// buffers counts against a part's time-out and against a drain's grace.
    pub fn sendable(&self, call: Vec<CallPart>, now: Instant) -> Vec<CallPart> {
        let shut = |(gate, origin): &(Arc<Gate>, Instant)| {
            !gate.lets_through(now.saturating_duration_since(*origin).as_micros() as u64)
        };
        let stopped = self.stop_at.is_some_and(|t| now >= t) || self.gate.as_ref().is_some_and(shut);
        let (go, stay): (Vec<_>, Vec<_>) = call.into_iter().partition(|p| !stopped && now < p.give_up);
        for p in stay {
            self.counters.inc("sent.withheld");
            self.ended(p.part, p.attempt, Outcome::Moot);
        }
        go
    }

    /// Logs the end of a connection with its reason code.
    pub fn log_end(&self, code: &'static str, detail: &str) {
        self.counters.inc("links.ended");
        log::info!(server = self.server.0, addr = self.addr, end = code, detail; "host");
    }
}

struct Out {
    part: RequestId,
    attempt: u32,
    sent: Instant,
}

/// A call whose bytes are on their way.
struct Sending {
    parts: Vec<CallPart>,
    pieces: VecDeque<Bytes>,
    /// Parts given up meanwhile.
    given_up: Vec<(RequestId, u32, Outcome)>,
}

struct Link {
    setup: LinkSetup,
    conn: Conn,
    queue: VecDeque<Vec<CallPart>>,
    sending: Option<Sending>,
    /// Parts whose frame is written, by their name.
    out: HashMap<String, Out>,
    /// Short frames that wait for the ring.
    small: VecDeque<Bytes>,
    /// Attempts given up whose withdrawal waits in the ring, and those whose withdrawal is written, with the
    /// time for the core to hear of them.
    leaving: Vec<(RequestId, u32, Outcome)>,
    leaving_since: Instant,
    left: VecDeque<(Instant, RequestId, u32, Outcome)>,
    partial: BytesMut,
    answered: VecDeque<String>,
    given_up: VecDeque<String>,
    /// Parts given up that no answer has come for. To the host they are still on this connection: it reads
    /// nothing behind the parts that it can carry, not even a withdrawal, so they count.
    gone: usize,
    /// Whether the host sent more than belongs to an answer: what is out may still come, nothing new goes.
    spoilt: bool,
    probes: VecDeque<Instant>,
    heard: Instant,
    used: Instant,
}

async fn run(mut setup: LinkSetup) {
    let mut queue = VecDeque::new();
    loop {
        let mut held = Held::default();
        let conn = match connect(&mut setup, &mut queue, &mut held).await {
            Ok(conn) => conn,
            Err(e) => {
                setup.mail.close();
                setup.log_end("connect_failed", &e.to_string());
                (0..held.probes).for_each(|_| take_unconnected(&mut setup, &mut queue, LinkMail::Probe));
                refuse_all(&mut setup, queue);
                return;
            }
        };
        setup.counters.inc("links.opened");
        let now = Instant::now();
        let mut link = Link {
            setup,
            conn,
            queue,
            sending: None,
            out: HashMap::new(),
            small: VecDeque::new(),
            leaving: Vec::new(),
            leaving_since: now,
            left: VecDeque::new(),
            partial: BytesMut::new(),
            answered: VecDeque::new(),
            given_up: VecDeque::new(),
            gone: 0,
            spoilt: false,
            probes: VecDeque::new(),
            heard: now,
            used: now,
        };
        for _ in 0..held.probes {
            link.take(LinkMail::Probe);
        }
        let (code, detail) = match held.release && !link.busy() {
            true => ("released", String::new()),
            false => link.serve().await,
        };
        link.setup.log_end(code, &detail);
        let closed = matches!(code, "host_closed" | "extra_bytes" | "worn");
        link.setup.gauge.parts.fetch_sub(link.gone, Ordering::Relaxed);
        if matches!(code, "host_closed" | "host_reset" | "write_failed") {
            link.setup.pace.ended(link.heard, Instant::now(), link.setup.connect_timeout);
        } else {
            // The end is ours: the host has to see it before the core hears of it.
            let _ = link.conn.stream.shutdown().await;
            tokio::time::sleep(CANCEL_HEAD).await;
        }
        let unused = link.sending.is_none() && link.out.is_empty() && closed;
        // A host that sends what can't be read is alive; the parts that waited there may have run.
        link.fail_started(if SPOILT.contains(&code) { Outcome::Error } else { Outcome::Reset });
        (setup, queue) = (link.setup, link.queue);
        // A host that closes an unused connection while a call is on its way to it has refused nothing.
        while let Some(mail) = unused.then(|| setup.mail.try_recv().ok()).flatten() {
            take_unconnected(&mut setup, &mut queue, mail);
        }
        if !unused || queue.is_empty() {
            setup.mail.close();
            refuse_all(&mut setup, queue);
            return;
        }
    }
}

/// What came while a connection was being opened and needs it.
#[derive(Default)]
struct Held {
    probes: usize,
    release: bool,
}

/// Connects, and meanwhile takes what comes: a part given up before the connection is up is over at once and
/// never goes out on it. What needs the connection is held until it is there.
async fn connect(
    setup: &mut LinkSetup,
    queue: &mut VecDeque<Vec<CallPart>>,
    held: &mut Held,
) -> std::io::Result<Conn> {
    let addr = setup.addr.clone();
    let connecting = Conn::connect(&addr, setup.connect_timeout, INPUT, OUTPUT);
    tokio::pin!(connecting);
    loop {
        tokio::select! {
            biased;
            Some(mail) = setup.mail.recv() => match mail {
                LinkMail::Probe => held.probes += 1,
                LinkMail::Release => held.release = true,
                mail => take_unconnected(setup, queue, mail),
            },
            opened = &mut connecting => return opened,
        }
    }
}

fn remember(names: &mut VecDeque<String>, id: String, most: usize) {
    names.push_back(id);
    if names.len() > most {
        names.pop_front();
    }
}

/// Takes an attempt out of the calls that have not begun; whether it was there.
pub fn take_out(queue: &mut VecDeque<Vec<CallPart>>, part: RequestId, attempt: u32) -> bool {
    let this = |p: &CallPart| (p.part, p.attempt) == (part, attempt);
    let there = queue.iter().flatten().any(this);
    queue.iter_mut().for_each(|c| c.retain(|p| !this(p)));
    queue.retain(|c| !c.is_empty());
    there
}

fn take_unconnected(setup: &mut LinkSetup, queue: &mut VecDeque<Vec<CallPart>>, mail: LinkMail) {
    match mail {
        LinkMail::Call(parts) => queue.push_back(parts),
        LinkMail::Cancel(part, attempt, outcome) => {
            if take_out(queue, part, attempt) {
                // Never sent, so never ran, whatever it was given up for.
                let never = if outcome == Outcome::Timeout { Outcome::Moot } else { outcome };
                setup.ended(part, attempt, never);
            }
        }
        LinkMail::Retract(part, attempt) => {
            if take_out(queue, part, attempt) {
                setup.ended(part, attempt, Outcome::Moot);
            }
        }
        LinkMail::Probe => {
            let failed = Mail::Probed(setup.server, Outcome::ConnectFailed, None);
            let _ = setup.core.send(failed);
        }
        LinkMail::StopAt(at) => setup.stop_at = at,
        LinkMail::Release => {}
    }
}

/// No connection came about: nothing that waits for it has run.
fn refuse_all(setup: &mut LinkSetup, mut queue: VecDeque<Vec<CallPart>>) {
    while let Ok(mail) = setup.mail.try_recv() {
        take_unconnected(setup, &mut queue, mail);
    }
    for p in queue.into_iter().flatten() {
        setup.ended(p.part, p.attempt, Outcome::ConnectFailed);
    }
}

impl Link {
    fn busy(&self) -> bool {
        let waits = !self.queue.is_empty() || !self.probes.is_empty() || !self.left.is_empty();
        self.sending.is_some() || !self.out.is_empty() || waits
    }

    /// Tells the core of what was withdrawn by some time, or of all.
    fn tell_left(&mut self, by: Option<Instant>) {
        while let Some((_, part, attempt, outcome)) =
            self.left.front().copied().filter(|l| by.is_none_or(|t| l.0 <= t))
        {
            self.left.pop_front();
            self.setup.ended(part, attempt, outcome);
        }
    }

    /// Works until the connection ends; says why it did.
    async fn serve(&mut self) -> (&'static str, String) {
        let mut open = true;
        loop {
            // All that waits comes before the next byte goes out: a call must not begin of which the
            // withdrawal is here already.
            while open {
                match self.setup.mail.try_recv() {
                    Ok(mail) => {
                        if !self.take(mail) {
                            return ("released", String::new());
                        }
                    }
                    Err(mpsc::error::TryRecvError::Empty) => break,
                    Err(mpsc::error::TryRecvError::Disconnected) => open = false,
                }
            }
            if let Err(e) = self.write() {
                return ("write_failed", e.to_string());
            }
            let now = Instant::now();
            self.tell_left(Some(now));
            let wait = self.setup.idle_limit().saturating_sub(now - self.used);
            if !self.busy() {
                self.conn.input.give_back();
                self.conn.output.give_back();
                self.partial = BytesMut::new();
            }
            if !self.busy() && self.leaving.is_empty() && (wait.is_zero() || !open) {
                if !open {
                    return ("peer_gone", String::new());
                }
                // Calls already in the mailbox are still served: only new ones go elsewhere.
                self.setup.mail.close();
                open = match self.setup.mail.try_recv() {
                    Ok(mail) => self.take(mail),
                    Err(_) => return ("idle", String::new()),
                };
                continue;
            }
            let behind = self.sending.as_ref().is_some_and(|s| !s.given_up.is_empty());
            if (behind || !self.leaving.is_empty()) && now - self.leaving_since > CANCEL_WAIT {
                return ("withdrawn", "a withdrawal could not be written".into());
            }
            let probe_late = self.probes.front().is_some_and(|t| now - *t > self.setup.connect_timeout);
            if probe_late {
                self.probes.clear();
                self.probed(Outcome::Timeout, None);
                self.setup.gauge.silent.store(true, Ordering::Relaxed);
            }
            if self.setup.pace.lost(self.setup.gauge.waits(), self.setup.connect_timeout) {
                return ("silent", format!("{} parts out, later ones answered elsewhere", self.out.len()));
            }
            let waits = !self.queue.is_empty() || self.gone > self.setup.streams / 4;
            let still = self.sending.is_none() && self.out.is_empty() && self.probes.is_empty();
            if self.gone > 0 && waits && still && self.left.is_empty() && self.leaving.is_empty() {
                return ("worn", format!("{} parts given up", self.gone));
            }
            // A link that keeps silent carries no new calls; once nothing is out on it, it is of no use.
            if self.setup.gauge.silent.load(Ordering::Relaxed) && !self.busy() && self.leaving.is_empty() {
                return (if self.spoilt { "extra_bytes" } else { "silent" }, String::new());
            }
            let tick = if self.busy() || !self.leaving.is_empty() { Duration::from_millis(50) } else { wait };
            let tick = self.left.front().map_or(tick, |l| tick.min(l.0 - now));
            let tick = match self.partial.is_empty() {
                true => tick,
                false => tick.min((self.heard + FRAME_WAIT).saturating_duration_since(now)),
            };
            let interest = match self.conn.output.is_empty() {
                true => Interest::READABLE,
                false => Interest::READABLE | Interest::WRITABLE,
            };
            tokio::select! {
                biased;
                mail = self.setup.mail.recv(), if open => match mail {
                    Some(mail) => {
                        if !self.take(mail) {
                            return ("released", String::new());
                        }
                    }
                    None => open = false,
                },
                ready = self.conn.stream.ready(interest) => {
                    let got = ready.and_then(|r| match r.is_readable() {
                        true => self.conn.input.read_from(&self.conn.stream),
                        false => Err(std::io::ErrorKind::WouldBlock.into()),
                    });
                    match got {
                        Ok(0) => return ("host_closed", String::new()),
                        Ok(_) => {
                            if let Err(end) = self.read() {
                                return end;
                            }
                        }
                        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                        Err(e) => return ("host_reset", e.to_string()),
                    }
                }
                // Only here, with nothing left to read: the time that this process stood still is not the host's.
                _ = tokio::time::sleep(tick) => {
                    if !self.partial.is_empty() && self.heard.elapsed() >= FRAME_WAIT {
                        return ("bad_frame", "a frame that does not end".into());
                    }
                }
            }
        }
    }

    /// Takes one message; false if the connection is to be closed.
    fn take(&mut self, mail: LinkMail) -> bool {
        match mail {
            LinkMail::Call(parts) => {
                self.used = Instant::now();
                self.queue.push_back(parts);
            }
            LinkMail::Cancel(part, attempt, outcome) => self.cancel(part, attempt, outcome),
            LinkMail::Retract(..) => take_unconnected(&mut self.setup, &mut self.queue, mail),
            LinkMail::Probe => {
                self.used = Instant::now();
                self.probes.push_back(self.used);
                self.small.push_back(frames::short(b'l', ""));
            }
            LinkMail::StopAt(at) => self.setup.stop_at = at,
            LinkMail::Release => return self.busy(),
        }
        true
    }

    fn cancel(&mut self, part: RequestId, attempt: u32, outcome: Outcome) {
        let key = (part, attempt);
        if let Some(id) = self.out.iter().find(|(_, o)| (o.part, o.attempt) == key).map(|(id, _)| id.clone())
        {
            let sent = self.out.remove(&id).map(|o| o.sent);
            let (waits, now) = (self.setup.gauge.waits(), Instant::now());
            let stalled = self.setup.pace.stalled(waits, now, self.setup.connect_timeout);
            if (outcome == Outcome::Timeout || stalled) && sent.is_some_and(|s| self.heard < s) {
                self.setup.gauge.silent.store(true, Ordering::Relaxed);
            }
            self.setup.gauge.set_waits(waits.filter(|_| !self.out.is_empty()));
            self.small.push_back(frames::short(b'c', &id));
            remember(&mut self.given_up, id, REMEMBERED.1);
            self.gone += 1;
            self.setup.gauge.parts.fetch_add(1, Ordering::Relaxed);
            self.leave(part, attempt, outcome);
        } else if let Some(s) = self.sending.as_mut() {
            // Its frame has begun and must be finished; the withdrawal follows it.
            if s.parts.iter().any(|p| (p.part, p.attempt) == key) {
                if self.leaving.is_empty() && s.given_up.is_empty() {
                    self.leaving_since = Instant::now();
                }
                s.given_up.push((part, attempt, outcome));
                return;
            }
        }
        take_unconnected(&mut self.setup, &mut self.queue, LinkMail::Cancel(part, attempt, outcome));
    }

    fn leave(&mut self, part: RequestId, attempt: u32, outcome: Outcome) {
        if self.leaving.is_empty() {
            self.leaving_since = Instant::now();
        }
        self.leaving.push((part, attempt, outcome));
    }

    /// Moves what waits into the ring and the ring into the socket, as far as both go.
    fn write(&mut self) -> std::io::Result<()> {
        loop {
            if let Some(s) = self.sending.as_mut() {
                while let Some(piece) = s.pieces.front_mut() {
                    let n = self.conn.output.put(piece);
                    piece.advance(n);
                    if !piece.is_empty() {
                        break;
                    }
                    s.pieces.pop_front();
                }
            }
            // Short frames go between calls, never into one.
            while self.sending.is_none()
                && self.small.front().is_some_and(|f| f.len() <= self.conn.output.free())
            {
                let frame = self.small.pop_front().unwrap_or_default();
                self.conn.output.put(&frame);
            }
            self.conn.push()?;
            if !self.conn.output.is_empty() {
                return Ok(());
            }
            match self.sending.take() {
                Some(s) if s.pieces.is_empty() => self.written(s),
                Some(s) => self.sending = Some(s),
                None if !self.small.is_empty() => {}
                None => {
                    // All that was to be withdrawn has been: in a moment the core may send those parts again.
                    let heard = Instant::now() + CANCEL_HEAD;
                    self.left.extend(self.leaving.drain(..).map(|(p, n, outcome)| (heard, p, n, outcome)));
                    if !self.begin_call() {
                        return Ok(());
                    }
                }
            }
        }
    }

    /// A call starts only once the ring is empty, so that it does not wait there past its time.
    fn begin_call(&mut self) -> bool {
        let there = self.out.len() + self.gone;
        let room = |c: &Vec<CallPart>| there == 0 || there + c.len() <= self.setup.streams;
        let Some(call) = self.queue.front().is_some_and(room).then(|| self.queue.pop_front()).flatten()
        else {
            return false;
        };
        let now = Instant::now();
        let mut parts = self.setup.sendable(call, now);
        // Two queries by one name would share their parts' names: the answers could not be told apart, and
        // one of the two would wait for ever.
        let mut names: HashSet<String> = HashSet::new();
        parts.retain(|p| {
            let id = frames::part_id(p);
            let fresh = !self.out.contains_key(&id) && names.insert(id);
            if !fresh {
                self.setup.ended(p.part, p.attempt, Outcome::Moot);
            }
            fresh
        });
        if !parts.is_empty() {
            let pieces = frames::call(&parts, now).into();
            self.sending = Some(Sending { parts, pieces, given_up: Vec::new() });
        }
        true
    }

    /// The last byte of a call is out.
    fn written(&mut self, sending: Sending) {
        let now = Instant::now();
        self.used = now;
        self.setup.counters.add("tries", sending.parts.len() as u64);
        for p in &sending.parts {
            let out = Out { part: p.part, attempt: p.attempt, sent: now };
            self.out.insert(frames::part_id(p), out);
        }
        self.setup.gauge.set_waits(self.setup.gauge.waits().or(Some(now)));
        for (part, attempt, outcome) in sending.given_up {
            self.cancel(part, attempt, outcome);
        }
    }

    fn probed(&self, outcome: Outcome, report: Option<crate::LoadReport>) {
        let _ = self.setup.core.send(Mail::Probed(self.setup.server, outcome, report));
    }

    fn read(&mut self) -> Result<(), (&'static str, String)> {
        let now = Instant::now();
        (self.heard, self.used) = (now, now);
        self.partial.extend_from_slice(self.conn.input.contiguous());
        self.conn.input.consume(self.conn.input.len());
        loop {
            match frames::next(&mut self.partial) {
                Ok(None) => break,
                Ok(Some(Reply::Part { id, outcome, value, report })) => {
                    if let Some(Out { part, attempt, sent }) = self.out.remove(&id) {
                        self.setup.pace.answered(sent, now);
                        // A copy of its own: a slice would keep the whole buffer it came in.
                        let value = (outcome == Outcome::Ok).then(|| Bytes::copy_from_slice(&value));
                        self.setup.report(Ended { part, attempt, outcome, value, report });
                        remember(&mut self.answered, id, REMEMBERED.0);
                    } else if let Some(n) = self.given_up.iter().position(|g| *g == id) {
                        self.given_up.remove(n);
                        self.gone -= 1;
                        self.setup.gauge.parts.fetch_sub(1, Ordering::Relaxed);
                        self.setup.counters.inc("ended.late");
                    } else if self.answered.contains(&id) {
                        self.spoilt = true;
                    } else {
                        return Err(("unknown_part", id));
                    }
                }
                Ok(Some(Reply::Probe(outcome, report))) => match self.probes.pop_front() {
                    Some(_) => self.probed(outcome, report),
                    None => self.spoilt = true,
                },
                Ok(Some(Reply::Refused(words))) => return Err(("host_refused_frame", words)),
                // Behind the last answer that was waited for it costs nothing but the connection.
                Err(e) if self.out.is_empty() => return Err(("extra_bytes", e.to_string())),
                Err(e) => return Err(("bad_frame", e.to_string())),
            }
        }
        if self.out.is_empty() && self.probes.is_empty() && !self.partial.is_empty() {
            return Err(("extra_bytes", String::new()));
        }
        self.setup.gauge.silent.store(self.spoilt, Ordering::Relaxed);
        self.setup.gauge.set_waits(Some(now).filter(|_| !self.out.is_empty()));
        Ok(())
    }

    /// The connection is over: what was written whole may have run, what was not never did.
    fn fail_started(&mut self, outcome: Outcome) {
        for (_, o) in std::mem::take(&mut self.out) {
            self.setup.ended(o.part, o.attempt, outcome);
        }
        for p in self.sending.take().map_or(Vec::new(), |s| s.parts) {
            self.setup.ended(p.part, p.attempt, Outcome::ConnectFailed);
        }
        for (part, attempt, outcome) in std::mem::take(&mut self.leaving) {
            self.setup.ended(part, attempt, outcome);
        }
        self.tell_left(None);
        if !self.probes.is_empty() {
            self.probed(Outcome::Reset, None);
        }
    }
}
