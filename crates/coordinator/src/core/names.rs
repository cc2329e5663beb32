//! Names and the numbers that stand for them in the decision module (interning).

use std::collections::HashMap;
use std::sync::Arc;

/// Gives each name a number, in the order of their first appearance.
#[derive(Default, Debug, Clone)]
pub struct NameTable {
    numbers: HashMap<Arc<str>, u32>,
    names: HashMap<u32, Arc<str>>,
    next_number: u32,
}

impl NameTable {
    /// The number of a name. A new name gets the next one.
    pub fn number_or_insert(&mut self, name: &str) -> u32 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let (number, name) = (self.next_number, Arc::<str>::from(name));
        self.next_number += 1;
        self.names.insert(number, name.clone());
        self.numbers.insert(name, number);
        number
    }

    /// The number of a name, if it has one.
    pub fn number(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    /// The name of a number; empty for a number that stands for none.
    pub fn name(&self, number: u32) -> &str {
        self.names.get(&number).map_or("", |name| name)
    }

    /// Drops a name. If it appears again, it gets a new number.
    pub fn remove(&mut self, number: u32) {
        if let Some(name) = self.names.remove(&number) {
            self.numbers.remove(&name);
        }
    }
}
