//! Queries, attempts and timers around the decision module, in one table for each processor core.
//!
//! The core is independent of wire formats. Front ends [submit](CoreHandle::submit) queries and get one [`Answer`]
//! for each; a [`Transport`] carries calls to hosts.

mod actor;
mod clock;
mod message;
pub mod names;
mod query;
pub mod settings;
mod table;
mod transport;

pub use actor::{run, CoreHandle, Dispatch, PendingQuery};
pub use clock::Clock;
pub use message::{AttemptEnd, CoreMessage, Endpoint};
pub use query::{Answer, MissingPart, NewPart, NewQuery, PartAnswer};
pub use table::QueryTable;
pub use transport::{PartRequest, Transport};
