//! Decisions of a query router that reads many shards for one query.
//!
//! The router is sans-I/O: it is handed events with the time and hands back actions. It picks
//! replicas by Join-Idle-Queue and guards that path against failures. [`interface`] holds the
//! types, [`choice`] every decision.
//!
//! ```
//! use coordinator::*;
//! use std::time::Duration;
//!
//! let ms = Duration::from_millis;
//! let class = Class {
//!     goal: ms(1000), limit: ms(3000), late_worth: 0.1, worth: 1.0, repeat: Repeat::Safe,
//!     need: 1.0, floor: 1.0, partial_earns: 1.0, second_step: 0,
//! };
//! let settings = Settings {
//!     classes: vec![class], worth_by_work: false, tenants: vec![], routers: 1, zone: None, zone_cost: false,
//!     layout: Layout { cells: 1, width: 1 }, bundle_max: 1, call_cost: ms(0), max_attempts: 3,
//!     second_copies: true, may_cancel: true, probes: false, retry_after_max: None, budget: None,
//!     cold: None, must_ask_in: None, drain_grace: ms(0), step: ms(5),
//! };
//! let mut router = Router::new(settings, 7);
//! let mut actions = Vec::new();
//! let server = ServerEntry {
//!     server: ServerId(0), zone: ZoneId(0), cell: 0, state: ServerState::Ready, boot: None,
//! };
//! let (query, part) = (RequestId(0), RequestId(1));
//! for event in [
//!     Event::List { kind: ListKind::Full, entries: vec![server] },
//!     Event::Query { id: query, class: ClassId(0), tenant: None, deadline: ms(3000), repeat: None },
//!     Event::Part { id: part, query, shard: 0, weight: 1.0 },
//!     Event::TurnEnd,
//! ] {
//!     router.handle(ms(0), event, &mut actions);
//! }
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { part: RequestId(1), .. })));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod choice;
pub mod config;
pub mod core;
pub mod counters;
pub mod front;
pub mod interface;
pub mod logger;
pub mod net;
pub mod ops;
pub mod peers;
pub mod serve;
pub mod shard;
mod state;

pub use interface::*;
pub use state::Router;
