//! Version and size limit of the frame format.

/// Version of the format. A frame of another version ends its connection.
pub const FRAME_VERSION: u8 = 2;

/// The largest length that a frame's header may give, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
