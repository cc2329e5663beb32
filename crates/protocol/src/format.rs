//! Version and size limit of the frame format.

/// Version of the frame format. A receiver closes the connection on a frame of any other version.
pub const FRAME_VERSION: u8 = 2;

/// Largest length that a frame's header may give, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
