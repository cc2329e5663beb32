//! What is known of a host.

use crate::affinity::host_hash;
use crate::load_estimate::{Lateness, PrefillBacklog};
use crate::outlier_ejection::HostHealth;
use crate::prefix_cache::PrefixCache;
use crate::service::ServiceKey;
use crate::types::HostInfo;
use std::time::Duration;

/// After an answer a host counts as alive for this time, whatever its heartbeats say: they may be seconds late.
const ALIVE_AFTER_RESPONSE: Duration = Duration::from_secs(1);

/// Number of a host in [`BalancerState::hosts`](crate::state::BalancerState::hosts).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct HostKey(pub(crate) usize);

/// A host of the registry, or a removed one that still has attempts in flight.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) info: HostInfo,
    pub(crate) service: ServiceKey,
    /// Hash of its identity, for affinity.
    pub(crate) hash: u64,
    pub(crate) health: HostHealth,
    pub(crate) prefix_cache: PrefixCache,
    /// Numbers of this proxy's attempts in flight.
    pub(crate) in_flight: Vec<usize>,
    pub(crate) prefill_backlog: PrefillBacklog,
    pub(crate) lateness: Lateness,
    /// When anything came from it.
    pub(crate) last_response_at: Option<Duration>,
    /// Until when it counts as full, because it refused a request.
    pub(crate) overloaded_until: Option<Duration>,
    /// Whether it answered 421 or another host has its address. It isn't used until its record changes.
    pub(crate) misdirected: bool,
    /// Whether it has left the registry. It is kept until its attempts have ended.
    pub(crate) removed: bool,
    pub(crate) known_since: Duration,
    /// Until when it reports to be slow from its start.
    pub(crate) slow_start_until: Duration,
    /// When it reported to be busy, unless it has reported otherwise since.
    pub(crate) busy_reported_at: Option<Duration>,
    /// Whether other hosts of its service were there when it joined.
    pub(crate) joined_running_service: bool,
}

impl Host {
    pub(crate) fn new(
        info: HostInfo,
        service: ServiceKey,
        now: Duration,
        joined_running_service: bool,
    ) -> Self {
        Self {
            service,
            slow_start_until: now + info.slow_start_remaining,
            busy_reported_at: None,
            hash: host_hash(&info.id),
            info,
            health: HostHealth::default(),
            prefix_cache: PrefixCache::default(),
            in_flight: Vec::new(),
            prefill_backlog: PrefillBacklog::new(now),
            lateness: Lateness::new(now),
            last_response_at: None,
            overloaded_until: None,
            misdirected: false,
            removed: false,
            known_since: now,
            joined_running_service,
        }
    }

    /// Whether the host takes requests at all.
    pub(crate) fn is_usable(&self) -> bool {
        !self.info.draining && !self.misdirected && !self.removed
    }

    /// Whether its heartbeats have stopped and nothing else came from it lately.
    pub(crate) fn is_unreachable(&self, now: Duration) -> bool {
        let silent = self
            .last_response_at
            .is_none_or(|last| now.saturating_sub(last) > ALIVE_AFTER_RESPONSE);
        self.info.heartbeat_expired && silent
    }

    /// Whether it counts as full because it refused a request lately.
    pub(crate) fn is_overloaded(&self, now: Duration) -> bool {
        self.overloaded_until.is_some_and(|until| now < until)
    }

    /// Whether nothing speaks against the host: it may be in the idle list.
    pub(crate) fn is_available(&self, now: Duration) -> bool {
        self.is_usable()
            && !self.health.is_ejected()
            && !self.is_unreachable(now)
            && !self.is_overloaded(now)
    }
}
