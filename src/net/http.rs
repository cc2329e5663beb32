//! HTTP/1.1 over a [`Conn`], as [`http1`] reads it: a server for the fronts, and what clients of this program
//! need to read.

use super::conn::Conn;
use crate::counters::{Counters, End};
use crate::ops::turnover::Beside;
use bytes::{Bytes, BytesMut};
use http1::{Fields, Framing, HeadLimits, Malformed, RequestHead, ResponseHead, Step};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncWriteExt, Interest, Ready};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Notify};

/// Largest body that is taken.
pub const MOST_BODY: usize = 64 * 1024;
/// Ring for what comes in; a head must fit into it.
pub const INPUT: usize = 16 * 1024;
const OUTPUT: usize = 16 * 1024;
const MOST_HEAD: HeadLimits = HeadLimits { bytes: INPUT, fields: 64 };
/// A client must have sent its first request whole in this time from connecting, and any later one from
/// its first byte: whoever says nothing, or half of something, is let go while it still counts as prompt.
const SLOW_REQUEST: Duration = Duration::from_secs(2);
/// An unused connection is closed after this, and sooner once more than a share of the seats is taken.
const IDLE: (Duration, Duration) = (Duration::from_secs(10), Duration::from_millis(2200));
const ROOMY: f64 = 0.25;
/// When all seats are taken, a connection that has been asking for so long without a whole request (of
/// clients), or standing idle for so long, goes for a new one: its client can come back, one turned away is
/// not served.
pub const PATIENCE: Duration = Duration::from_millis(100);
const MAKES_ROOM: Duration = Duration::from_millis(100);
/// Share of the seats that may stand idle: beyond it the one that has for longest goes with each that comes,
/// as clients that ask once and stay use up what connections the usual ones may have.
const IDLERS: f64 = 0.2;
/// After so many answers in a row to what was no query the next request is read so much later for each one
/// more, up to a limit: who asks again at once must not starve the others.
const FREE_BAD: u32 = 2;
const BAD_PAUSE: Duration = Duration::from_millis(50);
const MOST_PAUSES: u32 = 8;
/// A client that does not take its answer is let go after this.
const SLOW_CLIENT: Duration = Duration::from_secs(5);
/// Once stopping, this is the least time for which new connections are taken.
const STOP_LEAST: Duration = Duration::from_millis(600);
/// Nothing taken may be waited for beyond this.
const STOP_LONGEST: Duration = Duration::from_secs(12);

/// Why a message can't be read.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The other side ended the connection between messages.
    #[error("closed")]
    Closed,
    /// The other side ended the connection within a message.
    #[error("closed within a message")]
    Cut,
    /// Not HTTP.
    #[error("malformed: {0}")]
    Malformed(&'static str),
    /// The head is too large.
    #[error("head too large")]
    HeadTooLarge,
    /// The body is too large.
    #[error("body too large")]
    BodyTooLarge,
    /// It took too long.
    #[error("too slow")]
    Slow,
    /// The socket failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

impl From<Malformed> for HttpError {
    fn from(malformed: Malformed) -> Self {
        match malformed {
            Malformed::Syntax { what } => Self::Malformed(what),
            Malformed::TooLarge => Self::HeadTooLarge,
            Malformed::LengthTooLarge => Self::BodyTooLarge,
        }
    }
}

impl HttpError {
    /// The reason code in the log.
    pub fn code(&self) -> &'static str {
        match self {
            Self::Closed => "peer_closed",
            Self::Cut => "peer_cut",
            Self::Malformed(_) => "malformed",
            Self::HeadTooLarge => "head_too_large",
            Self::BodyTooLarge => "body_too_large",
            Self::Slow => "too_slow",
            Self::Io(_) => "io_error",
        }
    }

    fn status(&self) -> Option<u16> {
        match self {
            Self::Malformed(_) => Some(400),
            Self::HeadTooLarge => Some(431),
            Self::BodyTooLarge => Some(413),
            Self::Slow => Some(408),
            Self::Closed | Self::Cut | Self::Io(_) => None,
        }
    }
}

/// Headers of a message; all of them are text.
#[derive(Debug, Default, Clone)]
pub struct Headers(Fields);

impl Headers {
    fn of(fields: Fields) -> Result<Self, HttpError> {
        let text = fields.iter().all(|(_, value)| std::str::from_utf8(value).is_ok());
        text.then_some(Self(fields)).ok_or(HttpError::Malformed("header"))
    }

    /// The value of the first header of this name, whatever its case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.text(name)
    }
}

/// A request with its whole body.
#[derive(Debug)]
pub struct Request {
    /// Its method.
    pub method: String,
    /// Its path without the query.
    pub path: String,
    /// The query after the '?'.
    pub query: String,
    /// Its headers.
    pub headers: Headers,
    /// Its body.
    pub body: Bytes,
    /// When its last byte came.
    pub arrived: Instant,
    /// When it must be answered at the latest, whatever its client says, as the process ends.
    pub latest: Option<Instant>,
}

impl Request {
    /// The time that is left for it, where the process is about to end.
    pub fn left(&self) -> Option<Duration> {
        self.latest.map(|l| l.saturating_duration_since(self.arrived))
    }
}

/// An answer; how it is framed is settled when it is written.
#[derive(Debug, Clone)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Bytes,
    /// The requests that end with it: their classes, and how. They count once it is written.
    pub ends: Vec<(usize, End)>,
}

impl Response {
    /// An answer with a JSON body.
    pub fn json(status: u16, body: impl Into<Bytes>) -> Self {
        Self::of_type("application/json", status, body.into())
    }

    /// An answer in plain text.
    pub fn text(status: u16, body: impl Into<Bytes>) -> Self {
        Self::of_type("text/plain", status, body.into())
    }

    fn of_type(kind: &str, status: u16, body: Bytes) -> Self {
        Self { status, headers: vec![("Content-Type", kind.into())], body, ends: Vec::new() }
    }

    /// A request of this class ends with it.
    pub fn ends(mut self, class: usize, end: End) -> Self {
        self.ends.push((class, end));
        self
    }

    /// Adds a header.
    pub fn with(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }

    /// Says when to come back, rounded up to milliseconds.
    pub fn retry_after(self, after: Option<Duration>) -> Self {
        match after {
            Some(d) => self.with("Retry-After", format!("{:.3}", d.as_secs_f64())),
            None => self,
        }
    }

    fn head(&self, close: bool) -> String {
        let reason = http1::reason(self.status);
        let mut head =
            format!("HTTP/1.1 {} {reason}\r\nContent-Length: {}\r\n", self.status, self.body.len());
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(if close { "Connection: close\r\n\r\n" } else { "\r\n" });
        head
    }
}

async fn more(conn: &mut Conn, started: bool) -> Result<(), HttpError> {
    match conn.fill().await? {
        0 if started => Err(HttpError::Cut),
        0 => Err(HttpError::Closed),
        _ => Ok(()),
    }
}

fn request_head(conn: &mut Conn) -> Result<Option<RequestHead>, HttpError> {
    let Some((head, n)) = RequestHead::read(conn.input.contiguous(), MOST_HEAD)? else { return Ok(None) };
    conn.input.consume(n);
    Ok(Some(head))
}

/// Reads a response's head: its status and headers.
pub async fn response_head(conn: &mut Conn) -> Result<(u16, Headers), HttpError> {
    loop {
        if let Some((head, n)) = ResponseHead::read(conn.input.contiguous(), MOST_HEAD, false)? {
            conn.input.consume(n);
            return Ok((head.status, Headers::of(head.fields)?));
        }
        if conn.input.free() == 0 {
            return Err(HttpError::HeadTooLarge);
        }
        more(conn, !conn.input.is_empty()).await?;
    }
}

/// A body on its way in.
pub struct Body {
    framing: Framing,
    body: http1::Body,
}

impl Body {
    fn new(framing: Framing) -> Self {
        Self { framing, body: http1::Body::new(framing) }
    }

    /// The body of a response with these headers.
    pub fn of_response(headers: &Headers) -> Result<Self, HttpError> {
        Ok(Self::new(Framing::of(&headers.0)?.unwrap_or(Framing::UntilEnd)))
    }

    /// Whether its length is told and beyond a limit.
    fn beyond(&self, most: usize) -> bool {
        matches!(self.framing, Framing::Length(n) if n > most as u64)
    }

    /// Appends what comes next to `out`; false at the end.
    pub async fn next(&mut self, conn: &mut Conn, out: &mut BytesMut) -> Result<bool, HttpError> {
        loop {
            let input = if self.body.in_data() { conn.input.first() } else { conn.input.contiguous() };
            match self.body.step(input)? {
                Step::Data(n) => {
                    out.extend_from_slice(input.get(..n).unwrap_or_default());
                    conn.input.consume(n);
                    return Ok(true);
                }
                Step::Frame(n) => conn.input.consume(n),
                Step::End => return Ok(false),
                Step::More => match more(conn, true).await {
                    Err(HttpError::Cut) if self.body.ends_with_connection() => return Ok(false),
                    step => step?,
                },
            }
        }
    }

    /// Reads the whole body, up to a limit.
    pub async fn whole(mut self, conn: &mut Conn, most: usize) -> Result<Bytes, HttpError> {
        let mut out = BytesMut::new();
        if self.beyond(most) {
            return Err(HttpError::BodyTooLarge);
        }
        while self.next(conn, &mut out).await? {
            if out.len() > most {
                return Err(HttpError::BodyTooLarge);
            }
        }
        Ok(out.freeze())
    }
}

async fn read_request(conn: &mut Conn, most: usize) -> Result<(Request, bool), HttpError> {
    let head = loop {
        if !conn.input.is_empty() {
            if let Some(head) = request_head(conn)? {
                break head;
            }
            if conn.input.free() == 0 {
                return Err(HttpError::HeadTooLarge);
            }
        }
        more(conn, !conn.input.is_empty()).await?;
    };
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let (method, target, keep) = (text(head.method()), text(head.target()), head.keeps_alive());
    let body = Body::new(head.framing.unwrap_or(Framing::Length(0)));
    let headers = Headers::of(head.fields)?;
    if body.beyond(most) {
        return Err(HttpError::BodyTooLarge);
    }
    if headers.0.has_token("Expect", "100-continue") {
        conn.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let body = body.whole(conn, most).await?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let (arrived, latest) = (Instant::now(), None);
    Ok((Request { method, path, query, headers, body, arrived, latest }, keep))
}

/// An answer on its way.
pub type Answering = Pin<Box<dyn Future<Output = Response> + Send>>;

/// What answers requests. A dropped answer means that its client has gone.
pub trait Service: Send + Sync + 'static {
    /// Answers one request.
    fn answer(&self, request: Request) -> Answering;
    /// Words an error that the server itself finds.
    fn error(&self, status: u16, reason: &str) -> Response;
    /// Refuses a request at the cap on clients.
    fn no_seat(&self, _request: &Request) -> Response {
        self.error(503, "too many clients")
    }
}

/// Limits of a server.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Clients that are served.
    pub clients: usize,
    /// Clients beyond that are still told so; above this sum they are let go.
    pub most: usize,
    /// Once told to stop, requests are served for so long, as clients keep the connections they have.
    pub serve_on: Duration,
    /// By then all of them must be answered.
    pub answer_by: Duration,
    /// When all seats are taken, a connection that has been asking for so long makes room.
    pub patience: Duration,
    /// Whether a connection is for one request alone.
    pub one_call: bool,
    /// How this process stands to another: both have half of the seats, and one that is replaced takes no
    /// new connections and closes each with its next answer.
    pub beside: watch::Receiver<Beside>,
}

impl Limits {
    fn replaced(&self) -> bool {
        *self.beside.borrow() == Beside::Replaced
    }

    fn clients(&self) -> usize {
        self.beside.borrow().share(self.clients)
    }

    fn most(&self) -> usize {
        self.beside.borrow().share(self.most)
    }
}

/// What a connection is at.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
enum Phase {
    /// It has not sent its request whole.
    Asking,
    /// It stands between two requests.
    Idle,
    /// A request of it is being answered.
    Busy,
}

struct Seat {
    phase: Phase,
    since: Instant,
    /// Asked to leave. It is left standing if its client turns out to have sent a request meanwhile.
    leaving: bool,
    leave: Arc<Notify>,
}

/// How a new connection came to its seat.
#[derive(Clone, Copy)]
enum Admission {
    /// There was a free seat.
    Free,
    /// All were taken; this one was asked to leave for it.
    InPlaceOf(u64),
    /// All were taken and none could be asked to leave.
    Extra,
}

/// The connections served, and who goes when a new one needs room.
#[derive(Default)]
struct Seats {
    next: u64,
    taken: BTreeMap<u64, Seat>,
}

impl Seats {
    fn take(&mut self, now: Instant) -> (u64, Arc<Notify>) {
        self.next += 1;
        let leave = Arc::new(Notify::new());
        let seat = Seat { phase: Phase::Asking, since: now, leaving: false, leave: leave.clone() };
        self.taken.insert(self.next, seat);
        (self.next, leave)
    }

    /// How many are taken, without those that were asked to leave.
    fn staying(&self) -> usize {
        self.taken.values().filter(|s| !s.leaving).count()
    }

    /// How many stand idle, without those that were asked to leave.
    fn idlers(&self) -> usize {
        self.taken.values().filter(|s| s.phase == Phase::Idle && !s.leaving).count()
    }

    /// Whether this one was asked to leave and still has nothing to say.
    fn leaves(&self, seat: u64) -> bool {
        self.taken.get(&seat).is_some_and(|s| s.leaving)
    }

    /// Whether this one is there to stay.
    fn stays(&self, seat: u64) -> bool {
        self.taken.get(&seat).is_some_and(|s| !s.leaving)
    }

    fn enter(&mut self, seat: u64, phase: Phase, now: Instant) {
        if let Some(s) = self.taken.get_mut(&seat) {
            (s.phase, s.since, s.leaving) = (phase, now, false);
        }
    }

    /// Asks the one that has been of no use for longest to leave: a crowd that says nothing, or stays
    /// after its one request, must not keep others out. Unless `full`, only one that stands idle goes.
    /// Whether it goes is seen once its client's connection has been looked at: a request that waits there
    /// unread, as after a standstill of this process, keeps it its seat.
    fn make_room(&mut self, now: Instant, full: bool, patience: Duration) -> Option<u64> {
        let goes = |s: &Seat| match s.phase {
            Phase::Asking => full && now - s.since >= patience,
            Phase::Idle => now - s.since >= MAKES_ROOM,
            Phase::Busy => false,
        };
        let useless = self.taken.iter_mut().filter(|(_, s)| !s.leaving && goes(s));
        let order = |a: &Seat, b: &Seat| (a.phase, a.since).partial_cmp(&(b.phase, b.since));
        let first = useless.min_by(|a, b| order(a.1, b.1).unwrap_or(std::cmp::Ordering::Equal));
        let (number, seat) = first?;
        seat.leaving = true;
        seat.leave.notify_one();
        Some(*number)
    }
}

/// A connection that another thread has accepted; `guard` is dropped with it.
pub struct Handed {
    /// The socket, set to non-blocking.
    pub stream: std::net::TcpStream,
    /// Where it comes from.
    pub from: SocketAddr,
    /// Counts it for as long as it lives.
    pub guard: Guard,
}

/// Something that lives as long as a connection.
pub type Guard = Box<dyn std::any::Any + Send>;

/// A listener that is left alone once another process has taken over.
pub struct Gated {
    /// The listener.
    pub listener: TcpListener,
    /// How this process stands to another.
    pub beside: watch::Receiver<Beside>,
}

impl Gated {
    /// The next connection.
    ///
    /// # Errors
    /// If the system has none to give, as descriptors have run out.
    pub async fn accept(&mut self) -> std::io::Result<(TcpStream, SocketAddr)> {
        loop {
            // The other end of the watch goes only where there is never another process.
            if self.beside.wait_for(|b| *b != Beside::Replaced).await.is_err() {
                return self.listener.accept().await;
            }
            tokio::select! {
                came = self.listener.accept() => return came,
                changed = self.beside.changed() => if changed.is_err() { return self.listener.accept().await },
            }
        }
    }
}

/// Where connections come from.
pub enum Incoming {
    /// A listener of one's own.
    Listener(Gated),
    /// A thread that accepts for several.
    Handed(mpsc::UnboundedReceiver<Handed>),
}

impl Incoming {
    async fn accept(&mut self) -> std::io::Result<(TcpStream, SocketAddr, Option<Guard>)> {
        match self {
            Self::Listener(l) => l.accept().await.map(|(stream, from)| (stream, from, None)),
            Self::Handed(mail) => match mail.recv().await {
                Some(h) => Ok((TcpStream::from_std(h.stream)?, h.from, Some(h.guard))),
                // The one that accepts has ended: no more will come.
                None => std::future::pending().await,
            },
        }
    }
}

struct Shared {
    service: Arc<dyn Service>,
    counters: Counters,
    limits: Limits,
    clients: AtomicUsize,
    seats: Mutex<Seats>,
    /// Set once stopping: when all must be answered.
    latest: OnceLock<Instant>,
}

impl Shared {
    fn seats(&self) -> MutexGuard<'_, Seats> {
        self.seats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn crowded(&self, share: f64) -> bool {
        self.seats().staying() as f64 > share * self.limits.clients() as f64
    }

    /// Asks the connection that has been of no use for longest to leave.
    fn make_room(&self, full: bool) -> Option<u64> {
        self.seats().make_room(Instant::now(), full, self.limits.patience)
    }

    /// Whether a request is refused for want of seats, as the one that was to leave for it has not, and no
    /// other can. Those who had a seat before all were taken keep it.
    fn refuses(&self, admission: Admission) -> bool {
        let without_seat = match admission {
            Admission::Free => false,
            Admission::InPlaceOf(other) => self.seats().stays(other),
            Admission::Extra => true,
        };
        without_seat && self.crowded(1.0) && self.make_room(true).is_none()
    }

    /// Waits until this seat has to be left.
    async fn told_to_leave(&self, seat: u64, leave: &Notify) {
        loop {
            leave.notified().await;
            // What was asked before its client's last request holds no more.
            if self.seats().leaves(seat) {
                self.counters.inc("clients.made_room");
                return;
            }
        }
    }

    /// What stands beyond the share of this process, as there is another now, goes as far as it is of no use.
    fn make_half(&self) {
        let over = self.seats().staying().saturating_sub(self.limits.clients());
        for _ in 0..over {
            if self.make_room(true).is_none() {
                return;
            }
        }
    }

    /// Seats a new connection and serves it; above the hard cap it is closed at once.
    fn welcome(
        self: &Arc<Self>,
        (stream, from, guard): (TcpStream, SocketAddr, Option<Guard>),
        closing: &watch::Receiver<bool>,
    ) {
        let (clients, most) = (self.limits.clients(), self.limits.most());
        let full = self.seats().staying() >= clients;
        let idlers = self.seats().idlers();
        let crowded = full || idlers as f64 > IDLERS * clients as f64;
        let leaver = if crowded { self.make_room(full) } else { None };
        let admission = match leaver {
            _ if !full => Admission::Free,
            Some(leaver) => Admission::InPlaceOf(leaver),
            None => Admission::Extra,
        };
        if self.clients.load(Ordering::Relaxed) >= most {
            self.counters.inc("clients.dropped_at_cap");
            log::warn!(from:%, end = "at_cap"; "client");
            return;
        }
        self.clients.fetch_add(1, Ordering::Relaxed);
        let (number, leave) = self.seats().take(Instant::now());
        let (shared, closing) = (self.clone(), closing.clone());
        tokio::spawn(async move {
            let conn = Conn::new(stream, INPUT, OUTPUT);
            let (served, code) = client(conn, &shared, number, admission, leave, closing).await;
            shared.seats().taken.remove(&number);
            shared.clients.fetch_sub(1, Ordering::Relaxed);
            drop(guard);
            shared.counters.inc("clients.ended");
            log::info!(from:%, end = code, requests = served; "client");
        });
    }
}

/// Serves until told to stop, and then until all that was taken is answered.
pub async fn serve(
    mut incoming: Incoming,
    service: Arc<dyn Service>,
    limits: Limits,
    counters: Counters,
    mut stop: watch::Receiver<bool>,
) {
    let (clients, seats, latest) = Default::default();
    let shared = Arc::new(Shared { service, counters, limits, clients, seats, latest });
    let (close, closing) = watch::channel(false);
    let mut beside = shared.limits.beside.clone();
    let mut has_other = beside.has_changed().is_ok();
    let mut stopped: Option<Instant> = None;
    loop {
        let rest = if stopped.is_some() { Duration::from_millis(50) } else { Duration::from_secs(3600) };
        tokio::select! {
            came = incoming.accept() => match came {
                Ok(came) => shared.welcome(came, &closing),
                // Out of descriptors: the ones in use come back.
                Err(e) => {
                    log::warn!("accept: {e}");
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            },
            _ = beside.changed(), if has_other => {
                has_other = beside.has_changed().is_ok();
                shared.make_half();
            }
            _ = stop.wait_for(|s| *s), if stopped.is_none() => {
                let now = Instant::now();
                stopped = Some(now);
                let _ = shared.latest.set(now + shared.limits.answer_by);
            }
            _ = tokio::time::sleep(rest) => {}
        }
        let nobody = shared.clients.load(Ordering::Relaxed) == 0;
        let replaced = shared.limits.replaced();
        let least = if replaced { Duration::ZERO } else { STOP_LEAST };
        let over = |t: Duration| t >= shared.limits.serve_on || (nobody && t >= least);
        if stopped.map(|s| s.elapsed()).is_some_and(over) {
            break;
        }
        // A crowd that leaves at once must have left before more of it come.
        if shared.limits.one_call && shared.clients.load(Ordering::Relaxed) >= shared.limits.clients {
            tokio::task::yield_now().await;
        }
    }
    // What the machine has accepted by now is served too: closing the listener would reset it.
    while let Ok(Ok(came)) = tokio::time::timeout(Duration::ZERO, incoming.accept()).await {
        shared.welcome(came, &closing);
    }
    drop(incoming);
    let _ = close.send(true);
    let end = Instant::now() + STOP_LONGEST;
    while shared.clients.load(Ordering::Relaxed) > 0 && Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Serves one client; gives the number of requests and the reason for the end.
async fn client(
    mut conn: Conn,
    shared: &Shared,
    seat: u64,
    admission: Admission,
    leave: Arc<Notify>,
    mut closing: watch::Receiver<bool>,
) -> (u64, &'static str) {
    let (mut served, mut bad) = (0, 0u32);
    let mut since = Instant::now();
    loop {
        if conn.input.is_empty() {
            conn.input.give_back();
            conn.output.give_back();
            let idle = if shared.crowded(ROOMY) { IDLE.1 } else { IDLE.0 };
            let end = since + if served == 0 { SLOW_REQUEST } else { idle };
            tokio::select! {
                biased;
                got = conn.fill() => match got {
                    Ok(0) => return (served, "peer_closed"),
                    Ok(_) => {}
                    Err(_) => return (served, "io_error"),
                },
                _ = closing.wait_for(|c| *c) => return (served, "stopping"),
                () = shared.told_to_leave(seat, &leave) => return (served, "made_room"),
                _ = tokio::time::sleep_until(end.into()) => return (served, if served == 0 { "silent" } else { "idle" }),
            }
        }
        if served > 0 {
            since = Instant::now();
            shared.seats().enter(seat, Phase::Asking, since);
        }
        let read = tokio::select! {
            biased;
            read = tokio::time::timeout_at((since + SLOW_REQUEST).into(), read_request(&mut conn, MOST_BODY)) => read,
            () = shared.told_to_leave(seat, &leave) => return (served, "made_room"),
        };
        let (mut request, keep) = match read.unwrap_or(Err(HttpError::Slow)) {
            Ok(read) => read,
            Err(e) => {
                shared.counters.inc("requests.unreadable");
                if let Some(status) = e.status() {
                    let answer = shared.service.error(status, &e.to_string());
                    finish(&mut conn, &answer, &shared.counters).await;
                }
                return (served, e.code());
            }
        };
        served += 1;
        request.latest = shared.latest.get().copied();
        let arrived = request.arrived;
        shared.seats().enter(seat, Phase::Busy, Instant::now());
        let _open = shared.counters.open();
        let over = shared.refuses(admission);
        let answer = if over {
            shared.counters.inc("answered.refused.client_cap");
            let answer = shared.service.no_seat(&request);
            Some(answer.retry_after(Some(Duration::from_secs(1))))
        } else {
            answer_or_gone(&mut conn, || shared.service.answer(request)).await
        };
        let Some(answer) = answer else { return (served, "client_gone") };
        log::trace!("answered {} after {:?}", answer.status, arrived.elapsed());
        // 429 and the fives are answers to queries; the other fours are for what was none.
        bad = if (400..429).contains(&answer.status) { bad + 1 } else { 0 };
        let stopping = *closing.borrow();
        let replaced = shared.limits.replaced();
        if !keep || over || stopping || replaced || shared.limits.one_call {
            finish(&mut conn, &answer, &shared.counters).await;
            let codes = [(stopping, "stopping"), (over, "at_cap"), (replaced, "replaced")];
            return (served, codes.iter().find(|c| c.0).map_or("asked_to_close", |c| c.1));
        }
        match tokio::time::timeout(SLOW_CLIENT, write(&mut conn, &answer, false)).await {
            Ok(Ok(())) => tally(&answer, &shared.counters),
            Ok(Err(_)) => return (served, "client_gone"),
            Err(_) => return (served, "client_too_slow"),
        }
        since = Instant::now();
        shared.seats().enter(seat, Phase::Idle, since);
        if bad > FREE_BAD {
            tokio::time::sleep(BAD_PAUSE * (bad - FREE_BAD).min(MOST_PAUSES)).await;
        }
    }
}

/// The answer is its client's now: what ends with it counts.
fn tally(answer: &Response, counters: &Counters) {
    answer.ends.iter().for_each(|(class, end)| counters.ended(*class, *end));
}

/// A last answer, and then no more.
async fn finish(conn: &mut Conn, answer: &Response, counters: &Counters) {
    if let Ok(Ok(())) = tokio::time::timeout(SLOW_CLIENT, write(conn, answer, true)).await {
        tally(answer, counters);
        linger(conn).await;
    }
}

async fn write(conn: &mut Conn, answer: &Response, close: bool) -> std::io::Result<()> {
    // Small answers go out in one piece: a client must be able to tell a cut one.
    let mut head = BytesMut::from(answer.head(close).as_bytes());
    if answer.body.len() < OUTPUT / 2 {
        head.extend_from_slice(&answer.body);
        return conn.write_all(&head).await;
    }
    conn.write_all(&head).await?;
    conn.write_all(&answer.body).await
}

/// Reads on for a moment: closing with input unread would reset the connection and take the answer along.
async fn linger(conn: &mut Conn) {
    let _ = conn.stream.shutdown().await;
    let drain = async {
        let mut left = 4 * MOST_BODY;
        while left > 0 {
            conn.input.consume(conn.input.len());
            match conn.fill().await {
                Ok(n) if n > 0 => left = left.saturating_sub(n),
                _ => return,
            }
        }
    };
    let _ = tokio::time::timeout(Duration::from_millis(200), drain).await;
}

/// How often a client that has sent more than is taken is looked at for its end.
const FULL_LOOK: Duration = Duration::from_millis(50);

/// Takes what has come by now, up to a full ring; false once the client has gone. A client that ends only its
/// own side has gone too: the protocol knows no other end, and nothing tells the two apart.
fn stays(conn: &mut Conn, known: Ready) -> bool {
    // Behind what is not taken no end can be read: there the system's word must do.
    while conn.input.free() > 0 {
        match conn.input.read_from(&conn.stream) {
            Ok(n) if n > 0 => {}
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return true,
            _ => return false,
        }
    }
    !known.is_read_closed()
}

/// What the system has said of the socket by now.
async fn known(conn: &Conn) -> Ready {
    let ready = tokio::time::timeout(Duration::ZERO, conn.stream.ready(Interest::READABLE)).await;
    ready.map_or(Ready::EMPTY, |r| r.unwrap_or(Ready::READ_CLOSED))
}

/// The answer to a request, or `None` if its client has gone before it is asked for, or goes first. A client
/// that sends on is left to wait. What a client leaves behind in one go, request and end, is not begun.
async fn answer_or_gone(conn: &mut Conn, ask: impl FnOnce() -> Answering) -> Option<Response> {
    let at_first = known(conn).await;
    if !stays(conn, at_first) {
        return None;
    }
    let mut answer = ask();
    loop {
        let full = conn.input.free() == 0;
        tokio::select! {
            biased;
            done = &mut answer => return Some(done),
            _ = tokio::time::sleep(FULL_LOOK), if full => {}
            ready = conn.stream.readable(), if !full => if ready.is_err() { return None },
        }
        let by_now = known(conn).await;
        if !stays(conn, by_now) {
            return None;
        }
    }
}
