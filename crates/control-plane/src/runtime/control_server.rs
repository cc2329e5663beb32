//! The control API's HTTP server: reads requests within limits of size and time, passes them to the handler and writes
//! its replies.

use super::connection::set_socket_options;
use super::control_request::{ControlRequest, Endpoint};
use bytes::Bytes;
use configuration::ResultCode;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::http::uri::PathAndQuery;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::hash::{BuildHasher, RandomState};
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore, SemaphorePermit};
use tokio::time::{sleep, timeout};

/// Name of the header with the version that a configuration request is based on.
const BASE_VERSION_HEADER: &str = "fennelpin-base-version";
/// Largest request body, in bytes.
pub const MAX_BODY_BYTES: usize = 4 << 20;
/// Size of a connection's read buffer, in bytes. It bounds the size of a request head.
const MAX_BUFFER_BYTES: usize = 64 << 10;
/// Longest time to receive a request head, including the wait for the next request on an idle connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(8);
/// Longest time to receive a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(8);
/// Age at which a connection stops accepting requests and is closed.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(60);
/// Longest time for the last request of a closing connection to complete.
const LAST_REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of configuration bodies that are held in memory at once; equals the number of configuration requests that may
/// be in flight.
const MAX_CONCURRENT_BODIES: usize = 8;
/// Longest wait for one of these bodies to be released.
const BODY_SLOT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before the next attempt to accept after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The reply to a control API request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The result code, which also determines the HTTP status.
    pub code: ResultCode,
    /// The JSON body; `None` for the default body of the code and its text.
    pub body: Option<Bytes>,
}

impl Reply {
    /// Creates a reply with the default body of its code.
    pub fn from_code(code: ResultCode) -> Self {
        Self { code, body: None }
    }

    /// Creates a reply whose body has a `detail` beside the code, unless `detail` is empty.
    pub fn with_detail(code: ResultCode, detail: &str) -> Self {
        if detail.is_empty() {
            return Self::from_code(code);
        }
        let body =
            serde_json::json!({"code": code.number(), "reason": code.text(), "detail": detail});
        Self {
            code,
            body: Some(body.to_string().into()),
        }
    }

    /// Creates a successful reply with a JSON body.
    pub fn json(body: impl Into<Bytes>) -> Self {
        Self {
            code: ResultCode::Ok,
            body: Some(body.into()),
        }
    }

    fn into_response(self, close: bool) -> Response<Full<Bytes>> {
        let code = self.code;
        let body = self.body.unwrap_or_else(|| {
            serde_json::json!({"code": code.number(), "reason": code.text()})
                .to_string()
                .into()
        });
        let mut response = Response::new(Full::new(body));
        *response.status_mut() = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::OK);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if code.status() == 503 {
            headers.insert(RETRY_AFTER, HeaderValue::from_static("0.2"));
        }
        if close {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// A handler of control API requests. It runs on one thread and need not be `Send`.
pub trait HandleRequest: 'static {
    /// Handles a request. The handler bounds the time that this takes.
    fn handle(&self, request: ControlRequest) -> impl Future<Output = Reply>;
}

/// Counters of the control API since the process started.
#[derive(Debug, Default)]
pub struct ControlCounters {
    /// Connections accepted.
    pub connections: Cell<u64>,
    /// Connections closed at once because too many were open.
    pub connections_rejected: Cell<u64>,
    /// Replies with a status below 400.
    pub succeeded: Cell<u64>,
    /// Replies with a 4xx status.
    pub rejected: Cell<u64>,
    /// Replies with a 5xx status.
    pub failed: Cell<u64>,
}

/// The control API's server; its connections share it.
pub struct ControlServer<H> {
    handler: H,
    connection_slots: Semaphore,
    body_slots: Semaphore,
    counters: Rc<ControlCounters>,
    next_attempt: Cell<u64>,
    shutdown: watch::Receiver<bool>,
}

impl<H: HandleRequest> ControlServer<H> {
    /// Creates a server that passes its requests to `handler` and serves at most `max_connections` at once. When
    /// `shutdown` becomes true, it closes each connection after the request in progress.
    pub fn new(
        handler: H,
        max_connections: usize,
        counters: Rc<ControlCounters>,
        shutdown: watch::Receiver<bool>,
    ) -> Rc<Self> {
        Rc::new(Self {
            handler,
            connection_slots: Semaphore::new(max_connections),
            body_slots: Semaphore::new(MAX_CONCURRENT_BODIES),
            counters,
            next_attempt: Cell::new(random_first_attempt()),
            shutdown,
        })
    }

    /// Accepts connections forever. Must run on a `LocalSet`.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(self.clone().serve_connection(stream));
                }
                // The process is out of file descriptors, or the client has already disconnected.
                Err(error) => {
                    log::debug!(error:%; "accepting a connection failed; retrying");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        let Ok(_slot) = self.connection_slots.try_acquire() else {
            increment(&self.counters.connections_rejected);
            return;
        };
        increment(&self.counters.connections);
        if let Err(error) = set_socket_options(&stream) {
            log::debug!(error:%; "setting socket options failed; serving the connection without them");
        }
        let service = service_fn(|request| self.clone().respond(request));
        let serving = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_BUFFER_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let mut serving = pin!(serving);
        let mut shutdown = self.shutdown.clone();
        tokio::select! {
            _ = serving.as_mut() => return,
            _ = shutdown.wait_for(|shutdown| *shutdown) => {}
            () = sleep(MAX_CONNECTION_AGE) => {}
        }
        serving.as_mut().graceful_shutdown();
        // When the timeout expires, dropping `serving` closes the connection.
        let _ = timeout(LAST_REQUEST_TIMEOUT, serving).await;
    }

    async fn respond(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let reply = self
            .reply_to(request)
            .await
            .unwrap_or_else(Reply::from_code);
        let counter = match reply.code.status() {
            500.. => &self.counters.failed,
            400.. => &self.counters.rejected,
            _ => &self.counters.succeeded,
        };
        increment(counter);
        // The rest of a body that was too large or too slow is left unread, so the connection can't be reused.
        let has_unread_body = matches!(reply.code, ResultCode::TooLarge | ResultCode::SlowClient);
        Ok(reply.into_response(has_unread_body || *self.shutdown.borrow()))
    }

    async fn reply_to(&self, request: Request<Incoming>) -> Result<Reply, ResultCode> {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path_and_query();
        let path = path.map_or(parts.uri.path(), PathAndQuery::as_str);
        let endpoint = Endpoint::decode(&parts.method, path)?;
        let _slot = if endpoint.has_large_body() {
            Some(self.acquire_body_slot().await?)
        } else {
            None
        };
        let body = read_body(body).await?;
        let base_version = single_value(&parts.headers, BASE_VERSION_HEADER);
        let request = endpoint.into_request(base_version, body, self.next_attempt())?;
        Ok(self.handler.handle(request).await)
    }

    /// Returns a number that no other request has, on this member or another one.
    fn next_attempt(&self) -> u64 {
        let attempt = self.next_attempt.get();
        self.next_attempt.set(attempt.wrapping_add(1));
        attempt
    }

    async fn acquire_body_slot(&self) -> Result<SemaphorePermit<'_>, ResultCode> {
        match timeout(BODY_SLOT_TIMEOUT, self.body_slots.acquire()).await {
            Ok(Ok(permit)) => Ok(permit),
            _ => Err(ResultCode::Crowded),
        }
    }
}

/// Returns a random first attempt number, which makes an overlap with the numbers of other members and of earlier
/// incarnations of this one unlikely.
fn random_first_attempt() -> u64 {
    // `RandomState` has random keys that differ between processes.
    RandomState::new().hash_one(0)
}

async fn read_body(body: Incoming) -> Result<Bytes, ResultCode> {
    match timeout(BODY_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect()).await {
        Err(_) => Err(ResultCode::SlowClient),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ResultCode::TooLarge),
        // A truncated body says nothing about the request that was meant: it isn't reported as invalid.
        Ok(Err(error)) if is_truncated(error.as_ref()) => Err(ResultCode::SlowClient),
        Ok(Err(_)) => Err(ResultCode::Unreadable),
        Ok(Ok(body)) => Ok(body.to_bytes()),
    }
}

/// Returns the value of a header that is present exactly once, and `None` otherwise.
fn single_value<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    let mut values = headers.get_all(name).iter();
    let first = values.next()?;
    if values.next().is_some() {
        return None;
    }
    first.to_str().ok()
}

/// Whether a body ended before its declared length or its connection was reset.
fn is_truncated(error: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        if let Some(error) = error.downcast_ref::<io::Error>() {
            return matches!(
                error.kind(),
                io::ErrorKind::UnexpectedEof | io::ErrorKind::ConnectionReset
            );
        }
        cause = error.source();
    }
    false
}

fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}
