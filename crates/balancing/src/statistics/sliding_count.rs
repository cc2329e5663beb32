//! Number of events within a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

/// Cells that a window is divided into.
const CELLS_PER_WINDOW: u32 = 64;

/// The events of one cell.
#[derive(Debug)]
struct Cell {
    index: u64,
    events: u32,
}

/// Counts events in cells of a 64th of the window. As a cell has no finer resolution, the number within the window is
/// known only up to a [lower](Self::lower_bound) and an [upper](Self::upper_bound) bound.
#[derive(Debug)]
pub(crate) struct SlidingCount {
    window: Duration,
    /// The oldest cell first; cells without events are left out.
    cells: VecDeque<Cell>,
}

impl SlidingCount {
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            window: window.max(Duration::from_millis(u64::from(CELLS_PER_WINDOW))),
            cells: VecDeque::new(),
        }
    }

    fn cell_index(&self, now: Duration) -> u64 {
        (now.as_nanos() / (self.window / CELLS_PER_WINDOW).as_nanos()) as u64
    }

    /// Counts one event. A time before that of the latest event counts as the latest event's.
    pub(crate) fn add(&mut self, now: Duration) {
        let index = self.cell_index(now);
        match self.cells.back_mut() {
            Some(last) if last.index >= index => last.events += 1,
            _ => self.cells.push_back(Cell { index, events: 1 }),
        }
        let has_left = |cell: &Cell| cell.index + u64::from(CELLS_PER_WINDOW) < index;
        while self.cells.front().is_some_and(has_left) {
            self.cells.pop_front();
        }
    }

    /// Events in the window that ends now, or more: a cell counts until its last instant has left the window.
    pub(crate) fn upper_bound(&self, now: Duration) -> u32 {
        let oldest = self
            .cell_index(now)
            .saturating_sub(u64::from(CELLS_PER_WINDOW));
        let counted = self.cells.iter().filter(|cell| cell.index >= oldest);
        counted.map(|cell| cell.events).sum()
    }

    /// Events in the window that ends now, or fewer: a cell counts until its first instant has left the window.
    pub(crate) fn lower_bound(&self, now: Duration) -> u32 {
        let newest = self.cell_index(now);
        let is_within = |cell: &&Cell| cell.index + u64::from(CELLS_PER_WINDOW) > newest;
        let counted = self.cells.iter().filter(is_within);
        counted.map(|cell| cell.events).sum()
    }
}
