//! What the system is told: the settings of a process ([`ProcessSettings`]) and the operator's configuration
//! ([`Configuration`]), read and checked. No I/O.
//!
//! ```
//! use configuration::Configuration;
//! let text = br#"{"version":2,"routes":[],"services":[],"limits":{}}"#;
//! let first = Configuration::read(text, 0).unwrap();
//! assert_eq!(first.version, 2);
//! assert!(Configuration::read(text, 2).is_err(), "a version has to rise");
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod boot;
mod codes;
mod document;

pub use boot::{Bind, Bounds, FaultBudget, MachineLimits, ProcessSettings};
pub use codes::ResultCode;
pub use document::{
    Configuration, ConfigurationDelta, ConfigurationItem, Engine, HasName, InvalidConfiguration,
    Limits, Route, RouteKind, RouteTarget, Service,
};
