//! A replica's copy of the replicated state, as of the last change received and of the last change on disk.

use crate::replicated_state::ReplicatedState;

/// The replicated state at the end of a replica's log.
#[derive(Clone, Debug)]
pub(super) struct ReplicaLog {
    /// The state after all changes received.
    appended: ReplicatedState,
    /// The state after all changes that are on disk.
    durable: ReplicatedState,
}

impl ReplicaLog {
    /// Creates a log that starts from a state on disk.
    pub(super) fn new(durable: ReplicatedState) -> Self {
        Self {
            appended: durable.clone(),
            durable,
        }
    }

    pub(super) fn appended(&self) -> &ReplicatedState {
        &self.appended
    }

    pub(super) fn durable(&self) -> &ReplicatedState {
        &self.durable
    }

    /// Appends a received change, given the state after it. Its write is queued.
    pub(super) fn append(&mut self, after: ReplicatedState) {
        self.appended = after;
    }

    /// Notes that the changes up to this state are on disk.
    pub(super) fn mark_durable(&mut self, durable: ReplicatedState) {
        self.durable = durable;
    }

    /// Discards the changes that aren't on disk, after a write has failed.
    pub(super) fn discard_appended(&mut self) {
        self.appended = self.durable.clone();
    }
}
