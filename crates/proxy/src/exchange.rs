//! One request on its way: to a host, to another where that is right, and its answer back to the client.

use crate::attempt::{End, Next, RetryState};
use crate::core::{Core, OpenAttempt};
use crate::events::{Place, Splitter};
use crate::front::Request;
use crate::hostlink::{Link, Lost, NoLink};
use crate::routes;
use crate::wire;
use balancing::{Ask, Choice, Load, Outcome};
use bytes::{Bytes, BytesMut};
use configuration::{Code, Kind, Route};
use http1::{Body, Fields, Framing, RequestHead, ResponseHead};
use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at, Instant};

/// An answer up to this size is read whole before it is passed on, so that a cut one can be asked for again.
const MAX_BUFFERED_ANSWER: usize = 256 * 1024;
/// The body of a refusal is read up to here, to use the connection again.
const MAX_REFUSAL_BODY: usize = 64 * 1024;
const REFUSAL_READ_TIMEOUT: Duration = Duration::from_millis(50);
/// Largest event of a stream that may be resumed.
const MAX_EVENT: usize = 1024 * 1024;
/// Answers to others that are passed over in one place.
const MAX_STRAY_ANSWERS: u32 = 4;
/// While a host is silent the policy's patience is asked for again after this.
const PATIENCE_RECHECK: Duration = Duration::from_millis(250);
/// Least and longest time for a connection to come up.
const DIAL_TIMEOUT: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(250));
/// After its deadline a host is given this long to say so itself.
const DEADLINE_SLACK: Duration = Duration::from_millis(50);
/// Least time for a client to take an answer.
const CLIENT_WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest Retry-After of our own where the policy has not named one, and its share of the target.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(500));
const RETRY_AFTER_SHARE: f64 = 0.1;
const ATTEMPT_ID: &str = "fennelpin-attempt-id";

/// How the client's connection stands after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Done {
    /// It may be used again.
    Keep,
    /// The answer was its last.
    Close,
    /// The answer did not come whole; the connection must show it.
    Cut,
}

/// What may be said of a request if it has to end now.
#[derive(Default)]
pub(crate) struct AnswerProgress {
    started: Cell<bool>,
    out: Cell<bool>,
    until_end: Cell<bool>,
}

impl AnswerProgress {
    /// Whether bytes of the answer have gone to the client.
    pub(crate) fn started(&self) -> bool {
        self.started.get()
    }

    /// Whether the end of the connection would make a cut answer look whole.
    pub(crate) fn looks_whole(&self) -> bool {
        self.started.get() && self.until_end.get()
    }

    /// The code to end with: a promise only where it has not run.
    pub(crate) fn refusal(&self, code: Code) -> Code {
        if self.out.get() {
            Code::HostBroke
        } else {
            code
        }
    }
}

/// An answer of our own.
pub(crate) struct Answer {
    code: Code,
    text: Vec<u8>,
    bare: bool,
}

impl Answer {
    /// With this code, for this attempt.
    pub(crate) fn own(code: Code, id: Option<&[u8]>, retry_after: Option<Duration>) -> Self {
        let body = format!("{} {}\n", code.number(), code.text());
        let mut text = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n",
            code.status(),
            http1::reason(code.status()),
            body.len()
        )
        .into_bytes();
        if let Some(id) = id {
            field(&mut text, b"Fennelpin-Attempt-Id", id);
        }
        if let (503, Some(after)) = (code.status(), retry_after) {
            field(&mut text, b"Retry-After", format!("{:.3}", after.as_secs_f64()).as_bytes());
        }
        text.extend_from_slice(body.as_bytes());
        Self { code, text, bare: false }
    }

    /// The answer to a `HEAD` tells of a body and has none.
    pub(crate) fn to(mut self, request: &RequestHead) -> Self {
        self.bare = request.method() == b"HEAD";
        self
    }

    /// Writes it; false where the client doesn't take it.
    pub(crate) async fn write(&self, core: &Core, stream: &TcpStream, close: bool) -> bool {
        match self.code.status() {
            408 | 421 | 429 | 503 => core.tally.add(|c| c.refused += 1),
            _ => core.tally.add(|c| c.failed += 1),
        }
        let end = self.text.len() - body_of(self.code);
        let mut text = self.text[..end].to_vec();
        text.extend_from_slice(if close { b"Connection: close\r\n\r\n" } else { b"\r\n" });
        if !self.bare {
            text.extend_from_slice(&self.text[end..]);
        }
        matches!(timeout(CLIENT_WRITE_TIMEOUT, wire::write_all(stream, &text, b"", &mut 0)).await, Ok(Ok(())))
    }
}

fn body_of(code: Code) -> usize {
    code.number().to_string().len() + code.text().len() + 2
}

fn field(out: &mut Vec<u8>, name: &[u8], value: &[u8]) {
    out.extend_from_slice(name);
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Takes one request to its end.
pub(crate) async fn run(
    core: &Rc<Core>,
    client: &TcpStream,
    request: &Request,
    stage: &AnswerProgress,
) -> Done {
    let fields = &request.head.fields;
    let refuse = |code, after| async move {
        let close = closes(core, request);
        let taken = Answer::own(code, fields.get(ATTEMPT_ID), after)
            .to(&request.head)
            .write(core, client, close)
            .await;
        match (taken, close) {
            (true, false) => Done::Keep,
            (true, true) => Done::Close,
            (false, _) => Done::Cut,
        }
    };
    let Some(known) = core.known() else { return refuse(Code::NoConfiguration, Some(RETRY_AFTER.1)).await };
    let route = request.head.host().and_then(|h| known.routes.find(h, request.head.path()));
    let Some(route) = route else { return refuse(Code::NoRoute, None).await };
    if fields.get(ATTEMPT_ID).is_none() {
        return refuse(Code::BadRequest, None).await;
    }
    let Some(service) = routes::service(route, core.draw()) else { return refuse(Code::NoHost, None).await };
    let arrived = core.since_start(request.arrived);
    let ms = |ms: f64| Duration::try_from_secs_f64(ms / 1e3).unwrap_or(Duration::MAX / 4);
    let asked = fields.text("fennelpin-deadline-ms").and_then(|v| v.parse().ok()).filter(|v: &f64| *v >= 0.0);
    let time = asked.unwrap_or(f64::INFINITY).min(route.deadline_ms);
    core.policy.borrow_mut().arrived(core.now(), service);
    let trial = RetryState::new(route.idempotent(), route.max_tries, arrived.saturating_add(ms(time)));
    let mut exchange = Exchange {
        core,
        client,
        request,
        stage,
        route,
        service,
        trial,
        tried: Vec::new(),
        parts: parts(fields.text("fennelpin-prompt-prefix")),
        tokens: tokens(fields.text("fennelpin-token-counts")),
        place: Place::after(fields.text("last-event-id")),
        kept: None,
    };
    match exchange.go().await {
        Ok(done) => done,
        Err(_) if stage.started() => Done::Cut,
        Err((code, after)) => match exchange.kept.take() {
            // What a host said itself goes before words of our own.
            Some((head, body)) => exchange.pass_whole(&head, &body).await,
            None => {
                let target = ms(route.target_ms.unwrap_or(1000.0)).mul_f64(RETRY_AFTER_SHARE);
                refuse(code, Some(after.unwrap_or(target.clamp(RETRY_AFTER.0, RETRY_AFTER.1)))).await
            }
        },
    }
}

/// Whether the answer is the last on its connection.
fn closes(core: &Core, request: &Request) -> bool {
    core.stopping.get() || !request.head.keeps_alive()
}

fn parts(text: Option<&str>) -> Vec<(u64, u32)> {
    let part = |p: &str| {
        let (id, tokens) = p.trim().split_once(':')?;
        Some((u64::from_str_radix(id, 16).ok()?, tokens.parse().ok()?))
    };
    text.and_then(|t| t.split(',').map(part).collect()).unwrap_or_default()
}

fn tokens(text: Option<&str>) -> (u32, u32) {
    let number = |t: &str| t.trim().parse().unwrap_or(0);
    text.and_then(|t| t.split_once(',')).map_or((0, 0), |(a, b)| (number(a), number(b)))
}

fn load(fields: &Fields) -> Option<Load> {
    let mut numbers = fields.text("fennelpin-host-load")?.split(',').map(|n| n.trim().parse().ok());
    let mut next = || numbers.next().flatten();
    Some(Load { running: next()?, waiting: next()?, slots: next()? })
}

/// Longest time for a connection to come up. A lost opening packet is sent again only after a second: another
/// host is the better choice, and nothing has run here.
fn dial(route: &Route) -> Duration {
    Duration::try_from_secs_f64(route.target_ms.unwrap_or(1000.0) / 2e3)
        .unwrap_or(DIAL_TIMEOUT.1)
        .clamp(DIAL_TIMEOUT.0, DIAL_TIMEOUT.1)
}

/// A stream that has been silent for so long is taken up at another host: half of what its client bears (the
/// longest of two seconds, four times the target and eight times the pause in time).
fn stall(route: &Route) -> Duration {
    let ms = (2.0 * route.target_ms.unwrap_or(0.0)).max(4.0 * route.gap_aim_ms.unwrap_or(0.0)).max(1000.0);
    Duration::try_from_secs_f64(ms / 1e3).unwrap_or(Duration::MAX / 4)
}

/// Whether the host says that it has not run the request. No other status says so.
fn refuses(head: &ResponseHead) -> bool {
    head.status == 421 || head.fields.get("fennelpin-not-executed").is_some()
}

/// A host that was chosen.
struct Picked {
    out: OpenAttempt,
    id: Arc<str>,
    addr: SocketAddrV4,
    priority: Option<u8>,
}

/// How one attempt went on.
enum AttemptResult {
    /// The client has its answer, or as much of it as there is.
    Answered(Done),
    /// It ended without one.
    Ended(End),
    /// It was silent, and another host was chosen.
    Moved(Picked),
}

/// The code to end with, and when to come back where somebody has said so.
type GiveUp = (Code, Option<Duration>);

struct Exchange<'a> {
    core: &'a Rc<Core>,
    client: &'a TcpStream,
    request: &'a Request,
    stage: &'a AnswerProgress,
    route: &'a Route,
    service: &'a str,
    trial: RetryState,
    tried: Vec<Arc<str>>,
    parts: Vec<(u64, u32)>,
    tokens: (u32, u32),
    place: Place,
    /// A host's own failure, to be passed on if nothing better comes.
    kept: Option<(ResponseHead, Bytes)>,
}

impl Exchange<'_> {
    async fn go(&mut self) -> Result<Done, GiveUp> {
        let mut picked = self.pick()?;
        loop {
            self.tried.push(picked.id.clone());
            let end = match self.attempt(picked).await {
                AttemptResult::Answered(done) => return Ok(done),
                AttemptResult::Moved(next) => {
                    self.core.tally.add(|c| c.moved += 1);
                    self.trial.moved();
                    self.stage.out.set(true);
                    picked = next;
                    continue;
                }
                AttemptResult::Ended(end) => end,
            };
            let next = self.trial.ended(self.core.now(), end);
            self.stage.out.set(self.trial.may_have_run());
            picked = match next {
                Next::Again => self.pick()?,
                Next::GiveUp(code) => return Err((code, None)),
            };
        }
    }

    /// The next host; for a repeat the budget is asked first.
    fn pick(&mut self) -> Result<Picked, GiveUp> {
        let now = self.core.now();
        let left = self.trial.deadline().saturating_sub(now);
        if left < Duration::from_millis(1) {
            return Err((self.trial.overdue(), None));
        }
        let mut policy = self.core.policy.borrow_mut();
        if self.trial.owes() {
            if !policy.take_repeat(now, self.service) {
                return Err((self.trial.refusal(Code::BudgetSpent), None));
            }
            self.trial.paid();
        }
        let target =
            Duration::try_from_secs_f64(self.route.target_ms.unwrap_or(self.route.deadline_ms) / 1e3);
        let choice = policy.choose(
            now,
            &Ask {
                service: self.service,
                rank: self.route.rank,
                idempotent: self.trial.idempotent(),
                parts: &self.parts,
                tokens: self.tokens,
                target: target.unwrap_or(left),
                left,
                tried: &self.tried,
            },
        );
        match choice {
            Choice::Host { attempt, id, addr, priority } => {
                if let Some(placement) = policy.take_placement() {
                    self.core.hints.borrow().tell(&placement);
                }
                Ok(Picked { out: OpenAttempt::new(self.core, attempt), id, addr, priority })
            }
            Choice::None { retry_after } => Err((self.trial.refusal(Code::NoHost), Some(retry_after))),
        }
    }

    /// The request's head as this host gets it.
    fn head(&self, picked: &Picked) -> Vec<u8> {
        let head = &self.request.head;
        let mut out = Vec::with_capacity(512);
        out.extend_from_slice(head.method());
        out.push(b' ');
        out.extend_from_slice(head.target());
        out.extend_from_slice(b" HTTP/1.1\r\n");
        // Once events have gone to the client, the place to go on from is ours to say.
        let place = self.place.last().filter(|_| self.route.resumable);
        for (name, value) in head.fields.iter() {
            let is = |n: &str| name.eq_ignore_ascii_case(n.as_bytes());
            let ours = is("content-length")
                || is("expect")
                || is("fennelpin-expected-host")
                || is("fennelpin-deadline-ms")
                || (is("priority") && picked.priority.is_some())
                || (is("last-event-id") && place.is_some());
            if !ours && !head.fields.hop_by_hop(name) {
                field(&mut out, name, value);
            }
        }
        let left = self.trial.deadline().saturating_sub(self.core.now()).as_millis().max(1);
        field(&mut out, b"Fennelpin-Deadline-Ms", left.to_string().as_bytes());
        field(&mut out, b"Fennelpin-Expected-Host", picked.id.as_bytes());
        if let Some(priority) = picked.priority {
            field(&mut out, b"Priority", priority.min(9).to_string().as_bytes());
        }
        if let Some(id) = place {
            field(&mut out, b"Last-Event-Id", id.as_bytes());
        }
        if head.framing.is_some() {
            field(&mut out, b"Content-Length", self.request.body.len().to_string().as_bytes());
        }
        out.extend_from_slice(b"\r\n");
        out
    }

    fn end(&self) -> Instant {
        self.core.at(self.trial.deadline())
    }

    /// Sends the request; a connection that turns out dead before a byte is taken is replaced by a new one.
    async fn send(&mut self, picked: &Picked) -> Result<Link, (End, Outcome)> {
        let core = self.core;
        let most = core.conns(self.service);
        let no_link = |e| match e {
            NoLink::Full => (End::Unreached, Outcome::TurnedAway),
            NoLink::Unreached => (End::Unreached, Outcome::Unreached),
        };
        let until = self.end().min(Instant::now() + dial(self.route));
        let mut link = Link::get(core, &picked.id, picked.addr, most, until).await.map_err(no_link)?;
        let (mut written, mut again) = (0, false);
        loop {
            let head = self.head(picked);
            let mark = self.request.head.fields.get(ATTEMPT_ID);
            let ours = |answer: &ResponseHead| answer.fields.get(ATTEMPT_ID) == mark;
            let send = link.send(&head, &self.request.body, &mut written, ours);
            let sent = timeout_at(self.end() + DEADLINE_SLACK, send).await;
            match sent {
                _ if written == 0 && link.used && !again => {
                    again = true;
                    link = Link::open(core, &picked.id, picked.addr, most, until).await.map_err(no_link)?;
                    continue;
                }
                _ if written == 0 => return Err((End::Unreached, Outcome::Unreached)),
                _ => {}
            }
            let repeat = self.trial.heard();
            self.trial.sent();
            self.stage.out.set(true);
            core.tally.add(|c| {
                c.sent += 1;
                c.repeats += u64::from(repeat);
            });
            return match sent {
                // A host may answer before it has read all: what it said then counts.
                Ok(_) => Ok(link),
                Err(_) => Err((End::Broke, Outcome::Silent)),
            };
        }
    }

    async fn attempt(&mut self, picked: Picked) -> AttemptResult {
        let mut link = match self.send(&picked).await {
            Ok(link) => link,
            Err((end, outcome)) => {
                picked.out.end(outcome, None);
                return AttemptResult::Ended(end);
            }
        };
        let mut watch = HostWait::new(self);
        let (head, stray) = match self.answer(&mut link, &picked.out, &mut watch).await {
            Ok(answer) => answer,
            Err(stop) => return self.stopped(stop, picked.out),
        };
        let load = load(&head.fields);
        if refuses(&head) {
            let outcome = match head.status {
                421 => Outcome::OtherHost,
                429 | 503 => Outcome::Full,
                _ => Outcome::TurnedAway,
            };
            if outcome == Outcome::OtherHost {
                self.core.pool.borrow_mut().forget(&picked.id);
            } else {
                self.drain(link, picked.id.clone(), head, stray);
            }
            picked.out.end(outcome, load);
            return AttemptResult::Ended(End::NotRun);
        }
        let success = (200..300).contains(&head.status);
        let sealed = head.fields.get("fennelpin-host-seal").is_some();
        // A refusal that doesn't say so might be false: it is no promise that we can pass on.
        let bare = matches!(head.status, 408 | 429 | 503);
        if head.fields.get("content-encoding").is_some() || (success && !sealed) || bare {
            self.core.tally.add(|c| c.broken += 1);
            picked.out.end(Outcome::Broken, load);
            return AttemptResult::Ended(End::Broke);
        }
        let stream = success
            && (self.route.kind == Kind::Streaming
                || head.fields.text("content-type").is_some_and(|t| t.starts_with("text/event-stream")));
        if self.stage.started() && !stream {
            picked.out.end(Outcome::Failed, load);
            return AttemptResult::Ended(End::HostFailed);
        }
        if stream {
            return self.stream(link, picked, head, stray, load, watch).await;
        }
        self.whole(link, picked, head, stray, load, watch).await
    }

    fn stopped(&self, stop: Stop, out: OpenAttempt) -> AttemptResult {
        match stop {
            Stop::Lost => {
                self.core.tally.add(|c| c.broken += 1);
                out.end(Outcome::Broken, None);
                AttemptResult::Ended(End::Broke)
            }
            Stop::Late => {
                out.end(Outcome::Silent, None);
                AttemptResult::Ended(End::Broke)
            }
            // The caller drops the old connection before the new host is asked.
            Stop::Moved(next) => {
                out.end(Outcome::Silent, None);
                AttemptResult::Moved(next)
            }
        }
    }

    /// The head of the answer to this request, past answers to others; whether there were any.
    async fn answer(
        &mut self,
        link: &mut Link,
        out: &OpenAttempt,
        watch: &mut HostWait,
    ) -> Result<(ResponseHead, bool), Stop> {
        let to_head = self.request.head.method() == b"HEAD";
        let mark = self.request.head.fields.get(ATTEMPT_ID).unwrap_or_default();
        for strays in 0..=MAX_STRAY_ANSWERS {
            let head = watch.guard(self, link, out, async |l: &mut Link| l.head(to_head).await).await?;
            match head.fields.get(ATTEMPT_ID) {
                Some(id) if id == mark => return Ok((head, strays > 0)),
                // Without an id it can only be ours where nobody was answered on this connection before.
                None if refuses(&head) && strays == 0 && !link.used => return Ok((head, false)),
                _ => {}
            }
            self.core.tally.add(|c| c.strays += 1);
            let (mut body, mut bytes) = (Body::new(head.framing), BytesMut::new());
            let whole = async |l: &mut Link| l.whole(&mut body, &mut bytes, MAX_BUFFERED_ANSWER).await;
            if !watch.guard(self, link, out, whole).await? {
                break;
            }
        }
        Err(Stop::Lost)
    }

    /// Reads the rest of an answer that isn't passed on, to use the connection again; the request doesn't wait.
    fn drain(&self, mut link: Link, id: Arc<str>, head: ResponseHead, stray: bool) {
        if stray || !head.keeps_alive() {
            return;
        }
        let core = self.core.clone();
        tokio::task::spawn_local(async move {
            let (mut body, mut out) = (Body::new(head.framing), BytesMut::new());
            if let Ok(Ok(true)) =
                timeout(REFUSAL_READ_TIMEOUT, link.whole(&mut body, &mut out, MAX_REFUSAL_BODY)).await
            {
                link.keep(&core, &id, &head);
            }
        });
    }

    /// An answer that is read whole before it is passed on, unless it is large.
    async fn whole(
        &mut self,
        mut link: Link,
        picked: Picked,
        head: ResponseHead,
        stray: bool,
        load: Option<Load>,
        mut watch: HostWait,
    ) -> AttemptResult {
        // Quick failures must not make a host look well.
        if head.status < 400 {
            picked.out.first();
        }
        watch.patience_over();
        let (mut body, mut out) = (Body::new(head.framing), BytesMut::new());
        let read = async |l: &mut Link| l.whole(&mut body, &mut out, MAX_BUFFERED_ANSWER).await;
        match watch.guard(self, &mut link, &picked.out, read).await {
            Err(stop) => return self.stopped(stop, picked.out),
            Ok(false) => {
                picked.out.told(load);
                return self.large(link, picked, head, stray, body, out).await;
            }
            Ok(true) => {}
        }
        if !stray {
            link.keep(self.core, &picked.id, &head);
        }
        let out = out.freeze();
        if head.status < 500 {
            let outcome = if head.status < 400 { Outcome::Done } else { Outcome::Failed };
            picked.out.end(outcome, load);
            return AttemptResult::Answered(self.pass_whole(&head, &out).await);
        }
        picked.out.end(Outcome::Failed, load);
        self.kept = Some((head, out));
        AttemptResult::Ended(End::HostFailed)
    }

    async fn pass_whole(&self, head: &ResponseHead, body: &Bytes) -> Done {
        let close = closes(self.core, self.request);
        let no_body = self.request.head.method() == b"HEAD" || matches!(head.status, 204 | 304);
        let framing = if no_body { None } else { Some(Framing::Length(body.len() as u64)) };
        let text = self.client_head(head, framing, close);
        self.stage.started.set(true);
        match self.write(&text, body).await {
            true => {
                self.core.tally.add(|c| c.passed += 1);
                if close {
                    Done::Close
                } else {
                    Done::Keep
                }
            }
            false => Done::Cut,
        }
    }

    /// The rest of an answer that is too large to be held.
    async fn large(
        &mut self,
        mut link: Link,
        picked: Picked,
        head: ResponseHead,
        stray: bool,
        mut body: Body,
        start: BytesMut,
    ) -> AttemptResult {
        let mut writer = Writer::new(self, &head);
        let mut sent = writer.write(self, &head, &start).await;
        loop {
            if !sent {
                return AttemptResult::Answered(Done::Cut);
            }
            match timeout_at(self.end() + DEADLINE_SLACK, link.piece(&mut body)).await {
                Ok(Ok(Some(data))) => {
                    picked.out.heard();
                    sent = writer.write(self, &head, &data).await;
                }
                Ok(Ok(None)) => break,
                Ok(Err(_)) => {
                    self.core.tally.add(|c| c.broken += 1);
                    picked.out.end(Outcome::Broken, None);
                    return AttemptResult::Answered(Done::Cut);
                }
                Err(_) => {
                    picked.out.end(Outcome::Silent, None);
                    return AttemptResult::Answered(Done::Cut);
                }
            }
        }
        if !stray {
            link.keep(self.core, &picked.id, &head);
        }
        picked.out.end(if head.status < 400 { Outcome::Done } else { Outcome::Failed }, None);
        AttemptResult::Answered(writer.finish(self, &head).await)
    }

    /// A stream: passed on as it comes; in whole events where it may go on at another host.
    async fn stream(
        &mut self,
        mut link: Link,
        picked: Picked,
        head: ResponseHead,
        stray: bool,
        load: Option<Load>,
        mut watch: HostWait,
    ) -> AttemptResult {
        picked.out.told(load);
        let resumable = self.route.resumable;
        if self.stage.started() {
            self.core.tally.add(|c| c.resumed += 1);
        }
        let mut writer = Writer::new(self, &head);
        let mut splitter = Splitter::new(MAX_EVENT);
        let mut body = Body::new(head.framing);
        let mut begun = false;
        loop {
            let next = match begun {
                false => {
                    let piece = async |l: &mut Link| l.piece(&mut body).await;
                    watch.guard(self, &mut link, &picked.out, piece).await
                }
                true => self.later_piece(&mut link, &mut body).await,
            };
            let data = match next {
                Ok(Some(data)) => data,
                Ok(None) => break,
                Err(stop) if resumable || !self.stage.started() => {
                    return self.stopped(stop, picked.out);
                }
                Err(stop) => {
                    let _ = self.stopped(stop, picked.out);
                    return AttemptResult::Answered(Done::Cut);
                }
            };
            let data = if resumable {
                if !splitter.push(&data) {
                    return self.stopped(Stop::Lost, picked.out);
                }
                self.admitted(&mut splitter)
            } else {
                data
            };
            if data.is_empty() {
                continue;
            }
            if std::mem::replace(&mut begun, true) {
                picked.out.heard();
            } else {
                picked.out.first();
            }
            if !writer.write(self, &head, &data).await {
                return AttemptResult::Answered(Done::Cut);
            }
        }
        if !stray {
            link.keep(self.core, &picked.id, &head);
        }
        picked.out.end(Outcome::Done, None);
        let rest = splitter.rest();
        if !rest.is_empty() && !writer.write(self, &head, &rest).await {
            return AttemptResult::Answered(Done::Cut);
        }
        AttemptResult::Answered(writer.finish(self, &head).await)
    }

    /// What comes next of a stream that has begun. One that may go on elsewhere is not waited for until its
    /// client gives up, unless the host shows itself alive on other connections: there it will go on.
    async fn later_piece(&mut self, link: &mut Link, body: &mut Body) -> Result<Option<Bytes>, Stop> {
        let end = self.end() + DEADLINE_SLACK;
        let mut waits = self.route.resumable;
        loop {
            let since = Instant::now();
            let until = if waits { end.min(since + stall(self.route)) } else { end };
            match timeout_at(until, link.piece(body)).await {
                Ok(next) => return next.map_err(|_| Stop::Lost),
                Err(_) if until >= end => return Err(Stop::Late),
                Err(_) if link.heard_since(since) => {}
                Err(_) => {
                    waits = self.trial.may_move(self.core.now());
                    if let Some(next) = waits.then(|| self.pick().ok()).flatten() {
                        return Err(Stop::Moved(next));
                    }
                }
            }
        }
    }

    /// The whole events that have come and are new.
    fn admitted(&mut self, splitter: &mut Splitter) -> Bytes {
        let mut first = Bytes::new();
        let mut more = BytesMut::new();
        while let Some(event) = splitter.take() {
            if !self.place.admit(&event) {
                continue;
            }
            if first.is_empty() {
                first = event.bytes;
                continue;
            }
            if more.is_empty() {
                more.extend_from_slice(&first);
            }
            more.extend_from_slice(&event.bytes);
        }
        if more.is_empty() {
            first
        } else {
            more.freeze()
        }
    }

    /// The answer's head as the client gets it; `None` leaves the host's length as it is.
    fn client_head(&self, head: &ResponseHead, framing: Option<Framing>, close: bool) -> Vec<u8> {
        let mut out = Vec::with_capacity(512);
        out.extend_from_slice(format!("HTTP/1.1 {} ", head.status).as_bytes());
        out.extend_from_slice(head.reason());
        out.extend_from_slice(b"\r\n");
        for (name, value) in head.fields.iter() {
            let length = name.eq_ignore_ascii_case(b"content-length") && framing.is_some();
            if !length && !head.fields.hop_by_hop(name) {
                field(&mut out, name, value);
            }
        }
        match framing {
            Some(Framing::Length(n)) => field(&mut out, b"Content-Length", n.to_string().as_bytes()),
            Some(Framing::Chunked) => field(&mut out, b"Transfer-Encoding", b"chunked"),
            Some(Framing::UntilEnd) | None => {}
        }
        if close {
            field(&mut out, b"Connection", b"close");
        } else {
            // Told a little less than the truth, so that no request meets the close.
            let idle = (self.core.limits().idle_timeout_ms / 1000).saturating_sub(1).max(1);
            field(&mut out, b"Keep-Alive", format!("timeout={idle}").as_bytes());
        }
        out.extend_from_slice(b"\r\n");
        out
    }

    async fn write(&self, head: &[u8], body: &[u8]) -> bool {
        let by = self.end().max(Instant::now() + CLIENT_WRITE_TIMEOUT);
        matches!(timeout_at(by, wire::write_all(self.client, head, body, &mut 0)).await, Ok(Ok(())))
    }
}

/// Why waiting for a host has ended.
enum Stop {
    /// The host broke off, or sent what is no answer.
    Lost,
    /// The time is over.
    Late,
    /// It was silent, and another one was chosen.
    Moved(Picked),
}

/// Waits for a host: up to the deadline, and where the policy says so until another one is worth asking.
struct HostWait {
    sent: Instant,
    /// Nothing has come yet, and the request may move.
    waits: bool,
}

impl HostWait {
    fn new(exchange: &Exchange) -> Self {
        Self { sent: Instant::now(), waits: exchange.trial.idempotent() }
    }

    /// Something has come.
    fn patience_over(&mut self) {
        self.waits = false;
    }

    async fn guard<T>(
        &mut self,
        exchange: &mut Exchange<'_>,
        link: &mut Link,
        out: &OpenAttempt,
        mut step: impl AsyncFnMut(&mut Link) -> Result<T, Lost>,
    ) -> Result<T, Stop> {
        let end = exchange.end() + DEADLINE_SLACK;
        loop {
            let now = Instant::now();
            let over = if self.waits { out.patience().map(|p| self.sent + p) } else { None };
            if over.is_some_and(|over| over <= now) {
                self.waits = exchange.trial.may_move(exchange.core.now());
                if let Some(next) = self.waits.then(|| exchange.pick().ok()).flatten() {
                    return Err(Stop::Moved(next));
                }
            }
            // Asked again from time to time: others may find the host dark meanwhile, or alive.
            let look = now + PATIENCE_RECHECK;
            let until = match over {
                Some(over) if self.waits && over > now => over.min(look).min(end),
                Some(_) if self.waits => look.min(end),
                _ => end,
            };
            match timeout_at(until, step(link)).await {
                Ok(Ok(done)) => return Ok(done),
                Ok(Err(lost)) => {
                    log::debug!("host: {lost}");
                    return Err(Stop::Lost);
                }
                Err(_) if Instant::now() >= end => return Err(Stop::Late),
                Err(_) => {}
            }
        }
    }
}

/// Writes an answer to the client piece by piece; the head goes with the first one, and only once for all
/// hosts that an answer comes from.
struct Writer {
    framing: Framing,
    close: bool,
}

impl Writer {
    fn new(exchange: &Exchange, head: &ResponseHead) -> Self {
        let old = exchange.request.head.minor == 0;
        let framing = match head.framing {
            // Where its end can't be told from a cut, neither can ours.
            Framing::UntilEnd => Framing::UntilEnd,
            _ if exchange.route.resumable && old => Framing::UntilEnd,
            _ if exchange.route.resumable => Framing::Chunked,
            Framing::Chunked if old => Framing::UntilEnd,
            framing => framing,
        };
        exchange.stage.until_end.set(framing == Framing::UntilEnd);
        Self { framing, close: closes(exchange.core, exchange.request) || framing == Framing::UntilEnd }
    }

    async fn write(&mut self, exchange: &Exchange<'_>, head: &ResponseHead, data: &[u8]) -> bool {
        let mut text = match exchange.stage.started.replace(true) {
            true => Vec::new(),
            false => exchange.client_head(head, Some(self.framing), self.close),
        };
        if self.framing != Framing::Chunked {
            return exchange.write(&text, data).await;
        }
        if !data.is_empty() {
            text.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
            text.extend_from_slice(data);
            text.extend_from_slice(b"\r\n");
        }
        exchange.write(&text, b"").await
    }

    async fn finish(&mut self, exchange: &Exchange<'_>, head: &ResponseHead) -> Done {
        let begun = exchange.stage.started();
        if !begun && !self.write(exchange, head, b"").await {
            return Done::Cut;
        }
        if self.framing == Framing::Chunked && !exchange.write(b"0\r\n\r\n", b"").await {
            return Done::Cut;
        }
        exchange.core.tally.add(|c| c.passed += 1);
        if self.close {
            Done::Close
        } else {
            Done::Keep
        }
    }
}
