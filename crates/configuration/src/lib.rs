//! What the system is told: the settings of a process ([`Boot`]) and the operator's configuration
//! ([`Document`]), read and checked. No I/O.
//!
//! ```
//! use configuration::Document;
//! let text = br#"{"version":2,"routes":[],"services":[],"limits":{}}"#;
//! let first = Document::read(text, 0).unwrap();
//! assert_eq!(first.version, 2);
//! assert!(Document::read(text, 2).is_err(), "a version has to rise");
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod boot;
mod codes;
mod document;

pub use boot::{Bind, Boot, Bounds, FaultBudget, MachineLimits};
pub use codes::Code;
pub use document::{
    Delta, Document, Engine, Invalid, Item, Kind, Limits, Named, Route, Service, Target,
};
