//! Why a message can't be read.

use snafu::Snafu;

/// Why a message can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ParseError {
    /// Not HTTP, or framed in two ways.
    #[snafu(display("malformed: {what}"))]
    Syntax {
        /// The place.
        what: &'static str,
    },
    /// A head of more than is taken.
    #[snafu(display("too large"))]
    HeadTooLarge,
    /// A body of a length that can't be counted.
    #[snafu(display("length too large"))]
    LengthOverflow,
}

/// Refuses a message for its syntax at this place.
pub(crate) fn syntax<T>(what: &'static str) -> Result<T, ParseError> {
    SyntaxSnafu { what }.fail()
}
