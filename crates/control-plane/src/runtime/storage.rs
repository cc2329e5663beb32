//! The disk's thread: it alone waits for the disk. Writes that have queued up share one sync.

use crate::member::DiskError;
use crate::runtime::identity::{
    latest_identity, Identity, IdentityError, LogOwner, StartContext, StoredLog,
};
use append_log::AppendLog;
use snafu::{ResultExt, Snafu};
use std::path::PathBuf;
use std::sync::mpsc;

/// Records of identities that are kept before the file is rewritten.
const MAX_IDENTITY_RECORDS: usize = 64;
/// Writes that share a sync at most.
const MAX_WRITES_PER_SYNC: usize = 256;

/// A write that waits for the disk.
#[derive(Debug)]
pub struct Write {
    /// Its number.
    pub ticket: u64,
    /// The records.
    pub records: Vec<Vec<u8>>,
    /// Whether they stand for all that was there.
    pub rewrite: bool,
    /// Which file they are for.
    pub file: File,
}

/// The files that are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum File {
    /// What the member has promised, accepted and taken.
    Log,
    /// The hosts as last known, so that a start of the whole core doesn't wait for heartbeats.
    HostRegistry,
}

/// What the thread tells.
#[derive(Debug)]
pub enum StorageEvent {
    /// The files are open.
    Open {
        /// The identity of this life.
        identity: Identity,
        /// The member's records.
        records: Vec<Vec<u8>>,
        /// The hosts as last known, where that is kept.
        roster: Option<Vec<u8>>,
    },
    /// The files can't be opened (yet); the thread tries again.
    NotOpen {
        /// Why.
        detail: String,
    },
    /// A write has ended.
    Wrote {
        /// Its number.
        ticket: u64,
        /// Whether it is on disk.
        result: Result<(), DiskError>,
    },
}

/// Starts the thread. It ends when the sender of writes is dropped; `tell` is called on the thread.
///
/// # Errors
/// Where no thread can be started.
pub fn start(
    dir: PathBuf,
    birth: StartContext,
    tell: impl Fn(StorageEvent) + Send + 'static,
) -> std::io::Result<mpsc::Sender<Write>> {
    let (writes, queue) = mpsc::channel::<Write>();
    std::thread::Builder::new()
        .name("disk".into())
        .spawn(move || work(&dir, &birth, &tell, &queue))?;
    Ok(writes)
}

fn work(
    dir: &std::path::Path,
    birth: &StartContext,
    tell: &dyn Fn(StorageEvent),
    queue: &mpsc::Receiver<Write>,
) {
    let (mut who, mut file, mut hosts, identity) = loop {
        match open(dir, birth) {
            Ok((who, file, identity, records)) => {
                // What can't be read here is told anew by the hosts.
                let (hosts, roster) = match AppendLog::open(dir, "roster") {
                    Ok((hosts, mut kept)) => (Some(hosts), kept.pop()),
                    Err(e) => {
                        log::warn!(error:% = e; "no roster is kept");
                        (None, None)
                    }
                };
                tell(StorageEvent::Open {
                    identity: identity.clone(),
                    records,
                    roster,
                });
                break (who, file, hosts, identity);
            }
            Err(error) => {
                tell(StorageEvent::NotOpen {
                    detail: snafu::Report::from_error(error).to_string(),
                });
            }
        }
        match queue.recv_timeout(std::time::Duration::from_millis(250)) {
            Err(mpsc::RecvTimeoutError::Disconnected) => return,
            // Nobody writes before the files are open.
            Ok(_) | Err(mpsc::RecvTimeoutError::Timeout) => {}
        }
    };
    while let Ok(first) = queue.recv() {
        let mut batch = vec![first];
        while batch.len() < MAX_WRITES_PER_SYNC {
            let Ok(next) = queue.try_recv() else { break };
            batch.push(next);
        }
        let mut rest = batch.as_slice();
        while let Some(head) = rest.first() {
            // What is rewritten stands by itself; what is added goes together.
            if head.file == File::HostRegistry {
                let records: Vec<&[u8]> = head.records.iter().map(Vec::as_slice).collect();
                if let Some(Err(e)) = hosts.as_mut().map(|h| h.rewrite(&records)) {
                    log::debug!(error:% = e; "roster not kept");
                }
                rest = &rest[1..];
                continue;
            }
            let count = if head.rewrite {
                1
            } else {
                rest.iter()
                    .take_while(|w| !w.rewrite && w.file == File::Log)
                    .count()
            };
            let (now, later) = rest.split_at(count);
            let kept = who.keep(&identity, &mut file);
            let result = kept.and_then(|()| put(&mut file, now, head.rewrite.then_some(&identity)));
            if let Err(e) = &result {
                log::debug!(error:% = e; "disk refuses");
            }
            for write in now {
                let result = result.as_ref().map(|_| ()).map_err(refusal);
                tell(StorageEvent::Wrote {
                    ticket: write.ticket,
                    result,
                });
            }
            rest = later;
        }
    }
}

fn refusal(error: &append_log::Error) -> DiskError {
    if error.is_full() {
        DiskError::Full
    } else {
        DiskError::Failed
    }
}

/// Writes records for the ledger; `whole` names the owner where they stand for all that was there.
fn put(
    file: &mut AppendLog,
    writes: &[Write],
    whole: Option<&Identity>,
) -> Result<(), append_log::Error> {
    let records = writes
        .iter()
        .flat_map(|w| w.records.iter().map(Vec::as_slice));
    match whole {
        Some(identity) => {
            let owner = owner_record(identity);
            let records: Vec<&[u8]> = std::iter::once(owner.as_slice()).chain(records).collect();
            file.rewrite(&records)
        }
        None => file.append(&records.collect::<Vec<&[u8]>>()),
    }
}

fn owner_record(identity: &Identity) -> Vec<u8> {
    protocol::encode_record(&LogOwner {
        identity: identity.clone(),
    })
}

/// The identity's file: nothing else is written before the identity is kept.
struct IdentityFile {
    file: AppendLog,
    records: usize,
    kept: bool,
    /// Whether the ledger's file says whose it is, or is of an earlier release and so can't say it yet.
    ledger_begun: bool,
}

impl IdentityFile {
    /// Keeps the identity, in the ledger's file first: an identity without a ledger is never used again.
    fn keep(
        &mut self,
        identity: &Identity,
        ledger: &mut AppendLog,
    ) -> Result<(), append_log::Error> {
        if self.kept {
            return Ok(());
        }
        if !self.ledger_begun {
            ledger.rewrite(&[&owner_record(identity)])?;
            self.ledger_begun = true;
        }
        let record = protocol::encode_record(identity);
        if self.records < MAX_IDENTITY_RECORDS {
            self.file.append(&[&record])?
        } else {
            self.file.rewrite(&[&record])?
        }
        self.kept = true;
        Ok(())
    }
}

/// Why the files can't be opened.
#[derive(Debug, Snafu)]
enum OpenError {
    #[snafu(display("a file can't be opened"))]
    File { source: append_log::Error },
    #[snafu(display("it isn't known who this member is"))]
    Who { source: IdentityError },
}

type Open = (IdentityFile, AppendLog, Identity, Vec<Vec<u8>>);

fn open(dir: &std::path::Path, birth: &StartContext) -> Result<Open, OpenError> {
    let (file, kept) = AppendLog::open(dir, "identity").context(FileSnafu)?;
    let (mut ledger, records) = AppendLog::open(dir, "ledger").context(FileSnafu)?;
    let found = StoredLog::of(records);
    let before = latest_identity(&kept).context(WhoSnafu)?;
    let identity = birth.identity_with(before, &found).context(WhoSnafu)?;
    let own = found
        .owner
        .as_ref()
        .is_some_and(|owner| owner.id == identity.id);
    let ledger_begun = own || !found.records.is_empty();
    let mut who = IdentityFile {
        file,
        records: kept.len(),
        kept: false,
        ledger_begun,
    };
    // A full disk is no reason to stay away: the number of the life follows the time of day as well.
    if let Err(e) = who.keep(&identity, &mut ledger) {
        log::warn!(error:% = e; "identity not kept yet");
    }
    Ok((who, ledger, identity, found.records))
}
