//! What the heads of requests and responses have in common.

use crate::error::{syntax_error, ParseError};
use crate::limits::HeadLimits;

/// A head parsed from the front of an input.
pub(crate) struct Parsed<T> {
    /// Length of the head in the input.
    pub(crate) head_bytes: usize,
    pub(crate) parts: T,
}

/// Whether each line ends with CR and LF. Some readers take a lone LF for the end of a line and others don't.
pub(crate) fn lines_end_with_crlf(head: &[u8]) -> bool {
    head.iter()
        .enumerate()
        .all(|(at, byte)| *byte != b'\n' || (at > 0 && head.get(at - 1) == Some(&b'\r')))
}

/// The length of a head by what `httparse` made of an input; `None` if more input is needed. `what` names the kind of
/// head in errors.
pub(crate) fn head_length(
    parsed: httparse::Result<usize>,
    input_bytes: usize,
    limits: HeadLimits,
    what: &'static str,
) -> Result<Option<usize>, ParseError> {
    match parsed {
        Ok(httparse::Status::Complete(length)) if length <= limits.max_bytes => Ok(Some(length)),
        Ok(httparse::Status::Partial) if input_bytes < limits.max_bytes => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(ParseError::HeadTooLarge),
        Err(_) => syntax_error(what),
    }
}
