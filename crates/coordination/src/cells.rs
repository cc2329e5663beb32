//! Cells, in groups that share one count of revisions, and the latest puts of each group.

use imbl::{OrdMap, Vector};
use snafu::Snafu;
use std::sync::Arc;

/// Bytes that a cell or a put takes beside its name and its value, approximately.
const OVERHEAD_BYTES: usize = 48;

/// The group of a cell: its name up to the first dot, with it. A name without a dot is a group of its own.
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

/// A put into a cell.
#[derive(Clone, Debug, PartialEq)]
pub struct Cell {
    /// The cell's name.
    pub name: Arc<str>,
    /// The value.
    pub value: Arc<str>,
    /// The put's revision.
    pub revision: u64,
    /// The revision that the cell had before; 0 if it didn't exist.
    pub replaced_revision: u64,
    /// Whether the put asked for that revision.
    pub is_conditional: bool,
}

impl Cell {
    /// Bytes that the put takes, approximately.
    fn bytes(&self) -> usize {
        OVERHEAD_BYTES + self.name.len() + self.value.len()
    }
}

/// The puts above a revision can't be told: the oldest of them isn't kept any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the history begins above revision {floor}"))]
pub struct HistoryTrimmedError {
    /// Revision of the last put that isn't kept.
    pub floor: u64,
}

/// What became of an earlier put with the same expected revision.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum EarlierPut {
    /// The same value was put, with this revision.
    Same(u64),
    /// Another value was put, or the cell never had that revision.
    Other,
    /// The puts of that time aren't kept any more.
    Forgotten,
}

/// A group of cells. Its revisions rise by one with each put.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CellGroup {
    /// The latest put into each cell.
    cells: OrdMap<Arc<str>, Cell>,
    /// All puts above the floor, oldest first.
    history: Vector<Cell>,
    /// Revision of the last put that isn't in the history.
    floor: u64,
}

impl CellGroup {
    /// A group of its parts; none if their revisions don't fit together.
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

    /// Revision of the latest put; 0 if there was none.
    pub fn revision(&self) -> u64 {
        self.history.last().map_or(self.floor, |put| put.revision)
    }

    /// Revision of the last put that isn't kept in the history.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// A cell, as it was put last.
    pub fn cell(&self, name: &str) -> Option<&Cell> {
        self.cells.get(name)
    }

    /// All cells, by name.
    pub fn cells(&self) -> impl Iterator<Item = &Cell> {
        self.cells.values()
    }

    /// All puts that are kept, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &Cell> {
        self.history.iter()
    }

    /// The puts above a revision, oldest first.
    ///
    /// # Errors
    /// If the oldest of them isn't kept any more.
    pub fn puts_above(
        &self,
        revision: u64,
    ) -> Result<impl Iterator<Item = &Cell>, HistoryTrimmedError> {
        if revision < self.floor {
            return HistoryTrimmedSnafu { floor: self.floor }.fail();
        }
        // A revision above all that were given is as good as the latest.
        let known = (revision - self.floor).min(self.history.len() as u64);
        Ok(self.history.iter().skip(known as usize))
    }

    /// The puts into a cell that are known, latest first.
    fn puts_into(&self, name: &str) -> impl Iterator<Item = &Cell> {
        std::iter::successors(self.cell(name), |put| self.kept_put(put.replaced_revision))
    }

    /// The put with a revision, if it is kept in the history.
    fn kept_put(&self, revision: u64) -> Option<&Cell> {
        let position = revision.checked_sub(self.floor + 1)?;
        self.history.get(position as usize)
    }

    /// The revision of a put that asked for no revision, if it arrived before. No two such puts into a cell have the same
    /// value.
    pub(crate) fn earlier_unconditional_put(&self, name: &str, value: &str) -> Option<u64> {
        self.puts_into(name)
            .find(|put| &*put.value == value && !put.is_conditional)
            .map(|put| put.revision)
    }

    /// What became of a put that may have arrived before. The cell's revision isn't the expected one any more.
    pub(crate) fn earlier_put(&self, name: &str, expected: u64, value: &str) -> EarlierPut {
        let follows = |put: &&Cell| put.replaced_revision == expected;
        match self.puts_into(name).find(follows) {
            Some(put) if &*put.value == value && put.is_conditional => {
                EarlierPut::Same(put.revision)
            }
            Some(_) => EarlierPut::Other,
            // Whatever followed the expected revision came after it, and would be in the history.
            None if expected >= self.floor => EarlierPut::Other,
            None => EarlierPut::Forgotten,
        }
    }

    /// Adds a put with the next revision. Returns the bytes that it adds.
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
        let before = self.cells.insert(cell.name.clone(), cell);
        2 * bytes - before.map_or(0, |before| before.bytes() as isize)
    }

    /// Drops the puts up to a revision from the history. Returns the bytes that this sets free.
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

    /// Bytes that the group takes, approximately.
    pub(crate) fn bytes(&self) -> usize {
        let cells: usize = self.cells.values().map(Cell::bytes).sum();
        let history: usize = self.history.iter().map(Cell::bytes).sum();
        cells + history
    }
}
