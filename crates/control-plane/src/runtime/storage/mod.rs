//! A member's state directory: its files, and the thread that alone waits for the disk.
//!
//! | file | holds |
//! | --- | --- |
//! | `identity` | who the member is, one record for each incarnation ([`Identity`]) |
//! | `ledger` | its log: the owner, then one [`protocol::Record`] for each step that must last |
//! | `roster` | the hosts as last known: a cache that only shortens a start of all members |
//!
//! The event loop sends [`Write`]s and hears [`StorageEvent`]s; it never blocks on a disk.

mod identity_file;
mod open;
mod writer;

use crate::member::DiskError;
use crate::runtime::identity::{Identity, StartContext};
use std::path::PathBuf;
use std::sync::mpsc;

/// Name of the file with the identities.
const IDENTITY_FILE: &str = "identity";
/// Name of the log's file.
const LOG_FILE: &str = "ledger";
/// Name of the file with the hosts as last known.
const HOST_CACHE_FILE: &str = "roster";

/// A write that waits for the disk.
#[derive(Debug)]
pub struct Write {
    /// Names the write in [`StorageEvent::Wrote`].
    pub ticket: u64,
    /// The records.
    pub records: Vec<Vec<u8>>,
    /// Whether the records replace all that the file holds; else they are appended.
    pub rewrite: bool,
    /// The file that they are for.
    pub file: StateFile,
}

/// The files that the event loop and its tasks write to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateFile {
    /// The log: what the member has promised, accepted and appended.
    Log,
    /// The hosts as last known, so that a start of all members doesn't wait for heartbeats.
    HostCache,
}

/// What the storage thread reports.
#[derive(Debug)]
pub enum StorageEvent {
    /// The files are open.
    Open {
        /// The identity of this incarnation.
        identity: Identity,
        /// The member's log records.
        records: Vec<Vec<u8>>,
        /// The hosts as last known, where the file could be read.
        host_cache: Option<Vec<u8>>,
    },
    /// The files can't be opened (yet); the thread tries again.
    NotOpen {
        /// The error with its sources.
        detail: String,
    },
    /// A write to the log has ended.
    Wrote {
        /// The write's ticket.
        ticket: u64,
        /// Whether the records are on disk.
        result: Result<(), DiskError>,
    },
}

/// Starts the storage thread on the state directory `dir`.
///
/// The thread ends when the sender of writes is dropped. `report` is called on the thread.
///
/// # Errors
/// If no thread can be started.
pub fn start(
    dir: PathBuf,
    context: StartContext,
    report: impl Fn(StorageEvent) + Send + 'static,
) -> std::io::Result<mpsc::Sender<Write>> {
    let (writes, queue) = mpsc::channel::<Write>();
    std::thread::Builder::new()
        .name("disk".into())
        .spawn(move || run(&dir, &context, &report, &queue))?;
    Ok(writes)
}

/// The thread's work: opens the files, then writes until the sender is gone.
fn run(
    dir: &std::path::Path,
    context: &StartContext,
    report: &dyn Fn(StorageEvent),
    queue: &mpsc::Receiver<Write>,
) {
    if let Some(files) = open::open_until_it_works(dir, context, report, queue) {
        writer::write_until_closed(files, report, queue);
    }
}
