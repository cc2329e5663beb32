//! Runs a test under loom, or once on the standard library's threads and atomics.

#[cfg(feature = "loom")]
pub use loom::{
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    thread::spawn,
};
#[cfg(not(feature = "loom"))]
pub use std::thread::spawn;

/// Runs a test: each interleaving under loom, once otherwise.
pub fn explore(test: impl Fn() + Send + Sync + 'static) {
    #[cfg(feature = "loom")]
    {
        let mut model = loom::model::Builder::new();
        model.preemption_bound = Some(3);
        model.check(test);
    }
    #[cfg(not(feature = "loom"))]
    test();
}
