//! The control plane: each `core` machine runs a member ([`member`]), which takes the operator's and the
//! hosts' calls, keeps the ledger on disk and serves pulls. [`shell`] holds all I/O.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod member;
pub mod shell;
