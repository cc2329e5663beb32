//! What names, values and times may be, and how large the state may grow.

use snafu::Snafu;

/// The longest name of a lock, a counter, a cell or a holder, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// The longest value of a cell, in bytes.
pub const MAX_VALUE_BYTES: usize = 64 << 10;
/// The longest time for which a lock may be held without a renewal, in ms.
pub const MAX_HOLD_MS: u32 = 600_000;
/// The longest time for which a watch may wait, in ms.
pub const MAX_WAIT_MS: u32 = 30_000;
/// The most bytes that locks, numbers and cells may take together: a whole state, configuration included, fits into one
/// frame and one record.
pub const MAX_STATE_BYTES: usize = 4 << 20;

/// A state of more bytes is short of memory: what nobody needs any more is dropped.
pub(crate) const SHORT_OF_MEMORY_BYTES: usize = MAX_STATE_BYTES / 2;

/// Why a field of a request can't be taken.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum InvalidField {
    /// It is empty.
    #[snafu(display("{field} is empty"))]
    Empty {
        /// The field.
        field: &'static str,
    },
    /// It is too long.
    #[snafu(display("{field} has more than {limit} bytes"))]
    TooLong {
        /// The field.
        field: &'static str,
        /// The most bytes that it may have.
        limit: usize,
    },
    /// It holds control characters.
    #[snafu(display("{field} holds a control character"))]
    ControlCharacter {
        /// The field.
        field: &'static str,
    },
    /// It is out of bounds.
    #[snafu(display("{field} is not between 1 and {limit}"))]
    OutOfBounds {
        /// The field.
        field: &'static str,
        /// The largest value.
        limit: u32,
    },
    /// A group's name has no dot at its end, or one before it.
    #[snafu(display("a group is named by what its cells begin with, up to the first dot"))]
    NoGroup,
}

/// Checks the name of a lock, a counter, a cell or a holder.
///
/// # Errors
/// If it is empty, too long, or holds control characters.
pub fn check_name(field: &'static str, name: &str) -> Result<(), InvalidField> {
    if name.is_empty() {
        return EmptySnafu { field }.fail();
    }
    if name.len() > MAX_NAME_BYTES {
        let limit = MAX_NAME_BYTES;
        return TooLongSnafu { field, limit }.fail();
    }
    if name.chars().any(char::is_control) {
        return ControlCharacterSnafu { field }.fail();
    }
    Ok(())
}

/// Checks the name of a group: it ends at its first dot.
///
/// # Errors
/// As [`check_name`], and if it doesn't end at its first dot.
pub fn check_group_name(name: &str) -> Result<(), InvalidField> {
    check_name("the group", name)?;
    let ends_at_first_dot = name.find('.') == Some(name.len() - 1);
    if ends_at_first_dot {
        Ok(())
    } else {
        NoGroupSnafu.fail()
    }
}

/// Checks a cell's value.
///
/// # Errors
/// If it is too long.
pub fn check_value(value: &str) -> Result<(), InvalidField> {
    if value.len() > MAX_VALUE_BYTES {
        let (field, limit) = ("the value", MAX_VALUE_BYTES);
        return TooLongSnafu { field, limit }.fail();
    }
    Ok(())
}

/// Checks for how long a lock is to be held; `hold_ms` as it was sent, in ms. A fraction is rounded up.
///
/// # Errors
/// If it is not above 0 or too long.
pub fn check_hold_ms(hold_ms: f64) -> Result<u32, InvalidField> {
    if hold_ms > 0.0 && hold_ms <= f64::from(MAX_HOLD_MS) {
        return Ok(hold_ms.ceil() as u32);
    }
    let (field, limit) = ("hold_ms", MAX_HOLD_MS);
    OutOfBoundsSnafu { field, limit }.fail()
}
