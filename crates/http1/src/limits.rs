//! Bounds on heads.

/// Bounds on a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadLimits {
    /// Bytes, with the blank line.
    pub bytes: usize,
    /// Fields; [`MOST`]'s are the most that can be.
    pub fields: usize,
}

/// The widest bounds on fields, and the usual ones on bytes.
pub const MOST: HeadLimits = HeadLimits {
    bytes: 16 * 1024,
    fields: 96,
};

impl HeadLimits {
    /// So many bytes, and as many fields as can be.
    pub const fn bytes(bytes: usize) -> Self {
        Self {
            bytes,
            fields: MOST.fields,
        }
    }
}
