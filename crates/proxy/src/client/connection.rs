//! Clients: their connections, and their requests read whole within the operator's bounds.

use crate::client::idle::IdleClients;
use crate::client::request::Request;
use crate::exchange;
use crate::local_reply::LocalReply;
use crate::response_progress::{ConnectionOutcome, ResponseProgress};
use crate::socket;
use crate::state::{BodyReservation, ProxyState};
use bytes::{Bytes, BytesMut};
use configuration::{Limits, ResultCode};
use http1::{BodyDecoder, Decoded, Framing, HeadLimits, ParseError, RequestHead};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// Connections beyond the cap that are still told so.
const TOLD: usize = 200;
/// Read ahead of a client whose answer is under way.
const AHEAD: usize = 64 * 1024;
/// While leaving, a connection that says nothing is closed after this.
const LEAVING_IDLE: Duration = Duration::from_millis(200);
/// When to come back where too much is open.
const CROWDED: Duration = Duration::from_millis(500);
const LINGER: Duration = Duration::from_millis(200);

/// How far the end of the process has come, for connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub(crate) enum Phase {
    /// All are served.
    Open,
    /// Those that stand idle go.
    Leaving,
    /// All go, each with an answer.
    Over,
}

/// Why a connection ends before a request is whole.
enum Refused {
    /// Nothing was asked, or the client left.
    Gone,
    Because(ResultCode),
}

impl From<std::io::Error> for Refused {
    fn from(_: std::io::Error) -> Self {
        Self::Gone
    }
}

struct Count(Rc<Cell<usize>>);

impl Drop for Count {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Serves a new connection.
pub(crate) fn welcome(
    state: &Rc<ProxyState>,
    stream: TcpStream,
    open: &Rc<Cell<usize>>,
    closing: &watch::Receiver<Phase>,
) {
    state.counters.add(|c| c.clients += 1);
    let full = open.get() >= state.most_clients;
    // One that stands idle goes first: its client can come back, one turned away is not served.
    let crowded = full && !state.idle_clients.borrow_mut().make_room();
    if open.get() >= state.most_clients + TOLD {
        return;
    }
    open.set(open.get() + 1);
    let count = Count(open.clone());
    let (state, closing) = (state.clone(), closing.clone());
    tokio::task::spawn_local(async move {
        let _count = count;
        let _ = stream.set_nodelay(true);
        client(&state, &stream, crowded, closing).await;
    });
}

async fn client(
    state: &Rc<ProxyState>,
    stream: &TcpStream,
    crowded: bool,
    mut closing: watch::Receiver<Phase>,
) {
    let mut buf = BytesMut::new();
    let mut came = Instant::now();
    let leave = Rc::new(Notify::new());
    loop {
        if buf.is_empty() {
            // Nothing is held for a connection that stands idle.
            buf = BytesMut::new();
            let idle = Duration::from_millis(state.limits().idle_timeout_ms);
            let leaving = async {
                let _ = closing.wait_for(|p| *p >= Phase::Leaving).await;
                sleep(LEAVING_IDLE).await;
            };
            let _idle_client = IdleClients::stand(&state.idle_clients, &leave);
            let over = tokio::select! {
                biased;
                got = socket::fill(stream, &mut buf) => {
                    if !matches!(got, Ok(n) if n > 0) {
                        return;
                    }
                    false
                }
                () = leaving => true,
                () = leave.notified() => true,
                () = sleep(idle) => true,
            };
            // What has come meanwhile is a request: one that met the close would be lost.
            if over && socket::quiet(stream) {
                return;
            }
            if over {
                continue;
            }
            came = Instant::now();
        }
        // Boxed: only connections with a request under way hold what one needs.
        if !Box::pin(one(
            state,
            stream,
            &mut buf,
            &mut came,
            crowded,
            &mut closing,
        ))
        .await
        {
            return;
        }
    }
}

/// Takes and answers one request; false where the connection is to end. `came` is when the latest bytes in `buf`
/// were there.
async fn one(
    state: &Rc<ProxyState>,
    stream: &TcpStream,
    buf: &mut BytesMut,
    came: &mut Instant,
    crowded: bool,
    closing: &mut watch::Receiver<Phase>,
) -> bool {
    let limits = state.limits();
    let (read, id) = read(state, stream, buf, *came, &limits).await;
    let request = match read {
        Ok(request) => request,
        Err(Refused::Gone) => return false,
        Err(Refused::Because(code)) => {
            // Before a configuration is known nobody can say that a request is too large.
            let unknown = matches!(code, ResultCode::TooLarge | ResultCode::HeadTooLarge)
                && state.known().is_none();
            let code = if unknown {
                ResultCode::NoConfiguration
            } else {
                code
            };
            let comes_back = matches!(code, ResultCode::Crowded | ResultCode::NoConfiguration);
            let answer = LocalReply::own(code, id.as_deref(), comes_back.then_some(CROWDED));
            if answer.write(state, stream, true).await {
                linger(stream).await;
            }
            return false;
        }
    };
    state.counters.add(|c| c.requests += 1);
    if crowded {
        let answer = LocalReply::own(
            ResultCode::Crowded,
            request.head.fields.get("fennelpin-attempt-id"),
            Some(CROWDED),
        );
        if answer.write(state, stream, true).await {
            linger(stream).await;
        }
        return false;
    }
    let stage = ResponseProgress::default();
    let over = async {
        let _ = closing.wait_for(|p| *p == Phase::Over).await;
    };
    let done = tokio::select! {
        biased;
        // Looked at first: nothing more goes to a host for a client that has left, however late that is read.
        () = gone(stream, buf, came) => {
            state.counters.add(|c| c.left += 1);
            return false;
        }
        done = exchange::run(state, stream, &request, &stage) => done,
        () = over => {
            if !stage.started() {
                let code = stage.refusal(ResultCode::Leaving);
                let id = request.head.fields.get("fennelpin-attempt-id");
                LocalReply::own(code, id, Some(CROWDED)).write(state, stream, true).await;
            } else if stage.looks_whole() {
                reset(stream);
            }
            return false;
        }
    };
    match done {
        ConnectionOutcome::Keep => true,
        ConnectionOutcome::Close => {
            linger(stream).await;
            false
        }
        ConnectionOutcome::Cut => {
            state.counters.add(|c| c.cut += 1);
            if stage.looks_whole() {
                reset(stream);
            }
            false
        }
    }
}

/// Lets the connection end with a reset: an end in order would make what was cut look whole.
fn reset(stream: &TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}

/// Reads a request whole, whose first bytes were there at `arrived`; beside it the identity of the attempt, as far
/// as it is known.
async fn read(
    state: &Rc<ProxyState>,
    stream: &TcpStream,
    buf: &mut BytesMut,
    arrived: Instant,
    limits: &Limits,
) -> (Result<Request, Refused>, Option<Vec<u8>>) {
    let by = Instant::now() + Duration::from_millis(limits.header_timeout_ms);
    let head = match timeout_at(by, read_head(stream, buf, limits.max_header_bytes)).await {
        Ok(Ok(head)) => head,
        Ok(Err(refused)) => return (Err(refused), None),
        Err(_) => return (Err(Refused::Because(ResultCode::SlowClient)), None),
    };
    let body = match head.framing {
        None | Some(Framing::Length(0)) => Ok((Bytes::new(), None)),
        Some(framing) => read_body(state, stream, buf, limits, &head, framing).await,
    };
    match body {
        Ok((body, held)) => (
            Ok(Request {
                head,
                body,
                arrived,
                _held: held,
            }),
            None,
        ),
        Err(refused) => {
            let id = head.fields.get("fennelpin-attempt-id").map(<[u8]>::to_vec);
            (Err(refused), id)
        }
    }
}

async fn read_head(
    stream: &TcpStream,
    buf: &mut BytesMut,
    most: usize,
) -> Result<RequestHead, Refused> {
    loop {
        match RequestHead::decode(buf, HeadLimits::with_max_bytes(most)) {
            Ok(Some(head)) => return Ok(head),
            Ok(None) => {}
            Err(ParseError::HeadTooLarge) => {
                return Err(Refused::Because(ResultCode::HeadTooLarge))
            }
            Err(ParseError::LengthOverflow) => return Err(Refused::Because(ResultCode::TooLarge)),
            Err(ParseError::Syntax { .. }) => return Err(Refused::Because(ResultCode::BadRequest)),
        }
        if socket::fill(stream, buf).await? == 0 {
            return Err(Refused::Gone);
        }
    }
}

async fn read_body(
    state: &Rc<ProxyState>,
    stream: &TcpStream,
    buf: &mut BytesMut,
    limits: &Limits,
    head: &RequestHead,
    framing: Framing,
) -> Result<(Bytes, Option<BodyReservation>), Refused> {
    let most = limits.max_body_bytes;
    let length = match framing {
        Framing::Length(n) => match usize::try_from(n) {
            Ok(n) if n <= most => Some(n),
            _ => return Err(Refused::Because(ResultCode::TooLarge)),
        },
        _ => None,
    };
    let mut held = state
        .hold(length.unwrap_or(0))
        .ok_or(Refused::Because(ResultCode::Crowded))?;
    let there = length.is_some_and(|n| buf.len() >= n);
    if !there && head.fields.has_token("expect", "100-continue") && head.minor_version > 0 {
        socket::write_all(stream, b"HTTP/1.1 100 Continue\r\n\r\n", b"", &mut 0).await?;
    }
    let quiet = Duration::from_millis(limits.idle_timeout_ms);
    if let Some(n) = length {
        buf.reserve(n.saturating_sub(buf.len()));
        while buf.len() < n {
            more(stream, buf, quiet).await?;
        }
        return Ok((buf.split_to(n).freeze(), Some(held)));
    }
    let (mut body, mut out) = (BodyDecoder::new(framing), BytesMut::new());
    loop {
        match body.decode(buf) {
            Ok(Decoded::Data(data)) => {
                if out.len() + data.len() > most {
                    return Err(Refused::Because(ResultCode::TooLarge));
                }
                if !held.grow(out.len() + data.len()) {
                    return Err(Refused::Because(ResultCode::Crowded));
                }
                out.extend_from_slice(&data);
            }
            Ok(Decoded::End) => return Ok((out.freeze(), Some(held))),
            Ok(Decoded::Incomplete) => more(stream, buf, quiet).await?,
            Err(_) => return Err(Refused::Because(ResultCode::BadRequest)),
        }
    }
}

async fn more(stream: &TcpStream, buf: &mut BytesMut, quiet: Duration) -> Result<(), Refused> {
    match timeout(quiet, socket::fill(stream, buf)).await {
        Ok(Ok(0)) => Err(Refused::Gone),
        Ok(got) => Ok(got.map(|_| ())?),
        Err(_) => Err(Refused::Because(ResultCode::SlowClient)),
    }
}

/// Resolves when the client has left; what it sends ahead is kept, and when it `came`.
async fn gone(stream: &TcpStream, buf: &mut BytesMut, came: &mut Instant) {
    while buf.len() < AHEAD {
        match socket::fill(stream, buf).await {
            Ok(n) if n > 0 => *came = Instant::now(),
            _ => return,
        }
    }
    // Behind what is not read no end can be seen; a write will show it.
    std::future::pending().await
}

/// Reads on for a moment: closing with input unread would reset the connection and take the answer along.
async fn linger(stream: &TcpStream) {
    let _ = rustix::net::shutdown(stream, rustix::net::Shutdown::Write);
    let drain = async {
        let mut buf = BytesMut::new();
        while let Ok(n) = socket::fill(stream, &mut buf).await {
            if n == 0 {
                return;
            }
            buf.clear();
        }
    };
    let _ = timeout(LINGER, drain).await;
}
