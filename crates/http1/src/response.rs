//! Heads of answers.

use crate::error::{syntax, ParseError};
use crate::fields::{spans, Fields, Span};
use crate::framing::Framing;
use crate::head::{found, lines_end_with_crlf, Found};
use crate::limits::{HeadLimits, MAX_FIELDS};
use bytes::{Bytes, BytesMut};

/// Head of an answer.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status.
    pub status: u16,
    reason: Span,
    /// Minor version of HTTP/1.
    pub minor_version: u8,
    /// Its fields.
    pub fields: Fields,
    /// How the body is framed.
    pub framing: Framing,
}

struct ResponseParts {
    status: u16,
    reason: Span,
    minor_version: u8,
    spans: Vec<(Span, Span)>,
}

fn response(input: &[u8], limits: HeadLimits) -> Found<ResponseParts> {
    let mut slots = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut head = httparse::Response::new(slots.get_mut(..limits.max_fields).unwrap_or_default());
    let Some(n) = found(head.parse(input), input.len(), limits, "response")? else {
        return Ok(None);
    };
    let parts = ResponseParts {
        status: head.code.unwrap_or_default(),
        reason: Span::of(input, head.reason.unwrap_or_default().as_bytes()),
        minor_version: head.version.unwrap_or(1),
        spans: spans(input, head.headers),
    };
    Ok(Some((n, parts)))
}

impl ResponseHead {
    fn of(parts: ResponseParts, raw: Bytes, to_head_request: bool) -> Result<Self, ParseError> {
        let ResponseParts {
            status,
            reason,
            minor_version,
            spans,
        } = parts;
        let fields = Fields { raw, spans };
        let framing = match status {
            100..=199 | 204 | 304 => Framing::Length(0),
            _ if to_head_request => Framing::Length(0),
            _ => Framing::from_fields(&fields)?.unwrap_or(Framing::CloseDelimited),
        };
        Ok(Self {
            status,
            reason,
            minor_version,
            fields,
            framing,
        })
    }

    /// Reads a head at the front of `input`, with its length; `None` where more has to come. `to_head_request` says that
    /// it answers a `HEAD`, where no body follows.
    ///
    /// # Errors
    /// Where it is no head, is framed in two ways, or is larger than `limits`.
    pub fn parse(
        input: &[u8],
        limits: HeadLimits,
        to_head_request: bool,
    ) -> Result<Option<(Self, usize)>, ParseError> {
        let Some((n, parts)) = response(input, limits)? else {
            return Ok(None);
        };
        let raw = Bytes::copy_from_slice(input.get(..n).unwrap_or_default());
        Ok(Some((Self::of(parts, raw, to_head_request)?, n)))
    }

    /// Takes a head off the front of `buf`, as [`ResponseHead::parse`] reads it.
    ///
    /// # Errors
    /// As [`ResponseHead::parse`], and where a line ends with a lone LF.
    pub fn decode(
        buf: &mut BytesMut,
        limits: HeadLimits,
        to_head_request: bool,
    ) -> Result<Option<Self>, ParseError> {
        let Some((n, parts)) = response(buf, limits)? else {
            return Ok(None);
        };
        let head = Self::of(parts, buf.split_to(n).freeze(), to_head_request)?;
        if lines_end_with_crlf(&head.fields.raw) {
            Ok(Some(head))
        } else {
            syntax("line")
        }
    }

    /// The words after the status.
    pub fn reason_phrase(&self) -> &[u8] {
        self.fields.span(self.reason)
    }

    /// Whether the connection may be used again.
    pub fn is_keep_alive(&self) -> bool {
        self.framing != Framing::CloseDelimited
            && match self.minor_version {
                0 => self.fields.has_token("connection", "keep-alive"),
                _ => !self.fields.has_token("connection", "close"),
            }
    }
}
