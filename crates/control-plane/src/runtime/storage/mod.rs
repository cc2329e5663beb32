//! A member's state directory: its files, and the one thread that does the disk I/O.
//!
//! | file | content |
//! | --- | --- |
//! | `identity` | the member's identity, one record per incarnation ([`Identity`]) |
//! | `ledger` | the log: the owner, then one [`protocol::Record`] per durable step |
//! | `roster` | the last known hosts: a cache that only speeds up a restart of all members |
//!
//! The event loop sends [`Write`]s and receives [`StorageEvent`]s; it never blocks on the disk.

mod identity_file;
mod open;
mod writer;

use crate::member::DiskError;
use crate::runtime::identity::{Identity, StartContext};
use std::path::PathBuf;
use std::sync::mpsc;

/// File name of the identity file.
const IDENTITY_FILE: &str = "identity";
/// File name of the log.
const LOG_FILE: &str = "ledger";
/// File name of the host cache.
const HOST_CACHE_FILE: &str = "roster";

/// A request to write to a file of the state directory.
#[derive(Debug)]
pub struct Write {
    /// Identifies the write in [`StorageEvent::Wrote`].
    pub ticket: u64,
    /// The encoded records.
    pub records: Vec<Vec<u8>>,
    /// Whether the records replace the file's content instead of being appended.
    pub rewrite: bool,
    /// The file to write to.
    pub file: StateFile,
}

/// A file that the event loop and its tasks write to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateFile {
    /// The log of the member's promises, accepted membership configurations and appended changes.
    Log,
    /// The last known hosts, so that a restart of all members needn't wait for heartbeats.
    HostCache,
}

/// An event that the storage thread reports.
#[derive(Debug)]
pub enum StorageEvent {
    /// The files are open.
    Open {
        /// The identity of this incarnation.
        identity: Identity,
        /// The state machine's records in the log.
        records: Vec<Vec<u8>>,
        /// The content of the host cache, if it exists and could be read.
        host_cache: Option<Vec<u8>>,
    },
    /// Opening the files failed; the thread retries.
    OpenFailed {
        /// The error and its sources as text.
        detail: String,
    },
    /// A write to the log has completed or failed.
    Wrote {
        /// The ticket of the [`Write`].
        ticket: u64,
        /// `Ok` once the records are on disk.
        result: Result<(), DiskError>,
    },
}

/// Starts the storage thread on the state directory `dir`.
///
/// The thread ends when the sender of writes is dropped. `report` is called on the thread.
///
/// # Errors
/// Returns an error if the thread can't be started.
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

/// Runs on the storage thread: opens the files, then carries out writes until their sender is dropped.
fn run(
    dir: &std::path::Path,
    context: &StartContext,
    report: &dyn Fn(StorageEvent),
    queue: &mpsc::Receiver<Write>,
) {
    if let Some(files) = open::open_with_retries(dir, context, report, queue) {
        writer::write_until_closed(files, report, queue);
    }
}
