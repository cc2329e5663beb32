//! The control plane's members, the code's own state machines, on a simulated clock, network and disk, with
//! faults drawn from a seed and checkers that watch every step. The same seed gives the same run.
//!
//! ```
//! let report = simulator::run(&simulator::Plan::calm(1));
//! assert!(report.breaches.is_empty(), "{:?}", report.breaches);
//! assert!(report.acknowledged > 0);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod faults;
mod operator;
mod plan;
mod world;

pub use faults::{Fault, Planted};
pub use plan::{Plan, Report};
pub use world::run;
