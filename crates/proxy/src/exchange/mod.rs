//! Handles one request, from routing to the end of the response.
//!
//! 1. [`admission`]: finds the route and the service, and decides whether the request is admitted.
//! 2. [`host_selection`]: selects the host of the next attempt, within the retry budget.
//! 3. [`host_request`]: builds the request for that host and sends it.
//! 4. [`await_response`], with [`host_wait`]: waits for the head of the response that belongs to the attempt, until the
//!    deadline or until another host takes over.
//! 5. [`attempt`]: classifies the response; [`buffered`] or [`streaming`] relays it through [`client_writer`], and
//!    [`close_confirmation`] checks an end that only the host's connection marks.
//!    [`takeover`] asks another host while a stream's host is silent.
//! 6. [`Exchange::forward`]: makes another attempt if [`crate::retry`] allows it.

mod admission;
mod attempt;
mod await_response;
mod balancing_headers;
mod buffered;
mod client_writer;
mod close_confirmation;
mod host_request;
mod host_selection;
mod host_wait;
mod streaming;
mod takeover;

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

/// A response of up to this size is read completely before it is forwarded, so that the request can be retried if the
/// connection breaks.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// Time after the deadline in which a host may still send a response of its own.
const HOST_RESPONSE_GRACE: Duration = Duration::from_millis(50);
/// Longest time after the deadline for which a response is relayed that keeps arriving without a pause.
const MAX_DEADLINE_OVERRUN: Duration = Duration::from_millis(200);
/// `Retry-After` as a fraction of the route's latency target, used if the load balancer gives no value.
const RETRY_AFTER_SHARE_OF_TARGET: f64 = 0.1;
/// Latency target, in milliseconds, of a route whose configuration sets none.
const DEFAULT_LATENCY_TARGET_MS: f64 = 1000.0;

/// A client's request in progress, with the state that all of its attempts share.
struct Exchange<'a> {
    state: &'a Rc<ProxyState>,
    client: &'a TcpStream,
    request: &'a Request,
    progress: &'a ResponseProgress,
    route: &'a Route,
    caller: Caller,
    /// Share of the tenant's quota that this request was granted; `None` if the tenant has no limit.
    quota: Option<QuotaCharge<'a>>,
    service: &'a str,
    retry: RetryState,
    attempted_hosts: Vec<Arc<str>>,
    prompt_parts: Vec<PromptPart>,
    /// Number of tokens in the prompt; 0 if unknown.
    prompt_tokens: u32,
    /// Position in the stream up to which the client has received it.
    offset: EventOffset,
    /// Writer of the response to the client; set once the response head has been sent.
    started_writer: Cell<Option<ClientWriter>>,
    /// Latest error response of a host; forwarded if no other attempt succeeds.
    host_error: Option<HostError>,
}

/// A complete error response from a host.
struct HostError {
    head: ResponseHead,
    body: Bytes,
}

/// Handles one request until its response has ended or its connection has to be closed.
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
    /// Checks whether the request is admitted on its route, and prepares its exchange.
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

    /// Acquires quota for the request if its tenant has a limit.
    async fn acquire_quota(&mut self) -> Result<(), QuotaExceeded> {
        let tokens =
            balancing_headers::total_tokens(self.request.head.fields.get_str(TOKEN_COUNTS));
        self.quota = QuotaCharge::acquire(self.state, self.progress, &self.caller, tokens).await?;
        Ok(())
    }

    /// Makes attempts until the client has a response or no further attempt is allowed.
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

    /// Whether the end of the process may truncate a response that starts now.
    fn may_be_truncated_by_shutdown(&self) -> bool {
        let shutdown = self.state.shutdown.get();
        shutdown.is_some_and(|shutdown| shutdown.may_truncate(self.retry.deadline()))
    }

    /// Ends a request for which no attempt gave a response to forward.
    async fn end_without_response(&mut self, rejection: Rejection) -> ConnectionOutcome {
        if self.progress.started() {
            return ConnectionOutcome::Truncated;
        }
        // A host's error response is more specific than a reply generated by the proxy.
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

    /// Instant by which the request has to end.
    fn deadline(&self) -> Instant {
        self.state.at(self.retry.deadline())
    }

    /// Instant after which a host's response is no longer accepted.
    fn response_deadline(&self) -> Instant {
        self.deadline() + HOST_RESPONSE_GRACE
    }

    /// Whether a response that is still arriving has to be truncated. Without this limit a host that never pauses could
    /// keep the exchange open forever.
    fn is_past_max_overrun(&self) -> bool {
        Instant::now() >= self.deadline() + MAX_DEADLINE_OVERRUN
    }

    /// Whether the response has no body, regardless of its header fields.
    fn has_no_body(&self, head: &ResponseHead) -> bool {
        self.request.is_head() || matches!(head.status, 204 | 304)
    }

    /// Whether a stream that has started may be resumed at another host.
    fn may_resume(&self) -> bool {
        self.route.resumable && self.offset.is_resumable()
    }
}
