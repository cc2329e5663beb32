//! The append-only log: opening, appending, rewriting, and repair after failed writes.

use std::io;
use std::path::Path;

use crate::disk::{read_fully, write_fully};
use crate::format::{
    self, temporary_name, FILE_HEADER_BYTES, FORMAT_VERSION, MAX_BATCH_BYTES, MAX_RECORD_BYTES,
    RECORD_HEADER_BYTES,
};
use crate::recovery::{read_records, rewrite_in_place, TruncatedTail};
use crate::{Directory, Disk, DiskFile, Error};

/// Length in bytes up to which a file is never rewritten.
const MIN_REWRITE_BYTES: u64 = 64 << 10;

/// Ratio of a file's length to the length of its live records above which a rewrite is worthwhile.
const REWRITE_RATIO: u64 = 4;

/// Bytes that a rewrite writes at once, and the most that the buffer keeps allocated between calls.
const WRITE_CHUNK_BYTES: usize = 256 << 10;

/// What is known about the file's contents on the disk.
enum FileState<F> {
    /// The file doesn't exist yet; the first append creates it.
    Absent,
    /// The file holds exactly `synced_length` bytes, all synced.
    Synced(F),
    /// After the `synced_length` synced bytes there may be others, which have to be truncated.
    UnsyncedTail(F),
    /// A sync of the file or of its directory entry failed. The bytes synced before are readable, and have to be copied
    /// to a new file.
    Untrusted,
}

/// An append-only file of records.
///
/// A record is a byte string of up to [`MAX_RECORD_BYTES`]. The log remains usable after an error: the next call first
/// restores the file to its last synced contents.
pub struct AppendLog<D: Disk = Directory> {
    disk: D,
    name: String,
    state: FileState<D::File>,
    /// Length of the file's synced contents in bytes; 0 while there is no file.
    synced_length: u64,
    truncated_tail: Option<TruncatedTail>,
    buffer: Vec<u8>,
}

impl AppendLog {
    /// Opens the log `name` in an existing directory, and returns its records in order.
    ///
    /// The file is created only by the first append, so that opening also works on a full disk. All returned records
    /// are synced. An incomplete last batch is truncated after its last complete record
    /// ([`AppendLog::truncated_tail`]). The temporary file of an interrupted rewrite is removed.
    ///
    /// # Errors
    /// [`Error::Damaged`] and [`Error::InvalidHeader`] if synced bytes are damaged, [`Error::NewerFormat`] for a file
    /// of a later release, [`Error::DiskFull`] and [`Error::Io`] if the disk fails. The file is left as it is.
    pub fn open(directory: &Path, name: &str) -> Result<(AppendLog, Vec<Vec<u8>>), Error> {
        AppendLog::open_on(Directory::new(directory), name)
    }
}

impl<D: Disk> AppendLog<D> {
    /// Opens the log `name` on any [`Disk`], like [`AppendLog::open`].
    ///
    /// # Errors
    /// As [`AppendLog::open`].
    pub fn open_on(mut disk: D, name: &str) -> Result<(AppendLog<D>, Vec<Vec<u8>>), Error> {
        let io_error = |operation| move |error| Error::from_io(operation, name, error);
        let mut records = Vec::new();
        let (mut synced_length, mut truncated_tail, mut state) = (0, None, FileState::Absent);
        if let Some(mut file) = disk.open(name).map_err(io_error("open"))? {
            let recovered = read_records(&mut file, name, &mut records)?;
            synced_length = recovered.valid_length;
            truncated_tail = recovered.torn_tail();
            // A disk that rejects writes may reject the truncation too; the records can be read nevertheless.
            let is_truncated = truncated_tail.is_none() || file.truncate(synced_length).is_ok();
            // The previous process may have been killed between write and sync, or after a failed sync. The operating
            // system may then consider the pages clean, so that a sync alone doesn't write them to the disk. The last
            // batch is therefore written once more, if the disk accepts writes.
            let _ = rewrite_in_place(&mut file, recovered.last_batch_offset, synced_length);
            file.sync().map_err(io_error("sync"))?;
            state = if is_truncated {
                FileState::Synced(file)
            } else {
                FileState::UnsyncedTail(file)
            };
        }
        // The temporary file of an interrupted rewrite. If it can't be removed, the next rewrite replaces it.
        let _ = disk.remove(&temporary_name(name));
        if !matches!(state, FileState::Absent) {
            disk.sync_directory()
                .map_err(io_error("sync the directory of"))?;
        }
        let log = AppendLog {
            disk,
            name: name.to_owned(),
            state,
            synced_length,
            truncated_tail,
            buffer: Vec::new(),
        };
        Ok((log, records))
    }

    /// The incomplete batch that was truncated when the log was opened, if there was one.
    pub fn truncated_tail(&self) -> Option<TruncatedTail> {
        self.truncated_tail
    }

    /// Length of the file's synced contents in bytes; 0 while there is no file.
    pub fn len(&self) -> u64 {
        self.synced_length
    }

    /// Whether the log has no records.
    pub fn is_empty(&self) -> bool {
        self.synced_length <= FILE_HEADER_BYTES as u64
    }

    /// Whether the file is so long that a rewrite which leaves `live_bytes` is worthwhile.
    pub fn wants_rewrite(&self, live_bytes: u64) -> bool {
        self.synced_length > MIN_REWRITE_BYTES
            && self.synced_length > live_bytes.saturating_mul(REWRITE_RATIO)
    }

    /// Appends a batch of records with one write and one sync. The records are durable once this returns `Ok`.
    ///
    /// # Errors
    /// [`Error::TooLarge`] if a record or the batch is too long; nothing is written then. [`Error::DiskFull`] or
    /// [`Error::Io`] if the disk failed: the records are not part of the log then, and the next append doesn't follow
    /// them. Only if the process ends before the next call can all or the first of them be present at the next start.
    pub fn append(&mut self, records: &[&[u8]]) -> Result<(), Error> {
        check_record_lengths(records)?;
        if records.is_empty() {
            return Ok(());
        }
        let batch_bytes: u64 = records
            .iter()
            .map(|record| (RECORD_HEADER_BYTES + record.len()) as u64)
            .sum();
        if batch_bytes > MAX_BATCH_BYTES as u64 {
            return Err(Error::TooLarge {
                bytes: batch_bytes,
                limit: MAX_BATCH_BYTES as u64,
            });
        }
        self.repair()?;
        // The state becomes `Synced` again only if write and sync succeed, or if a failed write is repaired.
        let FileState::Synced(mut file) = std::mem::replace(&mut self.state, FileState::Untrusted)
        else {
            return Err(Error::from_io(
                "append to",
                &self.name,
                io::ErrorKind::Other.into(),
            ));
        };
        self.buffer.clear();
        for record in records {
            let batch_offset = if self.buffer.is_empty() {
                None
            } else {
                Some(self.synced_length)
            };
            format::encode_record_into(&mut self.buffer, self.synced_length, batch_offset, record);
        }
        let write_result = write_fully(&mut file, self.synced_length, &self.buffer);
        let written_bytes = self.buffer.len() as u64;
        self.buffer.clear();
        self.buffer.shrink_to(WRITE_CHUNK_BYTES);
        if let Err(error) = write_result {
            self.state = FileState::UnsyncedTail(file);
            // If the repair fails too, the next call retries it.
            let _ = self.repair();
            return Err(Error::from_io("append to", &self.name, error));
        }
        if let Err(error) = file.sync() {
            // The next process must not read the written bytes: they may never reach the disk even if a later sync
            // succeeds.
            let _ = file.truncate(self.synced_length);
            return Err(Error::from_io("sync", &self.name, error));
        }
        self.synced_length += written_bytes;
        self.state = FileState::Synced(file);
        Ok(())
    }

    /// Replaces the file with a new one that holds only these records. The old file stays complete until the
    /// replacement.
    ///
    /// # Errors
    /// [`Error::TooLarge`] if a record is too long; nothing is written then. [`Error::DiskFull`] or [`Error::Io`] if
    /// the disk failed: the file is then either the old one or the complete new one.
    pub fn rewrite(&mut self, records: &[&[u8]]) -> Result<(), Error> {
        check_record_lengths(records)?;
        let mut buffer = std::mem::take(&mut self.buffer);
        let result = self.replace_file(|file| {
            buffer.extend_from_slice(&format::file_header(FORMAT_VERSION));
            let mut base_offset = 0;
            for record in records {
                // Each record is a batch of its own: all are synced before the file is renamed, so none can be torn.
                format::encode_record_into(&mut buffer, base_offset, None, record);
                if buffer.len() >= WRITE_CHUNK_BYTES {
                    write_fully(file, base_offset, &buffer)?;
                    base_offset += buffer.len() as u64;
                    buffer.clear();
                }
            }
            write_fully(file, base_offset, &buffer)?;
            Ok(base_offset + buffer.len() as u64)
        });
        buffer.clear();
        buffer.shrink_to(WRITE_CHUNK_BYTES);
        self.buffer = buffer;
        result
    }

    /// Restores the file to exactly its synced bytes. Creates it if it doesn't exist.
    fn repair(&mut self) -> Result<(), Error> {
        if let FileState::Absent = self.state {
            return self.rewrite(&[]);
        }
        if let FileState::UnsyncedTail(file) = &mut self.state {
            file.truncate(self.synced_length)
                .map_err(|error| Error::from_io("cut", &self.name, error))?;
            match file.sync() {
                Ok(()) => {
                    if let FileState::UnsyncedTail(file) =
                        std::mem::replace(&mut self.state, FileState::Untrusted)
                    {
                        self.state = FileState::Synced(file);
                    }
                }
                Err(error) => {
                    self.state = FileState::Untrusted;
                    return Err(Error::from_io("sync", &self.name, error));
                }
            }
        }
        if !matches!(self.state, FileState::Untrusted) {
            return Ok(());
        }
        let open_result = self.disk.open_read_only(&self.name);
        let existing_file =
            open_result.map_err(|error| Error::from_io("open", &self.name, error))?;
        let mut existing_file = existing_file.ok_or_else(|| Error::InvalidHeader {
            name: self.name.clone(),
        })?;
        let synced_length = self.synced_length;
        self.replace_file(|file| {
            let (mut offset, mut chunk) =
                (0, vec![0; WRITE_CHUNK_BYTES.min(synced_length as usize)]);
            while offset < synced_length {
                let chunk_length = (synced_length - offset).min(WRITE_CHUNK_BYTES as u64) as usize;
                if read_fully(&mut existing_file, offset, &mut chunk[..chunk_length])?
                    < chunk_length
                {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                write_fully(file, offset, &chunk[..chunk_length])?;
                offset += chunk_length as u64;
            }
            Ok(synced_length)
        })
    }

    /// Writes a file under a temporary name, syncs it and renames it to the log's name.
    fn replace_file(
        &mut self,
        write_contents: impl FnOnce(&mut D::File) -> io::Result<u64>,
    ) -> Result<(), Error> {
        let temporary = temporary_name(&self.name);
        let rewrite_error = |error| Error::from_io("rewrite", &self.name, error);
        let synced_file = self.disk.create(&temporary).and_then(|mut file| {
            let length = write_contents(&mut file)?;
            file.sync()?;
            Ok((file, length))
        });
        let rename_result =
            synced_file.and_then(|file| self.disk.rename(&temporary, &self.name).map(|()| file));
        let (file, length) = match rename_result {
            Ok(renamed_file) => renamed_file,
            Err(error) => {
                // Frees the space of the temporary file. If this fails too, the next rewrite replaces the file.
                let _ = self.disk.remove(&temporary);
                return Err(rewrite_error(error));
            }
        };
        self.synced_length = length;
        if let Err(error) = self.disk.sync_directory() {
            // The rename may be undone by a power loss, and later appends to the file would be lost with it.
            self.state = FileState::Untrusted;
            return Err(Error::from_io("sync the directory of", &self.name, error));
        }
        self.state = FileState::Synced(file);
        Ok(())
    }
}

fn check_record_lengths(records: &[&[u8]]) -> Result<(), Error> {
    match records.iter().map(|record| record.len()).max() {
        Some(longest_body) if longest_body > MAX_RECORD_BYTES => Err(Error::TooLarge {
            bytes: longest_body as u64,
            limit: MAX_RECORD_BYTES as u64,
        }),
        _ => Ok(()),
    }
}
