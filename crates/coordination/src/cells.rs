//! Cells in groups that share one revision counter, and the history of recent puts of each group.

use imbl::{OrdMap, Vector};
use snafu::Snafu;
use std::sync::Arc;

/// Approximate memory use of a cell or put in addition to its name and value, in bytes.
const PUT_OVERHEAD_BYTES: usize = 48;

/// Returns the group of a cell: its name up to and including the first dot. A name without a dot is a group of its own.
///
/// ```
/// assert_eq!(coordination::group_of("g1.a.b"), "g1.");
/// assert_eq!(coordination::group_of("alone"), "alone");
/// ```
pub fn group_of(cell: &str) -> &str {
    match cell.find('.') {
        Some(dot) => &cell[..=dot],
        None => cell,
    }
}

/// Put into a cell.
#[derive(Clone, Debug, PartialEq)]
pub struct Cell {
    /// Name of the cell.
    pub name: Arc<str>,
    /// Value of the cell.
    pub value: Arc<str>,
    /// Revision of the put.
    pub revision: u64,
    /// Revision that the cell had before; 0 if it didn't exist.
    pub replaced_revision: u64,
    /// Whether the put was conditional on that revision.
    pub is_conditional: bool,
}

impl Cell {
    /// Approximate memory use of the put, in bytes.
    fn bytes(&self) -> usize {
        PUT_OVERHEAD_BYTES + self.name.len() + self.value.len()
    }
}

/// Error of reading the puts after a revision when the oldest of them is no longer in the history.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the history holds only puts after revision {floor}"))]
pub struct HistoryTrimmedError {
    /// Revision of the latest put that is no longer in the history.
    pub floor: u64,
}

/// Outcome of an earlier put with the same expected revision.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum EarlierPut {
    /// The same value was put, with this revision.
    Same(u64),
    /// Another value was put, or the cell never had that revision.
    Other,
    /// The history no longer reaches back to that revision.
    NotInHistory,
}

/// Group of cells. Each put raises its revision by one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CellGroup {
    /// Latest put into each cell, by cell name.
    cells: OrdMap<Arc<str>, Cell>,
    /// All puts after `floor`, oldest first.
    history: Vector<Cell>,
    /// Revision of the latest put that is no longer in the history.
    floor: u64,
}

impl CellGroup {
    /// Builds a group from its parts; `None` if the revisions of the history aren't consecutive from `floor`.
    pub(crate) fn from_parts(floor: u64, cells: Vec<Cell>, history: Vec<Cell>) -> Option<Self> {
        let expected = (floor + 1..).zip(&history);
        let is_gapless = expected
            .into_iter()
            .all(|(revision, put)| put.revision == revision);
        let cells = cells.into_iter().map(|cell| (cell.name.clone(), cell));
        is_gapless.then(|| Self {
            cells: cells.collect(),
            history: history.into(),
            floor,
        })
    }

    /// Returns the revision of the latest put; 0 if there was none.
    pub fn revision(&self) -> u64 {
        self.history.last().map_or(self.floor, |put| put.revision)
    }

    /// Returns the revision of the latest put that is no longer in the history.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// Returns the latest put into a cell.
    pub fn cell(&self, name: &str) -> Option<&Cell> {
        self.cells.get(name)
    }

    /// Returns the latest put into each cell, by cell name.
    pub fn cells(&self) -> impl Iterator<Item = &Cell> {
        self.cells.values()
    }

    /// Returns the puts in the history, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &Cell> {
        self.history.iter()
    }

    /// Returns the puts after a revision, oldest first.
    ///
    /// # Errors
    /// [`HistoryTrimmedError`] if the oldest of them is no longer in the history.
    pub fn puts_above(
        &self,
        revision: u64,
    ) -> Result<impl Iterator<Item = &Cell>, HistoryTrimmedError> {
        if revision < self.floor {
            return HistoryTrimmedSnafu { floor: self.floor }.fail();
        }
        // A revision that the group hasn't reached is treated like its latest one.
        let skipped = (revision - self.floor).min(self.history.len() as u64);
        Ok(self.history.iter().skip(skipped as usize))
    }

    /// Returns the known puts into a cell, latest first.
    fn puts_into(&self, name: &str) -> impl Iterator<Item = &Cell> {
        std::iter::successors(self.cell(name), |put| {
            self.put_at_revision(put.replaced_revision)
        })
    }

    /// Returns the put with this revision, if it is in the history.
    fn put_at_revision(&self, revision: u64) -> Option<&Cell> {
        let position = revision.checked_sub(self.floor + 1)?;
        self.history.get(position as usize)
    }

    /// Returns the revision of an earlier unconditional put of this value, so that a repeated put can be recognized. No
    /// two such puts into a cell have the same value.
    pub(crate) fn earlier_unconditional_put(&self, name: &str, value: &str) -> Option<u64> {
        self.puts_into(name)
            .find(|put| &*put.value == value && !put.is_conditional)
            .map(|put| put.revision)
    }

    /// Returns the outcome of a conditional put that may have arrived before. The cell's revision isn't the expected
    /// one any longer.
    pub(crate) fn earlier_put(&self, name: &str, expected: u64, value: &str) -> EarlierPut {
        let follows = |put: &&Cell| put.replaced_revision == expected;
        match self.puts_into(name).find(follows) {
            Some(put) if &*put.value == value && put.is_conditional => {
                EarlierPut::Same(put.revision)
            }
            Some(_) => EarlierPut::Other,
            // The put that followed the expected revision is newer than it, so the history would hold it.
            None if expected >= self.floor => EarlierPut::Other,
            None => EarlierPut::NotInHistory,
        }
    }

    /// Adds a put with the next revision. Returns the increase in memory use, in bytes.
    pub(crate) fn put(&mut self, name: &str, value: &str, is_conditional: bool) -> isize {
        let cell = Cell {
            name: name.into(),
            value: value.into(),
            revision: self.revision() + 1,
            replaced_revision: self.cell(name).map_or(0, |cell| cell.revision),
            is_conditional,
        };
        let bytes = cell.bytes() as isize;
        self.history.push_back(cell.clone());
        let replaced = self.cells.insert(cell.name.clone(), cell);
        2 * bytes - replaced.map_or(0, |replaced| replaced.bytes() as isize)
    }

    /// Drops the puts up to and including a revision from the history. Returns the freed memory, in bytes.
    pub(crate) fn trim(&mut self, floor: u64) -> usize {
        let mut freed = 0;
        while self
            .history
            .front()
            .is_some_and(|put| put.revision <= floor)
        {
            if let Some(put) = self.history.pop_front() {
                self.floor = put.revision;
                freed += put.bytes();
            }
        }
        freed
    }

    /// Approximate memory use of the group, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        let cells: usize = self.cells.values().map(Cell::bytes).sum();
        let history: usize = self.history.iter().map(Cell::bytes).sum();
        cells + history
    }
}
