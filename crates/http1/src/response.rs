//! Response heads.

use crate::error::{syntax_error, ParseError};
use crate::fields::{field_spans, FieldSpan, Fields, Span};
use crate::framing::Framing;
use crate::head::{head_length, lines_end_with_crlf, Parsed};
use crate::limits::{HeadLimits, MAX_FIELDS};
use bytes::{Bytes, BytesMut};
use std::ops::RangeInclusive;

/// Valid status codes (RFC 9110, section 15). The status line alone allows any three digits.
const VALID_STATUS_CODES: RangeInclusive<u16> = 100..=599;

/// Head of a response: status line and fields.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status code, from 100 to 599.
    pub status: u16,
    reason: Span,
    /// HTTP minor version: 0 for HTTP/1.0, 1 for HTTP/1.1.
    pub minor_version: u8,
    /// Header fields of the response.
    pub fields: Fields,
    /// Framing of the body; a length of 0 for a response that never has a body.
    pub framing: Framing,
}

struct ResponseParts {
    status: u16,
    reason: Span,
    minor_version: u8,
    spans: Vec<FieldSpan>,
}

fn parse_parts(
    input: &[u8],
    limits: HeadLimits,
) -> Result<Option<Parsed<ResponseParts>>, ParseError> {
    let mut slots = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut head = httparse::Response::new(slots.get_mut(..limits.max_fields).unwrap_or_default());
    let parsed = head.parse(input);
    let Some(head_bytes) = head_length(parsed, input.len(), limits, "response")? else {
        return Ok(None);
    };
    let status = head.code.unwrap_or_default();
    if !VALID_STATUS_CODES.contains(&status) {
        return syntax_error("status");
    }
    let parts = ResponseParts {
        status,
        reason: Span::within(input, head.reason.unwrap_or_default().as_bytes()),
        minor_version: head.version.unwrap_or(1),
        spans: field_spans(input, head.headers),
    };
    Ok(Some(Parsed { head_bytes, parts }))
}

impl ResponseHead {
    fn from_parts(
        parts: ResponseParts,
        head: Bytes,
        to_head_request: bool,
    ) -> Result<Self, ParseError> {
        let fields = Fields {
            head,
            spans: parts.spans,
        };
        let framing = match parts.status {
            100..=199 | 204 | 304 => Framing::Length(0),
            _ if to_head_request => Framing::Length(0),
            _ => Framing::from_fields(&fields)?.unwrap_or(Framing::CloseDelimited),
        };
        Ok(Self {
            status: parts.status,
            reason: parts.reason,
            minor_version: parts.minor_version,
            fields,
            framing,
        })
    }

    /// Parses the head at the front of `input` and returns it with its length in bytes; `None` if more input is needed.
    /// `to_head_request` states whether the request's method was `HEAD`, so that no body follows.
    ///
    /// # Errors
    /// If the input isn't a valid response head, has a status code outside 100 to 599 or ambiguous framing, or exceeds
    /// `limits`.
    pub fn parse(
        input: &[u8],
        limits: HeadLimits,
        to_head_request: bool,
    ) -> Result<Option<(Self, usize)>, ParseError> {
        let Some(Parsed { head_bytes, parts }) = parse_parts(input, limits)? else {
            return Ok(None);
        };
        let head = Bytes::copy_from_slice(input.get(..head_bytes).unwrap_or_default());
        let head = Self::from_parts(parts, head, to_head_request)?;
        Ok(Some((head, head_bytes)))
    }

    /// Parses a head like [`ResponseHead::parse`] and removes it from the front of `buf`; `None` if more input is
    /// needed.
    ///
    /// # Errors
    /// As [`ResponseHead::parse`], and if a line ends with a lone LF.
    pub fn decode(
        buf: &mut BytesMut,
        limits: HeadLimits,
        to_head_request: bool,
    ) -> Result<Option<Self>, ParseError> {
        let Some(Parsed { head_bytes, parts }) = parse_parts(buf, limits)? else {
            return Ok(None);
        };
        let head = buf.split_to(head_bytes).freeze();
        let head = Self::from_parts(parts, head, to_head_request)?;
        if lines_end_with_crlf(&head.fields.head) {
            Ok(Some(head))
        } else {
            syntax_error("line")
        }
    }

    /// Returns the reason phrase of the status line; may be empty.
    pub fn reason_phrase(&self) -> &[u8] {
        self.fields.slice(self.reason)
    }

    /// Returns whether the server allows the connection to be reused for another request.
    pub fn is_keep_alive(&self) -> bool {
        if self.framing == Framing::CloseDelimited {
            return false;
        }
        match self.minor_version {
            0 => self.fields.has_token("connection", "keep-alive"),
            _ => !self.fields.has_token("connection", "close"),
        }
    }
}
