//! Connections of clients.

pub(crate) mod connection;
pub(crate) mod idle;
pub(crate) mod request;
