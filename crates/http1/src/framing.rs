//! How the fields of a message frame its body.

use crate::error::{syntax, ParseError};
use crate::fields::Fields;

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes.
    Length(u64),
    /// In chunks.
    Chunked,
    /// Until the connection ends.
    CloseDelimited,
}

impl Framing {
    /// How the fields of a message frame its body; `None` where they say nothing. A length or chunks: both,
    /// several lengths or another coding are how requests are smuggled.
    ///
    /// # Errors
    /// Where they could be read in two ways.
    pub fn from_fields(fields: &Fields) -> Result<Option<Framing>, ParseError> {
        let mut lengths = fields.get_all("content-length");
        let length = lengths.next();
        if lengths.any(|l| Some(l) != length) {
            return syntax("content-length");
        }
        let mut codings = fields.get_all("transfer-encoding");
        match (codings.next(), codings.next()) {
            (None, _) => {}
            (Some(coding), None) if length.is_none() && coding.eq_ignore_ascii_case(b"chunked") => {
                return Ok(Some(Framing::Chunked))
            }
            _ => return syntax("transfer-encoding"),
        }
        let Some(length) = length else {
            return Ok(None);
        };
        if length.is_empty() || !length.iter().all(u8::is_ascii_digit) {
            return syntax("content-length");
        }
        match std::str::from_utf8(length)
            .ok()
            .and_then(|l| l.parse().ok())
        {
            Some(n) => Ok(Some(Framing::Length(n))),
            None => Err(ParseError::LengthOverflow),
        }
    }
}
