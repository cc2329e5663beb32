//! The parts of the system's one binary: its three programs and the operators' commands. The binary itself only reads
//! the command line, starts the logs and calls them.
//!
//! What operators may set comes from one place; the environment goes over a file, and the file over the defaults:
//!
//! ```
//! use fennelpin_cli::operator_settings::OperatorSettings;
//! let settings = OperatorSettings::read(None).unwrap();
//! assert_eq!(settings.runtime_settings().lease_duration.as_millis(), 1000);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

// What the operator gives.
pub mod command_line;
pub mod operator_settings;
pub mod process_settings;

// The three programs.
mod fleet_updates;
pub mod program_runtime;
pub mod programs;

// The operators' commands.
pub mod config_commands;
pub mod coordination_commands;
pub mod local;
pub mod status_report;
pub mod store_commands;

// What they share.
pub mod control_client;
pub mod error;
mod http_response;
pub mod logging;
