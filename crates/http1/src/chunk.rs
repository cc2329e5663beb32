//! The line of a chunk's size.

use crate::error::{syntax, ParseError};

/// Longest line of a chunk's size, with its extensions, and longest trailer section.
pub(crate) const MOST_LINE: usize = 4096;
/// Digits of a chunk's size: as many as fill 64 bits.
const MAX_SIZE_DIGITS: usize = 16;

/// Reads the line of a chunk's size: its length and the size; `None` where more has to come. A size has digits,
/// and a line that has none must not pass for the last chunk's.
pub(crate) fn chunk_size(input: &[u8]) -> Result<Option<(usize, u64)>, ParseError> {
    let Some(end) = input.iter().position(|b| *b == b'\n') else {
        let plain = input
            .iter()
            .take(MAX_SIZE_DIGITS + 1)
            .all(u8::is_ascii_hexdigit);
        return match input.len() {
            0 => Ok(None),
            n if n < MOST_LINE && !(plain && n > MAX_SIZE_DIGITS) => Ok(None),
            _ => syntax("chunk"),
        };
    };
    let Some(line) = input.get(..end).and_then(|l| l.strip_suffix(b"\r")) else {
        return syntax("chunk");
    };
    if line.len() > MOST_LINE || line.iter().any(|b| b.is_ascii_control() && *b != b'\t') {
        return syntax("chunk");
    }
    let (digits, extension) = line.split_at(
        line.iter()
            .position(|b| !b.is_ascii_hexdigit())
            .unwrap_or(line.len()),
    );
    let rest = extension.trim_ascii_start();
    if digits.is_empty()
        || digits.len() > MAX_SIZE_DIGITS
        || !(rest.is_empty() || rest.starts_with(b";"))
    {
        return syntax("chunk");
    }
    let size = std::str::from_utf8(digits)
        .ok()
        .and_then(|d| u64::from_str_radix(d, 16).ok());
    match size {
        Some(size) => Ok(Some((end + 1, size))),
        None => syntax("chunk"),
    }
}
