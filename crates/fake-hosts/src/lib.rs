//! Stand-ins for what a coordinator talks to, written from the published protocols and for loopback only.
//!
//! - [`scripted`]: hosts and a discovery that do what a test tells them, part by part.
//! - [`relay`]: datagrams between coordinators lost, doubled, delayed, cut.
//! - [`fleet`]: modelled hosts ([`model`]) on sockets, in frames or in OpenSearch's dialect, with their
//!   [`discovery`]; what they saw is written to a [`ledger`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod discovery;
pub mod fleet;
pub mod frames;
pub mod host;
pub mod ledger;
pub mod model;
pub mod relay;
pub mod scripted;
pub mod search;
