//! Limits of names, values, times and the size of the state.

use snafu::Snafu;

/// Maximum length of the name of a lock, counter, cell or holder, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// Maximum length of a cell's value, in bytes.
pub const MAX_VALUE_BYTES: usize = 64 << 10;
/// Maximum time for which a lock may be held without a renewal, in ms.
pub const MAX_HOLD_MS: u32 = 600_000;
/// Maximum time for which a watch may wait, in ms.
pub const MAX_WAIT_MS: u32 = 30_000;
/// Maximum memory use of all locks, counters and cells together, in bytes. It keeps a complete snapshot, configuration
/// included, within one frame and one log record.
pub const MAX_STATE_BYTES: usize = 4 << 20;

/// State size in bytes above which memory is short: history and expired locks that nobody needs any longer are dropped.
pub(crate) const MEMORY_PRESSURE_BYTES: usize = MAX_STATE_BYTES / 2;

/// Reason to reject a field of a request.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum InvalidField {
    /// The field is empty.
    #[snafu(display("{field} is empty"))]
    Empty {
        /// Name of the field.
        field: &'static str,
    },
    /// The field is too long.
    #[snafu(display("{field} is longer than {limit} bytes"))]
    TooLong {
        /// Name of the field.
        field: &'static str,
        /// Maximum length of the field, in bytes.
        limit: usize,
    },
    /// The field holds control characters.
    #[snafu(display("{field} contains a control character"))]
    ControlCharacter {
        /// Name of the field.
        field: &'static str,
    },
    /// The number is out of bounds.
    #[snafu(display("{field} is not between 1 and {limit}"))]
    OutOfBounds {
        /// Name of the field.
        field: &'static str,
        /// Largest valid value.
        limit: u32,
    },
    /// A group's name doesn't end with a dot, or holds another one.
    #[snafu(display("the name of a group must end at its first dot"))]
    InvalidGroupName,
}

/// Checks the name of a lock, counter, cell or holder.
///
/// # Errors
/// [`InvalidField`] if the name is empty, too long, or holds control characters.
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

/// Checks the name of a group, which must end at its first dot.
///
/// # Errors
/// As [`check_name`], and [`InvalidField::InvalidGroupName`] if the name doesn't end at its first dot.
pub fn check_group_name(name: &str) -> Result<(), InvalidField> {
    check_name("the group", name)?;
    let ends_at_first_dot = name.find('.') == Some(name.len() - 1);
    if ends_at_first_dot {
        Ok(())
    } else {
        InvalidGroupNameSnafu.fail()
    }
}

/// Checks the value of a cell.
///
/// # Errors
/// [`InvalidField::TooLong`] if it exceeds [`MAX_VALUE_BYTES`].
pub fn check_value(value: &str) -> Result<(), InvalidField> {
    if value.len() > MAX_VALUE_BYTES {
        let (field, limit) = ("the value", MAX_VALUE_BYTES);
        return TooLongSnafu { field, limit }.fail();
    }
    Ok(())
}

/// Checks the requested hold time of a lock. `hold_ms` is the number in the request, in ms; a fraction is rounded up.
///
/// # Errors
/// [`InvalidField::OutOfBounds`] if it is not above 0, or above [`MAX_HOLD_MS`].
pub fn check_hold_ms(hold_ms: f64) -> Result<u32, InvalidField> {
    if hold_ms > 0.0 && hold_ms <= f64::from(MAX_HOLD_MS) {
        return Ok(hold_ms.ceil() as u32);
    }
    let (field, limit) = ("hold_ms", MAX_HOLD_MS);
    OutOfBoundsSnafu { field, limit }.fail()
}
