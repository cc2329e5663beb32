//! Body framing, as determined by a message's fields (RFC 9112, section 6).

use crate::error::{syntax_error, ParseError};
use crate::fields::Fields;

/// Method by which the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// `Content-Length`, in bytes.
    Length(u64),
    /// `Transfer-Encoding: chunked`.
    Chunked,
    /// The body ends when the connection is closed; for responses only.
    CloseDelimited,
}

impl Framing {
    /// Determines the framing from a message's fields; `None` if they specify none.
    ///
    /// # Errors
    /// [`ParseError::Syntax`] if two recipients could interpret the fields differently, which allows request smuggling:
    /// both a length and a transfer coding, two different lengths, or a coding other than `chunked`.
    /// [`ParseError::LengthOverflow`] if the length doesn't fit into 64 bits.
    pub fn from_fields(fields: &Fields) -> Result<Option<Framing>, ParseError> {
        let mut lengths = fields.get_all("content-length");
        let length = lengths.next();
        if lengths.any(|other| Some(other) != length) {
            return syntax_error("content-length");
        }
        let mut codings = fields.get_all("transfer-encoding");
        match (codings.next(), codings.next(), length) {
            (None, _, None) => Ok(None),
            (None, _, Some(length)) => content_length(length).map(Some),
            (Some(coding), None, None) if coding.eq_ignore_ascii_case(b"chunked") => {
                Ok(Some(Framing::Chunked))
            }
            _ => syntax_error("transfer-encoding"),
        }
    }
}

fn content_length(value: &[u8]) -> Result<Framing, ParseError> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return syntax_error("content-length");
    }
    std::str::from_utf8(value)
        .ok()
        .and_then(|digits| digits.parse().ok())
        .map(Framing::Length)
        .ok_or(ParseError::LengthOverflow)
}
