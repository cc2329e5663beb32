//! Scans a file record by record, and resumes at the next complete record after damaged or incomplete bytes.

use std::io::{self, ErrorKind};

use crate::disk::read_fully;
use crate::format::{
    body_checksum, file_header_version, parse_record_header, RecordHeader, FILE_HEADER_BYTES,
    RECORD_HEADER_BYTES,
};
use crate::DiskFile;

/// Bytes that are read at once.
const READ_CHUNK_BYTES: usize = 64 << 10;

/// A segment of a file after its header.
#[derive(Debug, PartialEq, Eq)]
pub enum ScannedSegment {
    /// A complete record.
    Record {
        /// Start of the record, in bytes from the start of the file.
        offset: u64,
        /// Start of the record's batch, in bytes from the start of the file.
        batch_offset: u64,
        /// Body of the record.
        body: Vec<u8>,
    },
    /// Bytes that belong to no complete record, up to the next complete one or the end of the file.
    Gap {
        /// Start of these bytes, in bytes from the start of the file.
        offset: u64,
        /// Number of these bytes.
        bytes: u64,
    },
}

/// Scanner over the segments of a file, from the end of its header to the end of the file.
pub struct SegmentScanner<'a, F> {
    file: &'a mut F,
    /// Length of the file in bytes.
    file_length: u64,
    /// Start of the next segment, in bytes from the start of the file.
    offset: u64,
    /// Bytes of the file from `buffer_offset` on, as far as they have been read.
    buffer: Vec<u8>,
    buffer_offset: u64,
}

impl<'a, F: DiskFile> SegmentScanner<'a, F> {
    /// Creates a scanner that starts after the file header.
    ///
    /// # Errors
    /// The I/O error if the length can't be determined.
    pub fn new(file: &'a mut F) -> io::Result<Self> {
        let file_length = file.length()?;
        Ok(SegmentScanner {
            file,
            file_length,
            offset: FILE_HEADER_BYTES as u64,
            buffer: Vec::new(),
            buffer_offset: 0,
        })
    }

    /// The format version in the file's header; `None` if the header is incomplete or damaged.
    ///
    /// # Errors
    /// The I/O error if the file can't be read.
    pub fn format_version(&mut self) -> io::Result<Option<u32>> {
        Ok(file_header_version(self.bytes_at(0, FILE_HEADER_BYTES)?))
    }

    /// Length of the file in bytes.
    pub fn file_length(&self) -> u64 {
        self.file_length
    }

    /// Returns the next segment; `None` at the end of the file.
    ///
    /// # Errors
    /// The I/O error if the file can't be read.
    pub fn next_segment(&mut self) -> io::Result<Option<ScannedSegment>> {
        let offset = self.offset;
        if offset >= self.file_length {
            return Ok(None);
        }
        let header = self.record_header(offset)?;
        if let Some(header) = &header {
            if let Some(body) = self.body(offset, header)? {
                self.offset = offset + (RECORD_HEADER_BYTES + header.length) as u64;
                return Ok(Some(ScannedSegment::Record {
                    offset,
                    batch_offset: header.batch_offset,
                    body,
                }));
            }
        }
        // A valid header has a valid length, so that the next record begins after that many bytes.
        let mut next_offset =
            offset + header.map_or(1, |header| (RECORD_HEADER_BYTES + header.length) as u64);
        while next_offset < self.file_length {
            if let Some(header) = self.record_header(next_offset)? {
                if self.body(next_offset, &header)?.is_some() {
                    break;
                }
            }
            next_offset += 1;
        }
        self.offset = next_offset.min(self.file_length);
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

    /// Reads the body that belongs to this record header; `None` if it is incomplete or damaged.
    fn body(&mut self, offset: u64, header: &RecordHeader) -> io::Result<Option<Vec<u8>>> {
        let start = offset + RECORD_HEADER_BYTES as u64;
        if start + header.length as u64 > self.file_length {
            return Ok(None);
        }
        let mut body = vec![0; header.length];
        let buffered = self.bytes_at(start, header.length.min(READ_CHUNK_BYTES))?;
        let (prefix, rest) = body.split_at_mut(buffered.len());
        prefix.copy_from_slice(buffered);
        let start = start + prefix.len() as u64;
        if read_fully(self.file, start, rest)? < rest.len() {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        Ok((body_checksum(&body) == header.body_checksum).then_some(body))
    }

    /// Returns `length` bytes from `offset` on, or fewer at the end of the file.
    fn bytes_at(&mut self, offset: u64, length: usize) -> io::Result<&[u8]> {
        let length = self.file_length.saturating_sub(offset).min(length as u64) as usize;
        let buffered_range = self.buffer_offset..self.buffer_offset + self.buffer.len() as u64;
        if offset < buffered_range.start || offset + length as u64 > buffered_range.end {
            let wanted_length = self
                .file_length
                .saturating_sub(offset)
                .min(READ_CHUNK_BYTES as u64) as usize;
            self.buffer.clear();
            self.buffer.resize(wanted_length, 0);
            self.buffer_offset = offset;
            let count = read_fully(self.file, offset, &mut self.buffer)?;
            if count < wanted_length {
                self.buffer.clear();
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        let start = (offset - self.buffer_offset) as usize;
        Ok(&self.buffer[start..start + length])
    }
}
