//! Parsing steps that requests and responses share.

use crate::error::{syntax_error, ParseError};
use crate::limits::HeadLimits;

/// A head parsed from the front of an input, with its parts of type `T`.
pub(crate) struct Parsed<T> {
    /// Length of the head in the input, in bytes.
    pub(crate) head_bytes: usize,
    pub(crate) parts: T,
}

/// Returns whether each line ends with CR LF. Some recipients accept a lone LF as a line ending and others don't.
pub(crate) fn lines_end_with_crlf(head: &[u8]) -> bool {
    head.iter()
        .enumerate()
        .all(|(index, byte)| *byte != b'\n' || (index > 0 && head.get(index - 1) == Some(&b'\r')))
}

/// Converts the result of `httparse` into the length of the head in bytes; `None` if more input is needed. `what` names
/// the kind of head in errors.
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
