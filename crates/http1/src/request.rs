//! Request heads.

use crate::error::{syntax_error, ParseError};
use crate::fields::{field_spans, FieldSpan, Fields, Span};
use crate::framing::Framing;
use crate::head::{head_length, lines_end_with_crlf, Parsed};
use crate::limits::{HeadLimits, MAX_FIELDS};
use bytes::{Bytes, BytesMut};

/// Head of a request: request line and fields.
#[derive(Clone, Debug)]
pub struct RequestHead {
    method: Span,
    target: Span,
    /// HTTP minor version: 0 for HTTP/1.0, 1 for HTTP/1.1.
    pub minor_version: u8,
    /// Header fields of the request.
    pub fields: Fields,
    /// Framing of the body; `None` if there is no body.
    pub framing: Option<Framing>,
}

struct RequestParts {
    method: Span,
    target: Span,
    minor_version: u8,
    spans: Vec<FieldSpan>,
}

fn parse_parts(
    input: &[u8],
    limits: HeadLimits,
) -> Result<Option<Parsed<RequestParts>>, ParseError> {
    let mut slots = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut head = httparse::Request::new(slots.get_mut(..limits.max_fields).unwrap_or_default());
    let parsed = head.parse(input);
    let Some(head_bytes) = head_length(parsed, input.len(), limits, "request")? else {
        return Ok(None);
    };
    let parts = RequestParts {
        method: Span::within(input, head.method.unwrap_or_default().as_bytes()),
        target: Span::within(input, head.path.unwrap_or_default().as_bytes()),
        minor_version: head.version.unwrap_or(1),
        spans: field_spans(input, head.headers),
    };
    Ok(Some(Parsed { head_bytes, parts }))
}

impl RequestHead {
    fn from_parts(parts: RequestParts, head: Bytes) -> Result<Self, ParseError> {
        let fields = Fields {
            head,
            spans: parts.spans,
        };
        let framing = Framing::from_fields(&fields)?;
        Ok(Self {
            method: parts.method,
            target: parts.target,
            minor_version: parts.minor_version,
            fields,
            framing,
        })
    }

    /// Parses the head at the front of `input` and returns it with its length in bytes; `None` if more input is needed.
    ///
    /// # Errors
    /// If the input isn't a valid request head, has ambiguous framing, or exceeds `limits`.
    pub fn parse(input: &[u8], limits: HeadLimits) -> Result<Option<(Self, usize)>, ParseError> {
        let Some(Parsed { head_bytes, parts }) = parse_parts(input, limits)? else {
            return Ok(None);
        };
        let head = Bytes::copy_from_slice(input.get(..head_bytes).unwrap_or_default());
        Ok(Some((Self::from_parts(parts, head)?, head_bytes)))
    }

    /// Parses a head and removes it from the front of `buf`; `None` if more input is needed. Stricter than
    /// [`RequestHead::parse`]: rejects heads that a server behind a proxy might interpret differently.
    ///
    /// # Errors
    /// As [`RequestHead::parse`], and if a line ends with a lone LF, there are two `Host` fields, HTTP/1.0 has chunks,
    /// or the target is neither a path nor `*`.
    pub fn decode(buf: &mut BytesMut, limits: HeadLimits) -> Result<Option<Self>, ParseError> {
        let Some(Parsed { head_bytes, parts }) = parse_parts(buf, limits)? else {
            return Ok(None);
        };
        let head = Self::from_parts(parts, buf.split_to(head_bytes).freeze())?;
        if !lines_end_with_crlf(&head.fields.head) {
            return syntax_error("line");
        }
        if head.fields.get_all("host").nth(1).is_some() {
            return syntax_error("host");
        }
        if head.minor_version == 0 && head.framing == Some(Framing::Chunked) {
            return syntax_error("transfer-encoding");
        }
        match head.target() {
            [b'/', ..] | b"*" => Ok(Some(head)),
            _ => syntax_error("target"),
        }
    }

    /// Returns the request method, such as `GET`.
    pub fn method(&self) -> &[u8] {
        self.fields.slice(self.method)
    }

    /// Returns the target in origin form: path and query, without the scheme and authority of an absolute form.
    pub fn target(&self) -> &[u8] {
        let target = self.fields.slice(self.target);
        match split_authority(target) {
            Some((_, [])) => b"/",
            Some((_, rest)) => rest,
            None => target,
        }
    }

    /// Returns the target's path, without the query.
    pub fn path(&self) -> &[u8] {
        self.target()
            .split(|b| *b == b'?')
            .next()
            .unwrap_or_default()
    }

    /// Returns the host name in the target, or else in the `Host` field, without its port; `None` if there is none or
    /// it isn't UTF-8.
    pub fn host(&self) -> Option<&str> {
        let from_target = split_authority(self.fields.slice(self.target)).map(|(host, _)| host);
        let host = std::str::from_utf8(from_target.or_else(|| self.fields.get("host"))?)
            .ok()?
            .trim();
        match host.rsplit_once(':') {
            Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => Some(name),
            _ => Some(host),
        }
    }

    /// Returns whether the client allows the connection to be reused for another request.
    pub fn is_keep_alive(&self) -> bool {
        match self.minor_version {
            0 => self.fields.has_token("connection", "keep-alive"),
            _ => !self.fields.has_token("connection", "close"),
        }
    }
}

/// Splits a target in absolute form into its authority and the rest; `None` for other forms.
fn split_authority(target: &[u8]) -> Option<(&[u8], &[u8])> {
    let rest = target
        .strip_prefix(b"http://")
        .or_else(|| target.strip_prefix(b"https://"))?;
    let authority_end = rest
        .iter()
        .position(|byte| matches!(byte, b'/' | b'?'))
        .unwrap_or(rest.len());
    Some(rest.split_at(authority_end))
}
