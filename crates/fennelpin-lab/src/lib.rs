//! A load generator and lab: a whole deployment on loopback, driven open-loop, audited and reported.
//!
//! Free of I/O and clock: [`curve`], [`arrivals`], [`plan`], [`clients`], [`audit`], [`stats`]. On sockets and
//! processes: [`engine`], [`deploy`], [`run`]. `docs/design/load-generator.md` says why it is built this way.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod arrivals;
pub mod clients;
pub mod curve;
pub mod drivers;
pub mod plan;
pub mod scenario;
pub mod trace;
