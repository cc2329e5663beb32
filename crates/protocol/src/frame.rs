//! Frames, which delimit messages on a stream and in datagrams.
//!
//! | bytes | content |
//! | --- | --- |
//! | 4 | length of all that follows, little-endian |
//! | 1 | [`FRAME_VERSION`] |
//! | length - 1 | one [`Message`] |

use crate::codec::{decode_record, encode_record};
use crate::error::{DecodeError, LengthSnafu, VersionSnafu};
use crate::format::{FRAME_VERSION, MAX_FRAME_BYTES};
use crate::message::Message;

/// Size of the length field at the start of a frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// Size of the length and version fields together, in bytes.
const HEADER_BYTES: usize = LENGTH_BYTES + 1;

/// Encodes a message as a frame. The caller must keep the message below [`MAX_FRAME_BYTES`]; the size isn't checked.
pub fn encode(message: &Message) -> Vec<u8> {
    let body = encode_record(message);
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend_from_slice(&(body.len() as u32 + 1).to_le_bytes());
    frame.push(FRAME_VERSION);
    frame.extend_from_slice(&body);
    frame
}

/// Decodes the frame at the start of `bytes`. Returns the message and the length of the whole frame in bytes, or `None`
/// if the frame is incomplete.
///
/// # Errors
/// Fails if the bytes are not a frame of this version. The connection that they came from can't be used any longer.
pub fn decode(bytes: &[u8]) -> Result<Option<(Message, usize)>, DecodeError> {
    let Some(header) = bytes.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*header) as usize;
    if length == 0 || length > MAX_FRAME_BYTES {
        return LengthSnafu { length }.fail();
    }
    let Some(&version) = bytes.get(LENGTH_BYTES) else {
        return Ok(None);
    };
    if version != FRAME_VERSION {
        return VersionSnafu { version }.fail();
    }
    let end = LENGTH_BYTES + length;
    let Some(body) = bytes.get(HEADER_BYTES..end) else {
        return Ok(None);
    };
    Ok(Some((decode_record(body)?, end)))
}
