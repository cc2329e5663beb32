//! The state of all locks, numbers and cells, and its changes.
//!
//! The maps share their structure between successive states: a copy costs the same however much the state holds.

use crate::cells::{group_of, Cell, CellGroup};
use imbl::OrdMap;
use protocol::CoordinationChange;
use snafu::{ensure, OptionExt, Snafu};
use std::sync::Arc;

/// Bytes that a lock or a counter takes beside its names, approximately.
const OVERHEAD_BYTES: usize = 48;

/// A lock that has a holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lock {
    /// Who holds it, or did when its time ended.
    pub holder: Arc<str>,
    /// The holder's fencing token.
    pub fence: u64,
    /// The longest time that the holder may count on since its last call, in ms.
    pub hold_ms: u32,
    /// Number of the call that took it.
    pub attempt: u64,
}

/// Why a change doesn't fit the state.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ApplyError {
    /// The lock has no holder.
    #[snafu(display("lock {name} has no holder"))]
    NoHolder {
        /// The lock's name.
        name: String,
    },
    /// The cell has another revision.
    #[snafu(display("cell {name} has revision {revision}, not {expected}"))]
    OtherRevision {
        /// The cell's name.
        name: String,
        /// The revision that the change expects.
        expected: u64,
        /// The cell's revision.
        revision: u64,
    },
    /// There is no such group of cells.
    #[snafu(display("there is no group {group}"))]
    NoSuchGroup {
        /// The group's name.
        group: String,
    },
}

/// All locks, numbers and cells.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CoordinationState {
    /// The fencing token that was given last, of all locks.
    pub(crate) last_fence: u64,
    pub(crate) locks: OrdMap<Arc<str>, Lock>,
    pub(crate) numbers: OrdMap<Arc<str>, u64>,
    pub(crate) groups: OrdMap<Arc<str>, CellGroup>,
    /// Bytes that all of it takes, approximately.
    pub(crate) bytes: usize,
}

impl CoordinationState {
    /// Whether there never was a lock, a number or a cell.
    pub fn is_unused(&self) -> bool {
        self.last_fence == 0 && self.numbers.is_empty() && self.groups.is_empty()
    }

    /// Bytes that all of it takes in a snapshot, approximately.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The fencing token that was given last.
    pub fn last_fence(&self) -> u64 {
        self.last_fence
    }

    /// A lock, if it has a holder.
    pub fn lock(&self, name: &str) -> Option<&Lock> {
        self.locks.get(name)
    }

    /// All locks that have a holder, by name.
    pub fn locks(&self) -> impl Iterator<Item = (&str, &Lock)> {
        self.locks.iter().map(|(name, lock)| (&**name, lock))
    }

    /// The number that a counter gave last; 0 if it gave none.
    pub fn number(&self, name: &str) -> u64 {
        self.numbers.get(name).copied().unwrap_or(0)
    }

    /// A group of cells.
    pub fn group(&self, name: &str) -> Option<&CellGroup> {
        self.groups.get(name)
    }

    /// All groups of cells, by name.
    pub fn groups(&self) -> impl Iterator<Item = (&str, &CellGroup)> {
        self.groups.iter().map(|(name, group)| (&**name, group))
    }

    /// A cell, as it was put last.
    pub fn cell(&self, name: &str) -> Option<&Cell> {
        self.group(group_of(name))?.cell(name)
    }

    /// Revision of a cell; 0 if it doesn't exist.
    pub(crate) fn cell_revision(&self, name: &str) -> u64 {
        self.cell(name).map_or(0, |cell| cell.revision)
    }

    /// Revision of the latest put into a group; 0 if there was none.
    pub fn group_revision(&self, name: &str) -> u64 {
        self.group(name).map_or(0, CellGroup::revision)
    }

    /// Makes a change.
    ///
    /// # Errors
    /// If the change doesn't fit the state, which is as before then.
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
        let before = self.locks.get(name);
        // The same holder may still count on a longer time that an earlier call gave it.
        let counted_on = before
            .filter(|lock| &*lock.holder == holder)
            .map_or(0, |lock| lock.hold_ms);
        let lock = Lock {
            holder: holder.into(),
            fence: self.last_fence,
            hold_ms: hold_ms.max(counted_on),
            attempt,
        };
        self.bytes += lock_bytes(name, &lock);
        if let Some(before) = self.locks.insert(name.into(), lock) {
            self.bytes -= lock_bytes(name, &before);
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
            self.bytes += OVERHEAD_BYTES + name.len();
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
        let cells = self
            .groups
            .get_mut(group)
            .context(NoSuchGroupSnafu { group })?;
        self.bytes -= cells.trim(floor);
        Ok(())
    }

    /// Counts the bytes of all that is there.
    pub(crate) fn count_bytes(&self) -> usize {
        let locks: usize = self
            .locks()
            .map(|(name, lock)| lock_bytes(name, lock))
            .sum();
        let names = self.numbers.keys();
        let numbers: usize = names.map(|name| OVERHEAD_BYTES + name.len()).sum();
        let cells: usize = self.groups.values().map(CellGroup::bytes).sum();
        locks + numbers + cells
    }
}

fn lock_bytes(name: &str, lock: &Lock) -> usize {
    OVERHEAD_BYTES + name.len() + lock.holder.len()
}
