//! The little that a [`AppendLog`](crate::AppendLog) asks of a disk, and a folder of the file system that offers it.

use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// A folder that files are kept in.
///
/// What is promised, and no more: after a loss of power a file has what its last sync covered; of later writes each
/// is there, missing or torn. A new file lasts with its own sync; renamed and removed names last once the folder is
/// synced.
pub trait Disk {
    /// An open file.
    type File: DiskFile;

    /// Opens a file for reading and writing; `None` where there is none.
    fn open(&mut self, name: &str) -> io::Result<Option<Self::File>>;

    /// Opens a file for reading alone; `None` where there is none.
    fn open_read_only(&mut self, name: &str) -> io::Result<Option<Self::File>>;

    /// Makes an empty file, in the place of one that is there.
    fn create(&mut self, name: &str) -> io::Result<Self::File>;

    /// Gives a file another name, in the place of one that has it.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file; whether there was one.
    fn remove(&mut self, name: &str) -> io::Result<bool>;

    /// Makes names last.
    fn sync_directory(&mut self) -> io::Result<()>;
}

/// An open file of a [`Disk`].
pub trait DiskFile {
    /// Its length in bytes.
    fn length(&mut self) -> io::Result<u64>;

    /// Reads from this byte on; how much was read, 0 at the end.
    fn read_at(&mut self, offset: u64, into: &mut [u8]) -> io::Result<usize>;

    /// Writes from this byte on; how much was written.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<usize>;

    /// Cuts the file off at this length in bytes.
    fn truncate(&mut self, length: u64) -> io::Result<()>;

    /// Makes the bytes last.
    fn sync(&mut self) -> io::Result<()>;
}

/// A folder of the file system.
#[derive(Debug)]
pub struct Directory {
    path: PathBuf,
}

impl Directory {
    /// The folder at this path, which has to be there.
    pub fn new(path: &Path) -> Directory {
        Directory {
            path: path.to_owned(),
        }
    }
}

/// What is not there is no error here.
fn found<T>(result: io::Result<T>) -> io::Result<Option<T>> {
    match result {
        Ok(value) => Ok(Some(value)),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

impl Disk for Directory {
    type File = DirectoryFile;

    fn open(&mut self, name: &str) -> io::Result<Option<DirectoryFile>> {
        let file = found(
            OpenOptions::new()
                .read(true)
                .write(true)
                .open(self.path.join(name)),
        )?;
        Ok(file.map(|file| DirectoryFile { file, at: 0 }))
    }

    fn open_read_only(&mut self, name: &str) -> io::Result<Option<DirectoryFile>> {
        Ok(found(File::open(self.path.join(name)))?.map(|file| DirectoryFile { file, at: 0 }))
    }

    fn create(&mut self, name: &str) -> io::Result<DirectoryFile> {
        let path = self.path.join(name);
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(true)
            .open(path)?;
        Ok(DirectoryFile { file, at: 0 })
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<bool> {
        Ok(found(fs::remove_file(self.path.join(name)))?.is_some())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

/// An open file of a [`Directory`].
#[derive(Debug)]
pub struct DirectoryFile {
    file: File,
    /// Where the next read or write begins, so that appending needs no seek.
    at: u64,
}

impl DirectoryFile {
    fn seek_to(&mut self, offset: u64) -> io::Result<()> {
        if self.at != offset {
            self.at = self.file.seek(SeekFrom::Start(offset))?;
        }
        Ok(())
    }
}

impl DiskFile for DirectoryFile {
    fn length(&mut self) -> io::Result<u64> {
        self.at = self.file.seek(SeekFrom::End(0))?;
        Ok(self.at)
    }

    fn read_at(&mut self, offset: u64, into: &mut [u8]) -> io::Result<usize> {
        self.seek_to(offset)?;
        let read = self.file.read(into)?;
        self.at += read as u64;
        Ok(read)
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<usize> {
        self.seek_to(offset)?;
        let written = self.file.write(bytes)?;
        self.at += written as u64;
        Ok(written)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.file.set_len(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file.sync_data()
    }
}
