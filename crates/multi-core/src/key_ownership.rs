//! Names that are open on any core. Two queries of one name would share their parts' names on the hosts'
//! wire, so the second is a conflict whichever core holds the first.

use crate::sync::{Arc, Mutex, MutexGuard};
use std::collections::hash_map::Entry;
use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};

/// Locks that names are spread over: two cores seldom want the same one.
const STRIPES: usize = 32;

type Stripe = HashMap<std::sync::Arc<str>, usize>;

/// The names in use, with the core that holds each.
pub struct OpenNames {
    stripes: Vec<Mutex<Stripe>>,
    hash: RandomState,
}

impl OpenNames {
    /// None in use.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            stripes: (0..STRIPES).map(|_| Mutex::default()).collect(),
            hash: RandomState::new(),
        })
    }

    fn stripe(&self, name: &str) -> MutexGuard<'_, Stripe> {
        let n = self.hash.hash_one(name) as usize % STRIPES;
        // A core that panicked while it held a lock left the map whole: each change is one step.
        self.stripes[n]
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Opens a name for a core; false if it is in use, on whichever core.
    pub fn open(&self, name: &std::sync::Arc<str>, core: usize) -> bool {
        match self.stripe(name).entry(name.clone()) {
            Entry::Occupied(_) => false,
            Entry::Vacant(place) => {
                place.insert(core);
                true
            }
        }
    }

    /// Frees a name that this core holds; another's stays.
    pub fn close(&self, name: &str, core: usize) {
        let mut stripe = self.stripe(name);
        if stripe.get(name) == Some(&core) {
            stripe.remove(name);
        }
    }

    /// Frees all names of a core that has ended.
    pub fn retire(&self, core: usize) {
        for stripe in &self.stripes {
            stripe
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner)
                .retain(|_, holder| *holder != core);
        }
    }

    /// Names in use.
    pub fn len(&self) -> usize {
        self.stripes
            .iter()
            .map(|s| {
                s.lock()
                    .unwrap_or_else(std::sync::PoisonError::into_inner)
                    .len()
            })
            .sum()
    }

    /// Whether none is in use.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{explore, thread};

    #[test]
    fn a_name_is_open_on_one_core_at_a_time() {
        explore(|| {
            let names = OpenNames::new();
            let name: std::sync::Arc<str> = "q".into();
            let other = {
                let (names, name) = (names.clone(), name.clone());
                thread::spawn(move || names.open(&name, 1))
            };
            let mine = names.open(&name, 0);
            let theirs = other.join().unwrap();
            assert!(mine != theirs, "one of them has it: {mine} {theirs}");
            // The one that has not got it can't free it.
            names.close(&name, usize::from(mine));
            assert_eq!(names.len(), 1);
            names.close(&name, usize::from(theirs));
            assert!(names.is_empty());
        });
    }

    #[test]
    fn a_core_that_ends_frees_its_own_names_and_no_others() {
        explore(|| {
            let names = OpenNames::new();
            let name = |n: &str| std::sync::Arc::<str>::from(n);
            assert!(names.open(&name("a"), 0) && names.open(&name("b"), 1));
            names.retire(0);
            assert!(names.open(&name("a"), 1) && !names.open(&name("b"), 0));
        });
    }
}
