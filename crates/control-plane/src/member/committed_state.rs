//! The newest replicated state that a member knows to be committed. It is kept on disk, so that the next incarnation
//! can restore it. Rewriting the file doesn't lose it.

use crate::replicated_state::ReplicatedState;
use std::collections::VecDeque;

/// The number of uncommitted states that are kept. The oldest are kept, so that the primary's next commit index
/// matches one of them however many changes are in flight.
const MAX_UNCOMMITTED_STATES: usize = 64;
/// Size on disk of all uncommitted states that are kept, in bytes.
const MAX_UNCOMMITTED_BYTES: usize = 8 << 20;
/// Size of a snapshot apart from its items, in bytes: numbers, names, brackets and the membership configuration.
const SNAPSHOT_OVERHEAD_BYTES: usize = 1 << 10;

/// The newest state that is known to be committed, and the states that follow it.
#[derive(Clone, Debug, Default)]
pub(super) struct CommittedState {
    /// The highest commit index that is on disk.
    commit_index: u64,
    /// The newest state in memory whose index is at most `commit_index`.
    newest: Option<ReplicatedState>,
    /// Whether `newest` is the state that the membership configuration in force began with, or a later one.
    newest_is_in_current_membership: bool,
    /// States on this disk that aren't known to be committed, oldest first.
    uncommitted: VecDeque<UncommittedState>,
    uncommitted_bytes: usize,
}

/// A state that isn't known to be committed, and the record of the change that led to it.
#[derive(Clone, Debug)]
struct UncommittedState {
    state: ReplicatedState,
    /// `None` for the state that a membership configuration begins with.
    record: Option<Vec<u8>>,
}

impl UncommittedState {
    fn bytes(&self) -> usize {
        snapshot_bytes(&self.state) + self.record.as_ref().map_or(0, Vec::len)
    }
}

impl CommittedState {
    /// Creates the committed state that was recovered from the records on disk.
    pub(super) fn recovered(newest: Option<ReplicatedState>) -> Self {
        Self {
            commit_index: newest.as_ref().map_or(0, |state| state.index),
            newest,
            ..Self::default()
        }
    }

    /// The highest commit index that is on disk.
    pub(super) fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// The newest state in memory that is known to be committed.
    pub(super) fn newest(&self) -> Option<&ReplicatedState> {
        self.newest.as_ref()
    }

    /// Starts a membership configuration with this state, which is on this disk.
    pub(super) fn start_membership(&mut self, state: Option<&ReplicatedState>) {
        self.uncommitted.clear();
        self.uncommitted_bytes = 0;
        self.newest_is_in_current_membership = false;
        if let Some(state) = state {
            self.add(state.clone(), None);
        }
    }

    /// Adds the state that a change led to. The change's record is on this disk.
    pub(super) fn add_change(&mut self, state: ReplicatedState, record: Vec<u8>) {
        self.add(state, Some(record));
    }

    fn add(&mut self, state: ReplicatedState, record: Option<Vec<u8>>) {
        let added = UncommittedState { state, record };
        let bytes = added.bytes();
        let fits = self.uncommitted_bytes + bytes <= MAX_UNCOMMITTED_BYTES
            && self.uncommitted.len() < MAX_UNCOMMITTED_STATES;
        if fits || self.uncommitted.is_empty() {
            self.uncommitted_bytes += bytes;
            self.uncommitted.push_back(added);
        }
    }

    /// Marks all changes up to `index` as committed; `durable` is the state on this disk. Returns whether the commit
    /// index has risen.
    pub(super) fn commit(&mut self, index: u64, durable: &ReplicatedState) -> bool {
        if index <= self.commit_index && self.newest_is_in_current_membership {
            return false;
        }
        let has_risen = index > self.commit_index;
        self.commit_index = index.max(self.commit_index);
        while let Some(committed) = self.uncommitted.pop_front_if(|u| u.state.index <= index) {
            self.uncommitted_bytes -= committed.bytes();
            self.newest = Some(committed.state);
            self.newest_is_in_current_membership = true;
        }
        if durable.index == index {
            self.newest = Some(durable.clone());
            self.newest_is_in_current_membership = true;
        }
        has_risen
    }

    /// The records of all changes after the newest committed state up to `index`; `None` if one of them isn't in
    /// memory.
    pub(super) fn change_records_up_to(
        &self,
        index: u64,
    ) -> Option<impl Iterator<Item = &Vec<u8>>> {
        let newest = self
            .newest
            .as_ref()
            .filter(|_| self.newest_is_in_current_membership)?;
        let last = self
            .uncommitted
            .back()
            .map_or(newest.index, |u| u.state.index);
        let has_no_gap = last == index && newest.index + self.uncommitted.len() as u64 == index;
        let has_records = self.uncommitted.iter().all(|u| u.record.is_some());
        (has_no_gap && has_records)
            .then(|| self.uncommitted.iter().filter_map(|u| u.record.as_ref()))
    }

    /// Notes that the file was rewritten: it now records the newest committed state in memory.
    pub(super) fn on_file_rewritten(&mut self) {
        self.commit_index = self.newest.as_ref().map_or(0, |state| state.index);
    }
}

/// The approximate size of a state's snapshot on disk, in bytes.
pub(super) fn snapshot_bytes(state: &ReplicatedState) -> usize {
    let configuration = &state.configuration;
    let routes: usize = configuration.routes.iter().map(|r| r.raw.len() + 1).sum();
    let services: usize = configuration.services.iter().map(|s| s.raw.len() + 1).sum();
    let tenants = configuration.tenant_items().iter();
    let tenants: usize = tenants.map(|t| t.raw.len() + 1).sum();
    let limits = configuration.limits.as_ref().map_or(0, |l| l.raw.len());
    let applied_requests =
        state.applied_requests.iter().count() * std::mem::size_of::<protocol::AppliedRequest>();
    let drains: usize = state.drains.iter().map(|d| d.len() + 4).sum();
    let coordination = state.coordination.bytes();
    let configured = routes + services + tenants + limits;
    configured + applied_requests + drains + coordination + SNAPSHOT_OVERHEAD_BYTES
}
