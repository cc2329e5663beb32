//! What the disk holds at the start, as the storage thread reports it.

use crate::runtime::identity::Identity;
use crate::runtime::storage::StorageEvent;
use crate::runtime::{Event, Events, RuntimeError, StorageThreadSnafu};
use snafu::ResultExt;
use std::future::Future;
use std::pin::Pin;
use tokio::sync::mpsc::UnboundedReceiver;

/// What the disk held at the start.
pub(super) struct StoredState {
    pub(super) identity: Identity,
    pub(super) records: Vec<Vec<u8>>,
    pub(super) host_cache: Option<Vec<u8>>,
}

/// Waits until the files are open; `None` if `shutdown` comes first.
///
/// # Errors
/// If the storage thread has ended.
pub(super) async fn stored_state(
    queue: &mut UnboundedReceiver<Event>,
    shutdown: Pin<&mut impl Future<Output = ()>>,
) -> Result<Option<StoredState>, RuntimeError> {
    let opened = tokio::select! {
        opened = files_open(queue) => opened,
        () = shutdown => return Ok(None),
    };
    let stored = opened
        .ok_or_else(|| std::io::Error::from(std::io::ErrorKind::BrokenPipe))
        .context(StorageThreadSnafu)?;
    Ok(Some(stored))
}

/// Waits until the files are open; `None` if the storage thread has ended. Logs the first failure.
async fn files_open(queue: &mut UnboundedReceiver<Event>) -> Option<StoredState> {
    let mut has_failed = false;
    loop {
        match queue.recv().await? {
            Event::Storage(StorageEvent::Open {
                identity,
                records,
                host_cache,
            }) => {
                return Some(StoredState {
                    identity,
                    records,
                    host_cache,
                });
            }
            Event::Storage(StorageEvent::NotOpen { detail }) if !has_failed => {
                has_failed = true;
                log::error!(detail; "state directory can't be opened yet");
            }
            _ => {}
        }
    }
}

/// Hands the storage thread's events to the event loop.
pub(super) fn report_storage_to(events: &Events) -> impl Fn(StorageEvent) + Send + 'static {
    let events = events.clone();
    // Without a receiver the process is about to end.
    move |event| drop(events.send(Event::Storage(event)))
}
