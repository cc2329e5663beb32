//! Carries out writes in order. Appends that are queued together share one sync.

use super::identity_file::owner_record;
use super::open::OpenFiles;
use super::{StateFile, StorageEvent, Write};
use crate::member::DiskError;
use crate::runtime::identity::Identity;
use append_log::AppendLog;
use std::sync::mpsc;

/// Largest number of writes that share one sync.
const MAX_WRITES_PER_SYNC: usize = 256;

/// Carries out the writes from `queue` until its sender is dropped.
pub(super) fn write_until_closed(
    mut files: OpenFiles,
    report: &dyn Fn(StorageEvent),
    queue: &mpsc::Receiver<Write>,
) {
    while let Ok(first) = queue.recv() {
        let batch = queued_writes(first, queue);
        let mut remaining = batch.as_slice();
        while let Some(first) = remaining.first() {
            if first.file == StateFile::HostCache {
                write_host_cache(&mut files, first);
                remaining = &remaining[1..];
                continue;
            }
            let (sync_group, later) = remaining.split_at(writes_in_one_sync(remaining));
            let result = write_log(&mut files, sync_group);
            report_result(sync_group, &result, report);
            remaining = later;
        }
    }
}

/// Returns the write `first` and those queued behind it, up to [`MAX_WRITES_PER_SYNC`].
fn queued_writes(first: Write, queue: &mpsc::Receiver<Write>) -> Vec<Write> {
    let mut batch = vec![first];
    while batch.len() < MAX_WRITES_PER_SYNC {
        let Ok(next) = queue.try_recv() else { break };
        batch.push(next);
    }
    batch
}

/// Returns the number of leading writes that go to the log in one sync. A rewrite is never combined with others.
fn writes_in_one_sync(writes: &[Write]) -> usize {
    if writes.first().is_some_and(|first| first.rewrite) {
        return 1;
    }
    writes
        .iter()
        .take_while(|write| !write.rewrite && write.file == StateFile::Log)
        .count()
}

fn write_host_cache(files: &mut OpenFiles, write: &Write) {
    let Some(host_cache) = &mut files.host_cache else {
        return;
    };
    let records: Vec<&[u8]> = write.records.iter().map(Vec::as_slice).collect();
    if let Err(error) = host_cache.rewrite(&records) {
        log::debug!(error:%; "host cache not written");
    }
}

/// Writes one rewrite, or appends that share a sync, to the log.
fn write_log(files: &mut OpenFiles, writes: &[Write]) -> Result<(), append_log::Error> {
    files.identity_file.store(&files.identity, &mut files.log)?;
    let records = writes
        .iter()
        .flat_map(|write| write.records.iter().map(Vec::as_slice))
        .collect();
    if writes.first().is_some_and(|first| first.rewrite) {
        rewrite_log(&mut files.log, &files.identity, records)
    } else {
        files.log.append(&records)
    }
}

/// Replaces the log's content with the owner record and `records`.
fn rewrite_log(
    log: &mut AppendLog,
    owner: &Identity,
    records: Vec<&[u8]>,
) -> Result<(), append_log::Error> {
    let owner = owner_record(owner);
    let records: Vec<&[u8]> = std::iter::once(owner.as_slice()).chain(records).collect();
    log.rewrite(&records)
}

fn report_result(
    writes: &[Write],
    result: &Result<(), append_log::Error>,
    report: &dyn Fn(StorageEvent),
) {
    if let Err(error) = result {
        log::debug!(error:%; "log write failed");
    }
    for write in writes {
        report(StorageEvent::Wrote {
            ticket: write.ticket,
            result: result.as_ref().copied().map_err(disk_error),
        });
    }
}

fn disk_error(error: &append_log::Error) -> DiskError {
    if error.is_full() {
        DiskError::Full
    } else {
        DiskError::Failed
    }
}
