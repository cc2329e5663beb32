//! The coordinator: it sends the parts of each query to many shards and answers from the values that come back.
//!
//! - [`decision`]: all decisions, without I/O. It takes events with their time and returns actions.
//! - [`interface`]: the types of these events and actions.
//! - [`core`]: the queries, attempts and timers around the decision module, one table for each core.
//! - [`front`]: the APIs for clients. [`net`]: connections of clients and to hosts, and the sources of the host list.
//! - [`peers`]: the load that coordinators publish to each other.
//! - [`cores`]: several cores, with one thread each. [`serve`]: the process, from start to stop.
//! - [`ops`]: the operator's address, manual ejection and hot restart. [`config`]: the configuration.
//! - [`counters`]: named counters. [`logger`]: the log on standard error.
//!
//! The decision module alone, on scripted events:
//!
//! ```
//! use coordinator::*;
//! use std::time::Duration;
//!
//! let ms = Duration::from_millis;
//! let class = QueryClass {
//!     latency_target: ms(1000), client_timeout: ms(3000), late_value: 0.1, value: 1.0,
//!     idempotency: Idempotency::Idempotent, complete_share: 1.0, min_share: 1.0, partial_value: 1.0,
//!     second_step_parts: 0,
//! };
//! let settings = RouterSettings {
//!     classes: vec![class], value_by_work: false, tenants: vec![], routers: 1, zone: None,
//!     cross_zone_cost: false, shard_layout: ShardLayout { cells: 1, cells_per_shard: 1 },
//!     max_parts_per_call: 1, call_overhead: ms(0), max_attempts: 3, hedging: true, cancellation: true,
//!     probes: false, max_retry_after: None, retry_budget: None, slow_start: None, subscribe_within: None,
//!     drain_grace: ms(0), min_turn_interval: ms(5),
//! };
//! let mut router = Router::new(settings, 7);
//! let mut actions = Vec::new();
//! let server = ServerEntry {
//!     server: ServerId(0), zone: ZoneId(0), cell: 0, state: ServerState::Ready, started_at: None,
//! };
//! let (query, part) = (RequestId(0), RequestId(1));
//! for event in [
//!     Event::ServerList { kind: ListKind::Full, entries: vec![server] },
//!     Event::Query { id: query, class: ClassId(0), tenant: None, arrived_at: None, deadline: ms(3000), is_retry: None },
//!     Event::Part { id: part, query, shard: 0, weight: 1.0 },
//!     Event::TurnEnded,
//! ] {
//!     router.handle(ms(0), event, &mut actions);
//! }
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { part: RequestId(1), .. })));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config;
pub mod core;
pub mod cores;
pub mod counters;
pub mod decision;
pub mod front;
pub mod interface;
pub mod logger;
pub mod net;
pub mod ops;
pub mod peers;
pub mod serve;

pub use decision::{Router, ServerCounts};
pub use interface::*;
