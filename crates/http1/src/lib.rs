//! HTTP/1.1 without I/O, for the program in service and the system's proxy alike: heads by `httparse`, the
//! framing of bodies, and their decoding.
//!
//! ```
//! use http1::{Body, Framing, Piece, RequestHead, MOST};
//! let mut buf = bytes::BytesMut::from("POST /a?b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n");
//! let head = RequestHead::take(&mut buf, MOST).unwrap().expect("a whole head");
//! assert_eq!((head.method(), head.path()), (&b"POST"[..], &b"/a"[..]));
//! let mut body = Body::new(head.framing.unwrap());
//! assert_eq!(body.take(&mut buf), Ok(Piece::Data("hi".into())));
//! assert_eq!(body.take(&mut buf), Ok(Piece::More));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use bytes::{Buf, Bytes, BytesMut};
use snafu::Snafu;

/// Bounds on a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadLimits {
    /// Bytes, with the blank line.
    pub bytes: usize,
    /// Fields; [`MOST`]'s are the most that can be.
    pub fields: usize,
}

/// The widest bounds on fields, and the usual ones on bytes.
pub const MOST: HeadLimits = HeadLimits { bytes: 16 * 1024, fields: 96 };

impl HeadLimits {
    /// So many bytes, and as many fields as can be.
    pub const fn bytes(bytes: usize) -> Self {
        Self { bytes, fields: MOST.fields }
    }
}

/// Longest line of a chunk's size, with its extensions, and longest trailer section.
const MOST_LINE: usize = 4096;
/// Digits of a chunk's size: as many as fill 64 bits.
const MAX_SIZE_DIGITS: usize = 16;

/// Why a message can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Malformed {
    /// Not HTTP, or framed in two ways.
    #[snafu(display("malformed: {what}"))]
    Syntax {
        /// The place.
        what: &'static str,
    },
    /// A head of more than is taken.
    #[snafu(display("too large"))]
    TooLarge,
    /// A body of a length that can't be counted.
    #[snafu(display("length too large"))]
    LengthTooLarge,
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

impl Framing {
    /// How the fields of a message frame its body; `None` where they say nothing. A length or chunks: both,
    /// several lengths or another coding are how requests are smuggled.
    ///
    /// # Errors
    /// Where they could be read in two ways.
    pub fn of(fields: &Fields) -> Result<Option<Framing>, Malformed> {
        let mut lengths = fields.all("content-length");
        let length = lengths.next();
        if lengths.any(|l| Some(l) != length) {
            return syntax("content-length");
        }
        let mut codings = fields.all("transfer-encoding");
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
            None => Err(Malformed::LengthTooLarge),
        }
    }
}

/// The usual words after a status.
pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}

/// Whether each line ends with CR and LF: a lone LF ends a line for some readers and not for others.
fn lines_end_with_crlf(head: &[u8]) -> bool {
    head.iter().enumerate().all(|(at, byte)| *byte != b'\n' || (at > 0 && head.get(at - 1) == Some(&b'\r')))
}

/// Reads the line of a chunk's size: its length and the size; `None` where more has to come. A size has digits,
/// and a line that has none must not pass for the last chunk's.
fn chunk_size(input: &[u8]) -> Result<Option<(usize, u64)>, Malformed> {
    let Some(end) = input.iter().position(|b| *b == b'\n') else {
        let plain = input.iter().take(MAX_SIZE_DIGITS + 1).all(|b| b.is_ascii_hexdigit());
        return match input.len() {
            0 => Ok(None),
            n if n < MOST_LINE && !(plain && n > MAX_SIZE_DIGITS) => Ok(None),
            _ => syntax("chunk"),
        };
    };
    let Some(line) = input.get(..end).and_then(|l| l.strip_suffix(b"\r")) else { return syntax("chunk") };
    if line.len() > MOST_LINE || line.iter().any(|b| b.is_ascii_control() && *b != b'\t') {
        return syntax("chunk");
    }
    let (digits, extension) =
        line.split_at(line.iter().position(|b| !b.is_ascii_hexdigit()).unwrap_or(line.len()));
    let rest = extension.trim_ascii_start();
    if digits.is_empty() || digits.len() > MAX_SIZE_DIGITS || !(rest.is_empty() || rest.starts_with(b";")) {
        return syntax("chunk");
    }
    let size = std::str::from_utf8(digits).ok().and_then(|d| u64::from_str_radix(d, 16).ok());
    match size {
        Some(size) => Ok(Some((end + 1, size))),
        None => syntax("chunk"),
    }
}

/// The part of a head that stands at the front of some bytes: its length, and how to read it from them.
type Found<T> = Result<Option<(usize, T)>, Malformed>;

/// What became of parsing a head.
fn found(
    parsed: httparse::Result<usize>,
    len: usize,
    most: HeadLimits,
    what: &'static str,
) -> Result<Option<usize>, Malformed> {
    match parsed {
        Ok(httparse::Status::Complete(n)) if n <= most.bytes => Ok(Some(n)),
        Ok(httparse::Status::Partial) if len < most.bytes => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(Malformed::TooLarge),
        Err(_) => syntax(what),
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

struct RequestParts {
    method: Span,
    target: Span,
    minor: u8,
    spans: Vec<(Span, Span)>,
}

fn request(input: &[u8], most: HeadLimits) -> Found<RequestParts> {
    let mut slots = [httparse::EMPTY_HEADER; MOST.fields];
    let mut head = httparse::Request::new(slots.get_mut(..most.fields).unwrap_or_default());
    let Some(n) = found(head.parse(input), input.len(), most, "request")? else { return Ok(None) };
    let parts = RequestParts {
        method: Span::of(input, head.method.unwrap_or_default().as_bytes()),
        target: Span::of(input, head.path.unwrap_or_default().as_bytes()),
        minor: head.version.unwrap_or(1),
        spans: spans(input, head.headers),
    };
    Ok(Some((n, parts)))
}

impl RequestHead {
    fn of(parts: RequestParts, raw: Bytes) -> Result<Self, Malformed> {
        let RequestParts { method, target, minor, spans } = parts;
        let fields = Fields { raw, spans };
        let framing = Framing::of(&fields)?;
        Ok(Self { method, target, minor, fields, framing })
    }

    /// Reads a head at the front of `input`, with its length; `None` where more has to come.
    ///
    /// # Errors
    /// Where it is no head, is framed in two ways, or is larger than `most`.
    pub fn read(input: &[u8], most: HeadLimits) -> Result<Option<(Self, usize)>, Malformed> {
        let Some((n, parts)) = request(input, most)? else { return Ok(None) };
        let raw = Bytes::copy_from_slice(input.get(..n).unwrap_or_default());
        Ok(Some((Self::of(parts, raw)?, n)))
    }

    /// Takes a head off the front of `buf`; `None` where more has to come. What another program behind this one
    /// could read in another way is refused besides.
    ///
    /// # Errors
    /// As [`RequestHead::read`], and where a line ends with a lone LF, it names two hosts, an old version has chunks, or the target is none
    /// that a server is asked for.
    pub fn take(buf: &mut BytesMut, most: HeadLimits) -> Result<Option<Self>, Malformed> {
        let Some((n, parts)) = request(buf, most)? else { return Ok(None) };
        let head = Self::of(parts, buf.split_to(n).freeze())?;
        if !lines_end_with_crlf(&head.fields.raw) {
            return syntax("line");
        }
        if head.fields.all("host").nth(1).is_some() {
            return syntax("host");
        }
        if head.minor == 0 && head.framing == Some(Framing::Chunked) {
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

struct ResponseParts {
    status: u16,
    reason: Span,
    minor: u8,
    spans: Vec<(Span, Span)>,
}

fn response(input: &[u8], most: HeadLimits) -> Found<ResponseParts> {
    let mut slots = [httparse::EMPTY_HEADER; MOST.fields];
    let mut head = httparse::Response::new(slots.get_mut(..most.fields).unwrap_or_default());
    let Some(n) = found(head.parse(input), input.len(), most, "response")? else { return Ok(None) };
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
        let ResponseParts { status, reason, minor, spans } = parts;
        let fields = Fields { raw, spans };
        let framing = match status {
            100..=199 | 204 | 304 => Framing::Length(0),
            _ if to_head => Framing::Length(0),
            _ => Framing::of(&fields)?.unwrap_or(Framing::UntilEnd),
        };
        Ok(Self { status, reason, minor, fields, framing })
    }

    /// Reads a head at the front of `input`, with its length; `None` where more has to come. `to_head` says that
    /// it answers a `HEAD`, where no body follows.
    ///
    /// # Errors
    /// Where it is no head, is framed in two ways, or is larger than `most`.
    pub fn read(input: &[u8], most: HeadLimits, to_head: bool) -> Result<Option<(Self, usize)>, Malformed> {
        let Some((n, parts)) = response(input, most)? else { return Ok(None) };
        let raw = Bytes::copy_from_slice(input.get(..n).unwrap_or_default());
        Ok(Some((Self::of(parts, raw, to_head)?, n)))
    }

    /// Takes a head off the front of `buf`, as [`ResponseHead::read`] reads it.
    ///
    /// # Errors
    /// As [`ResponseHead::read`], and where a line ends with a lone LF.
    pub fn take(buf: &mut BytesMut, most: HeadLimits, to_head: bool) -> Result<Option<Self>, Malformed> {
        let Some((n, parts)) = response(buf, most)? else { return Ok(None) };
        let head = Self::of(parts, buf.split_to(n).freeze(), to_head)?;
        match lines_end_with_crlf(&head.fields.raw) {
            true => Ok(Some(head)),
            false => syntax("line"),
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

/// What stands at the front of the bytes of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// So many bytes that frame it.
    Frame(usize),
    /// So many bytes of the body itself.
    Data(usize),
    /// Nothing until more is read.
    More,
    /// Its end.
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

    /// Whether bytes of the body itself come next: any run of them can be looked at then, not only whole lines.
    pub fn in_data(&self) -> bool {
        matches!(self.part, Part::Data(_))
    }

    /// Reads what comes next at the front of `input`; what it tells of is passed.
    ///
    /// # Errors
    /// Where chunks are malformed.
    pub fn step(&mut self, input: &[u8]) -> Result<Step, Malformed> {
        match &mut self.part {
            Part::Done => Ok(Step::End),
            Part::Data(_) if input.is_empty() => Ok(Step::More),
            Part::Data(left) => {
                let n = usize::try_from(*left).unwrap_or(usize::MAX).min(input.len());
                if self.framing != Framing::UntilEnd {
                    *left -= n as u64;
                }
                if *left == 0 {
                    self.part = if self.framing == Framing::Chunked { Part::DataEnd } else { Part::Done };
                }
                Ok(Step::Data(n))
            }
            Part::DataEnd => match input.first_chunk::<2>() {
                Some(b"\r\n") => {
                    self.part = Part::Size;
                    Ok(Step::Frame(2))
                }
                Some(_) => syntax("chunk"),
                None => Ok(Step::More),
            },
            Part::Size => match chunk_size(input)? {
                Some((n, size)) => {
                    self.part = if size == 0 { Part::Trailer(0) } else { Part::Data(size) };
                    Ok(Step::Frame(n))
                }
                None => Ok(Step::More),
            },
            Part::Trailer(seen) => match input.iter().position(|b| *b == b'\n') {
                Some(n) => {
                    *seen += n;
                    if *seen > MOST_LINE {
                        return syntax("trailer");
                    }
                    match input.get(..n).and_then(|l| l.strip_suffix(b"\r")) {
                        Some([]) => self.part = Part::Done,
                        Some(field) if field.contains(&b':') => {}
                        _ => return syntax("trailer"),
                    }
                    Ok(Step::Frame(n + 1))
                }
                None if input.len() < MOST_LINE => Ok(Step::More),
                None => syntax("trailer"),
            },
        }
    }

    /// Takes what comes next off the front of `buf`.
    ///
    /// # Errors
    /// Where chunks are malformed.
    pub fn take(&mut self, buf: &mut BytesMut) -> Result<Piece, Malformed> {
        loop {
            match self.step(buf)? {
                Step::Frame(n) => buf.advance(n),
                Step::Data(n) => return Ok(Piece::Data(buf.split_to(n).freeze())),
                Step::More => return Ok(Piece::More),
                Step::End => return Ok(Piece::End),
            }
        }
    }
}
