//! The scale run: a control plane of real members and agents, each a process, under the load of many coordinators and
//! hosts. These are simulated: they share this process and speak the real messages. `docs/CAPACITY.md` has the results.
//! Sockets only on 127.0.0.0/8.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

// The run.
mod deployment;
mod measurement;
mod phases;
mod plan;
mod report;

// What takes part in it.
mod child_process;
mod http_client;
mod operator;
mod simulated_coordinators;
mod simulated_hosts;

// What is measured.
mod balancing_cost;
mod resource_usage;

pub use balancing_cost::{measure_balancing, BalancingCostOptions};
pub use child_process::ChildProcess;
pub use deployment::RunError;
pub use phases::run;
pub use plan::{RunPlan, PORT};
pub use report::{percentile, PhaseReport};
pub use resource_usage::{process, threads, ResourceUsage};

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, whether or not a thread has panicked with it.
fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
