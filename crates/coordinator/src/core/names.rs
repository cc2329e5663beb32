//! Interning of names: the decision module refers to hosts and zones by number.

use std::collections::HashMap;
use std::sync::Arc;

/// A table that numbers names in the order of their first appearance, from 0.
#[derive(Default, Debug, Clone)]
pub struct NameTable {
    numbers: HashMap<Arc<str>, u32>,
    names: HashMap<u32, Arc<str>>,
    next_number: u32,
}

impl NameTable {
    /// Returns the number of a name, and assigns the next number to a new name.
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

    /// Returns the number of a name, if it has one.
    pub fn number(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    /// Returns the name with this number, or an empty string if no name has it.
    pub fn name(&self, number: u32) -> &str {
        self.names.get(&number).map_or("", |name| name)
    }

    /// Removes the name with this number. If the name appears again, it gets a new number.
    pub fn remove(&mut self, number: u32) {
        if let Some(name) = self.names.remove(&number) {
            self.numbers.remove(&name);
        }
    }
}
