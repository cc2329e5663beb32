//! Connections to hosts.

pub(crate) mod acquire;
pub(crate) mod connection;
pub mod pool;
