//! Errors of parsing.

use snafu::Snafu;

/// Why a message can't be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ParseError {
    /// It isn't HTTP/1, or could be read in two ways.
    #[snafu(display("malformed: {what}"))]
    Syntax {
        /// The part of the message at fault.
        what: &'static str,
    },
    /// The head is over its [limits](crate::HeadLimits).
    #[snafu(display("too large"))]
    HeadTooLarge,
    /// `Content-Length` doesn't fit into 64 bits.
    #[snafu(display("length too large"))]
    LengthOverflow,
}

/// Fails with [`ParseError::Syntax`].
pub(crate) fn syntax_error<T>(what: &'static str) -> Result<T, ParseError> {
    SyntaxSnafu { what }.fail()
}
