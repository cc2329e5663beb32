//! Chunk-size lines (RFC 9112, section 7.1).

use crate::error::{syntax_error, ParseError};

/// Maximum length of a chunk-size line with its extensions, and of a whole trailer section.
pub(crate) const MAX_CHUNK_LINE_BYTES: usize = 4096;
/// Maximum number of hexadecimal digits in a chunk size: the most that fit into 64 bits.
const MAX_SIZE_DIGITS: usize = 16;

/// A parsed chunk-size line.
pub(crate) struct ChunkSizeLine {
    /// Length of the line in bytes, including its line ending.
    pub(crate) line_bytes: usize,
    /// Length of the chunk's data in bytes; 0 for the last chunk.
    pub(crate) chunk_bytes: u64,
}

/// Parses a chunk-size line; `None` if more input is needed. A line without digits is an error, as a size read as 0
/// would mark it as the last chunk.
pub(crate) fn parse_chunk_size(input: &[u8]) -> Result<Option<ChunkSizeLine>, ParseError> {
    let Some(line_end) = input.iter().position(|byte| *byte == b'\n') else {
        return if is_within_limits(input) {
            Ok(None)
        } else {
            syntax_error("chunk")
        };
    };
    let line = input
        .get(..line_end)
        .and_then(|line| line.strip_suffix(b"\r"));
    match line.and_then(chunk_size) {
        Some(chunk_bytes) => Ok(Some(ChunkSizeLine {
            line_bytes: line_end + 1,
            chunk_bytes,
        })),
        None => syntax_error("chunk"),
    }
}

/// Returns whether an incomplete chunk-size line is still within the limits.
fn is_within_limits(input: &[u8]) -> bool {
    let too_many_digits = input.len() > MAX_SIZE_DIGITS
        && input
            .iter()
            .take(MAX_SIZE_DIGITS + 1)
            .all(u8::is_ascii_hexdigit);
    input.len() < MAX_CHUNK_LINE_BYTES && !too_many_digits
}

/// Parses the chunk size in a complete line without its line ending; `None` if the line is malformed.
fn chunk_size(line: &[u8]) -> Option<u64> {
    let has_control = line
        .iter()
        .any(|byte| byte.is_ascii_control() && *byte != b'\t');
    if line.len() > MAX_CHUNK_LINE_BYTES || has_control {
        return None;
    }
    let digit_count = line
        .iter()
        .position(|byte| !byte.is_ascii_hexdigit())
        .unwrap_or(line.len());
    let (digits, rest) = line.split_at(digit_count);
    let extension = rest.trim_ascii_start();
    if digits.is_empty() || digits.len() > MAX_SIZE_DIGITS {
        return None;
    }
    if !extension.is_empty() && !extension.starts_with(b";") {
        return None;
    }
    u64::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
}
