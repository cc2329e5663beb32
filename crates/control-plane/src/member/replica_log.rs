//! A replica's copy of the replicated state, as far as changes were received and as far as they are on disk.

use crate::replicated_state::ReplicatedState;

#[derive(Clone, Debug)]
pub(super) struct ReplicaLog {
    /// After all changes received.
    appended: ReplicatedState,
    /// After all changes that are on disk.
    durable: ReplicatedState,
}

impl ReplicaLog {
    /// A log that starts from a state on disk.
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

    /// A change was received; its write is on its way.
    pub(super) fn append(&mut self, after: ReplicatedState) {
        self.appended = after;
    }

    /// The changes up to this state are on disk.
    pub(super) fn mark_durable(&mut self, durable: ReplicatedState) {
        self.durable = durable;
    }

    /// The disk refused a write: changes that aren't on disk are given up.
    pub(super) fn discard_appended(&mut self) {
        self.appended = self.durable.clone();
    }
}
