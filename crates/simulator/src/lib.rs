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

mod drawn;
mod faults;
mod operator;
mod plan;
mod planted;
mod shrink;
mod world;

pub use drawn::Mode;
pub use faults::{Aimed, Fault, Moment, Who};
pub use plan::{Orders, Plan, Report};
pub use planted::Planted;
pub use shrink::{code, shrink};
pub use world::run;
