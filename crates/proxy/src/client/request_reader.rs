//! Reads a client's request completely, within the operators' limits, before anything is sent to a host.

use super::Request;
use crate::deadline::time_allowed;
use crate::headers::ATTEMPT_ID;
use crate::socket;
use crate::state::{BodyReservation, ProxyState};
use bytes::{Bytes, BytesMut};
use configuration::{Limits, ResultCode};
use http1::{BodyDecoder, Decoded, Framing, HeadLimits, ParseError, RequestHead};
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at, Instant};

/// Maximum time for receiving a body, however late the request's deadline is. Between two reads the operators' idle
/// timeout applies.
const MAX_BODY_TIME: Duration = Duration::from_secs(3600);

/// Reason why no request was read.
#[derive(Debug)]
pub(super) enum ReadError {
    /// The client disconnected before the request was complete.
    Disconnected,
    /// The request has to be rejected with a local reply.
    Rejected {
        code: ResultCode,
        /// Id of the attempt, if the head was read and has one.
        attempt_id: Option<Vec<u8>>,
    },
}

/// Reason why the head or the body of a request can't be read. Converted to [`ReadError`] once the attempt's id is
/// known.
enum PartError {
    Disconnected,
    Rejected(ResultCode),
}

impl From<io::Error> for PartError {
    fn from(_: io::Error) -> Self {
        Self::Disconnected
    }
}

impl PartError {
    fn with_attempt_id(self, attempt_id: Option<&[u8]>) -> ReadError {
        match self {
            Self::Disconnected => ReadError::Disconnected,
            Self::Rejected(code) => ReadError::Rejected {
                code,
                attempt_id: attempt_id.map(<[u8]>::to_vec),
            },
        }
    }
}

/// A received body and the memory reserved for it; an empty body has no reservation.
struct ReadBody {
    bytes: Bytes,
    reservation: Option<BodyReservation>,
}

/// Reader for one request on a connection. `buf` holds bytes received that are not yet parsed as a request.
pub(super) struct RequestReader<'a> {
    pub(super) state: &'a ProxyState,
    pub(super) stream: &'a TcpStream,
    pub(super) buf: &'a mut BytesMut,
    pub(super) limits: Limits,
}

impl RequestReader<'_> {
    /// Reads a request. `received_at` is the time at which its first bytes were received.
    pub(super) async fn read(mut self, received_at: Instant) -> Result<Request, ReadError> {
        let head_deadline = Instant::now() + Duration::from_millis(self.limits.header_timeout_ms);
        let head = timeout_at(head_deadline, self.read_head())
            .await
            .unwrap_or(Err(PartError::Rejected(ResultCode::SlowClient)))
            .map_err(|error| error.with_attempt_id(None))?;
        if let Some(code) = self.key_rejection(&head) {
            let attempt_id = head.fields.get(ATTEMPT_ID);
            return Err(PartError::Rejected(code).with_attempt_id(attempt_id));
        }
        let body_deadline = self.body_deadline(&head, received_at);
        let body = timeout_at(body_deadline, self.read_body(&head))
            .await
            .unwrap_or(Err(PartError::Rejected(ResultCode::SlowClient)))
            .map_err(|error| error.with_attempt_id(head.fields.get(ATTEMPT_ID)))?;
        Ok(Request {
            head,
            body: body.bytes,
            received_at,
            _body_reservation: body.reservation,
        })
    }

    /// Checks the API key before the body is read and returns the code of the rejection, if any. Without a matching
    /// route or a configuration the key isn't checked here.
    fn key_rejection(&self, head: &RequestHead) -> Option<ResultCode> {
        let table = self.state.routing_table()?;
        let route = table.routes.find(head.host()?, head.path())?;
        table.tenants.authenticate(&head.fields, route).err()
    }

    /// Returns the time by which the body has to be complete: the request's deadline, after which it wouldn't be
    /// served, or [`MAX_BODY_TIME`] if that is earlier.
    fn body_deadline(&self, head: &RequestHead, received_at: Instant) -> Instant {
        let table = self.state.routing_table();
        let route = table.and_then(|table| table.routes.find(head.host()?, head.path()).cloned());
        let allowed = time_allowed(head, route.as_deref());
        received_at + allowed.min(MAX_BODY_TIME)
    }

    async fn read_head(&mut self) -> Result<RequestHead, PartError> {
        let limits = HeadLimits::with_max_bytes(self.limits.max_header_bytes);
        loop {
            match RequestHead::decode(self.buf, limits) {
                Ok(Some(head)) => return Ok(head),
                Ok(None) => {}
                Err(error) => return Err(PartError::Rejected(rejection_code(error))),
            }
            if socket::read(self.stream, self.buf).await? == 0 {
                return Err(PartError::Disconnected);
            }
        }
    }

    async fn read_body(&mut self, head: &RequestHead) -> Result<ReadBody, PartError> {
        match head.framing {
            None | Some(Framing::Length(0)) => Ok(ReadBody {
                bytes: Bytes::new(),
                reservation: None,
            }),
            Some(Framing::Length(length)) => self.read_sized_body(head, length).await,
            Some(framing) => self.read_chunked_body(head, framing).await,
        }
    }

    async fn read_sized_body(
        &mut self,
        head: &RequestHead,
        length: u64,
    ) -> Result<ReadBody, PartError> {
        let length = usize::try_from(length)
            .ok()
            .filter(|length| *length <= self.limits.max_body_bytes)
            .ok_or(PartError::Rejected(ResultCode::TooLarge))?;
        let reservation = self.reserve(length)?;
        if self.buf.len() < length {
            self.send_continue(head).await?;
        }
        self.buf.reserve(length.saturating_sub(self.buf.len()));
        while self.buf.len() < length {
            self.read_more().await?;
        }
        Ok(ReadBody {
            bytes: self.buf.split_to(length).freeze(),
            reservation: Some(reservation),
        })
    }

    async fn read_chunked_body(
        &mut self,
        head: &RequestHead,
        framing: Framing,
    ) -> Result<ReadBody, PartError> {
        let mut reservation = self.reserve(0)?;
        self.send_continue(head).await?;
        let mut decoder = BodyDecoder::new(framing);
        let mut body = BytesMut::new();
        loop {
            match decoder.decode(self.buf) {
                Ok(Decoded::Data(data)) => {
                    let body_bytes = body.len() + data.len();
                    if body_bytes > self.limits.max_body_bytes {
                        return Err(PartError::Rejected(ResultCode::TooLarge));
                    }
                    if !reservation.grow_to(body_bytes) {
                        return Err(PartError::Rejected(ResultCode::Crowded));
                    }
                    body.extend_from_slice(&data);
                }
                Ok(Decoded::End) => {
                    return Ok(ReadBody {
                        bytes: body.freeze(),
                        reservation: Some(reservation),
                    })
                }
                Ok(Decoded::Incomplete) => self.read_more().await?,
                Err(_) => return Err(PartError::Rejected(ResultCode::BadRequest)),
            }
        }
    }

    fn reserve(&self, bytes: usize) -> Result<BodyReservation, PartError> {
        self.state
            .body_memory
            .try_reserve(bytes)
            .ok_or(PartError::Rejected(ResultCode::Crowded))
    }

    /// Sends an interim `100 Continue` response if the client waits for one before it sends the body.
    async fn send_continue(&self, head: &RequestHead) -> Result<(), PartError> {
        if head.minor_version > 0 && head.fields.has_token("expect", "100-continue") {
            let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
            socket::write_all(self.stream, interim, b"", &mut 0).await?;
        }
        Ok(())
    }

    async fn read_more(&mut self) -> Result<(), PartError> {
        let idle_timeout = Duration::from_millis(self.limits.idle_timeout_ms);
        match timeout(idle_timeout, socket::read(self.stream, self.buf)).await {
            Ok(Ok(0)) => Err(PartError::Disconnected),
            Ok(read) => Ok(read.map(drop)?),
            Err(_) => Err(PartError::Rejected(ResultCode::SlowClient)),
        }
    }
}

fn rejection_code(error: ParseError) -> ResultCode {
    match error {
        ParseError::HeadTooLarge => ResultCode::HeadTooLarge,
        ParseError::LengthOverflow => ResultCode::TooLarge,
        ParseError::Syntax { .. } => ResultCode::BadRequest,
    }
}
