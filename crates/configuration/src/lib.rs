//! Parsing and validation of the settings of a process ([`ProcessSettings`]) and of the operators' configuration
//! ([`Configuration`]), and the numbered results of calls ([`ResultCode`]). This crate does no I/O.
//!
//! ```
//! use configuration::Configuration;
//! let text = br#"{"version":2,"routes":[],"services":[],"limits":{}}"#;
//! let first = Configuration::read(text, 0).unwrap();
//! assert_eq!(first.version, 2);
//! assert!(Configuration::read(text, 2).is_err(), "the version must increase");
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod configuration;
mod delta;
mod error;
mod item;
mod process_settings;
mod request_body;
mod result_code;
mod schema;
mod tenant;
mod validation;

pub use configuration::{masked_tenant_json, Configuration};
pub use delta::{ConfigurationDelta, TenantsDelta};
pub use error::InvalidConfiguration;
pub use item::{ConfigurationItem, HasName};
pub use process_settings::{Bind, Bounds, FaultBudget, MachineLimits, ProcessSettings};
pub use result_code::ResultCode;
pub use schema::{Engine, Limits, Route, RouteKind, RouteTarget, Service};
pub use tenant::{ApiKey, KeyDigest, QuotaUnit, RateLimit, Tenant};
