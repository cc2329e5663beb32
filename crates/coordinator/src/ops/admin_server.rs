//! The HTTP server of the operator's address: readiness, counters and manual ejection. It has its own thread and
//! runtime, so that it answers while the core is busy. It reads the state that the core publishes, and waits for the
//! core only to confirm that an ejection order is in force.

use super::hot_restart::never_restarted;
use super::list_overlay::{EjectionOrder, OverlayRequest};
use super::manual_ejection::EjectionError;
use super::Readiness;
use crate::counters::Counters;
use crate::net::http::{
    self, GatedListener, Incoming, Limits, Request, Response, ResponseFuture, Service,
};
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// Limit on the callers that are served at once. A further caller replaces the one that has been sending its request
/// for longest.
const MAX_CALLERS: usize = 24;
/// Limit on the connections that are being closed, in addition to those of served callers.
const MAX_CLOSING_CALLERS: usize = 4;
/// How long a response waits for an order to be in force. Callers expect a response within 1 s, so an order that
/// takes longer is answered with status 503.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum length of a host id in a request, in bytes; a longer one is answered with status 404.
const MAX_ID_BYTES: usize = 256;

/// The HTTP server of the operator's address.
pub struct AdminServer {
    readiness: Readiness,
    counters: Counters,
    overlay: mpsc::Sender<OverlayRequest>,
}

impl AdminServer {
    /// Creates a server that sends ejection orders to the list overlay's actor.
    pub fn new(
        readiness: Readiness,
        counters: Counters,
        overlay: mpsc::Sender<OverlayRequest>,
    ) -> Self {
        Self {
            readiness,
            counters,
            overlay,
        }
    }

    /// Starts a thread that serves `listener` for the lifetime of the process.
    ///
    /// # Errors
    /// If the thread or its runtime can't be created.
    pub fn serve(self, listener: TcpListener) -> std::io::Result<()> {
        listener.set_nonblocking(true)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        std::thread::Builder::new()
            .name("admin-server".into())
            .spawn(move || runtime.block_on(self.run(listener)))
            .map(drop)
    }

    async fn run(self, listener: TcpListener) {
        let limits = Limits {
            max_clients: MAX_CALLERS,
            max_connections: MAX_CALLERS + MAX_CLOSING_CALLERS,
            serve_on: Duration::ZERO,
            answer_within: Duration::ZERO,
            request_timeout_when_full: Duration::ZERO,
            one_request_per_connection: true,
            restart_role: never_restarted(),
        };
        let listener = match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(e) => {
                return log::error!(error:% = e; "operator's address: can't use the listening socket; it is not served")
            }
        };
        let (_never_stopped, stop) = watch::channel(false);
        let incoming = Incoming::Listener(GatedListener {
            listener,
            restart_role: never_restarted(),
        });
        http::serve(incoming, Arc::new(self), limits, Counters::default(), stop).await;
    }

    fn readiness(&self) -> Response {
        match self.readiness.not_ready_reason() {
            None => Response::text(200, "ready\n"),
            Some(reason) => Response::text(503, format!("{reason}\n")),
        }
    }

    fn counters(&self) -> Response {
        let lines: String = self
            .counters
            .figures()
            .into_iter()
            .map(|(name, value)| format!("{name}={value}\n"))
            .collect();
        Response::text(200, lines)
    }

    /// Sends an order to eject or restore a host. `encoded_id` is its percent-encoded id from the request path.
    fn send_order(&self, encoded_id: &str, ejected: bool) -> ResponseFuture {
        let host = percent_encoding::percent_decode_str(encoded_id)
            .decode_utf8()
            .unwrap_or_default()
            .into_owned();
        if host.is_empty() || host.len() > MAX_ID_BYTES {
            return ready_response(Response::text(404, "no such district host\n"));
        }
        let (reply, outcome) = oneshot::channel();
        let order = OverlayRequest::Order(EjectionOrder {
            host,
            ejected,
            reply,
        });
        if self.overlay.try_send(order).is_err() {
            return ready_response(Response::text(503, "too many orders wait\n"));
        }
        Box::pin(order_response(outcome, ejected))
    }
}

/// The response to an order, once it is in force, refused or past [`ORDER_TIMEOUT`].
async fn order_response(
    outcome: oneshot::Receiver<Result<(), EjectionError>>,
    ejected: bool,
) -> Response {
    let new_state = if ejected { "offline\n" } else { "online\n" };
    let Ok(outcome) = tokio::time::timeout(ORDER_TIMEOUT, outcome).await else {
        return Response::text(503, "not in force yet: call again\n");
    };
    match outcome {
        Ok(Ok(())) => Response::text(200, new_state),
        Ok(Err(error @ EjectionError::UnknownHost)) => Response::text(404, format!("{error}\n")),
        Ok(Err(error @ EjectionError::TooManyEjected)) => Response::text(503, format!("{error}\n")),
        Err(_) => Response::text(503, "stopping\n"),
    }
}

fn ready_response(response: Response) -> ResponseFuture {
    Box::pin(std::future::ready(response))
}

impl Service for AdminServer {
    fn answer(&self, request: Request) -> ResponseFuture {
        let path: Vec<&str> = request.path.split('/').skip(1).collect();
        let allowed_method = match path[..] {
            ["control", "ready" | "counters"] => "GET",
            ["control", "district-hosts", _, "offline" | "online"] => "POST",
            _ => return ready_response(Response::text(404, "no such path\n")),
        };
        if request.method != allowed_method {
            let refusal = Response::text(405, format!("only {allowed_method} here\n"));
            return ready_response(refusal.with("Allow", allowed_method.to_owned()));
        }
        match path[..] {
            ["control", "ready"] => ready_response(self.readiness()),
            ["control", "counters"] => ready_response(self.counters()),
            [_, _, id, action] => self.send_order(id, action == "offline"),
            _ => ready_response(Response::text(404, "no such path\n")),
        }
    }

    fn error(&self, status: u16, reason: &str) -> Response {
        Response::text(status, format!("{reason}\n"))
    }
}
