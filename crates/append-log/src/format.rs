//! The file format, without a disk. All numbers are little-endian; checksums are CRC-32C.
//!
//! | part | bytes | what |
//! | --- | --- | --- |
//! | header | 8 | the magic |
//! | | 4 | format version |
//! | | 4 | checksum of the 12 bytes before |
//! | each record | 4 | length of its body |
//! | | 4 | how many bytes before it its batch begins; 0 for a batch's first |
//! | | 4 | checksum of its body |
//! | | 4 | checksum of its place in the file (8 bytes) and the 12 bytes before |
//! | | length | body |
//!
//! A batch is the records of one write. Of a batch that a loss of power tore any part may be missing, while everything
//! before it was synced. A damaged record that is followed by complete records of a *later* batch is therefore no torn
//! write. A record's checksum covers its offset, so that bytes within a body or of an older file can't pass for a record.

use crc::{Crc, Table, CRC_32_ISCSI};

/// The first bytes of each file. They show if a transfer changed the line ends.
pub const MAGIC: [u8; 8] = *b"furrow\r\n";

/// The format that is written, and the newest that is read.
pub const FORMAT_VERSION: u32 = 1;

/// Length of the file's header in bytes, in all versions.
pub const FILE_HEADER_BYTES: usize = 16;

/// Length of a record's header in bytes.
pub const RECORD_HEADER_BYTES: usize = 16;

/// The longest body of a record, in bytes.
pub const MAX_RECORD_BYTES: usize = 16 << 20;

/// The longest batch, in bytes with the records' headers.
pub const MAX_BATCH_BYTES: usize = 64 << 20;

static CRC32C: Crc<u32, Table<16>> = Crc::<u32, Table<16>>::new(&CRC_32_ISCSI);

/// The header of a file of this version.
pub fn header(version: u32) -> [u8; FILE_HEADER_BYTES] {
    let mut bytes = [0; FILE_HEADER_BYTES];
    bytes[..8].copy_from_slice(&MAGIC);
    bytes[8..12].copy_from_slice(&version.to_le_bytes());
    let sum = CRC32C.checksum(&bytes[..12]);
    bytes[12..].copy_from_slice(&sum.to_le_bytes());
    bytes
}

/// The format version in a file's header; `None` if the header is incomplete or damaged.
pub fn header_version(bytes: &[u8]) -> Option<u32> {
    let bytes = bytes.first_chunk::<FILE_HEADER_BYTES>()?;
    let version = u32_at(bytes, 8);
    (*bytes == header(version)).then_some(version)
}

/// Appends an encoded record to `into`, whose first byte is at offset `base` in the file.
///
/// `batch` is the offset of the batch's first record, `None` if this is the first. The caller checks that the body is not
/// longer than [`MAX_RECORD_BYTES`] and the batch not longer than [`MAX_BATCH_BYTES`]: longer ones can't be read back.
pub fn encode_record_into(into: &mut Vec<u8>, base: u64, batch: Option<u64>, body: &[u8]) {
    let offset = base + into.len() as u64;
    let back = offset - batch.unwrap_or(offset);
    into.reserve(RECORD_HEADER_BYTES + body.len());
    into.extend_from_slice(&(body.len() as u32).to_le_bytes());
    into.extend_from_slice(&(back as u32).to_le_bytes());
    into.extend_from_slice(&CRC32C.checksum(body).to_le_bytes());
    let header_start = into.len() - 12;
    let checksum = header_checksum(offset, &into[header_start..]);
    into.extend_from_slice(&checksum.to_le_bytes());
    into.extend_from_slice(body);
}

pub(crate) fn body_checksum(body: &[u8]) -> u32 {
    CRC32C.checksum(body)
}

fn u32_at(bytes: &[u8; FILE_HEADER_BYTES], at: usize) -> u32 {
    u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}

fn header_checksum(offset: u64, first: &[u8]) -> u32 {
    let mut digest = CRC32C.digest();
    digest.update(&offset.to_le_bytes());
    digest.update(first);
    digest.finalize()
}

/// The header of a record, its checksum verified.
pub(crate) struct RecordHeader {
    /// Length of the body in bytes.
    pub(crate) length: usize,
    /// Where its batch begins, in bytes from the start of the file.
    pub(crate) batch: u64,
    /// Checksum of the body.
    pub(crate) body_checksum: u32,
}

/// Parses the header of the record at `offset`; `None` if its checksum or its numbers are wrong.
pub(crate) fn parse_record_header(offset: u64, bytes: &[u8]) -> Option<RecordHeader> {
    let bytes = bytes.first_chunk::<RECORD_HEADER_BYTES>()?;
    let (length, back) = (u32_at(bytes, 0) as usize, u64::from(u32_at(bytes, 4)));
    if length > MAX_RECORD_BYTES
        || back > offset
        || u32_at(bytes, 12) != header_checksum(offset, &bytes[..12])
    {
        return None;
    }
    Some(RecordHeader {
        length,
        batch: offset - back,
        body_checksum: u32_at(bytes, 8),
    })
}

/// The name of the file that a rewrite fills, until it takes the place of the old one.
pub(crate) fn temporary_name(name: &str) -> String {
    format!("{name}.new")
}
