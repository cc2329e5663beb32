//! A deterministic simulator of the control plane: the product's own state machines on a simulated clock, network and
//! disk, with faults drawn from a seed and checkers that watch every step. The same seed gives the same run.
//!
//! [`Mode`] draws a [`Plan`] from a seed, [`run`] runs it, [`shrink`](shrink()) makes a plan smaller that violates an
//! invariant. `docs/design/hardening/simulator.md` describes what is modelled and what is checked.
//!
//! ```
//! let report = simulator::run(&simulator::Plan::without_faults(1));
//! assert!(report.violations.is_empty(), "{:?}", report.violations);
//! assert!(report.acknowledged > 0);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod faults;
mod modes;
mod plan;
mod seeded_bug;
mod shrink;
mod single_client;
mod violation;
mod world;

pub use faults::{CutDirection, Fault, FaultTarget, FaultTrigger, TriggeredFault};
pub use modes::Mode;
pub use plan::{ClientWorkload, Plan, Report};
pub use seeded_bug::SeededBug;
pub use shrink::{plan_as_code, shrink};
pub use violation::Violation;
pub use world::run;
