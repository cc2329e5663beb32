//! What an [`AppendLog`](crate::AppendLog) needs of a disk, and a directory of the file system that offers it.

use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// A directory of files.
///
/// It promises no more than this: after a loss of power a file has what its last sync covered; of the later writes each
/// is there, missing or torn. A new file lasts with its own sync; renamed and removed names last once the directory is
/// synced.
pub trait Disk {
    /// An open file.
    type File: DiskFile;

    /// Opens a file for reading and writing; `None` if there is none.
    ///
    /// # Errors
    /// What the system says.
    fn open(&mut self, name: &str) -> io::Result<Option<Self::File>>;

    /// Opens a file for reading only; `None` if there is none.
    ///
    /// # Errors
    /// What the system says.
    fn open_read_only(&mut self, name: &str) -> io::Result<Option<Self::File>>;

    /// Creates an empty file, in the place of an existing one.
    ///
    /// # Errors
    /// What the system says.
    fn create(&mut self, name: &str) -> io::Result<Self::File>;

    /// Renames a file, in the place of an existing one.
    ///
    /// # Errors
    /// What the system says.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file. Returns whether there was one.
    ///
    /// # Errors
    /// What the system says.
    fn remove(&mut self, name: &str) -> io::Result<bool>;

    /// Makes the names of the files last.
    ///
    /// # Errors
    /// What the system says.
    fn sync_directory(&mut self) -> io::Result<()>;
}

/// An open file of a [`Disk`].
pub trait DiskFile {
    /// Its length in bytes.
    ///
    /// # Errors
    /// What the system says.
    fn length(&mut self) -> io::Result<u64>;

    /// Reads from this byte on. Returns how many bytes were read; 0 at the end.
    ///
    /// # Errors
    /// What the system says.
    fn read_at(&mut self, offset: u64, into: &mut [u8]) -> io::Result<usize>;

    /// Writes from this byte on. Returns how many bytes were written.
    ///
    /// # Errors
    /// What the system says.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<usize>;

    /// Truncates the file to this length in bytes.
    ///
    /// # Errors
    /// What the system says.
    fn truncate(&mut self, length: u64) -> io::Result<()>;

    /// Makes the file's bytes last.
    ///
    /// # Errors
    /// What the system says.
    fn sync(&mut self) -> io::Result<()>;
}

/// A directory of the file system.
#[derive(Debug)]
pub struct Directory {
    path: PathBuf,
}

impl Directory {
    /// The directory at this path, which has to exist.
    pub fn new(path: &Path) -> Directory {
        Directory {
            path: path.to_owned(),
        }
    }
}

/// Turns the error that something doesn't exist into `None`.
fn existing<T>(result: io::Result<T>) -> io::Result<Option<T>> {
    match result {
        Ok(value) => Ok(Some(value)),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

impl Disk for Directory {
    type File = DirectoryFile;

    fn open(&mut self, name: &str) -> io::Result<Option<DirectoryFile>> {
        let file = existing(
            OpenOptions::new()
                .read(true)
                .write(true)
                .open(self.path.join(name)),
        )?;
        Ok(file.map(|file| DirectoryFile { file, position: 0 }))
    }

    fn open_read_only(&mut self, name: &str) -> io::Result<Option<DirectoryFile>> {
        Ok(existing(File::open(self.path.join(name)))?
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
        Ok(existing(fs::remove_file(self.path.join(name)))?.is_some())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

/// An open file of a [`Directory`].
#[derive(Debug)]
pub struct DirectoryFile {
    file: File,
    /// The file's position, so that appending needs no seek.
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

    fn read_at(&mut self, offset: u64, into: &mut [u8]) -> io::Result<usize> {
        self.seek_to(offset)?;
        let read = self.file.read(into)?;
        self.position += read as u64;
        Ok(read)
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<usize> {
        self.seek_to(offset)?;
        let written = self.file.write(bytes)?;
        self.position += written as u64;
        Ok(written)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.file.set_len(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file.sync_data()
    }
}

/// Reads until `into` is full or the file ends. Returns how many bytes were read.
pub(crate) fn read_fully<F: DiskFile>(
    file: &mut F,
    offset: u64,
    into: &mut [u8],
) -> io::Result<usize> {
    let mut done = 0;
    while done < into.len() {
        match file.read_at(offset + done as u64, &mut into[done..]) {
            Ok(0) => break,
            Ok(read) => done += read,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(done)
}

/// Writes all of `bytes`.
pub(crate) fn write_fully<F: DiskFile>(file: &mut F, offset: u64, bytes: &[u8]) -> io::Result<()> {
    let mut done = 0;
    while done < bytes.len() {
        match file.write_at(offset + done as u64, &bytes[done..]) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(written) => done += written,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
