//! Fakes of what a coordinator talks to, written from the published protocols and for loopback only.
//!
//! - [`scripted`]: hosts and a discovery whose answers a test scripts, part by part.
//! - [`relay`]: loses, duplicates, delays or cuts datagrams between coordinators.
//! - [`fleet`]: modelled hosts ([`model`]) on sockets, in [`frames`] or in OpenSearch's dialect ([`search`]), with their
//!   [`discovery`]. What they observe goes into an [`event_log`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod discovery;
pub mod event_log;
pub mod fleet;
pub mod frames;
pub mod host;
pub mod model;
pub mod open_attempts;
pub mod outbox;
pub mod relay;
pub mod scripted;
pub mod search;
pub mod wire_value;
