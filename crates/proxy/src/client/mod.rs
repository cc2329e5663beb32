//! Client connections: accepting them, reading requests within the operators' limits, serving and closing.

mod close;
mod connection;
pub(crate) mod idle;
mod listener;
mod request;
mod request_reader;

pub(crate) use listener::{ClientConnections, DrainPhase};
pub(crate) use request::Request;
