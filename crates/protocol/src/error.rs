//! Errors of decoding received or stored bytes.

use snafu::Snafu;

use crate::format::FRAME_VERSION;

/// Error of decoding a frame or a record.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DecodeError {
    /// The frame's length is 0 or exceeds [`MAX_FRAME_BYTES`](crate::MAX_FRAME_BYTES).
    #[snafu(display("frame length of {length} bytes is 0 or above the limit"))]
    Length {
        /// Length given in the frame's header, in bytes.
        length: usize,
    },
    /// The frame's format version differs from [`FRAME_VERSION`](crate::FRAME_VERSION).
    #[snafu(display("frame version {version} is not supported, expected {FRAME_VERSION}"))]
    Version {
        /// Version given in the frame's header.
        version: u8,
    },
    /// The content doesn't encode a value of the expected type.
    #[snafu(display("invalid content: {detail}"))]
    Content {
        /// Description of the invalid part.
        detail: String,
    },
}
