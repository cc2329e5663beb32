//! A load generator: a whole deployment on loopback, driven open-loop, audited and reported.
//!
//! Free of I/O and clock: [`curve`], [`arrivals`], [`plan`], [`clients`], [`audit`], [`stats`]. On sockets and
//! processes: [`engine`], [`deploy`], [`run`]. `docs/design/load-generator.md` says why it is built this way.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod arrivals;
pub mod audit;
pub mod calibrate;
pub mod charts;
pub mod clients;
pub mod compare;
pub mod curve;
pub mod deploy;
pub mod drivers;
pub mod engine;
pub mod faults;
pub mod plan;
pub mod query_timeline;
pub mod record;
pub mod results;
pub mod run;
pub mod scenario;
pub mod stats;
pub mod target;
pub mod trace;
