//! Reads messages from a [`BufferedStream`]: complete requests, and responses as a head followed by a streamed body.

use super::message::{Headers, HttpError, Request};
use super::INPUT_BUFFER_BYTES;
use crate::net::buffered_stream::BufferedStream;
use bytes::{Bytes, BytesMut};
use http1::{DecodeStep, Framing, HeadLimits, RequestHead, ResponseHead};
use std::time::Instant;

const MAX_HEAD: HeadLimits = HeadLimits {
    max_bytes: INPUT_BUFFER_BYTES,
    max_fields: 64,
};

/// Reads more input. Fails if the connection ends; `started` tells whether a message has begun.
async fn read_more(conn: &mut BufferedStream, started: bool) -> Result<(), HttpError> {
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

/// Reads the head of a response, and returns its status and headers.
///
/// # Errors
/// If the head is malformed or too large, or the connection ends or fails first.
pub async fn response_head(conn: &mut BufferedStream) -> Result<(u16, Headers), HttpError> {
    loop {
        if let Some((head, n)) = ResponseHead::parse(conn.input.contiguous(), MAX_HEAD, false)? {
            conn.input.consume(n);
            return Ok((head.status, Headers::from_fields(head.fields)?));
        }
        if conn.input.free() == 0 {
            return Err(HttpError::HeadTooLarge);
        }
        read_more(conn, !conn.input.is_empty()).await?;
    }
}

/// A body that is being read.
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

    /// Creates the reader for the body of a response with these headers.
    ///
    /// # Errors
    /// If the headers contradict each other on the length of the body.
    pub fn of_response(headers: &Headers) -> Result<Self, HttpError> {
        Ok(Self::new(
            Framing::from_fields(&headers.0)?.unwrap_or(Framing::CloseDelimited),
        ))
    }

    /// Returns whether the declared length of the body is over a limit.
    fn exceeds(&self, max_bytes: usize) -> bool {
        matches!(self.framing, Framing::Length(n) if n > max_bytes as u64)
    }

    /// Appends the next bytes of the body to `out`. Returns false at the end of the body.
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
                DecodeStep::Incomplete => match read_more(conn, true).await {
                    Err(HttpError::Cut) if self.body.is_close_delimited() => return Ok(false),
                    step => step?,
                },
            }
        }
    }

    /// Reads the complete body, of at most `max_bytes`.
    ///
    /// # Errors
    /// As for [`Body::next`]; also if the body is longer than `max_bytes`.
    pub async fn read_all(
        mut self,
        conn: &mut BufferedStream,
        max_bytes: usize,
    ) -> Result<Bytes, HttpError> {
        let mut out = BytesMut::new();
        if self.exceeds(max_bytes) {
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

/// Reads a request with a body of at most `max_bytes`. Returns it with whether the connection is to be kept alive.
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
        read_more(conn, !conn.input.is_empty()).await?;
    };
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let (method, target, keep) = (
        text(head.method()),
        text(head.target()),
        head.is_keep_alive(),
    );
    let body = Body::new(head.framing.unwrap_or(Framing::Length(0)));
    let headers = Headers::from_fields(head.fields)?;
    if body.exceeds(max_bytes) {
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
