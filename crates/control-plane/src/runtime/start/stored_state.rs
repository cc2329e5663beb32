//! The state on the disk at the start, as reported by the storage thread.

use crate::runtime::identity::Identity;
use crate::runtime::storage::StorageEvent;
use crate::runtime::{Event, EventSender, RuntimeError, StorageThreadSnafu};
use snafu::ResultExt;
use std::future::Future;
use std::pin::Pin;
use tokio::sync::mpsc::UnboundedReceiver;

/// The state on the disk at the start.
pub(super) struct StoredState {
    /// The identity of this incarnation.
    pub(super) identity: Identity,
    /// The state machine's log records.
    pub(super) records: Vec<Vec<u8>>,
    /// The content of the host cache, if it exists and could be read.
    pub(super) host_cache: Option<Vec<u8>>,
}

/// Waits until the files are open. Returns `None` if `shutdown` completes first.
///
/// # Errors
/// Returns an error if the storage thread has ended.
pub(super) async fn wait_for_stored_state(
    queue: &mut UnboundedReceiver<Event>,
    shutdown: Pin<&mut impl Future<Output = ()>>,
) -> Result<Option<StoredState>, RuntimeError> {
    let opened = tokio::select! {
        opened = wait_for_open_files(queue) => opened,
        () = shutdown => return Ok(None),
    };
    let stored = opened
        .ok_or_else(|| std::io::Error::from(std::io::ErrorKind::BrokenPipe))
        .context(StorageThreadSnafu)?;
    Ok(Some(stored))
}

/// Waits until the files are open. Returns `None` if the storage thread has ended. Logs the first failure only.
async fn wait_for_open_files(queue: &mut UnboundedReceiver<Event>) -> Option<StoredState> {
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
            Event::Storage(StorageEvent::OpenFailed { detail }) if !has_failed => {
                has_failed = true;
                log::error!(detail; "state directory can't be opened yet");
            }
            _ => {}
        }
    }
}

/// Returns a callback that passes the storage thread's events to the event loop.
pub(super) fn storage_event_reporter(
    events: &EventSender,
) -> impl Fn(StorageEvent) + Send + 'static {
    let events = events.clone();
    // The receiver is dropped only when the process is about to end.
    move |event| drop(events.send(Event::Storage(event)))
}
