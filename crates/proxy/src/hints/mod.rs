//! Prefix hints: proxies inform each other which host a prompt was sent to, so that each of them knows the contents of
//! the hosts' prefix caches and the tokens that the hosts have yet to prefill.
//!
//! Hints are sent as datagrams, which may be lost. A lost hint can only cause a prompt to be prefilled again; no
//! request waits for hints.

mod fan_out;
mod listener;
mod publisher;

pub(crate) use fan_out::FanOut;
pub(crate) use listener::run as run_listener;
pub(crate) use publisher::{bind, HintPublisher};

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1200;
