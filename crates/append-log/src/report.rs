//! Read-only reports for operators on the contents and the condition of a log file.

use std::fmt;
use std::io::{self, ErrorKind};
use std::path::Path;

use crate::condition::{FileCondition, SegmentClassifier};
use crate::format::{temporary_name, FORMAT_VERSION};
use crate::scanner::{ScannedSegment, SegmentScanner};
use crate::{Directory, Disk, DiskFile, Error};

/// Summary of a log file's contents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Inspection {
    /// Name of the file.
    pub name: String,
    /// Length of the file in bytes.
    pub length: u64,
    /// Number of complete records before the first gap. Opening returns them, unless it fails because of damage.
    pub records: u64,
    /// Number of batches that these records belong to. In a rewritten file each record is a batch.
    pub batches: u64,
    /// Length of these records in bytes, without their headers.
    pub body_bytes: u64,
    /// Length of the longest of these records in bytes, without its header.
    pub longest_body: u64,
    /// Condition of the file.
    pub condition: FileCondition,
    /// Length in bytes of the temporary file that an interrupted rewrite left; `None` if there is no such file.
    pub interrupted_rewrite_bytes: Option<u64>,
}

impl Inspection {
    /// Whether the file's condition allows opening it.
    pub fn opens(&self) -> bool {
        matches!(
            self.condition,
            FileCondition::Complete | FileCondition::Torn { .. }
        )
    }
}

impl fmt::Display for Inspection {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        writeln!(formatter, "{}: {}", self.name, self.condition)?;
        writeln!(
            formatter,
            "  {} bytes, {} in bodies",
            self.length, self.body_bytes
        )?;
        let Inspection {
            records,
            batches,
            longest_body,
            ..
        } = self;
        write!(
            formatter,
            "  {records} whole records in {batches} batches, the longest {longest_body} bytes"
        )?;
        if let Some(bytes) = self.interrupted_rewrite_bytes {
            write!(
                formatter,
                "\n  an interrupted rewrite left {bytes} bytes; the next start removes them"
            )?;
        }
        Ok(())
    }
}

/// A segment of a file, as reported by [`verify`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileSegment {
    /// A complete record.
    Record {
        /// Start of the record, in bytes from the start of the file.
        offset: u64,
        /// Start of the record's batch, in bytes from the start of the file.
        batch_offset: u64,
        /// Length of the record's body in bytes.
        bytes: u64,
    },
    /// Bytes that belong to no complete record.
    Gap {
        /// Start of these bytes, in bytes from the start of the file.
        offset: u64,
        /// Number of these bytes.
        bytes: u64,
    },
}

impl fmt::Display for FileSegment {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FileSegment::Record {
                offset,
                batch_offset,
                bytes,
            } => {
                write!(formatter, "  byte {offset}: a whole record of {bytes} bytes, of the batch at byte {batch_offset}")
            }
            FileSegment::Gap { offset, bytes } => {
                write!(
                    formatter,
                    "  byte {offset}: {bytes} bytes that belong to no whole record"
                )
            }
        }
    }
}

/// Result of checking each record of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verification {
    /// Summary of the file.
    pub summary: Inspection,
    /// All segments after the file header, including those after damage. Empty if the header is incomplete or its
    /// format version is not supported.
    pub segments: Vec<FileSegment>,
}

impl fmt::Display for Verification {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{}", self.summary)?;
        self.segments
            .iter()
            .try_for_each(|segment| write!(formatter, "\n{segment}"))
    }
}

/// Summarizes the contents of a log file. The file may be in use: a batch that is being written looks like a torn one.
///
/// # Errors
/// [`Error::Io`] if the file doesn't exist or can't be read.
///
/// ```
/// # let directory = std::env::temp_dir().join(format!("append-log-inspect-{}", std::process::id()));
/// # std::fs::create_dir_all(&directory).unwrap();
/// let (mut log, _) = append_log::AppendLog::open(&directory, "ledger").unwrap();
/// log.append(&[b"first", b"second"]).unwrap();
/// let report = append_log::inspect(&directory, "ledger").unwrap();
/// assert!(report.opens());
/// assert_eq!(
///     report.to_string(),
///     "ledger: whole\n  59 bytes, 11 in bodies\n  2 whole records in 1 batches, the longest 6 bytes"
/// );
/// # std::fs::remove_dir_all(&directory).unwrap();
/// ```
pub fn inspect(directory: &Path, name: &str) -> Result<Inspection, Error> {
    inspect_on(Directory::new(directory), name)
}

/// Summarizes the contents of a log file on any [`Disk`], like [`inspect`].
///
/// # Errors
/// As [`inspect`].
pub fn inspect_on<D: Disk>(disk: D, name: &str) -> Result<Inspection, Error> {
    scan_file(disk, name, |_| {}).map_err(|error| Error::from_io("read", name, error))
}

/// Checks each record of a log file for completeness. The file may be in use, as with [`inspect`].
///
/// # Errors
/// [`Error::Io`] if the file doesn't exist or can't be read.
pub fn verify(directory: &Path, name: &str) -> Result<Verification, Error> {
    verify_on(Directory::new(directory), name)
}

/// Checks each record of a log file on any [`Disk`], like [`verify`].
///
/// # Errors
/// As [`verify`].
pub fn verify_on<D: Disk>(disk: D, name: &str) -> Result<Verification, Error> {
    let mut segments = Vec::new();
    let summary = scan_file(disk, name, |segment| segments.push(segment))
        .map_err(|error| Error::from_io("read", name, error))?;
    Ok(Verification { summary, segments })
}

/// Scans the file from its start and calls `on_segment` for each segment in order.
fn scan_file<D: Disk>(
    mut disk: D,
    name: &str,
    mut on_segment: impl FnMut(FileSegment),
) -> io::Result<Inspection> {
    let mut file = disk
        .open_read_only(name)?
        .ok_or(io::Error::from(ErrorKind::NotFound))?;
    let interrupted_rewrite_bytes = match disk.open_read_only(&temporary_name(name))? {
        Some(mut file) => Some(file.length()?),
        None => None,
    };
    let mut scanner = SegmentScanner::new(&mut file)?;
    let mut inspection = Inspection {
        name: name.to_owned(),
        length: scanner.file_length(),
        records: 0,
        batches: 0,
        body_bytes: 0,
        longest_body: 0,
        condition: FileCondition::InvalidHeader,
        interrupted_rewrite_bytes,
    };
    match scanner.format_version()? {
        Some(FORMAT_VERSION) => {}
        Some(version) if version > FORMAT_VERSION => {
            inspection.condition = FileCondition::NewerFormat { found: version };
            return Ok(inspection);
        }
        _ => return Ok(inspection),
    }
    let mut classifier = SegmentClassifier::default();
    while let Some(segment) = scanner.next_segment()? {
        let previous_batch = classifier.last_batch_before_gap();
        let is_before_gap = classifier.accept(&segment);
        on_segment(match segment {
            ScannedSegment::Record {
                offset,
                batch_offset,
                body,
            } => {
                let bytes = body.len() as u64;
                if is_before_gap {
                    inspection.batches += u64::from(previous_batch != Some(batch_offset));
                    inspection.body_bytes += bytes;
                    inspection.longest_body = inspection.longest_body.max(bytes);
                }
                FileSegment::Record {
                    offset,
                    batch_offset,
                    bytes,
                }
            }
            ScannedSegment::Gap { offset, bytes } => FileSegment::Gap { offset, bytes },
        });
    }
    inspection.records = classifier.records_before_gap;
    inspection.condition = classifier.condition();
    Ok(inspection)
}
