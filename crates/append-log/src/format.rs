//! Encoding and decoding of the file format, without I/O. Numbers are little-endian; checksums are CRC-32C.
//!
//! | part | bytes | content |
//! | --- | --- | --- |
//! | file header | 8 | [`MAGIC`] |
//! | | 4 | format version |
//! | | 4 | checksum of the 12 bytes above |
//! | each record | 4 | length of its body in bytes |
//! | | 4 | distance back to the start of its batch in bytes; 0 for the first record of a batch |
//! | | 4 | checksum of its body |
//! | | 4 | checksum of its offset in the file (8 bytes) and the 12 bytes above |
//! | | length | body |
//!
//! A batch is the records of one write. A power loss during the write may leave out any part of the batch, but
//! everything before it was synced. A damaged record that is followed by complete records of a *later* batch is
//! therefore not a torn write. A record's header checksum covers its offset, so that bytes within a body or of an older
//! file are not taken for a record.

use crc::{Crc, Table, CRC_32_ISCSI};

/// First bytes of each file. The line end in it reveals a transfer that converted line ends.
pub const MAGIC: [u8; 8] = *b"furrow\r\n";

/// Format version that is written, and the newest that can be read.
pub const FORMAT_VERSION: u32 = 1;

/// Length of the file header in bytes, in all format versions.
pub const FILE_HEADER_BYTES: usize = 16;

/// Length of a record header in bytes.
pub const RECORD_HEADER_BYTES: usize = 16;

/// Largest body of a record, in bytes.
pub const MAX_RECORD_BYTES: usize = 16 << 20;

/// Largest batch, in bytes including the record headers.
pub const MAX_BATCH_BYTES: usize = 64 << 20;

static CRC32C: Crc<u32, Table<16>> = Crc::<u32, Table<16>>::new(&CRC_32_ISCSI);

/// The file header of a format version.
pub fn file_header(version: u32) -> [u8; FILE_HEADER_BYTES] {
    let mut bytes = [0; FILE_HEADER_BYTES];
    bytes[..8].copy_from_slice(&MAGIC);
    bytes[8..12].copy_from_slice(&version.to_le_bytes());
    let checksum = CRC32C.checksum(&bytes[..12]);
    bytes[12..].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

/// The format version in a file header; `None` if the header is incomplete or damaged.
pub fn file_header_version(bytes: &[u8]) -> Option<u32> {
    let bytes = bytes.first_chunk::<FILE_HEADER_BYTES>()?;
    let version = u32_at(bytes, 8);
    (*bytes == file_header(version)).then_some(version)
}

/// Appends an encoded record to `buffer`, whose first byte is at `base_offset` in the file.
///
/// `batch_offset` is the file offset of the batch's first record, `None` if this record is the first. The caller checks
/// that the body is at most [`MAX_RECORD_BYTES`] long and the batch at most [`MAX_BATCH_BYTES`]: longer ones can't be
/// read back.
pub fn encode_record_into(
    buffer: &mut Vec<u8>,
    base_offset: u64,
    batch_offset: Option<u64>,
    body: &[u8],
) {
    let offset = base_offset + buffer.len() as u64;
    let batch_distance = offset - batch_offset.unwrap_or(offset);
    buffer.reserve(RECORD_HEADER_BYTES + body.len());
    buffer.extend_from_slice(&(body.len() as u32).to_le_bytes());
    buffer.extend_from_slice(&(batch_distance as u32).to_le_bytes());
    buffer.extend_from_slice(&CRC32C.checksum(body).to_le_bytes());
    let header_start = buffer.len() - 12;
    let checksum = record_header_checksum(offset, &buffer[header_start..]);
    buffer.extend_from_slice(&checksum.to_le_bytes());
    buffer.extend_from_slice(body);
}

pub(crate) fn body_checksum(body: &[u8]) -> u32 {
    CRC32C.checksum(body)
}

fn u32_at(bytes: &[u8; FILE_HEADER_BYTES], start: usize) -> u32 {
    u32::from_le_bytes([
        bytes[start],
        bytes[start + 1],
        bytes[start + 2],
        bytes[start + 3],
    ])
}

fn record_header_checksum(offset: u64, leading_bytes: &[u8]) -> u32 {
    let mut digest = CRC32C.digest();
    digest.update(&offset.to_le_bytes());
    digest.update(leading_bytes);
    digest.finalize()
}

/// A record header whose checksum has been verified.
pub(crate) struct RecordHeader {
    /// Length of the record's body in bytes.
    pub(crate) length: usize,
    /// Start of the record's batch, in bytes from the start of the file.
    pub(crate) batch_offset: u64,
    /// Checksum of the record's body.
    pub(crate) body_checksum: u32,
}

/// Parses the header of the record at `offset`. Returns `None` if it is incomplete or its checksum or a number is
/// wrong.
pub(crate) fn parse_record_header(offset: u64, bytes: &[u8]) -> Option<RecordHeader> {
    let bytes = bytes.first_chunk::<RECORD_HEADER_BYTES>()?;
    let (length, batch_distance) = (u32_at(bytes, 0) as usize, u64::from(u32_at(bytes, 4)));
    if length > MAX_RECORD_BYTES
        || batch_distance > offset
        || u32_at(bytes, 12) != record_header_checksum(offset, &bytes[..12])
    {
        return None;
    }
    Some(RecordHeader {
        length,
        batch_offset: offset - batch_distance,
        body_checksum: u32_at(bytes, 8),
    })
}

/// Name of the file that a rewrite fills before renaming it to `name`.
pub(crate) fn temporary_name(name: &str) -> String {
    format!("{name}.new")
}
