//! Parse errors.

use snafu::Snafu;

/// Reason why a message can't be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ParseError {
    /// The message isn't valid HTTP/1, or is ambiguous.
    #[snafu(display("malformed: {what}"))]
    Syntax {
        /// The malformed part of the message, such as `request` or `chunk`.
        what: &'static str,
    },
    /// The head exceeds its [limits](crate::HeadLimits).
    #[snafu(display("too large"))]
    HeadTooLarge,
    /// The value of `Content-Length` doesn't fit into 64 bits.
    #[snafu(display("length too large"))]
    LengthOverflow,
}

/// Returns [`ParseError::Syntax`] for the named part of the message.
pub(crate) fn syntax_error<T>(what: &'static str) -> Result<T, ParseError> {
    SyntaxSnafu { what }.fail()
}
