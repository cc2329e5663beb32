//! The file: opened, appended to, rewritten, mended.

use std::io;
use std::path::Path;

use crate::format::{
    self, ScannedSegment, SegmentScanner, FILE_HEADER_BYTES, FORMAT_VERSION, MAX_BATCH_BYTES,
    MAX_RECORD_BYTES, RECORD_HEADER_BYTES,
};
use crate::report::{FileCondition, SegmentClassifier};
use crate::{Directory, Disk, DiskFile, Error};

/// A file is never rewritten below this length, in bytes.
const MIN_REWRITE_BYTES: u64 = 64 << 10;

/// It is long when it is more than this many times what lives in it.
const REWRITE_RATIO: u64 = 4;

/// How much is written at once when a file is rewritten, in bytes; what the buffer may keep between calls.
const CHUNK_BYTES: usize = 256 << 10;

/// What [`AppendLog::open`] cut off: the last batch was not written whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TruncatedTail {
    /// Where the file was cut off, in bytes from its start.
    pub offset: u64,
    /// How many bytes went.
    pub bytes: u64,
}

/// How far the open file can be relied on.
enum State<F> {
    /// There is none yet; the first append makes it.
    Absent,
    /// It holds `length` bytes, all synced.
    Synced(F),
    /// Behind `length` bytes, all synced, there may be others that have to go.
    UnsyncedTail(F),
    /// A sync failed or the name may not last. What was synced before can be read; it has to be copied.
    Untrusted,
}

/// An append-only file of records.
///
/// A record is any bytes, up to [`MAX_RECORD_BYTES`]. After an error the file takes further calls: the next one first
/// brings it back to what was synced last.
pub struct AppendLog<D: Disk = Directory> {
    disk: D,
    name: String,
    state: State<D::File>,
    /// How many bytes are synced.
    length: u64,
    cut: Option<TruncatedTail>,
    buffer: Vec<u8>,
}

impl AppendLog {
    /// Opens the file of this name in a folder that is there, and gives its records in order.
    ///
    /// Nothing is made before the first append, so a full disk opens too. All records given are synced. A last batch
    /// that isn't whole is cut off behind its last whole record ([`AppendLog::cut`]); the interrupted_rewrite_bytes of an interrupted
    /// rewrite are removed.
    ///
    /// # Errors
    /// [`Error::Damaged`] and [`Error::Header`] where bytes are bad that had been synced, [`Error::Newer`] for a
    /// file of a later release, [`Error::Full`] and [`Error::Io`] if the disk refuses; the file is left as it is.
    pub fn open(folder: &Path, name: &str) -> Result<(AppendLog, Vec<Vec<u8>>), Error> {
        AppendLog::open_on(Directory::new(folder), name)
    }
}

impl<D: Disk> AppendLog<D> {
    /// The same on any disk; see [`AppendLog::open`].
    ///
    /// # Errors
    /// As [`AppendLog::open`].
    pub fn open_on(mut disk: D, name: &str) -> Result<(AppendLog<D>, Vec<Vec<u8>>), Error> {
        let failed = |doing| move |error| Error::from_io(doing, name, error);
        let mut records = Vec::new();
        let (mut length, mut cut, mut state) = (0, None, State::Absent);
        if let Some(mut file) = disk.open(name).map_err(failed("open"))? {
            let found = read(&mut file, name, &mut records)?;
            length = found.length;
            if length < found.end {
                cut = Some(TruncatedTail {
                    offset: length,
                    bytes: found.end - length,
                });
            }
            // A disk that takes no writes may refuse the cut; the file is readable all the same.
            let is_cut = cut.is_none() || file.truncate(length).is_ok();
            // The process before may have been killed between write and sync, or after a sync that failed: what it
            // wrote then counts as clean and no sync brings it to the disk. So the last batch is written once more,
            // the same bytes, where the disk takes writes.
            let _ = rewrite_in_place(&mut file, found.batch, length);
            file.sync().map_err(failed("sync"))?;
            state = if is_cut {
                State::Synced(file)
            } else {
                State::UnsyncedTail(file)
            };
        }
        // The interrupted_rewrite_bytes of a rewrite; if they stay, the next rewrite takes their place.
        let _ = disk.remove(&temporary_name(name));
        if !matches!(state, State::Absent) {
            disk.sync_directory()
                .map_err(failed("sync the folder of"))?;
        }
        Ok((
            AppendLog {
                disk,
                name: name.to_owned(),
                state,
                length,
                cut,
                buffer: Vec::new(),
            },
            records,
        ))
    }

    /// What was cut off when the file was opened.
    pub fn truncated_tail(&self) -> Option<TruncatedTail> {
        self.cut
    }

    /// How many bytes of the file are synced; 0 while there is none.
    pub fn len(&self) -> u64 {
        self.length
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.length <= FILE_HEADER_BYTES as u64
    }

    /// Whether the file is long for what lives in it, given in bytes.
    pub fn wants_rewrite(&self, live_bytes: u64) -> bool {
        self.length > MIN_REWRITE_BYTES && self.length > live_bytes.saturating_mul(REWRITE_RATIO)
    }

    /// Appends records: one write and one sync for all of them. None of them is a promise before the `Ok`.
    ///
    /// # Errors
    /// [`Error::TooLarge`] and nothing was done; [`Error::Full`] or [`Error::Io`] if the disk refused. Then the
    /// records count as not written, here and for the next append; only if the process ends before the next call
    /// can they (or some of the first of them) turn up at its next start.
    pub fn append(&mut self, records: &[&[u8]]) -> Result<(), Error> {
        check(records)?;
        if records.is_empty() {
            return Ok(());
        }
        let batch: u64 = records
            .iter()
            .map(|record| (RECORD_HEADER_BYTES + record.len()) as u64)
            .sum();
        if batch > MAX_BATCH_BYTES as u64 {
            return Err(Error::TooLarge {
                bytes: batch,
                limit: MAX_BATCH_BYTES as u64,
            });
        }
        self.repair()?;
        // `Synced` comes back only where all went well.
        let State::Synced(mut file) = std::mem::replace(&mut self.state, State::Untrusted) else {
            return Err(Error::from_io(
                "append to",
                &self.name,
                io::ErrorKind::Other.into(),
            ));
        };
        self.buffer.clear();
        for record in records {
            let first = if self.buffer.is_empty() {
                None
            } else {
                Some(self.length)
            };
            format::encode_record_into(&mut self.buffer, self.length, first, record);
        }
        let written = format::write_fully(&mut file, self.length, &self.buffer);
        let bytes = self.buffer.len() as u64;
        self.buffer.clear();
        self.buffer.shrink_to(CHUNK_BYTES);
        if let Err(error) = written {
            self.state = State::UnsyncedTail(file);
            // If this fails too, the next call tries it again.
            let _ = self.repair();
            return Err(Error::from_io("append to", &self.name, error));
        }
        if let Err(error) = file.sync() {
            // What was written must not be found by a process that starts after this one, as it may never reach the
            // disk though a later sync says so.
            let _ = file.truncate(self.length);
            return Err(Error::from_io("sync", &self.name, error));
        }
        self.length += bytes;
        self.state = State::Synced(file);
        Ok(())
    }

    /// Puts a new file with these records, and no others, in the place of the old one, which stays whole until then.
    ///
    /// # Errors
    /// [`Error::TooLarge`] and nothing was done; [`Error::Full`] or [`Error::Io`] if the disk refused. Then the file
    /// is the old one, or the new one whole.
    pub fn rewrite(&mut self, records: &[&[u8]]) -> Result<(), Error> {
        check(records)?;
        let mut buffer = std::mem::take(&mut self.buffer);
        let result = self.replace(|file| {
            buffer.extend_from_slice(&format::header(FORMAT_VERSION));
            let mut base = 0;
            for record in records {
                // Each is its own batch: all are synced before the file gets its name.
                format::encode_record_into(&mut buffer, base, None, record);
                if buffer.len() >= CHUNK_BYTES {
                    format::write_fully(file, base, &buffer)?;
                    base += buffer.len() as u64;
                    buffer.clear();
                }
            }
            format::write_fully(file, base, &buffer)?;
            Ok(base + buffer.len() as u64)
        });
        buffer.clear();
        buffer.shrink_to(CHUNK_BYTES);
        self.buffer = buffer;
        result
    }

    /// Brings the file back to the bytes that are synced, and to nothing else; makes it if there is none.
    fn repair(&mut self) -> Result<(), Error> {
        if let State::Absent = self.state {
            return self.rewrite(&[]);
        }
        if let State::UnsyncedTail(file) = &mut self.state {
            file.truncate(self.length)
                .map_err(|error| Error::from_io("cut", &self.name, error))?;
            match file.sync() {
                Ok(()) => {
                    if let State::UnsyncedTail(file) =
                        std::mem::replace(&mut self.state, State::Untrusted)
                    {
                        self.state = State::Synced(file);
                    }
                }
                Err(error) => {
                    self.state = State::Untrusted;
                    return Err(Error::from_io("sync", &self.name, error));
                }
            }
        }
        if !matches!(self.state, State::Untrusted) {
            return Ok(());
        }
        let opened = self.disk.open_read_only(&self.name);
        let old = opened.map_err(|error| Error::from_io("open", &self.name, error))?;
        let mut old = old.ok_or_else(|| Error::Header {
            name: self.name.clone(),
        })?;
        let length = self.length;
        self.replace(|file| {
            let (mut at, mut chunk) = (0, vec![0; CHUNK_BYTES.min(length as usize)]);
            while at < length {
                let part = (length - at).min(CHUNK_BYTES as u64) as usize;
                if format::read_fully(&mut old, at, &mut chunk[..part])? < part {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                format::write_fully(file, at, &chunk[..part])?;
                at += part as u64;
            }
            Ok(length)
        })
    }

    /// Writes a file under another name, and gives it the name of the old one once it is synced.
    fn replace(&mut self, fill: impl FnOnce(&mut D::File) -> io::Result<u64>) -> Result<(), Error> {
        let temporary = temporary_name(&self.name);
        let failed = |error| Error::from_io("rewrite", &self.name, error);
        let made = self.disk.create(&temporary).and_then(|mut file| {
            let length = fill(&mut file)?;
            file.sync()?;
            Ok((file, length))
        });
        let renamed = made.and_then(|made| self.disk.rename(&temporary, &self.name).map(|()| made));
        let (file, length) = match renamed {
            Ok(made) => made,
            Err(error) => {
                // Its room is wanted back; if this fails too, the next rewrite takes its place.
                let _ = self.disk.remove(&temporary);
                return Err(failed(error));
            }
        };
        self.length = length;
        if let Err(error) = self.disk.sync_directory() {
            // Appends to a file whose name may not last would be lost with it.
            self.state = State::Untrusted;
            return Err(Error::from_io("sync the folder of", &self.name, error));
        }
        self.state = State::Synced(file);
        Ok(())
    }
}

/// The name that a rewritten file has until it is whole.
pub(crate) fn temporary_name(name: &str) -> String {
    format!("{name}.new")
}

fn check(records: &[&[u8]]) -> Result<(), Error> {
    match records.iter().map(|record| record.len()).max() {
        Some(longest_body) if longest_body > MAX_RECORD_BYTES => Err(Error::TooLarge {
            bytes: longest_body as u64,
            limit: MAX_RECORD_BYTES as u64,
        }),
        _ => Ok(()),
    }
}

/// What there is of a file.
struct Found {
    /// How many bytes are good.
    length: u64,
    /// How many there are.
    end: u64,
    /// Where the last good batch begins.
    batch: u64,
}

/// Reads the records of a file.
fn read<F: DiskFile>(file: &mut F, name: &str, records: &mut Vec<Vec<u8>>) -> Result<Found, Error> {
    let failed = |error| Error::from_io("read", name, error);
    let mut scanner = SegmentScanner::new(file).map_err(failed)?;
    match scanner.version().map_err(failed)? {
        Some(FORMAT_VERSION) => {}
        Some(found) if found > FORMAT_VERSION => {
            return Err(Error::Newer {
                name: name.to_owned(),
                found,
                known: FORMAT_VERSION,
            });
        }
        _ => {
            return Err(Error::Header {
                name: name.to_owned(),
            })
        }
    }
    let mut classifier = SegmentClassifier::default();
    while let Some(segment) = scanner.next_segment().map_err(failed)? {
        match (classifier.see(&segment), segment) {
            (true, ScannedSegment::Record { body, .. }) => records.push(body),
            _ => {
                if let FileCondition::Damaged {
                    record,
                    offset,
                    next_record_at,
                } = classifier.condition()
                {
                    return Err(Error::Damaged {
                        name: name.to_owned(),
                        record,
                        offset,
                        next_record_at,
                    });
                }
            }
        }
    }
    let end = scanner.end();
    let length = if let FileCondition::Torn { offset } = classifier.condition() {
        offset
    } else {
        end
    };
    Ok(Found {
        length,
        end,
        batch: classifier.last_good_batch().unwrap_or(length),
    })
}

/// Writes these bytes of the file over themselves.
fn rewrite_in_place<F: DiskFile>(file: &mut F, mut from: u64, to: u64) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES.min(to.saturating_sub(from) as usize)];
    while from < to {
        let part = (to - from).min(CHUNK_BYTES as u64) as usize;
        let read = format::read_fully(file, from, &mut chunk[..part])?;
        format::write_fully(file, from, &chunk[..read])?;
        if read < part {
            break;
        }
        from += part as u64;
    }
    Ok(())
}
