//! A [`Mirror`] in a state: states are shared between the search's threads, a mirror remembers what it looked up.

use replication::Mirror;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A mirror that several threads may read.
pub(super) struct SharedMirror(Mutex<Mirror>);

impl SharedMirror {
    pub(super) fn new(mirror: Mirror) -> Self {
        Self(Mutex::new(mirror))
    }

    /// The mirror, to be read.
    pub(super) fn read(&self) -> MutexGuard<'_, Mirror> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The mirror, to be changed.
    pub(super) fn get(&mut self) -> &mut Mirror {
        self.0.get_mut().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Clone for SharedMirror {
    fn clone(&self) -> Self {
        Self::new(self.read().clone())
    }
}
