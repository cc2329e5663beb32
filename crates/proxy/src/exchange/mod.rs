//! One request on its way: to a host, to another where that is right, and its answer back to the client.

mod buffered;
mod client_writer;
mod host_request;
mod host_wait;
mod prompt_headers;
mod response_matching;
mod streaming;

use self::client_writer::Writer;
use self::host_wait::{HostWait, Stop};
use self::prompt_headers::{load, parts, prompt_tokens};
use self::response_matching::refuses;
use crate::client::request::Request;
use crate::event_stream::EventOffset;
use crate::local_reply::LocalReply;
use crate::response_progress::{ConnectionOutcome, ResponseProgress};
use crate::retry::{AttemptOutcome, RetryDecision, RetryState};
use crate::routes;
use crate::state::{OpenAttempt, ProxyState};
use balancing::{HostChoice, Outcome, PromptPart, RequestContext};
use bytes::Bytes;
use configuration::{ResultCode, Route, RouteKind};
use http1::ResponseHead;
use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// An answer up to this size is read whole before it is passed on, so that a cut one can be asked for again.
const MAX_BUFFERED_ANSWER: usize = 256 * 1024;
/// After its deadline a host is given this long to say so itself.
const DEADLINE_SLACK: Duration = Duration::from_millis(50);
/// After its deadline what has come of an answer is passed on for this long at most.
const OVERTIME: Duration = Duration::from_millis(200);
/// Longest Retry-After of our own where the policy has not named one, and its share of the target.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(500));
const RETRY_AFTER_SHARE: f64 = 0.1;
const ATTEMPT_ID: &str = "fennelpin-attempt-id";

/// Takes one request to its end.
pub(crate) async fn run(
    state: &Rc<ProxyState>,
    client: &TcpStream,
    request: &Request,
    stage: &ResponseProgress,
) -> ConnectionOutcome {
    let fields = &request.head.fields;
    let refuse = |code, after| async move {
        let close = closes(state, request);
        let taken = LocalReply::own(code, fields.get(ATTEMPT_ID), after)
            .to(&request.head)
            .write(state, client, close)
            .await;
        match (taken, close) {
            (true, false) => ConnectionOutcome::Keep,
            (true, true) => ConnectionOutcome::Close,
            (false, _) => ConnectionOutcome::Cut,
        }
    };
    let Some(known) = state.known() else {
        return refuse(ResultCode::NoConfiguration, Some(RETRY_AFTER.1)).await;
    };
    let route = request
        .head
        .host()
        .and_then(|h| known.routes.find(h, request.head.path()));
    let Some(route) = route else {
        return refuse(ResultCode::NoRoute, None).await;
    };
    // With two of them nobody could say whose answer is whose.
    if fields.get_all(ATTEMPT_ID).count() != 1 {
        return refuse(ResultCode::BadRequest, None).await;
    }
    let Some(service) = routes::select_service(route, state.draw()) else {
        return refuse(ResultCode::NoHost, None).await;
    };
    let arrived = state.since_start(request.arrived);
    let ms = |ms: f64| Duration::try_from_secs_f64(ms / 1e3).unwrap_or(Duration::MAX / 4);
    let asked = fields
        .get_str("fennelpin-deadline-ms")
        .and_then(|v| v.parse().ok())
        .filter(|v: &f64| *v >= 0.0);
    let time = asked.unwrap_or(f64::INFINITY).min(route.deadline_ms);
    let deadline = arrived.saturating_add(ms(time));
    if !state.takes(deadline, route.kind == RouteKind::Pure) {
        // Whoever asks again reaches another machine, which may serve at once.
        return refuse(ResultCode::Leaving, Some(RETRY_AFTER.0)).await;
    }
    state.policy.borrow_mut().on_request(state.now(), service);
    let trial = RetryState::new(route.idempotent(), route.max_tries, deadline);
    let mut exchange = Exchange {
        state,
        client,
        request,
        stage,
        route,
        service,
        trial,
        tried: Vec::new(),
        parts: parts(fields.get_str("fennelpin-prompt-prefix")),
        prompt_tokens: prompt_tokens(fields.get_str("fennelpin-token-counts")),
        place: EventOffset::after(fields.get_str("last-event-id")),
        begun: Cell::new(None),
        kept: None,
    };
    match exchange.go().await {
        Ok(done) => done,
        Err(_) if stage.started() => ConnectionOutcome::Cut,
        Err((code, after)) => match exchange.kept.take() {
            // What a host said itself goes before words of our own.
            Some((head, body)) => exchange.pass_whole(&head, &body).await,
            None => {
                let target = ms(route.target_ms.unwrap_or(1000.0)).mul_f64(RETRY_AFTER_SHARE);
                refuse(
                    code,
                    Some(after.unwrap_or(target.clamp(RETRY_AFTER.0, RETRY_AFTER.1))),
                )
                .await
            }
        },
    }
}

/// Whether the answer is the last on its connection.
fn closes(state: &ProxyState, request: &Request) -> bool {
    state.shutdown.get().is_some() || !request.head.is_keep_alive()
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
    Answered(ConnectionOutcome),
    /// It ended without one.
    Ended(AttemptOutcome),
    /// It was silent, and another host was chosen.
    Moved(Picked),
}

/// The code to end with, and when to come back where somebody has said so.
type GiveUp = (ResultCode, Option<Duration>);

struct Exchange<'a> {
    state: &'a Rc<ProxyState>,
    client: &'a TcpStream,
    request: &'a Request,
    stage: &'a ResponseProgress,
    route: &'a Route,
    service: &'a str,
    trial: RetryState,
    tried: Vec<Arc<str>>,
    parts: Vec<PromptPart>,
    prompt_tokens: u32,
    place: EventOffset,
    /// How the answer goes to the client, once its head has gone.
    begun: Cell<Option<Writer>>,
    /// A host's own failure, to be passed on if nothing better comes.
    kept: Option<(ResponseHead, Bytes)>,
}

impl Exchange<'_> {
    async fn go(&mut self) -> Result<ConnectionOutcome, GiveUp> {
        let mut picked = self.pick()?;
        loop {
            self.tried.push(picked.id.clone());
            let end = match self.attempt(picked).await {
                AttemptResult::Answered(done) => return Ok(done),
                AttemptResult::Moved(next) => {
                    self.state.counters.add(|c| c.moved += 1);
                    self.trial.record_failover();
                    self.stage.set_out(true);
                    picked = next;
                    continue;
                }
                AttemptResult::Ended(end) => end,
            };
            let next = self.trial.on_attempt_ended(self.state.now(), end);
            self.stage.set_out(self.trial.may_have_run());
            picked = match next {
                RetryDecision::Retry => self.pick()?,
                RetryDecision::GiveUp(code) => return Err((code, None)),
            };
        }
    }

    /// The next host; for a repeat the budget is asked first.
    fn pick(&mut self) -> Result<Picked, GiveUp> {
        let now = self.state.now();
        let left = self.trial.deadline().saturating_sub(now);
        if left < Duration::from_millis(1) {
            return Err((self.trial.deadline_code(), None));
        }
        let mut policy = self.state.policy.borrow_mut();
        if self.trial.needs_retry_budget() {
            if !policy.withdraw_retry(now, self.service) {
                return Err((self.trial.code_unless_run(ResultCode::BudgetSpent), None));
            }
            self.trial.record_budget_taken();
        }
        let choice = policy.choose_host(
            now,
            &RequestContext {
                service: self.service,
                rank: self.route.rank,
                idempotent: self.trial.idempotent(),
                prompt_parts: &self.parts,
                prompt_tokens: self.prompt_tokens,
                time_remaining: left,
                attempted_hosts: &self.tried,
            },
        );
        match choice {
            HostChoice::Selected {
                attempt,
                id,
                addr,
                priority,
            } => {
                if let Some(hint) = policy.take_prefix_hint() {
                    self.state.hints.borrow().tell(&hint);
                }
                Ok(Picked {
                    out: OpenAttempt::new(self.state, attempt),
                    id,
                    addr,
                    priority,
                })
            }
            HostChoice::Unavailable { retry_after } => Err((
                self.trial.code_unless_run(ResultCode::NoHost),
                Some(retry_after),
            )),
        }
    }

    /// Whether no body follows this answer's head, whatever its fields say.
    fn bodiless(&self, head: &ResponseHead) -> bool {
        self.request.head.method() == b"HEAD" || matches!(head.status, 204 | 304)
    }

    /// Whether a stream that has begun may go on at another host: what was passed on has a place to go on from.
    fn may_go_on(&self) -> bool {
        self.route.resumable && self.place.is_resumable()
    }

    fn end(&self) -> Instant {
        self.state.at(self.trial.deadline())
    }

    /// Whether an answer that still goes on is cut, though more of it is there: a host that never pauses would
    /// hold it for ever.
    fn overtime(&self) -> bool {
        Instant::now() >= self.end() + OVERTIME
    }

    async fn attempt(&mut self, picked: Picked) -> AttemptResult {
        let mut connection = match self.send(&picked).await {
            Ok(connection) => connection,
            Err((end, outcome)) => {
                picked.out.end(outcome, None);
                return AttemptResult::Ended(end);
            }
        };
        let mut watch = HostWait::new(self);
        let (head, stray) = match self.answer(&mut connection, &picked.out, &mut watch).await {
            Ok(answer) => answer,
            Err(stop) => return self.stopped(stop, picked.out),
        };
        let load = load(&head.fields);
        if refuses(&head) {
            // Turned away for the version that its client expects, it says nothing of who the host is.
            let expects_version = self.request.head.fields.get("expect-version").is_some();
            let outcome = match head.status {
                421 if !expects_version => Outcome::Misdirected,
                429 | 503 => Outcome::Overloaded,
                _ => Outcome::Rejected,
            };
            if outcome == Outcome::Misdirected {
                self.state.pool.borrow_mut().close_idle(&picked.id);
            } else {
                self.drain(connection, picked.id.clone(), head, stray);
            }
            picked.out.end(outcome, load);
            return AttemptResult::Ended(AttemptOutcome::NotExecuted);
        }
        let success = (200..300).contains(&head.status);
        let sealed = head.fields.get("fennelpin-host-seal").is_some();
        // A refusal that doesn't say so might be false: it is no promise that we can pass on.
        let bare = matches!(head.status, 408 | 429 | 503);
        if head.fields.get("content-encoding").is_some() || (success && !sealed) || bare {
            self.state.counters.add(|c| c.broken += 1);
            picked.out.end(Outcome::ConnectionLost, load);
            return AttemptResult::Ended(AttemptOutcome::Broken);
        }
        let stream = success
            && !self.bodiless(&head)
            && (self.route.kind == RouteKind::Streaming
                || head
                    .fields
                    .get_str("content-type")
                    .is_some_and(|t| t.starts_with("text/event-stream")));
        if self.stage.started() && !stream {
            picked.out.end(Outcome::Failed, load);
            return AttemptResult::Ended(AttemptOutcome::HostFailed);
        }
        if stream {
            return self
                .stream(connection, picked, head, stray, load, watch)
                .await;
        }
        self.whole(connection, picked, head, stray, load, watch)
            .await
    }

    fn stopped(&self, stop: Stop, out: OpenAttempt) -> AttemptResult {
        match stop {
            Stop::UpstreamError => {
                self.state.counters.add(|c| c.broken += 1);
                out.end(Outcome::ConnectionLost, None);
                AttemptResult::Ended(AttemptOutcome::Broken)
            }
            Stop::Late => {
                out.end(Outcome::TimedOut, None);
                AttemptResult::Ended(AttemptOutcome::Broken)
            }
            // The caller drops the old connection before the new host is asked.
            Stop::Moved(next) => {
                out.end(Outcome::TimedOut, None);
                AttemptResult::Moved(next)
            }
        }
    }
}
