//! Rate limits for tenants, enforced over all proxies together. The state machines here have no I/O and no clock; times
//! are durations since the start of the process.
//!
//! Each tenant has a home: the first member of the control plane in the tenant's rendezvous order that a proxy can
//! reach ([`HomeDirectory`]). The home keeps the tenant's [`TokenBucket`] and decides on its requests one at a time
//! ([`QuotaServer`]). A bucket starts empty and is refilled only in proportion to the proxies that have this member as
//! the tenant's home. So all homes of a tenant together grant no more than its limit, whichever members the proxies
//! reach. A proxy that reaches no member decides by itself within an even share of the limit ([`LocalQuota`]), which no
//! home grants meanwhile.
//!
//! ```
//! use configuration::RateLimit;
//! use quota::{Decision, TokenBucket};
//! use std::time::Duration;
//! let limit = RateLimit { rate_per_s: 100.0, burst_size: 50.0 };
//! let mut bucket = TokenBucket::empty(Duration::ZERO, limit);
//! bucket.set_share(Duration::ZERO, 1.0);
//! let now = Duration::from_millis(200);
//! assert_eq!(bucket.take(now, 30.0, Duration::ZERO), Decision::Granted { wait: Duration::ZERO });
//! let refused = bucket.take(now, 30.0, Duration::ZERO);
//! assert_eq!(refused, Decision::Refused { retry_after: Duration::from_millis(100) });
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod decision_log;
mod home_directory;
mod local_quota;
mod placement;
mod presence;
mod server;
mod tenant_quota;
mod token_bucket;

pub use home_directory::HomeDirectory;
pub use local_quota::LocalQuota;
pub use placement::ranking;
pub use server::{FleetView, QuotaServer, QuotaSettings, RequestId, TenantLimit, TenantUse};
pub use token_bucket::{Decision, TokenBucket};
