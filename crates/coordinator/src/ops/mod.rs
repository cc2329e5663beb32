//! Operational features: the operator's address, manual ejection, hot restart and readiness.
//! `docs/design/operations.md` gives the design reasons.
//!
//! | module | job |
//! | --- | --- |
//! | [`admin_server`] | the HTTP server of the operator's address: readiness, counters, manual ejection |
//! | [`manual_ejection`] | the hosts that operators have taken out of service |
//! | [`list_overlay`] | the actor that applies manual ejections to the host list |
//! | [`hot_restart`] | a new process takes over the listening socket from the old one |
//! | [`readiness`] | whether this process can serve requests |

pub mod admin_server;
pub mod hot_restart;
pub mod list_overlay;
pub mod manual_ejection;
pub mod readiness;

pub use readiness::Readiness;
