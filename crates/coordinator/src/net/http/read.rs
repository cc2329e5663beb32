//! Reading messages from a [`BufferedStream`]: a request whole, a response's head and then its body as it comes.

use super::message::{Headers, HttpError, Request};
use super::INPUT;
use crate::net::buffered_stream::BufferedStream;
use bytes::{Bytes, BytesMut};
use http1::{DecodeStep, Framing, HeadLimits, RequestHead, ResponseHead};
use std::time::Instant;

const MAX_HEAD: HeadLimits = HeadLimits {
    max_bytes: INPUT,
    max_fields: 64,
};

async fn more(conn: &mut BufferedStream, started: bool) -> Result<(), HttpError> {
    match conn.fill().await? {
        0 if started => Err(HttpError::Cut),
        0 => Err(HttpError::Closed),
        _ => Ok(()),
    }
}

fn request_head(conn: &mut BufferedStream) -> Result<Option<RequestHead>, HttpError> {
    let Some((head, n)) = RequestHead::parse(conn.input.contiguous(), MAX_HEAD)? else {
        return Ok(None);
    };
    conn.input.consume(n);
    Ok(Some(head))
}

/// Reads a response's head: its status and headers.
///
/// # Errors
/// If the head is malformed or too large, or the connection ends or fails first.
pub async fn response_head(conn: &mut BufferedStream) -> Result<(u16, Headers), HttpError> {
    loop {
        if let Some((head, n)) = ResponseHead::parse(conn.input.contiguous(), MAX_HEAD, false)? {
            conn.input.consume(n);
            return Ok((head.status, Headers::of(head.fields)?));
        }
        if conn.input.free() == 0 {
            return Err(HttpError::HeadTooLarge);
        }
        more(conn, !conn.input.is_empty()).await?;
    }
}

/// A body on its way in.
pub struct Body {
    framing: Framing,
    body: http1::BodyDecoder,
}

impl Body {
    fn new(framing: Framing) -> Self {
        Self {
            framing,
            body: http1::BodyDecoder::new(framing),
        }
    }

    /// The body of a response with these headers.
    ///
    /// # Errors
    /// If the headers contradict each other on its length.
    pub fn of_response(headers: &Headers) -> Result<Self, HttpError> {
        Ok(Self::new(
            Framing::from_fields(&headers.0)?.unwrap_or(Framing::CloseDelimited),
        ))
    }

    /// Whether its length is told and beyond a limit.
    fn beyond(&self, max_bytes: usize) -> bool {
        matches!(self.framing, Framing::Length(n) if n > max_bytes as u64)
    }

    /// Appends what comes next to `out`; false at the end.
    ///
    /// # Errors
    /// If the body is malformed, or the connection ends or fails first.
    pub async fn next(
        &mut self,
        conn: &mut BufferedStream,
        out: &mut BytesMut,
    ) -> Result<bool, HttpError> {
        loop {
            let input = if self.body.is_in_data() {
                conn.input.first()
            } else {
                conn.input.contiguous()
            };
            match self.body.decode_step(input)? {
                DecodeStep::Data(n) => {
                    out.extend_from_slice(input.get(..n).unwrap_or_default());
                    conn.input.consume(n);
                    return Ok(true);
                }
                DecodeStep::Framing(n) => conn.input.consume(n),
                DecodeStep::End => return Ok(false),
                DecodeStep::Incomplete => match more(conn, true).await {
                    Err(HttpError::Cut) if self.body.is_close_delimited() => return Ok(false),
                    step => step?,
                },
            }
        }
    }

    /// Reads the whole body, up to a limit.
    ///
    /// # Errors
    /// As [`Body::next`]; also if the body is longer than the limit.
    pub async fn read_all(
        mut self,
        conn: &mut BufferedStream,
        max_bytes: usize,
    ) -> Result<Bytes, HttpError> {
        let mut out = BytesMut::new();
        if self.beyond(max_bytes) {
            return Err(HttpError::BodyTooLarge);
        }
        while self.next(conn, &mut out).await? {
            if out.len() > max_bytes {
                return Err(HttpError::BodyTooLarge);
            }
        }
        Ok(out.freeze())
    }
}

pub(super) async fn read_request(
    conn: &mut BufferedStream,
    max_bytes: usize,
) -> Result<(Request, bool), HttpError> {
    let head = loop {
        if !conn.input.is_empty() {
            if let Some(head) = request_head(conn)? {
                break head;
            }
            if conn.input.free() == 0 {
                return Err(HttpError::HeadTooLarge);
            }
        }
        more(conn, !conn.input.is_empty()).await?;
    };
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let (method, target, keep) = (
        text(head.method()),
        text(head.target()),
        head.is_keep_alive(),
    );
    let body = Body::new(head.framing.unwrap_or(Framing::Length(0)));
    let headers = Headers::of(head.fields)?;
    if body.beyond(max_bytes) {
        return Err(HttpError::BodyTooLarge);
    }
    if headers.0.has_token("Expect", "100-continue") {
        conn.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let body = body.read_all(conn, max_bytes).await?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let (arrived, latest) = (Instant::now(), None);
    Ok((
        Request {
            method,
            path,
            query,
            headers,
            body,
            arrived,
            latest,
        },
        keep,
    ))
}
