//! The decision module: which server gets each part of a query, when it is sent again, and which
//! queries are rejected, answered or failed.
//!
//! A [`Router`] is sans-I/O: it takes [events](crate::interface::Event) with the time they happened
//! at and returns [actions](crate::interface::Action). It reads no clock and shares nothing with
//! other instances. All its random choices follow from the seed it is given.
//!
//! The ordinary path is Join-Idle-Queue (Lu et al., "Join-Idle-Queue: A novel load balancing
//! algorithm for dynamically scalable web services", 2011). A server whose load report shows that
//! it is idle, or light by the fleet's measure, is entered in the idle queue. A part takes a queued
//! server that holds its shard and strikes the entry off. If none is queued, the part goes to a
//! random one. The other modules protect that path from overload and failures.
//!
//! Units: within this module times are `f64` seconds. A name that ends in `_at`, `_until` or
//! `_since` is a point in time, in seconds since the origin that the caller chose. A constant that
//! ends in `_S` is a length in seconds. `f64::MIN` stands for "never yet". Loads count parts,
//! shares are fractions from 0 to 1.
//!
//! The page `docs/design/decisions.md` lists the modules with their constants, and what counters
//! and logs show of them.

mod admission;
mod arrival;
mod attempt_results;
mod backoff;
mod completion;
mod concurrency_limit;
mod crash_suspects;
mod dispatch;
mod eligibility;
mod hedging;
mod idle_connections;
mod idle_queue;
mod latency;
mod load;
mod outlier_ejection;
mod partial_answers;
mod rejection;
mod retry_budget;
mod router;
mod selection;
mod server;
mod server_list;
mod slow_start;
mod stall_detection;
mod statistics;
mod work;

pub use router::{Router, ServerCounts};
