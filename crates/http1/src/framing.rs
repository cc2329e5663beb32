//! How a message's fields delimit its body (RFC 9112, section 6).

use crate::error::{syntax_error, ParseError};
use crate::fields::Fields;

/// How the end of a body is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// `Content-Length`, in bytes.
    Length(u64),
    /// `Transfer-Encoding: chunked`.
    Chunked,
    /// The body ends with the connection. Only responses have it.
    CloseDelimited,
}

impl Framing {
    /// The framing that a message's fields ask for; `None` if they say nothing of it.
    ///
    /// # Errors
    /// [`ParseError::Syntax`] if two readers could disagree, which allows request smuggling: a length and chunks, two
    /// lengths that differ, another transfer coding. [`ParseError::LengthOverflow`] for a length beyond 64 bits.
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
