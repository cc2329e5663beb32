//! Reports for operators: what a file holds and in what shape it is. Nothing here writes.

use std::fmt;
use std::io::{self, ErrorKind};
use std::path::Path;

use crate::file::fresh;
use crate::format::{Piece, Pieces, VERSION};
use crate::{Disk, DiskFile, Error, Folder};

/// In what shape a file is, and so what its next opening does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
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
        whole_at: u64,
    },
    /// It was written by a later release: an opening is refused.
    Newer {
        /// Its format version.
        found: u32,
    },
    /// It has no whole header: an opening is refused.
    NoHeader,
}

impl fmt::Display for Shape {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Shape::Whole => write!(to, "whole"),
            Shape::Torn { offset } => write!(to, "torn: the next start cuts it off at byte {offset}"),
            Shape::Damaged { record, offset, whole_at } => write!(
                to,
                "damaged: record {record} at byte {offset}; byte {whole_at} begins a whole record of a later batch"
            ),
            Shape::Newer { found } => {
                write!(to, "format {found} of a later release; known are formats up to {VERSION}")
            }
            Shape::NoHeader => write!(to, "no whole header of this kind of file"),
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
    /// The longest of these records, in bytes.
    pub longest: u64,
    /// In what shape the file is.
    pub shape: Shape,
    /// The length in bytes of what an interrupted rewrite left beside it.
    pub remains: Option<u64>,
}

impl Inspection {
    /// Whether an opening works.
    pub fn opens(&self) -> bool {
        matches!(self.shape, Shape::Whole | Shape::Torn { .. })
    }
}

impl fmt::Display for Inspection {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        writeln!(to, "{}: {}", self.name, self.shape)?;
        writeln!(to, "  {} bytes, {} in bodies", self.length, self.body_bytes)?;
        let Inspection {
            records,
            batches,
            longest,
            ..
        } = self;
        write!(
            to,
            "  {records} whole records in {batches} batches, the longest {longest} bytes"
        )?;
        if let Some(bytes) = self.remains {
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
pub enum Part {
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

impl fmt::Display for Part {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Part::Record {
                offset,
                batch,
                bytes,
            } => {
                write!(to, "  byte {offset}: a whole record of {bytes} bytes, of the batch at byte {batch}")
            }
            Part::Gap { offset, bytes } => {
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
    pub parts: Vec<Part>,
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
///     "ledger: whole\n  59 bytes, 11 in bodies\n  2 whole records in 1 batches, the longest 6 bytes"
/// );
/// # std::fs::remove_dir_all(&folder).unwrap();
/// ```
pub fn inspect(folder: &Path, name: &str) -> Result<Inspection, Error> {
    inspect_on(Folder::at(folder), name)
}

/// The same on any disk; see [`inspect`].
///
/// # Errors
/// As [`inspect`].
pub fn inspect_on<D: Disk>(disk: D, name: &str) -> Result<Inspection, Error> {
    report(disk, name, |_| {}).map_err(|error| Error::of("read", name, error))
}

/// Says of each record of a file whether it is whole. It may be in use, as with [`inspect`].
///
/// # Errors
/// [`Error::Io`] if there is no such file or it can't be read.
pub fn verify(folder: &Path, name: &str) -> Result<Verification, Error> {
    verify_on(Folder::at(folder), name)
}

/// The same on any disk; see [`verify`].
///
/// # Errors
/// As [`verify`].
pub fn verify_on<D: Disk>(disk: D, name: &str) -> Result<Verification, Error> {
    let mut parts = Vec::new();
    let summary = report(disk, name, |part| parts.push(part))
        .map_err(|error| Error::of("read", name, error))?;
    Ok(Verification { summary, parts })
}

/// Goes through the file and tells its parts.
fn report<D: Disk>(mut disk: D, name: &str, mut tell: impl FnMut(Part)) -> io::Result<Inspection> {
    let mut file = disk
        .open_to_read(name)?
        .ok_or(io::Error::from(ErrorKind::NotFound))?;
    let remains = match disk.open_to_read(&fresh(name))? {
        Some(mut file) => Some(file.length()?),
        None => None,
    };
    let mut pieces = Pieces::of(&mut file)?;
    let mut found = Inspection {
        name: name.to_owned(),
        length: pieces.end(),
        records: 0,
        batches: 0,
        body_bytes: 0,
        longest: 0,
        shape: Shape::NoHeader,
        remains,
    };
    match pieces.version()? {
        Some(VERSION) => {}
        Some(version) if version > VERSION => {
            found.shape = Shape::Newer { found: version };
            return Ok(found);
        }
        _ => return Ok(found),
    }
    let mut judge = Judge::default();
    while let Some(piece) = pieces.next_piece()? {
        let last = judge.last_batch();
        let is_good = judge.see(&piece);
        tell(match piece {
            Piece::Record {
                offset,
                batch,
                body,
            } => {
                let bytes = body.len() as u64;
                if is_good {
                    found.batches += u64::from(last != Some(batch));
                    found.body_bytes += bytes;
                    found.longest = found.longest.max(bytes);
                }
                Part::Record {
                    offset,
                    batch,
                    bytes,
                }
            }
            Piece::Gap { offset, bytes } => Part::Gap { offset, bytes },
        });
    }
    found.records = judge.records;
    found.shape = judge.shape();
    Ok(found)
}

/// Tells torn from damaged, of the pieces of a file one after the other.
#[derive(Default)]
pub(crate) struct Judge {
    /// How many whole records there are before any gap.
    records: u64,
    /// Where the batch of the last of them begins.
    last_batch: Option<u64>,
    /// Where the first gap begins.
    gap: Option<u64>,
    /// Where a whole record begins whose batch was written after what the gap held.
    whole_at: Option<u64>,
}

impl Judge {
    /// Takes the next piece; whether it is a record that counts.
    pub(crate) fn see(&mut self, piece: &Piece) -> bool {
        match (piece, self.gap) {
            (Piece::Record { batch, .. }, None) => {
                self.records += 1;
                self.last_batch = Some(*batch);
                return true;
            }
            (Piece::Record { offset, batch, .. }, Some(gap)) if *batch > gap => {
                self.whole_at.get_or_insert(*offset);
            }
            (Piece::Record { .. } | Piece::Gap { .. }, Some(_)) => {}
            (Piece::Gap { offset, .. }, None) => self.gap = Some(*offset),
        }
        false
    }

    /// Where the last batch begins that has a record that counts.
    pub(crate) fn last_batch(&self) -> Option<u64> {
        self.last_batch
    }

    /// What the pieces seen come to.
    pub(crate) fn shape(&self) -> Shape {
        match (self.gap, self.whole_at) {
            (None, _) => Shape::Whole,
            (Some(offset), None) => Shape::Torn { offset },
            (Some(offset), Some(whole_at)) => Shape::Damaged {
                record: self.records,
                offset,
                whole_at,
            },
        }
    }
}
