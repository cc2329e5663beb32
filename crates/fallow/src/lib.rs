//! To be written.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
