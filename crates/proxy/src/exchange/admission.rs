//! First step: finds the route and the service of a request, and decides whether it is admitted.

use crate::client::Request;
use crate::deadline::time_allowed;
use crate::headers::ATTEMPT_ID;
use crate::local_reply::LocalReply;
use crate::response_progress::{ConnectionOutcome, ResponseProgress};
use crate::routes;
use crate::state::ProxyState;
use crate::tenants::Caller;
use configuration::{ResultCode, Route};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Lower bound on the default `Retry-After`, also used for a request that another proxy may serve at once.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Upper bound on the default `Retry-After`, also used until this proxy has a configuration and current API keys.
pub(super) const MAX_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The reason why a request ends without a host's response.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rejection {
    pub(super) code: ResultCode,
    /// Time after which the client should retry, if known.
    pub(super) retry_after: Option<Duration>,
}

impl Rejection {
    /// A rejection without a retry time.
    pub(super) fn new(code: ResultCode) -> Self {
        Self {
            code,
            retry_after: None,
        }
    }

    /// A rejection that asks the client to retry after this time.
    pub(super) fn retry_after(code: ResultCode, after: Duration) -> Self {
        Self {
            code,
            retry_after: Some(after),
        }
    }

    /// Sends the rejection to the client as a local reply.
    pub(super) async fn send(
        self,
        state: &ProxyState,
        client: &TcpStream,
        request: &Request,
        progress: &ResponseProgress,
    ) -> ConnectionOutcome {
        // From here on the shutdown must not send another reply for this request.
        progress.start();
        let close = is_last_response(state, request, progress);
        let sent = LocalReply::new(self.code, request.attempt_id(), self.retry_after)
            .for_request(&request.head)
            .send(state, client, close)
            .await;
        match (sent, close) {
            (true, false) => ConnectionOutcome::KeepAlive,
            (true, true) => ConnectionOutcome::Close,
            (false, _) => ConnectionOutcome::Truncated,
        }
    }
}

/// Whether the response to this request is the last one on its connection. During a shutdown it is, unless the client
/// has already sent more: that input would stay unanswered after a last response.
pub(super) fn is_last_response(
    state: &ProxyState,
    request: &Request,
    progress: &ResponseProgress,
) -> bool {
    let is_shutting_down = state.shutdown.get().is_some();
    (is_shutting_down && !progress.has_pipelined_input()) || !request.head.is_keep_alive()
}

/// Finds the route of a request and authenticates its sender.
pub(super) fn find_route(
    state: &ProxyState,
    request: &Request,
) -> Result<(Arc<Route>, Caller), Rejection> {
    let Some(table) = state.routing_table() else {
        return Err(Rejection::retry_after(
            ResultCode::NoConfiguration,
            MAX_RETRY_AFTER,
        ));
    };
    let head = &request.head;
    let route = head
        .host()
        .and_then(|host| table.routes.find(host, head.path()))
        .ok_or(Rejection::new(ResultCode::NoRoute))?;
    // With several ids a response could not be matched to its attempt.
    if head.fields.get_all(ATTEMPT_ID).count() != 1 {
        return Err(Rejection::new(ResultCode::BadRequest));
    }
    let caller = table.tenants.authenticate(&head.fields, route);
    let caller = caller.map_err(Rejection::new)?;
    if caller.tenant().is_some() && !state.has_current_keys() {
        return Err(Rejection::retry_after(
            ResultCode::KeysOutdated,
            MAX_RETRY_AFTER,
        ));
    }
    Ok((route.clone(), caller))
}

/// Selects the service for a request on this route.
pub(super) fn select_service<'a>(
    state: &ProxyState,
    route: &'a Route,
) -> Result<&'a str, Rejection> {
    routes::select_service(route, state.random_u64()).ok_or(Rejection::new(ResultCode::NoHost))
}

/// The deadline of a request, as time since the start of the process: the earlier of the client's and the route's.
pub(super) fn deadline(state: &ProxyState, request: &Request, route: &Route) -> Duration {
    state
        .clock
        .since_start(request.received_at)
        .saturating_add(time_allowed(&request.head, Some(route)))
}

/// Checks whether a request with this deadline may still be sent to a host if the process is shutting down.
pub(super) fn check_shutdown(
    state: &ProxyState,
    route: &Route,
    deadline: Duration,
) -> Result<(), Rejection> {
    if state.admits(deadline, route.kind) {
        return Ok(());
    }
    // The client's retry reaches another proxy, which may serve it at once.
    Err(Rejection::retry_after(ResultCode::Leaving, MIN_RETRY_AFTER))
}
