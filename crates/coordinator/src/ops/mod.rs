//! What the operators use day by day. `docs/design/operations.md` says why it is built this way.
//!
//! | module | job |
//! | --- | --- |
//! | [`admin_server`] | the operator's address: readiness, counters, manual ejection |
//! | [`manual_ejection`] | the hosts that the operators took out of service |
//! | [`list_overlay`] | the actor that lays manual ejections over the host list |
//! | [`hot_restart`] | a new process takes over the listening socket from the old one |
//! | [`readiness`] | whether this process can serve |

pub mod admin_server;
pub mod hot_restart;
pub mod list_overlay;
pub mod manual_ejection;
pub mod readiness;

pub use readiness::Readiness;
