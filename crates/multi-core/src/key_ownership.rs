//! Ownership of query names. Two open queries with one name would use the same part names in the protocol with hosts,
//! so the second one is a conflict, whichever core owns the first.

use crate::sync::{Arc, Mutex, MutexGuard};
use std::collections::hash_map::Entry;
use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::sync::PoisonError;

/// Number of locks that names are distributed over, so that two cores seldom wait for the same one.
const STRIPE_COUNT: usize = 32;

/// The owner of each name in one stripe, as a core number.
type Stripe = HashMap<std::sync::Arc<str>, usize>;

/// The names in use, with the core that owns each.
pub struct KeyOwnership {
    stripes: Vec<Mutex<Stripe>>,
    hasher: RandomState,
}

/// Locks a stripe. The map is intact even if a core panicked while it held the lock, as each change is one step.
fn lock(stripe: &Mutex<Stripe>) -> MutexGuard<'_, Stripe> {
    stripe.lock().unwrap_or_else(PoisonError::into_inner)
}

impl KeyOwnership {
    /// Creates the map with no name in use.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            stripes: (0..STRIPE_COUNT).map(|_| Mutex::default()).collect(),
            hasher: RandomState::new(),
        })
    }

    fn stripe(&self, name: &str) -> MutexGuard<'_, Stripe> {
        lock(&self.stripes[self.hasher.hash_one(name) as usize % STRIPE_COUNT])
    }

    /// Makes a core the owner of a name. Returns false if the name is in use on any core.
    pub fn claim(&self, name: &std::sync::Arc<str>, core: usize) -> bool {
        match self.stripe(name).entry(name.clone()) {
            Entry::Occupied(_) => false,
            Entry::Vacant(entry) => {
                entry.insert(core);
                true
            }
        }
    }

    /// Frees a name if `core` owns it.
    pub fn release(&self, name: &str, core: usize) {
        let mut stripe = self.stripe(name);
        if stripe.get(name) == Some(&core) {
            stripe.remove(name);
        }
    }

    /// Frees all names of a core that has ended.
    pub fn release_all(&self, core: usize) {
        for stripe in &self.stripes {
            lock(stripe).retain(|_, owner| *owner != core);
        }
    }

    /// The number of names in use.
    pub fn len(&self) -> usize {
        self.stripes.iter().map(|stripe| lock(stripe).len()).sum()
    }

    /// Whether no name is in use.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
