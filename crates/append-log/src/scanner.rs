//! Reads a file record by record, and finds the next complete record behind bytes that are none.

use std::io::{self, ErrorKind};

use crate::disk::read_fully;
use crate::format::{
    body_checksum, header_version, parse_record_header, RecordHeader, FILE_HEADER_BYTES,
    RECORD_HEADER_BYTES,
};
use crate::DiskFile;

/// How much is read at once, in bytes.
const CHUNK_BYTES: usize = 64 << 10;

/// What comes next in a file, behind its header.
#[derive(Debug, PartialEq, Eq)]
pub enum ScannedSegment {
    /// A complete record.
    Record {
        /// Where it begins, in bytes from the start of the file.
        offset: u64,
        /// Where its batch begins.
        batch: u64,
        /// Its body.
        body: Vec<u8>,
    },
    /// Bytes that belong to no complete record, up to the next complete one or the end.
    Gap {
        /// Where they begin, in bytes from the start of the file.
        offset: u64,
        /// How many there are.
        bytes: u64,
    },
}

/// Reads a file's segments, from behind its header to its end.
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
    /// Creates a scanner that starts behind the file's header.
    ///
    /// # Errors
    /// What the disk says when it doesn't tell the length.
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

    /// The format version in the file's header; `None` if the header is incomplete or damaged.
    ///
    /// # Errors
    /// What the disk says when it doesn't give the bytes.
    pub fn version(&mut self) -> io::Result<Option<u32>> {
        Ok(header_version(self.bytes_at(0, FILE_HEADER_BYTES)?))
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
        let header = self.record_header(offset)?;
        if let Some(header) = &header {
            if let Some(body) = self.body(offset, header)? {
                self.offset = offset + (RECORD_HEADER_BYTES + header.length) as u64;
                return Ok(Some(ScannedSegment::Record {
                    offset,
                    batch: header.batch,
                    body,
                }));
            }
        }
        // If the header is sound its length is too, so the next record is behind that many bytes.
        let mut next =
            offset + header.map_or(1, |header| (RECORD_HEADER_BYTES + header.length) as u64);
        while next < self.end {
            if let Some(header) = self.record_header(next)? {
                if self.body(next, &header)?.is_some() {
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

    fn record_header(&mut self, offset: u64) -> io::Result<Option<RecordHeader>> {
        Ok(parse_record_header(
            offset,
            self.bytes_at(offset, RECORD_HEADER_BYTES)?,
        ))
    }

    /// The body that belongs to this header; `None` if it is incomplete or damaged.
    fn body(&mut self, offset: u64, header: &RecordHeader) -> io::Result<Option<Vec<u8>>> {
        let start = offset + RECORD_HEADER_BYTES as u64;
        if start + header.length as u64 > self.end {
            return Ok(None);
        }
        let mut body = vec![0; header.length];
        let known = self.bytes_at(start, header.length.min(CHUNK_BYTES))?;
        let (first, rest) = body.split_at_mut(known.len());
        first.copy_from_slice(known);
        let start = start + first.len() as u64;
        if read_fully(self.file, start, rest)? < rest.len() {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        Ok((body_checksum(&body) == header.body_checksum).then_some(body))
    }

    /// The bytes from `offset` on, `length` of them or as many as there are.
    fn bytes_at(&mut self, offset: u64, length: usize) -> io::Result<&[u8]> {
        let length = self.end.saturating_sub(offset).min(length as u64) as usize;
        let buffered = self.base..self.base + self.buffer.len() as u64;
        if offset < buffered.start || offset + length as u64 > buffered.end {
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
