//! Orders that build on a version which nobody knows to be in force: one still under way, or one that may never come.

use super::orders::{Content, OrderBook};
use super::World;
use crate::plan::Orders;

/// Such orders that an operator has open at most.
const MAX_OPEN_GUESSES: usize = 2;
/// How far above the version that it knows an operator guesses.
const LONGEST_GUESS: u64 = 6;

impl OrderBook {
    /// Whether nobody was shown or told that a version is in force, or was.
    pub(super) fn is_guess(&self, base: u64) -> bool {
        base != 0 && !self.confirmed.contains_key(&base) && !self.in_force.contains_key(&base)
    }

    fn open_guesses(&self, operator: usize) -> usize {
        let guessed = |content: usize| self.is_guess(self.contents[content].base);
        self.open
            .values()
            .filter(|o| o.operator == operator && guessed(o.content))
            .count()
    }

    /// Versions that open orders lead to.
    fn under_way(&self) -> Vec<u64> {
        self.open
            .values()
            .map(|o| self.contents[o.content].version)
            .collect()
    }
}

impl World<'_> {
    /// A new content on a guessed base, where the operator guesses.
    pub(super) fn guessed_content(&mut self, operator: usize, orders: &Orders) -> Option<usize> {
        let guesses = orders.guessed > 0 && self.pick(100) < orders.guessed;
        if !guesses || self.orders.open_guesses(operator) >= MAX_OPEN_GUESSES {
            return None;
        }
        let under_way = self.orders.under_way();
        let known = self.orders.known.get(&operator).copied().unwrap_or(0);
        let base = if under_way.is_empty() || self.pick(3) == 0 {
            known + 1 + self.pick(LONGEST_GUESS)
        } else {
            under_way[self.pick(under_way.len() as u64) as usize]
        };
        let version = base + 1 + self.pick(3);
        let content = Content::new(&self.orders, base, version, 0);
        self.orders.contents.push(content);
        Some(self.orders.contents.len() - 1)
    }
}
