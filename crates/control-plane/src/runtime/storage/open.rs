//! Opens a member's files, with retries until that succeeds.

use super::identity_file::IdentityFile;
use super::{StorageEvent, Write, HOST_CACHE_FILE, IDENTITY_FILE, LOG_FILE};
use crate::runtime::identity::{latest_identity, Identity, IdentityError, StartContext, StoredLog};
use append_log::AppendLog;
use snafu::{ResultExt, Snafu};
use std::path::Path;
use std::sync::mpsc;
use std::time::Duration;

/// Time between two attempts to open the files.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// A member's open files.
pub(super) struct OpenFiles {
    pub(super) identity: Identity,
    pub(super) identity_file: IdentityFile,
    pub(super) log: AppendLog,
    /// `None` if the file can't be opened; the member then runs without a host cache.
    pub(super) host_cache: Option<AppendLog>,
}

/// An error that prevents opening the files.
#[derive(Debug, Snafu)]
enum OpenError {
    #[snafu(display("cannot open a file of the state directory"))]
    File { source: append_log::Error },
    #[snafu(display("cannot tell which member this state directory belongs to"))]
    UnknownIdentity { source: IdentityError },
}

/// Opens the files and reports their content. Returns `None` if the sender of writes is dropped before that succeeds.
pub(super) fn open_with_retries(
    dir: &Path,
    context: &StartContext,
    report: &dyn Fn(StorageEvent),
    queue: &mpsc::Receiver<Write>,
) -> Option<OpenFiles> {
    loop {
        match open(dir, context) {
            Ok((mut files, records)) => {
                let (host_cache, content) = open_host_cache(dir);
                files.host_cache = host_cache;
                report(StorageEvent::Open {
                    identity: files.identity.clone(),
                    records,
                    host_cache: content,
                });
                return Some(files);
            }
            Err(error) => report(StorageEvent::OpenFailed {
                detail: snafu::Report::from_error(error).to_string(),
            }),
        }
        match queue.recv_timeout(OPEN_RETRY_INTERVAL) {
            Err(mpsc::RecvTimeoutError::Disconnected) => return None,
            // The event loop sends no write before the files are open.
            Ok(_) | Err(mpsc::RecvTimeoutError::Timeout) => {}
        }
    }
}

/// Opens the identity file and the log. Returns them with the log's records, without the owner record.
fn open(dir: &Path, context: &StartContext) -> Result<(OpenFiles, Vec<Vec<u8>>), OpenError> {
    let (file, stored_identities) = AppendLog::open(dir, IDENTITY_FILE).context(FileSnafu)?;
    let (mut log, stored_records) = AppendLog::open(dir, LOG_FILE).context(FileSnafu)?;
    let stored_log = StoredLog::from_records(stored_records);
    let stored_identity = latest_identity(&stored_identities).context(UnknownIdentitySnafu)?;
    let identity = context
        .identity_from_files(stored_identity, &stored_log)
        .context(UnknownIdentitySnafu)?;
    let mut identity_file =
        IdentityFile::new(file, stored_identities.len(), &identity, &stored_log);
    // A full disk doesn't prevent the start: incarnations increase with the time of day even if they aren't stored.
    if let Err(error) = identity_file.store(&identity, &mut log) {
        log::warn!(error:%; "identity not stored yet");
    }
    let files = OpenFiles {
        identity,
        identity_file,
        log,
        host_cache: None,
    };
    Ok((files, stored_log.records))
}

/// Opens the host cache and reads its content. If that fails, the hosts' heartbeats provide the records again.
fn open_host_cache(dir: &Path) -> (Option<AppendLog>, Option<Vec<u8>>) {
    match AppendLog::open(dir, HOST_CACHE_FILE) {
        Ok((file, mut records)) => (Some(file), records.pop()),
        Err(error) => {
            log::warn!(error:%; "host cache unavailable");
            (None, None)
        }
    }
}
