//! Limits on the size of a message head.

/// Maximum number of fields in a head, whatever the caller's limits are.
pub const MAX_FIELDS: usize = 96;

/// Limits on the length and the number of fields of a message head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadLimits {
    /// Maximum length in bytes, from the start line up to and including the blank line.
    pub max_bytes: usize,
    /// Maximum number of fields, at most [`MAX_FIELDS`].
    pub max_fields: usize,
}

impl HeadLimits {
    /// Creates limits of `max_bytes` bytes and [`MAX_FIELDS`] fields.
    pub const fn with_max_bytes(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            max_fields: MAX_FIELDS,
        }
    }
}

impl Default for HeadLimits {
    /// Returns limits of 16 KiB and [`MAX_FIELDS`] fields.
    fn default() -> Self {
        Self::with_max_bytes(16 * 1024)
    }
}
