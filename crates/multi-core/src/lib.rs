//! What several cores of one coordinator share, and no more: leases on one budget ([`lease`]), names that
//! are open on any core ([`names`]), gates that stop sends to a host on all cores at once ([`gates`]), and
//! which core gets what ([`deal`]). Free of I/O and clock: callers say what time it is.
//!
//! With the feature `loom` the same code runs on loom's atomics and locks, and the tests explore the
//! interleavings of two or three cores instead of sampling them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod deal;
pub mod gates;
pub mod lease;
pub mod names;

mod sync {
    #[cfg(feature = "loom")]
    pub use loom::sync::{
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        Arc, Mutex, MutexGuard, RwLock,
    };
    #[cfg(not(feature = "loom"))]
    pub use std::sync::{
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        Arc, Mutex, MutexGuard, RwLock,
    };
}
pub use sync::Arc;

/// Runs a test: each interleaving under loom, once otherwise.
#[cfg(test)]
fn explore(test: impl Fn() + Send + Sync + 'static) {
    #[cfg(feature = "loom")]
    {
        let mut model = loom::model::Builder::new();
        model.preemption_bound = Some(3);
        model.check(test);
    }
    #[cfg(not(feature = "loom"))]
    test();
}

#[cfg(test)]
mod thread {
    #[cfg(feature = "loom")]
    pub use loom::thread::spawn;
    #[cfg(not(feature = "loom"))]
    pub use std::thread::spawn;
}
