//! Conversion of the complete state from and to the form in which it is sent and stored.

use crate::cells::{Cell, CellGroup};
use crate::state::{CoordinationState, Lock};
use protocol::{CellGroupRecord, CellRecord, CoordinationSnapshot, LockRecord, NumberRecord};
use std::sync::Arc;

impl CoordinationState {
    /// Returns a snapshot of the state. `fleet_index` is the index of the last change of the rest of the replicated
    /// state.
    pub fn snapshot(&self, fleet_index: u64) -> CoordinationSnapshot {
        let numbers = self.numbers.iter().map(|(name, value)| NumberRecord {
            name: name.to_string(),
            value: *value,
        });
        CoordinationSnapshot {
            fleet_index,
            last_fence: self.last_fence,
            locks: self.locks().map(lock_record).collect(),
            numbers: numbers.collect(),
            groups: self.groups().map(group_record).collect(),
        }
    }

    /// Restores the state from a snapshot; `None` if the revisions of a group's history aren't consecutive.
    pub fn from_snapshot(snapshot: &CoordinationSnapshot) -> Option<Self> {
        let locks = snapshot.locks.iter().map(lock_from_record);
        let numbers = snapshot.numbers.iter();
        let groups: Option<Vec<(Arc<str>, CellGroup)>> =
            snapshot.groups.iter().map(group_from_record).collect();
        let mut state = Self {
            last_fence: snapshot.last_fence,
            locks: locks.collect(),
            numbers: numbers.map(number_from_record).collect(),
            groups: groups?.into_iter().collect(),
            bytes: 0,
        };
        state.bytes = state.compute_bytes();
        Some(state)
    }
}

fn lock_record((name, lock): (&str, &Lock)) -> LockRecord {
    LockRecord {
        name: name.into(),
        holder: lock.holder.to_string(),
        fence: lock.fence,
        hold_ms: lock.hold_ms,
        attempt: lock.attempt,
    }
}

fn lock_from_record(record: &LockRecord) -> (Arc<str>, Lock) {
    let lock = Lock {
        holder: record.holder.as_str().into(),
        fence: record.fence,
        hold_ms: record.hold_ms,
        attempt: record.attempt,
    };
    (record.name.as_str().into(), lock)
}

fn number_from_record(record: &NumberRecord) -> (Arc<str>, u64) {
    (record.name.as_str().into(), record.value)
}

fn cell_record(cell: &Cell) -> CellRecord {
    CellRecord {
        name: cell.name.to_string(),
        value: cell.value.to_string(),
        revision: cell.revision,
        replaced_revision: cell.replaced_revision,
        is_conditional: cell.is_conditional,
    }
}

fn cell_from_record(record: &CellRecord) -> Cell {
    Cell {
        name: record.name.as_str().into(),
        value: record.value.as_str().into(),
        revision: record.revision,
        replaced_revision: record.replaced_revision,
        is_conditional: record.is_conditional,
    }
}

fn group_record((name, group): (&str, &CellGroup)) -> CellGroupRecord {
    CellGroupRecord {
        name: name.into(),
        floor: group.floor(),
        cells: group.cells().map(cell_record).collect(),
        history: group.history().map(cell_record).collect(),
    }
}

fn group_from_record(record: &CellGroupRecord) -> Option<(Arc<str>, CellGroup)> {
    let cells = record.cells.iter().map(cell_from_record).collect();
    let history = record.history.iter().map(cell_from_record).collect();
    let group = CellGroup::from_parts(record.floor, cells, history)?;
    Some((record.name.as_str().into(), group))
}
