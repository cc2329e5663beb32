//! Heads of answers.

use crate::error::{syntax, Malformed};
use crate::fields::{spans, Fields, Span};
use crate::framing::Framing;
use crate::head::{found, lines_end_with_crlf, Found};
use crate::limits::{HeadLimits, MOST};
use bytes::{Bytes, BytesMut};

/// Head of an answer.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status.
    pub status: u16,
    reason: Span,
    /// Minor version of HTTP/1.
    pub minor: u8,
    /// Its fields.
    pub fields: Fields,
    /// How the body is framed.
    pub framing: Framing,
}

struct ResponseParts {
    status: u16,
    reason: Span,
    minor: u8,
    spans: Vec<(Span, Span)>,
}

fn response(input: &[u8], most: HeadLimits) -> Found<ResponseParts> {
    let mut slots = [httparse::EMPTY_HEADER; MOST.fields];
    let mut head = httparse::Response::new(slots.get_mut(..most.fields).unwrap_or_default());
    let Some(n) = found(head.parse(input), input.len(), most, "response")? else {
        return Ok(None);
    };
    let parts = ResponseParts {
        status: head.code.unwrap_or_default(),
        reason: Span::of(input, head.reason.unwrap_or_default().as_bytes()),
        minor: head.version.unwrap_or(1),
        spans: spans(input, head.headers),
    };
    Ok(Some((n, parts)))
}

impl ResponseHead {
    fn of(parts: ResponseParts, raw: Bytes, to_head: bool) -> Result<Self, Malformed> {
        let ResponseParts {
            status,
            reason,
            minor,
            spans,
        } = parts;
        let fields = Fields { raw, spans };
        let framing = match status {
            100..=199 | 204 | 304 => Framing::Length(0),
            _ if to_head => Framing::Length(0),
            _ => Framing::of(&fields)?.unwrap_or(Framing::UntilEnd),
        };
        Ok(Self {
            status,
            reason,
            minor,
            fields,
            framing,
        })
    }

    /// Reads a head at the front of `input`, with its length; `None` where more has to come. `to_head` says that
    /// it answers a `HEAD`, where no body follows.
    ///
    /// # Errors
    /// Where it is no head, is framed in two ways, or is larger than `most`.
    pub fn read(
        input: &[u8],
        most: HeadLimits,
        to_head: bool,
    ) -> Result<Option<(Self, usize)>, Malformed> {
        let Some((n, parts)) = response(input, most)? else {
            return Ok(None);
        };
        let raw = Bytes::copy_from_slice(input.get(..n).unwrap_or_default());
        Ok(Some((Self::of(parts, raw, to_head)?, n)))
    }

    /// Takes a head off the front of `buf`, as [`ResponseHead::read`] reads it.
    ///
    /// # Errors
    /// As [`ResponseHead::read`], and where a line ends with a lone LF.
    pub fn take(
        buf: &mut BytesMut,
        most: HeadLimits,
        to_head: bool,
    ) -> Result<Option<Self>, Malformed> {
        let Some((n, parts)) = response(buf, most)? else {
            return Ok(None);
        };
        let head = Self::of(parts, buf.split_to(n).freeze(), to_head)?;
        if lines_end_with_crlf(&head.fields.raw) {
            Ok(Some(head))
        } else {
            syntax("line")
        }
    }

    /// The words after the status.
    pub fn reason(&self) -> &[u8] {
        self.fields.span(self.reason)
    }

    /// Whether the connection may be used again.
    pub fn keeps_alive(&self) -> bool {
        self.framing != Framing::UntilEnd
            && match self.minor {
                0 => self.fields.has_token("connection", "keep-alive"),
                _ => !self.fields.has_token("connection", "close"),
            }
    }
}
