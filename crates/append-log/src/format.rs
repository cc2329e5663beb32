//! The bytes of the file, without a disk. All numbers are little-endian; checksums are CRC-32C.
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
//! A batch is what one write brought, so of a batch that a loss of power tore any part can be missing, while
//! everything before it was synced. A damaged record with whole ones of a *later* batch behind it is thus no torn
//! write. A record is bound to its place: bytes in a body that look like a record, or old ones, are none.

use std::io::{self, ErrorKind};

use crc::{Crc, Table, CRC_32_ISCSI};

use crate::DiskFile;

/// The first bytes of each file. They show where a transfer changed line ends.
pub const MAGIC: [u8; 8] = *b"furrow\r\n";

/// The format that is written, and the newest that is read.
pub const FORMAT_VERSION: u32 = 1;

/// Length of the file's header in bytes, in all versions.
pub const FILE_HEADER_BYTES: usize = 16;

/// Length of a record's head in bytes.
pub const RECORD_HEADER_BYTES: usize = 16;

/// The longest_body body of a record, in bytes.
pub const MAX_RECORD_BYTES: usize = 16 << 20;

/// The longest_body batch, in bytes with the records' heads.
pub const MAX_BATCH_BYTES: usize = 64 << 20;

/// How much is read at once, in bytes.
const CHUNK_BYTES: usize = 64 << 10;

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

/// The version that a header tells; `None` if it isn't whole.
pub fn header_version(bytes: &[u8]) -> Option<u32> {
    let bytes = bytes.first_chunk::<FILE_HEADER_BYTES>()?;
    let version = number(bytes, 8);
    (*bytes == header(version)).then_some(version)
}

/// Puts a record behind `into`, whose first byte has the place `base` in the file.
///
/// `batch` is the place of the batch's first record, `None` if this is the first. A body of more than
/// [`MAX_RECORD_BYTES`] or a batch of more than [`MAX_BATCH_BYTES`] bytes can't be read back: callers check.
pub fn encode_record_into(into: &mut Vec<u8>, base: u64, batch: Option<u64>, body: &[u8]) {
    let offset = base + into.len() as u64;
    let back = offset - batch.unwrap_or(offset);
    into.reserve(RECORD_HEADER_BYTES + body.len());
    into.extend_from_slice(&(body.len() as u32).to_le_bytes());
    into.extend_from_slice(&(back as u32).to_le_bytes());
    into.extend_from_slice(&CRC32C.checksum(body).to_le_bytes());
    let start = into.len() - 12;
    let sum = header_checksum(offset, &into[start..]);
    into.extend_from_slice(&sum.to_le_bytes());
    into.extend_from_slice(body);
}

fn number(bytes: &[u8; FILE_HEADER_BYTES], at: usize) -> u32 {
    u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}

fn header_checksum(offset: u64, first: &[u8]) -> u32 {
    let mut digest = CRC32C.digest();
    digest.update(&offset.to_le_bytes());
    digest.update(first);
    digest.finalize()
}

/// A record's head whose own checksum fits.
struct RecordHeader {
    length: usize,
    batch: u64,
    body_sum: u32,
}

fn parse_record_header(offset: u64, bytes: &[u8]) -> Option<RecordHeader> {
    let bytes = bytes.first_chunk::<RECORD_HEADER_BYTES>()?;
    let (length, back) = (number(bytes, 0) as usize, u64::from(number(bytes, 4)));
    if length > MAX_RECORD_BYTES
        || back > offset
        || number(bytes, 12) != header_checksum(offset, &bytes[..12])
    {
        return None;
    }
    Some(RecordHeader {
        length,
        batch: offset - back,
        body_sum: number(bytes, 8),
    })
}

/// What comes next in a file.
#[derive(Debug, PartialEq, Eq)]
pub enum ScannedSegment {
    /// A whole record.
    Record {
        /// Where it begins, in bytes from the start of the file.
        offset: u64,
        /// Where its batch begins.
        batch: u64,
        /// What it holds.
        body: Vec<u8>,
    },
    /// Bytes that belong to no whole record, up to the next whole one or the end.
    Gap {
        /// Where they begin, in bytes from the start of the file.
        offset: u64,
        /// How many there are.
        bytes: u64,
    },
}

/// Goes through the scanner of a file, from behind its header to its end.
pub struct SegmentScanner<'a, F> {
    file: &'a mut F,
    /// Length of the file in bytes.
    end: u64,
    /// Where the next segment begins.
    offset: u64,
    /// What was read of the file, from `base` on.
    buffer: Vec<u8>,
    base: u64,
}

impl<'a, F: DiskFile> SegmentScanner<'a, F> {
    /// The scanner of this file, from behind its header on.
    pub fn new(file: &'a mut F) -> io::Result<Self> {
        let end = file.length()?;
        Ok(SegmentScanner {
            file,
            end,
            offset: FILE_HEADER_BYTES as u64,
            buffer: Vec::new(),
            base: 0,
        })
    }

    /// The version that the file's header tells; `None` if it isn't whole.
    pub fn version(&mut self) -> io::Result<Option<u32>> {
        Ok(header_version(self.view(0, FILE_HEADER_BYTES)?))
    }

    /// Length of the file in bytes.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// The next segment; `None` at the end.
    ///
    /// # Errors
    /// What the disk says when it doesn't give the bytes.
    pub fn next_segment(&mut self) -> io::Result<Option<ScannedSegment>> {
        let offset = self.offset;
        if offset >= self.end {
            return Ok(None);
        }
        let head = self.head(offset)?;
        if let Some(head) = &head {
            if let Some(body) = self.body(offset, head)? {
                self.offset = offset + (RECORD_HEADER_BYTES + head.length) as u64;
                return Ok(Some(ScannedSegment::Record {
                    offset,
                    batch: head.batch,
                    body,
                }));
            }
        }
        // The length in a whole head is true, so the next record is behind that many bytes.
        let mut next = offset + head.map_or(1, |head| (RECORD_HEADER_BYTES + head.length) as u64);
        while next < self.end {
            if let Some(head) = self.head(next)? {
                if self.body(next, &head)?.is_some() {
                    break;
                }
            }
            next += 1;
        }
        self.offset = next.min(self.end);
        Ok(Some(ScannedSegment::Gap {
            offset,
            bytes: self.offset - offset,
        }))
    }

    fn head(&mut self, offset: u64) -> io::Result<Option<RecordHeader>> {
        Ok(parse_record_header(
            offset,
            self.view(offset, RECORD_HEADER_BYTES)?,
        ))
    }

    /// The body that belongs to this head; `None` if it isn't whole.
    fn body(&mut self, offset: u64, head: &RecordHeader) -> io::Result<Option<Vec<u8>>> {
        let start = offset + RECORD_HEADER_BYTES as u64;
        if start + head.length as u64 > self.end {
            return Ok(None);
        }
        let mut body = vec![0; head.length];
        let known = self.view(start, head.length.min(CHUNK_BYTES))?;
        let (first, rest) = body.split_at_mut(known.len());
        first.copy_from_slice(known);
        let start = start + first.len() as u64;
        if read_fully(self.file, start, rest)? < rest.len() {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        Ok((CRC32C.checksum(&body) == head.body_sum).then_some(body))
    }

    /// The bytes from `offset` on, `length` of them or as many as there are.
    fn view(&mut self, offset: u64, length: usize) -> io::Result<&[u8]> {
        let length = self.end.saturating_sub(offset).min(length as u64) as usize;
        let held = self.base..self.base + self.buffer.len() as u64;
        if offset < held.start || offset + length as u64 > held.end {
            let wanted = self.end.saturating_sub(offset).min(CHUNK_BYTES as u64) as usize;
            self.buffer.clear();
            self.buffer.resize(wanted, 0);
            self.base = offset;
            let read = read_fully(self.file, offset, &mut self.buffer)?;
            if read < wanted {
                self.buffer.clear();
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        let start = (offset - self.base) as usize;
        Ok(&self.buffer[start..start + length])
    }
}

/// Reads until `into` is full or the file ends; how much was read.
pub(crate) fn read_fully<F: DiskFile>(
    file: &mut F,
    offset: u64,
    into: &mut [u8],
) -> io::Result<usize> {
    let mut done = 0;
    while done < into.len() {
        match file.read_at(offset + done as u64, &mut into[done..]) {
            Ok(0) => break,
            Ok(read) => done += read,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(done)
}

/// Writes all of `bytes`.
pub(crate) fn write_fully<F: DiskFile>(file: &mut F, offset: u64, bytes: &[u8]) -> io::Result<()> {
    let mut done = 0;
    while done < bytes.len() {
        match file.write_at(offset + done as u64, &bytes[done..]) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(written) => done += written,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
