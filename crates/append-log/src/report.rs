//! Reports for operators: what a file holds and in what condition it is. Nothing here writes.

use std::fmt;
use std::io::{self, ErrorKind};
use std::path::Path;

use crate::condition::{FileCondition, SegmentClassifier};
use crate::format::{temporary_name, FORMAT_VERSION};
use crate::scanner::{ScannedSegment, SegmentScanner};
use crate::{Directory, Disk, DiskFile, Error};

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
    /// The longest of these records, in bytes.
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
/// let (mut log, _) = append_log::AppendLog::open(&folder, "ledger").unwrap();
/// log.append(&[b"first", b"second"]).unwrap();
/// let report = append_log::inspect(&folder, "ledger").unwrap();
/// assert!(report.opens());
/// assert_eq!(
///     report.to_string(),
///     "ledger: whole\n  59 bytes, 11 in bodies\n  2 whole records in 1 batches, the longest 6 bytes"
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
        let is_good = classifier.accept(&segment);
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
