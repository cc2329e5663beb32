//! The decision module: selects a server for each part of a query, retries and hedges parts, and
//! answers, rejects or fails queries.
//!
//! A [`Router`] does no I/O: it takes [events](crate::interface::Event), each with the time at
//! which it happened, and returns [actions](crate::interface::Action). It reads no clock and shares
//! no state with other instances. All its random choices derive from the seed it is given.
//!
//! Servers are selected by Join-Idle-Queue (Lu et al., "Join-Idle-Queue: A novel load balancing
//! algorithm for dynamically scalable web services", 2011). A server whose load report shows that
//! it is idle, or lighter than the mean of the fleet, is entered in the idle queue. A part is sent
//! to a server in the idle queue that holds its shard, and one entry of that server is consumed. If
//! none is in the queue, the part is sent to a random server. The other modules protect this path
//! from overload and failures.
//!
//! Units: within this module times are `f64` seconds. A name that ends in `_at`, `_until` or
//! `_since` is a point in time, in seconds since the caller's origin. A constant that ends in `_S`
//! is a duration in seconds. `f64::MIN` stands for "never yet". Loads are counted in parts; shares
//! are fractions from 0 to 1.
//!
//! The page `docs/design/decisions.md` lists the modules with their constants and with the counters
//! and log lines that show their effect.

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
