//! Limits on the size of a message head.

/// Most fields that a head can have, whatever the caller's limits are.
pub const MAX_FIELDS: usize = 96;

/// Limits on the size of a message head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadLimits {
    /// Size in bytes, from the start line up to and with the blank line.
    pub max_bytes: usize,
    /// Number of fields, at most [`MAX_FIELDS`].
    pub max_fields: usize,
}

impl HeadLimits {
    /// Limits of `max_bytes` bytes and [`MAX_FIELDS`] fields.
    pub const fn with_max_bytes(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            max_fields: MAX_FIELDS,
        }
    }
}

impl Default for HeadLimits {
    /// 16 KiB and [`MAX_FIELDS`] fields.
    fn default() -> Self {
        Self::with_max_bytes(16 * 1024)
    }
}
