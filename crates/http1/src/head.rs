//! What heads of requests and of answers have in common.

use crate::error::{syntax, ParseError};
use crate::limits::HeadLimits;

/// Whether each line ends with CR and LF: a lone LF ends a line for some readers and not for others.
pub(crate) fn lines_end_with_crlf(head: &[u8]) -> bool {
    head.iter()
        .enumerate()
        .all(|(at, byte)| *byte != b'\n' || (at > 0 && head.get(at - 1) == Some(&b'\r')))
}

/// The part of a head that stands at the front of some bytes: its length, and how to read it from them.
pub(crate) type Found<T> = Result<Option<(usize, T)>, ParseError>;

/// What became of parsing a head.
pub(crate) fn found(
    parsed: httparse::Result<usize>,
    len: usize,
    limits: HeadLimits,
    what: &'static str,
) -> Result<Option<usize>, ParseError> {
    match parsed {
        Ok(httparse::Status::Complete(n)) if n <= limits.max_bytes => Ok(Some(n)),
        Ok(httparse::Status::Partial) if len < limits.max_bytes => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(ParseError::HeadTooLarge),
        Err(_) => syntax(what),
    }
}
