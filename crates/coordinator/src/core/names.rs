//! Names to numbers and back.

use std::collections::HashMap;
use std::sync::Arc;

/// Numbers names in the order of their first appearance.
#[derive(Default, Debug, Clone)]
pub struct Names {
    numbers: HashMap<Arc<str>, u32>,
    names: HashMap<u32, Arc<str>>,
    next: u32,
}

impl Names {
    /// The number of a name, given out if it is new.
    pub fn number(&mut self, name: &str) -> u32 {
        if let Some(n) = self.numbers.get(name) {
            return *n;
        }
        let (n, name) = (self.next, Arc::<str>::from(name));
        self.next += 1;
        self.names.insert(n, name.clone());
        self.numbers.insert(name, n);
        n
    }

    /// The number of a name known already.
    pub fn find(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    /// The name behind a number that was given out here.
    pub fn name(&self, n: u32) -> &str {
        self.names.get(&n).map_or("", |name| name)
    }

    /// Drops a name that will not be asked for again; if it is, it gets a new number.
    pub fn forget(&mut self, n: u32) {
        if let Some(name) = self.names.remove(&n) {
            self.numbers.remove(&name);
        }
    }
}
