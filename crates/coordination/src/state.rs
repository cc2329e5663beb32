//! State of all locks, counters and cells, and its changes.
//!
//! The maps share their structure between successive states, so the cost of a copy doesn't depend on the size of the
//! state.

use crate::cells::{group_of, Cell, CellGroup};
use imbl::OrdMap;
use protocol::CoordinationChange;
use snafu::{ensure, OptionExt, Snafu};
use std::sync::Arc;

/// Approximate memory use of a lock or counter in addition to its names, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 48;

/// Lock that has a holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lock {
    /// Name of the holder, which stays after the hold time is over until the lock is released or acquired anew.
    pub holder: Arc<str>,
    /// Fencing token of the holder.
    pub fence: u64,
    /// Longest time that the holder may count on since its last call, in ms.
    pub hold_ms: u32,
    /// Number of the call that acquired the lock.
    pub attempt: u64,
}

/// Reason why a change doesn't apply to the state.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ApplyError {
    /// The lock has no holder.
    #[snafu(display("lock {name} has no holder"))]
    NoHolder {
        /// Name of the lock.
        name: String,
    },
    /// The cell's revision differs from the expected one.
    #[snafu(display("cell {name} has revision {revision}, expected {expected}"))]
    OtherRevision {
        /// Name of the cell.
        name: String,
        /// Revision that the change expects.
        expected: u64,
        /// Revision of the cell.
        revision: u64,
    },
    /// The group of cells doesn't exist.
    #[snafu(display("group {group} does not exist"))]
    NoSuchGroup {
        /// Name of the group.
        group: String,
    },
}

/// All locks, counters and cells.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CoordinationState {
    /// Fencing token issued last, across all locks.
    pub(crate) last_fence: u64,
    pub(crate) locks: OrdMap<Arc<str>, Lock>,
    pub(crate) numbers: OrdMap<Arc<str>, u64>,
    pub(crate) groups: OrdMap<Arc<str>, CellGroup>,
    /// Approximate size of all of it, in bytes.
    pub(crate) bytes: usize,
}

impl CoordinationState {
    /// Whether there has never been a lock, a counter or a cell.
    pub fn is_unused(&self) -> bool {
        self.last_fence == 0 && self.numbers.is_empty() && self.groups.is_empty()
    }

    /// Returns the approximate size of the state in a snapshot, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the fencing token that was issued last.
    pub fn last_fence(&self) -> u64 {
        self.last_fence
    }

    /// Returns a lock, if it has a holder.
    pub fn lock(&self, name: &str) -> Option<&Lock> {
        self.locks.get(name)
    }

    /// Returns all locks that have a holder, by name.
    pub fn locks(&self) -> impl Iterator<Item = (&str, &Lock)> {
        self.locks.iter().map(|(name, lock)| (&**name, lock))
    }

    /// Returns the last number taken from a counter; 0 if none was taken.
    pub fn number(&self, name: &str) -> u64 {
        self.numbers.get(name).copied().unwrap_or(0)
    }

    /// Returns a group of cells.
    pub fn group(&self, name: &str) -> Option<&CellGroup> {
        self.groups.get(name)
    }

    /// Returns all groups of cells, by name.
    pub fn groups(&self) -> impl Iterator<Item = (&str, &CellGroup)> {
        self.groups.iter().map(|(name, group)| (&**name, group))
    }

    /// Returns the latest put into a cell.
    pub fn cell(&self, name: &str) -> Option<&Cell> {
        self.group(group_of(name))?.cell(name)
    }

    /// Returns the revision of a cell; 0 if it doesn't exist.
    pub(crate) fn cell_revision(&self, name: &str) -> u64 {
        self.cell(name).map_or(0, |cell| cell.revision)
    }

    /// Returns the revision of the latest put into a group; 0 if there was none.
    pub fn group_revision(&self, name: &str) -> u64 {
        self.group(name).map_or(0, CellGroup::revision)
    }

    /// Applies a change.
    ///
    /// # Errors
    /// [`ApplyError`] if the change doesn't fit the state. The state is unchanged then.
    pub fn apply(&mut self, change: &CoordinationChange) -> Result<(), ApplyError> {
        match change {
            CoordinationChange::LockAcquired {
                name,
                holder,
                hold_ms,
                attempt,
            } => self.acquire(name, holder, *hold_ms, *attempt),
            CoordinationChange::LockExtended { name, hold_ms } => self.extend(name, *hold_ms)?,
            CoordinationChange::LockReleased { name } => self.release(name)?,
            CoordinationChange::NumberTaken { name } => self.take_number(name),
            CoordinationChange::CellPut {
                name,
                value,
                expected_revision,
            } => self.put(name, value, *expected_revision)?,
            CoordinationChange::HistoryTrimmed { group, floor } => self.trim(group, *floor)?,
        }
        Ok(())
    }

    fn acquire(&mut self, name: &str, holder: &str, hold_ms: u32, attempt: u64) {
        self.last_fence += 1;
        let previous = self.locks.get(name);
        // The same holder may still count on a longer time from an earlier call.
        let previous_hold_ms = previous
            .filter(|lock| &*lock.holder == holder)
            .map_or(0, |lock| lock.hold_ms);
        let lock = Lock {
            holder: holder.into(),
            fence: self.last_fence,
            hold_ms: hold_ms.max(previous_hold_ms),
            attempt,
        };
        self.bytes += lock_bytes(name, &lock);
        if let Some(previous) = self.locks.insert(name.into(), lock) {
            self.bytes -= lock_bytes(name, &previous);
        }
    }

    fn extend(&mut self, name: &str, hold_ms: u32) -> Result<(), ApplyError> {
        let lock = self.locks.get_mut(name).context(NoHolderSnafu { name })?;
        lock.hold_ms = hold_ms.max(lock.hold_ms);
        Ok(())
    }

    fn release(&mut self, name: &str) -> Result<(), ApplyError> {
        let released = self.locks.remove(name).context(NoHolderSnafu { name })?;
        self.bytes -= lock_bytes(name, &released);
        Ok(())
    }

    fn take_number(&mut self, name: &str) {
        let last = self.number(name);
        if self.numbers.insert(name.into(), last + 1).is_none() {
            self.bytes += ENTRY_OVERHEAD_BYTES + name.len();
        }
    }

    fn put(&mut self, name: &str, value: &str, expected: Option<u64>) -> Result<(), ApplyError> {
        let revision = self.cell_revision(name);
        if let Some(expected) = expected {
            ensure!(
                revision == expected,
                OtherRevisionSnafu {
                    name,
                    expected,
                    revision
                }
            );
        }
        let group = self.groups.entry(group_of(name).into()).or_default();
        let added = group.put(name, value, expected.is_some());
        self.bytes = self.bytes.saturating_add_signed(added);
        Ok(())
    }

    fn trim(&mut self, group: &str, floor: u64) -> Result<(), ApplyError> {
        let cell_group = self
            .groups
            .get_mut(group)
            .context(NoSuchGroupSnafu { group })?;
        self.bytes -= cell_group.trim(floor);
        Ok(())
    }

    /// Computes the approximate size of the state from its entries, in bytes.
    pub(crate) fn compute_bytes(&self) -> usize {
        let locks: usize = self
            .locks()
            .map(|(name, lock)| lock_bytes(name, lock))
            .sum();
        let names = self.numbers.keys();
        let numbers: usize = names.map(|name| ENTRY_OVERHEAD_BYTES + name.len()).sum();
        let cells: usize = self.groups.values().map(CellGroup::bytes).sum();
        locks + numbers + cells
    }
}

fn lock_bytes(name: &str, lock: &Lock) -> usize {
    ENTRY_OVERHEAD_BYTES + name.len() + lock.holder.len()
}
