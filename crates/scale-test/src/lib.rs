//! The scale run of the control plane on one machine: real members (and agents) in processes of their own, hollow
//! coordinators and hosts that share one process and speak the real messages. `docs/CAPACITY.md` tells what it
//! has shown. Sockets only on 127.0.0.0/8.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod coordinators;
mod gauge;
mod hollow;
mod hosts;
mod http;
mod operator;
mod plan;
mod policy;
mod report;
mod run;

pub use gauge::{process, threads, Load};
pub use hollow::Program;
pub use plan::{Plan, PORT};
pub use policy::policy;
pub use report::{percentile, Row};
pub use run::{play, Failure};
