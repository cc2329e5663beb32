//! Heads of requests.

use crate::error::{syntax, ParseError};
use crate::fields::{spans, Fields, Span};
use crate::framing::Framing;
use crate::head::{found, lines_end_with_crlf, Found};
use crate::limits::{HeadLimits, MAX_FIELDS};
use bytes::{Bytes, BytesMut};

/// Head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    method: Span,
    target: Span,
    /// Minor version of HTTP/1.
    pub minor_version: u8,
    /// Its fields.
    pub fields: Fields,
    /// How the body is framed; no framing stands for none.
    pub framing: Option<Framing>,
}

struct RequestParts {
    method: Span,
    target: Span,
    minor_version: u8,
    spans: Vec<(Span, Span)>,
}

fn request(input: &[u8], limits: HeadLimits) -> Found<RequestParts> {
    let mut slots = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut head = httparse::Request::new(slots.get_mut(..limits.max_fields).unwrap_or_default());
    let Some(n) = found(head.parse(input), input.len(), limits, "request")? else {
        return Ok(None);
    };
    let parts = RequestParts {
        method: Span::of(input, head.method.unwrap_or_default().as_bytes()),
        target: Span::of(input, head.path.unwrap_or_default().as_bytes()),
        minor_version: head.version.unwrap_or(1),
        spans: spans(input, head.headers),
    };
    Ok(Some((n, parts)))
}

impl RequestHead {
    fn of(parts: RequestParts, raw: Bytes) -> Result<Self, ParseError> {
        let RequestParts {
            method,
            target,
            minor_version,
            spans,
        } = parts;
        let fields = Fields { raw, spans };
        let framing = Framing::from_fields(&fields)?;
        Ok(Self {
            method,
            target,
            minor_version,
            fields,
            framing,
        })
    }

    /// Reads a head at the front of `input`, with its length; `None` where more has to come.
    ///
    /// # Errors
    /// Where it is no head, is framed in two ways, or is larger than `limits`.
    pub fn parse(input: &[u8], limits: HeadLimits) -> Result<Option<(Self, usize)>, ParseError> {
        let Some((n, parts)) = request(input, limits)? else {
            return Ok(None);
        };
        let raw = Bytes::copy_from_slice(input.get(..n).unwrap_or_default());
        Ok(Some((Self::of(parts, raw)?, n)))
    }

    /// Takes a head off the front of `buf`; `None` where more has to come. What another program behind this one
    /// could read in another way is refused besides.
    ///
    /// # Errors
    /// As [`RequestHead::parse`], and where a line ends with a lone LF, it names two hosts, an old version has chunks, or the target is none
    /// that a server is asked for.
    pub fn decode(buf: &mut BytesMut, limits: HeadLimits) -> Result<Option<Self>, ParseError> {
        let Some((n, parts)) = request(buf, limits)? else {
            return Ok(None);
        };
        let head = Self::of(parts, buf.split_to(n).freeze())?;
        if !lines_end_with_crlf(&head.fields.raw) {
            return syntax("line");
        }
        if head.fields.get_all("host").nth(1).is_some() {
            return syntax("host");
        }
        if head.minor_version == 0 && head.framing == Some(Framing::Chunked) {
            return syntax("transfer-encoding");
        }
        match head.target() {
            [b'/', ..] | b"*" => Ok(Some(head)),
            _ => syntax("target"),
        }
    }

    /// Its method.
    pub fn method(&self) -> &[u8] {
        self.fields.span(self.method)
    }

    /// Path and query, without the scheme and authority that a target may have.
    pub fn target(&self) -> &[u8] {
        let target = self.fields.span(self.target);
        match authority(target) {
            Some((_, [])) => b"/",
            Some((_, rest)) => rest,
            None => target,
        }
    }

    /// The path.
    pub fn path(&self) -> &[u8] {
        self.target()
            .split(|b| *b == b'?')
            .next()
            .unwrap_or_default()
    }

    /// The host asked for, without its port.
    pub fn host(&self) -> Option<&str> {
        let named = authority(self.fields.span(self.target)).map(|(host, _)| host);
        let host = std::str::from_utf8(named.or_else(|| self.fields.get("host"))?)
            .ok()?
            .trim();
        Some(
            host.rsplit_once(':')
                .filter(|(_, p)| p.bytes().all(|b| b.is_ascii_digit()))
                .map_or(host, |h| h.0),
        )
    }

    /// Whether the connection may be used for another request.
    pub fn is_keep_alive(&self) -> bool {
        match self.minor_version {
            0 => self.fields.has_token("connection", "keep-alive"),
            _ => !self.fields.has_token("connection", "close"),
        }
    }
}

/// Authority and rest of a target in absolute form.
fn authority(target: &[u8]) -> Option<(&[u8], &[u8])> {
    let rest = target
        .strip_prefix(b"http://")
        .or_else(|| target.strip_prefix(b"https://"))?;
    Some(
        rest.split_at(
            rest.iter()
                .position(|b| *b == b'/' || *b == b'?')
                .unwrap_or(rest.len()),
        ),
    )
}
