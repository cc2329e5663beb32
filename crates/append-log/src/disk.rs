//! The disk operations that an [`AppendLog`](crate::AppendLog) needs, and their implementation on the file system.

use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// A directory of files.
///
/// Durability: after a power loss a file holds what its last sync covered, and each later write is present, missing or
/// torn. A new file is durable with its own first sync; renames and removals are durable once the directory is synced.
pub trait Disk {
    /// An open file.
    type File: DiskFile;

    /// Opens a file for reading and writing. Returns `None` if it does not exist.
    ///
    /// # Errors
    /// The I/O error of the operation.
    fn open(&mut self, name: &str) -> io::Result<Option<Self::File>>;

    /// Opens a file for reading only. Returns `None` if it does not exist.
    ///
    /// # Errors
    /// The I/O error of the operation.
    fn open_read_only(&mut self, name: &str) -> io::Result<Option<Self::File>>;

    /// Creates an empty file, or truncates the existing one.
    ///
    /// # Errors
    /// The I/O error of the operation.
    fn create(&mut self, name: &str) -> io::Result<Self::File>;

    /// Renames a file, replacing an existing one of the new name.
    ///
    /// # Errors
    /// The I/O error of the operation.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file. Returns whether it existed.
    ///
    /// # Errors
    /// The I/O error of the operation.
    fn remove(&mut self, name: &str) -> io::Result<bool>;

    /// Makes renames and removals of files durable.
    ///
    /// # Errors
    /// The I/O error of the operation.
    fn sync_directory(&mut self) -> io::Result<()>;
}

/// An open file of a [`Disk`].
pub trait DiskFile {
    /// Length of the file in bytes.
    ///
    /// # Errors
    /// The I/O error of the operation.
    fn length(&mut self) -> io::Result<u64>;

    /// Reads bytes from `offset` on into `buffer`, possibly fewer than fit. Returns their number; 0 at the end of the
    /// file.
    ///
    /// # Errors
    /// The I/O error of the operation.
    fn read_at(&mut self, offset: u64, buffer: &mut [u8]) -> io::Result<usize>;

    /// Writes bytes from `offset` on, possibly only the first ones. Returns the number written.
    ///
    /// # Errors
    /// The I/O error of the operation.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<usize>;

    /// Truncates the file to `length` bytes.
    ///
    /// # Errors
    /// The I/O error of the operation.
    fn truncate(&mut self, length: u64) -> io::Result<()>;

    /// Makes the file's contents durable.
    ///
    /// # Errors
    /// The I/O error of the operation.
    fn sync(&mut self) -> io::Result<()>;
}

/// A directory of the file system.
#[derive(Debug)]
pub struct Directory {
    path: PathBuf,
}

impl Directory {
    /// Creates a handle for the directory at `path`, which must exist.
    pub fn new(path: &Path) -> Directory {
        Directory {
            path: path.to_owned(),
        }
    }
}

/// Turns a "not found" error into `None`.
fn none_if_not_found<T>(result: io::Result<T>) -> io::Result<Option<T>> {
    match result {
        Ok(value) => Ok(Some(value)),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

impl Disk for Directory {
    type File = DirectoryFile;

    fn open(&mut self, name: &str) -> io::Result<Option<DirectoryFile>> {
        let file = none_if_not_found(
            OpenOptions::new()
                .read(true)
                .write(true)
                .open(self.path.join(name)),
        )?;
        Ok(file.map(|file| DirectoryFile { file, position: 0 }))
    }

    fn open_read_only(&mut self, name: &str) -> io::Result<Option<DirectoryFile>> {
        Ok(none_if_not_found(File::open(self.path.join(name)))?
            .map(|file| DirectoryFile { file, position: 0 }))
    }

    fn create(&mut self, name: &str) -> io::Result<DirectoryFile> {
        let path = self.path.join(name);
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(true)
            .open(path)?;
        Ok(DirectoryFile { file, position: 0 })
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<bool> {
        Ok(none_if_not_found(fs::remove_file(self.path.join(name)))?.is_some())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

/// An open file of a [`Directory`].
#[derive(Debug)]
pub struct DirectoryFile {
    file: File,
    /// Current position in the file, in bytes from its start. It saves a seek before each append.
    position: u64,
}

impl DirectoryFile {
    fn seek_to(&mut self, offset: u64) -> io::Result<()> {
        if self.position != offset {
            self.position = self.file.seek(SeekFrom::Start(offset))?;
        }
        Ok(())
    }
}

impl DiskFile for DirectoryFile {
    fn length(&mut self) -> io::Result<u64> {
        self.position = self.file.seek(SeekFrom::End(0))?;
        Ok(self.position)
    }

    fn read_at(&mut self, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        self.seek_to(offset)?;
        let count = self.file.read(buffer)?;
        self.position += count as u64;
        Ok(count)
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<usize> {
        self.seek_to(offset)?;
        let count = self.file.write(bytes)?;
        self.position += count as u64;
        Ok(count)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.file.set_len(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file.sync_data()
    }
}

/// Reads until `buffer` is full or the file ends. Returns the number of bytes read.
pub(crate) fn read_fully<F: DiskFile>(
    file: &mut F,
    offset: u64,
    buffer: &mut [u8],
) -> io::Result<usize> {
    let mut bytes_read = 0;
    while bytes_read < buffer.len() {
        match file.read_at(offset + bytes_read as u64, &mut buffer[bytes_read..]) {
            Ok(0) => break,
            Ok(count) => bytes_read += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(bytes_read)
}

/// Writes all of `bytes` at `offset`.
pub(crate) fn write_fully<F: DiskFile>(file: &mut F, offset: u64, bytes: &[u8]) -> io::Result<()> {
    let mut bytes_written = 0;
    while bytes_written < bytes.len() {
        match file.write_at(offset + bytes_written as u64, &bytes[bytes_written..]) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(count) => bytes_written += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
