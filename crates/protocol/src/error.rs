//! Why received or stored bytes can't be decoded.

use snafu::Snafu;

use crate::format::FRAME_VERSION;

/// Why bytes are not a valid frame or record.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DecodeError {
    /// The frame's length is 0 or above [`MAX_FRAME_BYTES`](crate::MAX_FRAME_BYTES).
    #[snafu(display("a frame of {length} bytes"))]
    Length {
        /// The length in the frame's header, in bytes.
        length: usize,
    },
    /// The frame has another format version.
    #[snafu(display("a frame of version {version}, {FRAME_VERSION} is spoken"))]
    Version {
        /// The version in the frame's header.
        version: u8,
    },
    /// The content is not a value of the expected type.
    #[snafu(display("unreadable: {detail}"))]
    Content {
        /// What is wrong.
        detail: String,
    },
}
