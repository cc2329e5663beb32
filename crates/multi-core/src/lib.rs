//! The state that the cores of one coordinator share. No I/O and no clocks: callers pass the time in.
//!
//! | module | shared state |
//! | --- | --- |
//! | [`core_dispatch`] | assignment of connections and queries to cores, and the cores' load and health |
//! | [`drain_gates`] | the times from which hosts get no requests, and the list versions that cores have applied |
//! | [`key_ownership`] | the core that owns each query name in use |
//! | [`shared_budget`] | a budget of units that each core has a lease on |
//!
//! With the feature `loom` the same code runs on loom's atomics and locks. The tests then explore the
//! interleavings of two or three cores instead of sampling them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod core_dispatch;
pub mod drain_gates;
pub mod key_ownership;
pub mod shared_budget;

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
