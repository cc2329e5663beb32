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

/// `Retry-After` for a request that another proxy may serve at once.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// `Retry-After` until this proxy has a configuration.
pub(super) const MAX_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Why a request ends without a host's response.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rejection {
    pub(super) code: ResultCode,
    /// When to come back, where it is known.
    pub(super) retry_after: Option<Duration>,
}

impl Rejection {
    /// Without a time to come back.
    pub(super) fn new(code: ResultCode) -> Self {
        Self {
            code,
            retry_after: None,
        }
    }

    /// With a time to come back.
    pub(super) fn retry_after(code: ResultCode, after: Duration) -> Self {
        Self {
            code,
            retry_after: Some(after),
        }
    }

    /// Sends the local reply.
    pub(super) async fn send(
        self,
        state: &ProxyState,
        client: &TcpStream,
        request: &Request,
        progress: &ResponseProgress,
    ) -> ConnectionOutcome {
        // At the end of the process no second reply may follow the beginning of this one.
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

/// Whether the response to this request is the last on its connection. In a shutdown it is, unless the client has already
/// sent more: behind a last response that would get no answer.
pub(super) fn is_last_response(
    state: &ProxyState,
    request: &Request,
    progress: &ResponseProgress,
) -> bool {
    let is_shutting_down = state.shutdown.get().is_some();
    (is_shutting_down && !progress.has_pipelined_input()) || !request.head.is_keep_alive()
}

/// The route of a request, and who sends it.
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
    // With two ids nobody could tell whose response is whose.
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

/// The service that a request on this route goes to.
pub(super) fn select_service<'a>(
    state: &ProxyState,
    route: &'a Route,
) -> Result<&'a str, Rejection> {
    routes::select_service(route, state.random_u64()).ok_or(Rejection::new(ResultCode::NoHost))
}

/// The deadline of a request, as time since the start of the process: the earlier of its own and its route's.
pub(super) fn deadline(state: &ProxyState, request: &Request, route: &Route) -> Duration {
    state
        .clock
        .since_start(request.received_at)
        .saturating_add(time_allowed(&request.head, Some(route)))
}

/// Whether a request with this deadline may be given to a host at this time in the life of the process.
pub(super) fn check_shutdown(
    state: &ProxyState,
    route: &Route,
    deadline: Duration,
) -> Result<(), Rejection> {
    if state.admits(deadline, route.kind) {
        return Ok(());
    }
    // A retry reaches another proxy, which may serve it at once.
    Err(Rejection::retry_after(ResultCode::Leaving, MIN_RETRY_AFTER))
}
