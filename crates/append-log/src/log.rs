//! The log: opened, appended to, rewritten, repaired.

use std::io;
use std::path::Path;

use crate::disk::{read_fully, write_fully};
use crate::format::{
    self, temporary_name, FILE_HEADER_BYTES, FORMAT_VERSION, MAX_BATCH_BYTES, MAX_RECORD_BYTES,
    RECORD_HEADER_BYTES,
};
use crate::recovery::{read_records, rewrite_in_place, TruncatedTail};
use crate::{Directory, Disk, DiskFile, Error};

/// Below this length in bytes a file is never rewritten.
const MIN_REWRITE_BYTES: u64 = 64 << 10;

/// A file is worth a rewrite if it is more than this many times as long as its live records.
const REWRITE_RATIO: u64 = 4;

/// How many bytes a rewrite writes at once, and how many the buffer may keep between calls.
const CHUNK_BYTES: usize = 256 << 10;

/// How far the file can be relied on.
enum State<F> {
    /// There is none yet; the first append creates it.
    Absent,
    /// It holds `length` bytes, all synced.
    Synced(F),
    /// Behind `length` bytes, all synced, there may be others that have to be cut off.
    UnsyncedTail(F),
    /// A sync failed, or the file's name may not last. What was synced before can be read; it has to be copied.
    Untrusted,
}

/// An append-only file of records.
///
/// A record is any bytes, up to [`MAX_RECORD_BYTES`]. After an error the log takes further calls: the next one first
/// brings the file back to what was synced last.
pub struct AppendLog<D: Disk = Directory> {
    disk: D,
    name: String,
    state: State<D::File>,
    /// How many bytes are synced.
    length: u64,
    truncated_tail: Option<TruncatedTail>,
    buffer: Vec<u8>,
}

impl AppendLog {
    /// Opens the file of this name in an existing directory, and returns its records in order.
    ///
    /// Nothing is created before the first append, so a log on a full disk opens too. All returned records are synced. An
    /// incomplete last batch is cut off behind its last complete record ([`AppendLog::truncated_tail`]). What an
    /// interrupted rewrite left is removed.
    ///
    /// # Errors
    /// [`Error::Damaged`] and [`Error::Header`] if bytes that had been synced are damaged, [`Error::Newer`] for a file of a
    /// later release, [`Error::Full`] and [`Error::Io`] if the disk fails. The file is left as it is.
    pub fn open(directory: &Path, name: &str) -> Result<(AppendLog, Vec<Vec<u8>>), Error> {
        AppendLog::open_on(Directory::new(directory), name)
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
        let (mut length, mut truncated_tail, mut state) = (0, None, State::Absent);
        if let Some(mut file) = disk.open(name).map_err(failed("open"))? {
            let found = read_records(&mut file, name, &mut records)?;
            length = found.length;
            truncated_tail = found.torn_tail();
            // A disk that takes no writes may refuse to truncate; the file is readable all the same.
            let is_truncated = truncated_tail.is_none() || file.truncate(length).is_ok();
            // The process before may have been killed between write and sync, or after a sync that failed. What it wrote
            // then counts as clean, and no sync brings it to the disk. So the last batch is written once more, if the
            // disk takes writes.
            let _ = rewrite_in_place(&mut file, found.batch, length);
            file.sync().map_err(failed("sync"))?;
            state = if is_truncated {
                State::Synced(file)
            } else {
                State::UnsyncedTail(file)
            };
        }
        // What an interrupted rewrite left. If it stays, the next rewrite takes its place.
        let _ = disk.remove(&temporary_name(name));
        if !matches!(state, State::Absent) {
            disk.sync_directory()
                .map_err(failed("sync the folder of"))?;
        }
        let log = AppendLog {
            disk,
            name: name.to_owned(),
            state,
            length,
            truncated_tail,
            buffer: Vec::new(),
        };
        Ok((log, records))
    }

    /// What was cut off when the log was opened.
    pub fn truncated_tail(&self) -> Option<TruncatedTail> {
        self.truncated_tail
    }

    /// How many bytes of the file are synced; 0 while there is none.
    pub fn len(&self) -> u64 {
        self.length
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.length <= FILE_HEADER_BYTES as u64
    }

    /// Whether the file is worth a rewrite that leaves `live_bytes`.
    pub fn wants_rewrite(&self, live_bytes: u64) -> bool {
        self.length > MIN_REWRITE_BYTES && self.length > live_bytes.saturating_mul(REWRITE_RATIO)
    }

    /// Appends records with one write and one sync for all of them. None of them is durable before the `Ok`.
    ///
    /// # Errors
    /// [`Error::TooLarge`] and nothing was done; [`Error::Full`] or [`Error::Io`] if the disk refused. Then the
    /// records count as not written, here and for the next append; only if the process ends before the next call
    /// can they (or some of the first of them) turn up at its next start.
    pub fn append(&mut self, records: &[&[u8]]) -> Result<(), Error> {
        check_lengths(records)?;
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
        let written = write_fully(&mut file, self.length, &self.buffer);
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

    /// Replaces the file by a new one with these records. The old one stays complete until then.
    ///
    /// # Errors
    /// [`Error::TooLarge`] and nothing was done; [`Error::Full`] or [`Error::Io`] if the disk refused. Then the file
    /// is the old one, or the complete new one.
    pub fn rewrite(&mut self, records: &[&[u8]]) -> Result<(), Error> {
        check_lengths(records)?;
        let mut buffer = std::mem::take(&mut self.buffer);
        let result = self.replace(|file| {
            buffer.extend_from_slice(&format::header(FORMAT_VERSION));
            let mut base = 0;
            for record in records {
                // Each is its own batch: all are synced before the file gets its name.
                format::encode_record_into(&mut buffer, base, None, record);
                if buffer.len() >= CHUNK_BYTES {
                    write_fully(file, base, &buffer)?;
                    base += buffer.len() as u64;
                    buffer.clear();
                }
            }
            write_fully(file, base, &buffer)?;
            Ok(base + buffer.len() as u64)
        });
        buffer.clear();
        buffer.shrink_to(CHUNK_BYTES);
        self.buffer = buffer;
        result
    }

    /// Brings the file back to exactly the bytes that are synced; creates it if there is none.
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
                if read_fully(&mut old, at, &mut chunk[..part])? < part {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                write_fully(file, at, &chunk[..part])?;
                at += part as u64;
            }
            Ok(length)
        })
    }

    /// Fills a file under a temporary name, and renames it to the log's name once it is synced.
    fn replace(&mut self, fill: impl FnOnce(&mut D::File) -> io::Result<u64>) -> Result<(), Error> {
        let temporary = temporary_name(&self.name);
        let failed = |error| Error::from_io("rewrite", &self.name, error);
        let filled = self.disk.create(&temporary).and_then(|mut file| {
            let length = fill(&mut file)?;
            file.sync()?;
            Ok((file, length))
        });
        let renamed =
            filled.and_then(|filled| self.disk.rename(&temporary, &self.name).map(|()| filled));
        let (file, length) = match renamed {
            Ok(filled) => filled,
            Err(error) => {
                // Frees its space; if this fails too, the next rewrite takes its place.
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

fn check_lengths(records: &[&[u8]]) -> Result<(), Error> {
    match records.iter().map(|record| record.len()).max() {
        Some(longest_body) if longest_body > MAX_RECORD_BYTES => Err(Error::TooLarge {
            bytes: longest_body as u64,
            limit: MAX_RECORD_BYTES as u64,
        }),
        _ => Ok(()),
    }
}
