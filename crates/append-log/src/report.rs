//! Reports for operators: what a file holds and in what condition it is. Nothing here writes.

use std::fmt;
use std::io::{self, ErrorKind};
use std::path::Path;

use crate::file::temporary_name;
use crate::format::{ScannedSegment, SegmentScanner, FORMAT_VERSION};
use crate::{Directory, Disk, DiskFile, Error};

/// In what condition a file is, and so what its next opening does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileCondition {
    /// All of it is whole.
    Whole,
    /// The last batch isn't whole: an opening cuts the file off here.
    Torn {
        /// Where the good bytes end, in bytes from the start.
        offset: u64,
    },
    /// A record is damaged that had been synced: an opening is refused.
    Damaged {
        /// How many whole records come before it.
        record: u64,
        /// Where it begins, in bytes from the start.
        offset: u64,
        /// Where the next whole record of a later batch begins.
        next_record_at: u64,
    },
    /// It was written by a later release: an opening is refused.
    Newer {
        /// Its format version.
        found: u32,
    },
    /// It has no whole header: an opening is refused.
    NoHeader,
}

impl fmt::Display for FileCondition {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FileCondition::Whole => write!(to, "whole"),
            FileCondition::Torn { offset } => write!(to, "torn: the next start cuts it off at byte {offset}"),
            FileCondition::Damaged { record, offset, next_record_at } => write!(
                to,
                "damaged: record {record} at byte {offset}; byte {next_record_at} begins a whole record of a later batch"
            ),
            FileCondition::Newer { found } => {
                write!(to, "format {found} of a later release; known are formats up to {FORMAT_VERSION}")
            }
            FileCondition::NoHeader => write!(to, "no whole header of this kind of file"),
        }
    }
}

/// What a file holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Inspection {
    /// Its name.
    pub name: String,
    /// Its length in bytes.
    pub length: u64,
    /// How many whole records an opening gives, or would give were it not for what lies behind them.
    pub records: u64,
    /// How many batches they came in. Each record of a rewritten file is a batch.
    pub batches: u64,
    /// The bytes of these records without their heads.
    pub body_bytes: u64,
    /// The longest_body of these records, in bytes.
    pub longest_body: u64,
    /// In what condition the file is.
    pub condition: FileCondition,
    /// The length in bytes of what an interrupted rewrite left beside it.
    pub interrupted_rewrite_bytes: Option<u64>,
}

impl Inspection {
    /// Whether an opening works.
    pub fn opens(&self) -> bool {
        matches!(
            self.condition,
            FileCondition::Whole | FileCondition::Torn { .. }
        )
    }
}

impl fmt::Display for Inspection {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        writeln!(to, "{}: {}", self.name, self.condition)?;
        writeln!(to, "  {} bytes, {} in bodies", self.length, self.body_bytes)?;
        let Inspection {
            records,
            batches,
            longest_body,
            ..
        } = self;
        write!(
            to,
            "  {records} whole records in {batches} batches, the longest {longest_body} bytes"
        )?;
        if let Some(bytes) = self.interrupted_rewrite_bytes {
            write!(
                to,
                "\n  an interrupted rewrite left {bytes} bytes; the next start removes them"
            )?;
        }
        Ok(())
    }
}

/// A part of a file, as [`verify`] tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileSegment {
    /// A whole record.
    Record {
        /// Where it begins, in bytes from the start of the file.
        offset: u64,
        /// Where its batch begins.
        batch: u64,
        /// The length of its body in bytes.
        bytes: u64,
    },
    /// Bytes that belong to no whole record.
    Gap {
        /// Where they begin, in bytes from the start of the file.
        offset: u64,
        /// How many there are.
        bytes: u64,
    },
}

impl fmt::Display for FileSegment {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FileSegment::Record {
                offset,
                batch,
                bytes,
            } => {
                write!(to, "  byte {offset}: a whole record of {bytes} bytes, of the batch at byte {batch}")
            }
            FileSegment::Gap { offset, bytes } => {
                write!(
                    to,
                    "  byte {offset}: {bytes} bytes that belong to no whole record"
                )
            }
        }
    }
}

/// All of a file, record by record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verification {
    /// The whole.
    pub summary: Inspection,
    /// All parts behind the header, also what lies behind damage; none where the header isn't whole or known.
    pub parts: Vec<FileSegment>,
}

impl fmt::Display for Verification {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "{}", self.summary)?;
        self.parts
            .iter()
            .try_for_each(|part| write!(to, "\n{part}"))
    }
}

/// Says what a file holds. It may be in use: what is being written at the time looks like a torn batch.
///
/// # Errors
/// [`Error::Io`] if there is no such file or it can't be read.
///
/// ```
/// # let folder = std::env::temp_dir().join(format!("append-log-inspect-{}", std::process::id()));
/// # std::fs::create_dir_all(&folder).unwrap();
/// let (mut ledger, _) = append_log::AppendLog::open(&folder, "ledger").unwrap();
/// ledger.append(&[b"first", b"second"]).unwrap();
/// let report = append_log::inspect(&folder, "ledger").unwrap();
/// assert!(report.opens());
/// assert_eq!(
///     report.to_string(),
///     "ledger: whole\n  59 bytes, 11 in bodies\n  2 whole records in 1 batches, the longest_body 6 bytes"
/// );
/// # std::fs::remove_dir_all(&folder).unwrap();
/// ```
pub fn inspect(folder: &Path, name: &str) -> Result<Inspection, Error> {
    inspect_on(Directory::new(folder), name)
}

/// The same on any disk; see [`inspect`].
///
/// # Errors
/// As [`inspect`].
pub fn inspect_on<D: Disk>(disk: D, name: &str) -> Result<Inspection, Error> {
    report(disk, name, |_| {}).map_err(|error| Error::from_io("read", name, error))
}

/// Says of each record of a file whether it is whole. It may be in use, as with [`inspect`].
///
/// # Errors
/// [`Error::Io`] if there is no such file or it can't be read.
pub fn verify(folder: &Path, name: &str) -> Result<Verification, Error> {
    verify_on(Directory::new(folder), name)
}

/// The same on any disk; see [`verify`].
///
/// # Errors
/// As [`verify`].
pub fn verify_on<D: Disk>(disk: D, name: &str) -> Result<Verification, Error> {
    let mut parts = Vec::new();
    let summary = report(disk, name, |part| parts.push(part))
        .map_err(|error| Error::from_io("read", name, error))?;
    Ok(Verification { summary, parts })
}

/// Goes through the file and tells its parts.
fn report<D: Disk>(
    mut disk: D,
    name: &str,
    mut tell: impl FnMut(FileSegment),
) -> io::Result<Inspection> {
    let mut file = disk
        .open_read_only(name)?
        .ok_or(io::Error::from(ErrorKind::NotFound))?;
    let interrupted_rewrite_bytes = match disk.open_read_only(&temporary_name(name))? {
        Some(mut file) => Some(file.length()?),
        None => None,
    };
    let mut scanner = SegmentScanner::new(&mut file)?;
    let mut found = Inspection {
        name: name.to_owned(),
        length: scanner.end(),
        records: 0,
        batches: 0,
        body_bytes: 0,
        longest_body: 0,
        condition: FileCondition::NoHeader,
        interrupted_rewrite_bytes,
    };
    match scanner.version()? {
        Some(FORMAT_VERSION) => {}
        Some(version) if version > FORMAT_VERSION => {
            found.condition = FileCondition::Newer { found: version };
            return Ok(found);
        }
        _ => return Ok(found),
    }
    let mut classifier = SegmentClassifier::default();
    while let Some(segment) = scanner.next_segment()? {
        let last = classifier.last_good_batch();
        let is_good = classifier.see(&segment);
        tell(match segment {
            ScannedSegment::Record {
                offset,
                batch,
                body,
            } => {
                let bytes = body.len() as u64;
                if is_good {
                    found.batches += u64::from(last != Some(batch));
                    found.body_bytes += bytes;
                    found.longest_body = found.longest_body.max(bytes);
                }
                FileSegment::Record {
                    offset,
                    batch,
                    bytes,
                }
            }
            ScannedSegment::Gap { offset, bytes } => FileSegment::Gap { offset, bytes },
        });
    }
    found.records = classifier.records;
    found.condition = classifier.condition();
    Ok(found)
}

/// Tells torn from damaged, of the scanner of a file one after the other.
#[derive(Default)]
pub(crate) struct SegmentClassifier {
    /// How many whole records there are before any gap.
    records: u64,
    /// Where the batch of the last of them begins.
    last_good_batch: Option<u64>,
    /// Where the first gap begins.
    gap: Option<u64>,
    /// Where a whole record begins whose batch was written after what the gap held.
    next_record_at: Option<u64>,
}

impl SegmentClassifier {
    /// Takes the next segment; whether it is a record that counts.
    pub(crate) fn see(&mut self, segment: &ScannedSegment) -> bool {
        match (segment, self.gap) {
            (ScannedSegment::Record { batch, .. }, None) => {
                self.records += 1;
                self.last_good_batch = Some(*batch);
                return true;
            }
            (ScannedSegment::Record { offset, batch, .. }, Some(gap)) if *batch > gap => {
                self.next_record_at.get_or_insert(*offset);
            }
            (ScannedSegment::Record { .. } | ScannedSegment::Gap { .. }, Some(_)) => {}
            (ScannedSegment::Gap { offset, .. }, None) => self.gap = Some(*offset),
        }
        false
    }

    /// Where the last batch begins that has a record that counts.
    pub(crate) fn last_good_batch(&self) -> Option<u64> {
        self.last_good_batch
    }

    /// What the scanner seen come to.
    pub(crate) fn condition(&self) -> FileCondition {
        match (self.gap, self.next_record_at) {
            (None, _) => FileCondition::Whole,
            (Some(offset), None) => FileCondition::Torn { offset },
            (Some(offset), Some(next_record_at)) => FileCondition::Damaged {
                record: self.records,
                offset,
                next_record_at,
            },
        }
    }
}
