//! The state that several cores of one coordinator share, and no more. Free of I/O and clocks: callers pass the
//! time in.
//!
//! | module | shared state |
//! | --- | --- |
//! | [`core_dispatch`] | which core gets a connection or a query, and which cores are alive |
//! | [`drain_gates`] | until when requests may be sent to a host, and which list versions cores have applied |
//! | [`key_ownership`] | which core owns a query name that is in use |
//! | [`shared_budget`] | a budget of units, of which each core has a lease |
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
