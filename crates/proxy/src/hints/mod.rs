//! Placement hints between proxies.

pub(crate) mod listener;
pub(crate) mod publisher;
