//! The parts of the system's one binary: its three programs ([`roles`]) and the operators' commands. The binary
//! itself only reads the command line ([`options`]) and starts the logs ([`logs`]).
//!
//! What operators may set comes from one place, with defaults, a file and the environment over each other:
//!
//! ```
//! use fennelpin_cli::operator::Operator;
//! let operator = Operator::read(None).unwrap();
//! assert_eq!(operator.runtime_settings().lease.as_millis(), 1000);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config;
pub mod control;
pub mod failure;
pub mod local;
pub mod logs;
pub mod operator;
pub mod options;
pub mod roles;
pub mod settings;
pub mod status;
pub mod store;
mod world;
