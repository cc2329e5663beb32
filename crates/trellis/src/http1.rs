//! HTTP/1.1 without I/O: heads by `httparse`, the framing of bodies, and their decoding.

use bytes::{Buf, Bytes, BytesMut};
use snafu::Snafu;

/// Most header fields of a message.
const MOST_FIELDS: usize = 96;
/// Longest line of a chunk's size, with its extensions, and longest trailer section.
const MOST_LINE: usize = 4096;

/// Why a message can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Malformed {
    /// Not HTTP, or framed in two ways.
    #[snafu(display("malformed: {what}"))]
    Syntax {
        /// The place.
        what: &'static str,
    },
    /// More than is taken.
    #[snafu(display("too large"))]
    TooLarge,
}

fn syntax<T>(what: &'static str) -> Result<T, Malformed> {
    SyntaxSnafu { what }.fail()
}

#[derive(Clone, Copy, Debug)]
struct Span {
    at: usize,
    len: usize,
}

impl Span {
    fn of(base: &[u8], part: &[u8]) -> Span {
        // Both come from one buffer; for an empty part the place does not matter.
        Span { at: (part.as_ptr() as usize).saturating_sub(base.as_ptr() as usize), len: part.len() }
    }
}

/// The fields of a head, in order and in their own case.
#[derive(Clone, Debug, Default)]
pub struct Fields {
    raw: Bytes,
    spans: Vec<(Span, Span)>,
}

impl Fields {
    fn span(&self, span: Span) -> &[u8] {
        self.raw.get(span.at..span.at + span.len).unwrap_or_default()
    }

    /// All fields: names and values.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.spans.iter().map(|(n, v)| (self.span(*n), self.span(*v)))
    }

    /// The value of the first field of this name, in any case.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.iter().find(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes())).map(|(_, v)| v)
    }

    /// The value of the first field of this name as text.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(|v| std::str::from_utf8(v).ok()).map(str::trim)
    }

    /// The values of all fields of this name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes())).map(|(_, v)| v)
    }

    /// Whether a list field of this name holds the token.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .flat_map(|v| v.split(|b| *b == b','))
            .any(|t| t.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    }

    /// Whether a field concerns only the connection that it came on.
    pub fn hop_by_hop(&self, name: &[u8]) -> bool {
        const NAMES: [&str; 9] = [
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
        ];
        NAMES.iter().any(|n| name.eq_ignore_ascii_case(n.as_bytes()))
            || std::str::from_utf8(name).is_ok_and(|n| self.has_token("connection", n))
    }
}

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes.
    Length(u64),
    /// In chunks.
    Chunked,
    /// Until the connection ends.
    UntilEnd,
}

/// A length or chunks; both, several lengths or another coding are how requests are smuggled: refused.
fn framing(fields: &Fields) -> Result<Option<Framing>, Malformed> {
    let mut codings = fields.all("transfer-encoding");
    let mut lengths = fields.all("content-length");
    let length = lengths.next();
    if lengths.next().is_some() {
        return syntax("content-length");
    }
    match (codings.next(), codings.next()) {
        (None, _) => {}
        (Some(coding), None) if length.is_none() && coding.eq_ignore_ascii_case(b"chunked") => {
            return Ok(Some(Framing::Chunked))
        }
        _ => return syntax("transfer-encoding"),
    }
    let Some(length) = length else { return Ok(None) };
    if length.is_empty() || !length.iter().all(u8::is_ascii_digit) {
        return syntax("content-length");
    }
    match std::str::from_utf8(length).ok().and_then(|l| l.parse().ok()) {
        Some(n) => Ok(Some(Framing::Length(n))),
        None => Err(Malformed::TooLarge),
    }
}

/// Head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    method: Span,
    target: Span,
    /// Minor version of HTTP/1.
    pub minor: u8,
    /// Its fields.
    pub fields: Fields,
    /// How the body is framed; no framing stands for none.
    pub framing: Option<Framing>,
}

impl RequestHead {
    /// Takes a head off the front of `buf`; `None` where more has to come.
    ///
    /// # Errors
    /// Where it is no head, is framed in two ways, or is larger than `most` bytes.
    pub fn take(buf: &mut BytesMut, most: usize) -> Result<Option<Self>, Malformed> {
        let mut slots = [httparse::EMPTY_HEADER; MOST_FIELDS];
        let mut head = httparse::Request::new(&mut slots);
        let n = match head.parse(buf) {
            Ok(httparse::Status::Complete(n)) if n <= most => n,
            Ok(httparse::Status::Partial) if buf.len() < most => return Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Malformed::TooLarge),
            Err(_) => return syntax("request"),
        };
        let method = Span::of(buf, head.method.unwrap_or_default().as_bytes());
        let target = Span::of(buf, head.path.unwrap_or_default().as_bytes());
        let minor = head.version.unwrap_or(1);
        let spans = spans(buf, head.headers);
        let fields = Fields { raw: buf.split_to(n).freeze(), spans };
        let framing = framing(&fields)?;
        // A second host is how requests are led past a route.
        if fields.all("host").nth(1).is_some() {
            return syntax("host");
        }
        if minor == 0 && framing == Some(Framing::Chunked) {
            return syntax("transfer-encoding");
        }
        let head = Self { method, target, minor, fields, framing };
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
        self.target().split(|b| *b == b'?').next().unwrap_or_default()
    }

    /// The host asked for, without its port.
    pub fn host(&self) -> Option<&str> {
        let named = authority(self.fields.span(self.target)).map(|(host, _)| host);
        let host = std::str::from_utf8(named.or_else(|| self.fields.get("host"))?).ok()?.trim();
        Some(
            host.rsplit_once(':')
                .filter(|(_, p)| p.bytes().all(|b| b.is_ascii_digit()))
                .map_or(host, |h| h.0),
        )
    }

    /// Whether the connection may be used for another request.
    pub fn keeps_alive(&self) -> bool {
        match self.minor {
            0 => self.fields.has_token("connection", "keep-alive"),
            _ => !self.fields.has_token("connection", "close"),
        }
    }
}

/// Authority and rest of a target in absolute form.
fn authority(target: &[u8]) -> Option<(&[u8], &[u8])> {
    let rest = target.strip_prefix(b"http://").or_else(|| target.strip_prefix(b"https://"))?;
    Some(rest.split_at(rest.iter().position(|b| *b == b'/' || *b == b'?').unwrap_or(rest.len())))
}

fn spans(base: &[u8], headers: &[httparse::Header]) -> Vec<(Span, Span)> {
    headers.iter().map(|h| (Span::of(base, h.name.as_bytes()), Span::of(base, h.value))).collect()
}

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

impl ResponseHead {
    /// Takes a head off the front of `buf`; `None` where more has to come. `to_head` says that it answers a
    /// `HEAD`, where no body follows.
    ///
    /// # Errors
    /// Where it is no head, is framed in two ways, or is larger than `most` bytes.
    pub fn take(buf: &mut BytesMut, most: usize, to_head: bool) -> Result<Option<Self>, Malformed> {
        let mut slots = [httparse::EMPTY_HEADER; MOST_FIELDS];
        let mut head = httparse::Response::new(&mut slots);
        let n = match head.parse(buf) {
            Ok(httparse::Status::Complete(n)) if n <= most => n,
            Ok(httparse::Status::Partial) if buf.len() < most => return Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Malformed::TooLarge),
            Err(_) => return syntax("answer"),
        };
        let status = head.code.unwrap_or_default();
        let reason = Span::of(buf, head.reason.unwrap_or_default().as_bytes());
        let minor = head.version.unwrap_or(1);
        let spans = spans(buf, head.headers);
        let fields = Fields { raw: buf.split_to(n).freeze(), spans };
        let framing = match status {
            100..=199 | 204 | 304 => Framing::Length(0),
            _ if to_head => Framing::Length(0),
            _ => framing(&fields)?.unwrap_or(Framing::UntilEnd),
        };
        Ok(Some(Self { status, reason, minor, fields, framing }))
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

/// What comes next of a body.
#[derive(Debug, PartialEq, Eq)]
pub enum Piece {
    /// Bytes of it.
    Data(Bytes),
    /// Nothing until more is read.
    More,
    /// It is whole.
    End,
}

#[derive(Debug)]
enum Part {
    Size,
    Data(u64),
    DataEnd,
    Trailer(usize),
    Done,
}

/// Decodes a body.
#[derive(Debug)]
pub struct Body {
    framing: Framing,
    part: Part,
}

impl Body {
    /// A body framed in this way.
    pub fn new(framing: Framing) -> Self {
        let part = match framing {
            Framing::Length(0) => Part::Done,
            Framing::Length(n) => Part::Data(n),
            Framing::Chunked => Part::Size,
            Framing::UntilEnd => Part::Data(u64::MAX),
        };
        Self { framing, part }
    }

    /// Whether the end of the connection is the body's end.
    pub fn ends_with_connection(&self) -> bool {
        self.framing == Framing::UntilEnd
    }

    /// Takes what comes next off the front of `buf`.
    ///
    /// # Errors
    /// Where chunks are malformed.
    pub fn take(&mut self, buf: &mut BytesMut) -> Result<Piece, Malformed> {
        loop {
            match &mut self.part {
                Part::Done => return Ok(Piece::End),
                Part::Data(_) if buf.is_empty() => return Ok(Piece::More),
                Part::Data(left) => {
                    let n = usize::try_from(*left).unwrap_or(usize::MAX).min(buf.len());
                    if self.framing != Framing::UntilEnd {
                        *left -= n as u64;
                    }
                    let data = buf.split_to(n).freeze();
                    if *left == 0 {
                        self.part = if self.framing == Framing::Chunked { Part::DataEnd } else { Part::Done };
                    }
                    return Ok(Piece::Data(data));
                }
                Part::DataEnd => match buf.first_chunk::<2>() {
                    Some(b"\r\n") => {
                        buf.advance(2);
                        self.part = Part::Size;
                    }
                    Some(_) => return syntax("chunk"),
                    None => return Ok(Piece::More),
                },
                Part::Size => match httparse::parse_chunk_size(buf) {
                    Ok(httparse::Status::Complete((n, size))) => {
                        buf.advance(n);
                        self.part = if size == 0 { Part::Trailer(0) } else { Part::Data(size) };
                    }
                    Ok(httparse::Status::Partial) if buf.len() < MOST_LINE => return Ok(Piece::More),
                    _ => return syntax("chunk"),
                },
                Part::Trailer(seen) => match buf.iter().position(|b| *b == b'\n') {
                    Some(n) => {
                        *seen += n;
                        let (last, over) = (buf[..n].trim_ascii_end().is_empty(), *seen > MOST_LINE);
                        buf.advance(n + 1);
                        if over {
                            return syntax("trailer");
                        }
                        if last {
                            self.part = Part::Done;
                        }
                    }
                    None if buf.len() < MOST_LINE => return Ok(Piece::More),
                    None => return syntax("trailer"),
                },
            }
        }
    }
}
