//! The control API's HTTP: reads calls within limits, has them run, writes the answers.

use crate::runtime::control_request::{Call, Head};
use bytes::Bytes;
use configuration::ResultCode;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::time::{sleep, timeout};

/// Names the version that an order builds on.
const BASE_VERSION: &str = "fennelpin-base-version";
/// Largest body in bytes.
pub const MAX_BODY_BYTES: usize = 4 << 20;
/// Time for a head, and for the next call on a connection.
const HEAD_TIME: Duration = Duration::from_secs(8);
/// Time for a body.
const BODY_TIME: Duration = Duration::from_secs(8);
/// Time after which a connection takes no more calls, and time in which the last one has to end.
const CONNECTION_TIME: (Duration, Duration) = (Duration::from_secs(60), Duration::from_secs(10));
/// Bodies of configurations that are held at once: as many as orders may be under way.
const MAX_CONCURRENT_BODIES: usize = 8;

/// What goes back to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The result.
    pub code: ResultCode,
    /// The body where it isn't just the code and its text: JSON.
    pub body: Option<Bytes>,
}

impl Reply {
    /// An answer that says no more than its code.
    pub fn of(code: ResultCode) -> Self {
        Self { code, body: None }
    }

    /// An answer with what was found wrong, or with nothing beyond the code where `detail` is empty.
    pub fn detailed(code: ResultCode, detail: &str) -> Self {
        if detail.is_empty() {
            return Self::of(code);
        }
        let body =
            serde_json::json!({"code": code.number(), "reason": code.text(), "detail": detail});
        Self {
            code,
            body: Some(body.to_string().into()),
        }
    }

    /// Done, with a body of JSON.
    pub fn json(body: impl Into<Bytes>) -> Self {
        Self {
            code: ResultCode::Ok,
            body: Some(body.into()),
        }
    }

    fn response(self, last: bool) -> Response<Full<Bytes>> {
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
        if last {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// Runs calls. For one thread.
pub trait HandleRequest: 'static {
    /// Runs a call to its answer, within the time that its caller waits.
    fn run(&self, call: Call) -> impl Future<Output = Reply>;
}

/// Plain counts since the start.
#[derive(Debug, Default)]
pub struct ControlCounters {
    /// Connections taken.
    pub connections: Cell<u64>,
    /// Connections that were closed at once, as too many were open.
    pub crowded: Cell<u64>,
    /// Calls answered with 2xx.
    pub done: Cell<u64>,
    /// Calls answered with 4xx.
    pub refused: Cell<u64>,
    /// Calls answered with 5xx.
    pub failed: Cell<u64>,
}

/// A listener's state that its connections share.
pub struct ControlServer<D> {
    desk: D,
    open: Semaphore,
    heavy: Semaphore,
    counters: Rc<ControlCounters>,
    stop: watch::Receiver<bool>,
}

impl<D: HandleRequest> ControlServer<D> {
    /// An API whose calls `desk` runs, with at most `most` connections at once, until `stop` becomes true.
    pub fn new(
        desk: D,
        most: usize,
        counters: Rc<ControlCounters>,
        stop: watch::Receiver<bool>,
    ) -> Rc<Self> {
        Rc::new(Self {
            desk,
            open: Semaphore::new(most),
            heavy: Semaphore::new(MAX_CONCURRENT_BODIES),
            counters,
            stop,
        })
    }

    /// Takes connections; never ends by itself. Runs on a `LocalSet`.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                // No descriptor is left, or the caller is gone already.
                Err(e) => {
                    log::debug!(error:% = e; "accept");
                    sleep(Duration::from_millis(10)).await;
                    continue;
                }
            };
            tokio::task::spawn_local(self.clone().connection(stream));
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        let Ok(_open) = self.open.try_acquire() else {
            bump(&self.counters.crowded);
            return;
        };
        bump(&self.counters.connections);
        if let Err(e) = crate::runtime::connection::set_socket_options(&stream) {
            log::debug!(error:% = e; "socket options");
        }
        let service = service_fn(|request| self.clone().answer(request));
        let serving = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIME)
            .max_buf_size(64 << 10)
            .serve_connection(TokioIo::new(stream), service);
        let mut serving = pin!(serving);
        let mut stop = self.stop.clone();
        tokio::select! {
            _ = serving.as_mut() => return,
            _ = stop.wait_for(|stop| *stop) => {}
            () = sleep(CONNECTION_TIME.0) => {}
        }
        serving.as_mut().graceful_shutdown();
        // An end by time closes the connection.
        let _ = timeout(CONNECTION_TIME.1, serving).await;
    }

    async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let reply = self.call(request).await.unwrap_or_else(Reply::of);
        let count = match reply.code.status() {
            500.. => &self.counters.failed,
            400.. => &self.counters.refused,
            _ => &self.counters.done,
        };
        bump(count);
        // What is left of a body that was too large or too slow isn't read.
        let broken = matches!(reply.code, ResultCode::TooLarge | ResultCode::SlowClient);
        Ok(reply.response(broken || *self.stop.borrow()))
    }

    async fn call(&self, request: Request<Incoming>) -> Result<Reply, ResultCode> {
        let (parts, body) = request.into_parts();
        let head = Head::read(&parts.method, parts.uri.path())?;
        let _heavy = if head.heavy() {
            match timeout(Duration::from_millis(500), self.heavy.acquire()).await {
                Ok(Ok(permit)) => Some(permit),
                _ => return Err(ResultCode::Crowded),
            }
        } else {
            None
        };
        let body = match timeout(BODY_TIME, Limited::new(body, MAX_BODY_BYTES).collect()).await {
            Err(_) => return Err(ResultCode::SlowClient),
            Ok(Err(e)) if e.is::<LengthLimitError>() => return Err(ResultCode::TooLarge),
            // The caller may have meant more: that is no refusal of what it meant.
            Ok(Err(e)) if is_cut_short(e.as_ref()) => return Err(ResultCode::SlowClient),
            Ok(Err(_)) => return Err(ResultCode::Unreadable),
            Ok(Ok(body)) => body.to_bytes(),
        };
        let call = head.with(only_value(&parts.headers, BASE_VERSION), body)?;
        Ok(self.desk.run(call).await)
    }
}

/// The value of a header that stands there once.
fn only_value<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    let mut values = headers.get_all(name).iter();
    let first = values.next()?;
    values
        .next()
        .is_none()
        .then(|| first.to_str().ok())
        .flatten()
}

/// Whether a body ended before its told length, or its connection broke.
fn is_cut_short(error: &(dyn Error + 'static)) -> bool {
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

fn bump(count: &Cell<u64>) {
    count.set(count.get() + 1);
}
