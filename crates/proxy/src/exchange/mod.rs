//! Takes one request through its steps to the response.
//!
//! 1. [`admission`]: its route, its service, whether it is admitted.
//! 2. [`host_selection`]: the host of the next attempt, within the retry budget.
//! 3. [`host_request`]: the request as the host gets it, and sending it.
//! 4. [`await_response`], with [`host_wait`]: the head of the response that belongs to the attempt, as long as waiting
//!    for this host is best.
//! 5. [`attempt`]: what the response means; then [`buffered`] or [`streaming`] relay it by [`client_writer`].
//! 6. [`Exchange::forward`]: whether another attempt follows, by [`crate::retry`].

mod admission;
mod attempt;
mod await_response;
mod balancing_headers;
mod buffered;
mod client_writer;
mod host_request;
mod host_selection;
mod host_wait;
mod streaming;

use self::admission::{Rejection, MAX_RETRY_AFTER, MIN_RETRY_AFTER};
use self::attempt::AttemptResult;
use self::client_writer::ClientWriter;
use crate::client::Request;
use crate::deadline::duration_from_ms;
use crate::event_stream::EventOffset;
use crate::headers::{LAST_EVENT_ID, PROMPT_PREFIX, TOKEN_COUNTS};
use crate::quota::{QuotaCharge, QuotaExceeded};
use crate::response_progress::{ConnectionOutcome, ResponseProgress};
use crate::retry::{RetryDecision, RetryState};
use crate::state::ProxyState;
use crate::tenants::Caller;
use balancing::PromptPart;
use bytes::Bytes;
use configuration::{ResultCode, Route};
use http1::ResponseHead;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// A response up to this size is read completely before it is forwarded, so that the request can be retried if it breaks
/// off.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// After the deadline a host is given this long to give its own response.
const HOST_RESPONSE_GRACE: Duration = Duration::from_millis(50);
/// After the deadline a response that never pauses is relayed for this long at most.
const MAX_DEADLINE_OVERRUN: Duration = Duration::from_millis(200);
/// `Retry-After`, as a share of the route's latency target, where the load balancer names none.
const RETRY_AFTER_SHARE_OF_TARGET: f64 = 0.1;
/// Latency target of a route that gives none, in milliseconds.
const DEFAULT_LATENCY_TARGET_MS: f64 = 1000.0;

/// One request on its way.
struct Exchange<'a> {
    state: &'a Rc<ProxyState>,
    client: &'a TcpStream,
    request: &'a Request,
    progress: &'a ResponseProgress,
    route: &'a Route,
    caller: Caller,
    /// What the request was granted of its tenant's quota.
    quota: Option<QuotaCharge<'a>>,
    service: &'a str,
    retry: RetryState,
    attempted_hosts: Vec<Arc<str>>,
    prompt_parts: Vec<PromptPart>,
    /// 0 if unknown.
    prompt_tokens: u32,
    /// How far the client has the stream.
    offset: EventOffset,
    /// Writes the response to the client, once its head has gone.
    started_writer: Cell<Option<ClientWriter>>,
    /// A host's own error, forwarded if nothing better comes.
    host_error: Option<HostError>,
}

/// An error response that a host gave, complete.
struct HostError {
    head: ResponseHead,
    body: Bytes,
}

/// Takes one request to its end.
pub(crate) async fn handle(
    state: &Rc<ProxyState>,
    client: &TcpStream,
    request: &Request,
    progress: &ResponseProgress,
) -> ConnectionOutcome {
    let (route, caller) = match admission::find_route(state, request) {
        Ok(found) => found,
        Err(rejection) => return rejection.send(state, client, request, progress).await,
    };
    let mut exchange = match Exchange::admit(state, client, request, progress, &route, caller) {
        Ok(exchange) => exchange,
        Err(rejection) => return rejection.send(state, client, request, progress).await,
    };
    if let Err(exceeded) = exchange.acquire_quota().await {
        let rejection = Rejection::retry_after(QuotaExceeded::CODE, exceeded.retry_after);
        return rejection.send(state, client, request, progress).await;
    }
    match exchange.forward().await {
        Ok(outcome) => outcome,
        Err(rejection) => exchange.end_without_response(rejection).await,
    }
}

impl<'a> Exchange<'a> {
    /// Admits a request on its route.
    fn admit(
        state: &'a Rc<ProxyState>,
        client: &'a TcpStream,
        request: &'a Request,
        progress: &'a ResponseProgress,
        route: &'a Route,
        caller: Caller,
    ) -> Result<Self, Rejection> {
        let service = admission::select_service(state, route)?;
        let deadline = admission::deadline(state, request, route);
        admission::check_shutdown(state, route, deadline)?;
        progress.set_deadline(state.at(deadline));
        state
            .load_balancer
            .borrow_mut()
            .on_request(state.now(), service);
        let fields = &request.head.fields;
        Ok(Self {
            state,
            client,
            request,
            progress,
            route,
            caller,
            quota: None,
            service,
            retry: RetryState::new(route.idempotent(), route.max_tries, deadline),
            attempted_hosts: Vec::new(),
            prompt_parts: balancing_headers::prompt_parts(fields.get_str(PROMPT_PREFIX)),
            prompt_tokens: balancing_headers::prompt_tokens(fields.get_str(TOKEN_COUNTS)),
            offset: EventOffset::after(fields.get_str(LAST_EVENT_ID)),
            started_writer: Cell::new(None),
            host_error: None,
        })
    }

    /// Asks for what the request counts as, where its tenant has a limit.
    async fn acquire_quota(&mut self) -> Result<(), QuotaExceeded> {
        let tokens =
            balancing_headers::total_tokens(self.request.head.fields.get_str(TOKEN_COUNTS));
        self.quota = QuotaCharge::acquire(self.state, self.progress, &self.caller, tokens).await?;
        Ok(())
    }

    /// Makes attempts until one is answered or no further one is allowed.
    async fn forward(&mut self) -> Result<ConnectionOutcome, Rejection> {
        let mut host = self.select_host()?;
        loop {
            self.attempted_hosts.push(host.id.clone());
            let outcome = match self.attempt(host).await {
                AttemptResult::Answered(outcome) => return Ok(outcome),
                AttemptResult::FailedOver(next) => {
                    self.state.counters.add(|c| c.failovers += 1);
                    self.retry.record_failover();
                    self.progress.set_may_have_run(true);
                    host = next;
                    continue;
                }
                AttemptResult::Rejected(code) => return Err(Rejection::new(code)),
                AttemptResult::Failed(outcome) => outcome,
            };
            let decision = self.retry.on_attempt_ended(self.state.now(), outcome);
            self.progress.set_may_have_run(self.retry.may_have_run());
            host = match decision {
                RetryDecision::Retry => self.select_host()?,
                RetryDecision::GiveUp(code) => return Err(Rejection::new(code)),
            };
        }
    }

    /// Whether the end of the process may truncate a response that begins now.
    fn may_be_truncated_by_shutdown(&self) -> bool {
        let shutdown = self.state.shutdown.get();
        shutdown.is_some_and(|shutdown| shutdown.may_truncate(self.retry.deadline()))
    }

    /// Ends a request that no attempt answered.
    async fn end_without_response(&mut self, rejection: Rejection) -> ConnectionOutcome {
        if self.progress.started() {
            return ConnectionOutcome::Truncated;
        }
        // A host's own error says more than a reply of the proxy's.
        if let Some(error) = self.host_error.take() {
            return self.write_complete_response(&error.head, &error.body).await;
        }
        if rejection.code == ResultCode::HostsOverloaded {
            self.state.counters.add(|c| c.throttled_requests += 1);
        }
        let retry_after = rejection
            .retry_after
            .unwrap_or_else(|| self.default_retry_after());
        Rejection::retry_after(rejection.code, retry_after)
            .send(self.state, self.client, self.request, self.progress)
            .await
    }

    fn default_retry_after(&self) -> Duration {
        duration_from_ms(self.latency_target_ms())
            .mul_f64(RETRY_AFTER_SHARE_OF_TARGET)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// The route's latency target in milliseconds.
    fn latency_target_ms(&self) -> f64 {
        self.route.target_ms.unwrap_or(DEFAULT_LATENCY_TARGET_MS)
    }

    /// When the request has to end.
    fn deadline(&self) -> Instant {
        self.state.at(self.retry.deadline())
    }

    /// When a host's response comes too late.
    fn response_deadline(&self) -> Instant {
        self.deadline() + HOST_RESPONSE_GRACE
    }

    /// Whether a response that goes on is to be truncated, though more of it is there: a host that never pauses would
    /// keep it for ever.
    fn is_past_max_overrun(&self) -> bool {
        Instant::now() >= self.deadline() + MAX_DEADLINE_OVERRUN
    }

    /// Whether the response has no body, whatever its fields say.
    fn has_no_body(&self, head: &ResponseHead) -> bool {
        self.request.is_head() || matches!(head.status, 204 | 304)
    }

    /// Whether a stream that has begun may be resumed at another host.
    fn may_resume(&self) -> bool {
        self.route.resumable && self.offset.is_resumable()
    }
}
