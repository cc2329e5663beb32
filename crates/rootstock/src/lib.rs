//! The control plane.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod feed;
pub mod roster;
